package checker

import (
	"fmt"
	"math"
	"strconv"

	"catkindyke/pkg/limiter"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// maxHosts is the largest fleet in which each host must be able to hold a whole
// token of every workspace.
const maxHosts = 12

func (c *checker) checkWorkspaces() {
	if len(c.cfg.GetWorkspaces()) == 0 {
		c.add(SeverityWarning, Missing, parser.Problem{Path: "workspaces", Text: "no workspace is defined; only open routes are served"})
	}
	var totalCapacity, maxRegionCapacity float64
	for _, s := range c.cfg.GetServices() {
		totalCapacity += capacity(s, "")
	}
	for _, r := range c.cfg.GetRegions() {
		var regionCapacity float64
		for _, s := range c.cfg.GetServices() {
			regionCapacity += capacity(s, r.GetName())
		}
		maxRegionCapacity = max(maxRegionCapacity, regionCapacity)
	}
	for _, w := range c.cfg.GetWorkspaces() {
		c.checkWorkspace("workspaces["+w.GetName()+"]", w, maxRegionCapacity, totalCapacity)
	}
	if totalRate := c.totalRate(); totalRate > totalCapacity && totalCapacity > 0 {
		c.add(SeverityWarning, RateOverCapacity, parser.Problem{Path: "workspaces", Text: fmt.Sprintf("the rates add up to %s requests a second, but all regions together can run only %s", formatNumber(totalRate), formatNumber(totalCapacity))})
	}
}

func (c *checker) checkWorkspace(path string, w *schema.Workspace, maxRegionCapacity, totalCapacity float64) {
	const slots = limiter.TotalSlots / maxHosts
	if minBurst := limiter.MinBurst(w.GetRatePerS(), slots); w.GetBurst() > 0 && w.GetBurst() < minBurst {
		c.add(SeverityError, BurstTooSmall, parser.Problem{
			Path: path + ".burst", Value: formatNumber(w.GetBurst()),
			Text:    fmt.Sprintf("a host with %d of %d share slots can never hold a whole token", slots, limiter.TotalSlots),
			Allowed: "at least " + formatNumber(minBurst),
		})
	}
	p := parser.Problem{Path: path + ".rate_per_s", Value: formatNumber(w.GetRatePerS())}
	switch rate := w.GetRatePerS(); {
	case totalCapacity == 0:
	case rate > totalCapacity:
		p.Text, p.Allowed = "the rate exceeds the capacity of all regions together", "at most "+formatNumber(totalCapacity)
		c.add(SeverityError, RateOverCapacity, p)
	case rate > maxRegionCapacity:
		p.Text = fmt.Sprintf("the rate exceeds the capacity of every single region, at most %s, and needs several regions at once", formatNumber(maxRegionCapacity))
		c.add(SeverityWarning, RateOverCapacity, p)
	}
}

// totalRate returns the sum of the rates of all workspaces.
func (c *checker) totalRate() float64 {
	var sum float64
	for _, w := range c.cfg.GetWorkspaces() {
		sum += w.GetRatePerS()
	}
	return sum
}

func linkPath(from, to string) string { return "links[" + from + ">" + to + "]" }

func (c *checker) checkLinks() {
	names := c.regionNames()
	linkPaths := make(map[string]bool)
	for _, l := range c.cfg.GetLinks() {
		path := linkPath(l.GetFrom(), l.GetTo())
		linkPaths[path] = true
		c.checkReference(path+".from", "region", l.GetFrom(), names)
		c.checkReference(path+".to", "region", l.GetTo(), names)
		if l.GetFrom() == l.GetTo() {
			c.add(SeverityError, SelfLink, parser.Problem{Path: path, Text: "the link leads from a region to itself"})
		}
	}
	for _, from := range names {
		for _, to := range names {
			if path := linkPath(from, to); from != to && !linkPaths[path] {
				c.add(SeverityWarning, NoLink, parser.Problem{Path: path, Text: fmt.Sprintf("there is no link, so no requests can be shifted from %s to %s", from, to)})
			}
		}
	}
}

// checkFailovers warns about traffic that the other regions cannot take over
// when one region fails. The traffic of a service to be shifted is at most its
// capacity in the failed region, and at most the sum of all workspace rates.
// These are not errors: an operator sets a shift cap on purpose, and requests
// above it are refused with the outcome not_run.
func (c *checker) checkFailovers() {
	if len(c.cfg.GetRegions()) < 2 {
		return
	}
	for _, failed := range c.regionNames() {
		var remainingCapacity, lostCapacity float64
		for _, s := range c.cfg.GetServices() {
			regionCapacity := capacity(s, failed)
			lostCapacity += regionCapacity
			remainingCapacity += capacity(s, "") - regionCapacity
			c.checkShiftCaps(s, failed, min(regionCapacity, c.totalRate()))
		}
		if totalRate := c.totalRate(); lostCapacity > 0 && remainingCapacity < totalRate {
			c.add(SeverityWarning, NoFailoverCapacity, parser.Problem{
				Path: "regions[" + failed + "]",
				Text: fmt.Sprintf("when region %s fails, the others can run %s requests a second, but the rates add up to %s", failed, formatNumber(remainingCapacity), formatNumber(totalRate)),
			})
		}
	}
}

// checkShiftCaps warns if the shift caps of a failed region's links add up to
// less than the rate to be shifted.
func (c *checker) checkShiftCaps(s *schema.Service, failed string, shiftedRate float64) {
	var totalCap float64
	for _, l := range c.cfg.GetLinks() {
		if l.GetFrom() == failed {
			totalCap += l.GetShiftCapPerS()
		}
	}
	if totalCap < shiftedRate {
		c.add(SeverityWarning, ShiftCapTooSmall, parser.Problem{
			Path: "services[" + s.GetName() + "]",
			Text: fmt.Sprintf("when region %s fails, up to %s requests a second must be shifted, but the shift caps of its links allow only %s", failed, formatNumber(shiftedRate), formatNumber(totalCap)),
		})
	}
}

// formatNumber formats a number with at most three decimals.
func formatNumber(v float64) string {
	return strconv.FormatFloat(math.Round(v*1000)/1000, 'f', -1, 64)
}

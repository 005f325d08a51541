package checker

import (
	"fmt"
	"math"
	"strconv"

	"catkindyke/pkg/limiter"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

// maxHosts is the largest number of hosts that each hold a whole token.
const maxHosts = 12

func (c *checker) workspaces() {
	if len(c.cfg.GetWorkspaces()) == 0 {
		c.add(SeverityWarning, Missing, parser.Problem{Path: "workspaces", Text: "there is no workspace; only open routes are served"})
	}
	var all, largest float64
	for _, s := range c.cfg.GetServices() {
		all += capacity(s, "")
	}
	for _, r := range c.cfg.GetRegions() {
		var here float64
		for _, s := range c.cfg.GetServices() {
			here += capacity(s, r.GetName())
		}
		largest = max(largest, here)
	}
	for _, w := range c.cfg.GetWorkspaces() {
		c.workspace("workspaces["+w.GetName()+"]", w, largest, all)
	}
	if sum := c.rates(); sum > all && all > 0 {
		c.add(SeverityWarning, RateOverCapacity, parser.Problem{Path: "workspaces", Text: fmt.Sprintf("the rates add up to %s requests a second, all regions together run %s", figure(sum), figure(all))})
	}
}

func (c *checker) workspace(path string, w *schema.Workspace, largest, all float64) {
	const slots = limiter.TotalSlots / maxHosts
	if least := limiter.MinBurst(w.GetRatePerS(), slots); w.GetBurst() > 0 && w.GetBurst() < least {
		c.add(SeverityError, BurstTooSmall, parser.Problem{
			Path: path + ".burst", Value: figure(w.GetBurst()),
			Text:    fmt.Sprintf("a host with %d of %d share slots could never hold a whole token", slots, limiter.TotalSlots),
			Allowed: "at least " + figure(least),
		})
	}
	p := parser.Problem{Path: path + ".rate_per_s", Value: figure(w.GetRatePerS())}
	switch rate := w.GetRatePerS(); {
	case all == 0:
	case rate > all:
		p.Text, p.Allowed = "the rate is over the capacity of all regions together", "at most "+figure(all)
		c.add(SeverityError, RateOverCapacity, p)
	case rate > largest:
		p.Text = fmt.Sprintf("the rate is over the capacity of each single region, at most %s; it needs several regions at once", figure(largest))
		c.add(SeverityWarning, RateOverCapacity, p)
	}
}

// rates returns the sum of the workspaces' rates.
func (c *checker) rates() float64 {
	var sum float64
	for _, w := range c.cfg.GetWorkspaces() {
		sum += w.GetRatePerS()
	}
	return sum
}

func linkName(from, to string) string { return "links[" + from + ">" + to + "]" }

func (c *checker) links() {
	names := c.regionNames()
	known := make(map[string]bool)
	for _, l := range c.cfg.GetLinks() {
		path := linkName(l.GetFrom(), l.GetTo())
		known[path] = true
		c.reference(path+".from", "region", l.GetFrom(), names)
		c.reference(path+".to", "region", l.GetTo(), names)
		if l.GetFrom() == l.GetTo() {
			c.add(SeverityError, SelfLink, parser.Problem{Path: path, Text: "the link leads from a region to itself"})
		}
	}
	for _, from := range names {
		for _, to := range names {
			if path := linkName(from, to); from != to && !known[path] {
				c.add(SeverityWarning, NoLink, parser.Problem{Path: path, Text: fmt.Sprintf("there is no link, so nothing can be shifted from %s to %s", from, to)})
			}
		}
	}
}

// failovers finds traffic that has no place when one region fails. What must
// move of a service is bounded by its capacity in that region and by the rates
// of all workspaces. These are warnings: a cap is a limit that an operator sets
// on purpose, and traffic over it is refused as not run.
func (c *checker) failovers() {
	if len(c.cfg.GetRegions()) < 2 {
		return
	}
	for _, failed := range c.regionNames() {
		var left, lost float64
		for _, s := range c.cfg.GetServices() {
			here := capacity(s, failed)
			lost += here
			left += capacity(s, "") - here
			c.shiftCaps(s, failed, min(here, c.rates()))
		}
		if rates := c.rates(); lost > 0 && left < rates {
			c.add(SeverityWarning, NoFailoverCapacity, parser.Problem{
				Path: "regions[" + failed + "]",
				Text: fmt.Sprintf("when region %s fails, the others run %s requests a second, the rates add up to %s", failed, figure(left), figure(rates)),
			})
		}
	}
}

// shiftCaps finds caps that together carry less than what must move.
func (c *checker) shiftCaps(s *schema.Service, failed string, moves float64) {
	var caps float64
	for _, l := range c.cfg.GetLinks() {
		if l.GetFrom() == failed {
			caps += l.GetShiftCapPerS()
		}
	}
	if caps < moves {
		c.add(SeverityWarning, ShiftCapTooSmall, parser.Problem{
			Path: "services[" + s.GetName() + "]",
			Text: fmt.Sprintf("when region %s fails, up to %s requests a second must move, the shift caps of its links carry %s", failed, figure(moves), figure(caps)),
		})
	}
}

func figure(v float64) string {
	return strconv.FormatFloat(math.Round(v*1000)/1000, 'f', -1, 64)
}

package planner

import (
	"slices"

	"catkindyke/pkg/schema"
)

// noRegion is the failed region's index when no region has failed.
const noRegion = -1

// model is the state of one service. Regions are indices in the order of the
// configuration: r for a source, d for a destination. Rates are in requests per
// second.
type model struct {
	rules       rules
	svc         *schema.Service
	regions     []string
	regionIndex map[string]int
	// available is set for regions with live hosts and servers that are not
	// draining.
	available []bool
	// measured is set for regions whose load and demand are fresh.
	measured []bool
	// full is set for regions that may get no more traffic from other regions.
	full           []bool
	capacity       []float64
	demand         []float64
	links          [][]link
	currentWeights [][]int
}

// link is the connection from one region to another, for one service.
type link struct {
	// shiftCap is the rate that the shift bucket lets through.
	shiftCap float64
	// maxRate is the highest planned rate: the shift cap or what the bandwidth
	// allows, whichever is lower. It is zero when nothing may be shifted.
	maxRate float64
	step    int
	// bandwidth ranks destinations: those with more bandwidth come first.
	bandwidth uint32
}

func newModel(rules rules, in Input, svc *schema.Service) *model {
	m := &model{rules: rules, svc: svc, regionIndex: make(map[string]int)}
	for i, r := range in.Config.GetRegions() {
		m.regions = append(m.regions, r.GetName())
		m.regionIndex[r.GetName()] = i
	}
	n := len(m.regions)
	m.available, m.measured, m.full = make([]bool, n), make([]bool, n), make([]bool, n)
	m.capacity, m.demand = make([]float64, n), make([]float64, n)
	m.links, m.currentWeights = make([][]link, n), make([][]int, n)
	for r := range m.regions {
		m.links[r] = make([]link, n)
		m.readRegion(in, r)
		m.currentWeights[r] = m.parseWeights(FindRoute(in.CurrentPlan, svc.GetName(), m.regions[r]).GetWeights())
		if m.currentWeights[r] == nil {
			m.currentWeights[r] = make([]int, n)
			m.currentWeights[r][r] = totalWeight
		}
	}
	m.readLinks(in.Config)
	return m
}

// readRegion fills in one region. If a measurement is missing, stale or
// implausible, the region counts as not measured and as full for other regions.
func (m *model) readRegion(in Input, r int) {
	name := m.regions[r]
	configured, active := m.countSlots(in, name)
	perSlot := 1000 / float64(max(1, m.svc.GetServiceTimeMs()))
	m.available[r] = in.LiveRegions[name] && active > 0 && !m.rules.isDraining(in.Drains, name)
	slots, loadFresh := active, false
	for _, l := range in.Loads {
		if l.Service == m.svc.GetName() && l.Region == name && l.Age >= 0 && l.Age <= m.rules.staleAfter && l.Slots > 0 {
			loadFresh = true
			slots = min(slots, int(l.Slots))
			m.full[r] = l.Queued > l.Slots
		}
	}
	m.capacity[r] = m.rules.capacity(float64(slots) * perSlot)
	// No requests enter at a region without live hosts.
	demandFresh := !in.LiveRegions[name]
	if !demandFresh {
		m.demand[r] = float64(configured) * perSlot
	}
	for _, d := range in.Demands {
		if !demandFresh && d.Service == m.svc.GetName() && d.Region == name && d.Age >= 0 && d.Age <= m.rules.staleAfter && d.RatePerS >= 0 {
			demandFresh, m.demand[r] = true, d.RatePerS
		}
	}
	m.measured[r] = demandFresh && (loadFresh || !m.available[r])
	m.full[r] = m.full[r] || !m.measured[r]
}

// countSlots returns the number of configured slots of a region, and of those
// whose servers are not draining.
func (m *model) countSlots(in Input, region string) (configured, active int) {
	for _, b := range m.svc.GetBackendServers() {
		if b.GetRegion() != region {
			continue
		}
		n := int(b.GetSlots())
		if n == 0 {
			n = int(m.svc.GetSlots())
		}
		configured += n
		if !slices.Contains(in.Drains.GetBackendServers(), b.GetName()) &&
			!slices.Contains(in.Drains.GetAvailabilityZones(), b.GetAvailabilityZone()) {
			active += n
		}
	}
	return configured, active
}

// readLinks fills in the links. It divides a link's bandwidth evenly among the
// services, so that each service is planned without regard to the others.
func (m *model) readLinks(cfg *schema.Config) {
	services := float64(max(1, len(cfg.GetServices())))
	for _, l := range cfg.GetLinks() {
		from, ok := m.regionIndex[l.GetFrom()]
		to, ok2 := m.regionIndex[l.GetTo()]
		if !ok || !ok2 || from == to {
			continue
		}
		linkRate := float64(l.GetCapacityMbitS()) * 1e6 / 8 / BytesPerRequest / services
		shiftCap := m.rules.shiftCap(l.GetShiftCapPerS())
		m.links[from][to] = link{
			shiftCap: shiftCap, maxRate: min(shiftCap, linkRate),
			step: m.rules.shiftStep(l.GetShiftStepPerMille()), bandwidth: l.GetCapacityMbitS(),
		}
	}
}

// parseWeights returns weights as a row by region, or nil if there are none. If
// the sum is too low, the difference is added to the largest weight.
func (m *model) parseWeights(list []*schema.Weight) []int {
	row, sum := make([]int, len(m.regions)), 0
	for _, w := range list {
		if i, ok := m.regionIndex[w.GetRegion()]; ok && sum < totalWeight {
			v := min(int(w.GetPerMille()), totalWeight-sum)
			row[i] += v
			sum += v
		}
	}
	if sum == 0 {
		return nil
	}
	row[indexOfLargest(row)] += totalWeight - sum
	return row
}

func indexOfLargest(row []int) int {
	index := 0
	for i, w := range row {
		if w > row[index] {
			index = i
		}
	}
	return index
}

// canServe reports whether region d is available and not the failed one.
func (m *model) canServe(d, failed int) bool { return m.available[d] && d != failed }

package planner

import (
	"slices"

	"catkindyke/pkg/schema"
)

// noRegion is used as the lost region when no region is lost.
const noRegion = -1

// model is the state of one service; regions are indices in the order of the
// configuration, and rates are requests a second.
type model struct {
	rules       rules
	svc         *schema.Service
	regions     []string
	regionIndex map[string]int
	// available says that the region has live hosts and servers that are not drained.
	available []bool
	// measured says that the load and the demand of the region are fresh.
	measured []bool
	// full says that no traffic may be added from other regions.
	full           []bool
	capacity       []float64
	demand         []float64
	links          [][]link
	currentWeights [][]int
}

// link is the connection from one region to another, for one service.
type link struct {
	// shiftCap is the rate that the shift shiftCap lets through.
	shiftCap float64
	// maxRate is the largest planned maxRate, bounded by the bucket and the link's
	// width; zero when nothing may be shifted.
	maxRate float64
	step    int
	// bandwidth orders links: a wider link counts as nearer.
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

// readRegion fills in one region. A figure that is missing, old or plainly
// wrong makes the region unknown, and full for other regions.
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
	// A region without live hosts receives no requests.
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

// countSlots returns the countSlots of a region in the configuration, and those of them that are not drained.
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

// readLinks splits a link's width evenly over the services, so that no service
// needs to know the others' plans.
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

// parseWeights reads weights; what is missing from the sum is added to the largest. It
// returns nil when there are none.
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

// canServe reports whether a region may be used when another one is lost.
func (m *model) canServe(d, failed int) bool { return m.available[d] && d != failed }

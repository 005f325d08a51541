package planner

import (
	"slices"

	"catkindyke/pkg/schema"
)

// none is used as the lost region when no region is lost.
const none = -1

// model is the state of one service; regions are indices in the order of the
// configuration, and rates are requests a second.
type model struct {
	rules   rules
	svc     *schema.Service
	regions []string
	index   map[string]int
	// usable says that the region has live hosts and servers that are not drained.
	usable []bool
	// known says that the load and the demand of the region are fresh.
	known []bool
	// full says that no traffic may be added from other regions.
	full     []bool
	capacity []float64
	demand   []float64
	links    [][]link
	weights  [][]int
}

// link is the connection from one region to another, for one service.
type link struct {
	// bucket is the rate that the shift bucket lets through.
	bucket float64
	// rate is the largest planned rate, bounded by the bucket and the link's
	// width; zero when nothing may be shifted.
	rate float64
	step int
	// width orders links: a wider link counts as nearer.
	width uint32
}

func newModel(rules rules, in Input, svc *schema.Service) *model {
	m := &model{rules: rules, svc: svc, index: make(map[string]int)}
	for i, r := range in.Config.GetRegions() {
		m.regions = append(m.regions, r.GetName())
		m.index[r.GetName()] = i
	}
	n := len(m.regions)
	m.usable, m.known, m.full = make([]bool, n), make([]bool, n), make([]bool, n)
	m.capacity, m.demand = make([]float64, n), make([]float64, n)
	m.links, m.weights = make([][]link, n), make([][]int, n)
	for r := range m.regions {
		m.links[r] = make([]link, n)
		m.readRegion(in, r)
		m.weights[r] = m.row(FindRoute(in.CurrentPlan, svc.GetName(), m.regions[r]).GetWeights())
		if m.weights[r] == nil {
			m.weights[r] = make([]int, n)
			m.weights[r][r] = whole
		}
	}
	m.readLinks(in.Config)
	return m
}

// readRegion fills in one region. A figure that is missing, old or plainly
// wrong makes the region unknown, and full for other regions.
func (m *model) readRegion(in Input, r int) {
	name := m.regions[r]
	configured, open := m.slots(in, name)
	perSlot := 1000 / float64(max(1, m.svc.GetServiceTimeMs()))
	m.usable[r] = in.LiveRegions[name] && open > 0 && !m.rules.drained(in.Drains, name)
	slots, fresh := open, false
	for _, l := range in.Loads {
		if l.Service == m.svc.GetName() && l.Region == name && l.Age >= 0 && l.Age <= m.rules.stale && l.Slots > 0 {
			fresh = true
			slots = min(slots, int(l.Slots))
			m.full[r] = l.Queued > l.Slots
		}
	}
	m.capacity[r] = m.rules.capacity(float64(slots) * perSlot)
	// A region without live hosts receives no requests.
	heard := !in.LiveRegions[name]
	if !heard {
		m.demand[r] = float64(configured) * perSlot
	}
	for _, d := range in.Demands {
		if !heard && d.Service == m.svc.GetName() && d.Region == name && d.Age >= 0 && d.Age <= m.rules.stale && d.RatePerS >= 0 {
			heard, m.demand[r] = true, d.RatePerS
		}
	}
	m.known[r] = heard && (fresh || !m.usable[r])
	m.full[r] = m.full[r] || !m.known[r]
}

// slots returns the slots of a region in the configuration, and those of them that are not drained.
func (m *model) slots(in Input, region string) (configured, open int) {
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
			open += n
		}
	}
	return configured, open
}

// readLinks splits a link's width evenly over the services, so that no service
// needs to know the others' plans.
func (m *model) readLinks(cfg *schema.Config) {
	services := float64(max(1, len(cfg.GetServices())))
	for _, l := range cfg.GetLinks() {
		from, ok := m.index[l.GetFrom()]
		to, ok2 := m.index[l.GetTo()]
		if !ok || !ok2 || from == to {
			continue
		}
		width := float64(l.GetCapacityMbitS()) * 1e6 / 8 / BytesPerRequest / services
		bucket := m.rules.shiftCap(l.GetShiftCapPerS())
		m.links[from][to] = link{
			bucket: bucket, rate: min(bucket, width),
			step: m.rules.step(l.GetShiftStepPerMille()), width: l.GetCapacityMbitS(),
		}
	}
}

// row reads weights; what is missing from the sum is added to the largest. It
// returns nil when there are none.
func (m *model) row(list []*schema.Weight) []int {
	row, sum := make([]int, len(m.regions)), 0
	for _, w := range list {
		if i, ok := m.index[w.GetRegion()]; ok && sum < whole {
			v := min(int(w.GetPerMille()), whole-sum)
			row[i] += v
			sum += v
		}
	}
	if sum == 0 {
		return nil
	}
	row[largest(row)] += whole - sum
	return row
}

func largest(row []int) int {
	best := 0
	for i, w := range row {
		if w > row[best] {
			best = i
		}
	}
	return best
}

// open reports whether a region may be used when another one is lost.
func (m *model) open(d, lost int) bool { return m.usable[d] && d != lost }

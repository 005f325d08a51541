package balancer

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// classWeight is the weight of one answer in a class's work times.
	classWeight = 0.05
	// countLife is the number of requests over which the shares of regions are kept even.
	countLife = 200.0
)

// class is what is known of requests of one kind.
type class struct {
	// warm and cold are the times of the work at a server that holds the object
	// and at one that does not, in milliseconds.
	warm, cold float64
}

func (b *Balancer) class(req Request) *class {
	c := b.classes[req.Class]
	if c == nil {
		warm := float64(req.Objective) / 2
		c = &class{warm: warm, cold: warm * coldFactor}
		b.classes[req.Class] = c
	}
	return c
}

func (c *class) learn(warm bool, work float64) {
	if warm {
		c.warm += classWeight * (work - c.warm)
	} else {
		c.cold += classWeight * (work - c.cold)
	}
	c.cold = max(c.cold, c.warm)
}

// pool is the servers of one service.
type pool struct {
	regions map[string][]*server
	slots   map[string]float64
	total   float64
	// sent is the discounted number of requests by region.
	sent map[string]float64
}

func newPool(old *pool) *pool {
	p := &pool{regions: make(map[string][]*server), slots: make(map[string]float64), sent: make(map[string]float64)}
	if old != nil {
		p.sent = old.sent
	}
	return p
}

func (p *pool) add(s *server) {
	p.regions[s.Region] = append(p.regions[s.Region], s)
	p.slots[s.Region] += float64(s.Slots)
	p.total += float64(s.Slots)
}

func (p *pool) sort() {
	for _, servers := range p.regions {
		slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	}
}

// allowed returns the regions with servers that may serve a request, by name.
func (p *pool) allowed(homes []string) []string {
	var out []string
	for region := range p.regions {
		if homes == nil || slices.Contains(homes, region) {
			out = append(out, region)
		}
	}
	slices.Sort(out)
	return out
}

// order puts first the region that is furthest behind its share of requests,
// then the others, the host's own before the rest. Shares follow the slots.
func (p *pool) order(regions []string, own string) []string {
	if len(regions) < 2 {
		return regions
	}
	var slots, sent float64
	for _, region := range regions {
		slots += p.slots[region]
		sent += p.sent[region]
	}
	behind := func(region string) float64 {
		return p.slots[region]/slots*(sent+1) - p.sent[region]
	}
	first := slices.MaxFunc(regions, func(a, b string) int { return cmp.Compare(behind(a), behind(b)) })
	out := slices.Clone(regions)
	slices.SortStableFunc(out, func(a, b string) int {
		return cmp.Compare(place(a, first, own), place(b, first, own))
	})
	return out
}

func place(region, first, own string) int {
	switch region {
	case first:
		return 0
	case own:
		return 1
	default:
		return 2
	}
}

// count notes that a request goes to a region.
func (p *pool) count(region string) {
	p.sent[region]++
	var sum float64
	for _, n := range p.sent {
		sum += n
	}
	if sum > countLife {
		for r := range p.sent {
			p.sent[r] *= 0.5
		}
	}
}

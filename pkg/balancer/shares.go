package balancer

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// minWeight keeps the servers of regions without a share at the end of each
	// ranking, for when all others fail.
	minWeight = 1e-6
	// targetUse is the use of a region's slots up to which it serves its own
	// callers before it sends some to other regions.
	targetUse = 0.6
	// evenness is how far above the mean use of all regions a region may be.
	evenness = 1.1
	// movingShare is the difference between a share and its target at which it
	// begins to move, and settledShare the one at which it stops.
	movingShare, settledShare = 0.15, 0.03
	// lostPart is the part of a region's slots that is lost when requests move to
	// other regions at once, and lossTime the time for which they may: all hosts
	// of the region learn of lost servers in it.
	lostPart              = 0.3
	lossTime clock.Millis = 2000
	// slotMemory is the time in which slots that go one after the other add up.
	slotMemory = 10 * clock.Second
	// maxStep is the longest time between steps; after a suspension the shares
	// stay where they are.
	maxStep = 5 * clock.Second
)

// target computes which share of a region's requests each region should serve.
//
// It answers demand that does not follow the servers: a region with a tenth of
// the servers and a third of the callers. Each region serves its own callers up
// to a use of its slots that is even over the fleet; the rest is divided in
// proportion to the room that is left elsewhere.
func target(own string, slots, demand map[string]float64, work float64) map[string]float64 {
	var totalSlots, totalDemand float64
	for region, n := range slots {
		totalSlots += n
		totalDemand += demand[region]
	}
	for region, d := range demand {
		if slots[region] == 0 {
			totalDemand += d
		}
	}
	if totalSlots == 0 {
		return nil
	}
	// use converts requests a second to slots in use.
	use := work / 1000
	limit := math.Max(targetUse, evenness*totalDemand*use/totalSlots)
	out := make(map[string]float64, len(slots))
	need := demand[own] * use
	local := 1.0
	if room := slots[own] * limit; need > room {
		local = room / need
	}
	if slots[own] == 0 {
		local = 0
	}
	var spare float64
	for region, n := range slots {
		if region != own {
			out[region] = math.Max(0, n*limit-demand[region]*use)
			spare += out[region]
		}
	}
	if spare == 0 {
		// Nowhere is room: divide by slots.
		for region, n := range slots {
			out[region] = n / totalSlots
		}
		return out
	}
	for region := range out {
		out[region] *= (1 - local) / spare
	}
	if slots[own] > 0 {
		out[own] = local
	}
	return out
}

// afterLoss computes the shares of a region that has just lost slots: it keeps as
// much as its slots are of all that are free of the requests of other regions,
// and the rest goes where room is. Shares of other regions do not fall, so that
// only requests for objects that must be learned anyway move.
func afterLoss(own string, weights, slots, demand map[string]float64, work float64) map[string]float64 {
	room := make(map[string]float64, len(slots))
	var elsewhere float64
	for region, n := range slots {
		if region != own {
			room[region] = math.Max(0, n*targetUse-demand[region]*work/1000)
			elsewhere += room[region]
		}
	}
	out := maps.Clone(weights)
	if elsewhere == 0 {
		return out
	}
	out[own] = math.Min(weights[own], slots[own]/(slots[own]+elsewhere))
	for region, n := range room {
		out[region] += (weights[own] - out[own]) * n / elsewhere
	}
	return out
}

// start sets the shares of a pool that has served nothing, as if demand were the
// same in all regions. Servers announce themselves one after the other, so that
// the shares follow them until the first answer.
func (p *pool) start(own string) {
	if p.work > 0 {
		return
	}
	equal := make(map[string]float64, len(p.slots)+1)
	for region := range p.slots {
		equal[region] = 1
	}
	equal[own] = 1
	var total float64
	for _, n := range p.slots {
		total += n
	}
	// The work is such that all slots are in use, which is where shares matter.
	p.weights = target(own, p.slots, equal, total/float64(len(equal))*1000)
}

// noteSlots notes which regions have lost a part of their slots.
func (p *pool) noteSlots(elapsed, now clock.Millis) {
	usual := maps.Clone(p.slots)
	for region, before := range p.usualSlots {
		n := p.slots[region]
		if n < (1-lostPart)*before {
			p.lostAt[region] = now
			continue
		}
		if n < before {
			usual[region] = before + (n-before)*math.Min(1, float64(elapsed)/float64(slotMemory))
		}
	}
	p.usualSlots = usual
	maps.DeleteFunc(p.lostAt, func(_ string, at clock.Millis) bool { return now-at > lossTime })
}

// shift moves the shares towards their target, at most as fast as the limit on
// shifts between regions allows.
//
// It answers demand that changes, which the limit is for, and servers that are
// lost. After a loss the servers that are left would be overloaded for as long as
// the limit takes, while other regions have room, so that the shares move at once.
// What the lost servers held must be learned, and takes more slots until then.
func (p *pool) shift(demand map[string]float64, cfg Config, elapsed, now clock.Millis) {
	p.noteSlots(elapsed, now)
	if p.work == 0 {
		return
	}
	want := target(cfg.Region, p.slots, demand, p.work)
	_, lost := p.lostAt[cfg.Region]
	if lost = lost && want[cfg.Region] < p.weights[cfg.Region]-settledShare; lost {
		want = afterLoss(cfg.Region, p.weights, p.slots, demand, p.work)
	}
	next := make(map[string]float64, len(want))
	var most float64
	regions := maps.Clone(p.weights)
	maps.Copy(regions, want)
	for region := range regions {
		if _, ok := p.slots[region]; ok {
			most = math.Max(most, math.Abs(want[region]-p.weights[region]))
		}
	}
	// Hysteresis: each change of a share moves objects to servers that must learn
	// them, so that small differences are not worth one.
	if most < settledShare || (!p.moving && !lost && most < movingShare) {
		p.moving = false
		return
	}
	p.moving = true
	part := 1.0
	if !lost {
		part = math.Min(1, cfg.ShiftRate*float64(elapsed)/1000/most)
	}
	for region := range regions {
		if _, ok := p.slots[region]; ok {
			next[region] = p.weights[region] + part*(want[region]-p.weights[region])
		}
	}
	p.weights = next
}

package balancer

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// minShare keeps the servers of regions without a share at the end of each
	// ranking, for when all others fail.
	minShare = 1e-6
	// targetUtilization is the use of a region's slots up to which it serves its own
	// callers before it sends some to other regions.
	targetUtilization = 0.6
	// maxUtilizationRatio is how far above the mean use of all regions a region may be.
	maxUtilizationRatio = 1.1
	// shiftStartThreshold is the difference between a share and its target at which it
	// begins to move, and shiftStopThreshold the one at which it stops.
	shiftStartThreshold, shiftStopThreshold = 0.15, 0.03
	// slotLossThreshold is the part of a region's slots that is lost when requests move to
	// other regions at once, and lossTime the time for which they may: all hosts
	// of the region learn of lost servers in it.
	slotLossThreshold              = 0.3
	fastShiftTime     clock.Millis = 2000
	// baselineSlotsTime is the time in which slots that go one after the other add up.
	baselineSlotsTime = 10 * clock.Second
	// maxTickInterval is the longest time between steps; after a suspension the shares
	// stay where they are.
	maxTickInterval = 5 * clock.Second
)

// targetShares computes which share of a region's requests each region should serve.
//
// It answers demand that does not follow the servers: a region with a tenth of
// the servers and a third of the callers. Each region serves its own callers up
// to a use of its slots that is even over the fleet; the rest is divided in
// proportion to the room that is left elsewhere.
func targetShares(localRegion string, slots, demand map[string]float64, serviceTime float64) map[string]float64 {
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
	// serviceSeconds converts requests a second to slots in serviceSeconds.
	serviceSeconds := serviceTime / 1000
	maxUtilization := math.Max(targetUtilization, maxUtilizationRatio*totalDemand*serviceSeconds/totalSlots)
	out := make(map[string]float64, len(slots))
	neededSlots := demand[localRegion] * serviceSeconds
	localShare := 1.0
	if usableSlots := slots[localRegion] * maxUtilization; neededSlots > usableSlots {
		localShare = usableSlots / neededSlots
	}
	if slots[localRegion] == 0 {
		localShare = 0
	}
	var totalSpare float64
	for region, n := range slots {
		if region != localRegion {
			out[region] = math.Max(0, n*maxUtilization-demand[region]*serviceSeconds)
			totalSpare += out[region]
		}
	}
	if totalSpare == 0 {
		// Nowhere is room: divide by slots.
		for region, n := range slots {
			out[region] = n / totalSlots
		}
		return out
	}
	for region := range out {
		out[region] *= (1 - localShare) / totalSpare
	}
	if slots[localRegion] > 0 {
		out[localRegion] = localShare
	}
	return out
}

// sharesAfterLoss computes the shares of a region that has just lost slots: it keeps as
// much as its slots are of all that are free of the requests of other regions,
// and the rest goes where room is. Shares of other regions do not fall, so that
// only requests for objects that must be learned anyway move.
func sharesAfterLoss(localRegion string, shares, slots, demand map[string]float64, serviceTime float64) map[string]float64 {
	spare := make(map[string]float64, len(slots))
	var totalSpare float64
	for region, n := range slots {
		if region != localRegion {
			spare[region] = math.Max(0, n*targetUtilization-demand[region]*serviceTime/1000)
			totalSpare += spare[region]
		}
	}
	out := maps.Clone(shares)
	if totalSpare == 0 {
		return out
	}
	out[localRegion] = math.Min(shares[localRegion], slots[localRegion]/(slots[localRegion]+totalSpare))
	for region, n := range spare {
		out[region] += (shares[localRegion] - out[localRegion]) * n / totalSpare
	}
	return out
}

// initShares sets the shares of a pool that has served nothing, as if demand were the
// same in all regions. Servers announce themselves one after the other, so that
// the shares follow them until the first answer.
func (p *pool) initShares(localRegion string) {
	if p.meanServiceTime > 0 {
		return
	}
	equal := make(map[string]float64, len(p.slotsByRegion)+1)
	for region := range p.slotsByRegion {
		equal[region] = 1
	}
	equal[localRegion] = 1
	var total float64
	for _, n := range p.slotsByRegion {
		total += n
	}
	// The work is such that all slots are in use, which is where shares matter.
	p.shares = targetShares(localRegion, p.slotsByRegion, equal, total/float64(len(equal))*1000)
}

// detectSlotLoss notes which regions have lost a part of their slots.
func (p *pool) detectSlotLoss(elapsed, now clock.Millis) {
	baseline := maps.Clone(p.slotsByRegion)
	for region, before := range p.baselineSlots {
		n := p.slotsByRegion[region]
		if n < (1-slotLossThreshold)*before {
			p.slotLossAt[region] = now
			continue
		}
		if n < before {
			baseline[region] = before + (n-before)*math.Min(1, float64(elapsed)/float64(baselineSlotsTime))
		}
	}
	p.baselineSlots = baseline
	maps.DeleteFunc(p.slotLossAt, func(_ string, at clock.Millis) bool { return now-at > fastShiftTime })
}

// updateShares moves the shares towards their target, at most as fast as the limit on
// shifts between regions allows.
//
// It answers demand that changes, which the limit is for, and servers that are
// lost. After a loss the servers that are left would be overloaded for as long as
// the limit takes, while other regions have room, so that the shares move at once.
// What the lost servers held must be learned, and takes more slots until then.
func (p *pool) updateShares(demand map[string]float64, cfg Config, elapsed, now clock.Millis) {
	p.detectSlotLoss(elapsed, now)
	if p.meanServiceTime == 0 {
		return
	}
	target := targetShares(cfg.Region, p.slotsByRegion, demand, p.meanServiceTime)
	_, slotsLost := p.slotLossAt[cfg.Region]
	if slotsLost = slotsLost && target[cfg.Region] < p.shares[cfg.Region]-shiftStopThreshold; slotsLost {
		target = sharesAfterLoss(cfg.Region, p.shares, p.slotsByRegion, demand, p.meanServiceTime)
	}
	next := make(map[string]float64, len(target))
	var maxDiff float64
	regions := maps.Clone(p.shares)
	maps.Copy(regions, target)
	for region := range regions {
		if _, ok := p.slotsByRegion[region]; ok {
			maxDiff = math.Max(maxDiff, math.Abs(target[region]-p.shares[region]))
		}
	}
	// Hysteresis: each change of a share moves objects to servers that must learn
	// them, so that small differences are not worth one.
	if maxDiff < shiftStopThreshold || (!p.shifting && !slotsLost && maxDiff < shiftStartThreshold) {
		p.shifting = false
		return
	}
	p.shifting = true
	fraction := 1.0
	if !slotsLost {
		fraction = math.Min(1, cfg.ShiftRate*float64(elapsed)/1000/maxDiff)
	}
	for region := range regions {
		if _, ok := p.slotsByRegion[region]; ok {
			next[region] = p.shares[region] + fraction*(target[region]-p.shares[region])
		}
	}
	p.shares = next
}

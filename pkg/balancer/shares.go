package balancer

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// minShare ranks the servers of regions without a share last, for use when all others
	// fail.
	minShare = 1e-6
	// targetUtilization is the slot utilization up to which a region serves its own callers
	// before it sends some to other regions.
	targetUtilization = 0.6
	// maxUtilizationRatio is the largest ratio of a region's utilization to the mean of all
	// regions.
	maxUtilizationRatio = 1.1
	// shiftStartThreshold is the difference between a share and its target at which a shift
	// starts, and shiftStopThreshold the one at which it stops.
	shiftStartThreshold, shiftStopThreshold = 0.15, 0.03
	// slotLossThreshold is the fraction of a region's slots whose loss lets the shares move
	// at once. fastShiftTime is the time for which they may; within it, all hosts of the
	// region learn of the lost servers.
	slotLossThreshold              = 0.3
	fastShiftTime     clock.Millis = 2000
	// baselineSlotsTime is the period over which losses of slots in succession add up.
	baselineSlotsTime = 10 * clock.Second
	// maxTickInterval is the longest interval between ticks. After a longer one, such as a
	// suspension, the shares stay as they are.
	maxTickInterval = 5 * clock.Second
)

// targetShares computes which share of a region's requests each region should serve.
//
// Demand need not follow the servers: a region may have a tenth of the servers and a
// third of the callers. Each region serves its own callers up to a utilization that is
// even over the fleet; the rest is divided in proportion to the spare slots elsewhere.
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
	// serviceSeconds converts requests per second to slots in use.
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
		// No region has spare slots: divide by slots.
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

// sharesAfterLoss computes the shares of a region that has just lost slots. Its own
// share falls to the ratio of its slots to the sum of its slots and the spare slots of
// other regions, which get the rest. Shares of other regions do not fall, so that
// requests move only for objects for which a server must warm up anyway.
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
// same in all regions. Servers announce themselves one after the other, so that the
// shares are set again for each until the first response.
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
	// With this service time all slots are in use, which is where shares matter.
	p.shares = targetShares(localRegion, p.slotsByRegion, equal, total/float64(len(equal))*1000)
}

// detectSlotLoss records which regions have lost a large part of their slots.
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

// updateShares moves the shares towards their targets, no faster than ShiftRate, which
// is meant for changes of demand.
//
// After a loss of servers the shares move at once. At ShiftRate the remaining servers
// would stay overloaded while other regions have spare slots. The objects of the lost
// servers take more slots until other servers are warm for them.
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
	// Hysteresis: each change of a share moves objects to servers that must warm up for
	// them, which small differences don't justify.
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

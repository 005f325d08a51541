package planner

import (
	"cmp"
	"slices"
)

const (
	// allocationRounds is the number of rounds in which sources that compete
	// for the same spare capacity divide it.
	allocationRounds = 4
	// negligibleRate is the rate below which a flow counts as zero.
	negligibleRate = 1e-6
)

// allocation divides the demand among the regions, as rates.
type allocation struct {
	model         *model
	failedRegion  int
	flow          [][]float64
	excess, spare []float64
}

// targetWeights returns the weights that the demand requires when one region
// has failed, regardless of the steps from the current weights.
func (m *model) targetWeights(failed int) [][]int {
	a := &allocation{model: m, failedRegion: failed, excess: make([]float64, len(m.regions)), spare: make([]float64, len(m.regions))}
	for r := range m.regions {
		a.flow = append(a.flow, make([]float64, len(m.regions)))
		a.allocateHome(r)
	}
	for r := range m.regions {
		a.keepShiftsToFullRegions(r)
	}
	for _, bandwidth := range m.bandwidths() {
		for range allocationRounds {
			a.allocateSpare(bandwidth)
		}
	}
	out := make([][]int, len(m.regions))
	for r := range m.regions {
		out[r] = a.toWeights(r)
	}
	return out
}

// allocateHome assigns a region's demand to its own capacity first.
func (a *allocation) allocateHome(r int) {
	m := a.model
	a.excess[r] = m.demand[r]
	if !m.canServe(r, a.failedRegion) {
		return
	}
	// Home keeps its weight while its load is between the thresholds.
	current := m.demand[r] * float64(m.currentWeights[r][r]) / totalWeight
	home := min(m.demand[r], max(m.capacity[r]*m.rules.lowThreshold, min(m.capacity[r]*m.rules.highThreshold, current)))
	a.flow[r][r] = home
	a.excess[r] -= home
	if !m.full[r] {
		a.spare[r] = max(0, m.capacity[r]*m.rules.highThreshold-home)
	}
}

// keepShiftsToFullRegions keeps the current shifts into full regions as long as
// the source needs them.
func (a *allocation) keepShiftsToFullRegions(r int) {
	for d := range a.model.regions {
		if d == r || !a.model.canServe(d, a.failedRegion) || !a.model.full[d] {
			continue
		}
		v := min(a.excess[r], a.model.demand[r]*float64(a.model.currentWeights[r][d])/totalWeight, a.model.links[r][d].maxRate)
		a.flow[r][d] += v
		a.excess[r] -= v
	}
}

// bandwidths returns the distinct bandwidths of usable links, highest first.
func (m *model) bandwidths() []uint32 {
	var out []uint32
	for _, row := range m.links {
		for _, l := range row {
			if l.maxRate > 0 && !slices.Contains(out, l.bandwidth) {
				out = append(out, l.bandwidth)
			}
		}
	}
	slices.SortFunc(out, func(x, y uint32) int { return cmp.Compare(y, x) })
	return out
}

// allocateSpare divides the spare capacity behind links of one bandwidth. A
// source requests from each region in proportion to what that region can take.
// A region with too many requests grants each source the same fraction.
func (a *allocation) allocateSpare(bandwidth uint32) {
	n := len(a.model.regions)
	requests, requested := make([][]float64, n), make([]float64, n)
	for r := range requests {
		requests[r] = a.requestSpare(r, bandwidth)
		for d, v := range requests[r] {
			requested[d] += v
		}
	}
	for d := range requested {
		fraction := 1.0
		if requested[d] > a.spare[d] {
			fraction = a.spare[d] / requested[d]
		}
		for r := range requests {
			v := requests[r][d] * fraction
			a.flow[r][d] += v
			a.excess[r] -= v
		}
		a.spare[d] = max(0, a.spare[d]-requested[d]*fraction)
	}
}

// requestSpare returns the rates that a source requests from each region.
func (a *allocation) requestSpare(r int, bandwidth uint32) []float64 {
	out, sum := make([]float64, len(a.model.regions)), 0.0
	for d, l := range a.model.links[r] {
		if l.bandwidth == bandwidth && a.model.canServe(d, a.failedRegion) {
			out[d] = max(0, min(a.spare[d], l.maxRate-a.flow[r][d]))
			sum += out[d]
		}
	}
	if sum < negligibleRate || a.excess[r] < negligibleRate {
		return make([]float64, len(out))
	}
	fraction := min(1, a.excess[r]/sum)
	for d := range out {
		out[d] *= fraction
	}
	return out
}

// toWeights converts a source's rates into weights. Demand that does not fit
// stays home, where the queue refuses it. If home is unavailable, the weights
// keep the proportions of what fits, and the shift buckets refuse the rest.
func (a *allocation) toWeights(r int) []int {
	m := a.model
	if m.canServe(r, a.failedRegion) {
		if !m.measured[r] && a.failedRegion == noRegion {
			return m.keepWeights(r)
		}
		row, sum := roundToPerMille(a.flow[r], max(negligibleRate, m.demand[r]), r)
		row[r] = totalWeight - sum
		return row
	}
	total := 0.0
	for _, v := range a.flow[r] {
		total += v
	}
	shares := a.flow[r]
	if total < negligibleRate {
		shares, total = a.sharesByCapacity(r)
	}
	if total < negligibleRate {
		row := make([]int, len(m.regions))
		row[r] = totalWeight
		return row
	}
	row, sum := roundToPerMille(shares, total, noRegion)
	row[indexOfLargest(row)] += totalWeight - sum
	return row
}

// keepWeights returns the current weights for a source whose demand is not
// measured. Weights of unavailable regions move home.
func (m *model) keepWeights(r int) []int {
	row := slices.Clone(m.currentWeights[r])
	for d := range row {
		if d != r && !m.available[d] {
			row[r] += row[d]
			row[d] = 0
		}
	}
	return row
}

// sharesByCapacity returns shares in proportion to the capacities, and their
// sum. It is used when nothing fits or there is no demand.
func (a *allocation) sharesByCapacity(r int) ([]float64, float64) {
	out, total := make([]float64, len(a.model.regions)), 0.0
	for d, l := range a.model.links[r] {
		if l.maxRate > 0 && a.model.canServe(d, a.failedRegion) {
			out[d] = a.model.capacity[d]
			total += out[d]
		}
	}
	return out, total
}

// roundToPerMille returns the shares in per mille, rounded down, and their sum.
// It leaves out the region skip.
func roundToPerMille(shares []float64, total float64, skip int) (row []int, sum int) {
	row = make([]int, len(shares))
	for d, v := range shares {
		if d != skip {
			row[d] = min(int(v/total*totalWeight), totalWeight-sum)
			sum += row[d]
		}
	}
	return row, sum
}

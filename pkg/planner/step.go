package planner

import (
	"math"
	"slices"
)

// weightMover moves the current weights towards their targets. The steps of the
// links limit each transfer, and so does the destination's spare capacity if
// the source's home is available. No plan therefore adds traffic to a region or
// link that is at its limit.
type weightMover struct {
	model   *model
	weights [][]int
	load    []float64
}

// transferPasses is the number of passes over the sources, so that a transfer
// can use capacity that a later one frees.
const transferPasses = 2

// moveWeights returns the weights of the next plan, as close to their targets
// as the limits allow.
func (m *model) moveWeights(target [][]int) [][]int {
	v := &weightMover{model: m, load: make([]float64, len(m.regions))}
	for r, row := range m.currentWeights {
		v.weights = append(v.weights, slices.Clone(row))
		for d, w := range row {
			v.load[d] += m.plannedRate(r, d, w)
		}
	}
	v.moveFromUnavailableHomes(target)
	v.returnHome(target)
	for range transferPasses {
		for r := range m.regions {
			if m.available[r] && m.needsChange(r, target[r]) {
				v.moveSource(r, target[r])
			}
		}
	}
	return v.weights
}

// plannedRate returns the rate that a weight results in, up to the shift cap.
func (m *model) plannedRate(r, d, weight int) float64 {
	rate := m.demand[r] * float64(weight) / totalWeight
	if r != d {
		rate = min(rate, m.links[r][d].shiftCap)
	}
	return rate
}

// needsChange reports whether a weight differs from its target by the deadband
// or more, or still has to reach a target of zero or totalWeight.
func (m *model) needsChange(r int, target []int) bool {
	for d, w := range m.currentWeights[r] {
		if abs(target[d]-w) >= deadband || w != target[d] && (target[d] == 0 || target[d] == totalWeight) {
			return true
		}
	}
	return false
}

// moveFromUnavailableHomes moves the weights of sources whose home is
// unavailable. Their traffic cannot stay, so it moves first and regardless of
// spare capacity.
func (v *weightMover) moveFromUnavailableHomes(target [][]int) {
	for r := range target {
		if !v.model.available[r] && v.model.needsChange(r, target[r]) {
			for _, available := range []bool{false, true} {
				for from := range target {
					if v.model.available[from] == available {
						v.moveSurplus(r, from, target[r])
					}
				}
			}
		}
	}
}

// returnHome moves weights back home from regions that are unavailable or over
// capacity, regardless of the home's spare capacity, because home refuses what
// it cannot serve. It runs before the transfers that depend on spare capacity,
// so that they take its load into account.
func (v *weightMover) returnHome(target [][]int) {
	for r := range v.weights {
		for from := range v.weights[r] {
			switch {
			case !v.model.available[r] || from == r:
			case !v.model.available[from]:
				v.transfer(r, from, r, v.weights[r][from])
			case v.load[from] > v.model.capacity[from] && v.model.needsChange(r, target[r]):
				v.transfer(r, from, r, min(v.weights[r][from]-target[r][from], target[r][r]-v.weights[r][r]))
			}
		}
	}
}

// moveSource makes the transfers of a source whose home is available.
func (v *weightMover) moveSource(r int, target []int) {
	for from := range target {
		v.moveSurplus(r, from, target)
	}
}

// moveSurplus moves weight above a region's target to regions below theirs.
func (v *weightMover) moveSurplus(r, from int, target []int) {
	for to := range target {
		n := min(v.weights[r][from]-target[from], target[to]-v.weights[r][to])
		if v.model.available[r] {
			n = min(n, v.spareWeight(r, to))
		}
		v.transfer(r, from, to, n)
	}
}

// transfer moves up to n per mille, limited by the steps of the links.
func (v *weightMover) transfer(r, from, to, n int) {
	n = min(n, v.remainingStep(r, from), v.remainingStep(r, to))
	if n > 0 {
		v.addWeight(r, from, -n)
		v.addWeight(r, to, n)
	}
}

// addWeight changes a weight and updates the load of its destination.
func (v *weightMover) addWeight(r, d, change int) {
	v.load[d] -= v.model.plannedRate(r, d, v.weights[r][d])
	v.weights[r][d] += change
	v.load[d] += v.model.plannedRate(r, d, v.weights[r][d])
}

// remainingStep returns how far a weight may still change in this plan. Home
// has no link, so only the changes of the other weights limit it.
func (v *weightMover) remainingStep(r, d int) int {
	if d == r {
		return totalWeight
	}
	return v.model.links[r][d].step - abs(v.weights[r][d]-v.model.currentWeights[r][d])
}

// spareWeight returns the weight that a destination can still take.
func (v *weightMover) spareWeight(r, d int) int {
	m := v.model
	limit := m.capacity[d]
	if d != r {
		limit *= m.rules.highThreshold
	}
	spare := limit - v.load[d]
	if d != r {
		spare = min(spare, m.links[r][d].maxRate-m.demand[r]*float64(v.weights[r][d])/totalWeight)
		if m.full[d] {
			return 0
		}
	}
	if m.demand[r] < negligibleRate {
		return totalWeight
	}
	return int(math.Floor(max(0, spare) * totalWeight / m.demand[r]))
}

package planner

import (
	"math"
	"slices"
)

// mover moves weights from those in force towards a target. Each transfer is
// cut to the steps of its links and, when the source has a usable home, to the
// room at its destination, so that no plan adds traffic to a region or link
// that is at its limit.
type mover struct {
	m    *model
	now  [][]int
	load []float64
}

// transferPasses lets a transfer use the room that a later one frees.
const transferPasses = 2

func (m *model) move(want [][]int) [][]int {
	v := &mover{m: m, load: make([]float64, len(m.regions))}
	for r, row := range m.weights {
		v.now = append(v.now, slices.Clone(row))
		for d, w := range row {
			v.load[d] += m.planned(r, d, w)
		}
	}
	v.withoutHome(want)
	v.comeHome(want)
	for range transferPasses {
		for r := range m.regions {
			if m.usable[r] && m.worthwhile(r, want[r]) {
				v.moveRow(r, want[r])
			}
		}
	}
	return v.now
}

// planned returns the rate that a weight stands for, bounded by the shift bucket.
func (m *model) planned(r, d, weight int) float64 {
	rate := m.demand[r] * float64(weight) / whole
	if r != d {
		rate = min(rate, m.links[r][d].bucket)
	}
	return rate
}

// worthwhile reports whether a row differs from its target by more than the
// deadband, or has to reach an end.
func (m *model) worthwhile(r int, want []int) bool {
	for d, w := range m.weights[r] {
		if abs(want[d]-w) >= deadband || w != want[d] && (want[d] == 0 || want[d] == whole) {
			return true
		}
	}
	return false
}

// withoutHome moves the sources whose home cannot be used. Their traffic has
// to go somewhere, so it waits for no room and comes before all other transfers.
func (v *mover) withoutHome(want [][]int) {
	for r := range want {
		if !v.m.usable[r] && v.m.worthwhile(r, want[r]) {
			for _, usable := range []bool{false, true} {
				for from := range want {
					if v.m.usable[from] == usable {
						v.fill(r, from, want[r])
					}
				}
			}
		}
	}
}

// comeHome takes traffic back from regions that cannot be used or have more
// than they run. It waits for no room: what is too much is refused at home. It
// comes before the transfers that look for room, so that they see its load.
func (v *mover) comeHome(want [][]int) {
	for r := range v.now {
		for from := range v.now[r] {
			switch {
			case !v.m.usable[r] || from == r:
			case !v.m.usable[from]:
				v.transfer(r, from, r, v.now[r][from])
			case v.load[from] > v.m.capacity[from] && v.m.worthwhile(r, want[r]):
				v.transfer(r, from, r, min(v.now[r][from]-want[r][from], want[r][r]-v.now[r][r]))
			}
		}
	}
}

// moveRow makes the transfers of a source whose home can be used.
func (v *mover) moveRow(r int, want []int) {
	for from := range want {
		v.fill(r, from, want)
	}
}

// fill moves what is over the target at one region to those under it.
func (v *mover) fill(r, from int, want []int) {
	for to := range want {
		n := min(v.now[r][from]-want[from], want[to]-v.now[r][to])
		if v.m.usable[r] {
			n = min(n, v.room(r, to))
		}
		v.transfer(r, from, to, n)
	}
}

// transfer moves up to n per mille within the steps of the links.
func (v *mover) transfer(r, from, to, n int) {
	n = min(n, v.stepLeft(r, from), v.stepLeft(r, to))
	if n > 0 {
		v.add(r, from, -n)
		v.add(r, to, n)
	}
}

func (v *mover) add(r, d, change int) {
	v.load[d] -= v.m.planned(r, d, v.now[r][d])
	v.now[r][d] += change
	v.load[d] += v.m.planned(r, d, v.now[r][d])
}

// stepLeft returns how far a weight may still move in this plan. Home has no
// link; its weight is bounded by those of the other regions.
func (v *mover) stepLeft(r, d int) int {
	if d == r {
		return whole
	}
	return v.m.links[r][d].step - abs(v.now[r][d]-v.m.weights[r][d])
}

// room returns the weight that a destination can still take.
func (v *mover) room(r, to int) int {
	m := v.m
	mark := m.capacity[to]
	if to != r {
		mark *= m.rules.high
	}
	left := mark - v.load[to]
	if to != r {
		left = min(left, m.links[r][to].rate-m.demand[r]*float64(v.now[r][to])/whole)
		if m.full[to] {
			return 0
		}
	}
	if m.demand[r] < tiny {
		return whole
	}
	return int(math.Floor(max(0, left) * whole / m.demand[r]))
}

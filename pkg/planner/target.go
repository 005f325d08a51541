package planner

import (
	"cmp"
	"slices"
)

const (
	// rounds bounds the division of spare capacity between sources that want the same.
	rounds = 4
	// tiny is a rate that counts as none.
	tiny = 1e-6
)

// allocation is the division of the demand over regions, as rates.
type allocation struct {
	m             *model
	lost          int
	flow          [][]float64
	excess, spare []float64
}

// target returns the weights that the demand calls for with one region lost,
// without regard to the weights in force and their steps.
func (m *model) target(lost int) [][]int {
	a := &allocation{m: m, lost: lost, excess: make([]float64, len(m.regions)), spare: make([]float64, len(m.regions))}
	for r := range m.regions {
		a.flow = append(a.flow, make([]float64, len(m.regions)))
		a.keepHome(r)
	}
	for r := range m.regions {
		a.keepFrozen(r)
	}
	for _, width := range m.widths() {
		for range rounds {
			a.share(width)
		}
	}
	out := make([][]int, len(m.regions))
	for r := range m.regions {
		out[r] = a.weights(r)
	}
	return out
}

// keepHome gives a region its own traffic first.
func (a *allocation) keepHome(r int) {
	m := a.m
	a.excess[r] = m.demand[r]
	if !m.open(r, a.lost) {
		return
	}
	// Home keeps its weight while its load is between the marks.
	inForce := m.demand[r] * float64(m.weights[r][r]) / whole
	home := min(m.demand[r], max(m.capacity[r]*m.rules.low, min(m.capacity[r]*m.rules.high, inForce)))
	a.flow[r][r] = home
	a.excess[r] -= home
	if !m.full[r] {
		a.spare[r] = max(0, m.capacity[r]*m.rules.high-home)
	}
}

// keepFrozen leaves shifts into a full region as they are while the source
// needs them.
func (a *allocation) keepFrozen(r int) {
	for d := range a.m.regions {
		if d == r || !a.m.open(d, a.lost) || !a.m.full[d] {
			continue
		}
		v := min(a.excess[r], a.m.demand[r]*float64(a.m.weights[r][d])/whole, a.m.links[r][d].rate)
		a.flow[r][d] += v
		a.excess[r] -= v
	}
}

// widths returns the link widths in use, widest first.
func (m *model) widths() []uint32 {
	var out []uint32
	for _, row := range m.links {
		for _, l := range row {
			if l.rate > 0 && !slices.Contains(out, l.width) {
				out = append(out, l.width)
			}
		}
	}
	slices.SortFunc(out, func(x, y uint32) int { return cmp.Compare(y, x) })
	return out
}

// share divides the spare capacity behind links of one width. A source asks
// each region in proportion to what it can take, and a region that is asked
// for too much gives each source the same part.
func (a *allocation) share(width uint32) {
	n := len(a.m.regions)
	asks, asked := make([][]float64, n), make([]float64, n)
	for r := range asks {
		asks[r] = a.ask(r, width)
		for d, v := range asks[r] {
			asked[d] += v
		}
	}
	for d := range asked {
		part := 1.0
		if asked[d] > a.spare[d] {
			part = a.spare[d] / asked[d]
		}
		for r := range asks {
			v := asks[r][d] * part
			a.flow[r][d] += v
			a.excess[r] -= v
		}
		a.spare[d] = max(0, a.spare[d]-asked[d]*part)
	}
}

func (a *allocation) ask(r int, width uint32) []float64 {
	out, sum := make([]float64, len(a.m.regions)), 0.0
	for d, l := range a.m.links[r] {
		if l.width == width && a.m.open(d, a.lost) {
			out[d] = max(0, min(a.spare[d], l.rate-a.flow[r][d]))
			sum += out[d]
		}
	}
	if sum < tiny || a.excess[r] < tiny {
		return make([]float64, len(out))
	}
	part := min(1, a.excess[r]/sum)
	for d := range out {
		out[d] *= part
	}
	return out
}

// weights turns rates into weights. What does not fit stays home, where the
// queue refuses it. When home cannot be used, the weights of what fits are
// kept and the shift buckets refuse the rest.
func (a *allocation) weights(r int) []int {
	m := a.m
	if m.open(r, a.lost) {
		if !m.known[r] && a.lost == none {
			return m.frozen(r)
		}
		row, sum := portions(a.flow[r], max(tiny, m.demand[r]), r)
		row[r] = whole - sum
		return row
	}
	total := 0.0
	for _, v := range a.flow[r] {
		total += v
	}
	shares := a.flow[r]
	if total < tiny {
		shares, total = a.byCapacity(r)
	}
	if total < tiny {
		row := make([]int, len(m.regions))
		row[r] = whole
		return row
	}
	row, sum := portions(shares, total, none)
	row[largest(row)] += whole - sum
	return row
}

// frozen keeps the weights of a source whose demand is not known, apart from
// those of regions that cannot be used.
func (m *model) frozen(r int) []int {
	row := slices.Clone(m.weights[r])
	for d := range row {
		if d != r && !m.usable[d] {
			row[r] += row[d]
			row[d] = 0
		}
	}
	return row
}

// byCapacity is used when nothing fits or there is no demand.
func (a *allocation) byCapacity(r int) ([]float64, float64) {
	out, total := make([]float64, len(a.m.regions)), 0.0
	for d, l := range a.m.links[r] {
		if l.rate > 0 && a.m.open(d, a.lost) {
			out[d] = a.m.capacity[d]
			total += out[d]
		}
	}
	return out, total
}

// portions rounds down to per mille and leaves out one region.
func portions(shares []float64, total float64, skip int) (row []int, sum int) {
	row = make([]int, len(shares))
	for d, v := range shares {
		if d != skip {
			row[d] = min(int(v/total*whole), whole-sum)
			sum += row[d]
		}
	}
	return row, sum
}

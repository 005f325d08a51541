package main

import (
	"fmt"
	"strings"
	"time"
)

// weighting is what one customer gives weight to; the parts sum to 1.
type weighting struct {
	name                                     string
	latency, drain, headroom, worst, refusal float64
}

// weightings follow the design page's section 1.2: more weight to latency and
// drain time for one, to the worst-served workspace and refusals for the other.
var weightings = []weighting{
	{"sovig", 0.30, 0.30, 0.10, 0.15, 0.15},
	{"bollard", 0.15, 0.15, 0.10, 0.30, 0.30},
}

// Scales on which a figure counts nothing.
const (
	worstLatency  = 2 * time.Second
	worstDrain    = 10 * time.Second
	worstRefusals = 0.1
)

func (w weighting) score(f figures) float64 {
	part := func(x float64) float64 { return max(0, 1-x) }
	return w.latency*part(float64(f.p99)/float64(worstLatency)) + w.drain*part(float64(f.drain)/float64(worstDrain)) +
		w.headroom*f.headroom + w.worst*f.worst + w.refusal*part(f.wrongful/worstRefusals)
}

// mean returns the mean score over all cases, and that of the baseline.
func (w weighting) mean(rows []row) (ours, baseline float64) {
	for _, r := range rows {
		ours += w.score(r.ours) / float64(len(rows))
		baseline += w.score(r.baseline) / float64(len(rows))
	}
	return ours, baseline
}

// plot draws p99 and wrongful refusals of each case beside the baseline's.
func plot(rows []row) string {
	var b strings.Builder
	height := 30 + 40*len(rows)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="960" height="%d" font-family="sans-serif" font-size="12">`+"\n", height)
	b.WriteString(`<text x="200" y="18">p99 in ms (grey: baseline)</text><text x="600" y="18">wrongful refusals in % (grey: baseline)</text>` + "\n")
	longest, most := time.Millisecond, 1e-4
	for _, r := range rows {
		longest = max(longest, r.ours.p99, r.baseline.p99)
		most = max(most, r.ours.wrongful, r.baseline.wrongful)
	}
	for i, r := range rows {
		y := 30 + 40*i
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text>`+"\n", y+18, r.name)
		for j, f := range []figures{r.ours, r.baseline} {
			colour := []string{"#2166ac", "#999999"}[j]
			bar(&b, 200, y+16*j, float64(f.p99)/float64(longest), colour, fmt.Sprintf("%.1f", float64(f.p99)/float64(time.Millisecond)))
			bar(&b, 600, y+16*j, f.wrongful/most, colour, fmt.Sprintf("%.3f", 100*f.wrongful))
		}
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func bar(b *strings.Builder, x, y int, part float64, colour, label string) {
	width := int(300 * part)
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="14" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
		x, y, width, colour, x+width+4, y+12, label)
}

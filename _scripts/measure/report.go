package main

import (
	"fmt"
	"strings"
	"time"
)

// weighting holds one customer's weights, which sum to 1.
type weighting struct {
	name                                                        string
	latency, drainTime, headroom, worstServed, wrongfulRefusals float64
}

// weightings follow section 1.2 of the design page: sovig weights latency and drain time
// most, bollard the worst-served workspace and refusals.
var weightings = []weighting{
	{"sovig", 0.30, 0.30, 0.10, 0.15, 0.15},
	{"bollard", 0.15, 0.15, 0.10, 0.30, 0.30},
}

// Values at which a figure contributes nothing to the score.
const (
	zeroScoreLatency   = 2 * time.Second
	zeroScoreDrainTime = 10 * time.Second
	zeroScoreRefusals  = 0.1
)

func (w weighting) score(f figures) float64 {
	score := func(x float64) float64 { return max(0, 1-x) }
	return w.latency*score(float64(f.p99)/float64(zeroScoreLatency)) + w.drainTime*score(float64(f.drainTime)/float64(zeroScoreDrainTime)) +
		w.headroom*f.headroom + w.worstServed*f.worstServed + w.wrongfulRefusals*score(f.wrongfulRefusals/zeroScoreRefusals)
}

// meanScores returns the mean scores of the system and the baseline over all cases.
func (w weighting) meanScores(rows []row) (system, baseline float64) {
	for _, r := range rows {
		system += w.score(r.system) / float64(len(rows))
		baseline += w.score(r.baseline) / float64(len(rows))
	}
	return system, baseline
}

// plot returns an SVG of each case's p99 and wrongful refusals beside the baseline's.
func plot(rows []row) string {
	var b strings.Builder
	height := 30 + 40*len(rows)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="960" height="%d" font-family="sans-serif" font-size="12">`+"\n", height)
	b.WriteString(`<text x="200" y="18">p99 in ms (grey: baseline)</text><text x="600" y="18">wrongful refusals in % (grey: baseline)</text>` + "\n")
	maxP99, maxWrongful := time.Millisecond, 1e-4
	for _, r := range rows {
		maxP99 = max(maxP99, r.system.p99, r.baseline.p99)
		maxWrongful = max(maxWrongful, r.system.wrongfulRefusals, r.baseline.wrongfulRefusals)
	}
	for i, r := range rows {
		y := 30 + 40*i
		fmt.Fprintf(&b, `<text x="4" y="%d">%s</text>`+"\n", y+18, r.name)
		for j, f := range []figures{r.system, r.baseline} {
			colour := []string{"#2166ac", "#999999"}[j]
			bar(&b, 200, y+16*j, float64(f.p99)/float64(maxP99), colour, fmt.Sprintf("%.1f", float64(f.p99)/float64(time.Millisecond)))
			bar(&b, 600, y+16*j, f.wrongfulRefusals/maxWrongful, colour, fmt.Sprintf("%.3f", 100*f.wrongfulRefusals))
		}
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func bar(b *strings.Builder, x, y int, fraction float64, colour, label string) {
	width := int(300 * fraction)
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="14" fill="%s"/><text x="%d" y="%d">%s</text>`+"\n",
		x, y, width, colour, x+width+4, y+12, label)
}

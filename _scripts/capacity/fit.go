package main

import (
	"math"
	"slices"
)

// line is a line fitted through points. Its slope is the median of the slopes between all
// pairs, so that one point measured on a busy machine does not move it. The slope's error
// is at least the spread of these slopes, because residuals alone ignore a noisy point and
// understate the difference between two runs.
type line struct {
	slope, slopeErr, intercept    float64
	mean, sumSquares, residualErr float64
	n                             int
}

func fit(points []point, m metric) line {
	l := line{n: len(points)}
	var slopes, intercepts, residuals []float64
	var pointErr float64
	for i, p := range points {
		l.mean += p.x / float64(l.n)
		pointErr = max(pointErr, median(pointErrors(points, m)))
		for _, q := range points[:i] {
			slopes = append(slopes, (m.value(p)-m.value(q))/(p.x-q.x))
		}
	}
	l.slope = median(slopes)
	for _, p := range points {
		l.sumSquares += (p.x - l.mean) * (p.x - l.mean)
		intercepts = append(intercepts, m.value(p)-l.slope*p.x)
	}
	l.intercept = median(intercepts)
	for _, p := range points {
		residuals = append(residuals, math.Abs(m.value(p)-l.valueAt(p.x)))
	}
	// 0.6745 scales the median absolute residual to the standard deviation of a normal distribution.
	l.residualErr = max(median(residuals)/0.6745, pointErr)
	if l.sumSquares > 0 {
		l.slopeErr = l.residualErr / math.Sqrt(l.sumSquares)
	}
	for i, s := range slopes {
		slopes[i] = math.Abs(s - l.slope)
	}
	// 0.6745 has the same meaning as above.
	l.slopeErr = max(l.slopeErr, median(slopes)/0.6745)
	return l
}

func pointErrors(points []point, m metric) []float64 {
	var out []float64
	for _, p := range points {
		out = append(out, p.stdErrs[m.name])
	}
	return out
}

func (l line) valueAt(x float64) float64 { return l.intercept + l.slope*x }

// stdErrAt returns the standard error of the fitted value at x.
func (l line) stdErrAt(x float64) float64 {
	if l.sumSquares == 0 {
		return 0
	}
	return math.Hypot(l.residualErr/math.Sqrt(float64(l.n)), l.slopeErr*(x-l.mean))
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// medianErr returns the standard error of the median of the values.
func medianErr(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	m := median(values)
	var sum float64
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	n := float64(len(values))
	return 1.2533 * math.Sqrt(sum/(n-1)/n)
}

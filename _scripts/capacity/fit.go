package main

import "math"

// line is a straight line fitted by least squares, with the error of its prediction.
type line struct {
	slope, slopeErr, intercept float64
	mean, spread, residual     float64
	n                          int
}

func fit(points []point, y func(point) float64) line {
	l := line{n: len(points)}
	var meanY float64
	for _, p := range points {
		l.mean += p.x / float64(l.n)
		meanY += y(p) / float64(l.n)
	}
	var xy float64
	for _, p := range points {
		l.spread += (p.x - l.mean) * (p.x - l.mean)
		xy += (p.x - l.mean) * (y(p) - meanY)
	}
	l.slope = xy / l.spread
	l.intercept = meanY - l.slope*l.mean
	var sum float64
	for _, p := range points {
		d := y(p) - l.at(p.x)
		sum += d * d
	}
	if l.n > 2 {
		l.residual = math.Sqrt(sum / float64(l.n-2))
	}
	l.slopeErr = l.residual / math.Sqrt(l.spread)
	return l
}

func (l line) at(x float64) float64 { return l.intercept + l.slope*x }

// err returns the standard error of the line at x.
func (l line) err(x float64) float64 {
	return l.residual * math.Sqrt(1/float64(l.n)+(x-l.mean)*(x-l.mean)/l.spread)
}

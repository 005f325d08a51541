package rationer

import "catkindyke/pkg/clock"

const (
	// retryBin is the span of one bin of the counts, and retryBins their number:
	// enough for windows of up to 15 s.
	retryBin  clock.Millis = 500
	retryBins int64        = 32
	// retryMargin keeps the fleet's sum of repeats under the budget although
	// requests arrive at servers later than they are counted.
	retryMargin = 0.9
)

// RetryConfig is the fleet-wide budget of requests that are sent once more.
type RetryConfig struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Window is the time over which both are counted.
	Window clock.Millis
	// Slack is the number of repeats allowed in addition, for the whole fleet.
	Slack float64
}

// RetryBudget counts requests and repeats of each service at this host.
type RetryBudget struct {
	cfg      RetryConfig
	services map[string]*counts
}

type counts struct {
	requests, repeats [retryBins]float64
	bin               int64
}

// NewRetryBudget returns a budget without history.
func NewRetryBudget(cfg RetryConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, services: make(map[string]*counts)}
}

// CountRequest counts a caller's request for a service.
func (r *RetryBudget) CountRequest(service string, now clock.Millis) {
	c := r.at(service, now)
	c.requests[c.bin%retryBins]++
}

// Allow takes one repeat from the budget of a fleet with a number of hosts, or
// reports that none is left.
func (r *RetryBudget) Allow(service string, hosts int, now clock.Millis) bool {
	c := r.at(service, now)
	var requests, repeats float64
	// The first bin is incomplete: repeats are counted over one bin more, and
	// requests over one less, than the window has.
	bins := min(int64(r.cfg.Window/retryBin), retryBins-2)
	for i := int64(0); i <= bins && i <= c.bin; i++ {
		k := (c.bin - i) % retryBins
		repeats += c.repeats[k]
		if i < bins {
			requests += c.requests[k]
		}
	}
	limit := retryMargin * (r.cfg.Ratio*requests + r.cfg.Slack/float64(max(1, hosts)))
	if repeats+1 > limit {
		return false
	}
	c.repeats[c.bin%retryBins]++
	return true
}

// at returns a service's counts with the bins since the last call emptied.
func (r *RetryBudget) at(service string, now clock.Millis) *counts {
	bin := int64(now / retryBin)
	c := r.services[service]
	if c == nil {
		c = &counts{bin: bin}
		r.services[service] = c
	}
	for skipped := int64(0); c.bin < bin && skipped < retryBins; skipped++ {
		c.bin++
		c.requests[c.bin%retryBins], c.repeats[c.bin%retryBins] = 0, 0
	}
	c.bin = bin
	return c
}

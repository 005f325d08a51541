package rationer

import "catkindyke/pkg/clock"

const (
	// retryBinWidth is the time that one bin of the counts covers. retryBinCount bins
	// are enough for windows of up to 15 s.
	retryBinWidth clock.Millis = 500
	retryBinCount int64        = 32
	// retrySafetyFactor keeps the fleet's retries within the budget even though
	// requests reach the servers later than they are counted.
	retrySafetyFactor = 0.9
)

// RetryConfig is the fleet-wide retry budget.
type RetryConfig struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window clock.Millis
	// Slack is the number of retries that the whole fleet is allowed in addition.
	Slack float64
}

// RetryBudget counts the requests and retries of each service at this host.
type RetryBudget struct {
	cfg      RetryConfig
	services map[string]*retryCounts
}

// retryCounts is a ring of bins; bin is the number of the current one.
type retryCounts struct {
	requests, retries [retryBinCount]float64
	bin               int64
}

// NewRetryBudget returns a budget without history.
func NewRetryBudget(cfg RetryConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, services: make(map[string]*retryCounts)}
}

// CountRequest counts a caller's request for a service.
func (r *RetryBudget) CountRequest(service string, now clock.Millis) {
	c := r.countsAt(service, now)
	c.requests[c.bin%retryBinCount]++
}

// RetryDecision is the answer to a request for a retry.
type RetryDecision struct {
	Allowed bool
	// Left is the number of retries that this host's part of the budget allowed before the
	// decision, and Hosts the number of hosts among which the slack was divided.
	Left  float64
	Hosts int
}

// Allow takes one retry from this host's part of the budget if one is left. hosts is the
// number of hosts in the fleet.
func (r *RetryBudget) Allow(service string, hosts int, now clock.Millis) RetryDecision {
	c := r.countsAt(service, now)
	var requests, retries float64
	// The current bin is incomplete. Retries are counted over one bin more than
	// requests, so over no less than the window, and requests over no more.
	bins := min(int64(r.cfg.Window/retryBinWidth), retryBinCount-2)
	for i := int64(0); i <= bins && i <= c.bin; i++ {
		k := (c.bin - i) % retryBinCount
		retries += c.retries[k]
		if i < bins {
			requests += c.requests[k]
		}
	}
	limit := retrySafetyFactor * (r.cfg.Ratio*requests + r.cfg.Slack/float64(max(1, hosts)))
	d := RetryDecision{Allowed: retries+1 <= limit, Left: limit - retries, Hosts: hosts}
	if d.Allowed {
		c.retries[c.bin%retryBinCount]++
	}
	return d
}

// countsAt returns a service's counts after clearing the bins since the last call.
func (r *RetryBudget) countsAt(service string, now clock.Millis) *retryCounts {
	bin := int64(now / retryBinWidth)
	c := r.services[service]
	if c == nil {
		c = &retryCounts{bin: bin}
		r.services[service] = c
	}
	for skipped := int64(0); c.bin < bin && skipped < retryBinCount; skipped++ {
		c.bin++
		c.requests[c.bin%retryBinCount], c.retries[c.bin%retryBinCount] = 0, 0
	}
	c.bin = bin
	return c
}

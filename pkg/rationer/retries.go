package rationer

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// maxRetryDelay is the time by which requests may reach hosts, and retries servers,
	// later than callers have sent the requests. What was counted that long before a
	// window may still count in it.
	maxRetryDelay = clock.Second
	// minRetryMargin bounds the part of the budget that is used with short windows.
	minRetryMargin = 0.5
)

// RetryConfig is the fleet-wide retry budget.
type RetryConfig struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window clock.Millis
	// Slack is the number of retries that the whole fleet is allowed in addition, in any
	// window.
	Slack float64
}

// RetryBudget is this host's part of the budget: a token bucket for each service. Each
// request adds Ratio tokens, a retry takes one, and a bucket holds the host's part of
// Slack.
//
// What a host has saved up is the only part of its retries in a window that was not paid
// for by requests in that window, and all hosts together save up no more than Slack. So
// the budget holds for any window, whichever hosts leave or start in it: a host that has
// left can have spent no more, and one that starts has saved up nothing.
type RetryBudget struct {
	// ratio and slack are those of the configuration less a margin for delays.
	ratio, slack float64

	hosts  int
	tokens map[string]float64
}

// RetryDecision is the answer to a request for a retry.
type RetryDecision struct {
	Allowed bool
	// Left is the number of retries that this host's part of the budget allowed before the
	// decision, and Hosts the number of hosts among which the slack is divided.
	Left  float64
	Hosts int
}

// NewRetryBudget returns a budget of a host that has no part of the slack yet.
func NewRetryBudget(cfg RetryConfig) *RetryBudget {
	margin := math.Max(minRetryMargin, 1-float64(maxRetryDelay)/float64(cfg.Window))
	return &RetryBudget{ratio: margin * cfg.Ratio, slack: margin * cfg.Slack, tokens: make(map[string]float64)}
}

// SetHosts sets the number of hosts among which the slack is divided, 0 if it is unknown.
func (r *RetryBudget) SetHosts(hosts int) { r.hosts = hosts }

// CountRequest counts a caller's request for a service.
func (r *RetryBudget) CountRequest(service string) {
	r.tokens[service] = math.Min(r.tokens[service]+r.ratio, r.capacity())
}

// Allow takes one retry from this host's part of the budget if one is left.
func (r *RetryBudget) Allow(service string) RetryDecision {
	left := r.left(service)
	d := RetryDecision{Allowed: left >= 1, Left: left, Hosts: r.hosts}
	if d.Allowed {
		r.tokens[service] = left - 1
	}
	return d
}

// secondReserve is the fraction of a full bucket that second attempts leave for retries after
// failures.
const secondReserve = 0.5

// AllowSecond takes one from the budget for a second attempt beside one that is only slow,
// if enough is left for retries after failures.
func (r *RetryBudget) AllowSecond(service string) RetryDecision {
	if !r.HasSecond(service) {
		return RetryDecision{Left: r.left(service), Hosts: r.hosts}
	}
	return r.Allow(service)
}

// Has reports whether Allow would allow a retry, and HasSecond whether AllowSecond would allow
// a second attempt. They take nothing from the budget.
func (r *RetryBudget) Has(service string) bool { return r.left(service) >= 1 }

// HasSecond is described at Has.
func (r *RetryBudget) HasSecond(service string) bool {
	return r.left(service)-1 >= secondReserve*r.capacity()
}

func (r *RetryBudget) left(service string) float64 {
	return math.Min(r.tokens[service], r.capacity())
}

// capacity returns the number of tokens that a bucket holds: one at least, since a retry
// takes a whole one.
func (r *RetryBudget) capacity() float64 {
	if r.hosts == 0 {
		return 0
	}
	return math.Max(1, r.slack/float64(r.hosts))
}

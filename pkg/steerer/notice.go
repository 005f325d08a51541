package steerer

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
)

var (
	// errRateLimit is returned for a rate limit that is not a decimal number of at least 0.
	errRateLimit = errors.New("rate limit is not a number of requests per second")
	// errDraining is returned for a draining header with an unknown value.
	errDraining = errors.New("value of the draining header is not 1")
	// errBackoff is returned for a Retry-After that is not a decimal number of at least 0.
	errBackoff = errors.New("Retry-After is not a number of seconds")
)

const (
	// drainingValue is the value with which a server says that it drains.
	drainingValue = "1"
	// maxBackoffSeconds bounds the values that are converted to a duration.
	maxBackoffSeconds = 1e6
)

// notice returns what a server says about itself in a response, or nil if the response
// is not the server's. Unreadable values say nothing.
func (s *Steerer) notice(c *call, a *attempt) *balancer.Notice {
	resp, result := a.resp, a.result
	if resp == nil || result == balancer.Unreachable {
		return nil
	}
	n := &balancer.Notice{}
	var err error
	if n.Limit, err = parseRateLimit(resp.Header.Values(s.cfg.Headers.RateLimit)); err != nil {
		s.logUnreadableNotice(c, a, err)
	}
	if !n.Limit.Limited && result != balancer.Answered {
		// A failing or overloaded server may leave out what it says otherwise.
		n.Limit.Known = false
	}
	if n.Draining, err = parseDraining(resp.Header.Values(s.cfg.Headers.Draining)); err != nil {
		s.logUnreadableNotice(c, a, err)
	}
	if resp.Status == http.StatusServiceUnavailable {
		if n.Backoff, err = parseBackoff(resp.Header.Values("Retry-After")); err != nil {
			s.logUnreadableNotice(c, a, err)
		}
	}
	return n
}

// parseRateLimit returns the lowest of the rate limits in the values of a header.
func parseRateLimit(values []string) (balancer.RateLimit, error) {
	limits, err := parseNumbers(values, errRateLimit)
	switch {
	case err != nil:
		return balancer.RateLimit{}, err
	case len(limits) == 0:
		return balancer.RateLimit{Known: true}, nil
	default:
		return balancer.RateLimit{Known: true, Limited: true, PerSecond: slices.Min(limits)}, nil
	}
}

// parseBackoff returns the longest of the times in the values of a Retry-After header. A
// date is not read, because the clocks of server and host may differ.
func parseBackoff(values []string) (clock.Millis, error) {
	seconds, err := parseNumbers(values, errBackoff)
	if err != nil || len(seconds) == 0 {
		return 0, err
	}
	return clock.Millis(math.Ceil(1000 * math.Min(slices.Max(seconds), maxBackoffSeconds))), nil
}

// parseNumbers returns the decimal numbers in the values of a header. The error for others
// wraps cause.
func parseNumbers(values []string, cause error) ([]float64, error) {
	var out []float64
	for _, value := range values {
		for _, field := range strings.Split(value, ",") {
			field = strings.TrimSpace(field)
			n, err := strconv.ParseFloat(field, 64)
			if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) || strings.ContainsAny(field, "xX") {
				return nil, fmt.Errorf("%w: %q", cause, field)
			}
			out = append(out, n)
		}
	}
	return out, nil
}

// parseDraining reports whether one of the values of a header says that the server drains.
func parseDraining(values []string) (bool, error) {
	var err error
	for _, value := range values {
		if strings.TrimSpace(value) == drainingValue {
			return true, nil
		}
		err = fmt.Errorf("%w: %q", errDraining, value)
	}
	return false, err
}

// logUnreadableNotice logs a value that was ignored.
func (s *Steerer) logUnreadableNotice(c *call, a *attempt, err error) {
	s.cfg.Meter.Add("notices_unreadable", 1)
	s.cfg.Log.Warn().Str("request", c.id).Str("server", a.choice.Server.ID).Err(err).Msg("server_notice_unreadable")
}

// logNotice logs a change of what a server says about itself.
func (s *Steerer) logNotice(c *call, a *attempt, n *balancer.Notice) {
	event := s.cfg.Log.Info().Str("request", c.id).Str("server", a.choice.Server.ID).Bool("draining", n.Draining).Bool("limited", n.Limit.Limited)
	if n.Backoff > 0 {
		event = event.Int64("backoff_ms", int64(n.Backoff))
	}
	if n.Limit.Limited {
		event = event.Float64("limit_per_s", n.Limit.PerSecond)
	}
	event.Msg("server_notice")
}

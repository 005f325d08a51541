package steerer

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/courier"
)

var (
	// errRateLimit is returned for a rate limit that is not a decimal number of at least 0.
	errRateLimit = errors.New("rate limit is not a number of requests per second")
	// errLeaving is returned for a leaving header with an unknown value.
	errLeaving = errors.New("value of the leaving header is not 1")
)

// leavingValue is the value with which a server says that it leaves.
const leavingValue = "1"

// notice returns what a server says about itself in a response, or nil if the response
// is not the server's. Unreadable values say nothing.
func (s *Steerer) notice(c *call, result balancer.Result, resp *courier.Response) *balancer.Notice {
	if resp == nil || result == balancer.Unreachable {
		return nil
	}
	n := &balancer.Notice{}
	var err error
	if n.Limit, err = parseRateLimit(resp.Header.Values(s.cfg.Headers.RateLimit)); err != nil {
		s.logUnreadableNotice(c, err)
	}
	if !n.Limit.Limited && result != balancer.Answered {
		// A failing or overloaded server may leave out what it says otherwise.
		n.Limit.Known = false
	}
	if n.Leaving, err = parseLeaving(resp.Header.Values(s.cfg.Headers.Leaving)); err != nil {
		s.logUnreadableNotice(c, err)
	}
	return n
}

// parseRateLimit returns the lowest of the rate limits in the values of a header.
func parseRateLimit(values []string) (balancer.RateLimit, error) {
	limit := balancer.RateLimit{Known: true}
	for _, value := range values {
		for _, field := range strings.Split(value, ",") {
			field = strings.TrimSpace(field)
			n, err := strconv.ParseFloat(field, 64)
			if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) || strings.ContainsAny(field, "xX") {
				return balancer.RateLimit{}, fmt.Errorf("%w: %q", errRateLimit, field)
			}
			if !limit.Limited || n < limit.PerSecond {
				limit.Limited, limit.PerSecond = true, n
			}
		}
	}
	return limit, nil
}

// parseLeaving reports whether one of the values of a header says that the server leaves.
func parseLeaving(values []string) (bool, error) {
	var err error
	for _, value := range values {
		if strings.TrimSpace(value) == leavingValue {
			return true, nil
		}
		err = fmt.Errorf("%w: %q", errLeaving, value)
	}
	return false, err
}

// logUnreadableNotice logs a value that was ignored.
func (s *Steerer) logUnreadableNotice(c *call, err error) {
	s.cfg.Meter.Add("notices_unreadable", 1)
	s.cfg.Log.Warn().Str("request", c.id).Str("server", c.choice.Server.ID).Err(err).Msg("server_notice_unreadable")
}

// logNotice logs a change of what a server says about itself.
func (s *Steerer) logNotice(c *call, n *balancer.Notice) {
	event := s.cfg.Log.Info().Str("request", c.id).Str("server", c.choice.Server.ID).Bool("leaving", n.Leaving).Bool("limited", n.Limit.Limited)
	if n.Limit.Limited {
		event = event.Float64("limit_per_s", n.Limit.PerSecond)
	}
	event.Msg("server_notice")
}

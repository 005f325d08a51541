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

// errRateLimit is returned for a rate limit that is not a decimal number of at least 0.
var errRateLimit = errors.New("rate limit is not a number of requests per second")

// notice returns what a server says about itself in a response, or nil if the response
// does not show it. Only a response to a request that the server has run shows that a
// state has ended.
func (s *Steerer) notice(c *call, result balancer.Result, resp *courier.Response) *balancer.Notice {
	if resp == nil || result == balancer.Unreachable {
		return nil
	}
	limit, limited, err := parseRateLimit(resp.Header.Values(s.cfg.Headers.RateLimit))
	if err != nil {
		s.cfg.Meter.Add("notices_unreadable", 1)
		s.cfg.Log.Warn().Str("request", c.id).Str("server", c.choice.Server.ID).Err(err).Msg("server_notice_unreadable")
		return nil
	}
	if !limited && result != balancer.Answered {
		return nil
	}
	return &balancer.Notice{Limited: limited, RateLimit: limit}
}

// parseRateLimit returns the lowest of the rate limits in the values of a header.
func parseRateLimit(values []string) (perSecond float64, limited bool, err error) {
	for _, value := range values {
		for _, field := range strings.Split(value, ",") {
			field = strings.TrimSpace(field)
			n, err := strconv.ParseFloat(field, 64)
			if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) || strings.ContainsAny(field, "xX") {
				return 0, false, fmt.Errorf("%w: %q", errRateLimit, field)
			}
			if !limited || n < perSecond {
				perSecond, limited = n, true
			}
		}
	}
	return perSecond, limited, nil
}

// logNotice logs a change of what a server says about itself.
func (s *Steerer) logNotice(c *call, n *balancer.Notice) {
	event := s.cfg.Log.Info().Str("request", c.id).Str("server", c.choice.Server.ID).Bool("limited", n.Limited)
	if n.Limited {
		event = event.Float64("limit_per_s", n.RateLimit)
	}
	event.Msg("server_notice")
}

package steerer

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/observer"
)

// ErrServerLoad is returned for a load that is not three counts and at most one pace.
var ErrServerLoad = errors.New("server load is not the counts of running and waiting requests and of slots, and a pace")

const (
	// maxLoadCount bounds the counts in a stated load.
	maxLoadCount = 1e6
	// usualPace is the stated pace of a server that works as fast as usual.
	usualPace = 100
)

// ParseLoad returns the load in a response of a server, which is not stated if the server
// leaves out the header. Several values contradict each other and are not read.
func ParseLoad(h http.Header, name string) (observer.Load, error) {
	values := h.Values(name)
	if len(values) == 0 {
		return observer.Load{}, nil
	}
	unreadable := fmt.Errorf("%w: %q", ErrServerLoad, values)
	fields := strings.Split(values[0], ",")
	if len(values) > 1 || len(fields) < 3 || len(fields) > 4 {
		return observer.Load{}, unreadable
	}
	var counts [3]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 || n > maxLoadCount {
			return observer.Load{}, unreadable
		}
		counts[i] = n
	}
	l := observer.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) == 4 {
		pace, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil || !(pace > 0) || math.IsInf(pace, 0) {
			return observer.Load{}, unreadable
		}
		l.Pace = pace / usualPace
	}
	if l.Slots == 0 {
		return observer.Load{}, unreadable
	}
	return l, nil
}

// load returns what a server says of its load in a response, if the response is the server's.
func (s *Steerer) load(c *call, a *attempt) observer.Load {
	if a.resp == nil || a.result == balancer.Unreachable {
		return observer.Load{}
	}
	l, err := ParseLoad(a.resp.Header, s.cfg.Headers.ServerLoad)
	if err != nil {
		s.cfg.Meter.Add("loads_unreadable", 1)
		s.cfg.Log.Warn().Str("request", c.id).Str("server", a.choice.Server.ID).Err(err).Msg("server_load_unreadable")
	} else if l.IsStated() {
		s.cfg.Meter.Add("loads_stated", 1)
	}
	return l
}

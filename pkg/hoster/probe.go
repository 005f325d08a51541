package hoster

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
)

const (
	// probeTimeout covers a round trip between regions several times.
	probeTimeout = 400 * time.Millisecond
	// probePause is the mean pause before the next check of a server that failed one.
	probePause = 600 * time.Millisecond
)

// probe checks a server that proved unreachable, once at a time for each server.
func (h *Host) probe(s balancer.Server) {
	c := h.catalog.Load()
	if h.probing[s.ID] || c == nil {
		return
	}
	svc := c.Service(s.Service)
	if svc == nil {
		return
	}
	h.probing[s.ID] = true
	go func() {
		cold, err := h.check(s, svc.HealthPath)
		if err != nil {
			h.cfg.Log.Debug().Str("server", s.ID).Err(err).Msg("health_check_failed")
			clock.Sleep(h.ctx, probePause/2+rand.N(probePause))
		}
		h.do(func() { h.probed(s, cold, err == nil) })
	}()
}

func (h *Host) probed(s balancer.Server, cold clock.Millis, healthy bool) {
	delete(h.probing, s.ID)
	if !healthy {
		return
	}
	if cold > 0 {
		h.registrar.MarkCold(s.ID, h.cfg.Clock.Now()+cold)
		h.publishServers()
	}
	h.cfg.Log.Info().Str("server", s.ID).Int64("cold_ms", int64(cold)).Msg("server_regained")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.MarkReachable(s.ID)
}

// check makes one health check and returns the time for which the server says
// that it stays cold.
func (h *Host) check(s balancer.Server, path string) (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
	defer cancel()
	answer, err := h.courier.Send(ctx, courier.Target{ID: s.ID, Address: s.Address}, &courier.Request{
		Method: http.MethodGet, URI: path, Host: s.Address, Header: http.Header{h.cfg.Headers.ExpectedServer: {s.ID}}, FreshConn: true,
	})
	if err != nil {
		return 0, err
	}
	if answer.Status != http.StatusOK || answer.Header.Get(h.cfg.Headers.ServerID) != s.ID {
		return 0, errUnhealthy
	}
	v := answer.Header.Get(h.cfg.Headers.RemainingColdTime)
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, err
	}
	return clock.Millis(ms), nil
}

// errUnhealthy says that a health check was answered by another server or with a failure.
var errUnhealthy = errors.New("server is not healthy")

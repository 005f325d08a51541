package hoster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/observer"
	"catkindyke/pkg/steerer"
)

const (
	// probeTimeout is several round trips between regions.
	probeTimeout = 400 * time.Millisecond
	// probeRetryDelay is the mean delay before the next health check of a server
	// that failed one.
	probeRetryDelay = 600 * time.Millisecond
)

// startProbe starts a health check of an unreachable server, unless one is running.
func (h *Host) startProbe(s balancer.Server) {
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
		remainingColdTime, load, err := h.checkHealth(s, svc.HealthPath)
		if err != nil {
			h.cfg.Log.Debug().Str("server", s.ID).Err(err).Msg("health_check_failed")
			clock.Sleep(h.ctx, probeRetryDelay/2+rand.N(probeRetryDelay))
		}
		h.apply(func() { h.finishProbe(s, remainingColdTime, load, err == nil) })
	}()
}

func (h *Host) finishProbe(s balancer.Server, remainingColdTime clock.Millis, load observer.Load, healthy bool) {
	delete(h.probing, s.ID)
	if !healthy {
		return
	}
	if remainingColdTime > 0 {
		h.registrar.MarkCold(s.ID, h.cfg.Clock.Now()+remainingColdTime)
		h.publishServers()
	}
	h.cfg.Log.Info().Str("server", s.ID).Int64("cold_ms", int64(remainingColdTime)).Msg("server_regained")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.MarkReachable(s.ID, h.cfg.Clock.Now())
	h.balancer.RecordLoad(s.ID, load, h.cfg.Clock.Now())
}

// checkHealth makes one health check and returns the time for which the server
// reports that it stays cold, and its load.
func (h *Host) checkHealth(s balancer.Server, path string) (clock.Millis, observer.Load, error) {
	ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
	defer cancel()
	resp, err := h.courier.Send(ctx, courier.Target{ID: s.ID, Address: s.Address}, &courier.Request{
		Method: http.MethodGet, URI: path, Host: s.Address, Header: http.Header{h.cfg.Headers.ExpectedServer: {s.ID}}, FreshConn: true,
	})
	if err != nil {
		return 0, observer.Load{}, err
	}
	if resp.Status != http.StatusOK || resp.Header.Get(h.cfg.Headers.ServerID) != s.ID {
		return 0, observer.Load{}, fmt.Errorf("%w: status %d, server ID %q", errUnhealthy, resp.Status, resp.Header.Get(h.cfg.Headers.ServerID))
	}
	v := resp.Header.Get(h.cfg.Headers.RemainingColdTime)
	load, err := steerer.ParseLoad(resp.Header, h.cfg.Headers.ServerLoad)
	if err != nil {
		h.cfg.Meter.Add("loads_unreadable", 1)
	}
	// The server still counted the health check that it answered.
	load.Running = max(0, load.Running-1)
	if v == "" {
		return 0, load, nil
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, observer.Load{}, err
	}
	return clock.Millis(ms), load, nil
}

// errUnhealthy is returned when a health check was answered by another server or
// with an error status.
var errUnhealthy = errors.New("server is not healthy")

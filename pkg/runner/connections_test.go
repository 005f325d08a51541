package runner

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"catkindyke/pkg/replicator"
)

// connectionCounter counts the connections to a backend server.
type connectionCounter struct {
	mu                 sync.Mutex
	open, peak, opened int
}

func (c *connectionCounter) onStateChange(_ net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.open++
		c.opened++
		c.peak = max(c.peak, c.open)
	case http.StateClosed:
		c.open--
	default:
	}
}

// counts returns the number of open connections, its peak, and the connections opened
// in total.
func (c *connectionCounter) counts() (open, peak, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.peak, c.opened
}

// sendLoad sends requests to each host from 3 concurrent callers, 50 from each.
func sendLoad(t *testing.T, hosts ...*Host) {
	t.Helper()
	var wg sync.WaitGroup
	for _, h := range hosts {
		for range 3 {
			wg.Go(func() {
				for range 50 {
					resp, err := http.Get("http://" + h.CallerAddress() + "/dispatch/x")
					if err != nil {
						t.Error(err)
						return
					}
					_ = resp.Body.Close()
				}
			})
		}
	}
	wg.Wait()
}

func respondEmpty(http.ResponseWriter, *http.Request) {}

// TestConnectionsFollowConfiguration guards against hosts that together open more
// connections to a backend server than the configuration in force allows.
func TestConnectionsFollowConfiguration(t *testing.T) {
	var conns connectionCounter
	a, b, setLimit := startListeningPair(t, http.HandlerFunc(respondEmpty), conns.onStateChange, 11)
	sendLoad(t, a, b)
	open, peak, opened := conns.counts()
	t.Logf("limit 11: open %d, peak %d, opened %d for 300 requests", open, peak, opened)
	if peak > 11 || open == 0 {
		t.Errorf("open %d, peak %d connections, want idle ones and at most 11", open, peak)
	}
	version := a.Snapshot().Versions()[replicator.KindConfig]
	setLimit(4)
	eventually(t, "configuration in force", func() bool {
		return a.Snapshot().Versions()[replicator.KindConfig] > version && b.Snapshot().Versions()[replicator.KindConfig] > version
	})
	for _, h := range []*Host{a, b} {
		resp, err := http.Get("http://" + h.CallerAddress() + "/dispatch/x")
		assertNoError(t, err, "request")
		_ = resp.Body.Close()
	}
	// With 3 slots and 4 connections, one connection remains: too few for an idle one on
	// each of the two hosts.
	eventually(t, "idle connections closed", func() bool { open, _, _ := conns.counts(); return open == 0 })
}

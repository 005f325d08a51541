package runner

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"catkindyke/pkg/replicator"
)

// openConnections counts the connections of a backend server.
type openConnections struct {
	mu                 sync.Mutex
	open, peak, opened int
}

func (o *openConnections) state(_ net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateNew:
		o.open++
		o.opened++
		o.peak = max(o.peak, o.open)
	case http.StateClosed:
		o.open--
	default:
	}
}

// counts returns the open connections, the peak and the number opened.
func (o *openConnections) counts() (open, peak, opened int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open, o.peak, o.opened
}

// load sends 50 requests on each of 3 callers' connections to each host.
func load(t *testing.T, hosts ...*Host) {
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

func answerEmpty(http.ResponseWriter, *http.Request) {}

// TestConnectionsFollowConfiguration guards against more connections to a
// backend server, over all hosts, than the configuration in force allows.
func TestConnectionsFollowConfiguration(t *testing.T) {
	var conns openConnections
	a, b, limit := listeningPair(t, http.HandlerFunc(answerEmpty), conns.state, 11)
	load(t, a, b)
	open, peak, opened := conns.counts()
	t.Logf("limit 11: open %d, peak %d, opened %d for 300 requests", open, peak, opened)
	if peak > 11 || open == 0 {
		t.Errorf("open %d, peak %d connections, want idle ones and at most 11", open, peak)
	}
	version := a.Snapshot().Versions()[replicator.KindConfig]
	limit(4)
	eventually(t, "configuration in force", func() bool {
		return a.Snapshot().Versions()[replicator.KindConfig] > version && b.Snapshot().Versions()[replicator.KindConfig] > version
	})
	for _, h := range []*Host{a, b} {
		resp, err := http.Get("http://" + h.CallerAddress() + "/dispatch/x")
		assertNoError(t, err, "request")
		_ = resp.Body.Close()
	}
	// Three slots leave one of four connections, too few for an idle one on each host.
	eventually(t, "idle connections closed", func() bool { open, _, _ := conns.counts(); return open == 0 })
}

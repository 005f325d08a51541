package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	// Name is included in each response.
	Name string
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// Slots is the number of concurrent requests above which requests count as
	// overloads. Zero disables the count.
	Slots int
}

// Backend emulates a backend server. It echoes each request, so that a caller
// can verify that the response is complete and belongs to its request.
type Backend struct {
	cfg             BackendConfig
	inFlight        atomic.Int64
	peakInFlight    atomic.Int64
	requests        atomic.Int64
	requestsWithKey atomic.Int64
	overloads       atomic.Int64
	leaving         atomic.Bool
	failing         atomic.Bool

	mu           sync.Mutex
	requestsByID map[string]int
}

// Echo is the response body of a Backend.
type Echo struct {
	BackendServer string `json:"backend_server"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	RequestID     string `json:"request_id"`
	Workspace     string `json:"workspace"`
	Body          string `json:"body"`
}

// Headers that a Backend reads.
const (
	// RequestIDHeader identifies a request, so that tests can count it.
	RequestIDHeader = "Test-Request-Id"
	// WorkspaceHeader names the workspace of a request to backend servers.
	WorkspaceHeader = "Catkindyke-Workspace"
)

// NewBackend returns an emulated backend server.
func NewBackend(cfg BackendConfig) *Backend {
	return &Backend{cfg: cfg, requestsByID: make(map[string]int)}
}

// ServeHTTP echoes requests, except /healthz, which reports the state and the
// in-flight requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	b.requests.Add(1)
	defer func() {
		// Trailers are available only after the body has been read.
		if hasKey(r.Header) || hasKey(r.Trailer) {
			b.requestsWithKey.Add(1)
		}
	}()
	n := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.recordPeak(n)
	if b.cfg.Slots > 0 && n > int64(b.cfg.Slots) {
		b.overloads.Add(1)
	}
	id := r.Header.Get(RequestIDHeader)
	if id != "" {
		b.mu.Lock()
		b.requestsByID[id]++
		b.mu.Unlock()
	}
	if b.failing.Load() {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, "short body", http.StatusBadRequest)
		return
	}
	if b.cfg.ServiceTime > 0 {
		timer := time.NewTimer(b.cfg.ServiceTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	out, _ := json.Marshal(Echo{
		BackendServer: b.cfg.Name, Method: r.Method, Path: r.URL.Path, RequestID: id,
		Workspace: r.Header.Get(WorkspaceHeader), Body: string(body),
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}

// hasKey reports whether a header or trailer has a field that can contain a key.
func hasKey(h http.Header) bool {
	for _, name := range []string{"Catkindyke-Key", "Authorization", "Proxy-Authorization"} {
		if len(h.Values(name)) > 0 {
			return true
		}
	}
	return false
}

// recordPeak raises the peak of in-flight requests to n if it is lower.
func (b *Backend) recordPeak(n int64) {
	for {
		peak := b.peakInFlight.Load()
		if n <= peak || b.peakInFlight.CompareAndSwap(peak, n) {
			return
		}
	}
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	status, state := http.StatusOK, "ok"
	if b.leaving.Load() {
		status, state = http.StatusServiceUnavailable, "leaving"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"state":%q,"in_use":%d}`, state, b.inFlight.Load())
}

// SetLeaving makes the health endpoint report the state leaving, or ok again.
func (b *Backend) SetLeaving(v bool) { b.leaving.Store(v) }

// SetFailing makes every request but health checks fail with status 503.
func (b *Backend) SetFailing(v bool) { b.failing.Store(v) }

// Requests returns the number of requests received.
func (b *Backend) Requests() int64 { return b.requests.Load() }

// RequestsWithKey returns the number of requests with a key in a header or
// trailer.
func (b *Backend) RequestsWithKey() int64 { return b.requestsWithKey.Load() }

// Overloads returns the number of requests received while all slots were in use.
func (b *Backend) Overloads() int64 { return b.overloads.Load() }

// PeakInFlight returns the peak number of in-flight requests.
func (b *Backend) PeakInFlight() int64 { return b.peakInFlight.Load() }

// RequestsByID returns how often each request ID was received.
func (b *Backend) RequestsByID() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.requestsByID))
	for k, v := range b.requestsByID {
		out[k] = v
	}
	return out
}

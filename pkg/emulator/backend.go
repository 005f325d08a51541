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

// BackendConfig configures a stand-in for a backend server.
type BackendConfig struct {
	// Name is put in each answer.
	Name string
	// ServiceTime is how long a request occupies a slot.
	ServiceTime time.Duration
	// Slots is the number of requests that run at once; more are counted as overload.
	Slots int
}

// Backend is a backend server that answers with an echo of the request, so
// that a caller can prove that the answer is its own and whole.
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

// Echo is the answer of a Backend.
type Echo struct {
	BackendServer string `json:"backend_server"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	RequestID     string `json:"request_id"`
	Workspace     string `json:"workspace"`
	Body          string `json:"body"`
}

// Headers that callers of a Backend use.
const (
	// RequestIDHeader identifies a request for the checks of a test.
	RequestIDHeader = "Test-Request-Id"
	// WorkspaceHeader names the workspace towards backend servers.
	WorkspaceHeader = "Catkindyke-Workspace"
)

// NewBackend returns a backend server.
func NewBackend(cfg BackendConfig) *Backend {
	return &Backend{cfg: cfg, requestsByID: make(map[string]int)}
}

// ServeHTTP answers requests, and /healthz with the load.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		b.serveHealth(w)
		return
	}
	b.requests.Add(1)
	defer func() {
		// The trailers are known only after the body.
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

// hasKey reports whether a header or trailer has a field that can carry a key.
func hasKey(h http.Header) bool {
	for _, name := range []string{"Catkindyke-Key", "Authorization", "Proxy-Authorization"} {
		if len(h.Values(name)) > 0 {
			return true
		}
	}
	return false
}

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

// SetLeaving makes the health endpoint report that the server leaves.
func (b *Backend) SetLeaving(v bool) { b.leaving.Store(v) }

// SetFailing makes every request fail with status 503.
func (b *Backend) SetFailing(v bool) { b.failing.Store(v) }

// Requests returns the number of requests received.
func (b *Backend) Requests() int64 { return b.requests.Load() }

// RequestsWithKey returns the number of requests that carried a key.
func (b *Backend) RequestsWithKey() int64 { return b.requestsWithKey.Load() }

// Overloads returns the number of requests that came while all slots were in use.
func (b *Backend) Overloads() int64 { return b.overloads.Load() }

// PeakInFlight returns the largest number of requests that ran at once.
func (b *Backend) PeakInFlight() int64 { return b.peakInFlight.Load() }

// RequestsByID returns how often each request identity was received.
func (b *Backend) RequestsByID() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.requestsByID))
	for k, v := range b.requestsByID {
		out[k] = v
	}
	return out
}

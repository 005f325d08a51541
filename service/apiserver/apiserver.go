package apiserver

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/snapshotter"
)

// Config configures the handlers.
type Config struct {
	// Snapshot returns the current snapshot of the control state.
	Snapshot func() *snapshotter.Snapshot
	// Meter holds the host's metrics.
	Meter *meter.Meter
	// Share returns the host's share of the fleet-wide rates.
	Share func() StatusShare
	// Forwarder serves requests of callers to backend servers.
	Forwarder http.Handler
	// Clock is the host's clock.
	Clock clock.Clock
	// StoreCalls returns the number of reads and writes sent to the object API.
	StoreCalls func() (reads, writes int64)
	// LocalTokens returns the tokens that this host holds of a bucket.
	LocalTokens func(bucket string) float64
}

// NewCallerHandler returns the handler for callers: look-ups and forwarded requests.
func NewCallerHandler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", newLookupHandler(cfg))
	mux.Handle("/", cfg.Forwarder)
	return mux
}

// NewOperatorHandler returns the handler for operators: status, explain, health and
// metrics.
func NewOperatorHandler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", cfg.serveStatus)
	mux.HandleFunc("GET /v1/explain", cfg.serveExplain)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", cfg.serveReadiness)
	mux.HandleFunc("GET /debug/vars", cfg.serveVars)
	return mux
}

func (cfg Config) serveStatus(w http.ResponseWriter, _ *http.Request) {
	now := cfg.Clock.Now()
	st := convertStatus(cfg.Snapshot(), cfg.Meter, now)
	st.Share = cfg.Share()
	st.Store.Reads, st.Store.Writes = cfg.StoreCalls()
	if seconds := float64(now) / float64(clock.Second); seconds > 0 {
		st.Store.ReadsPerSecond = float64(st.Store.Reads) / seconds
		st.Store.WritesPerSecond = float64(st.Store.Writes) / seconds
	}
	writeJSON(w, http.StatusOK, st)
}

// serveVars writes the host's metrics and the variables of the process. The metrics
// of other hosts in the same process are not included.
func (cfg Config) serveVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", "catkindyke", cfg.Meter.Map())
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "catkindyke" {
			fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		}
	})
	fmt.Fprintln(w, "\n}")
}

func (cfg Config) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !cfg.Snapshot().Ready() {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{"no configuration in force"})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

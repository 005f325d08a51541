package apiserver

import (
	"encoding/json"
	"expvar"
	"net/http"

	"catkindyke/pkg/meter"
	"catkindyke/pkg/snapshotter"
)

// Config configures the handlers.
type Config struct {
	// Snapshot returns the view of control state in force.
	Snapshot func() *snapshotter.Snapshot
	// Meter holds the host's counters.
	Meter *meter.Meter
	// Forward serves callers' requests.
	Forward http.Handler
}

// Caller returns the handler for callers: look-ups and requests.
func Caller(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", newLookups(cfg))
	mux.Handle("/", cfg.Forward)
	return mux
}

// Operator returns the handler for operators.
func Operator(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", cfg.status)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", cfg.ready)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func (cfg Config) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, convertStatus(cfg.Snapshot(), cfg.Meter))
}

func (cfg Config) ready(w http.ResponseWriter, _ *http.Request) {
	if !cfg.Snapshot().Ready() {
		writeJSON(w, http.StatusServiceUnavailable, Error{"no configuration in force"})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

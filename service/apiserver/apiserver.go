package apiserver

import (
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/netip"

	"catkindyke/pkg/meter"
	"catkindyke/pkg/resolver"
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
	mux.HandleFunc("GET /v1/lookup", cfg.lookup)
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

func (cfg Config) lookup(w http.ResponseWriter, r *http.Request) {
	snap := cfg.Snapshot()
	if !snap.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, Error{"not ready: no configuration in force"})
		return
	}
	service := r.URL.Query().Get("service")
	addr, err := callerAddr(snap, r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Error{err.Error()})
		return
	}
	answer, err := resolver.Resolve(snap, resolver.Query{Service: service, Block: addr.String(), Region: snap.Self().Region})
	if errors.Is(err, resolver.ErrUnknownService) {
		writeJSON(w, http.StatusNotFound, Error{"unknown service " + service})
		return
	}
	cfg.Meter.Add("lookups", 1)
	writeJSON(w, http.StatusOK, convertAnswer(answer))
}

// errBadAddress says that the caller's address cannot be read.
var errBadAddress = errors.New("bad caller address")

// callerAddr returns the peer address, or the forwarded one when the peer is trusted.
func callerAddr(snap *snapshotter.Snapshot, r *http.Request) (netip.Addr, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, errBadAddress
	}
	addr, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}, errBadAddress
	}
	forwarded := r.Header.Get("X-Forwarded-For")
	if forwarded == "" || !snap.TrustedProxy(addr.Unmap()) {
		return addr.Unmap(), nil
	}
	addr, err = netip.ParseAddr(forwarded)
	if err != nil {
		return netip.Addr{}, errBadAddress
	}
	return addr.Unmap(), nil
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

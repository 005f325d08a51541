package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// bareProxy is the least that net/http needs to pass a request on.
type bareProxy struct {
	address   string
	transport http.RoundTripper
}

func (p bareProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", p.address, ""
	resp, err := p.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func benchForwarder(address string) *Forwarder {
	snap := snapshotter.Build(snapshotter.Input{
		Config: &schema.Config{Services: []*schema.Service{{Name: "svc", OpenRoutes: []string{"/svc/open"}}}},
		Keys:   &schema.Keys{}, Drains: &schema.Drains{}, Plan: &schema.Plan{}, Ready: true, KeyDeadline: 1 << 40,
	})
	return New(Config{
		Snapshot: func() *snapshotter.Snapshot { return snap },
		Admit:    func(context.Context, string) (bool, clock.Millis) { return true, 0 },
		Acquire: func(context.Context, *snapshotter.Service, string, []string) (Permit, error) {
			return Permit{BackendServer: "s", Address: address, Release: func(schema.PermitResult) {}}, nil
		},
		Clock: clock.New(), Log: zerolog.New(io.Discard), Meter: meter.New(),
		Tracer: noop.NewTracerProvider().Tracer("bench"), Transport: NewTransport(64),
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProxy compares the forwarder with a bare reverse path and with the
// caller and backend server alone, over the loopback interface.
func BenchmarkProxy(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "hello")
	}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, tc := range []struct {
			name    string
			handler http.Handler
		}{
			{"direct", nil}, {"bare", bareProxy{address, NewTransport(64)}}, {"forwarder", benchForwarder(address)},
		} {
			b.Run(method+"/"+tc.name, func(b *testing.B) { benchHandler(b, method, address, tc.handler) })
		}
	}
}

func benchHandler(b *testing.B, method, address string, handler http.Handler) {
	if handler != nil {
		front := httptest.NewServer(handler)
		defer front.Close()
		address = strings.TrimPrefix(front.URL, "http://")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), 200)
	send := func() {
		var r io.Reader
		if method == http.MethodPost {
			r = bytes.NewReader(body)
		}
		req, err := http.NewRequest(method, "http://"+address+"/svc/open/a", r)
		assertNoError(b, err, "request")
		resp, err := client.Do(req)
		assertNoError(b, err, "call")
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assertEqual(b, resp.StatusCode, 200, "status")
	}
	send()
	b.ReportAllocs()
	start := cpuTime()
	for b.Loop() {
		send()
	}
	b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkConnection compares a reused with a fresh connection for each request.
func BenchmarkConnection(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer backend.Close()
	for _, fresh := range []bool{false, true} {
		name := map[bool]string{false: "reused", true: "fresh"}[fresh]
		b.Run(name, func(b *testing.B) {
			transport := NewTransport(64)
			transport.DisableKeepAlives = fresh
			defer transport.CloseIdleConnections()
			start := cpuTime()
			for b.Loop() {
				req, err := http.NewRequest(http.MethodPost, backend.URL, nil)
				assertNoError(b, err, "request")
				resp, err := transport.RoundTrip(req)
				assertNoError(b, err, "call")
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

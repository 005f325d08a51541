package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// bareProxy is a minimal reverse proxy: just the net/http calls that forward a request.
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
		Admit:    func(context.Context, string) (limiter.Verdict, clock.Millis) { return limiter.Admitted, 0 },
		Acquire: func(context.Context, SlotRequest) (Permit, error) {
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

// usage is the CPU time and the allocations of a number of calls.
type usage struct {
	cpu    time.Duration
	allocs uint64
}

// BenchmarkProxy compares the forwarder with a bare reverse proxy and with direct calls
// over the loopback interface. The three alternate, so that other load on the machine
// affects all of them alike.
func BenchmarkProxy(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "hello")
	}))
	defer backend.Close()
	address := strings.TrimPrefix(backend.URL, "http://")
	bare := httptest.NewServer(bareProxy{address, NewTransport(64)})
	defer bare.Close()
	front := httptest.NewServer(benchForwarder(address))
	defer front.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) { benchRounds(b, method, []string{backend.URL, bare.URL, front.URL}) })
	}
}

func benchRounds(b *testing.B, method string, urls []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	var used [3]usage
	const callsPerRound = 50
	for b.Loop() {
		for n, url := range urls {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := cpuTime()
			for range callsPerRound {
				benchCall(b, client, method, url)
			}
			used[n].cpu += cpuTime() - start
			runtime.ReadMemStats(&after)
			used[n].allocs += after.Mallocs - before.Mallocs
		}
	}
	calls := float64(b.N * callsPerRound)
	for n, name := range []string{"direct", "bare", "forwarder"} {
		b.ReportMetric(float64(used[n].cpu.Nanoseconds())/calls, name+"-cpu-ns")
		b.ReportMetric(float64(used[n].allocs)/calls, name+"-allocs")
	}
	b.ReportMetric(float64(used[2].cpu-used[0].cpu)/float64(used[1].cpu-used[0].cpu), "added-cpu-ratio")
	b.ReportMetric(float64(used[2].allocs-used[0].allocs)/float64(used[1].allocs-used[0].allocs), "added-alloc-ratio")
}

func benchCall(b *testing.B, client *http.Client, method, url string) {
	var r io.Reader
	if method == http.MethodPost {
		r = strings.NewReader(benchBody)
	}
	req, err := http.NewRequest(method, url+"/svc/open/a", r)
	assertNoError(b, err, "request")
	resp, err := client.Do(req)
	assertNoError(b, err, "call")
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	assertEqual(b, resp.StatusCode, 200, "status")
}

var benchBody = strings.Repeat("x", 200)

// BenchmarkConnection compares reused connections with a new connection for each request.
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

// Command measureupload sends one large upload through a forwarder to a backend server
// that pauses before it reads, and prints the memory used.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

func newForwarder(address string) http.Handler {
	snap := snapshotter.Build(snapshotter.Input{
		Config: &schema.Config{Services: []*schema.Service{{Name: "svc", OpenRoutes: []string{"/svc"}}}},
		Keys:   &schema.Keys{}, Drains: &schema.Drains{}, Plan: &schema.Plan{}, Ready: true,
	})
	return forwarder.New(forwarder.Config{
		Snapshot: func() *snapshotter.Snapshot { return snap },
		Admit:    func(context.Context, string) (limiter.Verdict, clock.Millis) { return limiter.Admitted, 0 },
		Acquire: func(context.Context, *snapshotter.Service, string, []string) (forwarder.Permit, error) {
			return forwarder.Permit{BackendServer: "s", Address: address, Release: func(schema.PermitResult) {}}, nil
		},
		Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
		Tracer: noop.NewTracerProvider().Tracer("measure"), Transport: forwarder.NewTransport(4),
	})
}

// zeros is an endless body that counts the bytes read from it.
type zeros struct{ n *atomic.Int64 }

func (z zeros) Read(p []byte) (int, error) {
	z.n.Add(int64(len(p)))
	return len(p), nil
}

func main() {
	megabytes := flag.Int64("megabytes", 1000, "size of the upload")
	pause := flag.Duration("pause", 2*time.Second, "time for which the backend server reads nothing")
	flag.Parse()
	var received, sent atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(*pause)
		n, err := io.Copy(io.Discard, r.Body)
		received.Store(n)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer backend.Close()
	front := httptest.NewServer(newForwarder(strings.TrimPrefix(backend.URL, "http://")))
	defer front.Close()
	var peak, buffered uint64
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before := m.HeapInuse
	done := make(chan struct{})
	go func() {
		start := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			if time.Since(start) < *pause {
				buffered = uint64(sent.Load())
			}
		}
	}()
	start := time.Now()
	body := io.LimitReader(zeros{&sent}, *megabytes<<20)
	resp, err := http.Post(front.URL+"/svc/upload", "application/octet-stream", body)
	if err != nil {
		log.Fatal(err)
	}
	_ = resp.Body.Close()
	took := time.Since(start) - *pause
	close(done)
	fmt.Printf("status=%d received_mb=%d seconds=%.2f mb_per_s=%.0f heap_before_kb=%d heap_peak_kb=%d sent_during_pause_kb=%d\n",
		resp.StatusCode, received.Load()>>20, took.Seconds(), float64(*megabytes)/took.Seconds(), before>>10, peak>>10, buffered>>10)
}

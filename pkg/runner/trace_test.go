package runner

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"catkindyke/pkg/tracer"
)

// TestSpanForEachHop guards against traces without a span for each hop, in particular for
// the call to an owner on another host.
func TestSpanForEachHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	withTracedFleet(t, 4, tracer.Config{Exporter: spans, SampleRatio: 1}, func(fl *fleet) {
		fl.waitFor("servers owned", 30*time.Second, fl.allOwned)
		for range 10 {
			for name := range fl.hosts {
				assertStatus(t, fl.get(name, "/dispatch/open", ""), http.StatusOK, "request at "+name)
			}
		}
		for _, h := range fl.hosts {
			assertNoError(t, h.tracing.Flush(context.Background()), "flush")
		}
		hops := make(map[string][]string)
		for _, s := range spans.GetSpans() {
			id := s.SpanContext.TraceID().String()
			hops[id] = append(hops[id], s.Name)
		}
		complete := 0
		for _, names := range hops {
			slices.Sort(names)
			if slices.Equal(slices.Compact(names), []string{"acquire", "backend", "entry", "owner"}) {
				complete++
			}
		}
		t.Logf("%d traces, %d of them with an owner on another host", len(hops), complete)
		if len(hops) != 40 || complete == 0 {
			t.Errorf("%d traces, %d with all four hops; want 40 and some", len(hops), complete)
		}
		for _, h := range fl.hosts {
			assertNoError(t, h.tracing.Shutdown(context.Background()), "shut down tracing")
		}
	})
}

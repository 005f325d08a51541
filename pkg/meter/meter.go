// Package meter keeps the metrics of one host as expvar variables.
package meter

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Meter holds the counters, gauges and latency histograms of one host. Several hosts
// may run in one process, so the map is published only by the host that owns the
// process.
type Meter struct {
	vars      expvar.Map
	latencies histograms
}

// New returns an empty meter.
func New() *Meter {
	m := &Meter{latencies: histograms{byName: make(map[string]*hdrhistogram.Histogram)}}
	m.vars.Init()
	return m
}

var publishOnce sync.Once

// Publish publishes the meter as expvar variable "catkindyke" of the process.
func (m *Meter) Publish() {
	publishOnce.Do(func() { expvar.Publish("catkindyke", &m.vars) })
}

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) {
	m.vars.Add(name, n)
}

// Set sets a gauge.
func (m *Meter) Set(name string, n int64) {
	v := new(expvar.Int)
	v.Set(n)
	m.vars.Set(name, v)
}

// Get returns the value of a counter or gauge, zero when it was never set.
func (m *Meter) Get(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Map returns the expvar map, for a handler that prints it.
func (m *Meter) Map() *expvar.Map {
	return &m.vars
}

// Histogram bounds: latencies from 1 ms to a minute with two significant digits.
const (
	minLatencyMillis  = 1
	maxLatencyMillis  = 60000
	significantDigits = 2
)

// histograms holds histograms of latencies in milliseconds, by name.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

// Observe adds a latency in milliseconds to a histogram.
func (m *Meter) Observe(name string, ms int64) {
	m.latencies.mu.Lock()
	defer m.latencies.mu.Unlock()
	h := m.latencies.byName[name]
	if h == nil {
		h = hdrhistogram.New(minLatencyMillis, maxLatencyMillis, significantDigits)
		m.latencies.byName[name] = h
	}
	// Values are clamped to the bounds, so that recording can't fail.
	_ = h.RecordValue(min(max(ms, minLatencyMillis), maxLatencyMillis))
}

// WriteText writes counters and gauges, then histograms, as lines of "name value" in
// order of their names. Latencies are in milliseconds.
func (m *Meter) WriteText(w io.Writer) {
	m.vars.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })
	m.latencies.mu.Lock()
	defer m.latencies.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.latencies.byName)) {
		h := m.latencies.byName[name]
		fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
		for _, q := range []float64{50, 90, 99, 99.9} {
			fmt.Fprintf(w, "%s{quantile=\"%g\"} %d\n", name, q/100, h.ValueAtQuantile(q))
		}
		fmt.Fprintf(w, "%s_max %d\n", name, h.Max())
	}
}

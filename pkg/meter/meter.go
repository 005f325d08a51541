// Package meter counts events of one host as expvar variables.
package meter

import (
	"expvar"
	"sync"
)

// Meter holds the counters of one host. Several hosts may run in one process,
// so the map is published only by the host that owns the process.
type Meter struct {
	vars expvar.Map
}

// New returns an empty meter.
func New() *Meter {
	m := &Meter{}
	m.vars.Init()
	return m
}

var publishOnce sync.Once

// Publish makes the meter visible under "catkindyke" in the process's expvar page.
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

// Get returns a counter's or gauge's value, zero when it was never set.
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

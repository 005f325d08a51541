// Package clock provides clocks with a resolution of one millisecond.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time of a host's clock, or a duration, in milliseconds.
// Points in time of different hosts are never compared.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard duration, truncated to a millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Sleep waits for d and returns true, or returns false when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Clock reads the time from a function, so that tests can replace it.
type Clock struct {
	now func() Millis
}

// New returns a monotonic clock that starts near zero. Within a testing/synctest
// bubble it follows the bubble's virtual time.
func New() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// Now returns the current time.
func (c Clock) Now() Millis {
	return c.now()
}

// Manual is a clock that moves only through Advance.
type Manual struct {
	mu  sync.Mutex
	now Millis
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock {
	return Clock{now: func() Millis {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.now
	}}
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
}

// NewBootTime returns a clock that also counts the time for which the host was
// suspended. The ages of leases and of the configuration are measured with it,
// because a monotonic clock stops during a suspension.
func NewBootTime() Clock {
	return Clock{now: func() Millis {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			// Linux has had this clock since 2.6.39, so an error is a defect of the
			// platform.
			panic(err)
		}
		return Millis(ts.Nano() / int64(time.Millisecond))
	}}
}

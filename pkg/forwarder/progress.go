package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Causes of a cancelled attempt.
var (
	errStalled  = errors.New("no progress within the progress timeout")
	errDeadline = errors.New("deadline passed")
	errTooLarge = errors.New("request body over the limit")
)

// watchdog cancels an attempt that makes no progress or passes its deadline.
type watchdog struct {
	start   time.Time
	last    atomic.Int64
	timeout time.Duration
	cancel  func(error)

	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	// due is when the timer fires.
	due     time.Time
	stopped bool
}

// newWatchdog starts a watchdog; a zero deadline or timeout is none, but one of
// them is needed. cancel is never called after stop has returned.
func newWatchdog(timeout time.Duration, deadline time.Time, cancel func(error)) *watchdog {
	w := &watchdog{start: time.Now(), timeout: timeout, deadline: deadline, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.next(w.start)
	w.due = w.start.Add(left)
	w.timer = time.AfterFunc(left, w.check)
	return w
}

// arm sets the timer; w.mu is held.
func (w *watchdog) arm(now time.Time, left time.Duration) {
	w.due = now.Add(left)
	w.timer.Reset(left)
}

// touch records progress. It only stores a time; the timer looks at it when it fires.
func (w *watchdog) touch() { w.last.Store(int64(time.Since(w.start))) }

// watch replaces the timeout and the deadline.
func (w *watchdog) watch(timeout time.Duration, deadline time.Time) {
	w.touch()
	w.mu.Lock()
	w.timeout = timeout
	w.mu.Unlock()
	w.setDeadline(deadline)
}

// setDeadline replaces the deadline; a zero time removes it.
func (w *watchdog) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	now := time.Now()
	// A timer that fires too early starts again, which is rarer than this call.
	if left := w.next(now); !w.stopped && now.Add(left).Before(w.due) {
		w.arm(now, left)
	}
}

// next returns the time until something can be due; w.mu is held.
func (w *watchdog) next(now time.Time) time.Duration {
	left := w.timeout - (now.Sub(w.start) - time.Duration(w.last.Load()))
	if !w.deadline.IsZero() && (w.timeout == 0 || w.deadline.Sub(now) < left) {
		left = w.deadline.Sub(now)
	}
	return max(left, 0)
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	left := w.next(now)
	switch {
	case w.stopped:
	case left > 0:
		w.arm(now, left)
	case !w.deadline.IsZero() && !now.Before(w.deadline):
		w.stopped = true
		w.cancel(errDeadline)
	default:
		w.stopped = true
		w.cancel(errStalled)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// upload is a request body that is streamed to a backend server.
type upload struct {
	body  io.Reader
	limit int64
	touch func()
	// ended runs at the end of the body, before the reader sees it.
	ended func()

	total    int64
	started  atomic.Bool
	reading  atomic.Bool
	done     atomic.Bool
	failed   atomic.Bool
	tooLarge atomic.Bool
}

// Read reads from the caller; it notes who is waited for and enforces the limit.
func (u *upload) Read(p []byte) (int, error) {
	u.started.Store(true)
	u.reading.Store(true)
	n, err := u.body.Read(p)
	u.reading.Store(false)
	u.touch()
	u.total += int64(n)
	switch {
	case u.limit > 0 && u.total > u.limit:
		u.tooLarge.Store(true)
		return 0, errTooLarge
	case errors.Is(err, io.EOF):
		u.ended()
		u.done.Store(true)
	case err != nil:
		u.failed.Store(true)
	}
	return n, err
}

// Close leaves the body to the server, which closes it.
func (u *upload) Close() error { return nil }

// unblock ends a read that waits for the caller; the caller's connection is
// closed after the answer.
func unblock(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Causes of a cancelled or failed attempt.
var (
	errNoProgress     = errors.New("no progress within the progress timeout")
	errDeadlinePassed = errors.New("request deadline passed")
	errBodyTooLarge   = errors.New("request body exceeds the size limit")
)

// watchdog cancels an attempt that makes no progress for a timeout or passes its deadline.
type watchdog struct {
	start        time.Time
	lastProgress atomic.Int64
	timeout      time.Duration
	cancel       func(error)

	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	// fireTime is the time at which the timer fires.
	fireTime time.Time
	stopped  bool
}

// newWatchdog starts a watchdog. A zero timeout or deadline means none, but one of the two
// must be set. cancel is not called after stop has returned.
func newWatchdog(timeout time.Duration, deadline time.Time, cancel func(error)) *watchdog {
	w := &watchdog{start: time.Now(), timeout: timeout, deadline: deadline, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.timeLeft(w.start)
	w.fireTime = w.start.Add(left)
	w.timer = time.AfterFunc(left, w.onTimer)
	return w
}

// resetTimer restarts the timer. The caller holds w.mu.
func (w *watchdog) resetTimer(now time.Time, left time.Duration) {
	w.fireTime = now.Add(left)
	w.timer.Reset(left)
}

// recordProgress records progress. It only stores the time, which the timer checks when it fires.
func (w *watchdog) recordProgress() { w.lastProgress.Store(int64(time.Since(w.start))) }

// setLimits replaces the timeout and the deadline.
func (w *watchdog) setLimits(timeout time.Duration, deadline time.Time) {
	w.recordProgress()
	w.mu.Lock()
	w.timeout = timeout
	w.mu.Unlock()
	w.setDeadline(deadline)
}

// setDeadline replaces the deadline. A zero time removes it.
func (w *watchdog) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	now := time.Now()
	// A timer that fires too early is restarted, which happens less often than this call.
	if left := w.timeLeft(now); !w.stopped && now.Add(left).Before(w.fireTime) {
		w.resetTimer(now, left)
	}
}

// timeLeft returns the time until the earlier of timeout and deadline. The caller holds w.mu.
func (w *watchdog) timeLeft(now time.Time) time.Duration {
	left := w.timeout - (now.Sub(w.start) - time.Duration(w.lastProgress.Load()))
	if !w.deadline.IsZero() && (w.timeout == 0 || w.deadline.Sub(now) < left) {
		left = w.deadline.Sub(now)
	}
	return max(left, 0)
}

func (w *watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	left := w.timeLeft(now)
	switch {
	case w.stopped:
	case left > 0:
		w.resetTimer(now, left)
	case !w.deadline.IsZero() && !now.Before(w.deadline):
		w.stopped = true
		w.cancel(errDeadlinePassed)
	default:
		w.stopped = true
		w.cancel(errNoProgress)
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
	body   io.Reader
	limit  int64
	onRead func()
	// onEOF runs at the end of the body, before Read returns io.EOF.
	onEOF func()

	bytesRead int64
	started   atomic.Bool
	reading   atomic.Bool
	done      atomic.Bool
	failed    atomic.Bool
	tooLarge  atomic.Bool
}

// Read reads from the caller and enforces the size limit. It sets reading while it waits for the caller.
func (u *upload) Read(p []byte) (int, error) {
	u.started.Store(true)
	u.reading.Store(true)
	n, err := u.body.Read(p)
	u.reading.Store(false)
	u.onRead()
	u.bytesRead += int64(n)
	switch {
	case u.limit > 0 && u.bytesRead > u.limit:
		u.tooLarge.Store(true)
		return 0, errBodyTooLarge
	case errors.Is(err, io.EOF):
		u.onEOF()
		u.done.Store(true)
	case err != nil:
		u.failed.Store(true)
	}
	return n, err
}

// Close does nothing; the HTTP server closes the body.
func (u *upload) Close() error { return nil }

// interruptRead ends a read that waits for the caller. The caller's connection is closed
// after the response.
func interruptRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

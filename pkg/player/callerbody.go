package player

import (
	"io"
	"net/http/httptest"
	"os"
	"sync"
	"time"
)

// callerBody is the body of a caller's request. It can stall halfway, and as on a
// real connection a blocked read ends at the read deadline.
type callerBody struct {
	data     []byte
	stallPos int

	mu              sync.Mutex
	pos             int
	stallEnd        time.Time
	stallDuration   time.Duration
	deadline        time.Time
	deadlineChanged chan struct{}
}

func newCallerBody(data string, stall time.Duration) *callerBody {
	return &callerBody{data: []byte(data), stallPos: len(data) / 2, stallDuration: stall, deadlineChanged: make(chan struct{})}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.stallDuration > 0 && b.pos == b.stallPos {
		if b.stallEnd.IsZero() {
			b.stallEnd = time.Now().Add(b.stallDuration)
		}
		if !b.waitForStallEnd() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	end := len(b.data)
	if b.stallDuration > 0 && b.pos < b.stallPos {
		end = b.stallPos
	}
	n := copy(p, b.data[b.pos:end])
	b.pos += n
	if b.pos == len(b.data) {
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (b *callerBody) Close() error { return nil }

// waitForStallEnd returns false if the read deadline passes before the stall ends.
func (b *callerBody) waitForStallEnd() bool {
	for {
		b.mu.Lock()
		deadline, deadlineChanged := b.deadline, b.deadlineChanged
		b.mu.Unlock()
		now, wakeAt := time.Now(), b.stallEnd
		if !deadline.IsZero() && deadline.Before(wakeAt) {
			wakeAt = deadline
		}
		if !wakeAt.After(now) {
			return !wakeAt.Before(b.stallEnd)
		}
		t := time.NewTimer(wakeAt.Sub(now))
		select {
		case <-t.C:
		case <-deadlineChanged:
		}
		t.Stop()
	}
}

// responseWriter records a host's response. It applies read deadlines to the
// request body, as the response writer of net/http does.
type responseWriter struct {
	*httptest.ResponseRecorder
	body *callerBody
}

// SetReadDeadline is called by http.ResponseController.
func (w responseWriter) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	w.body.mu.Lock()
	defer w.body.mu.Unlock()
	w.body.deadline = t
	close(w.body.deadlineChanged)
	w.body.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline is called by http.ResponseController. It does nothing, since
// callers always read.
func (w responseWriter) SetWriteDeadline(time.Time) error { return nil }

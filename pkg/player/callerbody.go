package player

import (
	"io"
	"net/http/httptest"
	"os"
	"sync"
	"time"
)

// callerBody is the body of a caller's request. It can stop in the middle, and
// like that of a real connection a read of it ends at the read deadline.
type callerBody struct {
	data    []byte
	stallAt int

	mu       sync.Mutex
	pos      int
	until    time.Time
	stall    time.Duration
	deadline time.Time
	changed  chan struct{}
}

func newCallerBody(data string, stall time.Duration) *callerBody {
	return &callerBody{data: []byte(data), stallAt: len(data) / 2, stall: stall, changed: make(chan struct{})}
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.stall > 0 && b.pos == b.stallAt {
		if b.until.IsZero() {
			b.until = time.Now().Add(b.stall)
		}
		if !b.wait() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	end := len(b.data)
	if b.stall > 0 && b.pos < b.stallAt {
		end = b.stallAt
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

// wait returns false when the deadline passes before the stall ends.
func (b *callerBody) wait() bool {
	for {
		b.mu.Lock()
		deadline, changed := b.deadline, b.changed
		b.mu.Unlock()
		now, next := time.Now(), b.until
		if !deadline.IsZero() && deadline.Before(next) {
			next = deadline
		}
		if !next.After(now) {
			return !next.Before(b.until)
		}
		t := time.NewTimer(next.Sub(now))
		select {
		case <-t.C:
		case <-changed:
		}
		t.Stop()
	}
}

// answer records what a host answers and passes read deadlines to the body, as
// the response writer of net/http does.
type answer struct {
	*httptest.ResponseRecorder
	body *callerBody
}

// SetReadDeadline is used by http.ResponseController.
func (a answer) SetReadDeadline(t time.Time) error {
	if a.body == nil {
		return nil
	}
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.body.deadline = t
	close(a.body.changed)
	a.body.changed = make(chan struct{})
	return nil
}

// SetWriteDeadline is used by http.ResponseController; a caller always reads.
func (a answer) SetWriteDeadline(time.Time) error { return nil }

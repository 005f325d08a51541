package steerer

import (
	"errors"
	"io"
	"sync"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/reserver"
)

const (
	// firstBodyPiece is the part of a body that the room of each request covers.
	firstBodyPiece = 4 << 10
	// largeBody is the size from which a body gets a larger receive buffer.
	largeBody = 32 << 10
)

// readHeld reads a body up to one byte more than maxBufferedBody. Memory is reserved before it
// is taken, for at most twice of what has arrived. length is negative if it is unknown.
func readHeld(held *accepter.Conn, r io.Reader, length int64) ([]byte, error) {
	limit := maxBufferedBody + 1
	if length >= 0 {
		limit = min(limit, int(length)+1)
	}
	body := make([]byte, 0, min(limit, firstBodyPiece))
	for len(body) < limit {
		if len(body) == cap(body) {
			size := min(2*cap(body), limit)
			if err := held.Reserve(reserver.Body, size); err != nil {
				return nil, err
			}
			if size >= largeBody {
				held.GrowReceiveBuffer()
			}
			old := cap(body)
			body = append(make([]byte, 0, size), body...)
			if old > firstBodyPiece {
				held.Release(reserver.Body, old)
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// errAttemptOver is returned to an attempt that reads the body after it has ended.
var errAttemptOver = errors.New("the attempt has ended")

// streamedBody is a request body that is not held in memory as a whole. Each attempt reads it
// through a reader of its own, which gets no byte once the attempt has ended.
type streamedBody struct {
	mu sync.Mutex
	// head is the part of the body that is held in memory, and rest what follows it.
	head []byte
	rest io.Reader
	// onEnd is called when rest has been read to its end.
	onEnd func()
	// restTaken is set once an attempt has begun to read rest.
	restTaken bool
	// current is the reader of the attempt that is under way, or nil.
	current *attemptReader
}

// startAttempt returns a reader of the whole body for the next attempt.
func (b *streamedBody) startAttempt() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = &attemptReader{body: b}
	return b.current
}

// endAttempt ends the attempt that is under way and reports whether another one can still get
// the whole body.
func (b *streamedBody) endAttempt() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return !b.restTaken
}

// attemptReader reads the body for one attempt.
type attemptReader struct {
	body *streamedBody
	// offset is the number of bytes of head that were read.
	offset int
}

// Read implements io.Reader.
func (r *attemptReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	if b.current != r {
		b.mu.Unlock()
		return 0, errAttemptOver
	}
	if r.offset < len(b.head) {
		defer b.mu.Unlock()
		n := copy(p, b.head[r.offset:])
		r.offset += n
		return n, nil
	}
	b.restTaken = true
	b.mu.Unlock()
	// The caller may send slowly, so that this is done without the mutex.
	n, err := b.rest.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}

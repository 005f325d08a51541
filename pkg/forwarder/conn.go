package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// Limits of connections to backend servers.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 60 * time.Second
	// unackedTimeout closes a connection whose data the peer does not acknowledge.
	unackedTimeout = 10 * time.Second
	// maxResponseHeaderBytes bounds the memory that an answer's header takes.
	maxResponseHeaderBytes = 256 << 10
	// maxNonIdempotentIdle is the longest idle time after which a request that may not be
	// repeated still uses a connection. A dial costs about 1 ms, a lost request
	// is answered with may_have_run.
	maxNonIdempotentIdle = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// errConnAborted is returned by writes to a connection that may carry no more bytes.
var errConnAborted = errors.New("connection is closed to further requests")

// errReplay ends an attempt that net/http would repeat on its own.
var errReplay = errors.New("second copy of a request")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the transport to backend servers. Its connections count
// what they carry, which proves that a failed request was not sent.
func NewTransport(connections int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Best effort: keep-alive and the progress timeout remain without it.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
		},
	}
	return newTransport(connections, dialer.DialContext)
}

func newTransport(connections int, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    connections,
		MaxConnsPerHost:        connections,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// conn counts the bytes of a connection and can be sealed against writes.
type conn struct {
	net.Conn
	mu                      sync.Mutex
	aborted                 bool
	bytesWritten, bytesRead int64
	// writtenAtStart and readAtStart are the counts when the current request took the connection.
	writtenAtStart, readAtStart int64
	// unsolicited is set when answer bytes came before a byte of the request was written.
	unsolicited bool
}

// Write counts bytes before it writes them, so that a partial write counts as sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errConnAborted
	}
	c.bytesWritten += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read counts bytes and notes those that no request asked for.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.bytesRead += int64(n)
		c.unsolicited = c.unsolicited || c.bytesWritten == c.writtenAtStart
		c.mu.Unlock()
	}
	return n, err
}

// startRequest marks the start of a request.
func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAtStart, c.readAtStart, c.unsolicited = c.bytesWritten, c.bytesRead, false
}

// checkFirstByte checks that the answer's first byte was read after the request
// began, and is not left over from the answer before.
func (c *conn) checkFirstByte() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsolicited = c.unsolicited || c.bytesRead == c.readAtStart
}

// mismatched reports whether the answer began with bytes that are not its own.
func (c *conn) mismatched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// wroteRequest reports whether a byte of the current request may have left the host.
func (c *conn) wroteRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten != c.writtenAtStart
}

// abort stops all further writes and closes the connection. It reports whether
// a byte of the current request may have left the host.
func (c *conn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	wrote := c.bytesWritten != c.writtenAtStart
	c.mu.Unlock()
	_ = c.Conn.Close()
	return wrote
}

// connTracker follows one RoundTrip over the connections that net/http gives it.
type connTracker struct {
	// nonIdempotent is set for a request that may not be repeated.
	nonIdempotent bool
	// cancel ends the attempt, so that net/http stops looking for a connection
	// for a copy that the guard refuses; it may be nil.
	cancel func(error)

	hooks httptrace.ClientTrace

	mu          sync.Mutex
	currentConn *conn
	copies      int
	untracked   bool
	idleTooLong bool
	reused      bool
}

// withTrace adds the hooks that follow the connections.
func (t *connTracker) withTrace(ctx context.Context) context.Context {
	t.hooks.GotConn, t.hooks.GotFirstResponseByte = t.gotConn, t.gotFirstByte
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

// gotConn runs before net/http writes to the connection. Sealing it here stops
// a second copy whatever the reasons of net/http to send one.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.untracked = true
		return
	}
	if t.currentConn != nil && t.currentConn.wroteRequest() {
		t.copies++
	}
	c.startRequest()
	t.currentConn, t.reused = c, info.Reused
	switch {
	case t.copies > 0:
		c.abort()
		if t.cancel != nil {
			t.cancel(errReplay)
		}
	case t.nonIdempotent && info.WasIdle && info.IdleTime > maxNonIdempotentIdle:
		t.idleTooLong = true
		c.abort()
	}
}

func (t *connTracker) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentConn != nil {
		t.currentConn.checkFirstByte()
	}
}

// abort ends the flight after an error and returns the number of copies of
// which a byte may have left the host.
func (t *connTracker) abort() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentConn != nil && t.currentConn.abort() {
		t.copies++
	}
	t.currentConn = nil
	if t.untracked {
		return max(t.copies, 1)
	}
	return t.copies
}

// mismatched reports whether the answer is made of bytes that are not its own.
func (t *connTracker) mismatched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentConn != nil && t.currentConn.mismatched()
}

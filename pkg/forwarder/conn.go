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

// Limits and timeouts of connections to backend servers.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 60 * time.Second
	// unackedTimeout is the time after which a connection with unacknowledged data is closed.
	unackedTimeout = 10 * time.Second
	// maxResponseHeaderBytes limits the memory that a response header takes.
	maxResponseHeaderBytes = 256 << 10
	// maxNonIdempotentIdle is the longest idle time after which a non-idempotent request may still
	// use a connection. A dial takes about 1 ms, while a lost request is refused with may_have_run.
	maxNonIdempotentIdle = 2 * time.Second
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 0x12
)

// errConnAborted is returned by writes to an aborted connection.
var errConnAborted = errors.New("connection aborted, no further requests allowed")

// errReplay is the cause of cancelling an attempt that net/http was about to replay.
var errReplay = errors.New("net/http attempted to replay the request")

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport to backend servers. Its connections count the bytes they
// write and read, so that the forwarder can prove that a failed request was not sent.
func NewTransport(connections int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Best effort: without it, keep-alive and the progress timeout still apply.
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

// conn counts the bytes of a connection and can be aborted, after which it refuses writes.
type conn struct {
	net.Conn
	mu                      sync.Mutex
	aborted                 bool
	bytesWritten, bytesRead int64
	// writtenAtStart and readAtStart are the counts at the start of the current request.
	writtenAtStart, readAtStart int64
	// unsolicited is set if response bytes arrived before any byte of the current request was written.
	unsolicited bool
}

// Write counts bytes before writing them, so that a partial write counts as sent.
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

// Read counts bytes and detects those that arrive before the request is written.
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

// startRequest records the byte counts at the start of a request.
func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenAtStart, c.readAtStart, c.unsolicited = c.bytesWritten, c.bytesRead, false
}

// checkFirstByte checks that the first byte of the response was read after the request
// started. Otherwise it was already buffered after the previous response.
func (c *conn) checkFirstByte() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsolicited = c.unsolicited || c.bytesRead == c.readAtStart
}

// mismatched reports whether the response began with bytes that cannot belong to it.
func (c *conn) mismatched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// wroteRequest reports whether any byte of the current request may have left the host.
func (c *conn) wroteRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten != c.writtenAtStart
}

// abort refuses further writes and closes the connection. It reports whether any byte of
// the current request may have left the host.
func (c *conn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	wrote := c.bytesWritten != c.writtenAtStart
	c.mu.Unlock()
	_ = c.Conn.Close()
	return wrote
}

// connTracker tracks the connections that net/http uses for one RoundTrip, and prevents
// net/http from replaying the request.
type connTracker struct {
	// nonIdempotent is set if the request must not run more than once.
	nonIdempotent bool
	// cancel cancels the attempt, so that net/http stops looking for a connection for a copy
	// that gotConn rejects. It may be nil.
	cancel func(error)

	hooks httptrace.ClientTrace

	mu          sync.Mutex
	currentConn *conn
	copies      int
	untracked   bool
	idleTooLong bool
	reused      bool
}

// withTrace returns a context with the hooks that report the connections used.
func (t *connTracker) withTrace(ctx context.Context) context.Context {
	t.hooks.GotConn, t.hooks.GotFirstResponseByte = t.gotConn, t.gotFirstByte
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

// gotConn runs before net/http writes to a connection. Aborting the connection here
// prevents a second copy of the request, for whatever reason net/http would send it.
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

// abort aborts the current connection after an error and returns the number of copies of
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

// mismatched reports whether the response began with bytes that cannot belong to it.
func (t *connTracker) mismatched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentConn != nil && t.currentConn.mismatched()
}

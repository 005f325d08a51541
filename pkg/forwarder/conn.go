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
	// maxAnswerHeaderBytes bounds the memory that an answer's header takes.
	maxAnswerHeaderBytes = 256 << 10
	// provenLive is the longest idle time after which a request that may not be
	// repeated still uses a connection. A dial costs about 1 ms, a lost request
	// is answered with may_have_run.
	provenLive = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// errSealed is returned by writes to a connection that may carry no more bytes.
var errSealed = errors.New("connection is closed to further requests")

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
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// conn counts the bytes of a connection and can be sealed against writes.
type conn struct {
	net.Conn
	mu            sync.Mutex
	sealed        bool
	written, read int64
	// writeMark and readMark are the counts when the current request took the connection.
	writeMark, readMark int64
	// early is set when answer bytes came before a byte of the request was written.
	early bool
}

// Write counts bytes before it writes them, so that a partial write counts as sent.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read counts bytes and notes those that no request asked for.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.read += int64(n)
		c.early = c.early || c.written == c.writeMark
		c.mu.Unlock()
	}
	return n, err
}

// begin marks the start of a request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeMark, c.readMark, c.early = c.written, c.read, false
}

// firstByte checks that the answer's first byte was read after the request
// began, and is not left over from the answer before.
func (c *conn) firstByte() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = c.early || c.read == c.readMark
}

// foreign reports whether the answer began with bytes that are not its own.
func (c *conn) foreign() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.early
}

// wrote reports whether a byte of the current request may have left the host.
func (c *conn) wrote() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written != c.writeMark
}

// seal stops all further writes and closes the connection. It reports whether
// a byte of the current request may have left the host.
func (c *conn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	wrote := c.written != c.writeMark
	c.mu.Unlock()
	_ = c.Conn.Close()
	return wrote
}

// flight follows one RoundTrip over the connections that net/http gives it.
type flight struct {
	// once is set for a request that may not be repeated.
	once bool
	// cancel ends the attempt, so that net/http stops looking for a connection
	// for a copy that the guard refuses; it may be nil.
	cancel func(error)

	hooks httptrace.ClientTrace

	mu      sync.Mutex
	current *conn
	copies  int
	unknown bool
	stale   bool
	reused  bool
}

// context adds the hooks that follow the connections.
func (t *flight) context(ctx context.Context) context.Context {
	t.hooks.GotConn, t.hooks.GotFirstResponseByte = t.gotConn, t.gotFirstByte
	return httptrace.WithClientTrace(ctx, &t.hooks)
}

// gotConn runs before net/http writes to the connection. Sealing it here stops
// a second copy whatever the reasons of net/http to send one.
func (t *flight) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.unknown = true
		return
	}
	if t.current != nil && t.current.wrote() {
		t.copies++
	}
	c.begin()
	t.current, t.reused = c, info.Reused
	switch {
	case t.copies > 0:
		c.seal()
		if t.cancel != nil {
			t.cancel(errReplay)
		}
	case t.once && info.WasIdle && info.IdleTime > provenLive:
		t.stale = true
		c.seal()
	}
}

func (t *flight) gotFirstByte() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil {
		t.current.firstByte()
	}
}

// fail ends the flight after an error and returns the number of copies of
// which a byte may have left the host.
func (t *flight) fail() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.seal() {
		t.copies++
	}
	t.current = nil
	if t.unknown {
		return max(t.copies, 1)
	}
	return t.copies
}

// foreign reports whether the answer is made of bytes that are not its own.
func (t *flight) foreign() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current != nil && t.current.foreign()
}

package courier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/peeker"
)

const (
	// defaultIdleTimeout applies if a server does not state its idle timeout.
	defaultIdleTimeout clock.Millis = 4000
	// maxIdleTimeout bounds the idle timeouts that servers state.
	maxIdleTimeout clock.Millis = 30000
	// freshIdleTimeout is the idle timeout for requests that cannot be retried: a new
	// connection costs about a millisecond, a lost request fails.
	freshIdleTimeout clock.Millis = 1500
	// maxIdleConnsPerServer is the number of idle connections kept for each server.
	maxIdleConnsPerServer = 8
	// tcpUserTimeout closes a connection whose data the peer does not acknowledge.
	// It allows two retransmissions.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect dead connections while a server
	// works on a request.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// errHeaderTooLong means that a response header exceeds maxResponseHeaderBytes.
var errHeaderTooLong = errors.New("response header is too long")

// connection is a connection to a backend server.
type connection struct {
	net.Conn
	r *bufio.Reader
	// bytesWritten is the number of bytes of the current request that may have been sent.
	bytesWritten atomic.Int64
	// mu guards the fields below up to failed. It is held during a write, so that a reader
	// that holds it knows the outcome of all writes begun before.
	mu sync.Mutex
	// accepted is the number of bytes of the current request that the socket has taken, and
	// total that of all its bytes, negative while it is not known.
	accepted, total int64
	// failed is set once a read or a write has failed other than by an orderly end.
	failed bool
	// readBudget is the number of bytes that may still be read; negative means no limit.
	readBudget int
	// reused is set if the connection has carried an earlier request.
	reused      bool
	idleTimeout clock.Millis
	idleSince   clock.Millis
	// recentIDs holds the IDs of the last requests, the oldest first.
	recentIDs []string
}

// maxRecentIDs is the number of requests on a connection whose late responses are guarded
// against if a caller uses an ID twice.
const maxRecentIDs = 8

// recordID records the ID of a request that the connection is about to carry.
func (c *connection) recordID(id string) {
	if len(c.recentIDs) == maxRecentIDs {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// Write counts bytes before it writes them, because a failed write may have sent some.
func (c *connection) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.accepted += int64(n)
	c.failed = c.failed || err != nil
	return n, err
}

// startRequest prepares the connection for the next request.
func (c *connection) startRequest(id string) {
	c.recordID(id)
	c.bytesWritten.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted, c.total = 0, -1
}

// expectBytes records that the request ends after n more bytes than were written so far.
func (c *connection) expectBytes(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = c.accepted + n
}

// hasEndedInOrder reports, after the end of the input, whether the server ended the connection
// in order, as far as the host can tell: it has got the whole request, no read or write has
// failed, and the connection was not reset. The socket reports a reset once, either to a read
// or to a write that goes on concurrently; the other one sees a plain end.
func (c *connection) hasEndedInOrder() bool {
	// Nothing more is sent: a write that still waits is part of an unfinished request.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed && c.accepted == c.total && peeker.HasEndedInOrder(c.Conn)
}

// abort closes the connection with a reset, so that the server does not get bytes that are
// still on their way. They could be held up for seconds, and the request run then.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure it is closed without a reset
	}
	_ = c.Close()
}

// Read reads at most readBudget bytes.
func (c *connection) Read(p []byte) (int, error) {
	if c.readBudget == 0 {
		return 0, errHeaderTooLong
	}
	if c.readBudget > 0 && len(p) > c.readBudget {
		p = p[:c.readBudget]
	}
	n, err := c.Conn.Read(p)
	if c.readBudget > 0 {
		c.readBudget -= n
	}
	if err != nil && !errors.Is(err, io.EOF) {
		c.mu.Lock()
		c.failed = true
		c.mu.Unlock()
	}
	return n, err
}

// isReusable reports whether the connection is open and has no unread input.
// Unsolicited bytes belong to no request.
func (c *connection) isReusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	return peeker.Peek(c.Conn) == peeker.None
}

// pool holds idle connections for each server.
type pool struct {
	// maxConns bounds the idle connections to all servers together; 0 means no bound.
	maxConns int

	mu    sync.Mutex
	idle  map[Target][]*connection
	conns int
}

func newPool(maxConns int) *pool {
	return &pool{maxConns: maxConns, idle: make(map[Target][]*connection)}
}

// get returns the most recently used connection that is still reusable and has not carried a
// request with the given ID lately, or nil.
func (p *pool) get(target Target, id string, fresh bool, now clock.Millis) *connection {
	for {
		c := p.pop(target)
		if c == nil {
			return nil
		}
		timeout := c.idleTimeout
		if fresh {
			timeout = min(timeout, freshIdleTimeout)
		}
		if now-c.idleSince <= timeout && !slices.Contains(c.recentIDs, id) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(target Target) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[target] = conns[:len(conns)-1]
	p.conns--
	return c
}

func (p *pool) put(target Target, c *connection, now clock.Millis) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= maxIdleConnsPerServer || (p.maxConns > 0 && p.conns >= p.maxConns) {
		_ = c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
	p.conns++
}

// sweep closes connections past their idle timeout and those to servers for which
// keep returns false.
func (p *pool) sweep(keep func(Target) bool, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if keep(target) && now-c.idleSince <= c.idleTimeout {
				kept = append(kept, c)
			} else {
				_ = c.Close()
				p.conns--
			}
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Sweep closes connections past their idle timeout and idle connections to servers
// for which keep returns false.
func (c *Courier) Sweep(keep func(Target) bool) { c.pool.sweep(keep, c.cfg.Clock.Now()) }

// dial opens a TCP connection that detects an unresponsive peer.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without this option, keep-alive and the deadline still apply.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

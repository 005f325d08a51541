package courier

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"catkindyke/pkg/clock"
)

const (
	// defaultIdleTimeout is used when a server does not say how long it keeps idle connections.
	defaultIdleTimeout clock.Millis = 4000
	// maxIdleTimeout bounds the time for which a connection is kept.
	maxIdleTimeout clock.Millis = 30000
	// freshIdleTimeout is the longest idle time of a connection that carries a request
	// which cannot be repeated: a new connection costs about a millisecond, a lost
	// request is answered with an error.
	freshIdleTimeout clock.Millis = 1500
	// maxIdleConnsPerServer is the number of idle connections kept to one server.
	maxIdleConnsPerServer = 8
	// tcpUserTimeout closes a connection whose data the peer does not acknowledge;
	// it leaves room for two retransmissions.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that went silent while
	// a server works on a request.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// errHeaderTooLong says that an answer's header is over its bound.
var errHeaderTooLong = errors.New("header of the answer is too long")

// connection is a connection to a backend server.
type connection struct {
	net.Conn
	r *bufio.Reader
	// bytesWritten is the number of bytes of the current request that may have left.
	bytesWritten int64
	// readBudget is the number of bytes that may still be read, or below 0 for no bound.
	readBudget int
	// reused says that the connection has carried another request.
	reused      bool
	idleTimeout clock.Millis
	idleSince   clock.Millis
}

// Write counts bytes before it writes them, so that a partial write counts as sent.
func (c *connection) Write(p []byte) (int, error) {
	c.bytesWritten += int64(len(p))
	return c.Conn.Write(p)
}

// Read applies the budget.
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
	return n, err
}

// isReusable reports whether the connection is open and has nothing to read. Bytes
// that nobody asked for belong to no request.
func (c *connection) isReusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && noInput
}

// pool keeps idle connections by server.
type pool struct {
	mu   sync.Mutex
	idle map[Target][]*connection
}

func newPool() *pool { return &pool{idle: make(map[Target][]*connection)} }

// get returns the connection that was used last, or nil.
func (p *pool) get(target Target, fresh bool, now clock.Millis) *connection {
	for {
		c := p.pop(target)
		if c == nil {
			return nil
		}
		timeout := c.idleTimeout
		if fresh {
			timeout = min(timeout, freshIdleTimeout)
		}
		if now-c.idleSince <= timeout && c.isReusable() {
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
	return c
}

func (p *pool) put(target Target, c *connection, now clock.Millis) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[target]) >= maxIdleConnsPerServer {
		_ = c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
}

// sweep closes the idle connections of the servers that keep does not name.
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
			}
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
}

// Sweep closes the connections that have been idle for too long and those to
// servers that keep does not name.
func (c *Courier) Sweep(keep func(Target) bool) { c.pool.sweep(keep, c.cfg.Clock.Now()) }

// dial opens a TCP connection that notices a silent peer.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Keep-alive and the deadline remain where the option is missing.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

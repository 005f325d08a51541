// Package screener rejects requests that net/http accepts but a proxy should not
// pass on, and bounds the size and time of headers by limits that may change while
// connections are open.
//
// A request with both a Content-Length and a Transfer-Encoding, or with a folded
// header line, can be read in two ways and so smuggle another request. It is
// answered with status 400, a request with too large a header with 431, and the
// connection is closed.
package screener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/peeker"
)

// Limits bound what callers send. A field that is 0 sets no bound.
type Limits struct {
	// HeaderBytes is the largest size of a request header.
	HeaderBytes int
	// HeaderTimeout is the longest time from the first byte of a header to its last.
	HeaderTimeout clock.Millis
	// IdleTimeout is the longest time between two requests on a connection.
	IdleTimeout clock.Millis
}

const (
	// headerTimeoutPlaceholder and idleTimeoutPlaceholder are the timeouts of the
	// http.Server. When net/http sets a deadline from one of them, the connection
	// uses the limit in force instead. They differ from each other and from all real
	// timeouts.
	headerTimeoutPlaceholder = 24 * time.Hour
	idleTimeoutPlaceholder   = 48 * time.Hour
	// placeholderTolerance is longer than the time between the computation of a
	// deadline and its use.
	placeholderTolerance = time.Hour
)

// Config configures a screener.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// OnRefused is called for each refused request.
	OnRefused func(remote, reason string)
}

// Screener checks the requests on the connections of one server.
type Screener struct{ cfg Config }

// New returns a screener.
func New(cfg Config) *Screener { return &Screener{cfg: cfg} }

type connKey struct{}

// Install makes a server check its requests. The server must serve a listener
// that WrapListener returned.
func (s *Screener) Install(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if status, reason := s.checkHeader(c.nextHeader()); status != 0 {
				s.cfg.OnRefused(r.RemoteAddr, reason)
				w.Header().Set("Connection", "close")
				w.WriteHeader(status)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeoutPlaceholder, idleTimeoutPlaceholder
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// checkHeader returns the status and reason of a refusal, 0 if the request is accepted.
func (s *Screener) checkHeader(h headerInfo) (status int, reason string) {
	limits := s.cfg.Limits()
	switch {
	case h.folded:
		return http.StatusBadRequest, "folded_header"
	case h.hasContentLength && h.hasTransferEncoding:
		return http.StatusBadRequest, "length_and_coding"
	case limits.HeaderBytes > 0 && h.size > limits.HeaderBytes:
		return http.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	}
	return 0, ""
}

// WrapListener returns a listener whose connections are checked.
func (s *Screener) WrapListener(l net.Listener) net.Listener { return listener{l, s} }

type listener struct {
	net.Listener
	screener *Screener
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, screener: l.screener}, nil
}

// conn records the headers of the requests that are read from it, in order.
type conn struct {
	net.Conn
	screener *Screener

	mu      sync.Mutex
	scanner scanner
	headers []headerInfo
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.headers = c.scanner.scan(p[:n], c.headers)
		c.mu.Unlock()
	}
	return n, err
}

// HasDisconnected reports whether the caller of a request has closed its connection. ctx is
// the context of the request, which net/http cancels somewhat later.
func HasDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && peeker.Peek(c.Conn) == peeker.Closed
}

// ResetOnClose sets whether the connection of a request ends with a reset when it is closed, also
// by the end of the process. ctx is the context of the request. A response whose end only the
// end of the connection shows must not look complete if it is cut.
func ResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(linger) // on failure the connection is closed already
	}
}

// nextHeader returns the header of the request that a handler starts to serve.
func (c *conn) nextHeader() headerInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.headers) == 0 {
		return headerInfo{}
	}
	h := c.headers[0]
	c.headers = c.headers[1:]
	return h
}

// SetReadDeadline implements net.Conn. Deadlines that come from a placeholder are
// replaced by the limit in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	limits := c.screener.cfg.Limits()
	switch remaining := time.Until(t); {
	case t.IsZero():
	case remaining > idleTimeoutPlaceholder-placeholderTolerance:
		t = deadlineAfter(limits.IdleTimeout)
	case remaining > headerTimeoutPlaceholder-placeholderTolerance:
		t = deadlineAfter(limits.HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// deadlineAfter returns the deadline for a limit that starts now, none if the limit is 0.
func deadlineAfter(limit clock.Millis) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit.Duration())
}

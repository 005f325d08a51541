// Package screener watches the requests on callers' connections for what
// net/http accepts and a proxy should not, and bounds their headers by limits
// that may change while connections are open.
//
// A request with both a length and a transfer coding, or with a folded header
// line, may be read in two ways, and so hide another request. It is answered
// with 400, one whose header is too large with 431, and the connection closes.
package screener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"catkindyke/pkg/clock"
)

// Limits bound what callers send. Fields that are 0 do not bound.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout is the longest time from the first byte of a header to its last.
	HeaderTimeout clock.Millis
	// IdleTimeout is the longest time between two requests on a connection.
	IdleTimeout clock.Millis
}

const (
	// headerTimeoutPlaceholder and idleMark are given to net/http as timeouts, and are replaced by
	// the limits in force when it sets a deadline. They differ from each other and
	// from all real timeouts.
	headerTimeoutPlaceholder = 24 * time.Hour
	idleTimeoutPlaceholder   = 48 * time.Hour
	// placeholderTolerance is above the time between the computation of a deadline and its use.
	placeholderTolerance = time.Hour
)

// Config configures a screener.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// OnRefused is told of each refused request.
	OnRefused func(remote, reason string)
}

// Screener screens the connections of one server.
type Screener struct{ cfg Config }

// New returns a screener.
func New(cfg Config) *Screener { return &Screener{cfg: cfg} }

type connKey struct{}

// Install makes a server screen its requests. The server must be served with
// a listener of Listen.
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

// WrapListener returns a listener whose connections are screened.
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

// conn notes the headers of the requests that are read from it, in order.
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

// nextHeader returns the header of the request that a handler begins with.
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

// SetReadDeadline implements net.Conn; deadlines that stand for a limit are replaced.
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

func deadlineAfter(limit clock.Millis) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit.Duration())
}

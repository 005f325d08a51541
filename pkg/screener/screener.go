// Package screener rejects requests that net/http accepts but a proxy should not
// pass on, and bounds the size and time of headers by limits that may change while
// connections are open. On connections of package accepter, it reserves the memory of
// headers while they are read.
//
// A request with both a Content-Length and a Transfer-Encoding, or with a folded
// header line, can be read in two ways and so smuggle another request. It is
// answered with status 400, a request with too large a header with 431, and the
// connection is closed.
package screener

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/peeker"
	"catkindyke/pkg/reserver"
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
	// requestBytes is reserved for each request, and covers most headers, bodies and responses.
	requestBytes = 8 << 10
	// fieldBytes is the memory for a header field beyond its text: entries of two maps,
	// since headers are copied when they are passed on, and strings and slices.
	fieldBytes = 256
	// refusalTimeout bounds the write of a refusal and the time for which the rest of a
	// refused request is read, so that the refusal is not lost in a reset.
	refusalTimeout = 250 * time.Millisecond
	// refusedBytes is the largest part of a refused request that is read.
	refusedBytes = 64 << 10
)

// Config configures a screener.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// OnRefused is called for each refused request.
	OnRefused func(remote, reason string)
	// IgnoreBodies closes connections on which a request has a body, after the response.
	IgnoreBodies bool
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
			c.isServing.Store(true)
			if status, reason := s.admit(c); status != 0 {
				s.cfg.OnRefused(r.RemoteAddr, reason)
				LimitUnreadBody(w, r, 0)
				w.Header().Set("Connection", "close")
				if status == http.StatusServiceUnavailable {
					w.Header().Set("Retry-After", retryAfter)
				}
				w.WriteHeader(status)
				return
			}
		}
		if s.cfg.IgnoreBodies {
			LimitUnreadBody(w, r, 0)
		}
		next.ServeHTTP(w, r)
	})
	server.ReadHeaderTimeout, server.IdleTimeout = headerTimeoutPlaceholder, idleTimeoutPlaceholder
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// retryAfter is the time after which a client may repeat a request for which there was no room.
const retryAfter = "0.5"

// LimitUnreadBody bounds what net/http reads of a body that the handler doesn't read. If the
// body may be larger than maxBytes, the connection ends after the response.
func LimitUnreadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxBytes {
		w.Header().Set("Connection", "close")
	}
	// A connection without deadlines has no client that could stop half-way.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalTimeout))
}

// admit reserves the memory of the request that a handler starts to serve, and checks its header.
func (s *Screener) admit(c *conn) (status int, reason string) {
	h := c.nextHeader()
	if status, reason = s.checkHeader(h); status != 0 {
		return status, reason
	}
	c.held.SetPhase(reserver.Serving)
	if c.held.Reserve(reserver.Request, requestBytes) != nil || !c.reserveHeader(h) {
		return http.StatusServiceUnavailable, "no_room"
	}
	return 0, ""
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
	held, _ := c.(*accepter.Conn)
	return &conn{Conn: c, held: held, screener: l.screener}, nil
}

// conn records the headers of the requests that are read from it, in order.
type conn struct {
	net.Conn
	// held is the connection's part of the budget, nil if there is none.
	held     *accepter.Conn
	screener *Screener
	// isServing is set from the start of a request's handler until its response is flushed.
	isServing atomic.Bool

	mu      sync.Mutex
	scanner scanner
	// headers holds at most the headers that fit into the 4 kB that net/http reads ahead.
	headers []headerInfo
	// headerBytes is what is reserved for headers.
	headerBytes int
	// refusal is the status of the response to a header that is still being read, or 0.
	refusal int
	reason  string
}

// Read implements net.Conn. It refuses a header that is too large before it is read to its end.
func (c *conn) Read(p []byte) (int, error) {
	if c.refuseHeader() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.headers = c.scanner.scan(p[:n], c.headers)
		h := c.scanner.unfinishedHeader()
		isRefused := c.refusal != 0
		c.mu.Unlock()
		if !isRefused && h.size > 0 {
			c.checkUnfinished(h)
		}
	}
	return n, err
}

// checkUnfinished reserves the memory of a header that is being read.
func (c *conn) checkUnfinished(h headerInfo) {
	if limit := c.screener.cfg.Limits().HeaderBytes; limit > 0 && h.size > limit {
		c.setRefusal(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
	} else if !c.reserveHeader(h) {
		c.setRefusal(http.StatusServiceUnavailable, "no_room")
	}
}

func (c *conn) setRefusal(status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal, c.reason = status, reason
}

// reserveHeader reserves the memory of a header beyond what its request covers, and reports whether
// there is room. Room is awaited without the mutex.
func (c *conn) reserveHeader(h headerInfo) bool {
	c.mu.Lock()
	more := h.size + fieldBytes*h.fields - requestBytes - c.headerBytes
	if c.held == nil || more <= 0 {
		c.mu.Unlock()
		return true
	}
	more = max(more, requestBytes)
	c.headerBytes += more
	c.mu.Unlock()
	if c.held.Reserve(reserver.Header, more) == nil {
		return true
	}
	c.mu.Lock()
	c.headerBytes = max(0, c.headerBytes-more)
	c.mu.Unlock()
	return false
}

// refuseHeader sends the refusal of an unfinished header. While a handler serves an earlier
// request, its response comes first.
func (c *conn) refuseHeader() bool {
	c.mu.Lock()
	status, reason := c.refusal, c.reason
	c.mu.Unlock()
	if status == 0 || c.isServing.Load() {
		return false
	}
	c.screener.cfg.OnRefused(c.RemoteAddr().String(), reason)
	deadline := time.Now().Add(refusalTimeout)
	_ = c.SetWriteDeadline(deadline)
	extra := ""
	if status == http.StatusServiceUnavailable {
		extra = "Retry-After: " + retryAfter + "\r\n"
	}
	// The connection ends, whether or not the client reads this.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n", status, http.StatusText(status), extra)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(deadline)
	_, _ = io.CopyN(io.Discard, c.Conn, refusedBytes)
	return true
}

// endRequest gives back what a request took.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.headerBytes = 0
	c.mu.Unlock()
	c.held.EndRequest()
	c.isServing.Store(false)
}

// CloseWrite closes the direction to the client.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Held returns the part of the budget that the connection of a request holds, nil if there is
// none. ctx is the context of the request.
func Held(ctx context.Context) *accepter.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.held
	}
	return nil
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
		// net/http has flushed the response. Before that, the connection isn't idle. A
		// connection that is closed after a response gives back its part by that.
		c.endRequest()
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

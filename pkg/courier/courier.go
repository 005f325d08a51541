// Package courier sends one request to one backend server over HTTP/1.1 and
// reads the answer that belongs to it.
//
// It keeps its own connections, because net/http's transport neither tells
// whether a byte of a failed request was sent, nor skips an answer to an
// earlier request that comes late.
package courier

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"catkindyke/pkg/clock"
)

// Errors that callers test with errors.Is.
var (
	// ErrNotSent says that no byte of the request has left the host.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse says that the request was sent and has no whole answer; it may have run.
	ErrNoResponse = errors.New("no answer")
	// ErrMismatchedResponse says that what came on the connection can't be told from an
	// answer to another request.
	ErrMismatchedResponse = errors.New("answer to another request")
)

const (
	// dialTimeout covers a round trip between regions several times, and no
	// retransmission of the first packet, which takes a second.
	dialTimeout = 350 * time.Millisecond
	// maxResponseHeaderBytes bounds the memory that an answer's header takes.
	maxResponseHeaderBytes = 64 << 10
	// maxBufferedBody is the largest body that is read whole before it is passed on, so
	// that bodies without end from hundreds of servers at once fit into memory.
	maxBufferedBody = 64 << 10
	// maxSkippedResponses is the number of interim answers and late answers to earlier
	// requests that are skipped.
	maxSkippedResponses = 4
	// maxInlineBody is the largest body that is written before the answer is read.
	maxInlineBody = 8 << 10
)

// Config configures a courier.
type Config struct {
	// IDHeader carries the request's ID; servers repeat it in their answers.
	IDHeader string
	// Dial opens a connection; TCP with short time limits when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock measures idle times.
	Clock clock.Clock
}

// Courier sends requests to backend servers.
type Courier struct {
	cfg  Config
	pool *pool
}

// New returns a courier.
func New(cfg Config) *Courier {
	if cfg.Dial == nil {
		cfg.Dial = dial
	}
	return &Courier{cfg: cfg, pool: newPool()}
}

// Target is the server that gets a request.
type Target struct {
	// ID tells one start of a server from another at the same address.
	ID      string
	Address string
}

// Request is what is sent.
type Request struct {
	Method string
	// URI is the request's path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body when Stream is nil.
	Body []byte
	// Stream is the rest of a body that is not held in memory, of Length bytes, or
	// of unknown length when Length is below 0.
	Stream        io.Reader
	ContentLength int64
	// FreshConn asks for a connection that was used a moment ago or is new, because
	// the request cannot be repeated.
	FreshConn bool
}

// Response is a server's answer to the request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body when Stream is nil.
	Body []byte
	// Stream is the body of a large answer; its reader must close it.
	Stream        io.ReadCloser
	ContentLength int64
}

// Send sends a request and waits for its answer until the context ends. An
// error is ErrNotSent or ErrNoAnswer.
func (c *Courier) Send(ctx context.Context, target Target, req *Request) (*Response, error) {
	id := req.Header.Get(c.cfg.IDHeader)
	conn, err := c.connect(ctx, target, req.FreshConn, id != "")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := c.roundTrip(conn, req)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		if conn.bytesWritten == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if resp.Stream != nil {
		resp.Stream = &streamedBody{Reader: resp.Stream, close: func() { stopCancel(); _ = conn.Close() }}
		return resp, nil
	}
	if !stopCancel() || !reusable || id == "" {
		// A second answer to a request without an ID could not be told from others.
		_ = conn.Close()
	} else {
		c.pool.put(target, conn, c.cfg.Clock.Now())
	}
	return resp, nil
}

// connect returns an idle connection if the request may use one, or a new one.
func (c *Courier) connect(ctx context.Context, target Target, fresh, mayReuse bool) (*connection, error) {
	if mayReuse {
		if conn := c.pool.get(target, fresh, c.cfg.Clock.Now()); conn != nil {
			conn.bytesWritten, conn.reused = 0, true
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := c.cfg.Dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: netConn}
	conn.r = bufio.NewReaderSize(conn, 4<<10)
	return conn, nil
}

// roundTrip writes the request and reads its answer. It reports whether the
// connection may carry another request.
func (c *Courier) roundTrip(conn *connection, req *Request) (*Response, bool, error) {
	writeDone := make(chan error, 1)
	if req.Stream == nil && len(req.Body) <= maxInlineBody {
		err := writeRequest(conn, req)
		if err != nil {
			return nil, false, err
		}
		writeDone <- nil
	} else {
		// A server may answer before it has read a long body.
		go func() { writeDone <- writeRequest(conn, req) }()
	}
	resp, reusable, err := c.readResponse(conn, req)
	if err != nil {
		// The write ends with the connection, which the caller closes.
		_ = conn.SetDeadline(time.Unix(1, 0))
		if req.Stream == nil {
			<-writeDone
		}
		return nil, false, err
	}
	select {
	case err := <-writeDone:
		return resp, reusable && err == nil, nil
	default:
		// Part of the body is still to be sent, so that no other request may follow.
		return resp, false, nil
	}
}

// readResponse reads answers until one belongs to the request. On a connection that
// has carried another request only the ID tells whose answer it is.
func (c *Courier) readResponse(conn *connection, req *Request) (*Response, bool, error) {
	id := req.Header.Get(c.cfg.IDHeader)
	httpReq := &http.Request{Method: req.Method}
	for range maxSkippedResponses {
		httpResp, err := readResponseHeader(conn, httpReq)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < 200 {
			continue
		}
		echoedID := httpResp.Header.Get(c.cfg.IDHeader)
		if id == "" || echoedID == id || (echoedID == "" && !conn.reused) {
			return readResponseBody(conn, httpResp)
		}
		if echoedID == "" {
			return nil, false, fmt.Errorf("%w: it names no request", ErrMismatchedResponse)
		}
		if err := discardBody(httpResp); err != nil {
			return nil, false, err
		}
	}
	return nil, false, fmt.Errorf("%w: %d in a row", ErrMismatchedResponse, maxSkippedResponses)
}

// discardBody reads a body of moderate size to its end.
func discardBody(httpResp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		return fmt.Errorf("%w: its body is longer than %d bytes", ErrMismatchedResponse, maxBufferedBody)
	}
	return err
}

func readResponseHeader(conn *connection, httpReq *http.Request) (*http.Response, error) {
	conn.readBudget = maxResponseHeaderBytes
	httpResp, err := http.ReadResponse(conn.r, httpReq)
	conn.readBudget = -1
	return httpResp, err
}

func readResponseBody(conn *connection, httpResp *http.Response) (*Response, bool, error) {
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength}
	if httpResp.ContentLength > maxBufferedBody {
		resp.Stream = httpResp.Body
		return resp, false, nil
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxBufferedBody+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxBufferedBody {
		resp.Stream = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), httpResp.Body))
		resp.ContentLength = -1
		return resp, false, nil
	}
	resp.Body, resp.ContentLength = body, int64(len(body))
	conn.idleTimeout = parseIdleTimeout(httpResp.Header)
	reusable := !httpResp.Close && conn.r.Buffered() == 0 && conn.idleTimeout > 0
	return resp, reusable, nil
}

// parseIdleTimeout is the time for which a connection may stay idle and still be
// used, somewhat shorter than the server says.
func parseIdleTimeout(h http.Header) clock.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(v); err == nil && seconds >= 0 {
				return min(clock.Millis(seconds)*clock.Second*7/10, maxIdleTimeout)
			}
		}
	}
	return defaultIdleTimeout
}

// writeRequest writes the request's head and body.
func writeRequest(conn *connection, req *Request) error {
	w := bufio.NewWriterSize(conn, 4<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	if req.Stream == nil {
		if len(req.Body) > 0 || methodHasBody(req.Method) {
			fmt.Fprintf(w, "Content-Length: %d\r\n", len(req.Body))
		}
		_, _ = w.WriteString("\r\n")
		_, _ = w.Write(req.Body)
		return w.Flush()
	}
	return writeStreamedBody(w, req)
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeStreamedBody(w *bufio.Writer, req *Request) error {
	if req.ContentLength >= 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", req.ContentLength)
		n, err := io.Copy(w, io.LimitReader(req.Stream, req.ContentLength))
		if err != nil {
			return err
		}
		if n != req.ContentLength {
			return io.ErrUnexpectedEOF
		}
		return w.Flush()
	}
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	buf := make([]byte, 16<<10)
	for {
		n, err := req.Stream.Read(buf)
		if n > 0 {
			fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buf[:n])
			_, _ = w.WriteString("\r\n")
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, _ = w.WriteString("0\r\n\r\n")
			return w.Flush()
		}
		if err != nil {
			return err
		}
	}
}

// streamedBody ends its connection when it is closed.
type streamedBody struct {
	io.Reader
	close func()
}

// Close ends the exchange.
func (s *streamedBody) Close() error {
	s.close()
	return nil
}

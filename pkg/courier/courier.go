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
	// maxAnswerHeaderBytes bounds the memory that an answer's header takes.
	maxAnswerHeaderBytes = 64 << 10
	// maxBuffered is the largest body that is read whole before it is passed on, so
	// that bodies without end from hundreds of servers at once fit into memory.
	maxBuffered = 64 << 10
	// maxSkipped is the number of interim answers and late answers to earlier
	// requests that are skipped.
	maxSkipped = 4
	// inlineBody is the largest body that is written before the answer is read.
	inlineBody = 8 << 10
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
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := c.exchange(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()
		if conn.written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if answer.Stream != nil {
		answer.Stream = &streamedBody{Reader: answer.Stream, close: func() { stop(); _ = conn.Close() }}
		return answer, nil
	}
	if !stop() || !reusable || id == "" {
		// A second answer to a request without an ID could not be told from others.
		_ = conn.Close()
	} else {
		c.pool.put(target, conn, c.cfg.Clock.Now())
	}
	return answer, nil
}

// connect returns an idle connection if the request may use one, or a new one.
func (c *Courier) connect(ctx context.Context, target Target, fresh, mayReuse bool) (*connection, error) {
	if mayReuse {
		if conn := c.pool.get(target, fresh, c.cfg.Clock.Now()); conn != nil {
			conn.written, conn.reused = 0, true
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.cfg.Dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: nc}
	conn.r = bufio.NewReaderSize(conn, 4<<10)
	return conn, nil
}

// exchange writes the request and reads its answer. It reports whether the
// connection may carry another request.
func (c *Courier) exchange(conn *connection, req *Request) (*Response, bool, error) {
	written := make(chan error, 1)
	if req.Stream == nil && len(req.Body) <= inlineBody {
		err := writeRequest(conn, req)
		if err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		// A server may answer before it has read a long body.
		go func() { written <- writeRequest(conn, req) }()
	}
	answer, reusable, err := c.readAnswer(conn, req)
	if err != nil {
		// The write ends with the connection, which the caller closes.
		_ = conn.SetDeadline(time.Unix(1, 0))
		if req.Stream == nil {
			<-written
		}
		return nil, false, err
	}
	select {
	case err := <-written:
		return answer, reusable && err == nil, nil
	default:
		// Part of the body is still to be sent, so that no other request may follow.
		return answer, false, nil
	}
}

// readAnswer reads answers until one belongs to the request. On a connection that
// has carried another request only the ID tells whose answer it is.
func (c *Courier) readAnswer(conn *connection, req *Request) (*Response, bool, error) {
	id := req.Header.Get(c.cfg.IDHeader)
	hr := &http.Request{Method: req.Method}
	for range maxSkipped {
		resp, err := readHeader(conn, hr)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		echo := resp.Header.Get(c.cfg.IDHeader)
		if id == "" || echo == id || (echo == "" && !conn.reused) {
			return readBody(conn, resp)
		}
		if echo == "" {
			return nil, false, fmt.Errorf("%w: it names no request", ErrMismatchedResponse)
		}
		if err := skipBody(resp); err != nil {
			return nil, false, err
		}
	}
	return nil, false, fmt.Errorf("%w: %d in a row", ErrMismatchedResponse, maxSkipped)
}

// skipBody reads a body of moderate size to its end.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBuffered+1))
	if err == nil && n > maxBuffered {
		return fmt.Errorf("%w: its body is longer than %d bytes", ErrMismatchedResponse, maxBuffered)
	}
	return err
}

func readHeader(conn *connection, hr *http.Request) (*http.Response, error) {
	conn.budget = maxAnswerHeaderBytes
	resp, err := http.ReadResponse(conn.r, hr)
	conn.budget = -1
	return resp, err
}

func readBody(conn *connection, resp *http.Response) (*Response, bool, error) {
	a := &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}
	if resp.ContentLength > maxBuffered {
		a.Stream = resp.Body
		return a, false, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxBuffered {
		a.Stream = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), resp.Body))
		a.ContentLength = -1
		return a, false, nil
	}
	a.Body, a.ContentLength = body, int64(len(body))
	conn.idleLimit = idleLimit(resp.Header)
	reusable := !resp.Close && conn.r.Buffered() == 0 && conn.idleLimit > 0
	return a, reusable, nil
}

// idleLimit is the time for which a connection may stay idle and still be
// used, somewhat shorter than the server says.
func idleLimit(h http.Header) clock.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return min(clock.Millis(s)*clock.Second*7/10, maxIdle)
			}
		}
	}
	return defaultIdle
}

// writeRequest writes the request's head and body.
func writeRequest(conn *connection, req *Request) error {
	w := bufio.NewWriterSize(conn, 4<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URI, req.Host)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	if req.Stream == nil {
		if len(req.Body) > 0 || bodyExpected(req.Method) {
			fmt.Fprintf(w, "Content-Length: %d\r\n", len(req.Body))
		}
		_, _ = w.WriteString("\r\n")
		_, _ = w.Write(req.Body)
		return w.Flush()
	}
	return writeStream(w, req)
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeStream(w *bufio.Writer, req *Request) error {
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

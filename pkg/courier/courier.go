// Package courier sends a request to a backend server over HTTP/1.1 and reads
// the matching response.
//
// It manages its own connections, because net/http's Transport neither reports
// whether any byte of a failed request was sent, nor skips a late response to an
// earlier request.
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
	// ErrNotSent means that no byte of the request has left the host.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnwanted means that nobody wanted the request any more when it could have been sent.
	ErrUnwanted = errors.New("request is no longer wanted")
	// ErrNoResponse means that the request was sent but got no complete response; it
	// may have run.
	ErrNoResponse = errors.New("no complete response")
	// ErrIncompleteBody means that the request body could not be read to its end, so that the
	// server got at most a part of it.
	ErrIncompleteBody = errors.New("request body is incomplete")
	// ErrCutResponse means that the end of a response can't be told from its being cut off.
	ErrCutResponse = errors.New("response may be cut off")
	// ErrInvalidResponse means that the bytes read are no response to a request.
	ErrInvalidResponse = errors.New("invalid response")
	// ErrMismatchedResponse means that the bytes read may be a response to another request.
	ErrMismatchedResponse = errors.New("response may belong to another request")
)

const (
	// dialTimeout covers several round trips between regions, but no retransmission
	// of the SYN, which takes a second.
	dialTimeout = 350 * time.Millisecond
	// maxResponseHeaderBytes bounds the memory that a response header takes.
	maxResponseHeaderBytes = 64 << 10
	// maxBufferedBody is the largest response body that is read completely before it is
	// passed on. Endless bodies from hundreds of servers at once must fit into memory.
	maxBufferedBody = 64 << 10
	// maxSkippedResponses is the number of interim responses and late responses to
	// earlier requests after which the read fails.
	maxSkippedResponses = 4
	// maxInlineBody is the largest request body that is written before the response is
	// read; larger ones are written concurrently.
	maxInlineBody = 8 << 10
)

// Config configures a courier.
type Config struct {
	// IDHeader is the header with the request's ID, which servers echo in their responses.
	IDHeader string
	// Dial opens a connection. The default is TCP with short timeouts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock measures how long connections are idle.
	Clock clock.Clock
	// MaxIdleConns bounds the idle connections to all servers together; 0 means no bound.
	MaxIdleConns int
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
	return &Courier{cfg: cfg, pool: newPool(cfg.MaxIdleConns)}
}

// Target identifies the server that gets a request.
type Target struct {
	// ID differs for each start of a server at the same address.
	ID      string
	Address string
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body if Stream is nil.
	Body []byte
	// Stream is the body if it is not held in memory. It has ContentLength bytes, or
	// an unknown length if ContentLength is negative.
	Stream        io.Reader
	ContentLength int64
	// FreshConn requires a connection that is new or was used very recently, because
	// the request cannot be retried.
	FreshConn bool
	// IsWanted reports whether the request should still be sent. It is called once a
	// connection is open, which may take time. Nil means that it should.
	IsWanted func() bool
}

// Response is a server's response to a request.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body if Stream is nil.
	Body []byte
	// Stream is the body of a large response; the reader must close it.
	Stream io.ReadCloser
	// ContentLength is negative if the length is unknown.
	ContentLength int64
}

// Send sends a request and waits for its response until ctx is done. Errors wrap
// ErrNotSent or ErrNoResponse.
func (c *Courier) Send(ctx context.Context, target Target, req *Request) (*Response, error) {
	id := req.Header.Get(c.cfg.IDHeader)
	conn, err := c.connect(ctx, target, id, req.FreshConn)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if req.IsWanted != nil && !req.IsWanted() {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrUnwanted)
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, reusable, err := c.roundTrip(conn, req)
	if err != nil {
		stopCancel()
		// The body may still be written concurrently. A write that is counted after the
		// connection was closed fails.
		conn.abort()
		if conn.bytesWritten.Load() == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if resp.Stream != nil {
		resp.Stream = &streamedBody{Reader: resp.Stream, close: func() { stopCancel(); _ = conn.Close() }}
		return resp, nil
	}
	if !stopCancel() || !reusable || id == "" {
		// A duplicate response to a request without an ID could not be recognized.
		_ = conn.Close()
	} else {
		c.pool.put(target, conn, c.cfg.Clock.Now())
	}
	return resp, nil
}

// connect returns an idle connection that may carry the request with the given ID, or a new one.
func (c *Courier) connect(ctx context.Context, target Target, id string, fresh bool) (*connection, error) {
	if id != "" {
		if conn := c.pool.get(target, id, fresh, c.cfg.Clock.Now()); conn != nil {
			conn.reused = true
			conn.startRequest(id)
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
	conn.startRequest(id)
	return conn, nil
}

// roundTrip writes the request and reads its response. It also reports whether
// the connection may carry another request.
func (c *Courier) roundTrip(conn *connection, req *Request) (*Response, bool, error) {
	writeDone := make(chan error, 1)
	if req.Stream == nil && len(req.Body) <= maxInlineBody {
		err := writeRequest(conn, req)
		if err != nil {
			return nil, false, err
		}
		writeDone <- nil
	} else {
		// A server may respond before it has read a long body.
		go func() {
			err := writeRequest(conn, req)
			writeDone <- err
			if errors.Is(err, ErrIncompleteBody) {
				// The server waits for the rest in vain.
				_ = conn.SetDeadline(time.Unix(1, 0))
			}
		}()
	}
	resp, reusable, err := c.readResponse(conn, req)
	if err != nil {
		// The expired deadline ends the write; Send closes the connection.
		_ = conn.SetDeadline(time.Unix(1, 0))
		if req.Stream == nil {
			<-writeDone
			return nil, false, err
		}
		select {
		case writeErr := <-writeDone:
			if errors.Is(writeErr, ErrIncompleteBody) {
				return nil, false, writeErr
			}
		default:
		}
		return nil, false, err
	}
	select {
	case err := <-writeDone:
		return resp, reusable && err == nil, nil
	default:
		// Part of the body is still unsent, so no other request may follow.
		return resp, false, nil
	}
}

// readResponse reads responses until one matches the request. On a reused
// connection, only the echoed ID tells which request a response belongs to.
func (c *Courier) readResponse(conn *connection, req *Request) (*Response, bool, error) {
	id := req.Header.Get(c.cfg.IDHeader)
	httpReq := &http.Request{Method: req.Method}
	for range maxSkippedResponses {
		httpResp, err := readResponseHeader(conn, httpReq)
		if err != nil {
			return nil, false, err
		}
		if err := checkResponse(httpResp); err != nil {
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
			return nil, false, fmt.Errorf("%w: it has no request ID", ErrMismatchedResponse)
		}
		if err := discardBody(httpResp); err != nil {
			return nil, false, err
		}
	}
	return nil, false, fmt.Errorf("%w: none of %d responses matches", ErrMismatchedResponse, maxSkippedResponses)
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(httpResp *http.Response) bool {
	return httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 && httpResp.Body != http.NoBody
}

// bodyUntilEnd is a body that ends with the connection. It is complete only if the connection
// has ended in order.
type bodyUntilEnd struct {
	io.Reader
	conn *connection
}

// Read implements io.Reader.
func (b bodyUntilEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.hasEndedInOrder() {
		err = fmt.Errorf("%w: the connection did not end in order", ErrCutResponse)
	}
	return n, err
}

// discardBody reads a body to its end and fails if it exceeds maxBufferedBody.
func discardBody(httpResp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxBufferedBody+1))
	if err == nil && n > maxBufferedBody {
		return fmt.Errorf("%w: body to discard exceeds %d bytes", ErrMismatchedResponse, maxBufferedBody)
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
	source := io.Reader(httpResp.Body)
	if endsWithConnection(httpResp) {
		source = bodyUntilEnd{source, conn}
	}
	body, err := io.ReadAll(io.LimitReader(source, maxBufferedBody+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxBufferedBody {
		resp.Stream = io.NopCloser(io.MultiReader(strings.NewReader(string(body)), source))
		resp.ContentLength = -1
		return resp, false, nil
	}
	resp.Body, resp.ContentLength = body, int64(len(body))
	conn.idleTimeout = parseIdleTimeout(httpResp.Header)
	reusable := !httpResp.Close && conn.r.Buffered() == 0 && conn.idleTimeout > 0
	return resp, reusable, nil
}

// parseIdleTimeout returns how long a connection may stay idle and still be
// reused: somewhat shorter than the server's Keep-Alive header says.
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

// writeRequest writes the request line, the header and the body.
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
		conn.expectBytes(int64(w.Buffered() + len(req.Body)))
		_, _ = w.Write(req.Body)
		return w.Flush()
	}
	return writeStreamedBody(conn, w, req)
}

// methodHasBody reports whether a request of this method states the length of its
// body even if it is empty.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// sourceReader marks the errors of a body, which is read and written in one go, as those of
// its source.
type sourceReader struct{ io.Reader }

func (s sourceReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", ErrIncompleteBody, err)
	}
	return n, err
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

func writeStreamedBody(conn *connection, w *bufio.Writer, req *Request) error {
	stream := sourceReader{req.Stream}
	if req.ContentLength >= 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", req.ContentLength)
		conn.expectBytes(int64(w.Buffered()) + req.ContentLength)
		n, err := io.Copy(w, io.LimitReader(stream, req.ContentLength))
		if err != nil {
			return err
		}
		if n != req.ContentLength {
			return fmt.Errorf("%w: %w", ErrIncompleteBody, io.ErrUnexpectedEOF)
		}
		return w.Flush()
	}
	_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	buf := make([]byte, 16<<10)
	for {
		n, err := stream.Read(buf)
		if n > 0 {
			fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buf[:n])
			_, _ = w.WriteString("\r\n")
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			// Without a chunk before it, the header is still buffered.
			conn.expectBytes(int64(w.Buffered() + len(lastChunk)))
			_, _ = w.WriteString(lastChunk)
			return w.Flush()
		}
		if err != nil {
			return err
		}
	}
}

// streamedBody is a response body that closes its connection when it is closed.
type streamedBody struct {
	io.Reader
	close func()
}

// Close closes the connection.
func (s *streamedBody) Close() error {
	s.close()
	return nil
}

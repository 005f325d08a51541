package courier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/sys/unix"

	"catkindyke/pkg/clock"
)

// handler responds to a request on connection c; n is the number of requests that
// the server has read on all connections.
type handler func(c net.Conn, r *http.Request, n int)

// withServer runs a test against a backend server whose requests go to handle.
func withServer(t *testing.T, handle handler, test func(c *Courier, target Target, requests *atomic.Int32)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var requests atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, handle, &requests)
		}
	}()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	test(c, Target{ID: "s1", Address: l.Addr().String()}, &requests)
}

func serve(conn net.Conn, handle handler, requests *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		handle(conn, req, int(requests.Add(1)))
	}
}

func rawResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x", Host: "a.example", Header: http.Header{"Request-Id": {id}}}
}

func send(t *testing.T, c *Courier, target Target, req *Request) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Send(ctx, target, req)
}

func assertBody(t *testing.T, step string, resp *Response, err error, want string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
	if string(resp.Body) != want {
		t.Errorf("%s: body %q, want %q", step, resp.Body, want)
	}
}

// A duplicate response to an earlier request must not be taken for the response
// to the next one, whether it arrives at once or late.
func TestDuplicateResponse(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, r *http.Request, _ int) {
				id := r.Header.Get("Request-Id")
				switch {
				case id == "1" && !late:
					_, _ = io.WriteString(c, rawResponse("1", "one")+rawResponse("1", "again"))
				case id == "2" && late:
					_, _ = io.WriteString(c, rawResponse("1", "again")+rawResponse("2", "two"))
				default:
					_, _ = io.WriteString(c, rawResponse(id, map[string]string{"1": "one", "2": "two"}[id]))
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				resp, err := send(t, c, target, newRequest("1"))
				assertBody(t, "first request", resp, err, "one")
				resp, err = send(t, c, target, newRequest("2"))
				assertBody(t, "second request", resp, err, "two")
			})
		})
	}
}

// TestRepeatedRefusal guards against an earlier refusal that a server writes once more on a kept
// connection, and that is taken for the response to a request that the server runs.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(id string) string {
		if id != "" {
			id = "Request-Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 Full\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		second, repeated string
		wantErr          error
	}{
		"of another request":            {"2", refusal("1"), nil},
		"without an ID":                 {"2", refusal(""), ErrMismatchedResponse},
		"of a request with the same ID": {"1", refusal("1"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(conn net.Conn, r *http.Request, n int) {
				if n == 1 {
					_, _ = io.WriteString(conn, refusal(r.Header.Get("Request-Id")))
					time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(conn, c.repeated) })
					return
				}
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(conn, rawResponse(r.Header.Get("Request-Id"), "done"))
			}, func(courier *Courier, target Target, _ *atomic.Int32) {
				if resp, err := send(t, courier, target, newRequest("1")); err != nil || resp.Status != http.StatusServiceUnavailable {
					t.Fatalf("first request: response %v, error %v, want status 503", resp, err)
				}
				resp, err := send(t, courier, target, newRequest(c.second))
				if c.wantErr != nil {
					if !errors.Is(err, c.wantErr) || !errors.Is(err, ErrNoResponse) {
						t.Errorf("error %v, want %v", err, c.wantErr)
					}
					return
				}
				assertBody(t, "second request", resp, err, "done")
			})
		})
	}
}

// TestCutHeader guards against responses whose header ends early and that look complete.
func TestCutHeader(t *testing.T) {
	for name, raw := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
		"no body":  "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nKeep-Alive: timeout=5\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
		"two":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(raw) + 1 {
				withServer(t, func(conn net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(conn, raw[:length])
					_ = conn.Close()
				}, func(c *Courier, target Target, _ *atomic.Int32) {
					resp, err := send(t, c, target, newRequest("1"))
					if complete := length == len(raw); complete != (err == nil) {
						t.Errorf("%d of %d bytes, ending in %q: response %v, error %v", length, len(raw), raw[max(0, length-12):length], resp, err)
					}
				})
			}
		})
	}
}

// Guards against passing stray responses to the next caller on the connection, as
// happened with responses without an ID and with long late responses.
func TestUnmatchedResponse(t *testing.T) {
	const withoutID = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	long := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 64<<10) +
		strings.Repeat("x", 1<<20-64<<10) + withoutID
	for name, stray := range map[string]string{"without an ID": withoutID, "with a long body": long} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, r *http.Request, _ int) {
				if id := r.Header.Get("Request-Id"); id == "1" {
					_, _ = io.WriteString(c, rawResponse("1", "one"))
				} else {
					_, _ = io.WriteString(c, stray+rawResponse(id, "two"))
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				resp, err := send(t, c, target, newRequest("1"))
				assertBody(t, "first request", resp, err, "one")
				if resp, err = send(t, c, target, newRequest("2")); !errors.Is(err, ErrNoResponse) {
					t.Errorf("second request: response %v, error %v, want ErrNoResponse", resp, err)
				}
			})
		})
	}
}

// Guards against sending a request without an ID, such as a health check, over a
// pooled connection: it took a duplicate response to an earlier request for its own,
// and its own response then reached the next caller.
func TestNoReuseWithoutRequestID(t *testing.T) {
	withServer(t, func(c net.Conn, r *http.Request, _ int) {
		switch id := r.Header.Get("Request-Id"); id {
		case "1":
			_, _ = io.WriteString(c, rawResponse("1", "one"))
		case "":
			_, _ = io.WriteString(c, rawResponse("1", "again"))
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nhealthy"+rawResponse(id, "two"))
		}
	}, func(c *Courier, target Target, _ *atomic.Int32) {
		resp, err := send(t, c, target, newRequest("1"))
		assertBody(t, "first request", resp, err, "one")
		check := newRequest("")
		check.Header = http.Header{}
		if _, err := send(t, c, target, check); err != nil {
			t.Fatal(err)
		}
		if resp, err = send(t, c, target, newRequest("2")); err == nil && string(resp.Body) != "two" {
			t.Errorf("second request: body %q, want \"two\" or an error", resp.Body)
		}
	})
}

// endlessResponses are the ways in which a faulty server sends bytes until the
// connection is closed.
var endlessResponses = map[string]struct{ begin, more string }{
	"status line":     {"HTTP/1.1 200 ", "x"},
	"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"headers":         {"HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
	"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"late answers":    {"", rawResponse("0", "late")},
	"late body":       {"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n", "x"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"empty chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"},
	"trailers":        {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n"},
}

// Endless input that never becomes a response must neither block a request nor
// fill memory.
func TestEndlessResponse(t *testing.T) {
	for name, stream := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, err := io.WriteString(c, stream.begin)
				for block := strings.Repeat(stream.more, 1+4096/len(stream.more)); err == nil; {
					_, err = io.WriteString(c, block)
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				if resp, err := send(t, c, target, newRequest("1")); !errors.Is(err, ErrNoResponse) {
					t.Errorf("response %v, error %v, want ErrNoResponse", resp, err)
				}
				if n := len(idleConns(c, target)); n != 0 {
					t.Errorf("%d idle connections, want none", n)
				}
			})
		})
	}
}

// Endless responses from 200 servers at once must fit into 32 MB, an eighth of the
// 256 MB of a small host.
func TestEndlessBodyMemory(t *testing.T) {
	const servers, limit = 200, 32 << 20
	for name, header := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n",
		"with a length":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1048576\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			block := strings.Repeat("x", 4096)
			if name == "in chunks" {
				block = "1000\r\n" + block + "\r\n"
			}
			c := New(Config{IDHeader: "Request-Id", Clock: clock.New(), Dial: func(context.Context, string) (net.Conn, error) {
				clientConn, serverConn := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(serverConn))
					_, err := io.WriteString(serverConn, header)
					for err == nil {
						_, err = io.WriteString(serverConn, block)
					}
				}()
				return clientConn, nil
			}})
			heapBefore := heapInUse()
			var responses []*Response
			for range servers {
				resp, err := send(t, c, Target{ID: "s1", Address: "x"}, newRequest("1"))
				if err != nil {
					t.Fatal(err)
				}
				if resp.Stream == nil {
					t.Fatalf("the response is buffered with %d bytes, want a stream", len(resp.Body))
				}
				responses = append(responses, resp)
			}
			if growth := heapInUse() - heapBefore; growth > limit {
				t.Errorf("%d answers take %d KiB, want at most %d", servers, growth>>10, limit>>10)
			}
			for _, resp := range responses {
				_ = resp.Stream.Close()
			}
		})
	}
}

// heapInUse returns the size of live heap objects after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A truncated response must not look complete.
func TestTruncatedResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"in the body":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"in the header": "HTTP/1.1 200 OK\r\nRequest-",
		"in a chunk":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"not HTTP":      "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(c, raw)
				_ = c.Close()
			}, func(c *Courier, target Target, requests *atomic.Int32) {
				_, err := send(t, c, target, newRequest("1"))
				if !errors.Is(err, ErrNoResponse) {
					t.Errorf("error %v, want ErrNoResponse", err)
				}
				if n := requests.Load(); n != 1 {
					t.Errorf("the server read %d requests, want 1", n)
				}
			})
		})
	}
}

// A response without a length is complete if the connection is closed, but not if
// it is reset.
func TestResponseWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				resp, err := send(t, c, target, newRequest("1"))
				if reset {
					// The reset may overtake the bytes; either way there is no response.
					if err == nil {
						t.Errorf("got body %q from a connection that was reset", resp.Body)
					}
					return
				}
				assertBody(t, "response", resp, err, "whole")
			})
		})
	}
}

// A server may respond before it has read a long body. The connection must not be
// reused, because the server would read the next request as the rest of that body.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn
		}
	}()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	target := Target{ID: "s1", Address: l.Addr().String()}
	req := newRequest("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 8<<20)
	done := make(chan error, 1)
	go func() {
		resp, err := c.Send(context.Background(), target, req)
		if err == nil && resp.Status != http.StatusServiceUnavailable {
			err = errors.New("the status is not 503")
		}
		done <- err
	}()
	conn := <-conns
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if pooled := c.pool.get(target, "2", false, c.cfg.Clock.Now()); pooled != nil {
		t.Error("the connection is pooled although the request body was not sent completely")
	}
}

// TestBodyEndsEarly guards against servers that wait for the rest of a body whose caller has
// disconnected, and hold a slot meanwhile.
func TestBodyEndsEarly(t *testing.T) {
	for name, c := range map[string]struct {
		length int64
		source error
	}{
		"length, caller left": {1 << 20, io.ErrUnexpectedEOF}, "length, shorter body": {1 << 20, io.EOF}, "chunks, caller left": {-1, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(net.Conn, *http.Request, int) {
				t.Error("the server read a complete request")
			}, func(courier *Courier, target Target, _ *atomic.Int32) {
				req := newRequest("1")
				req.Method, req.ContentLength = http.MethodPost, c.length
				req.Stream = io.MultiReader(strings.NewReader("part"), iotest.ErrReader(c.source))
				start := time.Now()
				if _, err := send(t, courier, target, req); !errors.Is(err, ErrIncompleteBody) {
					t.Errorf("error %v, want that the body is incomplete", err)
				}
				if took := time.Since(start); took > 500*time.Millisecond {
					t.Errorf("the connection was closed after %v, want at most 0.5 s", took)
				}
			})
		})
	}
}

// A connection that the server closed while it was idle must not carry a request:
// the request would be lost, and it may not be retryable.
func TestClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{})
	withServer(t, func(c net.Conn, r *http.Request, n int) {
		_, _ = io.WriteString(c, rawResponse(r.Header.Get("Request-Id"), "ok"))
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
	}, func(c *Courier, target Target, requests *atomic.Int32) {
		resp, err := send(t, c, target, newRequest("1"))
		assertBody(t, "first request", resp, err, "ok")
		<-closed
		// The read returns once the FIN of the server has arrived.
		for conn := range idleConns(c, target) {
			_, _ = conn.r.Peek(1)
		}
		resp, err = send(t, c, target, newRequest("2"))
		assertBody(t, "second request", resp, err, "ok")
		if n := requests.Load(); n != 2 {
			t.Errorf("the server read %d requests, want 2", n)
		}
	})
}

func idleConns(c *Courier, target Target) map[*connection]bool {
	out := make(map[*connection]bool)
	for _, conn := range c.pool.idle[target] {
		out[conn] = true
	}
	return out
}

// A request to a server that is not listening fails with ErrNotSent, since it
// cannot have run.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	if _, err := send(t, c, Target{ID: "s1", Address: address}, newRequest("1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// A server that does not respond must not block a request after its context is done.
func TestSilentServer(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	withServer(t, func(net.Conn, *http.Request, int) { <-block }, func(c *Courier, target Target, _ *atomic.Int32) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := c.Send(ctx, target, newRequest("1")); err == nil {
			t.Error("got a response from a silent server")
		}
	})
}

// The idle timeout follows the Keep-Alive header of the server.
func TestParseIdleTimeout(t *testing.T) {
	for value, want := range map[string]clock.Millis{
		"": defaultIdleTimeout, "timeout=10": 7000, "max=5, timeout=2": 1400, "timeout=x": defaultIdleTimeout, "timeout=0": 0, "timeout=9999": maxIdleTimeout,
	} {
		h := http.Header{}
		if value != "" {
			h.Set("Keep-Alive", value)
		}
		if got := parseIdleTimeout(h); got != want {
			t.Errorf("Keep-Alive %q: %d ms, want %d", value, got, want)
		}
	}
}

// Any input from a server leads to a response or an error, in bounded memory.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(rawResponse("1", "ok")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + rawResponse("1", "ok")))
	f.Add([]byte(rawResponse("9", "late") + rawResponse("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		clientConn, serverConn := net.Pipe()
		go func() {
			_, _ = serverConn.Write(raw)
			_ = serverConn.Close()
		}()
		defer clientConn.Close()
		c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
		conn := &connection{Conn: clientConn, readBudget: -1}
		conn.r = bufio.NewReader(conn)
		resp, _, err := c.readResponse(conn, newRequest("1"))
		if err == nil && resp.Header.Get("Request-Id") != "" && resp.Header.Get("Request-Id") != "1" {
			t.Errorf("got the response to request %q, want 1", resp.Header.Get("Request-Id"))
		}
	})
}

// TestGivenUpRequestArrivesLate guards against requests whose bytes are held up on the way, and
// that a server gets and runs after their callers were told of a failure.
func TestGivenUpRequestArrivesLate(t *testing.T) {
	// Accepted connections inherit the small buffer, which holds only a part of the request.
	smallBuffer := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	l, err := smallBuffer.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	req := newRequest("r1")
	req.Method, req.Body = http.MethodPost, []byte(strings.Repeat("x", 48<<10))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.Send(ctx, Target{ID: "s1", Address: l.Addr().String()}, req); !errors.Is(err, ErrNoResponse) {
		t.Fatalf("error %v, want %v", err, ErrNoResponse)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if n, err := io.Copy(io.Discard, got.Body); err == nil {
		t.Errorf("the server got the whole request, with a body of %d bytes, after it was given up", n)
	}
}

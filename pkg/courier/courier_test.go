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
	"testing"
	"time"

	"catkindyke/pkg/clock"
)

// script answers the requests of one connection; n counts the requests that
// the server has read over all connections.
type script func(c net.Conn, r *http.Request, n int)

// withServer runs a backend server that follows a script.
func withServer(t *testing.T, s script, test func(c *Courier, target Target, requests *atomic.Int32)) {
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
			go serve(conn, s, &requests)
		}
	}()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	test(c, Target{ID: "s1", Address: l.Addr().String()}, &requests)
}

func serve(conn net.Conn, s script, requests *atomic.Int32) {
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
		s(conn, req, int(requests.Add(1)))
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x", Host: "a.example", Header: http.Header{"Request-Id": {id}}}
}

func send(t *testing.T, c *Courier, target Target, req *Request) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Send(ctx, target, req)
}

func assertBody(t *testing.T, step string, a *Response, err error, want string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
	if string(a.Body) != want {
		t.Errorf("%s: body %q, want %q", step, a.Body, want)
	}
}

// A second answer to an earlier request must not be taken for the answer to
// the next one, whether it comes at once or late.
func TestSecondAnswer(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, r *http.Request, _ int) {
				id := r.Header.Get("Request-Id")
				switch {
				case id == "1" && !late:
					_, _ = io.WriteString(c, answer("1", "one")+answer("1", "again"))
				case id == "2" && late:
					_, _ = io.WriteString(c, answer("1", "again")+answer("2", "two"))
				default:
					_, _ = io.WriteString(c, answer(id, map[string]string{"1": "one", "2": "two"}[id]))
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				a, err := send(t, c, target, request("1"))
				assertBody(t, "first request", a, err, "one")
				a, err = send(t, c, target, request("2"))
				assertBody(t, "second request", a, err, "two")
			})
		})
	}
}

// Answers without an ID and longer late answers came to the next caller of the connection.
func TestUnidentifiedAnswer(t *testing.T) {
	const unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	long := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 64<<10) +
		strings.Repeat("x", 1<<20-64<<10) + unnamed
	for name, late := range map[string]string{"without an ID": unnamed, "with a long body": long} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, r *http.Request, _ int) {
				if id := r.Header.Get("Request-Id"); id == "1" {
					_, _ = io.WriteString(c, answer("1", "one"))
				} else {
					_, _ = io.WriteString(c, late+answer(id, "two"))
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				a, err := send(t, c, target, request("1"))
				assertBody(t, "first request", a, err, "one")
				if a, err = send(t, c, target, request("2")); !errors.Is(err, ErrNoResponse) {
					t.Errorf("second request: answer %v and error %v, want ErrNoAnswer", a, err)
				}
			})
		})
	}
}

// A second answer to a request was taken for that to a health check, which names
// no request, and the answer to the check came to the next caller of the connection.
func TestHealthCheckKeepsNoConnection(t *testing.T) {
	withServer(t, func(c net.Conn, r *http.Request, _ int) {
		switch id := r.Header.Get("Request-Id"); id {
		case "1":
			_, _ = io.WriteString(c, answer("1", "one"))
		case "":
			_, _ = io.WriteString(c, answer("1", "again"))
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nhealthy"+answer(id, "two"))
		}
	}, func(c *Courier, target Target, _ *atomic.Int32) {
		a, err := send(t, c, target, request("1"))
		assertBody(t, "first request", a, err, "one")
		check := request("")
		check.Header = http.Header{}
		if _, err := send(t, c, target, check); err != nil {
			t.Fatal(err)
		}
		if a, err = send(t, c, target, request("2")); err == nil && string(a.Body) != "two" {
			t.Errorf("second request: body %q, want \"two\" or no answer", a.Body)
		}
	})
}

// endless are the ways in which a server in trouble sends bytes until the caller closes.
var endless = map[string]struct{ begin, more string }{
	"status line":     {"HTTP/1.1 200 ", "x"},
	"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"headers":         {"HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
	"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"late answers":    {"", answer("0", "late")},
	"late body":       {"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n\r\n", "x"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"empty chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"},
	"trailers":        {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n"},
}

// Bytes without end that are no answer must neither hold a request nor fill memory.
func TestEndlessHead(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, err := io.WriteString(c, e.begin)
				for block := strings.Repeat(e.more, 1+4096/len(e.more)); err == nil; {
					_, err = io.WriteString(c, block)
				}
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				if a, err := send(t, c, target, request("1")); !errors.Is(err, ErrNoResponse) {
					t.Errorf("answer %v and error %v, want ErrNoAnswer", a, err)
				}
				if n := len(idleConns(c, target)); n != 0 {
					t.Errorf("%d idle connections, want none", n)
				}
			})
		})
	}
}

// Answers without end from 200 servers at once must fit into the memory of a small
// host beside all else: 32 MB, an eighth of 256 MB.
func TestEndlessBodies(t *testing.T) {
	const servers, limit = 200, 32 << 20
	for name, head := range map[string]string{
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
				near, far := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(far))
					_, err := io.WriteString(far, head)
					for err == nil {
						_, err = io.WriteString(far, block)
					}
				}()
				return near, nil
			}})
			before := liveBytes()
			var answers []*Response
			for range servers {
				a, err := send(t, c, Target{ID: "s1", Address: "x"}, request("1"))
				if err != nil {
					t.Fatal(err)
				}
				if a.Stream == nil {
					t.Fatalf("a whole answer of %d bytes", len(a.Body))
				}
				answers = append(answers, a)
			}
			if used := liveBytes() - before; used > limit {
				t.Errorf("%d answers take %d kB, want at most %d", servers, used>>10, limit>>10)
			}
			for _, a := range answers {
				_ = a.Stream.Close()
			}
		})
	}
}

// liveBytes is the memory in use after a collection.
func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// An answer that breaks off must not look complete.
func TestTruncatedAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"in the body":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"in the header": "HTTP/1.1 200 OK\r\nRequest-",
		"in a chunk":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"no HTTP":       "garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			}, func(c *Courier, target Target, requests *atomic.Int32) {
				_, err := send(t, c, target, request("1"))
				if !errors.Is(err, ErrNoResponse) {
					t.Errorf("error %v, want ErrNoAnswer", err)
				}
				if n := requests.Load(); n != 1 {
					t.Errorf("the server read %d requests, want 1", n)
				}
			})
		})
	}
}

// An answer without a length is complete when the connection ends, and not
// when it is reset.
func TestAnswerWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			withServer(t, func(c net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}, func(c *Courier, target Target, _ *atomic.Int32) {
				a, err := send(t, c, target, request("1"))
				if reset {
					// The reset may overtake the bytes; in no case is there an answer.
					if err == nil {
						t.Errorf("body %q of a connection that was reset", a.Body)
					}
					return
				}
				assertBody(t, "answer", a, err, "whole")
			})
		})
	}
}

// A server may answer before it has read a long body. What follows on the
// connection would be read as the rest of that body.
func TestEarlyAnswer(t *testing.T) {
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
	req := request("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 8<<20)
	done := make(chan error, 1)
	go func() {
		a, err := c.Send(context.Background(), target, req)
		if err == nil && a.Status != http.StatusServiceUnavailable {
			err = errors.New("wrong status")
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
	if kept := c.pool.get(target, false, c.cfg.Clock.Now()); kept != nil {
		t.Error("the connection is kept although its body was not sent")
	}
}

// A connection that the server has closed while it was idle must not carry a
// request: the request would be lost, and may not be repeatable.
func TestClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{})
	withServer(t, func(c net.Conn, r *http.Request, n int) {
		_, _ = io.WriteString(c, answer(r.Header.Get("Request-Id"), "ok"))
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
	}, func(c *Courier, target Target, requests *atomic.Int32) {
		a, err := send(t, c, target, request("1"))
		assertBody(t, "first request", a, err, "ok")
		<-closed
		// The end of the connection has arrived once a read of it returns.
		for conn := range idleConns(c, target) {
			_, _ = conn.r.Peek(1)
		}
		a, err = send(t, c, target, request("2"))
		assertBody(t, "second request", a, err, "ok")
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

// A server that does not exist has not run anything.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	if _, err := send(t, c, Target{ID: "s1", Address: address}, request("1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// A silent server must not hold a request beyond its time.
func TestSilentServer(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	withServer(t, func(net.Conn, *http.Request, int) { <-block }, func(c *Courier, target Target, _ *atomic.Int32) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := c.Send(ctx, target, request("1")); err == nil {
			t.Error("an answer of a silent server")
		}
	})
}

// Idle times follow what servers announce.
func TestIdleLimit(t *testing.T) {
	for value, want := range map[string]clock.Millis{
		"": defaultIdle, "timeout=10": 7000, "max=5, timeout=2": 1400, "timeout=x": defaultIdle, "timeout=0": 0, "timeout=9999": maxIdle,
	} {
		h := http.Header{}
		if value != "" {
			h.Set("Keep-Alive", value)
		}
		if got := idleLimit(h); got != want {
			t.Errorf("Keep-Alive %q: %d ms, want %d", value, got, want)
		}
	}
}

// Any bytes of a server lead to an answer or an error, in bounded memory.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "ok")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "ok")))
	f.Add([]byte(answer("9", "late") + answer("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort"))
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(text)
			_ = far.Close()
		}()
		defer near.Close()
		c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
		conn := &connection{Conn: near, budget: -1}
		conn.r = bufio.NewReader(conn)
		a, _, err := c.readAnswer(conn, request("1"))
		if err == nil && a.Header.Get("Request-Id") != "" && a.Header.Get("Request-Id") != "1" {
			t.Errorf("answer to request %q", a.Header.Get("Request-Id"))
		}
	})
}

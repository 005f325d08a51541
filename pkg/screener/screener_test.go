package screener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/reserver"
)

// startServer starts a screened server that responds with the path and the body that it read.
func startServer(t *testing.T, limits func() Limits) (address string, refused *atomic.Int64) {
	t.Helper()
	refused = new(atomic.Int64)
	s := New(Config{Limits: limits, OnRefused: func(string, string) { refused.Add(1) }})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A body that can't be read is missing from the response.
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})}
	s.Install(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(s.WrapListener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), refused
}

// send writes requests in pieces of pieceSize bytes and returns the status and
// body of each response until the connection ends.
func send(t *testing.T, address, requests string, pieceSize int) []string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		for len(requests) > 0 {
			n := min(pieceSize, len(requests))
			if _, err := io.WriteString(c, requests[:n]); err != nil {
				return
			}
			requests = requests[n:]
		}
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	r := bufio.NewReader(c)
	var out []string
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", string(body))))
	}
}

func assertResponses(t *testing.T, got []string, want ...string) {
	t.Helper()
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		t.Errorf("server answers %q, want %q", got, want)
	}
}

const (
	plainRequest     = "GET /plain HTTP/1.1\r\nHost: a\r\n\r\n"
	lengthRequest    = "POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n\r\n \r\n"
	chunkedRequest   = "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n\r\n \r\n\r\n0\r\nA: b\r\n c\r\n\r\n"
	ambiguousRequest = "POST /both HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	foldedRequest    = "GET /folded HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"
)

// A request that can be read in two ways must not let the server read a second
// request from the bytes after it.
func TestAmbiguousRequests(t *testing.T) {
	address, refused := startServer(t, func() Limits { return Limits{} })
	for _, pieceSize := range []int{1, 7, 1 << 16} {
		t.Run(fmt.Sprint("pieces of ", pieceSize), func(t *testing.T) {
			assertResponses(t, send(t, address, ambiguousRequest+plainRequest, pieceSize), "400")
			assertResponses(t, send(t, address, foldedRequest+plainRequest, pieceSize), "400")
			assertResponses(t, send(t, address, plainRequest+foldedRequest+plainRequest, pieceSize), "200 /plain", "400")
			assertResponses(t, send(t, address, lengthRequest+chunkedRequest+ambiguousRequest+plainRequest, pieceSize), "200 /length", "200 /chunked", "400")
		})
	}
	if refused.Load() == 0 {
		t.Error("no refusal was reported")
	}
}

// Valid requests are not refused, even if their bodies look like headers.
func TestOrdinaryRequests(t *testing.T) {
	address, refused := startServer(t, func() Limits { return Limits{HeaderBytes: 200} })
	large := "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("\r\n x\r\n", 15000)
	got := send(t, address, plainRequest+lengthRequest+chunkedRequest+plainRequest+large+chunkedRequest+plainRequest, 1000)
	if len(got) != 7 || refused.Load() != 0 {
		t.Errorf("server answers %d requests and refuses %d, want 7 and 0: %.200q", len(got), refused.Load(), got)
	}
}

// The limits of a new configuration apply to connections that are already open.
func TestHeaderLimitChange(t *testing.T) {
	var limit atomic.Int64
	address, _ := startServer(t, func() Limits { return Limits{HeaderBytes: int(limit.Load())} })
	long := "GET /long HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 500) + "\r\n\r\n"
	assertResponses(t, send(t, address, long+plainRequest, 100), "200 /long", "200 /plain")
	limit.Store(500)
	assertResponses(t, send(t, address, plainRequest+long+plainRequest, 100), "200 /plain", "431")
}

func TestTimeouts(t *testing.T) {
	for name, c := range map[string]struct {
		limits     Limits
		request    string
		wantClosed bool
	}{
		"incomplete header":                 {Limits{HeaderTimeout: 100}, "GET / HTTP/1.1\r\n", true},
		"idle connection":                   {Limits{IdleTimeout: 100}, plainRequest, true},
		"idle connection within the limits": {Limits{HeaderTimeout: 100, IdleTimeout: 60 * clock.Second}, plainRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, func() Limits { return c.limits })
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.request); err != nil {
				t.Fatal(err)
			}
			wait := 10 * time.Second
			if !c.wantClosed {
				wait = 500 * time.Millisecond
			}
			_ = conn.SetReadDeadline(time.Now().Add(wait))
			_, err = io.ReadAll(conn)
			if closed := err == nil; closed != c.wantClosed {
				t.Errorf("connection closed: %v, want %v (error %v)", closed, c.wantClosed, err)
			}
		})
	}
}

// The scanner finds the same headers however the bytes are split into reads.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{plainRequest + lengthRequest, chunkedRequest + plainRequest, ambiguousRequest + plainRequest, foldedRequest, "5\r\n\r\n\r\n\r\n", strings.Replace(chunkedRequest, "5;", "-5;", 1)} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, pieceSize int) {
		var whole, pieces scanner
		want := whole.scan(stream, nil)
		var got []headerInfo
		for rest := stream; len(rest) > 0; {
			n := min(max(pieceSize, 1), len(rest))
			got = pieces.scan(rest[:n], got)
			rest = rest[n:]
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("headers %v in pieces, %v as a whole", got, want)
		}
	})
}

// startBudgeted starts a server whose connections hold a part of a budget of n bytes. The
// handler calls serve before it responds.
func startBudgeted(t *testing.T, n int64, limits Limits, serve func()) (address string, budget *reserver.Budget) {
	t.Helper()
	budget = reserver.New(reserver.Config{Bytes: n, Conns: 10, Descriptors: 10, ConnBytes: 1})
	s := New(Config{Limits: func() Limits { return limits }, OnRefused: func(string, string) {}})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serve()
		fmt.Fprint(w, "served")
	})}
	s.Install(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := accepter.Config{Budget: budget, Clock: (&clock.Manual{}).Clock(), OnCut: func(string, string) {}}
	go func() { _ = server.Serve(s.WrapListener(accepter.Wrap(l, cfg))) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), budget
}

// Guards against headers of many short fields, which take far more memory than their bytes, and
// against headers that are refused only once they have been read to their end.
func TestUnfinishedHeaders(t *testing.T) {
	fields := strings.Repeat("f: 1\r\n", 1000)
	unfinished := "GET /a HTTP/1.1\r\nHost: a\r\n" + fields
	address, _ := startBudgeted(t, 1<<20, Limits{HeaderBytes: 5000}, func() {})
	assertResponses(t, send(t, address, unfinished, 1000), "431")
	assertResponses(t, send(t, address, plainRequest+unfinished, 7000), "200 served", "431")
	address, budget := startBudgeted(t, 100<<10, Limits{}, func() {})
	assertResponses(t, send(t, address, unfinished, 1000), "503")
	assertResponses(t, send(t, address, plainRequest, 1000), "200 served")
	for _, n := range budget.Usage().Bytes {
		if n > 2 {
			t.Errorf("%d bytes are still reserved", n)
		}
	}
	address, _ = startBudgeted(t, 1<<20, Limits{HeaderBytes: 10_000}, func() {})
	assertResponses(t, send(t, address, unfinished+"\r\n", 1000), "200 served")
}

// Guards against requests that are served without room for them, and against a refusal that
// overtakes the response to an earlier request.
func TestRequestWithoutRoom(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	address, _ := startBudgeted(t, requestBytes+1000, Limits{}, func() {
		close(started)
		<-release
	})
	first := make(chan []string)
	go func() {
		first <- send(t, address, plainRequest+"GET /a HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("f: 1\r\n", 1000), 7000)
	}()
	<-started
	assertResponses(t, send(t, address, plainRequest, 100), "503")
	close(release)
	assertResponses(t, <-first, "200 served", "503")
}

// Guards against headers that aren't counted because they end within one read.
func TestHeaderInOneRead(t *testing.T) {
	var fields strings.Builder
	for i := range 500 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	request := "GET /a HTTP/1.1\r\nHost: a\r\n" + fields.String() + "\r\n"
	address, _ := startBudgeted(t, 100<<10, Limits{}, func() {})
	assertResponses(t, send(t, address, request, len(request)), "503")
	address, _ = startBudgeted(t, 1<<20, Limits{}, func() {})
	assertResponses(t, send(t, address, request+request, len(request)), "200 served", "200 served")
}

// Guards against connections that end for others before their response is sent.
func TestResponseIsFlushedBeforeIdle(t *testing.T) {
	budget := reserver.New(reserver.Config{Bytes: 1 << 20, Conns: 1, Descriptors: 10, ConnBytes: 1})
	s := New(Config{Limits: func() Limits { return Limits{} }, OnRefused: func(string, string) {}})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })}
	s.Install(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// net/http flushes the response after the handler, which takes longer here.
	denied := make(chan struct{})
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			_, _ = io.ReadAll(c)
			_ = c.Close()
		}
		close(denied)
	})
	cfg := accepter.Config{Budget: budget, Clock: (&clock.Manual{}).Clock(), OnCut: func(string, string) {}}
	go func() { _ = server.Serve(s.WrapListener(accepter.Wrap(l, cfg))) }()
	t.Cleanup(func() { _ = server.Close() })
	assertResponses(t, send(t, l.Addr().String(), plainRequest, 1000), "200 served")
	<-denied
}

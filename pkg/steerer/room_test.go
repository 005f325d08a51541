package steerer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/reserver"
	"catkindyke/pkg/screener"
)

// withBudget calls test with a server in front of a steerer whose connections hold a part of a
// budget. limits needs no cost of connections.
func withBudget(t *testing.T, limits reserver.Config, test func(f *fixture, server *httptest.Server, budget *reserver.Budget)) {
	t.Helper()
	withSteerer(t, func(f *fixture) {
		budget := reserver.New(limits)
		s := screener.New(screener.Config{Limits: func() screener.Limits { return screener.Limits{} }, OnRefused: func(string, string) {}})
		server := httptest.NewUnstartedServer(f.steerer)
		s.Install(server.Config)
		server.Listener = s.WrapListener(accepter.Wrap(server.Listener, accepter.Config{
			Budget: budget, Clock: (&clock.Manual{}).Clock(), OnCut: func(string, string) {},
		}))
		server.Start()
		t.Cleanup(server.Close)
		test(f, server, budget)
	})
}

// Guards against bodies without room for them, against refusals of requests that were sent, and
// against room that isn't given back.
func TestBodyWithoutRoom(t *testing.T) {
	old := testLimits
	testLimits.MaxBodyBytes = 1 << 20
	defer func() { testLimits = old }()
	withBudget(t, reserver.Config{Bytes: 100 << 10, Conns: 10, Descriptors: 10}, func(f *fixture, server *httptest.Server, budget *reserver.Budget) {
		for i, c := range []struct{ size, status, sent int }{{200 << 10, 503, 0}, {10 << 10, 200, 1}, {3 << 10, 200, 2}, {200 << 10, 503, 2}, {20 << 10, 200, 3}} {
			if status := post(t, server, strings.NewReader(strings.Repeat("x", c.size))); status != c.status || len(f.sentRequests) != c.sent {
				t.Errorf("request %d: status %d after %d sent requests, want %d after %d", i, status, len(f.sentRequests), c.status, c.sent)
			}
		}
		if got := len(f.sentRequests[2].Body); got != 20<<10 {
			t.Errorf("the server got %d bytes, want %d", got, 20<<10)
		}
		server.Close()
		if u := budget.Usage(); u.Conns != 0 || u.Bytes[reserver.Body] != 0 || u.Bytes[reserver.Request] != 0 {
			t.Errorf("still reserved: %+v", u)
		}
	})
}

// Guards against requests that take the descriptors that others need.
func TestNoConnectionToServer(t *testing.T) {
	withBudget(t, reserver.Config{Bytes: 1 << 20, Conns: 10, Descriptors: 1}, func(f *fixture, server *httptest.Server, _ *reserver.Budget) {
		if status := post(t, server, strings.NewReader("x")); status != http.StatusServiceUnavailable || len(f.sentRequests) != 0 {
			t.Errorf("status %d after %d sent requests, want 503 after none", status, len(f.sentRequests))
		}
	})
}

// Guards against refusals that wait for a body, and against connections that stay open for one.
func TestRefusalBeforeBody(t *testing.T) {
	withBudget(t, reserver.Config{Bytes: 1 << 20, Conns: 10, Descriptors: 10}, func(_ *fixture, server *httptest.Server, _ *reserver.Budget) {
		for _, length := range []string{"Content-Length: 100", "Content-Length: 100000", "Content-Length: 300000", "Transfer-Encoding: chunked"} {
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "POST /none/ HTTP/1.1\r\nHost: a.example\r\n"+length+"\r\n\r\n")
			got, err := io.ReadAll(c)
			if !strings.HasPrefix(string(got), "HTTP/1.1 404") || err != nil {
				t.Errorf("%s: %q, error %v, want 404 and the end of the connection", length, got, err)
			}
			_ = c.Close()
		}
	})
}

// Guards against uploads that end for new connections while their server works on them.
func TestUploadAtServerStays(t *testing.T) {
	old := testLimits
	testLimits.MaxBodyBytes = 3 << 20
	defer func() { testLimits = old }()
	withSockets(t, func(f *socketFixture) {
		arrived, release := make(chan struct{}), make(chan struct{})
		f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(arrived)
			<-release
			_, _ = io.WriteString(w, "ok")
		}
		c, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nKey: k1\r\nDeadline: 5000\r\nContent-Length: %d\r\n\r\n%s", 2<<20, strings.Repeat("b", 2<<20))
		<-arrived
		time.Sleep(600 * time.Millisecond) // longer than a slow transfer may last for a new connection
		for range 101 {
			// More than the budget's connections.
			other, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
		}
		time.Sleep(50 * time.Millisecond)
		close(release)
		readStatus(t, c)
	})
}

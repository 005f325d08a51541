package steerer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/reserver"
	"catkindyke/pkg/screener"
)

// maxDetection is the time after a caller's disconnect from which on its requests must
// reach no server.
const maxDetection = 500 * time.Millisecond

// pausedListener passes on no connection while paused is locked.
type pausedListener struct {
	net.Listener
	paused *sync.Mutex
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.paused.Lock()
	defer l.paused.Unlock()
	return c, err
}

// socketFixture is a steerer between real callers and real backend servers s0, s1 and so on.
type socketFixture struct {
	address string
	// arrived holds the paths of the requests that reached a server, in order.
	arrived chan string
	// ran counts the requests that a server has served to the end.
	ran atomic.Int32
	// handle serves the n-th request that arrives, counted from 0.
	handle func(n int32, w http.ResponseWriter, r *http.Request)
	// dial opens the n-th connection to a server.
	dial func(n int32, open func() (net.Conn, error)) (net.Conn, error)
	// paused is locked while the steerer accepts no connections of callers.
	paused sync.Mutex
	// secondDelay is the delay of second attempts, which chooseSecond allows.
	secondDelay  clock.Millis
	chooseSecond func(req balancer.Request, first balancer.Choice, waited clock.Millis) SecondChoice
	stop         atomic.Pointer[Stop]
	// suspected makes the servers count as silent.
	suspected atomic.Bool
	// onLog gets the names of log events, and onRecord the attempts that have ended.
	onLog    func(event string)
	onRecord func(a balancer.Attempt)
	// configStale makes the host refuse keys.
	configStale atomic.Bool
	meter       *meter.Meter
	// budget is that of the callers' connections.
	budget *reserver.Budget
	mu     sync.Mutex
	// finished holds the results of all attempts.
	finished []balancer.Attempt
}

func withSockets(t *testing.T, test func(f *socketFixture)) {
	t.Helper()
	f := &socketFixture{arrived: make(chan string, 100), secondDelay: 10 * clock.Second, meter: meter.New()}
	f.handle = func(_ int32, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }
	f.onLog, f.onRecord = func(string) {}, func(balancer.Attempt) {}
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, event string) { f.onLog(event) }))
	f.dial = func(_ int32, open func() (net.Conn, error)) (net.Conn, error) { return open() }
	var arrivals, dials atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.arrived <- r.URL.Path
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		f.handle(arrivals.Add(1)-1, w, r)
		if r.Context().Err() == nil {
			f.ran.Add(1)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	f.chooseSecond = func(req balancer.Request, _ balancer.Choice, _ clock.Millis) SecondChoice {
		id := fmt.Sprintf("s%d", len(req.AttemptedServers))
		return SecondChoice{Verdict: SecondAllowed, Choice: balancer.Choice{Server: balancer.Server{ID: id, Address: address}}}
	}
	catalog := testCatalog(t)
	courier := courier.New(courier.Config{
		IDHeader: headers.RequestID, Clock: clock.New(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return f.dial(dials.Add(1)-1, func() (net.Conn, error) { return new(net.Dialer).DialContext(ctx, "tcp", address) })
		},
	})
	steerer := New(Config{
		Headers: headers, Catalog: func() *cataloger.Catalog { return catalog }, ConfigFresh: func() bool { return !f.configStale.Load() },
		Admit: func(string) (bool, clock.Millis) { return true, 0 },
		ChooseServer: func(req balancer.Request) (balancer.Choice, bool) {
			id := fmt.Sprintf("s%d", len(req.AttemptedServers))
			return balancer.Choice{Server: balancer.Server{ID: id, Address: address}}, false
		},
		RecordAttempt: func(a balancer.Attempt) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.finished = append(f.finished, a)
			f.onRecord(a)
			return false
		}, CountRequest: func(string) {},
		AllowRetry: func(string) rationer.RetryDecision { return rationer.RetryDecision{Allowed: true} }, SecondDelay: func(string, balancer.Choice) clock.Millis { return f.secondDelay },
		ChooseSecond: func(req balancer.Request, first balancer.Choice, waited clock.Millis) SecondChoice {
			return f.chooseSecond(req, first, waited)
		}, IsSuspected: func(string) bool { return f.suspected.Load() }, Send: courier.Send, SplitPoint: func(string) float64 { return 0 },
		CallerLeft: screener.HasDisconnected, ResetOnClose: screener.ResetOnClose, Stop: f.stop.Load, Clock: clock.New(), Log: log, Meter: f.meter,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	s := screener.New(screener.Config{Limits: func() screener.Limits { return screener.Limits{} }, OnRefused: func(string, string) {}})
	front := &http.Server{Handler: steerer}
	s.Install(front)
	f.budget = reserver.New(reserver.Config{Bytes: 100 << 20, Conns: 100, Descriptors: 200, ConnBytes: 16 << 10})
	held := accepter.Wrap(l, accepter.Config{Budget: f.budget, Clock: clock.New(), OnCut: func(string, string) {}})
	go func() { _ = front.Serve(s.WrapListener(pausedListener{held, &f.paused})) }()
	defer front.Close()
	test(f)
}

// send connects and writes a request of 2 s. The caller closes the connection that it returns.
func (f *socketFixture) send(t *testing.T, method, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nKey: k1\r\nDeadline: 2000\r\nContent-Length: 0\r\n\r\n", method, path, path); err != nil {
		t.Fatal(err)
	}
	return c
}

// readStatus checks that a request gets a response with status 200.
func readStatus(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "HTTP/1.1 200" {
		t.Errorf("response %q, %v, want status 200", buf, err)
	}
}

// waitForArrival waits until a request has reached a server.
func (f *socketFixture) waitForArrival(t *testing.T) {
	t.Helper()
	select {
	case <-f.arrived:
	case <-time.After(5 * time.Second):
		t.Fatal("no request has reached a server")
	}
}

// assertNoArrivals checks that no request reaches a server for some time.
func (f *socketFixture) assertNoArrivals(t *testing.T, step string) {
	t.Helper()
	select {
	case path := <-f.arrived:
		t.Errorf("%s: request %s reached a server after its caller had left", step, path)
	case <-time.After(2 * maxDetection):
	}
}

func turnAway(w http.ResponseWriter) {
	w.Header().Set(headers.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestRequestsOfGoneCallers guards against requests that reach a server after their caller
// has disconnected.
func TestRequestsOfGoneCallers(t *testing.T) {
	for _, kind := range []struct{ method, path string }{{http.MethodGet, "/look/"}, {http.MethodPost, "/book/"}} {
		t.Run("turned away late "+kind.path, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				left := make(chan struct{})
				f.handle = func(_ int32, w http.ResponseWriter, _ *http.Request) {
					<-left
					time.Sleep(maxDetection)
					turnAway(w)
				}
				c := f.send(t, kind.method, kind.path)
				f.waitForArrival(t)
				_ = c.Close()
				close(left)
				f.assertNoArrivals(t, kind.path)
			})
		})
		t.Run("connected late "+kind.path, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				dialing, left := make(chan struct{}), make(chan struct{})
				f.dial = func(n int32, open func() (net.Conn, error)) (net.Conn, error) {
					conn, err := open()
					if n == 0 {
						close(dialing)
						<-left
						time.Sleep(maxDetection)
					}
					return conn, err
				}
				c := f.send(t, kind.method, kind.path)
				<-dialing
				_ = c.Close()
				close(left)
				f.assertNoArrivals(t, kind.path)
			})
		})
		t.Run("read late "+kind.path, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				// A connection to the server is open already.
				c := f.send(t, kind.method, kind.path)
				defer c.Close()
				f.waitForArrival(t)
				readStatus(t, c)
				f.paused.Lock()
				for range 20 {
					_ = f.send(t, kind.method, kind.path).Close()
				}
				time.Sleep(maxDetection)
				f.paused.Unlock()
				f.assertNoArrivals(t, kind.path)
			})
		})
	}
}

// A request that has reached a server is not canceled if it may run only once, and one
// whose caller stays is sent to another server.
func TestRequestsOfOtherCallers(t *testing.T) {
	t.Run("non-idempotent request of a gone caller", func(t *testing.T) {
		withSockets(t, func(f *socketFixture) {
			left := make(chan struct{})
			f.handle = func(_ int32, w http.ResponseWriter, _ *http.Request) {
				<-left
				time.Sleep(maxDetection)
				_, _ = io.WriteString(w, "ok")
			}
			c := f.send(t, http.MethodPost, "/book/")
			f.waitForArrival(t)
			_ = c.Close()
			close(left)
			for deadline := time.Now().Add(5 * time.Second); f.ran.Load() == 0 && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			if n := f.ran.Load(); n != 1 {
				t.Errorf("%d requests ran to the end, want 1", n)
			}
		})
	})
	t.Run("turned away", func(t *testing.T) {
		withSockets(t, func(f *socketFixture) {
			f.handle = func(n int32, w http.ResponseWriter, _ *http.Request) {
				if n == 0 {
					turnAway(w)
					return
				}
				_, _ = io.WriteString(w, "ok")
			}
			c := f.send(t, http.MethodPost, "/book/")
			defer c.Close()
			readStatus(t, c)
		})
	})
}

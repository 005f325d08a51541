package steerer

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
)

// stall keeps a server from answering until its request is canceled, and reports that on
// a channel.
func stall(canceled chan<- struct{}) func(w http.ResponseWriter, r *http.Request) {
	return func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			canceled <- struct{}{}
		case <-time.After(5 * time.Second):
		}
	}
}

// inOrder serves the requests that arrive by one handler after the other.
func inOrder(handlers ...http.HandlerFunc) func(n int32, w http.ResponseWriter, r *http.Request) {
	return func(n int32, w http.ResponseWriter, r *http.Request) { handlers[n](w, r) }
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// reset breaks the connection off without a response.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func (f *socketFixture) assertResults(t *testing.T, want ...balancer.Result) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var got []balancer.Result
	for _, a := range f.finished {
		got = append(got, a.Result)
	}
	if len(got) != len(want) {
		t.Fatalf("attempts ended with %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("attempts ended with %v, want %v", got, want)
		}
	}
}

func assertSignal(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(2 * time.Second):
		t.Errorf("not seen within 2 s: %s", what)
	}
}

// A first attempt that gets no answer must not keep the caller waiting, and its server must
// not work on.
func TestSecondAttemptWins(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		canceled := make(chan struct{}, 1)
		f.secondDelay, f.handle = minSecondDelay, inOrder(stall(canceled), answer)
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		readStatus(t, c)
		assertSignal(t, "the end of the first attempt at its server", canceled)
		f.assertResults(t, balancer.Answered, balancer.Superseded)
		if started, won := f.meter.Get("second_attempts"), f.meter.Get("second_attempts_won"); started != 1 || won != 1 {
			t.Errorf("%d second attempts started and %d won, want 1 and 1", started, won)
		}
	})
}

// The answer of a first attempt that is slower than most must not be lost to a second one
// that is slower still, fails or is turned away.
func TestFirstAttemptGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		second http.HandlerFunc
		want   balancer.Result
	}{
		"second one is slower":      {stall(make(chan struct{}, 1)), balancer.Superseded},
		"second connection resets":  {reset, balancer.Unreachable},
		"second server fails":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, balancer.Failed},
		"second server did not run": {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Not-Executed", "1"); w.WriteHeader(503) }, balancer.Shed},
	} {
		t.Run(name, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				ended, goOn := make(chan struct{}), make(chan struct{})
				f.secondDelay = minSecondDelay
				f.handle = inOrder(func(w http.ResponseWriter, r *http.Request) { <-goOn; answer(w, r) }, func(w http.ResponseWriter, r *http.Request) {
					defer close(ended)
					if c.want == balancer.Superseded {
						close(goOn)
					}
					c.second(w, r)
				})
				conn := f.send(t, http.MethodGet, "/look/1")
				defer conn.Close()
				if c.want != balancer.Superseded {
					assertSignal(t, "the end of the second attempt", ended)
					for len(f.results()) == 0 {
						time.Sleep(time.Millisecond)
					}
					close(goOn)
				}
				readStatus(t, conn)
				if c.want == balancer.Superseded {
					f.assertResults(t, balancer.Answered, c.want)
				} else {
					f.assertResults(t, c.want, balancer.Answered)
				}
			})
		})
	}
}

func (f *socketFixture) results() []balancer.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished
}

// When the first attempt's connection resets, the second one that runs already decides, and
// no third one starts beyond the route's number.
func TestFirstAttemptResets(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		secondArrived := make(chan struct{})
		f.secondDelay = minSecondDelay
		f.handle = inOrder(func(w http.ResponseWriter, r *http.Request) { <-secondArrived; reset(w, r) }, func(w http.ResponseWriter, r *http.Request) {
			close(secondArrived)
			for len(f.results()) == 0 {
				time.Sleep(time.Millisecond)
			}
			answer(w, r)
		})
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		readStatus(t, c)
		f.assertResults(t, balancer.Unreachable, balancer.Answered)
	})
}

// If both attempts may have run and fail, the caller must not be told that the request has
// not run, and gets no third attempt.
func TestBothAttemptsReset(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		secondArrived := make(chan struct{})
		f.secondDelay = minSecondDelay
		f.handle = inOrder(func(w http.ResponseWriter, r *http.Request) { <-secondArrived; reset(w, r) }, func(w http.ResponseWriter, r *http.Request) {
			close(secondArrived)
			reset(w, r)
		})
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		assertStatus(t, c, "HTTP/1.1 502")
		f.assertResults(t, balancer.Unreachable, balancer.Unreachable)
	})
}

func assertStatus(t *testing.T, c net.Conn, want string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, len(want))
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != want {
		t.Errorf("response %q, %v, want %q", buf, err, want)
	}
}

// Both servers must stop when the caller leaves.
func TestCallerLeavesBothAttempts(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		canceled := make(chan struct{}, 2)
		f.secondDelay, f.handle = minSecondDelay, inOrder(stall(canceled), stall(canceled))
		c := f.send(t, http.MethodGet, "/look/1")
		f.waitForArrival(t)
		f.waitForArrival(t)
		c.Close()
		assertSignal(t, "the end of one attempt", canceled)
		assertSignal(t, "the end of the other attempt", canceled)
	})
}

// Requests that run once, those of a host that stops, and those whose key no longer holds
// or that may not be sent again get no second attempt.
func TestNoSecondAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		verdict      SecondVerdict
		stop, stale  bool
	}{
		"runs once":                    {http.MethodPost, "/book/1", SecondAllowed, false, false},
		"host stops":                   {http.MethodGet, "/look/1", SecondAllowed, true, false},
		"retry budget is spent":        {http.MethodGet, "/look/1", SecondOverBudget, false, false},
		"no other server has a slot":   {http.MethodGet, "/look/1", SecondNoServer, false, false},
		"key may be revoked meanwhile": {http.MethodGet, "/look/1", SecondAllowed, false, true},
		"share of second ones is used": {http.MethodGet, "/look/1", SecondOverShare, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				f.secondDelay = minSecondDelay
				choose := f.chooseSecond
				f.chooseSecond = func(req balancer.Request, first balancer.Choice, waited clock.Millis) SecondChoice {
					d := choose(req, first, waited)
					d.Verdict = c.verdict
					return d
				}
				if c.stop {
					f.stop.Store(&Stop{LastSend: 1 << 40, EndsAt: 1 << 40})
				}
				f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) {
					f.configStale.Store(c.stale)
					time.Sleep(3 * minSecondDelay.Duration())
					answer(w, r)
				}
				conn := f.send(t, c.method, c.path)
				defer conn.Close()
				readStatus(t, conn)
				f.assertResults(t, balancer.Answered)
			})
		})
	}
}

// Requests that wait long must not ask for a second attempt all the time: each decision takes
// the lock of the host. A server that is suspected only later must still be left.
func TestAsksForSecondAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		suspected bool
		want      int32
	}{"slow server": {false, maxAsks}, "suspected server": {true, 2 * maxAsks}} {
		t.Run(name, func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				var asks atomic.Int32
				f.secondDelay = minSecondDelay
				f.suspected.Store(c.suspected)
				f.chooseSecond = func(balancer.Request, balancer.Choice, clock.Millis) SecondChoice {
					asks.Add(1)
					return SecondChoice{Verdict: SecondNoServer}
				}
				f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) {
					time.Sleep(12 * minSecondDelay.Duration())
					answer(w, r)
				}
				conn := f.send(t, http.MethodGet, "/look/1")
				defer conn.Close()
				readStatus(t, conn)
				if asks.Load() != c.want {
					t.Errorf("%d asks for a second attempt, want %d", asks.Load(), c.want)
				}
			})
		})
	}
}

// After a stop of the process, responses that have arrived must be read before requests go to
// a second server.
func TestLateTimerAsksAgain(t *testing.T) {
	manual := &clock.Manual{}
	r := &race{s: New(Config{Clock: manual.Clock()}), dueAt: 100, nextDelay: 700, closed: true}
	manual.Advance(100 + clock.Second)
	if r.startSecond() || r.delay != minSecondDelay {
		t.Errorf("a second attempt starts or is decided on in %d ms, want a decision in %d ms", r.delay, minSecondDelay)
	}
}

// A second attempt that panics ends by itself; its goroutine is not one of net/http's.
func TestSecondAttemptPanics(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		panicked := make(chan struct{})
		f.secondDelay = minSecondDelay
		f.chooseSecond = func(balancer.Request, balancer.Choice, clock.Millis) SecondChoice { close(panicked); panic("test") }
		f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) { <-panicked; answer(w, r) }
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		readStatus(t, c)
		f.assertResults(t, balancer.Answered)
	})
}

// streamLarge sends a response that is too large to be held in memory, and
// reports the end of its connection on a channel.
func streamLarge(status int, header string, ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
		_, _ = w.Write(make([]byte, 100<<10))
		_ = http.NewResponseController(w).Flush()
		stall(ended)(w, r)
	}
}

// A response that is not passed on must not hold its connection to the server.
func TestUnusedStreamsAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header string
	}{
		"failed": {500, ""}, "shed": {503, headers.NotExecuted}, "other server": {421, ""},
	} {
		t.Run(name+" and retried", func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				ended := make(chan struct{}, 1)
				f.handle = inOrder(streamLarge(c.status, c.header, ended), answer)
				conn := f.send(t, http.MethodGet, "/look/1")
				defer conn.Close()
				readStatus(t, conn)
				assertSignal(t, "the end of the unusable response", ended)
			})
		})
		t.Run(name+" beside another attempt", func(t *testing.T) {
			withSockets(t, func(f *socketFixture) {
				ended, secondArrived := make(chan struct{}, 1), make(chan struct{})
				f.secondDelay = minSecondDelay
				f.handle = inOrder(func(w http.ResponseWriter, r *http.Request) {
					<-secondArrived
					streamLarge(c.status, c.header, ended)(w, r)
				}, func(w http.ResponseWriter, r *http.Request) {
					close(secondArrived)
					for len(f.results()) == 0 {
						time.Sleep(time.Millisecond)
					}
					answer(w, r)
				})
				conn := f.send(t, http.MethodGet, "/look/1")
				defer conn.Close()
				readStatus(t, conn)
				assertSignal(t, "the end of the unusable response", ended)
			})
		})
	}
}

// A second attempt that panics before it is sent must not count as in flight for ever.
func TestPanicBeforeSecondAttemptIsSent(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		f.secondDelay = minSecondDelay
		f.onLog = func(event string) {
			if event == "second_attempt" {
				panic("test")
			}
		}
		f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) {
			time.Sleep(3 * minSecondDelay.Duration())
			answer(w, r)
		}
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		readStatus(t, c)
		f.assertResults(t, balancer.Abandoned, balancer.Answered)
	})
}

// A panic after a second attempt has ended must neither change its result nor count it again.
func TestPanicAfterSecondAttemptHasEnded(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		a := &attempt{resp: &courier.Response{}, result: balancer.Answered, recorded: true}
		r := &race{s: New(Config{Meter: f.meter}), c: &call{}, first: &attempt{}, second: a, ended: []*attempt{a}, secondEnded: make(chan struct{})}
		func() {
			defer r.recoverSecond()
			panic("test")
		}()
		assertSignal(t, "the end of the second attempt", r.secondEnded)
		if len(r.ended) != 1 || a.result != balancer.Answered || a.resp == nil {
			t.Errorf("%d attempts ended, the second one with %v, want 1 that answered", len(r.ended), a.result)
		}
	})
}

// When the first attempt panics, the response of the second one must not hold its connection.
func TestFirstAttemptPanics(t *testing.T) {
	withSockets(t, func(f *socketFixture) {
		canceled, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		f.secondDelay = minSecondDelay
		f.onRecord = func(a balancer.Attempt) {
			if a.Result == balancer.Superseded {
				panic("test")
			}
		}
		f.handle = inOrder(stall(canceled), streamLarge(http.StatusOK, "", ended))
		c := f.send(t, http.MethodGet, "/look/1")
		defer c.Close()
		assertSignal(t, "the end of the second attempt's response", ended)
	})
}

package steerer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/meter"
)

var headers = Headers{
	RequestID: "Id", Deadline: "Deadline", Object: "Object", Key: "Key", Workspace: "Workspace",
	ExpectedServer: "Expected", NotExecuted: "Not-Executed",
}

// fixture is a steerer with fakes on all sides.
type fixture struct {
	steerer *Steerer
	clock   *clock.Manual
	// current, admit and repeats answer the checks of the same names.
	current, admit bool
	repeats        int
	// sent are the requests that reached a server, by server ID.
	sent []*courier.Request
	ids  []string
	// reply answers the n-th sent request, counted from 0.
	reply func(n int) (*courier.Response, error)
	done  []balancer.Attempt
	// full makes placement refuse.
	full bool
}

func catalog(t *testing.T) *cataloger.Catalog {
	t.Helper()
	part := []cataloger.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, repeat cataloger.RouteKind) cataloger.Route {
		return cataloger.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: repeat, Services: part,
			Timeout: 800, TargetLatency: 250, MaxAttempts: 2, Sticky: true,
		}
	}
	open := route("/open/", cataloger.Idempotent)
	open.Anonymous = true
	c, err := cataloger.New(cataloger.Config{
		Version: 1, Services: []cataloger.Service{{Name: "desk"}},
		Routes:     []cataloger.Route{route("/look/", cataloger.Idempotent), route("/book/", cataloger.NonIdempotent), open},
		Workspaces: []cataloger.Workspace{{Name: "lakes", Keys: []string{"k1"}}},
		Limits:     cataloger.Limits{MaxBodyBytes: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func withSteerer(t *testing.T, test func(f *fixture)) {
	t.Helper()
	f := &fixture{clock: &clock.Manual{}, current: true, admit: true, repeats: 10}
	f.reply = func(int) (*courier.Response, error) { return served("ok"), nil }
	c := catalog(t)
	f.steerer = New(Config{
		Headers: headers, Catalog: func() *cataloger.Catalog { return c },
		ConfigFresh: func() bool { return f.current },
		Admit:       func(string) (bool, clock.Millis) { return f.admit, 250 },
		ChooseServer: func(req balancer.Request) (balancer.Choice, bool) {
			if f.full {
				return balancer.Choice{Refused: true, Reason: balancer.ReasonBusy, RetryAfter: 120}, false
			}
			return balancer.Choice{Server: balancer.Server{ID: fmt.Sprintf("s%d", len(req.TriedServers)), Address: "x"}}, false
		},
		RecordAttempt: func(x balancer.Attempt) { f.done = append(f.done, x) },
		CountRequest:  func(string) {},
		AllowRetry:    func(string) bool { f.repeats--; return f.repeats >= 0 },
		Send: func(_ context.Context, target courier.Target, req *courier.Request) (*courier.Response, error) {
			n := len(f.ids)
			f.ids = append(f.ids, target.ID)
			a, err := f.reply(n)
			if !errors.Is(err, courier.ErrNotSent) {
				f.sent = append(f.sent, req)
			}
			return a, err
		},
		SplitPoint: func(string) float64 { return 0 }, Leaving: func() bool { return false },
		Clock: f.clock.Clock(), Log: zerolog.Nop(), Meter: meter.New(),
	})
	test(f)
}

func served(body string) *courier.Response {
	return &courier.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"x"}}, Body: []byte(body), ContentLength: int64(len(body))}
}

func failed(status int, name string) *courier.Response {
	return &courier.Response{Status: status, Header: http.Header{name: {"1"}}, Body: []byte("no"), ContentLength: 2}
}

func call(f *fixture, method, path string, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(""))
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")
	r.Header.Set("Deadline", "2000")
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	f.steerer.ServeHTTP(w, r)
	return w
}

func assertAnswer(t *testing.T, step string, w *httptest.ResponseRecorder, status, sent int, f *fixture) {
	t.Helper()
	if w.Code != status || len(f.sent) != sent {
		t.Errorf("%s: status %d after %d sent requests, want %d after %d", step, w.Code, len(f.sent), status, sent)
	}
	if len(f.done) != len(f.ids) {
		t.Errorf("%s: %d exchanges began and %d ended", step, len(f.ids), len(f.done))
	}
}

// What may not run must not reach a server.
func TestNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		status int
		change func(f *fixture, r *http.Request)
	}{
		"unknown route":   {"/none/", 404, nil},
		"unknown key":     {"/look/1", 401, func(_ *fixture, r *http.Request) { r.Header.Set("Key", "k2") }},
		"no key":          {"/look/1", 401, func(_ *fixture, r *http.Request) { r.Header.Del("Key") }},
		"over rate":       {"/look/1", 429, func(f *fixture, _ *http.Request) { f.admit = false }},
		"stale":           {"/look/1", 503, func(f *fixture, _ *http.Request) { f.current = false }},
		"stale, no route": {"/none/", 503, func(f *fixture, _ *http.Request) { f.current = false }},
		"full":            {"/look/1", 503, func(f *fixture, _ *http.Request) { f.full = true }},
		"bad deadline":    {"/look/1", 400, func(_ *fixture, r *http.Request) { r.Header.Set("Deadline", "-1") }},
		"body too large":  {"/book/1", 413, func(_ *fixture, r *http.Request) { r.ContentLength = 1001 }},
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				w := call(f, http.MethodGet, c.path, func(r *http.Request) {
					if c.change != nil {
						c.change(f, r)
					}
				})
				assertAnswer(t, name, w, c.status, 0, f)
				if (w.Code == 429 || w.Code == 503) && w.Header().Get("Retry-After") == "" {
					t.Error("a refusal without Retry-After")
				}
			})
		})
	}
}

// pausingBody is a body during which the host is suspended.
type pausingBody struct {
	io.Reader
	pause func()
}

func (b pausingBody) Read(p []byte) (int, error) {
	b.pause()
	return b.Reader.Read(p)
}

// A host that is suspended between the check of a key and the sending must not act
// on what it knew before, whether it knows the newest configuration after it or not.
func TestKeyIsCheckedBeforeSending(t *testing.T) {
	withdrawn, err := cataloger.New(cataloger.Config{
		Version: 2, Services: []cataloger.Service{{Name: "desk"}}, Workspaces: []cataloger.Workspace{{Name: "lakes", Keys: []string{"k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		pause  func(f *fixture)
		status int
	}{
		"not current afterwards":  {func(f *fixture) { f.current = false }, http.StatusServiceUnavailable},
		"key withdrawn meanwhile": {func(f *fixture) { f.steerer.cfg.Catalog = func() *cataloger.Catalog { return withdrawn } }, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				w := call(f, http.MethodPost, "/book/1", func(r *http.Request) {
					r.Body = io.NopCloser(pausingBody{strings.NewReader(""), func() { c.pause(f) }})
				})
				assertAnswer(t, name, w, c.status, 0, f)
			})
		})
	}
	t.Run("between two attempts", func(t *testing.T) {
		withSteerer(t, func(f *fixture) {
			f.reply = func(int) (*courier.Response, error) {
				f.current = false
				return failed(503, "Not-Executed"), nil
			}
			assertAnswer(t, "second attempt", call(f, http.MethodGet, "/look/1", nil), http.StatusServiceUnavailable, 1, f)
		})
	})
}

// A host that can't know the newest configuration still serves open routes.
func TestStaleServesOpenRoutes(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.current = false
		assertAnswer(t, "open route", call(f, http.MethodGet, "/open/1", nil), 200, 1, f)
	})
}

// A backend server sees the workspace and never the key, whatever the caller sends.
func TestHeadersToServer(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		w := call(f, http.MethodGet, "/look/1?q=a%20b", func(r *http.Request) {
			r.Header.Set("Workspace", "forged")
			r.Header.Set("Expected", "forged")
			r.Header.Set("Connection", "X-Hop")
			r.Header.Set("X-Hop", "1")
			r.Header.Set("X-Other", "kept")
			r.RequestURI = "/look/1?q=a%20b"
		})
		assertAnswer(t, "request", w, 200, 1, f)
		h := f.sent[0].Header
		for name, want := range map[string]string{
			"Key": "", "Workspace": "lakes", "Expected": "s0", "X-Hop": "", "X-Other": "kept", "Id": "r1", "Deadline": "800",
		} {
			if got := h.Get(name); got != want {
				t.Errorf("header %s is %q, want %q", name, got, want)
			}
		}
		if f.sent[0].URI != "/look/1?q=a%20b" {
			t.Errorf("URI %q was changed", f.sent[0].URI)
		}
	})
	withSteerer(t, func(f *fixture) {
		call(f, http.MethodGet, "/open/1", func(r *http.Request) { r.Header.Set("Workspace", "forged") })
		if h := f.sent[0].Header; h.Get("Workspace") != "" || h.Get("Key") != "" {
			t.Errorf("open route: workspace %q and key %q reach the server", h.Get("Workspace"), h.Get("Key"))
		}
	})
}

// TestOutcomes tells for each way in which a first attempt can end what becomes
// of requests that may and may not be repeated.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer                     *courier.Response
		err                        error
		repeated, once             int
		repeatedStatus, onceStatus int
	}{
		"not sent":      {nil, courier.ErrNotSent, 1, 1, 200, 200},
		"no answer":     {nil, courier.ErrNoResponse, 2, 1, 200, 502},
		"shed":          {failed(503, "Not-Executed"), nil, 2, 2, 200, 200},
		"wrong server":  {failed(421, "Not-Executed"), nil, 2, 2, 200, 200},
		"server failed": {failed(500, "Signature"), nil, 2, 1, 200, 500},
		"server's 404":  {failed(404, "Signature"), nil, 1, 1, 404, 404},
	} {
		t.Run(name, func(t *testing.T) {
			first := func(n int) (*courier.Response, error) {
				if n == 0 {
					return c.answer, c.err
				}
				return served("ok"), nil
			}
			withSteerer(t, func(f *fixture) {
				f.reply = first
				assertAnswer(t, "repeatable", call(f, http.MethodGet, "/look/1", nil), c.repeatedStatus, c.repeated, f)
			})
			withSteerer(t, func(f *fixture) {
				f.reply = first
				assertAnswer(t, "once", call(f, http.MethodPost, "/book/1", nil), c.onceStatus, c.once, f)
			})
		})
	}
}

// Without budget a request is sent once, and a refusal of the server becomes a
// refusal that is true.
func TestNoBudget(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.repeats = 0
		f.reply = func(int) (*courier.Response, error) { return failed(503, "Not-Executed"), nil }
		assertAnswer(t, "shed", call(f, http.MethodPost, "/book/1", nil), 503, 1, f)
	})
}

// The last failure of a server is given to the caller when no other can be tried.
func TestLastFailureIsPassedOn(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.reply = func(int) (*courier.Response, error) { return failed(500, "Signature"), nil }
		w := call(f, http.MethodGet, "/look/1", nil)
		assertAnswer(t, "failures", w, 500, 2, f)
		if w.Header().Get("Signature") == "" {
			t.Error("the server's failure was replaced")
		}
	})
}

// Whatever happens to the attempts: a request that may not be repeated is sent
// on only while it has certainly not run, and 503 is never the answer to a
// request that may have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.IntRange(0, 5), 8, 8).Draw(rt, "outcomes")
		withSteerer(t, func(f *fixture) {
			mayHaveRun := 0
			f.reply = func(n int) (*courier.Response, error) {
				switch outcomes[n%len(outcomes)] {
				case 0:
					return nil, courier.ErrNotSent
				case 1:
					return failed(503, "Not-Executed"), nil
				case 2:
					return failed(421, "Not-Executed"), nil
				case 3:
					mayHaveRun++
					return nil, courier.ErrNoResponse
				case 4:
					mayHaveRun++
					return failed(500, "Signature"), nil
				default:
					mayHaveRun++
					return served("ok"), nil
				}
			}
			w := call(f, http.MethodPost, "/book/1", nil)
			if mayHaveRun > 1 {
				rt.Errorf("outcomes %v: may have run %d times", outcomes, mayHaveRun)
			}
			if mayHaveRun > 0 && (w.Code == 503 || w.Code == 429 || w.Code == 421 || w.Code == 408) {
				rt.Errorf("outcomes %v: status %d although it may have run", outcomes, w.Code)
			}
			if len(f.sent) > 2 {
				rt.Errorf("outcomes %v: sent to %d servers, the route allows 2", outcomes, len(f.sent))
			}
		})
	})
}

// The same holds for a request that may be repeated: whichever attempt may have
// run it, and whatever ends the next one, the caller isn't told that it has not run.
func TestRefusalAfterLostAnswer(t *testing.T) {
	for name, second := range map[string]func(f *fixture) (*courier.Response, error){
		"placement refuses": func(f *fixture) (*courier.Response, error) { f.full = true; return nil, courier.ErrNoResponse },
		"server sheds":      func(*fixture) (*courier.Response, error) { return failed(503, "Not-Executed"), nil },
		"not sent":          func(*fixture) (*courier.Response, error) { return nil, courier.ErrNotSent },
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				f.reply = func(n int) (*courier.Response, error) {
					if n == 0 && name != "placement refuses" {
						return nil, courier.ErrNoResponse
					}
					return second(f)
				}
				if w := call(f, http.MethodGet, "/look/1", nil); w.Code != http.StatusBadGateway {
					t.Errorf("status %d for a request that may have run, want 502", w.Code)
				}
			})
		})
	}
}

// A caller that waits no longer gets its answer at the route's limit, as 504.
func TestTimeLimit(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.reply = func(int) (*courier.Response, error) {
			f.clock.Advance(795)
			return nil, courier.ErrNoResponse
		}
		assertAnswer(t, "late failure", call(f, http.MethodGet, "/look/1", nil), 504, 1, f)
	})
}

// Split weights hold for any short run of requests.
func TestSplit(t *testing.T) {
	x := &exchange{route: &cataloger.Route{Services: []cataloger.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
	for v, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b"} {
		if got := x.part(func(string) float64 { return v }); got != want {
			t.Errorf("point %v: service %s, want %s", v, got, want)
		}
	}
}

// A large answer is streamed whole, although the request's context ends with the handler.
func TestStreamedAnswer(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		body := strings.Repeat("x", 3<<20)
		f.reply = func(int) (*courier.Response, error) {
			return &courier.Response{
				Status: 200, Header: http.Header{}, ContentLength: int64(len(body)), Stream: io.NopCloser(strings.NewReader(body)),
			}, nil
		}
		w := call(f, http.MethodGet, "/look/1", nil)
		if w.Body.Len() != len(body) {
			t.Errorf("%d bytes of %d", w.Body.Len(), len(body))
		}
	})
}

// A caller that gives up is told apart from a time limit in the log, and its
// request is not sent again.
func TestCallerLeaves(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(context.Background())
		f.reply = func(int) (*courier.Response, error) {
			cancel()
			return nil, courier.ErrNoResponse
		}
		w := call(f, http.MethodGet, "/look/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		assertAnswer(t, "caller left", w, 504, 1, f)
		if got := f.steerer.cfg.Meter.Get("refused_caller_left"); got != 1 {
			t.Errorf("%d requests whose caller left, want 1", got)
		}
	})
}

// serve starts a server whose callers reach the fixture's steerer.
func serve(t *testing.T, f *fixture) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(f.steerer)
	t.Cleanup(server.Close)
	return server
}

// post sends a booking with a body and returns the status, 0 without an answer.
func post(t *testing.T, server *httptest.Server, body io.Reader) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/book/", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Key", "k1")
	r.Header.Set("Deadline", "300")
	resp, err := server.Client().Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// A caller whose body does not come held its request without end.
func TestLateBody(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := serve(t, f)
		body, end := io.Pipe()
		defer end.Close()
		began := time.Now()
		if status := post(t, server, body); status != http.StatusRequestTimeout {
			t.Errorf("status %d, want 408", status)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("took %v for a request with 300 ms", took)
		}
		server.Close()
		if len(f.sent) != 0 {
			t.Error("a request without its body was sent")
		}
	})
}

// The limit was only checked against a stated length.
func TestLargeBodyWithoutLength(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := serve(t, f)
		if status := post(t, server, io.MultiReader(strings.NewReader(strings.Repeat("x", 1001)))); status != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d, want 413", status)
		}
		if status := post(t, server, io.MultiReader(strings.NewReader(strings.Repeat("x", 1000)))); status != http.StatusOK {
			t.Errorf("status %d for a body within the limit, want 200", status)
		}
	})
}

// A panic fails one request, and its place at the server is given back.
func TestPanic(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := serve(t, f)
		f.reply = func(n int) (*courier.Response, error) {
			if n == 0 {
				panic("broken")
			}
			return served("ok"), nil
		}
		if status := post(t, server, strings.NewReader("x")); status != 0 {
			t.Errorf("status %d, want none", status)
		}
		server.Close() // waits for the handler
		if len(f.done) != 1 || f.done[0].Result != balancer.Abandoned {
			t.Errorf("exchanges %v, want one that was abandoned", f.done)
		}
		server = serve(t, f)
		if status := post(t, server, strings.NewReader("x")); status != http.StatusOK {
			t.Errorf("status %d of the next request, want 200", status)
		}
		server.Close()
		if len(f.done) != 2 {
			t.Errorf("%d exchanges done, want 2", len(f.done))
		}
	})
}

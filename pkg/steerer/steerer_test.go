package steerer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
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
	"catkindyke/pkg/rationer"
)

var headers = Headers{
	RequestID: "Id", Deadline: "Deadline", Object: "Object", Key: "Key", Workspace: "Workspace",
	ExpectedServer: "Expected", NotExecuted: "Not-Executed", RateLimit: "Limit", Draining: "Draining",
}

// fixture is a steerer whose dependencies are all fakes.
type fixture struct {
	steerer *Steerer
	clock   *clock.Manual
	// configFresh and admit are the results of ConfigFresh and Admit; retryBudget is
	// the number of retries that AllowRetry grants.
	configFresh, admit bool
	retryBudget        int
	// sentRequests are the requests that reached a server.
	sentRequests []*courier.Request
	// attemptedServers are the IDs of the servers of all attempts, including unsent ones.
	attemptedServers []string
	// respond returns the result of the n-th attempt, counted from 0.
	respond          func(n int) (*courier.Response, error)
	finishedAttempts []balancer.Attempt
	// noCapacity makes the balancer refuse requests.
	noCapacity bool
	// stop is the planned stop of the host.
	stop *Stop
}

// testLimits are the limits of testCatalog.
var testLimits = cataloger.Limits{MaxBodyBytes: 1000}

func testCatalog(t *testing.T) *cataloger.Catalog {
	t.Helper()
	services := []cataloger.WeightedService{{Service: "desk", Weight: 1}}
	route := func(prefix string, kind cataloger.RouteKind) cataloger.Route {
		return cataloger.Route{
			Name: prefix, Host: "a.example", Prefix: prefix, Kind: kind, Services: services,
			Timeout: 800, TargetLatency: 250, MaxAttempts: 2, Sticky: true,
		}
	}
	anonymous := route("/open/", cataloger.Idempotent)
	anonymous.Anonymous = true
	c, err := cataloger.New(cataloger.Config{
		Version: 1, Services: []cataloger.Service{{Name: "desk"}},
		Routes:     []cataloger.Route{route("/look/", cataloger.Idempotent), route("/book/", cataloger.NonIdempotent), anonymous},
		Workspaces: []cataloger.Workspace{{Name: "lakes", Keys: []string{"k1"}}},
		Limits:     testLimits,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func withSteerer(t *testing.T, test func(f *fixture)) {
	t.Helper()
	f := &fixture{clock: &clock.Manual{}, configFresh: true, admit: true, retryBudget: 10}
	f.respond = func(int) (*courier.Response, error) { return okResponse("ok"), nil }
	c := testCatalog(t)
	f.steerer = New(Config{
		Headers: headers, Catalog: func() *cataloger.Catalog { return c },
		ConfigFresh: func() bool { return f.configFresh },
		Admit:       func(string) (bool, clock.Millis) { return f.admit, 250 },
		ChooseServer: func(req balancer.Request) (balancer.Choice, bool) {
			if f.noCapacity {
				return balancer.Choice{Refused: true, Reason: balancer.ReasonBusy, RetryAfter: 120}, false
			}
			return balancer.Choice{Server: balancer.Server{ID: fmt.Sprintf("s%d", len(req.AttemptedServers)), Address: "x"}}, false
		},
		RecordAttempt: func(a balancer.Attempt) bool {
			f.finishedAttempts = append(f.finishedAttempts, a)
			return a.Notice != nil && a.Notice.Limit.Limited
		},
		CountRequest: func(string) {},
		AllowRetry: func(string) rationer.RetryDecision {
			f.retryBudget--
			return rationer.RetryDecision{Allowed: f.retryBudget >= 0}
		},
		Send: func(_ context.Context, target courier.Target, req *courier.Request) (*courier.Response, error) {
			n := len(f.attemptedServers)
			f.attemptedServers = append(f.attemptedServers, target.ID)
			resp, err := f.respond(n)
			if !errors.Is(err, courier.ErrNotSent) {
				f.sentRequests = append(f.sentRequests, req)
			}
			return resp, err
		},
		SecondDelay: func(string, balancer.Choice) clock.Millis { return clock.Second },
		ChooseSecond: func(balancer.Request, balancer.Choice, clock.Millis) SecondChoice {
			return SecondChoice{Verdict: SecondNoServer}
		},
		SplitPoint: func(string) float64 { return 0 }, CallerLeft: func(ctx context.Context) bool { return ctx.Err() != nil }, ResetOnClose: func(context.Context, bool) {}, Stop: func() *Stop { return f.stop },
		Clock: f.clock.Clock(), Log: zerolog.Nop(), Meter: meter.New(),
	})
	test(f)
}

func okResponse(body string) *courier.Response {
	return &courier.Response{Status: http.StatusOK, Header: http.Header{"Signature": {"x"}}, Body: []byte(body), ContentLength: int64(len(body))}
}

func errorResponse(status int, header string) *courier.Response {
	return &courier.Response{Status: status, Header: http.Header{header: {"1"}}, Body: []byte("no"), ContentLength: 2}
}

func handle(f *fixture, method, path string, modify func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(""))
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")
	r.Header.Set("Deadline", "2000")
	if modify != nil {
		modify(r)
	}
	w := httptest.NewRecorder()
	f.steerer.ServeHTTP(w, r)
	return w
}

func assertOutcome(t *testing.T, step string, w *httptest.ResponseRecorder, wantStatus, wantSent int, f *fixture) {
	t.Helper()
	if w.Code != wantStatus || len(f.sentRequests) != wantSent {
		t.Errorf("%s: status %d after %d sent requests, want %d after %d", step, w.Code, len(f.sentRequests), wantStatus, wantSent)
	}
	if len(f.finishedAttempts) != len(f.attemptedServers) {
		t.Errorf("%s: %d attempts began and %d ended", step, len(f.attemptedServers), len(f.finishedAttempts))
	}
}

// A request that may not run must not reach a server.
func TestNotForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		status int
		modify func(f *fixture, r *http.Request)
	}{
		"unknown route":                      {"/none/", 404, nil},
		"unknown key":                        {"/look/1", 401, func(_ *fixture, r *http.Request) { r.Header.Set("Key", "k2") }},
		"no key":                             {"/look/1", 401, func(_ *fixture, r *http.Request) { r.Header.Del("Key") }},
		"over rate":                          {"/look/1", 429, func(f *fixture, _ *http.Request) { f.admit = false }},
		"stale configuration":                {"/look/1", 503, func(f *fixture, _ *http.Request) { f.configFresh = false }},
		"stale configuration, unknown route": {"/none/", 503, func(f *fixture, _ *http.Request) { f.configFresh = false }},
		"no capacity":                        {"/look/1", 503, func(f *fixture, _ *http.Request) { f.noCapacity = true }},
		"bad deadline":                       {"/look/1", 400, func(_ *fixture, r *http.Request) { r.Header.Set("Deadline", "-1") }},
		"body too large":                     {"/book/1", 413, func(_ *fixture, r *http.Request) { r.ContentLength = 1001 }},
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				w := handle(f, http.MethodGet, c.path, func(r *http.Request) {
					if c.modify != nil {
						c.modify(f, r)
					}
				})
				assertOutcome(t, name, w, c.status, 0, f)
				if (w.Code == 429 || w.Code == 503) && w.Header().Get("Retry-After") == "" {
					t.Error("the refusal has no Retry-After header")
				}
			})
		})
	}
}

// suspendingBody is a request body during whose read the host is suspended.
type suspendingBody struct {
	io.Reader
	suspend func()
}

func (b suspendingBody) Read(p []byte) (int, error) {
	b.suspend()
	return b.Reader.Read(p)
}

// A host that is suspended between checking a key and sending the request must check
// the key again, whether or not it knows the newest configuration afterwards.
func TestKeyRecheckedBeforeSend(t *testing.T) {
	newCatalog, err := cataloger.New(cataloger.Config{
		Version: 2, Services: []cataloger.Service{{Name: "desk"}}, Workspaces: []cataloger.Workspace{{Name: "lakes", Keys: []string{"k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		suspend func(f *fixture)
		status  int
	}{
		"stale configuration afterwards": {func(f *fixture) { f.configFresh = false }, http.StatusServiceUnavailable},
		"key revoked meanwhile":          {func(f *fixture) { f.steerer.cfg.Catalog = func() *cataloger.Catalog { return newCatalog } }, http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				w := handle(f, http.MethodPost, "/book/1", func(r *http.Request) {
					r.Body = io.NopCloser(suspendingBody{strings.NewReader(""), func() { c.suspend(f) }})
				})
				assertOutcome(t, name, w, c.status, 0, f)
			})
		})
	}
	t.Run("between two attempts", func(t *testing.T) {
		withSteerer(t, func(f *fixture) {
			f.respond = func(int) (*courier.Response, error) {
				f.configFresh = false
				return errorResponse(503, "Not-Executed"), nil
			}
			assertOutcome(t, "second attempt", handle(f, http.MethodGet, "/look/1", nil), http.StatusServiceUnavailable, 1, f)
		})
	})
}

// A host whose configuration may be outdated still serves anonymous routes.
func TestStaleConfigServesAnonymousRoutes(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.configFresh = false
		assertOutcome(t, "anonymous route", handle(f, http.MethodGet, "/open/1", nil), 200, 1, f)
	})
}

// A backend server gets the workspace and never the key, whatever headers the caller
// sends.
func TestBackendRequestHeaders(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		w := handle(f, http.MethodGet, "/look/1?q=a%20b", func(r *http.Request) {
			r.Header.Set("Workspace", "forged")
			r.Header.Set("Expected", "forged")
			r.Header.Set("Connection", "X-Hop")
			r.Header.Set("X-Hop", "1")
			r.Header.Set("X-Other", "kept")
			r.RequestURI = "/look/1?q=a%20b"
		})
		assertOutcome(t, "request", w, 200, 1, f)
		h := f.sentRequests[0].Header
		for name, want := range map[string]string{
			"Key": "", "Workspace": "lakes", "Expected": "s0", "X-Hop": "", "X-Other": "kept", "Id": "r1", "Deadline": "800",
		} {
			if got := h.Get(name); got != want {
				t.Errorf("header %s is %q, want %q", name, got, want)
			}
		}
		if f.sentRequests[0].URI != "/look/1?q=a%20b" {
			t.Errorf("URI %q was changed", f.sentRequests[0].URI)
		}
	})
	withSteerer(t, func(f *fixture) {
		handle(f, http.MethodGet, "/open/1", func(r *http.Request) { r.Header.Set("Workspace", "forged") })
		if h := f.sentRequests[0].Header; h.Get("Workspace") != "" || h.Get("Key") != "" {
			t.Errorf("anonymous route: workspace %q and key %q reach the server", h.Get("Workspace"), h.Get("Key"))
		}
	})
}

// For each way in which a first attempt can end, checks whether idempotent and
// non-idempotent requests are retried.
func TestFirstAttemptOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		resp                                  *courier.Response
		err                                   error
		idempotentSent, nonIdempotentSent     int
		idempotentStatus, nonIdempotentStatus int
	}{
		"not sent":      {nil, courier.ErrNotSent, 1, 1, 200, 200},
		"no response":   {nil, courier.ErrNoResponse, 2, 1, 200, 502},
		"shed":          {errorResponse(503, "Not-Executed"), nil, 2, 2, 200, 200},
		"wrong server":  {errorResponse(421, "Not-Executed"), nil, 2, 2, 200, 200},
		"server failed": {errorResponse(500, "Signature"), nil, 2, 1, 200, 500},
		"server's 404":  {errorResponse(404, "Signature"), nil, 1, 1, 404, 404},
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(n int) (*courier.Response, error) {
				if n == 0 {
					return c.resp, c.err
				}
				return okResponse("ok"), nil
			}
			withSteerer(t, func(f *fixture) {
				f.respond = respond
				assertOutcome(t, "idempotent", handle(f, http.MethodGet, "/look/1", nil), c.idempotentStatus, c.idempotentSent, f)
			})
			withSteerer(t, func(f *fixture) {
				f.respond = respond
				assertOutcome(t, "non-idempotent", handle(f, http.MethodPost, "/book/1", nil), c.nonIdempotentStatus, c.nonIdempotentSent, f)
			})
		})
	}
}

// Without retry budget, a request that a server refuses is sent once, and the caller
// gets a 503, which says that it has not run.
func TestRetryBudgetSpent(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.retryBudget = 0
		f.respond = func(int) (*courier.Response, error) { return errorResponse(503, "Not-Executed"), nil }
		assertOutcome(t, "shed", handle(f, http.MethodPost, "/book/1", nil), 503, 1, f)
	})
}

// When no other server can be tried, the caller gets the last server's failure.
func TestLastFailureReturned(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.respond = func(int) (*courier.Response, error) { return errorResponse(500, "Signature"), nil }
		w := handle(f, http.MethodGet, "/look/1", nil)
		assertOutcome(t, "failures", w, 500, 2, f)
		if w.Header().Get("Signature") == "" {
			t.Error("the server's failure response was replaced")
		}
	})
}

// However the attempts end, a non-idempotent request is sent again only while it has
// certainly not run, and a request that may have run never gets a 503 or another
// status that says that it has not.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcomes := rapid.SliceOfN(rapid.IntRange(0, 5), 8, 8).Draw(rt, "outcomes")
		withSteerer(t, func(f *fixture) {
			possibleRuns := 0
			f.respond = func(n int) (*courier.Response, error) {
				switch outcomes[n%len(outcomes)] {
				case 0:
					return nil, courier.ErrNotSent
				case 1:
					return errorResponse(503, "Not-Executed"), nil
				case 2:
					return errorResponse(421, "Not-Executed"), nil
				case 3:
					possibleRuns++
					return nil, courier.ErrNoResponse
				case 4:
					possibleRuns++
					return errorResponse(500, "Signature"), nil
				default:
					possibleRuns++
					return okResponse("ok"), nil
				}
			}
			w := handle(f, http.MethodPost, "/book/1", nil)
			if possibleRuns > 1 {
				rt.Errorf("outcomes %v: may have run %d times", outcomes, possibleRuns)
			}
			if possibleRuns > 0 && (w.Code == 503 || w.Code == 429 || w.Code == 421 || w.Code == 408) {
				rt.Errorf("outcomes %v: status %d although it may have run", outcomes, w.Code)
			}
			if len(f.sentRequests) > 2 {
				rt.Errorf("outcomes %v: sent to %d servers, the route allows 2", outcomes, len(f.sentRequests))
			}
		})
	})
}

// The caller of an idempotent request isn't told that it has not run either,
// whichever attempt may have run it and however the next one ends.
func TestRefusalAfterLostResponse(t *testing.T) {
	for name, second := range map[string]func(f *fixture) (*courier.Response, error){
		"balancer refuses": func(f *fixture) (*courier.Response, error) { f.noCapacity = true; return nil, courier.ErrNoResponse },
		"server sheds":     func(*fixture) (*courier.Response, error) { return errorResponse(503, "Not-Executed"), nil },
		"not sent":         func(*fixture) (*courier.Response, error) { return nil, courier.ErrNotSent },
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				f.respond = func(n int) (*courier.Response, error) {
					if n == 0 && name != "balancer refuses" {
						return nil, courier.ErrNoResponse
					}
					return second(f)
				}
				if w := handle(f, http.MethodGet, "/look/1", nil); w.Code != http.StatusBadGateway {
					t.Errorf("status %d for a request that may have run, want 502", w.Code)
				}
			})
		})
	}
}

// A caller gets a 504 when the route's timeout leaves no time for another attempt.
func TestTimeout(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		f.respond = func(int) (*courier.Response, error) {
			f.clock.Advance(795)
			return nil, courier.ErrNoResponse
		}
		assertOutcome(t, "late failure", handle(f, http.MethodGet, "/look/1", nil), 504, 1, f)
	})
}

// Split points select services in proportion to their weights.
func TestSplitWeights(t *testing.T) {
	c := &call{route: &cataloger.Route{Services: []cataloger.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.9: "b", 0.999: "b"} {
		if got := c.chooseService(func(string) float64 { return point }); got != want {
			t.Errorf("point %v: service %s, want %s", point, got, want)
		}
	}
}

// A large response is streamed completely, although the request's context ends with
// the handler.
func TestStreamedResponse(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		body := strings.Repeat("x", 3<<20)
		f.respond = func(int) (*courier.Response, error) {
			return &courier.Response{
				Status: 200, Header: http.Header{}, ContentLength: int64(len(body)), Stream: io.NopCloser(strings.NewReader(body)),
			}, nil
		}
		w := handle(f, http.MethodGet, "/look/1", nil)
		if w.Body.Len() != len(body) {
			t.Errorf("got %d bytes of the body, want %d", w.Body.Len(), len(body))
		}
	})
}

// A disconnected caller is logged and counted apart from a timeout, and its request
// is not retried.
func TestCallerDisconnects(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		ctx, cancel := context.WithCancel(context.Background())
		f.respond = func(int) (*courier.Response, error) {
			cancel()
			return nil, courier.ErrNoResponse
		}
		w := handle(f, http.MethodGet, "/look/1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		assertOutcome(t, "caller disconnected", w, 504, 1, f)
		if got := f.steerer.cfg.Meter.Get("refused_caller_left"); got != 1 {
			t.Errorf("%d requests whose caller disconnected, want 1", got)
		}
	})
}

// A server is not to blame for a body that its caller did not send completely.
func TestIncompleteBody(t *testing.T) {
	for name, c := range map[string]struct {
		cause  error
		status int
		result balancer.Result
	}{
		"caller left":  {io.ErrUnexpectedEOF, http.StatusGatewayTimeout, balancer.Abandoned},
		"too large":    {&http.MaxBytesError{Limit: 1000}, http.StatusRequestEntityTooLarge, balancer.Abandoned},
		"past timeout": {os.ErrDeadlineExceeded, http.StatusGatewayTimeout, balancer.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				f.respond = func(int) (*courier.Response, error) {
					return nil, fmt.Errorf("%w: %w: %w", courier.ErrNoResponse, courier.ErrIncompleteBody, c.cause)
				}
				w := handle(f, http.MethodPost, "/book/1", nil)
				assertOutcome(t, name, w, c.status, 1, f)
				if got := f.finishedAttempts[0].Result; got != c.result {
					t.Errorf("result %v, want %v", got, c.result)
				}
			})
		})
	}
}

// startServer starts an HTTP server in front of the fixture's steerer.
func startServer(t *testing.T, f *fixture) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(f.steerer)
	t.Cleanup(server.Close)
	return server
}

// post sends a non-idempotent request with a body and returns the status, or 0 if
// there is no response.
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

// Guards against a request that never ends because its body does not arrive.
func TestLateBody(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := startServer(t, f)
		body, bodyWriter := io.Pipe()
		defer bodyWriter.Close()
		start := time.Now()
		if status := post(t, server, body); status != http.StatusRequestTimeout {
			t.Errorf("status %d, want 408", status)
		}
		if elapsed := time.Since(start); elapsed > 5*time.Second {
			t.Errorf("took %v for a request with a deadline of 300 ms", elapsed)
		}
		server.Close()
		if len(f.sentRequests) != 0 {
			t.Error("a request with an incomplete body was sent")
		}
	})
}

// Guards against checking the body limit only against the Content-Length header.
func TestLargeBodyWithoutLength(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := startServer(t, f)
		if status := post(t, server, io.MultiReader(strings.NewReader(strings.Repeat("x", 1001)))); status != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d, want 413", status)
		}
		if status := post(t, server, io.MultiReader(strings.NewReader(strings.Repeat("x", 1000)))); status != http.StatusOK {
			t.Errorf("status %d for a body within the limit, want 200", status)
		}
	})
}

// A panic fails only its own request, which then no longer counts as in flight.
func TestPanic(t *testing.T) {
	withSteerer(t, func(f *fixture) {
		server := startServer(t, f)
		f.respond = func(n int) (*courier.Response, error) {
			if n == 0 {
				panic("broken")
			}
			return okResponse("ok"), nil
		}
		if status := post(t, server, strings.NewReader("x")); status != 0 {
			t.Errorf("status %d, want none", status)
		}
		server.Close() // waits for the handler
		if len(f.finishedAttempts) != 1 || f.finishedAttempts[0].Result != balancer.Abandoned {
			t.Errorf("attempts %v, want one that was abandoned", f.finishedAttempts)
		}
		server = startServer(t, f)
		if status := post(t, server, strings.NewReader("x")); status != http.StatusOK {
			t.Errorf("status %d of the next request, want 200", status)
		}
		server.Close()
		if len(f.finishedAttempts) != 2 {
			t.Errorf("%d attempts done, want 2", len(f.finishedAttempts))
		}
	})
}

// TestLateRequestSentDuringStop guards against requests that are sent to servers when the host
// is about to end, and cut with it.
func TestLateRequestSentDuringStop(t *testing.T) {
	const lastSend, end = 1000, 2000
	cases := []struct {
		name, method, path string
		// at is the time of the request, and bodyAt that of the end of its body.
		at, bodyAt           clock.Millis
		wantStatus, wantSent int
	}{
		{"in the lame-duck period", http.MethodGet, "/look/", 900, 900, http.StatusOK, 1},
		{"after it", http.MethodGet, "/look/", 1000, 1000, http.StatusServiceUnavailable, 0},
		{"not repeatable, after it", http.MethodPost, "/book/", 1500, 1500, http.StatusServiceUnavailable, 0},
		{"a body that ends after it", http.MethodPost, "/book/", 900, 1100, http.StatusServiceUnavailable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSteerer(t, func(f *fixture) {
				f.stop = &Stop{LastSend: lastSend, EndsAt: end}
				f.clock.Advance(c.at)
				w := handle(f, c.method, c.path, func(r *http.Request) {
					r.Body = io.NopCloser(readerFunc(func([]byte) (int, error) {
						f.clock.Advance(c.bodyAt - c.at)
						return 0, io.EOF
					}))
				})
				assertOutcome(t, c.name, w, c.wantStatus, c.wantSent, f)
				if w.Header().Get("Connection") != "close" {
					t.Error("the connection stays open")
				}
			})
		})
	}
	t.Run("a retry after it", func(t *testing.T) {
		withSteerer(t, func(f *fixture) {
			f.stop = &Stop{LastSend: lastSend, EndsAt: end}
			f.clock.Advance(900)
			f.respond = func(n int) (*courier.Response, error) {
				f.clock.Advance(200)
				if n == 0 {
					return nil, courier.ErrNoResponse
				}
				return okResponse("ok"), nil
			}
			assertOutcome(t, "idempotent", handle(f, http.MethodGet, "/look/", nil), http.StatusOK, 2, f)
		})
	})
	t.Run("no response is expected before the end", func(t *testing.T) {
		withSteerer(t, func(f *fixture) {
			f.stop = &Stop{LastSend: lastSend, EndsAt: lastSend + 10}
			f.clock.Advance(990)
			f.noCapacity = true
			w := handle(f, http.MethodPost, "/book/", nil)
			assertOutcome(t, "not repeatable", w, http.StatusServiceUnavailable, 0, f)
			if got := w.Header().Get("Retry-After"); got != "0.100" {
				t.Errorf("Retry-After %q, want 0.100 as for another host", got)
			}
		})
	})
}

// readerFunc is a reader made of a function.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

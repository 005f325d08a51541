package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/schema"
)

const markerHeaderLine = "Test-Request-Id: marked"

// connFailure describes where the fake server ends the connection of the marked request:
// after reading some bytes of the request, or after writing some of the response. A
// negative readBytes stands for the complete request.
type connFailure struct {
	readBytes    int
	writtenBytes int
	reset        bool
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// failingServer answers the warm-up request, if there is one, and then fails every
// connection that carries the marked request.
type failingServer struct {
	failure connFailure
	warmUp  bool

	mu     sync.Mutex
	copies int
}

func (c *failingServer) serve(s *serverConn) {
	if c.warmUp && s.index == 1 {
		if _, _, err := s.readRequest(); err != nil {
			return
		}
		_, _ = io.WriteString(s, completeResponse)
	}
	c.fail(s)
}

func (c *failingServer) fail(s *serverConn) {
	end := func() {
		if c.failure.reset {
			s.resetConn()
		} else {
			_ = s.Close()
		}
	}
	defer end()
	if c.failure.readBytes == 0 {
		return
	}
	if _, err := s.br.ReadByte(); err != nil {
		return
	}
	c.mu.Lock()
	c.copies++
	c.mu.Unlock()
	_ = s.br.UnreadByte()
	if c.failure.readBytes > 0 {
		_, _ = io.CopyN(io.Discard, s.br, int64(c.failure.readBytes))
		return
	}
	if _, _, err := s.readRequest(); err != nil {
		return
	}
	_, _ = io.WriteString(s, completeResponse[:c.failure.writtenBytes])
}

// nonIdempotentRequests lists the kinds of requests that net/http treats differently with
// respect to replays.
var nonIdempotentRequests = map[string]string{
	"post_body":          rawRequest("POST", "/svc/a", "payload", markerHeaderLine),
	"post_empty":         rawRequest("POST", "/svc/a", "", markerHeaderLine, "Content-Length: 0"),
	"post_x_idempotency": rawRequest("POST", "/svc/a", "", markerHeaderLine, "X-Idempotency-Key: k", "Content-Length: 0"),
	"post_idempotency":   rawRequest("POST", "/svc/a", "", markerHeaderLine, "Idempotency-Key: k", "Content-Length: 0"),
	"body_idempotency":   rawRequest("POST", "/svc/a", "payload", markerHeaderLine, "Idempotency-Key: k", "X-Idempotency-Key: k"),
	"post_chunked":       rawRequest("POST", "/svc/a", "", markerHeaderLine, "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n",
	"get":                rawRequest("GET", "/svc/a", "", markerHeaderLine),
	"head":               rawRequest("HEAD", "/svc/a", "", markerHeaderLine),
	"delete":             rawRequest("DELETE", "/svc/a", "", markerHeaderLine, "X-Idempotency-Key: k"),
}

func makeConnFailures() []connFailure {
	var list []connFailure
	for _, reset := range []bool{false, true} {
		for _, n := range []int{0, 1, 4, 40, 120, 150} {
			list = append(list, connFailure{readBytes: n, reset: reset})
		}
		for n := range len(completeResponse) + 1 {
			list = append(list, connFailure{readBytes: -1, writtenBytes: n, reset: reset})
		}
	}
	return list
}

// TestAtMostOnce guards against a second copy of a non-idempotent request and against a
// false not_run, wherever its connection fails.
func TestAtMostOnce(t *testing.T) {
	for name, raw := range nonIdempotentRequests {
		for _, warmUp := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%t", name, warmUp), func(t *testing.T) {
				for _, fail := range makeConnFailures() {
					synctest.Test(t, func(t *testing.T) { testAtMostOnce(t, raw, warmUp, fail) })
				}
			})
		}
	}
}

func testAtMostOnce(t *testing.T, raw string, warmUp bool, fail connFailure) {
	c := &failingServer{failure: fail, warmUp: warmUp}
	fx := newFixture(t, c.serve)
	defer fx.close()
	fx.svc.IdempotentMethods = []string{"PUT"}
	if warmUp {
		if got := fx.call(rawRequest("POST", "/svc/warm", "x")); got.status != 200 {
			t.Fatalf("warm-up request failed: %+v", got)
		}
		synctest.Wait()
	}
	got := fx.call(raw)
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies > 1 {
		t.Fatalf("%+v: %d copies were sent", fail, c.copies)
	}
	if c.copies > 0 && got.outcome() == NotRun {
		t.Errorf("%+v: outcome is not_run after bytes were sent", fail)
	}
	complete := fail.readBytes < 0 && fail.writtenBytes == len(completeResponse)
	head := strings.HasPrefix(raw, "HEAD")
	if complete && !head && (got.status != 200 || got.body != "hello" || got.err != nil) {
		t.Errorf("%+v: complete response was not passed on: %+v", fail, got)
	}
	if !complete && !head && got.status == 200 && got.err == nil {
		t.Errorf("%+v: response was cut short but forwarded as complete: %q", fail, got.body)
	}
	if got.status == 0 && got.err == nil {
		t.Errorf("%+v: got neither a response nor an error", fail)
	}
}

// TestNoHiddenReplay guards against copies of an idempotent request that were not taken
// from the retry budget.
func TestNoHiddenReplay(t *testing.T) {
	for _, fail := range makeConnFailures() {
		synctest.Test(t, func(t *testing.T) {
			c := &failingServer{failure: fail, warmUp: true}
			fx := newFixture(t, c.serve)
			defer fx.close()
			assertEqual(t, fx.call(rawRequest("GET", "/svc/warm", "")).status, 200, "warm-up status")
			synctest.Wait()
			// The budget is empty, so that an idempotent GET is not sent again either.
			_ = fx.call(rawRequest("GET", "/svc/a", "", markerHeaderLine))
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.copies > 1 {
				t.Errorf("%+v: %d copies were sent with an empty retry budget", fail, c.copies)
			}
		})
	}
}

// TestDialFailure guards against may_have_run for a request that was never sent.
func TestDialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, serveOK)
		defer fx.close()
		fx.dialErr = &net.OpError{Op: "dial", Err: errors.New("refused")}
		got := fx.call(rawRequest("POST", "/svc/a", "x", "Idempotency-Key: k"))
		assertEqual(t, got.outcome(), NotRun, "outcome")
		assertEqual(t, got.header.Get("Retry-After"), "1", "Retry-After")
		if !strings.Contains(got.body, `"error":"connect_failed","outcome":"not_run","retry_after_ms":1000`) {
			t.Errorf("body %q", got.body)
		}
		assertEqual(t, len(fx.excluded), maxAttempts, "permits used")
		assertEqual(t, fx.results[0], schema.PermitResult_PERMIT_RESULT_FAILED, "permit result")
		fx.dialErr = nil
		assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "x", "Idempotency-Key: k")).status, 200, "status after release of the claim")
		again := fx.call(rawRequest("POST", "/svc/a", "x", "Idempotency-Key: k"))
		assertEqual(t, again.header.Get(RecordedHeader), "true", "recorded header")
		assertEqual(t, again.status, 200, "recorded status")
		assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "y", "Idempotency-Key: k")).status, 422, "status for a different body")
	})
}

// TestLongIdle guards against a non-idempotent request that uses a connection that was idle for too long.
func TestLongIdle(t *testing.T) {
	for name, raw := range nonIdempotentRequests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveOK)
				defer fx.close()
				fx.svc.IdempotentMethods = []string{"PUT"}
				assertEqual(t, fx.call(rawRequest("POST", "/svc/warm", "x")).status, 200, "warm-up status")
				sleep(maxNonIdempotentIdle * 2)
				assertEqual(t, fx.call(raw).status, 200, "status")
				assertEqual(t, fx.dials, 2, "connections")
			})
		})
	}
}

// TestConnTrackerBlocksReplay guards against a second copy if net/http considers the
// request replayable: connTracker alone must prevent it.
func TestConnTrackerBlocksReplay(t *testing.T) {
	for _, fail := range makeConnFailures() {
		synctest.Test(t, func(t *testing.T) {
			c := &failingServer{failure: fail, warmUp: true}
			fx := newFixture(t, c.serve)
			defer fx.close()
			assertEqual(t, fx.call(rawRequest("GET", "/svc/warm", "")).status, 200, "warm-up status")
			synctest.Wait()
			tracker := &connTracker{nonIdempotent: true}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(tracker.withTrace(ctx), http.MethodGet, "http://s0:80/svc/a", nil)
			assertNoError(t, err, "request")
			resp, err := fx.transport.RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			} else if copies := tracker.abort(); copies == 0 && c.count() > 0 {
				t.Errorf("%+v: 0 copies reported, but %d were sent", fail, c.count())
			}
			synctest.Wait()
			if c.count() > 1 {
				t.Errorf("%+v: %d copies were sent", fail, c.count())
			}
		})
	}
}

func (c *failingServer) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies
}

// failingTransport fails without revealing whether it sent anything.
type failingTransport struct {
	err   error
	calls int
}

func (f *failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	f.calls++
	return nil, f.err
}

// TestUntrackedTransport guards against a false not_run and against a second copy if the
// connections of the transport cannot be tracked.
func TestUntrackedTransport(t *testing.T) {
	for _, tc := range []struct {
		err     error
		outcome Outcome
		calls   int
	}{
		{io.ErrUnexpectedEOF, MayHaveRun, 1},
		{&net.OpError{Op: "read", Err: io.EOF}, MayHaveRun, 1},
		{&net.OpError{Op: "dial", Err: io.EOF}, NotRun, maxAttempts},
	} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, serveOK)
			defer fx.close()
			transport := &failingTransport{err: tc.err}
			cfg := fx.f.cfg
			cfg.Transport = transport
			fx.f = New(cfg)
			fx.server.Handler = fx.f
			assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "x")).outcome(), tc.outcome, "outcome")
			assertEqual(t, transport.calls, tc.calls, "calls")
		})
	}
}

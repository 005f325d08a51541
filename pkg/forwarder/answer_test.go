package forwarder

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/limiter"
	"catkindyke/pkg/schema"
)

// serveRaw answers each request with raw bytes. If closeAfter is set, it closes the
// connection after the first response.
func serveRaw(raw string, closeAfter bool) func(*serverConn) {
	return func(s *serverConn) {
		for {
			if _, _, err := s.readRequest(); err != nil {
				return
			}
			if _, err := io.WriteString(s, raw); err != nil || closeAfter {
				_ = s.Close()
				return
			}
		}
	}
}

// TestInvalidResponses guards against a truncated or ambiguous response that reaches the
// caller as a complete one.
func TestInvalidResponses(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, raw := range map[string]string{
		"short_length":        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
		"cut_chunk":           chunked + "9\r\nhello",
		"cut_before_last":     chunked + "5\r\nhello\r\n",
		"cut_in_last":         chunked + "5\r\nhello\r\n0\r\n",
		"cut_trailer":         chunked + "5\r\nhello\r\n0\r\nX-Sum: ",
		"bad_chunk_size":      chunked + "zz\r\nhello\r\n0\r\n\r\n",
		"close_delimited":     "HTTP/1.1 200 OK\r\n\r\nhello",
		"http_1_0":            "HTTP/1.0 200 OK\r\n\r\nhello",
		"two_lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"bad_length":          "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
		"unexpected_upgrade":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"not_http":            "SSH-2.0-server\r\n\r\n",
		"informational_only":  "HTTP/1.1 103 Early Hints\r\n\r\n",
		"header_over_limit":   "HTTP/1.1 200 OK\r\nX-Big: " + strings.Repeat("a", 2*maxResponseHeaderBytes) + "\r\n\r\n",
		"cut_status_line":     "HTTP/1.1 20",
		"unknown_coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
		"closed_without_byte": "",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveRaw(raw, true))
				got := fx.call(rawRequest("POST", "/svc/a", "x"))
				if got.status == 200 && got.err == nil {
					t.Errorf("invalid response was forwarded as complete: %+v", got)
				}
				// Without a status, the caller saw its connection close, which is a visible failure.
				cut := got.status == 200 || got.err != nil
				if !cut && (got.status != 502 || got.outcome() != MayHaveRun) {
					t.Errorf("refusal %+v, want status 502 and outcome may_have_run", got)
				}
				synctest.Wait()
				fx.close()
				assertEqual(t, strings.Count(fx.log.String(), `"message":"request"`), 1, "log lines")
				assertEqual(t, fx.meter.Get("requests"), int64(1), "requests counted")
				if cut {
					assertEqual(t, fx.meter.Get("answers_cut"), int64(1), "answers cut")
				}
			})
		})
	}
}

// TestValidResponses guards against lost parts of a complete response and against forged
// catkindyke headers.
func TestValidResponses(t *testing.T) {
	for _, tc := range []struct{ name, method, raw, body string }{
		{"length", "GET", completeResponse, "hello"},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"early_hints", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeResponse, "hello"},
		{"many_hints", "GET", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + completeResponse, "hello"},
		{"no_content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"not_modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", ""},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
		{"forged_outcome", "GET", "HTTP/1.1 200 OK\r\nCatkindyke-Outcome: not_run\r\nCatkindyke-Recorded: true\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveRaw(tc.raw, false))
				defer fx.close()
				for range 3 {
					got := fx.call(rawRequest(tc.method, "/svc/a", ""))
					assertNoError(t, got.err, "call")
					assertEqual(t, got.body, tc.body, "body")
					assertEqual(t, got.header.Get(ServerHeader), "s0", "server")
					assertEqual(t, got.header.Get(OutcomeHeader)+got.header.Get(RecordedHeader), "", "forged headers")
					synctest.Wait()
				}
				assertEqual(t, fx.dials, 1, "connections")
			})
		})
	}
}

// TestTrailers guards against lost trailers and against trailers that carry keys or forged headers.
func TestTrailers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gotTrailer http.Header
		fx := newFixture(t, func(s *serverConn) {
			req, _, err := s.readRequest()
			if err != nil {
				return
			}
			gotTrailer = req.Trailer
			_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nTrailer: X-Sum, Catkindyke-Outcome\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"5\r\nhello\r\n0\r\nX-Sum: 7\r\nCatkindyke-Outcome: not_run\r\n\r\n")
		})
		defer fx.close()
		raw := rawRequest("POST", "/svc/a", "", "Transfer-Encoding: chunked", "Trailer: X-Check, Catkindyke-Key, Authorization") +
			"3\r\nabc\r\n0\r\nX-Check: 1\r\nCatkindyke-Key: secret\r\nAuthorization: Bearer secret\r\nX-Late: 2\r\n\r\n"
		got := fx.call(raw)
		assertNoError(t, got.err, "call")
		assertEqual(t, got.trailer.Get("X-Sum"), "7", "response trailer")
		assertEqual(t, got.trailer.Get(OutcomeHeader), "", "forged outcome in the trailer")
		assertEqual(t, gotTrailer.Get("X-Check"), "1", "request trailer")
		assertEqual(t, len(gotTrailer), 1, "number of request trailers")
	})
}

// TestSurplusBytes guards against bytes after a response that are taken as the response to
// the next request on the connection, which may come from another caller. With a single
// connection and waiting requests, net/http has no time to notice the surplus.
func TestSurplusBytes(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs the surplus bytes
	defer log.SetOutput(os.Stderr)
	mismatched := int64(0)
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, serveRaw(completeResponse+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged", false))
			fx.transport.MaxConnsPerHost = 1
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					if got := fx.call(rawRequest("POST", "/svc/a", "x")); got.body == "forged" {
						t.Error("a caller received the surplus bytes as its response")
					}
				})
			}
			wg.Wait()
			fx.close()
			mismatched += fx.meter.Get("refused_foreign_answer")
		})
	}
	t.Logf("%d answers were refused as foreign", mismatched)
}

// TestCallerGone guards against a backend server that keeps working after the caller has
// closed its connection, and against a missing log line.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Duration
		start := time.Now()
		fx := newFixture(t, func(s *serverConn) {
			_, _, _ = s.readRequest()
			_, _ = s.br.ReadByte()
			ended = time.Since(start)
		})
		c := fx.connect()
		_, err := io.WriteString(c, rawRequest("POST", "/svc/a", "x"))
		assertNoError(t, err, "send")
		sleep(time.Second)
		_ = c.Close()
		synctest.Wait()
		assertEqual(t, ended, time.Second, "time until the backend connection closed")
		fx.close()
		assertEqual(t, strings.Count(fx.log.String(), `"reason":"caller_gone"`), 1, "log lines")
		assertEqual(t, fx.results[0], schema.PermitResult_PERMIT_RESULT_UNUSED, "permit result")
	})
}

// TestRefusals guards against a refusal without an outcome and against work for a request
// that cannot succeed.
func TestRefusals(t *testing.T) {
	big := strings.Repeat("a", 70<<10)
	for _, tc := range []struct {
		name, raw string
		status    int
		reason    string
	}{
		{"upgrade", rawRequest("GET", "/svc/a", "", "Connection: Upgrade", "Upgrade: websocket"), 501, "upgrade_not_supported"},
		{"trace", rawRequest("TRACE", "/svc/a", ""), 501, "method_not_supported"},
		{"declared_body", rawRequest("POST", "/svc/a", big), 413, "body_too_large"},
		{"short_deadline", rawRequest("GET", "/svc/a", "", "Catkindyke-Deadline-Ms: 9"), 504, "deadline_too_short"},
		{"bad_deadline", rawRequest("GET", "/svc/a", "", "Catkindyke-Deadline-Ms: soon"), 400, "bad_deadline"},
		{"two_deadlines", rawRequest("GET", "/svc/a", "", "Catkindyke-Deadline-Ms: 50", "Catkindyke-Deadline-Ms: 60"), 400, "bad_deadline"},
		{"two_keys", rawRequest("GET", "/svc/a", "", "Authorization: Bearer other"), 401, "bad_key"},
		{"two_idempotency_keys", rawRequest("POST", "/svc/a", "", "Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0"), 400, "ambiguous_idempotency_key"},
		{"long_idempotency_key", rawRequest("POST", "/svc/a", "x", "Idempotency-Key: "+strings.Repeat("k", 256)), 400, "bad_idempotency_key"},
		{"unknown_service", rawRequest("GET", "/other", ""), 404, "unknown_service"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveOK)
				defer fx.close()
				fx.svc.MaxBodyBytes, fx.svc.ServiceTimeMs = 64<<10, 10
				got := fx.call(tc.raw)
				assertEqual(t, got.status, tc.status, "status")
				assertEqual(t, got.outcome(), NotRun, "outcome")
				if !strings.Contains(got.body, `"error":"`+tc.reason+`"`) {
					t.Errorf("body %q, want reason %s", got.body, tc.reason)
				}
				assertEqual(t, fx.dials, 0, "connections")
			})
		})
	}
}

// TestRateVerdicts guards against a host without a share that reports the workspace as over
// its rate, so that callers do not try another host.
func TestRateVerdicts(t *testing.T) {
	for _, tc := range []struct {
		verdict limiter.Verdict
		status  int
		body    string
	}{
		{limiter.OverRate, 429, `{"error":"rate_limited","outcome":"not_run","retry_after_ms":250}`},
		{limiter.NoShare, 503, `{"error":"no_share","outcome":"not_run","retry_after_ms":250}`},
	} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, serveOK)
			defer fx.close()
			fx.verdict, fx.retryAfter = tc.verdict, 250
			got := fx.call(rawRequest("GET", "/svc/a", ""))
			assertEqual(t, got.status, tc.status, "status")
			assertEqual(t, strings.TrimSpace(got.body), tc.body, "body")
			assertEqual(t, fx.dials, 0, "connections")
		})
	}
}

// TestRevokedWhileQueued guards against a request that is sent although its key was
// revoked, or its deadline passed, while it waited for a slot.
func TestRevokedWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, serveOK)
		defer fx.close()
		fx.duringAcquire = func(context.Context) error {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			fx.keys = &schema.Keys{}
			return nil
		}
		got := fx.call(rawRequest("POST", "/svc/a", "x"))
		assertEqual(t, got.status, 401, "status")
		assertEqual(t, got.outcome(), NotRun, "outcome")
		assertEqual(t, fx.results[0], schema.PermitResult_PERMIT_RESULT_UNUSED, "permit result")
		assertEqual(t, fx.dials, 0, "connections")
	})
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, serveOK)
		defer fx.close()
		fx.duringAcquire = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		got := fx.call(rawRequest("POST", "/svc/a", "x", "Catkindyke-Deadline-Ms: 50"))
		assertEqual(t, got.status, 504, "status")
		assertEqual(t, got.outcome(), NotRun, "outcome")
		fx.duringAcquire = func(context.Context) error { return &AcquireError{Reason: "queue_full", RetryAfter: 1500} }
		got = fx.call(rawRequest("POST", "/svc/a", "x"))
		assertEqual(t, got.header.Get("Retry-After"), "2", "Retry-After")
		fx.duringAcquire = func(context.Context) error { return errors.New("no server") }
		assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "x")).status, 503, "status")
	})
}

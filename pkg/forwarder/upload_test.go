package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/schema"
)

// slowCall sends parts of a request with a pause after each, and reads the response.
func slowCall(fx *fixture, pause time.Duration, parts ...string) response {
	c := fx.connect()
	defer c.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
			select {
			case <-time.After(pause):
			case <-done:
			}
		}
	}()
	return readResponse(c, false)
}

// TestStalledUpload guards against an upload that stalls and keeps its slot.
func TestStalledUpload(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		outcome    Outcome
		permits    int
	}{
		{"buffered", rawRequest("POST", "/svc/a", "", "Content-Length: 100"), NotRun, 0},
		{"length", rawRequest("POST", "/svc/a", "", "Content-Length: 100000"), MayHaveRun, 1},
		{"chunked", rawRequest("POST", "/svc/a", "", "Transfer-Encoding: chunked") + "5\r\nhello\r\n", MayHaveRun, 1},
		{"idempotent", rawRequest("PUT", "/svc/a", "", "Content-Length: 100000"), MayHaveRun, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveOK)
				defer fx.close()
				fx.svc.ProgressTimeoutMs, fx.svc.DeadlineMs = 2000, 60000
				start := time.Now()
				got := slowCall(fx, time.Hour, tc.head)
				assertEqual(t, time.Since(start), 2*time.Second, "time until the refusal")
				assertEqual(t, got.status, 408, "status")
				assertEqual(t, got.outcome(), tc.outcome, "outcome")
				if !strings.Contains(got.body, `"upload_stalled"`) {
					t.Errorf("body %q", got.body)
				}
				synctest.Wait()
				assertEqual(t, len(fx.results), tc.permits, "released permits")
				for _, r := range fx.results {
					assertEqual(t, r, schema.PermitResult_PERMIT_RESULT_UNUSED, "permit result")
				}
			})
		})
	}
}

// TestSlowUpload guards against a total timeout: an upload that makes progress may exceed
// the service's deadline, but not one set by the caller.
func TestSlowUpload(t *testing.T) {
	for _, tc := range []struct {
		header string
		status int
	}{{"", 200}, {"Catkindyke-Deadline-Ms: 3000\r\n", 504}} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, serveOK)
			defer fx.close()
			fx.svc.ProgressTimeoutMs, fx.svc.DeadlineMs = 2000, 4000
			head := rawRequest("POST", "/svc/a", "", "Transfer-Encoding: chunked")
			parts := []string{strings.Replace(head, "\r\n", "\r\n"+tc.header, 1)}
			for range 10 {
				parts = append(parts, "5\r\nhello\r\n")
			}
			got := slowCall(fx, 1500*time.Millisecond, append(parts, "0\r\n\r\n")...)
			assertEqual(t, got.status, tc.status, "status")
		})
	}
}

// TestUploadLimit guards against a body that exceeds the limit without declaring its length.
func TestUploadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, serveOK)
		defer fx.close()
		fx.svc.MaxBodyBytes = 10
		raw := rawRequest("POST", "/svc/a", "", "Transfer-Encoding: chunked") + "b\r\nhello world\r\n0\r\n\r\n"
		got := fx.call(raw)
		assertEqual(t, got.status, 413, "status")
		assertEqual(t, got.outcome(), MayHaveRun, "outcome")
	})
}

// TestStalledBackend guards against a backend server that stops reading an upload, or stops
// in the middle of a response, and keeps the slot.
func TestStalledBackend(t *testing.T) {
	for name, tc := range map[string]struct {
		serve  func(*serverConn)
		reason string
	}{
		"reading": {func(s *serverConn) { _, _ = http.ReadRequest(s.br) }, "backend_silent"},
		"answering": {func(s *serverConn) {
			_, _, _ = s.readRequest()
			_, _ = io.WriteString(s, completeResponse[:len(completeResponse)-2])
		}, "answer_stalled"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, tc.serve)
				fx.svc.ProgressTimeoutMs, fx.svc.DeadlineMs = 2000, 60000
				start := time.Now()
				got := fx.call(rawRequest("POST", "/svc/a", strings.Repeat("x", 100<<10)))
				if got.status == 200 && got.err == nil {
					t.Errorf("truncated response was forwarded as complete: %+v", got)
				}
				assertEqual(t, time.Since(start), 2*time.Second, "time until the request ended")
				synctest.Wait()
				fx.close()
				if !strings.Contains(fx.log.String(), `"reason":"`+tc.reason+`"`) {
					t.Errorf("log %s does not contain reason %s", fx.log.String(), tc.reason)
				}
			})
		})
	}
}

// TestStalledCaller guards against a caller that stops reading its response and keeps a slot forever.
func TestStalledCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, func(s *serverConn) {
			_, _, _ = s.readRequest()
			_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1000000))
		})
		fx.svc.ProgressTimeoutMs = 2000
		c := fx.connect()
		_, err := io.WriteString(c, rawRequest("GET", "/svc/a", ""))
		assertNoError(t, err, "send")
		sleep(2 * time.Second)
		synctest.Wait()
		assertEqual(t, len(fx.results), 1, "released permits")
		fx.close()
		if !strings.Contains(fx.log.String(), `"reason":"caller_stalled"`) {
			t.Errorf("log %s does not contain reason caller_stalled", fx.log.String())
		}
	})
}

// TestExpectContinue guards against an upload that waits forever for 100 Continue.
func TestExpectContinue(t *testing.T) {
	for _, body := range []string{"hello", strings.Repeat("x", 100<<10)} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, serveOK)
			defer fx.close()
			c := fx.connect()
			defer c.Close()
			go func() {
				raw := rawRequest("POST", "/svc/a", body, "Expect: 100-continue")
				_, _ = io.WriteString(c, strings.TrimSuffix(raw, body))
			}()
			line := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
			_, err := io.ReadFull(c, line)
			assertNoError(t, err, "read")
			assertEqual(t, string(line), "HTTP/1.1 100 Continue\r\n\r\n", "interim response")
			go func() { _, _ = io.WriteString(c, body) }()
			assertEqual(t, readResponse(c, false).status, 200, "status")
		})
	}
}

// TestEarlyResponse guards against a lost response, or a slot that is not released, if the
// backend server responds before the upload has ended.
func TestEarlyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, func(s *serverConn) {
			_, _ = http.ReadRequest(s.br)
			_, _ = io.WriteString(s, "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\nno")
		})
		defer fx.close()
		got := slowCall(fx, time.Hour, rawRequest("POST", "/svc/a", "", "Content-Length: 100000"))
		assertEqual(t, got.status, 403, "status")
		assertEqual(t, got.body, "no", "body")
		synctest.Wait()
		assertEqual(t, len(fx.results), 1, "released permits")
	})
}

// TestSilentConnection guards against reuse of a connection that no longer responds, and
// against a server that is considered at fault because of it.
func TestSilentConnection(t *testing.T) {
	for _, tc := range []struct {
		method string
		status int
	}{{"PUT", 200}, {"POST", 504}} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, func(s *serverConn) {
				if s.index != 1 {
					serveOK(s)
					return
				}
				if _, _, err := s.readRequest(); err == nil {
					_, _ = io.WriteString(s, completeResponse)
				}
				_, _ = io.Copy(io.Discard, s) // reads and never responds again
			})
			defer fx.close()
			fx.svc.ProgressTimeoutMs, fx.svc.DeadlineMs = 2000, 30000
			for range 20 {
				fx.f.retryBudget.CountRequest(10)
			}
			assertEqual(t, fx.call(rawRequest("PUT", "/svc/a", "x")).status, 200, "warm-up status")
			sleep(time.Second)
			start := time.Now()
			got := fx.call(rawRequest(tc.method, "/svc/a", "x", markerHeaderLine))
			assertEqual(t, got.status, tc.status, "status on the silent connection")
			assertEqual(t, time.Since(start), 2*time.Second, "time until detection")
			assertEqual(t, fx.results[1], schema.PermitResult_PERMIT_RESULT_UNUSED, "permit result")
			start = time.Now()
			assertEqual(t, fx.call(rawRequest(tc.method, "/svc/a", "x")).status, 200, "status of the next request")
			assertEqual(t, time.Since(start), 0, "response time of the next request")
		})
	}
}

// TestSilenceWithinDeadline guards against one silent connection that uses up the deadline
// of an idempotent request, and against slow responses that are cut off to prevent this.
func TestSilenceWithinDeadline(t *testing.T) {
	for _, tc := range []struct {
		name, method string
		credit       int
		serviceMs    uint32
		status       int
		wantDuration time.Duration
	}{
		{"fails over", "PUT", 10, 10, 200, 2500 * time.Millisecond},
		{"no budget", "PUT", 0, 10, 504, 5 * time.Second},
		{"slow service", "PUT", 10, 500, 504, 5 * time.Second},
		{"not idempotent", "POST", 10, 10, 504, 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, func(s *serverConn) {
					if s.address == "s0:80" {
						_, _ = io.Copy(io.Discard, s)
						return
					}
					if _, _, err := s.readRequest(); err != nil {
						return
					}
					// The body pauses for longer than the wait for the first byte.
					_, _ = io.WriteString(s, completeResponse[:len(completeResponse)-1])
					sleep(4 * time.Second)
					_, _ = io.WriteString(s, completeResponse[len(completeResponse)-1:])
				})
				defer fx.close()
				fx.svc.ServiceTimeMs = tc.serviceMs
				for range tc.credit {
					fx.f.retryBudget.CountRequest(10)
				}
				start := time.Now()
				got := fx.call(rawRequest(tc.method, "/svc/a", "x"))
				assertEqual(t, got.status, tc.status, "status")
				elapsed := time.Since(start)
				if tc.status == 200 {
					assertEqual(t, got.body, "hello", "body")
					elapsed -= 4 * time.Second
				}
				assertEqual(t, elapsed, tc.wantDuration, "time until the response began")
			})
		})
	}
}

// TestSilentServer guards against a server that is silent on every connection and not
// considered at fault.
func TestSilentServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, func(s *serverConn) { _, _ = io.Copy(io.Discard, s) })
		defer fx.close()
		fx.svc.ProgressTimeoutMs, fx.svc.DeadlineMs = 2000, 30000
		for range 2 {
			assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "x")).outcome(), MayHaveRun, "outcome")
		}
		assertEqual(t, fx.results[0], schema.PermitResult_PERMIT_RESULT_UNUSED, "first result")
		assertEqual(t, fx.results[1], schema.PermitResult_PERMIT_RESULT_FAILED, "second result")
	})
}

// TestDeadlinePassed guards against a wait for the first byte of a response beyond the
// deadline, and against a false not_run.
func TestDeadlinePassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gotTimeLeft string
		var mu sync.Mutex
		fx := newFixture(t, func(s *serverConn) {
			req, _, err := s.readRequest()
			if err == nil {
				mu.Lock()
				gotTimeLeft = req.Header.Get(DeadlineHeader)
				mu.Unlock()
			}
			_, _ = io.Copy(io.Discard, s)
		})
		defer fx.close()
		start := time.Now()
		got := fx.call(rawRequest("GET", "/svc/a", "", "Catkindyke-Deadline-Ms: 700"))
		assertEqual(t, time.Since(start), 700*time.Millisecond, "time until the refusal")
		assertEqual(t, got.status, 504, "status")
		assertEqual(t, got.outcome(), MayHaveRun, "outcome")
		mu.Lock()
		defer mu.Unlock()
		assertEqual(t, gotTimeLeft, "700", "time left passed on to the backend server")
	})
}

// TestAmplification guards against a retry storm when a third of the servers fails.
func TestAmplification(t *testing.T) {
	for _, kind := range []string{"status", "close", "dial"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 3000
				succeeded := runWithFailingThird(t, kind, requests)
				t.Logf("%s: %d of %d requests answered", kind, succeeded, requests)
			})
		})
	}
}

func runWithFailingThird(t *testing.T, kind string, requests int) (succeeded int) {
	var mu sync.Mutex
	sent := 0
	fx := newFixture(t, nil)
	defer fx.close()
	fx.serve = func(s *serverConn) {
		for {
			req, _, err := s.readRequest()
			if err != nil {
				return
			}
			mu.Lock()
			sent++
			mu.Unlock()
			rawResponse := completeResponse
			if failing := strings.HasPrefix(req.URL.Path, "/svc/fail") && req.Header.Get("Fail-First") == s.address; failing {
				if kind == "close" {
					_ = s.Close()
					return
				}
				rawResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(s, rawResponse)
		}
	}
	for n := range requests {
		// Every third request names a failing server: s1 for every ninth request, otherwise s0.
		path, failingAddress := "/svc/ok", "none"
		if n%3 == 0 {
			path, failingAddress = "/svc/fail", "s0:80"
			if n%9 == 0 {
				failingAddress = "s1:80"
			}
		}
		fx.mu.Lock()
		fx.refusedAddress = ""
		if kind == "dial" && failingAddress != "none" {
			fx.refusedAddress = failingAddress
		}
		fx.mu.Unlock()
		if kind == "dial" {
			fx.transport.CloseIdleConnections()
		}
		if fx.call(rawRequest("GET", path, "", fmt.Sprintf("Fail-First: %s", failingAddress))).status == 200 {
			succeeded++
		}
		synctest.Wait()
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%s: amplification %.3f, retries %d", kind, float64(sent)/float64(requests), fx.meter.Get("retries"))
	if sent*10 > requests*11 {
		t.Errorf("%d requests sent for %d received, want a ratio of at most 1.1", sent, requests)
	}
	assertEqual(t, fx.meter.Get("sent"), int64(sent), "copies counted")
	return succeeded
}

package forwarder

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"catkindyke/pkg/authenticator"
)

// TestRequestHeader guards against headers that must not reach a backend server and against
// the loss of those that must.
func TestRequestHeader(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-One", "x-two , Catkindyke-Workspace"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"},
		"Keep-Alive": {"5"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"}, "Proxy-Connection": {"x"},
		"Catkindyke-Key": {"secret"}, "Authorization": {"Basic secret"}, "Proxy-Authorization": {"secret"},
		"Catkindyke-Workspace": {"other"}, "Catkindyke-Outcome": {"not_run"}, "Idempotency-Key": {"k"},
		"X-Idempotency-Key": {"k2"}, "X-Forwarded-For": {"10.0.0.1"}, "Catkindyke-Deadline-Ms": {"5"},
	}
	before := maps.Clone(in)
	out := requestHeader(in, "ws", "192.0.2.7:4000", false)
	assertEqual(t, strings.Join(slices.Sorted(maps.Keys(out)), " "),
		"Catkindyke-Workspace User-Agent X-Forwarded-For X-Three idempotency-key x-idempotency-key", "names")
	assertEqual(t, out["X-Forwarded-For"][0], "192.0.2.7", "address of an untrusted peer")
	assertEqual(t, out.Get(WorkspaceHeader), "ws", "workspace")
	assertEqual(t, len(in), len(before), "number of fields in the caller's header")
	out = requestHeader(in, "", "192.0.2.7:4000", true)
	assertEqual(t, out["X-Forwarded-For"][0], "10.0.0.1, 192.0.2.7", "addresses of a trusted peer")
	assertEqual(t, out.Get(WorkspaceHeader), "", "workspace of an open route")
}

// TestKeyNeverForwarded guards against a key that reaches a backend server in any form, on
// the first attempt or on a retry.
func TestKeyNeverForwarded(t *testing.T) {
	for name, raw := range map[string]string{
		"header":   rawRequest("GET", "/svc/a", "", "Proxy-Authorization: Bearer "+testKey),
		"bearer":   strings.Replace(rawRequest("GET", "/svc/a", ""), "Catkindyke-Key: ", "authorization: bearer ", 1),
		"lower":    strings.Replace(rawRequest("GET", "/svc/a", ""), "Catkindyke-Key", "catkindyke-key", 1),
		"named":    rawRequest("GET", "/svc/a", "", "Connection: Catkindyke-Key, close"),
		"open":     rawRequest("GET", "/svc/open/a", "", "Authorization: Basic "+testKey),
		"trailers": rawRequest("PUT", "/svc/a", "", "Trailer: Catkindyke-Key, Proxy-Authorization", "Transfer-Encoding: chunked") + "0\r\nCatkindyke-Key: " + testKey + "\r\nProxy-Authorization: " + testKey + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				received := make(chan string, 10)
				fx := newFixture(t, func(s *serverConn) {
					var b strings.Builder
					s.br.Reset(io.TeeReader(s.Conn, &b))
					_, _, err := s.readRequest()
					if err == nil && s.address != "s0:80" {
						_, _ = io.WriteString(s, completeResponse)
					}
					_ = s.Close()
					received <- b.String()
				})
				defer fx.close()
				for range 20 {
					fx.f.retryBudget.CountRequest(10)
				}
				_ = fx.call(raw)
				synctest.Wait()
				close(received)
				copies := 0
				for got := range received {
					copies++
					if strings.Contains(got, testKey) {
						t.Errorf("key was sent to the backend server: %q", got)
					}
				}
				if copies == 0 || (name != "trailers" && copies != 2) {
					t.Errorf("backend servers received %d copies", copies)
				}
			})
		})
	}
}

// TestAmbiguousRequests guards against a request whose boundaries the backend server could
// interpret differently than this host (request smuggling).
func TestAmbiguousRequests(t *testing.T) {
	for name, raw := range map[string]string{
		"two_lengths":    rawRequest("POST", "/svc/a", "", "Content-Length: 3", "Content-Length: 4") + "abcd",
		"bad_length":     rawRequest("POST", "/svc/a", "", "Content-Length: +3") + "abc",
		"two_codings":    rawRequest("POST", "/svc/a", "", "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n",
		"space_in_name":  rawRequest("POST", "/svc/a", "", "Content-Length : 3") + "abc",
		"no_host":        "POST /svc/a HTTP/1.1\r\n\r\n",
		"two_hosts":      rawRequest("GET", "/svc/a", "", "Host: other"),
		"large_header":   rawRequest("GET", "/svc/a", "", "X-Big: "+strings.Repeat("a", 80<<10)),
		"newline_in_key": "GET /svc/a HTTP/1.1\r\nHost: a\r\nX: a\nb\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, serveOK)
				defer fx.close()
				got := fx.call(raw)
				if got.status < 400 || got.status > 501 {
					t.Errorf("status %d for an ambiguous request, want 400 to 501", got.status)
				}
				if name == "large_header" {
					assertEqual(t, got.status, 431, "status")
				}
				assertEqual(t, fx.dials, 0, "connections")
			})
		})
	}
}

// TestFoldedLine guards against a folded header line that is forwarded as it is. RFC 9112
// (section 5.2) requires it to be rejected or joined; net/http joins it.
func TestFoldedLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gotRequest *http.Request
		fx := newFixture(t, func(s *serverConn) {
			gotRequest, _, _ = s.readRequest()
			_, _ = io.WriteString(s, completeResponse)
		})
		defer fx.close()
		assertEqual(t, fx.call(rawRequest("POST", "/svc/a", "", "X-A: 1", " Content-Length: 3")).status, 200, "status")
		assertEqual(t, gotRequest.Header.Get("X-A"), "1 Content-Length: 3", "joined line")
		assertEqual(t, gotRequest.ContentLength, int64(0), "length")
	})
}

// TestLengthAndChunked guards against a declared length that is forwarded together with the
// chunked coding, which takes precedence.
func TestLengthAndChunked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gotRequest *http.Request
		var body string
		fx := newFixture(t, func(s *serverConn) {
			gotRequest, body, _ = s.readRequest()
			_, _ = io.WriteString(s, completeResponse)
		})
		defer fx.close()
		got := fx.call(rawRequest("POST", "/svc/a", "", "Content-Length: 3", "Transfer-Encoding: chunked") + "5\r\nhello\r\n0\r\n\r\n")
		if got.status == 400 {
			return // a refusal is correct as well
		}
		assertEqual(t, got.status, 200, "status")
		assertEqual(t, body, "hello", "body")
		assertEqual(t, gotRequest.Header.Get("Content-Length"), "", "declared length")
		assertEqual(t, gotRequest.Host, "example", "host")
	})
}

// FuzzRequestHeader guards against header fields that are forwarded although they must not be.
func FuzzRequestHeader(f *testing.F) {
	f.Add("Connection", "X-A, Catkindyke-Key", "X-A", "1")
	f.Add("catkindyke-key", "secret", "Authorization", "Bearer secret")
	f.Add("Connection", ",, ,X-A;q=1,\tX-B", "x-a", "")
	f.Add("Idempotency-Key", "k", "IDEMPOTENCY-KEY", "k")
	f.Add("Connection", "Connection, X-Forwarded-For, Catkindyke-Workspace", "X-Forwarded-For", "1.1.1.1")
	f.Fuzz(func(t *testing.T, k1, v1, k2, v2 string) {
		in := make(http.Header)
		in.Add(k1, v1)
		in.Add(k2, v2)
		in.Add(authenticator.KeyHeader, testKey)
		before := len(in)
		out := requestHeader(in, "ws", "192.0.2.7:1", false)
		assertEqual(t, len(in), before, "number of fields in the caller's header")
		for name := range out {
			canonical := http.CanonicalHeaderKey(name)
			if slices.Contains(hopByHopHeaders, canonical) || canonical == "Authorization" || canonical == authenticator.KeyHeader {
				t.Errorf("%q was passed on", name)
			}
			for _, v := range in.Values("Connection") {
				for listedName := range strings.SplitSeq(v, ",") {
					setByHost := name == WorkspaceHeader || name == "X-Forwarded-For" || name == "User-Agent"
					if http.CanonicalHeaderKey(strings.TrimSpace(listedName)) == name && !setByHost {
						t.Errorf("%q is listed in Connection but was passed on", name)
					}
				}
			}
		}
		if out["Idempotency-Key"] != nil || out["X-Idempotency-Key"] != nil {
			t.Error("net/http would treat the request as replayable")
		}
		assertEqual(t, out.Get(WorkspaceHeader), "ws", "workspace")
		assertEqual(t, out.Get("X-Forwarded-For"), "192.0.2.7", "forwarded address")
	})
}

// FuzzResponseHeader guards against a backend server that forges the headers of catkindyke.
func FuzzResponseHeader(f *testing.F) {
	f.Add("Catkindyke-Outcome", "not_run", "Connection", "X-A")
	f.Add("Connection", "Content-Length", "Content-Length", "5")
	f.Add("Connection", "Catkindyke-Backend-Server", "Catkindyke-Recorded", "true")
	f.Fuzz(func(t *testing.T, k1, v1, k2, v2 string) {
		in, out := make(http.Header), make(http.Header)
		in.Add(k1, v1)
		in.Add(k2, v2)
		copyResponseHeader(out, in, "s0")
		for _, name := range append([]string{OutcomeHeader, RecordedHeader}, hopByHopHeaders...) {
			if out[name] != nil {
				t.Errorf("%q was passed on", name)
			}
		}
		assertEqual(t, out.Get(ServerHeader), "s0", "server")
	})
}

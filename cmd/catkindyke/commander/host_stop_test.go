package commander

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/platform"
	"catkindyke/platform/emulator"
)

// openRequest connects to a host and sends the first bytes of a request, if any.
func openRequest(t *testing.T, address, firstBytes string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(c, firstBytes); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestStopServesAcceptedRequests checks that a planned stop serves every request whose
// connection the host has accepted: without a byte so far, with half a header, with
// half a body, or idle after an earlier request. A planned stop used to cut these off.
func TestStopServesAcceptedRequests(t *testing.T) {
	h := platform.Headers()
	header := fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: k1\r\n%s: r1\r\nContent-Length: 4\r\n\r\n", h.Key, h.RequestID)
	request := header + "body"
	withHost(t, func(_ *emulator.Store, settings platform.Settings, stop func()) {
		waitForStatus(t, "before the stop", "http://"+settings.CallerAddress+"/x/1", "k1", http.StatusOK)
		type caller struct {
			state, remaining string
			conn             net.Conn
		}
		var callers []caller
		for range 10 {
			for state, sent := range map[string]int{"no byte yet": 0, "half a header": len(header) / 2, "half a body": len(request) - 2} {
				callers = append(callers, caller{state, request[sent:], openRequest(t, settings.CallerAddress, request[:sent])})
			}
			idle := openRequest(t, settings.CallerAddress, request)
			expectOK(t, "idle connection", idle)
			callers = append(callers, caller{"idle connection", request, idle})
		}
		stop()
		for _, c := range callers {
			if _, err := fmt.Fprint(c.conn, c.remaining); err != nil {
				t.Errorf("%s: %v", c.state, err)
			}
		}
		for _, c := range callers {
			expectOK(t, c.state, c.conn)
			_ = c.conn.Close()
		}
	})
}

// TestStopCutsLateRequests guards against requests that a host takes late in a planned stop,
// sends to a server and cuts at the end of the grace period.
func TestStopCutsLateRequests(t *testing.T) {
	const grace = 8 * clock.Second
	h := platform.Headers()
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\n%s: k1\r\n%s: r1\r\nContent-Length: 4\r\n\r\n", slowPath, h.Key, h.RequestID)
	request := header + "body"
	withStoppedHost(t, grace, func(_ *emulator.Store, settings platform.Settings, stop func()) {
		waitForStatus(t, "before the stop", "http://"+settings.CallerAddress+"/x/1", "k1", http.StatusOK)
		callers := make(map[int]net.Conn)
		for _, sent := range []int{0, len(header) / 2, len(request) - 2} {
			callers[sent] = openRequest(t, settings.CallerAddress, request[:sent])
		}
		stop()
		time.Sleep(lameDuckPeriod + 500*time.Millisecond)
		for sent, c := range callers {
			if _, err := fmt.Fprint(c, request[sent:]); err != nil {
				t.Errorf("%d bytes sent before the stop: %v", sent, err)
			}
		}
		for sent, c := range callers {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("%d bytes sent before the stop: no response: %v", sent, err)
				continue
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("%d bytes sent before the stop: status %d, Retry-After %q, want 503 and a time", sent, resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			_ = resp.Body.Close()
			_ = c.Close()
		}
	})
}

// expectOK reads a complete response and checks that its status is 200.
func expectOK(t *testing.T, state string, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s: %v", state, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("%s: status %d, want 200", state, resp.StatusCode)
	}
}

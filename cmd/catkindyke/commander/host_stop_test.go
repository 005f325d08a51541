package commander

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"catkindyke/platform"
	"catkindyke/platform/emulator"
)

// openRequest connects to a host and sends the first part of a request, which may be empty.
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

// A planned stop cut off requests of other operators that had just been accepted:
// connections without a byte yet, with half a header, with half a body, and kept
// ones that were idle when the stop began.
func TestStopServesAcceptedRequests(t *testing.T) {
	h := platform.Headers()
	head := fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: k1\r\n%s: r1\r\nContent-Length: 4\r\n\r\n", h.Key, h.RequestID)
	request := head + "body"
	withHost(t, func(_ *emulator.Store, settings platform.Settings, stop func()) {
		waitForStatus(t, "before the stop", "http://"+settings.CallerAddress+"/x/1", "k1", http.StatusOK)
		type caller struct {
			state, remaining string
			conn             net.Conn
		}
		var callers []caller
		for range 10 {
			for state, sent := range map[string]int{"no byte yet": 0, "half a header": len(head) / 2, "half a body": len(request) - 2} {
				callers = append(callers, caller{state, request[sent:], openRequest(t, settings.CallerAddress, request[:sent])})
			}
			idle := openRequest(t, settings.CallerAddress, request)
			expectOK(t, "kept connection", idle)
			callers = append(callers, caller{"kept connection", request, idle})
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

// expectOK reads one whole answer and checks that it is a success.
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

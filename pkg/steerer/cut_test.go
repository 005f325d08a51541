package steerer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCutResponseLooksWhole guards against responses of servers that are cut on the way and look
// complete to the caller: an HTTP/1.0 caller sees only by a reset that one without a length is
// not. Whole ones must arrive whole.
func TestCutResponseLooksWhole(t *testing.T) {
	const size = 300 << 10
	body := strings.Repeat("b", size)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, body)
	for name, test := range map[string]struct {
		framing, sent string
		reset, whole  bool
	}{
		"without a length":          {"", body, false, true},
		"without a length, reset":   {"", body, true, false},
		"chunks":                    {"Transfer-Encoding: chunked\r\n", chunk + "0\r\n\r\n", false, true},
		"chunks, not the last one":  {"Transfer-Encoding: chunked\r\n", chunk, false, false},
		"chunks, reset":             {"Transfer-Encoding: chunked\r\n", chunk, true, false},
		"length":                    {fmt.Sprintf("Content-Length: %d\r\n", size), body, false, true},
		"length, shorter body":      {fmt.Sprintf("Content-Length: %d\r\n", size+1), body, false, false},
		"small, length, too short":  {"Content-Length: 11\r\n", "ten bytes!", false, false},
		"small, no length, reset":   {"", "ten bytes!", true, false},
		"status that is none, kept": {"", "", false, false},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				withSockets(t, func(f *socketFixture) {
					f.handle = func(_ int32, w http.ResponseWriter, r *http.Request) {
						c, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						defer c.Close()
						status := "200 OK"
						if test.sent == "" {
							status = "000 None"
						}
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s", status, headers.RequestID, r.Header.Get(headers.RequestID), test.framing, test.sent)
						if test.reset {
							// The bytes before the reset arrive first.
							time.Sleep(20 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
						}
					}
					c, err := net.Dial("tcp", f.address)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					_ = c.SetDeadline(time.Now().Add(10 * time.Second))
					_, _ = fmt.Fprintf(c, "POST /book/ HTTP/%s\r\nHost: a.example\r\n%s: 1\r\nKey: k1\r\nDeadline: 2000\r\nContent-Length: 0\r\n\r\n", version, headers.RequestID)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						if test.whole {
							t.Fatal(err)
						}
						return
					}
					got, err := io.ReadAll(resp.Body)
					switch {
					case test.whole && (err != nil || resp.StatusCode != http.StatusOK || string(got) != body):
						t.Errorf("status %d, %d bytes, %v, want the whole response", resp.StatusCode, len(got), err)
					case !test.whole && err == nil && resp.StatusCode == http.StatusOK:
						t.Errorf("%d bytes look like a whole response", len(got))
					}
				})
			})
		}
	}
}

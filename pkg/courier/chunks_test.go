package courier

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against whole responses that count as cut, because the bytes of a request with a streamed
// body are counted without its header.
func TestStreamedBodyWithoutLength(t *testing.T) {
	for _, body := range []string{"", "x"} {
		t.Run("body "+body, func(t *testing.T) {
			withServer(t, func(conn net.Conn, r *http.Request, _ int) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nten bytes!")
				_ = conn.Close()
			}, func(courier *Courier, target Target, _ *atomic.Int32) {
				req := newRequest("1")
				req.Method, req.ContentLength, req.Stream = http.MethodPost, -1, strings.NewReader(body)
				resp, err := send(t, courier, target, req)
				if err != nil || string(resp.Body) != "ten bytes!" {
					t.Errorf("response %v, error %v, want ten bytes", resp, err)
				}
			})
		})
	}
}

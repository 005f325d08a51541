package courier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"catkindyke/pkg/clock"
)

// withRawServer runs a test against a server that passes each connection to handle.
func withRawServer(t *testing.T, handle func(c *net.TCPConn), test func(c *Courier, target Target)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn))
		}
	}()
	test(New(Config{IDHeader: "Request-Id", Clock: clock.New()}), Target{ID: "s1", Address: l.Addr().String()})
}

// sendConnected sends a request, again if it got no connection: a busy machine may take longer for
// one than a host allows.
func sendConnected(ctx context.Context, c *Courier, target Target, req *Request) (*Response, error) {
	for {
		resp, err := c.Send(ctx, target, req)
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			return resp, err
		}
	}
}

// sendAndRead sends a request and returns the body of the response, also of a large one.
func sendAndRead(c *Courier, target Target, req *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := sendConnected(ctx, c, target, req)
	if err != nil {
		return "", err
	}
	if resp.Stream == nil {
		return string(resp.Body), nil
	}
	defer resp.Stream.Close()
	body, err := io.ReadAll(resp.Stream)
	return string(body), err
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload returns a request with a body of the given size: held in memory, streamed with a length,
// or streamed in chunks.
func upload(kind string, size int) *Request {
	req := newRequest("1")
	req.Method = http.MethodPost
	body := make([]byte, size)
	switch kind {
	case "held":
		req.Body = body
	case "length":
		req.Stream, req.ContentLength = bytes.NewReader(body), int64(size)
	case "chunks":
		req.Stream, req.ContentLength = bytes.NewReader(body), -1
	}
	return req
}

// TestPartTakenForWhole guards against a response that ends with its connection and counts as
// whole although the server has reset the connection or has not read the whole upload. The reset
// may be reported to the write that goes on concurrently, so that the read sees a plain end.
func TestPartTakenForWhole(t *testing.T) {
	for _, kind := range []string{"held", "length", "chunks"} {
		for _, responseSize := range []int{10, 200 << 10} {
			for ending, end := range map[string]func(c *net.TCPConn){
				"reset": reset,
				"reset after a pause": func(c *net.TCPConn) {
					time.Sleep(2 * time.Millisecond)
					reset(c)
				},
				"closed with unread input": func(c *net.TCPConn) { _ = c.Close() },
				"closed for writing only":  func(c *net.TCPConn) { _ = c.CloseWrite() },
			} {
				t.Run(fmt.Sprint(kind, ", ", responseSize, " bytes, ", ending), func(t *testing.T) {
					done := make(chan struct{})
					withRawServer(t, func(c *net.TCPConn) {
						defer c.Close()
						_, _ = io.ReadFull(c, make([]byte, 200))
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"+strings.Repeat("p", responseSize))
						end(c)
						<-done
					}, func(c *Courier, target Target) {
						for range 5 {
							if body, err := sendAndRead(c, target, upload(kind, 8<<20)); err == nil {
								t.Fatalf("got a body of %d bytes as a whole response", len(body))
							} else if errors.Is(err, os.ErrDeadlineExceeded) {
								t.Fatalf("the attempt did not end before its deadline: %v", err)
							}
						}
					})
					close(done)
				})
			}
		}
	}
}

// TestWholeResponseUnderUpload guards against whole responses that are given up: those that end
// with their connection after the server has read the upload, and those with a length that come
// before that.
func TestWholeResponseUnderUpload(t *testing.T) {
	const size = 2 << 20
	for _, kind := range []string{"held", "length", "chunks"} {
		for _, responseSize := range []int{10, 200 << 10} {
			want := strings.Repeat("p", responseSize)
			t.Run(fmt.Sprint(kind, ", ", responseSize, " bytes, after the upload"), func(t *testing.T) {
				withRawServer(t, func(c *net.TCPConn) {
					if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.Copy(io.Discard, req.Body)
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n"+want)
					_ = c.Close()
				}, func(c *Courier, target Target) {
					for range 20 {
						body, err := sendAndRead(c, target, upload(kind, size))
						if err != nil || body != want {
							t.Fatalf("body of %d bytes, %v, want %d bytes", len(body), err, len(want))
						}
					}
				})
			})
			t.Run(fmt.Sprint(kind, ", ", responseSize, " bytes, early with a length"), func(t *testing.T) {
				withRawServer(t, func(c *net.TCPConn) {
					_, _ = io.ReadFull(c, make([]byte, 200))
					_, _ = io.WriteString(c, rawResponse("1", want))
					_, _ = io.Copy(io.Discard, c)
				}, func(c *Courier, target Target) {
					body, err := sendAndRead(c, target, upload(kind, size))
					if err != nil || body != want {
						t.Errorf("body of %d bytes, %v, want %d bytes", len(body), err, len(want))
					}
				})
			})
		}
	}
}

// scriptedConn delivers bytes and then an error.
type scriptedConn struct {
	net.Conn
	r   *bytes.Reader
	end error
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.r.Len() == 0 {
		return 0, c.end
	}
	return c.r.Read(p)
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// readScripted reads a response from a server that sends raw and whose connection then ends. The
// request counts as sent.
func readScripted(raw []byte, end error) (status int, body string, err error) {
	c := New(Config{IDHeader: "Request-Id", Clock: clock.New()})
	conn := &connection{Conn: &scriptedConn{r: bytes.NewReader(raw), end: end}, readBudget: -1}
	conn.r = bufio.NewReader(conn)
	resp, _, err := c.readResponse(conn, newRequest("1"))
	if err != nil {
		return 0, "", err
	}
	if resp.Stream != nil {
		streamed, err := io.ReadAll(resp.Stream)
		return resp.Status, string(streamed), err
	}
	return resp.Status, string(resp.Body), nil
}

// FuzzWholeResponse checks that a response that counts as whole although its connection was reset
// does not depend on what comes next, and has a status.
func FuzzWholeResponse(f *testing.F) {
	f.Add([]byte(rawResponse("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 103 ?\r\n\r\nHTTP/1.1 204 ?\r\nRequest-Id: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		status, body, err := readScripted(raw, syscall.ECONNRESET)
		if err != nil {
			return
		}
		if status < 200 || status > 599 {
			t.Errorf("status %d", status)
		}
		laterStatus, laterBody, err := readScripted(append(bytes.Clone(raw), "\r\n\r\nmore"...), syscall.ECONNRESET)
		if err != nil || laterStatus != status || laterBody != body {
			t.Errorf("status %d and body %q became status %d and body %q, %v, with more bytes", status, body, laterStatus, laterBody, err)
		}
	})
}

package courier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// TestResponseFraming guards against bytes that are no whole response to the request and reach a
// caller as one, and against attempts that wait for another response after such bytes.
func TestResponseFraming(t *testing.T) {
	const id, long = "\r\nRequest-Id: 1", "HTTP/1.1 100 Continue\r\n\r\n"
	tests := map[string]struct {
		raw string
		// closes makes the server close the connection after the response.
		closes bool
		// status and body are wanted, or an error if status is 0.
		status int
		body   string
	}{
		"status 000":                        {raw: "HTTP/1.1 000 ?" + id + "\r\nContent-Length: 2\r\n\r\nno"},
		"status 000 without a body":         {raw: "HTTP/1.1 000 ?" + id + "\r\n\r\n"},
		"status 099":                        {raw: "HTTP/1.1 099 ?" + id + "\r\n\r\n"},
		"status +99":                        {raw: "HTTP/1.1 +99 ?" + id + "\r\n\r\n"},
		"status 600":                        {raw: "HTTP/1.1 600 ?" + id + "\r\nContent-Length: 0\r\n\r\n"},
		"status 999":                        {raw: "HTTP/1.1 999 ?" + id + "\r\nContent-Length: 0\r\n\r\n"},
		"status 599":                        {raw: "HTTP/1.1 599 ?" + id + "\r\nContent-Length: 0\r\n\r\n", status: 599},
		"version 2":                         {raw: "HTTP/2.0 200 OK" + id + "\r\nContent-Length: 0\r\n\r\n"},
		"interim responses":                 {raw: long + "HTTP/1.1 102 ?\r\n\r\nHTTP/1.1 103 ?\r\n\r\n" + rawResponse("1", "ok"), status: 200, body: "ok"},
		"unknown interim response":          {raw: "HTTP/1.1 150 ?\r\n\r\n" + rawResponse("1", "ok"), status: 200, body: "ok"},
		"interim response with a body":      {raw: "HTTP/1.1 103 ?\r\nContent-Length: 2\r\n\r\nhi" + rawResponse("1", "ok")},
		"interim response in chunks":        {raw: "HTTP/1.1 103 ?\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + rawResponse("1", "ok")},
		"too many interim responses":        {raw: strings.Repeat(long, 50) + rawResponse("1", "ok")},
		"upgrade that nobody asked for":     {raw: "HTTP/1.1 101 Switching Protocols" + id + "\r\nUpgrade: x\r\n\r\n" + rawResponse("1", "ok")},
		"204":                               {raw: "HTTP/1.1 204 No Content" + id + "\r\n\r\n", status: 204},
		"204 with length 0":                 {raw: "HTTP/1.1 204 No Content" + id + "\r\nContent-Length: 0\r\n\r\n", status: 204},
		"204 with a body":                   {raw: "HTTP/1.1 204 No Content" + id + "\r\nContent-Length: 2\r\n\r\nhi"},
		"204 in chunks":                     {raw: "HTTP/1.1 204 No Content" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"304 with the length of the object": {raw: "HTTP/1.1 304 Not Modified" + id + "\r\nContent-Length: 2\r\n\r\n", status: 304},
		"304 with a body":                   {raw: "HTTP/1.1 304 Not Modified" + id + "\r\nContent-Length: 2\r\n\r\nhi", status: 304},
		"two lengths":                       {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"},
		"the same length twice":             {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		"length list":                       {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 2, 2\r\n\r\nok"},
		"length with a plus sign":           {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: +2\r\n\r\nok"},
		"negative length":                   {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: -2\r\n\r\nok"},
		"length with a blank inside":        {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 1 2\r\n\r\nok"},
		"length between blanks":             {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length:  2 \r\n\r\nok", status: 200, body: "ok"},
		"empty length":                      {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length:\r\n\r\nok", closes: true},
		"length that overflows":             {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 18446744073709551618\r\n\r\nok"},
		"shorter than its length":           {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length: 3\r\n\r\nok", closes: true},
		"unknown coding":                    {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		"chunks":                            {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok"},
		"chunks without the last one":       {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", closes: true},
		"chunks without the last line":      {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", closes: true},
		"chunk size that overflows":         {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n"},
		"largest chunk size":                {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n", closes: true},
		"chunk size with a sign":            {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"},
		"chunk longer than its size":        {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokk\r\n0\r\n\r\n"},
		"trailers like headers":             {raw: "HTTP/1.1 200 OK" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 9\r\nRequest-Id: 2\r\n\r\n", status: 200, body: "ok"},
		"bytes after the end":               {raw: rawResponse("1", "ok") + "more", status: 200, body: "ok"},
		"ends with its connection":          {raw: "HTTP/1.1 200 OK" + id + "\r\n\r\nok", closes: true, status: 200, body: "ok"},
		"HTTP/1.0":                          {raw: "HTTP/1.0 200 OK" + id + "\r\n\r\nok", closes: true, status: 200, body: "ok"},
		"header only":                       {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Le", closes: true},
		"header without a colon":            {raw: "HTTP/1.1 200 OK" + id + "\r\nContent-Length 2\r\n\r\nok"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withRawServer(t, func(c *net.TCPConn) {
				defer c.Close()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, test.raw)
				if !test.closes {
					_, _ = io.Copy(io.Discard, r)
				}
			}, func(c *Courier, target Target) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				resp, err := sendConnected(ctx, c, target, newRequest("1"))
				switch {
				case errors.Is(err, os.ErrDeadlineExceeded):
					t.Errorf("the attempt did not end before its deadline: %v", err)
				case test.status == 0 && err == nil:
					t.Errorf("got status %d and body %q, want an error", resp.Status, resp.Body)
				case test.status == 0 && !errors.Is(err, ErrNoResponse):
					t.Errorf("error %v, want ErrNoResponse", err)
				case test.status != 0 && (err != nil || resp.Status != test.status || string(resp.Body) != test.body):
					t.Errorf("got %+v, %v, want status %d and body %q", resp, err, test.status, test.body)
				}
			})
		})
	}
}

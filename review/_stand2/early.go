package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["early"] = early }

const (
	// chunkedBytes and lengthBytes are the lengths of a body in chunks, and of one with a length.
	chunkedBytes = 1280 << 10
	lengthBytes  = 4 << 20
	pieceBytes   = 32 << 10
	// earlyAfter is the part of the body after which the server answers.
	earlyAfter = 256 << 10
)

// earlyFor is the time in which the server answers early.
const earlyFor = 6 * time.Second

// answerBytes is the length of an answer.
var answerBytes = number("ANSWER_BYTES", 128<<10)

// bodyBytes returns the length of a body.
func bodyBytes(chunked bool) int64 {
	if chunked {
		return chunkedBytes
	}
	return lengthBytes
}

// pattern returns the byte of a body at an offset.
func pattern(i int64) byte { return byte((i*2654435761 + i>>8) >> 7) }

// early: a server answers an upload before it has read all of it, keeps the connection and
// reads on. It must get the rest of that body and nothing else.
func early(w *world, trouble bool) error {
	var reads sync.WaitGroup
	var firstAt atomic.Int64
	var uploads atomic.Int64
	// Of two servers, one answers two of five uploads early, for earlyFor.
	mayBeEarly := func() bool {
		firstAt.CompareAndSwap(0, time.Now().UnixNano())
		n := uploads.Add(1)
		return trouble && n%5 < 2 && time.Since(time.Unix(0, firstAt.Load())) < earlyFor
	}
	serve := func(name string, c net.Conn, r *http.Request, body io.Reader, isEarly bool) bool {
		reads.Add(1)
		defer reads.Done()
		id := r.Header.Get(hID)
		w.note("server %s got the head of request %s, length %d", name, id, r.ContentLength)
		buf := make([]byte, 16<<10)
		var at int64
		answered := make(chan error, 1)
		hasAnswered, differs := false, false
		for {
			n, err := body.Read(buf)
			for i := 0; i < n && !differs; i++ {
				if differs = buf[i] != pattern(at+int64(i)); differs {
					w.breach("server %s got other bytes from byte %d of the body of request %s on: the client sent %d there, it got %d", name, at+int64(i), id, pattern(at+int64(i)), buf[i])
				}
			}
			at += int64(n)
			if isEarly && !hasAnswered && at >= earlyAfter {
				hasAnswered = true
				w.note("server %s answers request %s after %d bytes of its body, and reads on", name, id, at)
				go func() { answered <- answer(c, id, make([]byte, answerBytes)) }()
			}
			if err != nil {
				w.note("server %s read %d bytes of the body of request %s, then: %v", name, at, id, err)
				if err == io.EOF && at != bodyBytes(r.ContentLength < 0) {
					w.breach("server %s got a body of %d bytes with its proper end for request %s, the client sent %d", name, at, id, bodyBytes(r.ContentLength < 0))
				}
				break
			}
		}
		if !hasAnswered {
			answered <- answer(c, id, make([]byte, answerBytes))
		}
		w.note("server %s wrote its answer to request %s: error %v", name, id, <-answered)
		return at == bodyBytes(r.ContentLength < 0)
	}
	for _, name := range []string{"s1", "s2"} {
		_, err := w.addServer(name, "z1", func(c net.Conn, r *http.Request, body io.Reader) bool {
			return serve(name, c, r, body, name == "s1" && mayBeEarly())
		})
		if err != nil {
			return err
		}
	}
	w.putConfig(7, []route{{Name: "send", PathPrefix: "/send/", Kind: "upload", Service: "desk", TimeoutMs: 8000, TargetLatencyMs: 1000, Attempts: 2}},
		[]tenant{{Name: "lakes", ApiKeys: []string{"key-1"}, Priority: 1}})
	h, err := w.addHost(0, w.address)
	if err != nil {
		return err
	}
	if err := w.awaitReady(h); err != nil {
		return err
	}
	for i := range 24 {
		if err := w.upload(h, fmt.Sprintf("up-%d", i), i%2 == 0); err != nil {
			return err
		}
	}
	reads.Wait()
	return nil
}

// upload sends a long body and reads the answer meanwhile.
func (w *world) upload(h *host, id string, chunked bool) error {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	size := int(bodyBytes(chunked))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	w.note("client sends request %s, %s", id, framing)
	got := make(chan string, 1)
	go func() { got <- readAnswer(c) }()
	if _, err := io.WriteString(c, request("POST", "/send/x", id, "key-1", 8000, framing)); err != nil {
		return err
	}
	piece := make([]byte, pieceBytes)
	for at := 0; at < size; at += pieceBytes {
		for i := range piece {
			piece[i] = pattern(int64(at + i))
		}
		if chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", pieceBytes, piece)
		} else {
			_, err = c.Write(piece)
		}
		if err != nil {
			w.note("client could send %d bytes of request %s: %v", at, id, err)
			break
		}
		time.Sleep(4 * time.Millisecond)
	}
	if err == nil && chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	w.note("client got for request %s: %s", id, <-got)
	return nil
}

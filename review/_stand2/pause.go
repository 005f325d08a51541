package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pause"] = pause }

const (
	// pausedBytes is the longest upload of the site file (fixture-upload).
	pausedBytes = 360_000
	// readFirst is what a server reads of an upload before it pauses.
	readFirst = 32 << 10
	readPause = 2 * time.Second
)

// pause: a host gets SIGTERM. Servers read uploads slowly: they read a part, work on it, and
// read on. Uploads that servers have begun must get the servers' answers.
func pause(w *world, trouble bool) error {
	var mu sync.Mutex
	begun, ended := map[string]time.Time{}, map[string]string{}
	for i := range 4 {
		name := fmt.Sprintf("s%d", i+1)
		_, err := w.addServer(name, fmt.Sprintf("z%d", i%2+1), func(c net.Conn, r *http.Request, body io.Reader) bool {
			id := r.Header.Get(hID)
			mu.Lock()
			begun[id] = time.Now()
			mu.Unlock()
			w.note("server %s begins to work on upload %s", name, id)
			n, err := io.CopyN(io.Discard, body, readFirst)
			if err == nil && trouble {
				time.Sleep(readPause)
			}
			var more int64
			if err == nil {
				more, err = io.Copy(io.Discard, body)
			}
			result := fmt.Sprintf("read %d of %d bytes, error %v", n+more, pausedBytes, err)
			if err == nil {
				err = answer(c, id, []byte("done "+id))
				result += fmt.Sprintf(", answered, error %v", err)
			}
			mu.Lock()
			ended[id] = result
			mu.Unlock()
			w.note("server %s: upload %s: %s", name, id, result)
			return err == nil
		})
		if err != nil {
			return err
		}
	}
	w.putConfig(7, []route{{Name: "send", PathPrefix: "/send/", Kind: "upload", Service: "desk", TimeoutMs: 5000, TargetLatencyMs: 3000, Attempts: 2}},
		[]tenant{{Name: "lakes", ApiKeys: []string{"key-1"}, Priority: 1}})
	for i := range 2 {
		if _, err := w.addHost(i, w.address); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitReady(h); err != nil {
			return err
		}
	}
	h := w.hosts[0]
	time.Sleep(4 * time.Second)
	stopAt := time.Now()
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	w.note("host %s gets SIGTERM", h.name)
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() { w.slowUpload(h, fmt.Sprintf("up-%d", n), stopAt) })
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
	<-h.exited
	w.note("host %s has ended, %.1f s after SIGTERM", h.name, time.Since(stopAt).Seconds())
	// Servers that pause still see how their uploads end.
	time.Sleep(readPause)
	mu.Lock()
	defer mu.Unlock()
	for id, at := range begun {
		w.note("upload %s: begun %.3f s after SIGTERM; %s", id, at.Sub(stopAt).Seconds(), ended[id])
	}
	return nil
}

// slowUpload sends an upload. Its client waits for 5 s.
func (w *world) slowUpload(h *host, id string, stopAt time.Time) {
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		w.note("client has no connection for %s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	sent := time.Now()
	w.note("client sends upload %s, %.3f s after SIGTERM", id, sent.Sub(stopAt).Seconds())
	go func() {
		_, _ = io.WriteString(c, request(http.MethodPost, "/send/"+id, id, "key-1", 5000, fmt.Sprintf("Content-Length: %d", pausedBytes)))
		_, _ = c.Write(make([]byte, pausedBytes))
	}()
	status := readStatus(c)
	took := time.Since(sent)
	w.note("client got for upload %s after %.3f s: %s", id, took.Seconds(), status)
	// 429 and 503 say that it has not run. A server's own time is 2 s, far below the client's.
	if status != "200" && status != "429" && status != "503" {
		w.breach("upload %s, sent %.3f s after SIGTERM, was broken off after %.3f s: %s, while its server was at work", id, sent.Sub(stopAt).Seconds(), took.Seconds(), status)
	}
}

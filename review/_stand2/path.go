package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = path }

const (
	// Of four servers, the two of one region lose the answers of a part of the requests that they ran.
	lostShare = 0.3
	lostFor   = 6 * time.Second
	// orders is the number of requests, sent at intervals of orderPause.
	orders, orderPause = 280, 20 * time.Millisecond
)

// path: requests whose path begins with the prefix of a route that runs them once at most, and
// not with that of a longer one whose requests may be repeated. Answers of servers are lost.
func path(w *world, trouble bool) error {
	var mu sync.Mutex
	runs := map[string][]string{}
	start := time.Now()
	for i := range 4 {
		name := fmt.Sprintf("s%d", i+1)
		_, err := w.addServer(name, fmt.Sprintf("z%d", i%2+1), func(c net.Conn, r *http.Request, body io.Reader) bool {
			id := r.Header.Get(hID)
			if _, err := io.Copy(io.Discard, body); err != nil {
				return false
			}
			mu.Lock()
			runs[id] = append(runs[id], name)
			first, n := runs[id][0], len(runs[id])
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			lost := trouble && i%2 == 0 && rand.Float64() < lostShare && time.Since(start) < lostFor
			w.note("server %s runs request %s: %s %s; its answer is lost: %v", name, id, r.Method, r.RequestURI, lost)
			if n > 1 {
				w.breach("request %s, %s %s, ran at server %s and again at %s", id, r.Method, r.RequestURI, first, name)
			}
			return !lost && answer(c, id, []byte("done "+id)) == nil
		})
		if err != nil {
			return err
		}
	}
	w.putConfig(7, []route{
		{Name: "orders", PathPrefix: "/orders/", Kind: "non_idempotent", Service: "desk", TimeoutMs: 1000, TargetLatencyMs: 400, Priority: 1, Attempts: 2},
		{Name: "archive", PathPrefix: "/orders/archive/", Kind: "idempotent", Service: "desk", TimeoutMs: 800, TargetLatencyMs: 400, Priority: 2, Attempts: 2},
	}, []tenant{{Name: "lakes", ApiKeys: []string{"key-1"}, Priority: 1}})
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
	start = time.Now()
	var all sync.WaitGroup
	for n := range orders {
		all.Go(func() {
			if err := w.order(w.hosts[n/2%2], n); err != nil {
				w.note("client could not send request order-%d: %v", n, err)
			}
		})
		time.Sleep(orderPause)
	}
	all.Wait()
	return nil
}

// order sends a request that may run once at most. Half of them concern objects whose names have
// a slash, which is encoded in a path.
func (w *world) order(h *host, n int) error {
	id, uri := fmt.Sprintf("order-%d", n), fmt.Sprintf("/orders/%d", n)
	if n%2 == 1 {
		uri = fmt.Sprintf("/orders/archive%%2F%d", n)
	}
	c, err := net.Dial("tcp", h.front)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	w.note("client sends request %s: POST %s", id, uri)
	if _, err := io.WriteString(c, request(http.MethodPost, uri, id, "key-1", 2500, "Content-Length: 5")+"order"); err != nil {
		return err
	}
	w.note("client got for request %s: %s", id, readAnswer(c))
	return nil
}

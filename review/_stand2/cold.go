package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cold"] = cold }

const (
	coldOverage, coldSlack = 1.5, 5.0
	// coldHosts and coldRequestsPerS are the machines and the traffic of the site's page.
	coldHosts, coldRequestsPerS = 12, 279
	// tries is the number of times that a client tries, and tryPause the pause after a
	// connection that was refused.
	tries, tryPause = 3, 300 * time.Millisecond
	// downTime is the time without power. The server comes back first, the hosts after
	// startsAfter, within startSpread.
	downTime, startsAfter, startSpread = 2 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond
)

// coldServer counts what a server gets while it is cold, and crashes when that is too much.
type coldServer struct {
	*server
	w         *world
	mu        sync.Mutex
	coldUntil time.Time
	isDown    bool
	conns     map[net.Conn]bool
	// running holds the requests at work, by their ID: whether they may be repeated.
	running  map[string]bool
	arrivals []time.Time
	most     int
}

// cold: a zone with all hosts and the server of a service loses power, and they come back.
// Without the disruption, only the server loses power.
func cold(w *world, trouble bool) error {
	s := &coldServer{w: w, conns: map[net.Conn]bool{}, running: map[string]bool{}}
	var err error
	if s.server, err = w.addServer("s1", "z1", s.handle); err != nil {
		return err
	}
	w.putConfig(7, []route{
		{Name: "look", PathPrefix: "/look/", Kind: "idempotent", Service: "desk", TimeoutMs: 800, TargetLatencyMs: 400, Priority: 2, Attempts: 2},
		{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "desk", TimeoutMs: 1000, TargetLatencyMs: 400, Priority: 1, Attempts: 2},
	}, []tenant{{Name: "lakes", ApiKeys: []string{"key-1"}, Priority: 1}})
	for i := range coldHosts {
		if _, err := w.addHostIn("z1", i, w.address); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitReady(h); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { w.press(stop, &all) })
	time.Sleep(4 * time.Second)
	if trouble {
		for _, h := range w.hosts {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts {
			<-h.exited
		}
		w.note("all %d hosts have lost power", len(w.hosts))
	}
	s.stop()
	w.note("server s1 has lost power")
	time.Sleep(downTime)
	if err := s.restart(); err != nil {
		return err
	}
	time.Sleep(startsAfter)
	if trouble {
		for _, h := range w.hosts {
			if err := w.startHost(h); err != nil {
				return err
			}
			time.Sleep(startSpread / coldHosts)
		}
	}
	time.Sleep(time.Until(s.coldUntil))
	close(stop)
	all.Wait()
	w.note("cold server s1 got at most %d requests in one second; allowed: %.1f", s.most, coldPerS*coldOverage+coldSlack)
	return nil
}

// stop ends the server and its connections.
func (s *coldServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(s.conns)
	clear(s.running)
}

// restart starts the server again at its address. It is cold then.
func (s *coldServer) restart() error {
	if err := s.listen(s.address); err != nil {
		return err
	}
	s.mu.Lock()
	s.isDown = false
	s.coldUntil = time.Now().Add(time.Duration(coldStartS * float64(time.Second)))
	s.mu.Unlock()
	s.w.putColdServer(s.server, "ready", 1, int(1000*coldStartS))
	return nil
}

// press sends requests of clients at the usual rate until stop. Each picks one of the hosts at
// random, and others if they refuse the connection or the request.
func (w *world) press(stop chan struct{}, all *sync.WaitGroup) {
	tick := time.NewTicker(time.Second / coldRequestsPerS)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		all.Go(func() {
			method, path := http.MethodGet, "/look/"
			if n%3 == 0 {
				method, path = http.MethodPost, "/book/"
			}
			for try, i := range rand.Perm(len(w.hosts))[:tries] {
				after, again := w.send(w.hosts[i], method, path, fmt.Sprintf("r%d-%d", n, try))
				if !again {
					return
				}
				time.Sleep(after)
			}
		})
	}
}

// send sends a request over a new connection. It reports whether the client may try again, and
// after what time.
func (w *world) send(h *host, method, path, id string) (after time.Duration, again bool) {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return tryPause, true
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, request(method, path+id, id, "key-1", 2000, "Content-Length: 0")); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return min(time.Duration(seconds*float64(time.Second)), 2*time.Second/3), resp.StatusCode == http.StatusServiceUnavailable
}

// handle serves a request. It takes as many in one second as the rules allow while the server is
// cold; with one more, the server crashes.
func (s *coldServer) handle(c net.Conn, r *http.Request, body io.Reader) bool {
	id := r.Header.Get(hID)
	_, _ = io.Copy(io.Discard, body)
	s.mu.Lock()
	if s.isDown {
		s.mu.Unlock()
		return false
	}
	s.conns[c] = true
	s.running[id] = r.Method == http.MethodGet
	pause := 50 * time.Millisecond
	if time.Now().Before(s.coldUntil) {
		pause *= 2
		s.count(id)
	}
	s.mu.Unlock()
	time.Sleep(pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	delete(s.running, id)
	return answer(c, id, []byte("done "+id)) == nil
}

// count counts an arrival at the cold server.
func (s *coldServer) count(id string) {
	now := time.Now()
	s.arrivals = append(s.arrivals, now)
	n := 0
	for _, at := range s.arrivals {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	s.most = max(s.most, n)
	s.w.note("cold server %s gets request %s, number %d in one second", s.id, id, n)
	if float64(n) <= coldPerS*coldOverage+coldSlack {
		return
	}
	s.w.breach("cold server %s got %d requests in one second, allowed are %.1f", s.id, n, coldPerS*coldOverage+coldSlack)
	once := 0
	for _, mayRepeat := range s.running {
		if !mayRepeat {
			once++
		}
	}
	s.w.note("server %s crashes with %d requests at work, %d of which may not be repeated", s.id, len(s.running), once)
	go s.stop()
}

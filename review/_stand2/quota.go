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

func init() { cases["quota"] = quota }

const (
	// quotaHosts is the number of machines of the site file.
	quotaHosts               = 12
	quotaRate, quotaBurst    = 5, 80
	quotaOverage, quotaSlack = 0.1, 20
	quotaWindow              = 5 * time.Second
	// idleTime lets the tenant save up its whole burst.
	idleTime = 20 * time.Second
	// atOnce is the number of requests that the tenant sends to each host at once.
	atOnce = 20
	// herdDown is the time between the kill of all hosts and their start.
	herdDown = time.Second
)

// quota: a tenant sends many requests at once; then all hosts are killed and start again, and it
// does so once more. In any window, no more may run than its rate and burst allow.
func quota(w *world, trouble bool) error {
	slots = 64
	var mu sync.Mutex
	sentAt, ranAt := map[string]time.Time{}, map[string]time.Time{}
	for i := range 6 {
		_, err := w.addServer(fmt.Sprintf("s%d", i+1), fmt.Sprintf("z%d", i%2+1), func(c net.Conn, r *http.Request, body io.Reader) bool {
			id := r.Header.Get(hID)
			_, _ = io.Copy(io.Discard, body)
			mu.Lock()
			ranAt[id] = time.Now()
			mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			return answer(c, id, []byte("done "+id)) == nil
		})
		if err != nil {
			return err
		}
	}
	w.putConfig(7, []route{{Name: "look", PathPrefix: "/look/", Kind: "non_idempotent", Service: "desk", TimeoutMs: 2000, TargetLatencyMs: 1000, Attempts: 2}},
		[]tenant{{Name: "lakes", ApiKeys: []string{"key-1"}, Priority: 1, RatePerS: quotaRate, Burst: quotaBurst}})
	for i := range quotaHosts {
		if _, err := w.addHost(i, w.address); err != nil {
			return err
		}
	}
	awaitAll := func() error {
		for _, h := range w.hosts {
			if err := w.awaitReady(h); err != nil {
				return err
			}
		}
		return nil
	}
	if err := awaitAll(); err != nil {
		return err
	}
	time.Sleep(idleTime)
	send := func(name string) {
		statuses := map[string]int{}
		var all, open sync.WaitGroup
		begin := make(chan struct{})
		for i, h := range w.hosts {
			for n := range atOnce {
				open.Add(1)
				all.Go(func() {
					id := fmt.Sprintf("%s-%d-%d", name, i, n)
					c, err := net.DialTimeout("tcp", h.front, time.Second)
					open.Done()
					if err != nil {
						return
					}
					defer c.Close()
					<-begin
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					status := post(c, id)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				})
			}
		}
		open.Wait()
		w.note("the tenant sends %d requests at once to each of %d hosts", atOnce, len(w.hosts))
		close(begin)
		all.Wait()
		w.note("answers: %v; %d requests have run so far", statuses, len(ranAt))
	}
	send("first")
	if trouble {
		for _, h := range w.hosts {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts {
			<-h.exited
		}
		w.note("all %d hosts were killed", len(w.hosts))
	}
	time.Sleep(herdDown)
	if trouble {
		for _, h := range w.hosts {
			if err := w.startHost(h); err != nil {
				return err
			}
		}
		if err := awaitAll(); err != nil {
			return err
		}
	}
	send("second")
	most := mostIn(quotaWindow, sentAt, ranAt)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	w.note("%d requests of the tenant were sent and ran within %v; allowed: %.0f", most, quotaWindow, allowed)
	if float64(most) > allowed {
		w.breach("%d requests of the tenant were sent and ran within %v, allowed are %.0f", most, quotaWindow, allowed)
	}
	return nil
}

// post sends a request over a connection and returns the status of its answer.
func post(c net.Conn, id string) string {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, request(http.MethodPost, "/look/"+id, id, "key-1", 2000, "Content-Length: 0")); err != nil {
		return "no answer"
	}
	return readStatus(c)
}

// mostIn returns the largest number of requests that were sent and ran in one window.
func mostIn(window time.Duration, sentAt, ranAt map[string]time.Time) (most int) {
	for first := range ranAt {
		n := 0
		for id, at := range ranAt {
			if !sentAt[id].Before(sentAt[first]) && at.Before(sentAt[first].Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

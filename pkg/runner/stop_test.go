package runner

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"catkindyke/pkg/limiter"
)

// sendSteadily sends requests to an open route at a fixed interval, until stop is called.
// stop returns the number of responses by status.
func (fl *fleet) sendSteadily(interval time.Duration, host func(n int) string) (stop func() map[int]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts, done, hosts := make(map[int]int), make(chan struct{}), maps.Clone(fl.hosts)
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			name := host(n)
			wg.Go(func() {
				status := sendTo(hosts[name], http.MethodGet, "/dispatch/open", make(http.Header), "").StatusCode
				mu.Lock()
				defer mu.Unlock()
				counts[status]++
			})
		}
	})
	return func() map[int]int {
		close(done)
		wg.Wait()
		return counts
	}
}

// busiestOwner returns the host in region north that owns the most servers, and the other
// hosts.
func (fl *fleet) busiestOwner() (string, []string) {
	owner, rest := "host-0", []string{"host-2"}
	if len(fl.hosts["host-2"].slots.grantableServers()) > len(fl.hosts["host-0"].slots.grantableServers()) {
		owner, rest = "host-2", []string{"host-0"}
	}
	return owner, append(rest, "host-1", "host-3")
}

func (fl *fleet) checkNoOverload() {
	fl.t.Helper()
	for name, b := range fl.backends {
		if b.Overloads() > 0 {
			fl.t.Errorf("%s: %d requests above the slots", name, b.Overloads())
		}
	}
}

func lookupNamesHost(resp *http.Response, name string) bool {
	var lookup struct {
		Hosts []struct {
			Name string `json:"name"`
		} `json:"hosts"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&lookup) != nil {
		return true
	}
	for _, h := range lookup.Hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}

// TestHostDeathRefusesFew guards against refused requests while the servers of a dead host
// have no new owner yet, and against more requests than slots during that time.
func TestHostDeathRefusesFew(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		dead, live := fl.busiestOwner()
		stop := fl.sendSteadily(10*time.Millisecond, func(n int) string { return live[n%3] })
		time.Sleep(time.Second)
		fl.kill(dead)
		// The permits of a silent host are freed after 2.5 s. The new owner then waits 625 ms
		// for late grants and up to 500 ms for reports.
		elapsed := fl.waitFor("servers owned again", 3625*time.Millisecond, func() bool { return fl.ownedIn("north") == 2 })
		time.Sleep(10 * time.Second)
		counts := stop()
		t.Logf("all servers owned %v after the host died; answers by status %v", elapsed, counts)
		total := 0
		for _, n := range counts {
			total += n
		}
		if bad := total - counts[http.StatusOK]; 100*bad >= total {
			t.Errorf("answers by status %v, want less than 1 %% refused", counts)
		}
		fl.checkNoOverload()
	})
}

// TestPlannedStop guards against a planned stop during which requests are cut or refused,
// look-ups return the stopping host, or share slots are lost, and against one that ends
// before the host's requests or long after them.
func TestPlannedStop(t *testing.T) {
	const longest = 20 * time.Second
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		fl.addSlowService(longest)
		fl.waitFor("servers owned", 10*time.Second, func() bool { return fl.ownedIn("north") == 3 && fl.ownedIn("south") == 2 })
		leaving, names := fl.busiestOwner()
		names = append(names, leaving)
		var wg sync.WaitGroup
		wg.Go(func() {
			resp := fl.get(leaving, "/slow/long", "")
			if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
				t.Errorf("long request: status %d, %s", resp.StatusCode, body)
			}
		})
		time.Sleep(100 * time.Millisecond)
		h, start := fl.hosts[leaving], time.Now()
		stop := fl.sendSteadily(10*time.Millisecond, func(n int) string {
			// Callers use cached look-up answers for their TTL of 2 s.
			if time.Since(start) < 2*time.Second {
				return names[n%4]
			}
			return names[n%3]
		})
		stopped := make(chan error, 1)
		go func() { stopped <- h.Stop(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		for _, name := range names {
			if named := fl.get(name, "/v1/lookup?service=dispatch", ""); lookupNamesHost(named, leaving) {
				t.Errorf("%s returns the leaving host in a look-up, status %d", name, named.StatusCode)
			}
		}
		if resp := fl.get(leaving, "/dispatch/open", ""); resp.Header.Get("Connection") != "close" {
			t.Error("the response does not tell the caller to close its connection")
		}
		handOverTime := fl.waitFor("servers handed over", 3*time.Second, func() bool { return fl.ownedIn("north") == 3 })
		assertNoError(t, <-stopped, "stop")
		stopDuration := time.Since(start)
		wg.Wait()
		counts := stop()
		t.Logf("servers handed over after %v, stopped after %v with a longest request of %v, answers by status %v", 50*time.Millisecond+handOverTime, stopDuration, longest, counts)
		if counts[http.StatusOK] == 0 || len(counts) != 1 {
			t.Errorf("answers by status %v, want only 200", counts)
		}
		if stopDuration > longest+time.Second {
			t.Errorf("stop took %v, the longest request %v", stopDuration, longest)
		}
		fl.network.Close(leaving + ":2")
		delete(fl.hosts, leaving)
		if n := fl.shareSlots(); n != limiter.TotalSlots {
			t.Errorf("%d share slots held after the stop, want %d", n, limiter.TotalSlots)
		}
		fl.checkNoOverload()
		time.Sleep(time.Second)
		for name, other := range fl.hosts {
			for _, l := range other.slots.poolLoads() {
				if l.GetInUse() > 0 {
					t.Errorf("%s still counts %d permits of %s in use", name, l.GetInUse(), l.GetService())
				}
			}
		}
	})
}

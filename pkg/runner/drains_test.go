package runner

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// TestDrainingServerGetsNoRequests guards against new requests to a backend server more
// than 5 s after it was announced, in any of three ways, that the server is leaving. It
// also guards against cut in-flight requests.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	for name, announce := range map[string]func(*fleet){
		"drains": func(fl *fleet) {
			fl.write(replicator.KindDrains, &schema.Drains{BackendServers: []string{"slow-0"}})
		},
		"health": func(fl *fleet) { fl.slowLeaving.Store(true) },
		"removed": func(fl *fleet) {
			cfg := proto.CloneOf(fl.hosts["host-0"].Snapshot().Config())
			for _, svc := range cfg.GetServices() {
				svc.BackendServers = slices.DeleteFunc(svc.GetBackendServers(), func(b *schema.BackendServer) bool { return b.GetName() == "slow-0" })
			}
			fl.write(replicator.KindConfig, cfg)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 4, func(fl *fleet) {
				fl.addSlowService(20 * time.Second)
				fl.waitFor("servers owned", 10*time.Second, func() bool { return fl.ownedIn("north") == 3 && fl.ownedIn("south") == 2 })
				var wg sync.WaitGroup
				wg.Go(func() { checkStatusOK(t, fl.get("host-0", "/slow/long", "")) })
				fl.waitFor("request sent", time.Second, func() bool { return fl.slowRequests.Load() == 1 })
				var announcedAt time.Time
				// Requests are sent before and after the announcement, so the time of the last one
				// that reached the server shows when new requests ended.
				for n := range 100 {
					if n == 10 {
						if fl.slowRequests.Load() < 10 {
							t.Errorf("%d requests before the announcement, want at least 10", fl.slowRequests.Load())
						}
						announce(fl)
						announcedAt = time.Now()
					}
					for _, host := range []string{"host-0", "host-1", "host-2", "host-3"} {
						wg.Go(func() { fl.get(host, "/slow", "") })
					}
					time.Sleep(100 * time.Millisecond)
				}
				lastRequest := time.Unix(0, fl.lastSlowRequest.Load()).Sub(announcedAt)
				t.Logf("last request to the leaving server %v after the announcement", lastRequest)
				if lastRequest > 5*time.Second {
					t.Errorf("new request %v after the announcement, want at most 5s", lastRequest)
				}
				wg.Wait()
			})
		})
	}
}

// checkStatusOK is for goroutines other than the test's, which must not call Fatal.
func checkStatusOK(t *testing.T, resp *http.Response) {
	t.Helper()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("request in flight: status %d, want 200", resp.StatusCode)
	}
}

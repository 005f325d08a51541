package runner

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/schema"
)

// ownedIn returns the number of servers whose slots the hosts of a region may grant.
func (fl *fleet) ownedIn(region string) int {
	n := 0
	for name, h := range fl.hosts {
		if fl.places[name].Region == region {
			n += len(h.slots.grantableServers())
		}
	}
	return n
}

func (fl *fleet) allOwned() bool { return fl.ownedIn("north") == 2 && fl.ownedIn("south") == 2 }

// TestServedByOwners guards against requests without a grant of an owner, against more
// requests at a server than it has slots, and against permits that are never freed.
func TestServedByOwners(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		elapsed := fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		t.Logf("all servers owned %v after the hosts were ready", elapsed)
		var wg sync.WaitGroup
		for i := range 80 {
			name := []string{"host-0", "host-1", "host-2", "host-3"}[i%4]
			wg.Go(func() {
				if resp := fl.get(name, "/dispatch/x", testKey); resp.StatusCode != http.StatusOK &&
					resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("status %d", resp.StatusCode)
				}
			})
		}
		wg.Wait()
		var ran, granted uint64
		for _, b := range fl.backends {
			ran += uint64(b.Requests())
			if b.Overloads() > 0 {
				t.Errorf("%d requests above the slots", b.Overloads())
			}
		}
		for _, h := range fl.hosts {
			for _, l := range h.slots.poolLoads() {
				granted += l.GetGranted()
			}
		}
		if ran == 0 || granted < ran {
			t.Errorf("%d requests ran, owners granted %d", ran, granted)
		}
		fl.waitFor("permits freed", 5*time.Second, func() bool {
			for _, h := range fl.hosts {
				for _, l := range h.slots.poolLoads() {
					if l.GetInUse() > 0 {
						return false
					}
				}
			}
			return true
		})
	})
}

// TestOwnerDies guards against servers that stay without an owner after a host died, and
// against errors of acquire without a reason and retry time.
func TestOwnerDies(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		fl.kill("host-2")
		elapsed := fl.waitFor("servers owned again", 30*time.Second, func() bool {
			return fl.ownedIn("north") == 2 && len(fl.hosts["host-0"].Snapshot().Hosts()) == 3
		})
		t.Logf("all servers owned %v after the host died", elapsed)
		h := fl.hosts["host-0"]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		svc, _ := h.Snapshot().Service("dispatch")
		permit, err := h.acquire(ctx, forwarder.SlotRequest{Service: svc, Workspace: "lakes", HomeRegion: "north", Exclude: []string{"backend-0"}})
		assertNoError(t, err, "acquire")
		if permit.BackendServer != "backend-2" {
			t.Errorf("permit for %s, want the server of the region that is not excluded", permit.BackendServer)
		}
		permit.Release(schema.PermitResult_PERMIT_RESULT_UNUSED)
		_, err = h.acquire(ctx, forwarder.SlotRequest{
			Service: svc, Workspace: "lakes", HomeRegion: "north", Exclude: []string{"backend-0", "backend-1", "backend-2", "backend-3"},
		})
		var refusal *forwarder.AcquireError
		if !errors.As(err, &refusal) || refusal.Reason != "no_server" || refusal.RetryAfter == 0 {
			t.Errorf("error %v, want no_server with a retry time", err)
		}
	})
}

// TestDrainingServer guards against new requests to a backend server whose health endpoint
// reports that it is leaving.
func TestDrainingServer(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		fl.backends["backend-0"].SetLeaving(true)
		time.Sleep(3 * time.Second)
		before := fl.backends["backend-0"].Requests()
		for range 10 {
			fl.get("host-0", "/dispatch/x", testKey)
		}
		if n := fl.backends["backend-0"].Requests() - before; n > 0 {
			t.Errorf("%d requests to a leaving server", n)
		}
	})
}

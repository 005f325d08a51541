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

// ownedIn counts the servers that the hosts may grant, by region.
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

// TestServedByOwners guards against requests that bypass the owners or exceed the slots, and against lost permits.
func TestServedByOwners(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		took := fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		t.Logf("all servers owned %v after the hosts were ready", took)
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

// TestOwnerDies guards against servers that stay without an owner, and errors of the wrong type.
func TestOwnerDies(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		fl.kill("host-2")
		took := fl.waitFor("servers owned again", 30*time.Second, func() bool {
			return fl.ownedIn("north") == 2 && len(fl.hosts["host-0"].Snapshot().Hosts()) == 3
		})
		t.Logf("all servers owned %v after the death", took)
		h := fl.hosts["host-0"]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		svc, _ := h.Snapshot().Service("dispatch")
		permit, err := h.acquire(ctx, forwarder.SlotRequest{Service: svc, Workspace: "lakes", HomeRegion: "north", Exclude: []string{"backend-0"}})
		assertNoError(t, err, "acquire")
		if permit.BackendServer != "backend-2" {
			t.Errorf("got %s, want the server of the region that is not excluded", permit.BackendServer)
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

// TestLeavingServer guards against new requests to a backend server that says it is leaving.
func TestLeavingServer(t *testing.T) {
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

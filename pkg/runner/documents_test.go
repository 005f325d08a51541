package runner

import (
	"net/http"
	"testing"
	"time"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// Times within which the design requires a change to be in force at all hosts.
const (
	inForceTarget = 2 * time.Second
	inForceLimit  = 14 * time.Second
)

// TestRequestThroughFleet guards against a break on the path of a request, from the key
// check to the response of a backend server.
func TestRequestThroughFleet(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		time.Sleep(time.Second)
		assertStatus(t, fl.get("host-0", "/dispatch/x", testKey), http.StatusOK, "granted key")
		assertStatus(t, fl.get("host-0", "/dispatch/x", "other"), http.StatusUnauthorized, "unknown key")
		assertStatus(t, fl.get("host-0", "/dispatch/open", ""), http.StatusOK, "open route")
		assertStatus(t, fl.get("host-0", "/nothing/x", testKey), http.StatusNotFound, "unknown service")
	})
}

// TestRevokedKeyRefused guards against a host that still accepts a revoked key.
func TestRevokedKeyRefused(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		version := fl.write(replicator.KindKeys, &schema.Keys{})
		elapsed := fl.waitFor("revocation", inForceTarget, fl.inForce(replicator.KindKeys, version))
		t.Logf("in force after %s", elapsed)
		for name := range fl.hosts {
			assertStatus(t, fl.get(name, "/dispatch/x", testKey), http.StatusUnauthorized, "revoked key at "+name)
		}
	})
}

// TestChangeWithSilentWatches guards against hosts that miss a change when watches of
// the store report nothing.
func TestChangeWithSilentWatches(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.platform.SetFaults(emulator.Faults{SilentWatches: true})
		version := fl.write(replicator.KindKeys, &schema.Keys{})
		fl.waitFor("change", inForceTarget, fl.inForce(replicator.KindKeys, version))
	})
}

// TestChangeWithRegionCutOff guards against hosts that miss a change because they cannot
// reach the store, although their peers have the change.
func TestChangeWithRegionCutOff(t *testing.T) {
	withFleet(t, 8, func(fl *fleet) {
		store := emulator.Place{Region: "store"}
		fl.network.Listen("store:1", store, fl.platform)
		fl.network.SetPartition(func(from, to emulator.Place) bool {
			return from.Region == "south" && to == store || from == store && to.Region == "south"
		})
		version := fl.write(replicator.KindKeys, &schema.Keys{})
		fl.waitFor("change", inForceTarget, fl.inForce(replicator.KindKeys, version))
	})
}

// TestStartWithStoreDown guards against a host that starts without documents, or with old
// ones, because the store is down.
func TestStartWithStoreDown(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		version := fl.write(replicator.KindKeys, &schema.Keys{})
		fl.waitFor("change", inForceLimit, fl.inForce(replicator.KindKeys, version))
		fl.platform.SetFaults(emulator.Faults{Down: true})
		fl.kill("host-0")
		h := fl.startWithSeeds("host-0", testPlaces[0], "host-1:2")
		fl.waitFor("restarted host", inForceLimit, func() bool { return h.Snapshot().Ready() })
		if got := h.Snapshot().Versions()[replicator.KindKeys]; got != version {
			t.Errorf("restarted host has version %d in force, want %d", got, version)
		}
	})
}

// TestStartWithStalePeer guards against a restarted host that serves with the old version
// of one peer although another peer has a newer one.
func TestStartWithStalePeer(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		time.Sleep(2 * time.Second)
		stale, fresh := testPlaces[2], testPlaces[0]
		fl.network.SetPartition(func(from, to emulator.Place) bool {
			return from != to && (from == stale || to == stale) && from != fresh && to != fresh
		})
		fl.kill("host-0")
		version := fl.write(replicator.KindKeys, &schema.Keys{})
		fl.waitFor("change", inForceTarget, func() bool {
			return fl.hosts["host-1"].Snapshot().Versions()[replicator.KindKeys] == version
		})
		fl.platform.SetFaults(emulator.Faults{Down: true})
		if got := fl.hosts["host-2"].Snapshot().Versions()[replicator.KindKeys]; got == version {
			t.Fatal("host-2 has the change although it was cut off from the store")
		}
		h := fl.startWithSeeds("host-0", fresh, "host-2:2", "host-1:2")
		fl.waitFor("restarted host", inForceLimit, func() bool { return h.Snapshot().Ready() })
		if got := h.Snapshot().Versions()[replicator.KindKeys]; got != version {
			t.Errorf("restarted host serves version %d, want %d", got, version)
		}
	})
}

// TestStartWithoutStoreOrPeers guards against a host that reports itself ready without any
// documents, because it reaches neither store nor peers.
func TestStartWithoutStoreOrPeers(t *testing.T) {
	withFleet(t, 1, func(fl *fleet) {
		fl.platform.SetFaults(emulator.Faults{Down: true})
		fl.kill("host-0")
		h := fl.startWithSeeds("host-0", testPlaces[0], "host-9:2")
		time.Sleep(time.Minute)
		if h.Snapshot().Ready() {
			t.Error("host is ready without any state")
		}
		assertStatus(t, fl.get("host-0", "/dispatch/x", testKey), http.StatusServiceUnavailable, "request")
	})
}

// TestStoreOutageKeepsServing guards against hosts that refuse valid keys during a long
// store outage.
func TestStoreOutageKeepsServing(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.platform.SetFaults(emulator.Faults{Down: true})
		time.Sleep(time.Hour)
		for name := range fl.hosts {
			assertStatus(t, fl.get(name, "/dispatch/x", testKey), http.StatusOK, "request in an outage at "+name)
		}
	})
}

// TestIsolatedHostRefusesKeys guards against a host that is cut off from store and peers
// and accepts keys for longer than the time limit for revoked keys: it cannot receive a
// revocation.
func TestIsolatedHostRefusesKeys(t *testing.T) {
	withFleet(t, 5, func(fl *fleet) {
		alone := emulator.Place{Region: "north", AvailabilityZone: "alone"}
		fl.start("host-9", alone)
		fl.waitFor("host ready", inForceLimit, fl.allReady)
		time.Sleep(2 * time.Second)
		fl.network.SetPartition(func(from, to emulator.Place) bool { return from == alone || to == alone })
		time.Sleep(11 * time.Second)
		resp := fl.get("host-9", "/dispatch/x", testKey)
		assertStatus(t, resp, http.StatusServiceUnavailable, "request at the isolated host")
		if got := resp.Header.Get("Catkindyke-Outcome"); got != "not_run" {
			t.Errorf("outcome %q, want not_run", got)
		}
		assertStatus(t, fl.get("host-0", "/dispatch/x", testKey), http.StatusOK, "request at another host")
	})
}

// TestKeysNeverReachBackends guards against a key that is forwarded to a backend server
// because the caller sent it in another header or form.
func TestKeysNeverReachBackends(t *testing.T) {
	withFleet(t, 2, func(fl *fleet) {
		time.Sleep(time.Second)
		for _, h := range []http.Header{
			{authenticator.KeyHeader: {testKey}},
			{"Authorization": {"Bearer " + testKey}},
			{"Authorization": {"bearer  " + testKey}, "Proxy-Authorization": {testKey}},
		} {
			resp := fl.send("host-0", http.MethodGet, "/dispatch/x", h, "")
			assertStatus(t, resp, http.StatusOK, "request")
		}
		for name, b := range fl.backends {
			if b.RequestsWithKey() > 0 {
				t.Errorf("%s received a key", name)
			}
		}
	})
}

package runner

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/planner"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

const (
	shiftStepPerMille = 100
	// takeOverLimit is the time within which the plan of a new planner must be in force at
	// all hosts: the lease of 6 s and 25 % more until it is free, 2 s until the next read
	// of the lease, and 2 s for the plan to reach the hosts.
	takeOverLimit = 7500*time.Millisecond + 2*time.Second + inForceTarget
)

// addLinks configures links between the two regions and waits for the first plan.
func (fl *fleet) addLinks(capPerS float64) {
	fl.t.Helper()
	cfg := fl.config()
	for _, l := range [][2]string{{"north", "south"}, {"south", "north"}} {
		cfg.Links = append(cfg.Links, &schema.Link{
			From: l[0], To: l[1], CapacityMbitS: 4000, ShiftCapPerS: capPerS, ShiftStepPerMille: shiftStepPerMille,
		})
	}
	cfg.Settings.PlanIntervalMs = 1000
	fl.waitFor("links", inForceLimit, fl.inForce(replicator.KindConfig, fl.write(replicator.KindConfig, cfg)))
	fl.waitFor("plan with routes", takeOverLimit, func() bool {
		p, version := fl.storedPlan()
		return len(p.GetRoutes()) == 2 && fl.inForce(replicator.KindPlan, version)()
	})
}

func (fl *fleet) config() *schema.Config {
	for _, h := range fl.hosts {
		return proto.Clone(h.Snapshot().Config()).(*schema.Config)
	}
	return nil
}

// planningHost returns the name of the planner, or an empty name. It fails the test if
// there are two planners.
func (fl *fleet) planningHost() string {
	fl.t.Helper()
	found := ""
	for name, h := range fl.hosts {
		if h.Meter().Get("planner") == 1 {
			if found != "" {
				fl.t.Fatalf("%s and %s both plan", found, name)
			}
			found = name
		}
	}
	return found
}

// storedPlan returns the plan in the store and its version.
func (fl *fleet) storedPlan() (*schema.Plan, uint64) {
	fl.t.Helper()
	head, content, err := fl.pub.Read(fl.t.Context(), replicator.KindPlan)
	assertNoError(fl.t, err, "read plan")
	p := &schema.Plan{}
	assertNoError(fl.t, proto.Unmarshal(content, p), "decode plan")
	return p, head.GetVersion()
}

// TestPlannerReplaced guards against a fleet that gets no new planner after its planner
// died, and against two planners at once.
func TestPlannerReplaced(t *testing.T) {
	withFleet(t, 8, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		fl.kill(fl.planningHost())
		elapsed := fl.waitFor("new planner's plan", takeOverLimit, func() bool {
			fl.planningHost()
			now, _ := fl.storedPlan()
			return now.GetFence() > before.GetFence()
		})
		t.Logf("plan of the new planner after %s", elapsed)
	})
}

// TestPlannerCutOff guards against a planner that continues to plan although it is cut off
// from the store, and against one that uses its expired lease when the store is back.
func TestPlannerCutOff(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		old := fl.planningHost()
		place := fl.places[old]
		store := emulator.Place{Region: "store"}
		fl.network.Listen("store:1", store, fl.platform)
		fl.network.SetPartition(func(from, to emulator.Place) bool {
			return from == place && to == store || from == store && to == place
		})
		fl.waitFor("take-over", takeOverLimit, func() bool {
			now, _ := fl.storedPlan()
			return now.GetFence() > before.GetFence()
		})
		if got := fl.planningHost(); got == old {
			t.Errorf("%s still plans without the store", old)
		}
		fl.network.SetPartition(nil)
		time.Sleep(20 * time.Second)
		now, _ := fl.storedPlan()
		if got := fl.planningHost(); got == old || now.GetFence() != before.GetFence()+1 {
			t.Errorf("%s plans with fence %d, want another host with %d", got, now.GetFence(), before.GetFence()+1)
		}
	})
}

// planWriteBlocker delays a write of the plan's head on its way to the store until release
// is closed. A value in blocked shows that a write is delayed.
type planWriteBlocker struct {
	next    http.RoundTripper
	release chan struct{}
	blocked chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (b *planWriteBlocker) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, replicator.HeadName(replicator.KindPlan)) {
		select {
		case b.blocked <- struct{}{}:
			<-b.release
			// The write reaches the store although its sender has given up.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		default:
		}
	}
	return b.next.RoundTrip(r)
}

// TestLateWriteFails guards against a plan that takes effect although its write reaches the
// store only after another host has become planner.
func TestLateWriteFails(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		// The first write of a plan is delayed, so its sender loses the lease meanwhile.
		release, blocked := make(chan struct{}), make(chan struct{}, 1)
		for name, place := range fl.places {
			fl.kill(name)
			fl.startWithStoreTransport(name, place, &planWriteBlocker{next: fl.network.Transport(place), release: release, blocked: blocked})
		}
		fl.waitFor("write delayed", 2*takeOverLimit, func() bool { return len(blocked) == 1 })
		delayed := fl.planningHost()
		fl.waitFor("plan of another host", 3*takeOverLimit, func() bool {
			now, _ := fl.storedPlan()
			return now.GetFence() > 1
		})
		before, version := fl.storedPlan()
		close(release)
		time.Sleep(10 * time.Second)
		after, v := fl.storedPlan()
		if after.GetFence() != before.GetFence() || v != version {
			t.Errorf("after the late write fence %d version %d, before it %d %d", after.GetFence(), v, before.GetFence(), version)
		}
		if got := fl.hosts[delayed].Meter().Get("plans_stale") + fl.hosts[delayed].Meter().Get("plans_failed"); got == 0 {
			t.Errorf("%s did not count its plan as refused", delayed)
		}
	})
}

// startWithStoreTransport starts a host that uses the given transport for calls to the store.
func (fl *fleet) startWithStoreTransport(name string, place emulator.Place, store http.RoundTripper) {
	fl.t.Helper()
	h, err := Start(Config{
		Name: name, Region: place.Region, AvailabilityZone: place.AvailabilityZone, StoreURL: storeURL,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Loggers: logger.Discard(),
		StoreTransport: store, BackendTransport: fl.network.Transport(place), DialPeer: fl.network.PeerDialer(place),
	})
	assertNoError(fl.t, err, "start "+name)
	fl.hosts[name], fl.places[name] = h, place
	fl.network.ListenPeer(name+":2", place, h.PeerHandler())
	fl.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: place.Region, AvailabilityZone: place.AvailabilityZone,
		Address: name + ":1", PeerAddress: name + ":2",
	})
}

// TestPlanWithStoreDown guards against hosts that change or lose the plan, or still count as
// planner, while the store is down.
func TestPlanWithStoreDown(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		_, version := fl.storedPlan()
		fl.platform.SetFaults(emulator.Faults{Down: true})
		for range 60 {
			time.Sleep(time.Second)
			for name, h := range fl.hosts {
				if got := h.Snapshot().Versions()[replicator.KindPlan]; got != version {
					t.Fatalf("%s has plan %d in force, want %d", name, got, version)
				}
				assertStatus(t, fl.get(name, "/dispatch/open", ""), http.StatusOK, "request at "+name)
			}
		}
		if got := fl.planningHost(); got != "" {
			t.Errorf("%s plans without the store", got)
		}
	})
}

// TestLostWriteAnswers guards against a planner that loses its lease, or writes twice,
// because answers of the store to its writes are lost.
func TestLostWriteAnswers(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		for range 10 {
			fl.platform.SetFaults(emulator.Faults{DropWriteResponses: 1})
			time.Sleep(3 * time.Second)
		}
		if now, _ := fl.storedPlan(); now.GetFence() != before.GetFence() {
			t.Errorf("fence %d, want %d", now.GetFence(), before.GetFence())
		}
	})
}

// TestIdleLedgerNeedsNoWrites guards against writes of an unchanged ledger, since share
// leases are renewed by promises, and against a planner that writes more than the renewal
// of its lease every 2 s.
func TestIdleLedgerNeedsNoWrites(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		time.Sleep(20 * time.Second)
		version := func() uint64 {
			obj, err := fl.store.Get(fl.t.Context(), "ledger")
			assertNoError(t, err, "read ledger")
			return obj.Version
		}
		ledger, writes := version(), fl.storeWrites()
		time.Sleep(10 * time.Minute)
		if got := version() - ledger; got != 0 {
			t.Errorf("%d ledger writes in ten minutes without changes, want none", got)
		}
		if got := fl.storeWrites() - writes; got > 10*60/2 {
			t.Errorf("%d writes in ten minutes without changes, want at most one every 2 s", got)
		}
	})
}

// TestRegionDrained guards against a drained region that still gets traffic, and against
// more shifted requests than the cap allows. The cap also covers requests from callers of
// the drained region that arrive at hosts of the other region.
func TestRegionDrained(t *testing.T) {
	const capPerS = 20
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(capPerS)
		cfg := fl.config()
		// The caller address of httptest's requests is in this block.
		cfg.Sites = []*schema.Site{{Name: "lake", Region: "north", Blocks: []string{"192.0.2.0/24"}}}
		fl.waitFor("site", inForceLimit, fl.inForce(replicator.KindConfig, fl.write(replicator.KindConfig, cfg)))
		start := time.Now()
		version := fl.write(replicator.KindDrains, &schema.Drains{Regions: []string{"north"}})
		fl.waitFor("drain", inForceTarget, fl.inForce(replicator.KindDrains, version))
		fl.waitFor("no weight for region north", inForceTarget+30*time.Second, func() bool {
			p, _ := fl.storedPlan()
			weights := planner.FindRoute(p, "dispatch", "north").GetWeights()
			return len(weights) == 1 && weights[0].GetRegion() == "south"
		})
		t.Logf("weights without region north after %s", time.Since(start))
		for _, entry := range []string{"host-0", "host-1"} {
			t.Logf("requests to %s", entry)
			fl.checkShiftCap(entry, capPerS)
			time.Sleep(5 * time.Second)
		}
	})
}

// checkShiftCap sends 400 requests of callers in the drained region north to a host, within
// 2 s. It requires that some run, all in the other region and no more than the cap allows.
func (fl *fleet) checkShiftCap(entry string, capPerS float64) {
	fl.t.Helper()
	start := time.Now()
	responses := make(chan *http.Response, 400)
	for range cap(responses) {
		go func() { responses <- fl.get(entry, "/dispatch/open", "") }()
		time.Sleep(5 * time.Millisecond)
	}
	passed, refused := 0, 0
	for range cap(responses) {
		resp := <-responses
		switch {
		case resp.StatusCode == http.StatusOK:
			passed++
			if got := resp.Header.Get(forwarder.ServerHeader); got != "backend-1" && got != "backend-3" {
				fl.t.Fatalf("a request ran at %s in the drained region", got)
			}
		case resp.Header.Get(forwarder.OutcomeHeader) == string(forwarder.NotRun):
			refused++
		default:
			fl.t.Fatalf("status %d, outcome %q", resp.StatusCode, resp.Header.Get(forwarder.OutcomeHeader))
		}
	}
	limit := capPerS*time.Since(start).Seconds() + capPerS
	fl.t.Logf("%d passed, %d refused, at most %.0f may pass", passed, refused, limit)
	if float64(passed) > limit || passed == 0 || refused == 0 {
		fl.t.Errorf("%d passed and %d refused, at most %.0f may pass", passed, refused, limit)
	}
}

// TestRegionLost guards against requests that run in a region without live hosts, and
// against a returned region that gets its full share at once instead of over a ramp.
func TestRegionLost(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		fl.kill("host-1")
		fl.kill("host-3")
		north := fl.hosts["host-0"]
		fl.waitFor("region south failed", 3*time.Second, func() bool { return north.Snapshot().RegionHealth("south") == 0 })
		for range 100 {
			resp := fl.get("host-0", "/dispatch/open", "")
			assertStatus(t, resp, http.StatusOK, "request")
			if got := resp.Header.Get(forwarder.ServerHeader); got != "backend-0" && got != "backend-2" {
				t.Fatalf("a request ran at %s in the lost region", got)
			}
		}
		fl.start("host-1", testPlaces[1])
		elapsed := fl.waitFor("full share for region south", 30*time.Second, func() bool { return north.Snapshot().RegionHealth("south") == 1000 })
		if elapsed < 13*time.Second {
			t.Errorf("region south has its full share after %s; 3 s with live hosts and a ramp of 10 s must come first", elapsed)
		}
	})
}

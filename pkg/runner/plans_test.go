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
	// takeOverLimit is the time in which a new planner writes: the lease of 6 s
	// with its quarter, one look of 2 s at the lease, and 2 s for the plan to be
	// in force everywhere.
	takeOverLimit = 7500*time.Millisecond + 2*time.Second + inForceTarget
)

// addLinks links the two regions and waits for the first plan.
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

// planningHost returns the one host that plans; it fails when there are two.
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

// storedPlan returns the storedPlan in the store.
func (fl *fleet) storedPlan() (*schema.Plan, uint64) {
	fl.t.Helper()
	head, content, err := fl.pub.Read(fl.t.Context(), replicator.KindPlan)
	assertNoError(fl.t, err, "read plan")
	p := &schema.Plan{}
	assertNoError(fl.t, proto.Unmarshal(content, p), "decode plan")
	return p, head.GetVersion()
}

// TestPlannerReplaced guards against a fleet that never plans again after its
// planner died, and against two hosts that plan at once.
func TestPlannerReplaced(t *testing.T) {
	withFleet(t, 8, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		fl.kill(fl.planningHost())
		took := fl.waitFor("new planner's plan", takeOverLimit, func() bool {
			fl.planningHost()
			now, _ := fl.storedPlan()
			return now.GetFence() > before.GetFence()
		})
		t.Logf("taken over after %s", took)
	})
}

// TestPlannerCutOff guards against a planner that goes on planning without the
// store, and against one that plans again with its old lease.
func TestPlannerCutOff(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		old := fl.planningHost()
		at := fl.places[old]
		store := emulator.Place{Region: "store"}
		fl.network.Listen("store:1", store, fl.platform)
		fl.network.SetCut(func(from, to emulator.Place) bool {
			return from == at && to == store || from == store && to == at
		})
		fl.waitFor("take-over", takeOverLimit, func() bool {
			now, _ := fl.storedPlan()
			return now.GetFence() > before.GetFence()
		})
		if got := fl.planningHost(); got == old {
			t.Errorf("%s still plans without the store", old)
		}
		fl.network.SetCut(nil)
		time.Sleep(20 * time.Second)
		now, _ := fl.storedPlan()
		if got := fl.planningHost(); got == old || now.GetFence() != before.GetFence()+1 {
			t.Errorf("%s plans with fence %d, want another host with %d", got, now.GetFence(), before.GetFence()+1)
		}
	})
}

// planWriteBlocker holds back writes of the plan's head on their way to the store.
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
			// The host that sent it gave up; the write still reaches the store.
			r = r.WithContext(context.WithoutCancel(r.Context()))
		default:
		}
	}
	return b.next.RoundTrip(r)
}

// TestLateWriteFails guards against the plan of a planner that slept on its way
// to the store and was replaced meanwhile.
func TestLateWriteFails(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		// Every host's first plan is blocked back, so the first planner sleeps.
		release, blocked := make(chan struct{}), make(chan struct{}, 1)
		for name, at := range fl.places {
			fl.kill(name)
			fl.startWithStoreTransport(name, at, &planWriteBlocker{next: fl.network.Transport(at), release: release, blocked: blocked})
		}
		fl.waitFor("write held back", 2*takeOverLimit, func() bool { return len(blocked) == 1 })
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
			t.Errorf("%s did not notice that its plan was refused", delayed)
		}
	})
}

// startWithStoreTransport starts a host whose calls to the store use a transport of the test.
func (fl *fleet) startWithStoreTransport(name string, at emulator.Place, store http.RoundTripper) {
	fl.t.Helper()
	h, err := Start(Config{
		Name: name, Region: at.Region, AvailabilityZone: at.AvailabilityZone, StoreURL: storeURL,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Loggers: logger.Discard(),
		StoreTransport: store, BackendTransport: fl.network.Transport(at), DialPeer: fl.network.Peer(at),
	})
	assertNoError(fl.t, err, "start "+name)
	fl.hosts[name], fl.places[name] = h, at
	fl.network.ListenPeer(name+":2", at, h.PeerHandler())
	fl.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: at.Region, AvailabilityZone: at.AvailabilityZone,
		Address: name + ":1", PeerAddress: name + ":2",
	})
}

// TestPlanWithStoreDown guards against a plan that changes or is lost while
// nobody can write one.
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

// TestLostWriteAnswers guards against a planner that counts as lost, or writes
// twice, because the store's answers are lost.
func TestLostWriteAnswers(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		before, _ := fl.storedPlan()
		for range 10 {
			fl.platform.SetFaults(emulator.Faults{LoseWriteAnswers: 1})
			time.Sleep(3 * time.Second)
		}
		if now, _ := fl.storedPlan(); now.GetFence() != before.GetFence() {
			t.Errorf("fence %d, want %d", now.GetFence(), before.GetFence())
		}
	})
}

// TestCalmLedgerNeedsNoWrites guards against renewals of share leases that load
// the store, and against a planner that writes more than its renewals of the
// lease every 2 s.
func TestCalmLedgerNeedsNoWrites(t *testing.T) {
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
			t.Errorf("%d ledger writes in ten calm minutes", got)
		}
		if got := fl.storeWrites() - writes; got > 10*60/2 {
			t.Errorf("%d writes in ten calm minutes, want at most one each 2 s", got)
		}
	})
}

// TestRegionDrained guards against a drained region that keeps traffic, and
// against a shift over its cap, also of callers whom look-ups have sent to a
// host of the other region already.
func TestRegionDrained(t *testing.T) {
	const capPerS = 20
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(capPerS)
		cfg := fl.config()
		// The address of httptest's requests belongs to the north.
		cfg.Sites = []*schema.Site{{Name: "lake", Region: "north", Blocks: []string{"192.0.2.0/24"}}}
		fl.waitFor("site", inForceLimit, fl.inForce(replicator.KindConfig, fl.write(replicator.KindConfig, cfg)))
		start := time.Now()
		version := fl.write(replicator.KindDrains, &schema.Drains{Regions: []string{"north"}})
		fl.waitFor("drain", inForceTarget, fl.inForce(replicator.KindDrains, version))
		fl.waitFor("no weight at north", inForceTarget+30*time.Second, func() bool {
			p, _ := fl.storedPlan()
			weights := planner.FindRoute(p, "dispatch", "north").GetWeights()
			return len(weights) == 1 && weights[0].GetRegion() == "south"
		})
		t.Logf("weights at north are zero after %s", time.Since(start))
		for _, entry := range []string{"host-0", "host-1"} {
			t.Logf("entering at %s", entry)
			fl.checkShiftCap(entry, capPerS)
			time.Sleep(5 * time.Second)
		}
	})
}

// checkShiftCap sends 400 requests from the north in 2 s to a host while the
// north is drained, and requires that no more run than the cap allows.
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

// TestRegionLost guards against requests that go to a region without live
// hosts, and against one that gets its whole part back at once.
func TestRegionLost(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.addLinks(50)
		fl.kill("host-1")
		fl.kill("host-3")
		north := fl.hosts["host-0"]
		fl.waitFor("south counts as failed", 3*time.Second, func() bool { return north.Snapshot().RegionHealth("south") == 0 })
		for range 100 {
			resp := fl.get("host-0", "/dispatch/open", "")
			assertStatus(t, resp, http.StatusOK, "request")
			if got := resp.Header.Get(forwarder.ServerHeader); got != "backend-0" && got != "backend-2" {
				t.Fatalf("a request ran at %s in the lost region", got)
			}
		}
		fl.start("host-1", testPlaces[1])
		took := fl.waitFor("south takes its whole part", 30*time.Second, func() bool { return north.Snapshot().RegionHealth("south") == 1000 })
		if took < 13*time.Second {
			t.Errorf("the whole part is back after %s; 3 s of news and a ramp of 10 s come first", took)
		}
	})
}

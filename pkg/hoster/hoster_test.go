package hoster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/steerer"
)

// testNetwork connects hosts in one process.
type testNetwork struct {
	ctx   context.Context
	clock *clock.Manual
	hosts map[string]*Host
}

// unreachableClient fails all calls, so that only exchanges that a test makes
// happen.
type unreachableClient struct{ schema.DRPCFleetClient }

func (unreachableClient) Exchange(context.Context, *schema.HostReport) (*schema.HostReport, error) {
	return nil, errors.New("no connection")
}

func (unreachableClient) DRPCConn() drpc.Conn { return nil }

// start starts a host. It takes the place of an earlier one of the same name.
func (n *testNetwork) start(name string) *Host {
	n.hosts[name] = New(n.ctx, Config{
		Name: name, Region: "r" + name[:1], AvailabilityZone: "z" + name[:1], CallerAddress: name + ":1", PeerAddress: name + ":2",
		Headers: steerer.Headers{}, MaxRevocationDelay: 5000, RetryBudget: rationer.RetryConfig{Ratio: 0.2, Window: 10000, Slack: 50},
		ShiftRate: 0.02, ColdSenders: 4, LookupTTL: 2000, ObjectKinds: []string{"servers"},
		DialPeer: func(context.Context, string) schema.DRPCFleetClient { return unreachableClient{} },
		Clock:    n.clock.Clock(), Log: zerolog.Nop(), Meter: meter.New(),
	})
	return n.hosts[name]
}

func withHosts(t *testing.T, names []string, test func(n *testNetwork, h map[string]*Host)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &testNetwork{ctx: ctx, clock: &clock.Manual{}, hosts: make(map[string]*Host)}
	n.clock.Advance(100000)
	for _, name := range names {
		n.start(name)
	}
	test(n, n.hosts)
}

// exchangeReports makes one exchange of reports, as the gossiper does.
func exchangeReports(from, to *Host) {
	report := from.buildReport(to.cfg.Name)
	to.handleReport(report, 0)
	from.handleReport(to.buildReport(from.cfg.Name), 1)
}

func testConfig(version uint64) cataloger.Config {
	return cataloger.Config{
		Version: version, Services: []cataloger.Service{{Name: "desk", ColdTime: 3000, ColdRate: 10}},
		Routes: []cataloger.Route{{
			Name: "p", Host: "a", Prefix: "/", Services: []cataloger.WeightedService{{Service: "desk", Weight: 1}}, Timeout: 800, TargetLatency: 250, MaxAttempts: 2,
		}},
		Workspaces: []cataloger.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 10, Burst: 10}},
	}
}

// makeReady gives a host all that it needs to be ready.
func makeReady(h *Host, version uint64, servers ...registrar.Server) {
	f := h.Feed()
	f.SetConfig(testConfig(version))
	f.ReplaceServers(servers)
	f.ReplaceEvacuations(nil)
	f.HostsListed(true)
	f.ConfirmConfig(h.cfg.Clock.Now())
}

func testServer(id, zone string) registrar.Server {
	return registrar.Server{ID: id, Service: "desk", Address: id, Zone: zone, Region: "r" + zone[1:], Slots: 4}
}

func assertReady(t *testing.T, step string, h *Host, want bool) {
	t.Helper()
	if got := h.Ready(); got != want {
		t.Errorf("%s: ready is %v, want %v", step, got, want)
	}
}

// A host that can't confirm its configuration must stop accepting keys before a
// revoked one has to be out of use, also after a suspension.
func TestMaxRevocationDelay(t *testing.T) {
	withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
		a := h["a1"]
		assertReady(t, "at the start", a, false)
		makeReady(a, 1)
		assertReady(t, "after all lists", a, true)
		n.clock.Advance(4300)
		assertReady(t, "4.3 s after the last contact", a, true)
		n.clock.Advance(100)
		assertReady(t, "4.4 s after the last contact", a, false)
		if a.configFresh() {
			t.Error("keys are accepted 4.4 s after the last contact")
		}
	})
}

// A confirmation by another host counts from the time at which that host had it,
// however long the report was in transit.
func TestConfirmationByPeers(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 5)
		makeReady(b, 5)
		exchangeReports(a, b)
		n.clock.Advance(3000)
		a.Feed().ConfirmConfig(n.clock.Clock().Now())
		exchangeReports(b, a)
		n.clock.Advance(4000)
		if !b.configFresh() {
			t.Error("the confirmation by the other host does not count")
		}
		n.clock.Advance(1000)
		if b.configFresh() {
			t.Error("the confirmation by the other host counts for too long")
		}
	})
	t.Run("a late report", func(t *testing.T) {
		withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
			a, b := h["a1"], h["a2"]
			makeReady(a, 5)
			makeReady(b, 5)
			exchangeReports(a, b)
			late := a.buildReport("a2") // in a socket while b is suspended
			n.clock.Advance(10000)
			b.handleReport(late, 0)
			if b.configFresh() {
				t.Error("a report that was on its way for 10 s confirms the configuration")
			}
		})
	})
	t.Run("a newer configuration elsewhere", func(t *testing.T) {
		withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
			a, b := h["a1"], h["a2"]
			makeReady(a, 5)
			makeReady(b, 5)
			n.clock.Advance(4000)
			makeReady(a, 6)
			exchangeReports(a, b)
			exchangeReports(b, a)
			n.clock.Advance(500)
			if b.configFresh() {
				t.Error("a confirmation of version 6 counts for a host with version 5")
			}
		})
	})
}

// An older configuration must not replace a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	withHosts(t, []string{"a1"}, func(_ *testNetwork, h map[string]*Host) {
		a := h["a1"]
		makeReady(a, 7)
		a.Feed().SetConfig(testConfig(6))
		if v := a.catalog.Load().Version(); v != 7 {
			t.Errorf("version %d in force, want 7", v)
		}
		bad := testConfig(8)
		bad.Routes[0].Prefix = "x"
		a.Feed().SetConfig(bad)
		if v := a.catalog.Load().Version(); v != 7 {
			t.Errorf("version %d in force after an invalid one, want 7", v)
		}
	})
}

func chosenZones(a *Host) []string {
	var zones []string
	for range 50 {
		c, _ := a.chooseServer(balancer.Request{Service: "desk", Class: "p", TargetLatency: 250, TimeLeft: 800})
		if c.Refused {
			zones = append(zones, c.Reason)
			continue
		}
		a.finishAttempt(balancer.Attempt{Choice: c, Class: "p", Result: balancer.Answered, Duration: 100})
		zones = append(zones, c.Server.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// An evacuated zone gets no requests, and its servers are cold when it is back in
// use.
func TestEvacuation(t *testing.T) {
	withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
		a := h["a1"]
		makeReady(a, 1, testServer("s1", "za"), testServer("s2", "zb"))
		a.Feed().SetEvacuation("za", true)
		if got := chosenZones(a); !slices.Equal(got, []string{"zb"}) {
			t.Errorf("zones %v while za is evacuated", got)
		}
		a.Feed().SetEvacuation("za", false)
		if until := a.registrar.Entries()["s1"].ColdUntil; until != n.clock.Clock().Now()+3000 {
			t.Errorf("cold until %d, want 3 s from now", until)
		}
	})
}

// A draining server gets no further requests.
func TestDraining(t *testing.T) {
	withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
		a := h["a1"]
		makeReady(a, 1, testServer("s1", "za"))
		s := testServer("s1", "za")
		s.Draining = true
		n.clock.Advance(minPublishInterval)
		a.Feed().SetServer(s)
		a.Feed().BatchApplied(relayer.Batch{Kind: "servers", UpTo: 2})
		if got := chosenZones(a); !slices.Equal(got, []string{balancer.ReasonNoServer}) {
			t.Errorf("choices %v, want none", got)
		}
	})
}

// When hundreds of servers were replaced, a small host spent half of its processor
// time on publishing each change, and learned of other changes seconds late.
func TestManyChangesArePublishedTogether(t *testing.T) {
	withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
		a := h["a1"]
		var list []registrar.Server
		for i := range 100 {
			list = append(list, testServer(fmt.Sprint("s", i), "za"))
		}
		makeReady(a, 1, list...)
		before := a.cfg.Meter.Get("servers_published")
		for i, s := range list {
			s.Draining = true
			a.Feed().SetServer(s)
			a.Feed().BatchApplied(relayer.Batch{Kind: "servers", After: uint64(i), UpTo: uint64(i + 1)})
		}
		if got := a.cfg.Meter.Get("servers_published") - before; got > 1 {
			t.Errorf("published %d times for simultaneous changes, want at most once", got)
		}
		n.clock.Advance(100)
		a.apply(a.tick)
		if got := chosenZones(a); !slices.Equal(got, []string{balancer.ReasonNoServer}) {
			t.Errorf("choices %v after the next tick, want none", got)
		}
	})
}

// Look-ups name the hosts of the caller's region that are live and ready.
func TestLookup(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "a3", "b1"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1)
		}
		a := h["a1"]
		h["a3"].Leave(3000, 6000)
		for _, other := range []string{"a2", "a3", "b1"} {
			exchangeReports(h[other], a)
		}
		assertLookup := func(step, region string, want ...string) {
			t.Helper()
			got, age := a.Lookup(region, "")
			if !slices.Equal(got, want) || age != 2000 {
				t.Errorf("%s: hosts %v for %d ms, want %v", step, got, age, want)
			}
		}
		assertLookup("region of the host", "ra", "a1:1", "a2:1")
		assertLookup("other region", "rb", "b1:1")
		assertLookup("region without hosts", "rc", "a1:1", "a2:1", "b1:1")
		n.clock.Advance(1600)
		assertLookup("after 1.6 s of silence", "ra", "a1:1")
	})
}

// A host that has lost the store stays ready only while other hosts send it updates.
func TestStoreLost(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 1)
		makeReady(b, 1)
		a.Feed().StoreLost(context.DeadlineExceeded)
		for range 5 {
			n.clock.Advance(1000)
			b.Feed().ConfirmConfig(n.clock.Clock().Now())
			exchangeReports(a, b)
			exchangeReports(a, b)
			assertReady(t, "with changes from another host", a, true)
		}
		n.clock.Advance(2600)
		assertReady(t, "2.6 s without the store and other hosts", a, false)
		a.Feed().StoreRegained()
		assertReady(t, "after the store is back", a, true)
	})
}

// Entries that disappear while the host receives no updates may have expired in the
// outage, and are kept. Those that disappear while other hosts report changes are
// removed.
func TestEntriesInOutage(t *testing.T) {
	for name, hasUpdates := range map[string]bool{"updates from others": true, "without other hosts": false} {
		t.Run(name, func(t *testing.T) {
			withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
				a := h["a1"]
				makeReady(a, 1, testServer("s1", "za"), testServer("s2", "za"))
				a.Feed().StoreLost(context.DeadlineExceeded)
				n.clock.Advance(2600)
				if hasUpdates {
					a.Feed().ConfirmConfig(n.clock.Clock().Now())
				}
				a.apply(a.tick)
				a.Feed().RemoveServer("s1")
				kept := false
				a.apply(func() { _, kept = a.registrar.Entries()["s1"] })
				if kept == hasUpdates {
					t.Errorf("the missing entry is kept: %v", kept)
				}
			})
		})
	}
}

// A host that does not watch the store receives changes from one that does.
func TestChangesAreRelayed(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "a3", "b1"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1)
			host.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 10, UpTo: 10})
		}
		n.clock.Advance(watchDelay)
		for _, other := range []string{"a2", "a3", "b1"} {
			exchangeReports(h["a1"], h[other])
			exchangeReports(h["a3"], h[other])
		}
		for name, want := range map[string]bool{"a1": true, "a2": true, "a3": false, "b1": true} {
			if got := h[name].shouldWatch(); got != want {
				t.Errorf("%s watches: %v, want %v", name, got, want)
			}
		}
		b := relayer.Batch{Kind: "servers", After: 10, UpTo: 12, Changes: []relayer.Change{{Name: "s1", Revision: 12}}}
		h["a1"].Feed().BatchApplied(b)
		exchangeReports(h["a1"], h["a3"])
		exchangeReports(h["a1"], h["b1"])
		if got := len(h["a3"].relayedBatches); got != 1 {
			t.Errorf("%d batches for a host of the region, want 1", got)
		}
		if got := len(h["b1"].relayedBatches); got != 0 {
			t.Errorf("%d batches for a host of another region, which has a watcher", got)
		}
		h["b1"].Feed().StoreLost(context.DeadlineExceeded)
		exchangeReports(h["b1"], h["a1"])
		exchangeReports(h["b1"], h["a1"])
		if got := len(h["b1"].relayedBatches); got == 0 {
			t.Error("no batch for a host of another region that has lost the store")
		}
		h["a2"].Feed().StoreLost(context.DeadlineExceeded)
		exchangeReports(h["a2"], h["a3"])
		if !h["a3"].shouldWatch() {
			t.Error("no host watches for one that has lost the store")
		}
	})
}

// In a large fleet a changed server reached each host once from every neighbor: they
// sent again what the host had lacked one report interval before.
func TestChangesSentOnceInLargeFleet(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "a3"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1)
			host.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 10, UpTo: 10})
		}
		exchangeReports(h["a1"], h["a3"])
		exchangeReports(h["a2"], h["a3"])
		b := relayer.Batch{Kind: "servers", After: 10, UpTo: 12, Changes: []relayer.Change{{Name: "s1", Revision: 12}}}
		for _, host := range h {
			host.Feed().BatchApplied(b) // from any source
		}
		reportedAt := n.clock.Clock().Now()
		n.clock.Advance(800)
		for _, name := range []string{"a1", "a2"} {
			if got := len(h[name].buildReport("a3").GetBatches()); got != 0 {
				t.Errorf("%d batches from %s in a call to a host that last reported 800 ms ago", got, name)
			}
		}
		if got := h["a1"].fleet.relayRevisions("a3", reportedAt+relayer.LagTolerance); len(got) == 0 {
			t.Error("a host that last reported 400 ms ago gets no changes")
		}
	})
}

// A host that receives reports before its first configuration must not count all
// earlier admissions of other hosts as new requests.
func TestReportsBeforeConfiguration(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 1)
		for range 100 {
			a.admit("w")
			n.clock.Advance(100)
		}
		exchangeReports(a, b)
		makeReady(b, 1)
		for range 20 {
			exchangeReports(a, b)
			n.clock.Advance(100)
		}
		for i := range 2 {
			if ok, _ := b.admit("w"); !ok {
				t.Errorf("request %d was refused 2 s after the first configuration, with a rate of 10 a second", i+1)
			}
		}
	})
}

// Only the first live host polls the store regularly; the next take over.
func TestPolls(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		for _, host := range h {
			makeReady(host, 1)
			host.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 10, UpTo: 10})
		}
		exchangeReports(a, b)
		n.clock.Advance(1000)
		if len(a.kindsToPoll()) == 0 || len(b.kindsToPoll()) != 0 {
			t.Errorf("kinds to poll: %v by the first host and %v by the second", a.kindsToPoll(), b.kindsToPoll())
		}
		n.clock.Advance(600)
		if len(b.kindsToPoll()) == 0 {
			t.Error("the second host does not take over from the first")
		}
	})
}

// A watch that missed changes was detected only when it ended, 25 s later.
func TestStalledWatchIsDetected(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		for _, host := range h {
			makeReady(host, 1)
			host.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 10, UpTo: 10})
		}
		a.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 12, UpTo: 12})
		exchangeReports(a, b)
		if due := b.kindsToPoll(); len(due) != 0 {
			t.Errorf("kinds to poll %v before the tolerated time has passed", due)
		}
		n.clock.Advance(relayer.LagTolerance)
		if due := b.kindsToPoll(); !slices.Equal(due, []string{"servers"}) {
			t.Errorf("kinds to poll %v, want servers", due)
		}
		b.Feed().ListApplied(relayer.List{Kind: "servers", LastChange: 12, UpTo: 12})
		if due := b.kindsToPoll(); len(due) != 0 {
			t.Errorf("kinds to poll %v after the change is known", due)
		}
	})
}

// Weights of a split hold in every short run of requests.
func TestSplitIsEven(t *testing.T) {
	withHosts(t, []string{"a1"}, func(_ *testNetwork, h map[string]*Host) {
		first := 0
		for range 100 {
			if h["a1"].nextSplitPoint("p") < 0.9 {
				first++
			}
		}
		if first < 88 || first > 92 {
			t.Errorf("%d of 100 requests for a weight of 90 %%", first)
		}
	})
}

// The control goroutine ends with its context, and no call blocks afterwards.
func TestStop(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := New(ctx, Config{
		Name: "a1", Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
		DialPeer: func(context.Context, string) schema.DRPCFleetClient { return unreachableClient{} },
	})
	cancel()
	done := make(chan struct{})
	go func() { h.apply(func() {}); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("a change blocks after the context has ended")
	}
}

// A restored store may lack the configuration that revokes a key until the operator has written it
// again. Until then it can't confirm that a host has the newest one.
func TestConfirmationByRestoredStore(t *testing.T) {
	withRestored := func(t *testing.T, test func(n *testNetwork, a *Host)) {
		t.Helper()
		withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
			a := h["a1"]
			makeReady(a, 5)
			n.clock.Advance(3000)
			a.Feed().StoreRestored()
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			test(n, a)
		})
	}
	t.Run("not at once", func(t *testing.T) {
		withRestored(t, func(n *testNetwork, a *Host) {
			n.clock.Advance(1400)
			assertReady(t, "4.4 s after the last confirmation", a, false)
			if a.Feed().ShouldListAgain() {
				t.Error("the store is listed again before servers and operators have written again")
			}
		})
	})
	t.Run("once the operator has written it", func(t *testing.T) {
		withRestored(t, func(n *testNetwork, a *Host) {
			a.Feed().ConfigWritten()
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			n.clock.Advance(1400)
			assertReady(t, "1.4 s after the operator has written it", a, true)
		})
	})
	t.Run("after the time for writing it", func(t *testing.T) {
		withRestored(t, func(n *testNetwork, a *Host) {
			n.clock.Advance(registrar.RestoreGrace)
			if !a.Feed().ShouldListAgain() || a.Feed().ShouldListAgain() {
				t.Error("the store is not listed again, or more than once")
			}
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			n.clock.Advance(1400)
			assertReady(t, "after a later confirmation", a, true)
		})
	})
}

// A host that the store does not answer gets no changes of a later epoch from other hosts.
func TestHostInEarlierEpoch(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		for _, host := range h {
			makeReady(host, 5)
			host.Feed().ListApplied(relayer.List{Kind: "servers", Epoch: 1, LastChange: 10, UpTo: 10})
		}
		b.Feed().StoreLost(errors.New("no response"))
		exchangeReports(a, b)
		assertReady(t, "with the changes of others", b, true)
		a.Feed().ListApplied(relayer.List{Kind: "servers", Epoch: 2, LastChange: 5, UpTo: 5})
		exchangeReports(a, b)
		n.clock.Advance(relayer.LagTolerance)
		assertReady(t, "in an earlier epoch than others", b, false)
		b.Feed().StoreRegained()
		b.Feed().ListApplied(relayer.List{Kind: "servers", Epoch: 2, LastChange: 5, UpTo: 5})
		assertReady(t, "after its own list", b, true)
	})
}

// A host that starts just after the store was restored reads an old configuration, whose keys may
// have been revoked. It must not accept them once it knows that others have a newer one.
func TestStartWithRestoredStore(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 10)
		makeReady(b, 7)
		assertReady(t, "before the first report", b, true)
		exchangeReports(a, b)
		assertReady(t, "after a report with a newer configuration", b, false)
		n.clock.Advance(registrar.RestoreGrace)
		b.Feed().ConfirmConfig(n.clock.Clock().Now())
		n.clock.Advance(3000)
		assertReady(t, "confirmed by the restored store", b, false)
		b.Feed().SetConfig(testConfig(10))
		b.Feed().ConfirmConfig(n.clock.Clock().Now())
		assertReady(t, "with the newer configuration", b, true)
	})
}

// A host that starts when the store may just have been restored, and hears of no newer
// configuration, must accept no keys until the operator has had time to write it again.
func TestStartWithUnknownStore(t *testing.T) {
	withStarted := func(t *testing.T, hasNewestConfig bool, test func(n *testNetwork, a *Host)) {
		t.Helper()
		withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
			a, f := h["a1"], h["a1"].Feed()
			f.SetConfig(testConfig(7))
			f.ReplaceServers(nil)
			f.ReplaceEvacuations(nil)
			f.ConfirmConfig(n.clock.Clock().Now())
			if a.configFresh() {
				t.Error("keys are accepted before the hosts are listed")
			}
			f.HostsListed(hasNewestConfig)
			assertReady(t, "after the list of hosts", a, hasNewestConfig)
			test(n, a)
		})
	}
	t.Run("known", func(t *testing.T) {
		withStarted(t, true, func(*testNetwork, *Host) {})
	})
	t.Run("written by the operator", func(t *testing.T) {
		withStarted(t, false, func(n *testNetwork, a *Host) {
			n.clock.Advance(registrar.RestoreGrace - 1)
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			assertReady(t, "before the operator had time", a, false)
			a.Feed().ConfigWritten()
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			assertReady(t, "once the operator has written", a, true)
			if !a.storeHasNewestConfig() {
				t.Error("the store does not count as having the newest configuration")
			}
		})
	})
	t.Run("not written in time", func(t *testing.T) {
		withStarted(t, false, func(n *testNetwork, a *Host) {
			n.clock.Advance(registrar.RestoreGrace)
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			assertReady(t, "after the time for writing", a, true)
		})
	})
}

// An older configuration of a restored store must not be marked as the newest one.
func TestStoreBehindHost(t *testing.T) {
	withHosts(t, []string{"a1"}, func(n *testNetwork, h map[string]*Host) {
		a := h["a1"]
		makeReady(a, 9)
		a.Feed().StoreRestored()
		a.Feed().SetConfig(testConfig(7))
		n.clock.Advance(registrar.RestoreGrace)
		a.Feed().ConfirmConfig(n.clock.Clock().Now())
		if a.storeHasNewestConfig() {
			t.Error("the store counts as having the newest configuration with an older version")
		}
		a.Feed().SetConfig(testConfig(9))
		if !a.storeHasNewestConfig() {
			t.Error("the store does not count as having the newest configuration once it has")
		}
	})
}

// TestColdServerFloodedAfterRestart guards against hosts that start together, each take
// themselves for the only one, and all send to the same cold server.
func TestColdServerFloodedAfterRestart(t *testing.T) {
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("%c%02d", 'a'+i%3, i))
	}
	withHosts(t, names, func(_ *testNetwork, hosts map[string]*Host) {
		cold := testServer("s1", "za")
		cold.RemainingColdTime = 3000
		sent := 0
		for _, name := range names {
			h := hosts[name]
			makeReady(h, 1, cold)
			for _, other := range names {
				h.Feed().SetHost(other, "r"+other[:1], other+":2")
			}
			h.apply(h.tick)
			for range 3 {
				c, _ := h.chooseServer(balancer.Request{Service: "desk", Class: "p", TargetLatency: 250, TimeLeft: 800})
				if !c.Refused {
					sent++
				}
			}
		}
		if most := 1.5*10.0 + 5; float64(sent) > most {
			t.Errorf("%d requests to a cold server with a rate of 10 right after the start, want at most %.0f", sent, most)
		}
	})
}

package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// newSingleHost returns the dispatcher of a region with one host, which may grant all servers.
func newSingleHost(servers, slots, queue int, weights map[string]float64) (*Dispatcher, View) {
	return newSingleHostWithRules(DefaultRules(), servers, slots, queue, weights)
}

func newSingleHostWithRules(rules Rules, servers, slots, queue int, weights map[string]float64) (*Dispatcher, View) {
	d := New(Config{Self: "a", Epoch: 1, Start: -10000, Rules: rules})
	svc := Service{Name: "svc", ServiceTime: 10, QueueLength: queue, HasHealthEndpoint: true}
	for i := range servers {
		svc.Servers = append(svc.Servers, Server{Name: fmt.Sprintf("s%d", i), Slots: slots})
	}
	hosts := []string{"a"}
	view := View{EligibleOwners: hosts, LiveInRegion: hosts, LiveHosts: hosts, Services: []Service{svc}, Weights: weights}
	d.SetView(view, 0)
	for now := clock.Millis(0); now <= 2000; now += 100 {
		stepSingleHost(d, now, nil)
	}
	return d, view
}

func stepSingleHost(d *Dispatcher, now clock.Millis, held []*schema.HeldPermit) []Decision {
	r := &schema.ReportPermitsRequest{Host: "a", Incarnation: 1, Token: d.IssueToken(now), RegionHosts: 1, Permits: held}
	for name := range d.Owners() {
		r.Votes = append(r.Votes, name)
	}
	d.HandleReport(r, now)
	return d.Step(now)
}

// runWorkspaces sends requests of workspaces at the given rates per second for 20 s
// to 2 slots with a service time of 10 ms (200 requests a second). It returns the
// number of grants of each workspace.
func runWorkspaces(d *Dispatcher, rates map[string]int) map[string]int {
	type activeRequest struct {
		id  string
		end clock.Millis
	}
	var active []activeRequest
	granted, n := make(map[string]int), 0
	for now := clock.Millis(2001); now < 22001; now++ {
		for i := 0; i < len(active); i++ {
			if active[i].end <= now {
				d.Release(active[i].id, schema.PermitResult_PERMIT_RESULT_OK, 10, now)
				active = append(active[:i], active[i+1:]...)
				i--
			}
		}
		for _, w := range []string{"big", "low", "mid"} {
			for k := rates[w] * int(now) / 1000; k < rates[w]*int(now+1)/1000; k++ {
				n++
				d.Acquire(Request{Host: "a", Incarnation: 1, ID: fmt.Sprintf("%s-%d", w, n), Service: "svc", Workspace: w, Deadline: now + 2000}, now)
			}
		}
		var held []*schema.HeldPermit
		for _, r := range active {
			held = append(held, &schema.HeldPermit{PermitId: r.id, BackendServer: "s0", Service: "svc"})
		}
		for id := range d.lastAcquireAt {
			d.lastAcquireAt[id] = now
		}
		for _, dec := range stepSingleHost(d, now, held) {
			if dec.Granted {
				w, _, _ := strings.Cut(dec.ID, "-")
				granted[w]++
				active = append(active, activeRequest{dec.ID, now + 10})
			}
		}
	}
	return granted
}

// TestFairness guards against a workspace that takes the share of others by sending more.
func TestFairness(t *testing.T) {
	// Capacity is 200/s. Fair rates: low 40 (all that it sends), mid 53.3, big 106.7 (weights 1:1:2).
	d, _ := newSingleHost(1, 2, 0, map[string]float64{"low": 1, "mid": 1, "big": 2})
	got := runWorkspaces(d, map[string]int{"low": 40, "mid": 250, "big": 500})
	for w, fairRate := range map[string]float64{"low": 40, "mid": 160.0 / 3, "big": 320.0 / 3} {
		if share := float64(got[w]) / 20 / fairRate; share < 0.95 {
			t.Errorf("%s got %.3f of its share, want at least 0.95", w, share)
		} else {
			t.Logf("%s got %.3f of its share", w, share)
		}
	}
}

// TestFairnessCheckDetectsUnfairWeights shows that the check in TestFairness fails
// when the queue favours one workspace.
func TestFairnessCheckDetectsUnfairWeights(t *testing.T) {
	d, _ := newSingleHost(1, 2, 0, map[string]float64{"low": 1, "mid": 1, "big": 1e6})
	got := runWorkspaces(d, map[string]int{"low": 40, "mid": 250, "big": 500})
	if share := float64(got["low"]) / 20 / 40; share >= 0.95 {
		t.Errorf("low got %.3f of its share although the weights favour big, want less than 0.95", share)
	}
}

// TestRefusals guards against queueing requests that cannot be served, and against
// freeing a slot twice when a Release is retried.
func TestRefusals(t *testing.T) {
	d, view := newSingleHost(1, 1, 2, nil)
	acquire := func(id, service string, deadline clock.Millis, exclude ...string) string {
		dec := d.Acquire(Request{Host: "a", Incarnation: 1, ID: id, Service: service, Workspace: "w", Deadline: deadline, Exclude: exclude}, 2000)
		d.Step(2000)
		if dec.Queued {
			dec = d.Acquire(Request{Host: "a", Incarnation: 1, ID: id, Service: service, Workspace: "w", Deadline: deadline}, 2000)
		}
		if dec.Granted {
			return "granted"
		}
		return dec.Reason
	}
	for _, tc := range []struct{ got, want string }{
		{acquire("unknown", "none", 9000), ReasonNoServer},
		{acquire("excluded", "svc", 9000, "s0"), ReasonNoServer},
		{acquire("first", "svc", 9000), "granted"},
		{acquire("first", "svc", 9000), "granted"},
		{acquire("wait1", "svc", 9000), ""},
		{acquire("hurried", "svc", 2015), ReasonDeadline},
		{acquire("wait2", "svc", 9000), ""},
		{acquire("full", "svc", 9000), ReasonQueueFull},
	} {
		if tc.got != tc.want {
			t.Errorf("got %q, want %q", tc.got, tc.want)
		}
	}
	d.Release("first", schema.PermitResult_PERMIT_RESULT_OK, 10, 2000)
	d.Release("first", schema.PermitResult_PERMIT_RESULT_OK, 10, 2000)
	d.Release("never", schema.PermitResult_PERMIT_RESULT_UNUSED, 0, 2000)
	if got := acquire("first", "svc", 9000); got != ReasonReleased {
		t.Errorf("acquire retried late, after its release: reason %q, want released", got)
	}
	if got := acquire("never", "svc", 9000); got != ReasonReleased {
		t.Errorf("first acquire after its release: reason %q, want released", got)
	}
	if n := d.servers["s0"].inUse; n != 1 {
		t.Errorf("%d slots in use, want 1 for the first queued request", n)
	}
	if d.SetView(view, 2001); d.servers["s0"].inUse != 1 {
		t.Error("a permit was lost by SetView")
	}
}

// TestOwnerRestarts guards against a voter that keeps the token of an owner's
// earlier incarnation, and against an owner that accepts such a token as its own.
func TestOwnerRestarts(t *testing.T) {
	v := NewVoter(DefaultRules(), "b", 0)
	old := New(Config{Self: "a", Epoch: 9, Rules: DefaultRules()}).IssueToken(5000)
	restarted := New(Config{Self: "a", Epoch: 2, Rules: DefaultRules()})
	v.RecordToken("a", old, 100)
	if _, ok := restarted.tokenTime(v.LatestToken("a")); ok {
		t.Error("token of an earlier incarnation accepted")
	}
	v.RecordToken("a", restarted.IssueToken(10), 200)
	if issued, ok := restarted.tokenTime(v.LatestToken("a")); !ok || issued != 10 {
		t.Errorf("token time %d, %v, want 10", issued, ok)
	}
}

package gossiper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// network connects gossipers by address.
type network struct {
	mu    sync.Mutex
	peers map[string]*Gossiper
	// calls counts calls by "from to".
	calls map[string]int
	down  map[string]bool
	// reports counts reports by "receiver sender".
	reports map[string]int
}

type client struct {
	n        *network
	from, to string
}

var errDown = errors.New("host is down")

func (c client) DRPCConn() drpc.Conn { return nil }

func (c client) Exchange(ctx context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	c.n.mu.Lock()
	c.n.calls[c.from+" "+c.to]++
	peer, down := c.n.peers[c.to], c.n.down[c.to] || c.n.down[c.from]
	c.n.mu.Unlock()
	if down {
		// An isolated host does not answer.
		<-ctx.Done()
		return nil, errDown
	}
	return peer.Exchange(ctx, r)
}

func withGossipers(t *testing.T, names []string, test func(n *network)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := &network{
			peers: make(map[string]*Gossiper), calls: make(map[string]int), down: make(map[string]bool), reports: make(map[string]int),
		}
		for _, name := range names {
			n.peers[name] = New(ctx, Config{
				Name: name, Address: name, Region: name[:1], LocalInterval: 50 * time.Millisecond, RemoteInterval: 100 * time.Millisecond,
				BuildReport: func(string) *schema.HostReport {
					return &schema.HostReport{Name: name, PeerAddress: name, Region: name[:1]}
				},
				HandleReport: func(r *schema.HostReport, _ clock.Millis) {
					n.mu.Lock()
					defer n.mu.Unlock()
					n.reports[name+" "+r.GetName()]++
				},
				Dial:  func(_ context.Context, address string) schema.DRPCFleetClient { return client{n, name, address} },
				Clock: clock.New(), Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(uint64(len(n.peers)), 0)).Float64,
			})
		}
		for _, name := range names {
			for _, other := range names {
				n.peers[name].AddPeer(other)
			}
		}
		test(n)
		cancel()
		synctest.Wait()
	})
}

func (n *network) count(counts map[string]int, key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return counts[key]
}

// countDuring waits for d of virtual time and returns how much a count grew.
func (n *network) countDuring(d time.Duration, counts map[string]int, key string) int {
	before := n.count(counts, key)
	time.Sleep(d)
	return n.count(counts, key) - before
}

func assertBetween(t *testing.T, what string, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %d, want %d to %d", what, got, low, high)
	}
}

// One call per interval serves both hosts of a pair.
func TestPairsExchangeOnce(t *testing.T) {
	withGossipers(t, []string{"a1", "a2", "b1"}, func(n *network) {
		time.Sleep(time.Second)
		up, down := n.countDuring(time.Second, n.calls, "a1 a2"), n.countDuring(time.Second, n.calls, "a2 a1")
		assertBetween(t, "calls by the called host of the pair", min(up, down), 0, 0)
		assertBetween(t, "reports within a region in 10 s", n.countDuring(10*time.Second, n.reports, "a2 a1"), 180, 210)
		assertBetween(t, "reports between regions in 10 s", n.countDuring(10*time.Second, n.reports, "b1 a1"), 90, 105)
	})
}

// Both hosts of a pair must agree on which one calls, and each host must call
// about half of the others.
func TestInitiates(t *testing.T) {
	const hosts = 100
	name := func(i int) string { return fmt.Sprintf("front-region-%d", i) }
	for i := range hosts {
		calls := 0
		for j := range hosts {
			if i == j {
				continue
			}
			if initiates(name(i), name(j)) == initiates(name(j), name(i)) {
				t.Fatalf("both or neither of %s and %s make the calls", name(i), name(j))
			}
			if initiates(name(i), name(j)) {
				calls++
			}
		}
		assertBetween(t, name(i)+": peers that it calls", calls, hosts/4, 3*hosts/4)
	}
}

// A host that does not answer is called less and less often. Soon after it is back
// its reports arrive again, also at hosts that wait for its call.
func TestHostOutage(t *testing.T) {
	withGossipers(t, []string{"a1", "a2"}, func(n *network) {
		time.Sleep(time.Second)
		n.mu.Lock()
		n.down["a1"] = true
		n.mu.Unlock()
		time.Sleep(5 * time.Second)
		assertBetween(t, "calls in 10 s to a host that is down", n.countDuring(10*time.Second, n.calls, "a2 a1"), 3, 12)
		n.mu.Lock()
		n.down["a1"] = false
		n.mu.Unlock()
		if n.countDuring(2500*time.Millisecond, n.reports, "a2 a1") == 0 {
			t.Error("no report within 2.5 s from a host that is back")
		}
	})
}

// The number of exchanges of a host does not grow with the fleet.
func TestExchangesAreBounded(t *testing.T) {
	var names []string
	for i := range 60 {
		names = append(names, fmt.Sprintf("%c%02d", 'a'+i%3, i))
	}
	withGossipers(t, names, func(n *network) {
		time.Sleep(3 * time.Second)
		total := func() int {
			n.mu.Lock()
			defer n.mu.Unlock()
			sum := 0
			for _, reports := range n.reports {
				sum += reports
			}
			return sum
		}
		before := total()
		time.Sleep(2 * time.Second)
		// Two seconds have passed. The limits give a host 40 + 36 exchanges per second,
		// and each brings it one report.
		assertBetween(t, "reports received per host and second", (total()-before)/2/len(names), 60, 150)
	})
}

// A host that was cut off for long called others only up to 2 s after it was back.
func TestWakeLost(t *testing.T) {
	for i := range 10 {
		withGossipers(t, []string{"a1", "b1", "b2", "b3"}, func(n *network) {
			setDown := func(down bool) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.down["a1"] = down
				clear(n.calls)
			}
			time.Sleep(time.Second)
			setDown(true)
			time.Sleep(20*time.Second + time.Duration(i)*137*time.Millisecond)
			setDown(false)
			n.peers["a1"].WakeLost(1)
			time.Sleep(callTimeout + time.Millisecond)
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.calls["a1 b1"]+n.calls["a1 b2"]+n.calls["a1 b3"] == 0 {
				t.Errorf("run %d: no host was called within %v of WakeLost", i, callTimeout)
			}
		})
	}
}

// restartedClient answers as a host that has restarted and lacks what partial reports leave out.
type restartedClient struct{ got *[]bool }

func (restartedClient) DRPCConn() drpc.Conn { return nil }

func (c restartedClient) Exchange(_ context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	*c.got = append(*c.got, r.GetPartial())
	return &schema.HostReport{Name: "b", PeerAddress: "b"}, nil
}

// A host that has restarted must get a complete report at once, not an interval later, which
// takes seconds in a large fleet.
func TestCompleteReportAfterRestart(t *testing.T) {
	var got []bool
	partial := true
	g := New(t.Context(), Config{
		Name: "a", Address: "a", LocalInterval: time.Hour, RemoteInterval: time.Hour, Clock: clock.New(), Log: zerolog.Nop(),
		BuildReport: func(string) *schema.HostReport {
			r := &schema.HostReport{Name: "a", Partial: partial}
			partial = false
			return r
		},
		HandleReport: func(*schema.HostReport, clock.Millis) {},
		Dial:         func(context.Context, string) schema.DRPCFleetClient { return restartedClient{&got} },
	})
	if !g.call(t.Context(), "b", &peer{name: "b"}) || len(got) != 2 || !got[0] || got[1] {
		t.Errorf("calls with partial reports: %v, want one and then a complete one", got)
	}
}

// A partial report has no address and must count for the host that has reported under its name.
func TestPartialReportWithoutAddress(t *testing.T) {
	now := &clock.Manual{}
	g := New(t.Context(), Config{
		Name: "a", Address: "a", Clock: now.Clock(), Log: zerolog.Nop(),
		BuildReport: func(string) *schema.HostReport { return &schema.HostReport{} }, HandleReport: func(*schema.HostReport, clock.Millis) {},
	})
	g.peers["b"] = &peer{name: "b", region: "r"}
	now.Advance(500)
	if _, err := g.Exchange(t.Context(), &schema.HostReport{Name: "b", Partial: true}); err != nil {
		t.Fatal(err)
	}
	if p := g.peers["b"]; p.reportedAt != 500 || p.region != "r" {
		t.Errorf("peer %+v, want a report at 500 ms and region r", p)
	}
}

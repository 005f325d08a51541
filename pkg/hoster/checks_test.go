package hoster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/schema"
)

// memoryPeers connects hosts by their peer addresses.
type memoryPeers struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// memoryClient calls a host of the same process.
type memoryClient struct {
	noClient
	peers   *memoryPeers
	region  string
	address string
}

// regionDelay is the time from one region to another.
const regionDelay = 20 * time.Millisecond

func (c memoryClient) Exchange(ctx context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	c.peers.mu.Lock()
	h := c.peers.hosts[c.address]
	c.peers.mu.Unlock()
	if h.cfg.Region != c.region {
		clock.Sleep(ctx, regionDelay)
		defer clock.Sleep(ctx, regionDelay)
	}
	return h.Exchange(ctx, r)
}

// withFleet runs hosts in three regions that exchange reports in virtual time.
func withFleet(t *testing.T, size int, test func(hosts []*Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		peers := &memoryPeers{hosts: make(map[string]*Host)}
		var hosts []*Host
		for i := range size {
			region := string(rune('a' + i%3))
			name := fmt.Sprintf("%s%02d", region, i)
			h := New(ctx, Config{
				Name: name, Region: "r" + region, AvailabilityZone: "z" + region, CallerAddress: name + ":1", PeerAddress: name + ":2",
				MaxRevocationDelay: 5000, RetryBudget: rationer.RetryConfig{Ratio: 0.2, Window: 10000, Slack: 50},
				ShiftRate: 0.02, LookupTTL: 2000, ObjectKinds: []string{"servers"},
				DialPeer: func(_ context.Context, address string) schema.DRPCFleetClient {
					return memoryClient{peers: peers, region: "r" + region, address: address}
				},
				Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
			})
			peers.mu.Lock()
			peers.hosts[name+":2"] = h
			peers.mu.Unlock()
			hosts = append(hosts, h)
		}
		for _, h := range hosts {
			fill(h, 1)
			for _, other := range hosts {
				h.Feed().SetHost(other.cfg.Name, other.cfg.PeerAddress)
			}
		}
		test(hosts)
		cancel()
		synctest.Wait()
	})
}

// countChecks lets hosts ask the store when they find that due, for a time.
func countChecks(hosts []*Host, d time.Duration) int {
	checks := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range hosts {
			if len(h.checksDue()) > 0 {
				checks++
				h.Feed().ConfirmConfig(h.cfg.Clock.Now())
			}
		}
	}
	return checks
}

// The first live host asks the store each second, and the others learn of its
// answer in time, however many they are. Hosts that only answered calls heard of
// it a pause of reports later for each step, so that in a fleet of 95 half of
// them asked for themselves. The target is one check a second, with one more for
// each while a first host is late.
func TestChecksDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []int{8, 30, 95} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			withFleet(t, size, func(hosts []*Host) {
				countChecks(hosts, 5*time.Second)
				if got := countChecks(hosts, 10*time.Second); got < 5 || got > 20 {
					t.Errorf("%d checks by %d hosts in 10 s, want 5 to 20", got, size)
				}
			})
		})
	}
}

// When the hosts of a region that watch the store lose it, a few others ask for the
// rest: all 30 of them asked twice a second, because any might have lost it, too.
// The target is two questions a second of each of soonAskers hosts, and those of
// the first host of the fleet.
func TestChecksWhenWatchersLoseStore(t *testing.T) {
	withFleet(t, 95, func(hosts []*Host) {
		countChecks(hosts, 5*time.Second)
		lost := 0
		for _, h := range hosts {
			if h.cfg.Region == "rb" && lost < watchersPerRegion {
				h.Feed().StoreLost(errors.New("store is away"))
				lost++
			}
		}
		time.Sleep(time.Second)
		asking := make([]*Host, 0, len(hosts))
		for _, h := range hosts {
			if h.storeLostAt.Load() == 0 {
				asking = append(asking, h)
			}
		}
		if got, most := countChecks(asking, 10*time.Second), 10*(2*soonAskers+2); got > most {
			t.Errorf("%d checks in 10 s, want at most %d", got, most)
		}
	})
}

// When the store is away from all, each host must ask and notice it soon.
func TestAllAskWhenStoreIsAway(t *testing.T) {
	withFleet(t, 30, func(hosts []*Host) {
		countChecks(hosts, 5*time.Second)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, h := range hosts {
				if len(h.checksDue()) > 0 {
					h.Feed().StoreLost(errors.New("store is away"))
				}
			}
		}
		for _, h := range hosts {
			if h.storeLostAt.Load() == 0 {
				t.Errorf("%s has not asked the store for 3 s", h.cfg.Name)
			}
		}
	})
}

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

// inProcessPeers holds the hosts of one process by peer address.
type inProcessPeers struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// inProcessClient calls a host of the same process.
type inProcessClient struct {
	unreachableClient
	peers   *inProcessPeers
	region  string
	address string
}

// interRegionDelay is the one-way delay between regions.
const interRegionDelay = 20 * time.Millisecond

func (c inProcessClient) Exchange(ctx context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	c.peers.mu.Lock()
	h := c.peers.hosts[c.address]
	c.peers.mu.Unlock()
	if h.cfg.Region != c.region {
		clock.Sleep(ctx, interRegionDelay)
		defer clock.Sleep(ctx, interRegionDelay)
	}
	return h.Exchange(ctx, r)
}

// withFleet runs hosts in three regions that exchange reports in virtual time.
func withFleet(t *testing.T, size int, test func(hosts []*Host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		peers := &inProcessPeers{hosts: make(map[string]*Host)}
		var hosts []*Host
		for i := range size {
			region := string(rune('a' + i%3))
			name := fmt.Sprintf("%s%02d", region, i)
			h := New(ctx, Config{
				Name: name, Region: "r" + region, AvailabilityZone: "z" + region, CallerAddress: name + ":1", PeerAddress: name + ":2",
				MaxRevocationDelay: 5000, RetryBudget: rationer.RetryConfig{Ratio: 0.2, Window: 10000, Slack: 50},
				ShiftRate: 0.02, LookupTTL: 2000, ObjectKinds: []string{"servers"},
				DialPeer: func(_ context.Context, address string) schema.DRPCFleetClient {
					return inProcessClient{peers: peers, region: "r" + region, address: address}
				},
				Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
			})
			peers.mu.Lock()
			peers.hosts[name+":2"] = h
			peers.mu.Unlock()
			hosts = append(hosts, h)
		}
		for _, h := range hosts {
			makeReady(h, 1)
			for _, other := range hosts {
				h.Feed().SetHost(other.cfg.Name, other.cfg.Region, other.cfg.PeerAddress)
			}
		}
		test(hosts)
		cancel()
		synctest.Wait()
	})
}

// countPolls lets hosts poll the store when that is due, for a time d, and returns
// the number of polls.
func countPolls(hosts []*Host, d time.Duration) int {
	polls := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, h := range hosts {
			if len(h.kindsToPoll()) > 0 {
				polls++
				h.Feed().ConfirmConfig(h.cfg.Clock.Now())
			}
		}
	}
	return polls
}

// The first live host polls the store each second, and the others learn of its
// answer in time, however many they are. Hosts that only answered calls learned of
// it one report interval later for each step, so that in a fleet of 95 half of them
// polled themselves. The target is one poll a second, with one more for each while a
// first host is late.
func TestPollsDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []int{8, 30, 95} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			withFleet(t, size, func(hosts []*Host) {
				countPolls(hosts, 5*time.Second)
				if got := countPolls(hosts, 10*time.Second); got < 5 || got > 20 {
					t.Errorf("%d polls by %d hosts in 10 s, want 5 to 20", got, size)
				}
			})
		})
	}
}

// When the hosts of a region that watch the store lose it, a few others poll for the
// rest. All 30 of them polled twice a second, because any might have lost it, too.
// The target is two polls a second by each of earlyPollersPerRegion hosts, and those
// of the first host of the fleet.
func TestPollsWhenWatchersLoseStore(t *testing.T) {
	withFleet(t, 95, func(hosts []*Host) {
		countPolls(hosts, 5*time.Second)
		lost := 0
		for _, h := range hosts {
			if h.cfg.Region == "rb" && lost < watchersPerRegion {
				h.Feed().StoreLost(errors.New("store is unreachable"))
				lost++
			}
		}
		time.Sleep(time.Second)
		polling := make([]*Host, 0, len(hosts))
		for _, h := range hosts {
			if h.storeLostAt.Load() == 0 {
				polling = append(polling, h)
			}
		}
		if got, maxPolls := countPolls(polling, 10*time.Second), 10*(2*earlyPollersPerRegion+2); got > maxPolls {
			t.Errorf("%d polls in 10 s, want at most %d", got, maxPolls)
		}
	})
}

// When no host reaches the store, each must poll it and detect that soon.
func TestAllPollWhenStoreIsLost(t *testing.T) {
	withFleet(t, 30, func(hosts []*Host) {
		countPolls(hosts, 5*time.Second)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, h := range hosts {
				if len(h.kindsToPoll()) > 0 {
					h.Feed().StoreLost(errors.New("store is unreachable"))
				}
			}
		}
		for _, h := range hosts {
			if h.storeLostAt.Load() == 0 {
				t.Errorf("%s has not polled the store for 3 s", h.cfg.Name)
			}
		}
	})
}

package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/storeclient"
)

// leaseFault runs three hosts that pause, lose answers and lose the store, and
// returns the first failure of a check:
// one_holder: no two hosts hold a valid lease at once;
// fence_rises: a lease that changes hands has a greater fence than all before;
// taken_over: a host that is awake takes a free lease in 12 s, which is 7.5 s
// without a change and two looks at the lease, one with a lost answer.
func leaseFault(seed uint64, mutate func(*plannerLease)) string {
	rnd, platform := rand.New(rand.NewPCG(seed, 3)), emulator.NewPlatform(emulator.Budget{})
	network := emulator.NewNetwork(emulator.NetworkConfig{CrossRegionDelay: 20 * time.Millisecond})
	network.Listen("store:1", emulator.Place{AvailabilityZone: "store"}, platform)
	var leases []*plannerLease
	for n := range 3 {
		at := emulator.Place{AvailabilityZone: fmt.Sprint(n), Region: fmt.Sprint(n)}
		p := newPlannerLease(Config{
			Self: snapshotter.Host{Name: fmt.Sprint(n), Incarnation: 1}, Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
			Store: storeclient.New(storeclient.Config{BaseURL: "http://store:1", Transport: network.Transport(at)}),
		})
		mutate(p)
		leases = append(leases, p)
	}
	paused, idle, fence := make([]int, len(leases)), make([]int, len(leases)), uint64(0)
	for range 600 {
		time.Sleep(250 * time.Millisecond)
		if rnd.IntN(40) == 0 {
			paused[rnd.IntN(len(leases))] = rnd.IntN(80)
		}
		if rnd.IntN(20) == 0 {
			platform.SetFaults(emulator.Faults{DropWriteResponses: 1})
		}
		holders := 0
		for i, p := range leases {
			if paused[i] > 0 {
				paused[i]--
			} else if p.step(context.Background(), true, false) {
				if p.record.GetFence() <= fence {
					return fmt.Sprintf("fence_rises: %d after %d", p.record.GetFence(), fence)
				}
				fence = p.record.GetFence()
			}
		}
		for _, p := range leases {
			if p.valid() {
				holders++
			}
		}
		if holders > 1 {
			return "one_holder: two hosts hold the lease"
		}
		for i := range leases {
			if idle[i]++; holders > 0 || paused[i] > 0 {
				idle[i] = 0
			}
			if idle[i] > 48 {
				return "taken_over: nobody holds the lease"
			}
		}
	}
	return ""
}

// TestPlannerLease guards against two planners at once, a fence that does not
// rise and a lease that nobody takes over; mutations show that the checks bite.
func TestPlannerLease(t *testing.T) {
	tests := []struct {
		name, want string
		mutate     func(*plannerLease)
	}{
		{"as_it_is", "", func(*plannerLease) {}},
		{"takes_over_early", "one_holder", func(p *plannerLease) { p.rules.takeOver = leaseTime / 2 }},
		{"holds_for_long", "one_holder", func(p *plannerLease) { p.rules.life = 10 * leaseTime }},
		{"keeps_fence", "fence_rises", func(p *plannerLease) { p.rules.raise = 0 }},
		{"never_takes_over", "taken_over", func(p *plannerLease) { p.rules.takeOver = 1000 * leaseTime }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := ""
				for seed := uint64(0); seed < 20 && got == ""; seed++ {
					got = leaseFault(seed, tt.mutate)
				}
				if !strings.HasPrefix(got, tt.want) || tt.want == "" && got != "" {
					t.Errorf("first failure %q, want %q", got, tt.want)
				}
			})
		})
	}
}

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

// firstViolation runs three hosts that pause at random and lose answers of the store,
// and returns the first violation of a check:
//   - one_holder: at most one host has a valid lease at any time.
//   - fence_rises: each take-over has a higher fence than all before.
//   - taken_over: a running host takes a free lease within 12 s, which is 7.5 s
//     without a change and two reads of the lease, one with a lost answer.
func firstViolation(seed uint64, mutate func(*plannerLease)) string {
	rng, platform := rand.New(rand.NewPCG(seed, 3)), emulator.NewPlatform(emulator.Budget{})
	network := emulator.NewNetwork(emulator.NetworkConfig{CrossRegionDelay: 20 * time.Millisecond})
	network.Listen("store:1", emulator.Place{AvailabilityZone: "store"}, platform)
	var leases []*plannerLease
	for n := range 3 {
		place := emulator.Place{AvailabilityZone: fmt.Sprint(n), Region: fmt.Sprint(n)}
		p := newPlannerLease(Config{
			Self: snapshotter.Host{Name: fmt.Sprint(n), Incarnation: 1}, Clock: clock.New(), Log: zerolog.Nop(), Meter: meter.New(),
			Store: storeclient.New(storeclient.Config{BaseURL: "http://store:1", Transport: network.Transport(place)}),
		})
		mutate(p)
		leases = append(leases, p)
	}
	paused, unheld, lastFence := make([]int, len(leases)), make([]int, len(leases)), uint64(0)
	for range 600 {
		time.Sleep(250 * time.Millisecond)
		if rng.IntN(40) == 0 {
			paused[rng.IntN(len(leases))] = rng.IntN(80)
		}
		if rng.IntN(20) == 0 {
			platform.SetFaults(emulator.Faults{DropWriteResponses: 1})
		}
		holders := 0
		for i, p := range leases {
			if paused[i] > 0 {
				paused[i]--
			} else if p.step(context.Background(), true, false) {
				if p.record.GetFence() <= lastFence {
					return fmt.Sprintf("fence_rises: %d after %d", p.record.GetFence(), lastFence)
				}
				lastFence = p.record.GetFence()
			}
		}
		for _, p := range leases {
			if p.isValid() {
				holders++
			}
		}
		if holders > 1 {
			return "one_holder: two or more hosts have a valid lease"
		}
		for i := range leases {
			if unheld[i]++; holders > 0 || paused[i] > 0 {
				unheld[i] = 0
			}
			if unheld[i] > 48 {
				return "taken_over: no host took the free lease within 12 s"
			}
		}
	}
	return ""
}

// TestPlannerLease guards against two planners at once, a fence that does not
// increase and a free lease that no host takes. Changed rules show that each check
// detects its violation.
func TestPlannerLease(t *testing.T) {
	tests := []struct {
		name, want string
		mutate     func(*plannerLease)
	}{
		{"default_rules", "", func(*plannerLease) {}},
		{"takes_over_early", "one_holder", func(p *plannerLease) { p.rules.takeOverDelay = plannerLeaseTTL / 2 }},
		{"ttl_too_long", "one_holder", func(p *plannerLease) { p.rules.ttl = 10 * plannerLeaseTTL }},
		{"fence_unchanged", "fence_rises", func(p *plannerLease) { p.rules.fenceStep = 0 }},
		{"never_takes_over", "taken_over", func(p *plannerLease) { p.rules.takeOverDelay = 1000 * plannerLeaseTTL }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := ""
				for seed := uint64(0); seed < 20 && got == ""; seed++ {
					got = firstViolation(seed, tt.mutate)
				}
				if !strings.HasPrefix(got, tt.want) || tt.want == "" && got != "" {
					t.Errorf("first violation %q, want %q", got, tt.want)
				}
			})
		})
	}
}

package runner

import (
	"context"
	"testing"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/limiter"
)

// slots returns the share slots that all running hosts hold.
func (fl *fleet) slots() int {
	sum := 0
	for _, h := range fl.hosts {
		sum += h.Lease().Slots
	}
	return sum
}

func (fl *fleet) allSlotsHeld() bool { return fl.slots() == limiter.Slots }

func (fl *fleet) writes() int64 {
	sum := int64(0)
	for _, h := range fl.hosts {
		sum += h.Store().Writes()
	}
	return sum
}

// TestSlotsOfDeadHostReturn guards against share slots that are lost with a host.
func TestSlotsOfDeadHostReturn(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		fl.kill("host-3")
		fl.waitFor("slots reclaimed", 20*time.Second, fl.allSlotsHeld)
	})
}

// TestPlannedStopHandsOverSlots guards against a planned stop that leaves slots unused.
func TestPlannedStopHandsOverSlots(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		h := fl.hosts["host-3"]
		assertNoError(t, h.controller.HandOver(context.Background()), "hand over")
		fl.kill("host-3")
		fl.waitFor("slots handed over", 2*time.Second, fl.allSlotsHeld)
	})
}

// TestLostAnswersKeepSlots guards against a fleet that does not recover from
// ledger writes whose answers are lost.
func TestLostAnswersKeepSlots(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		fl.platform.SetFaults(emulator.Faults{LoseWriteAnswers: 5})
		fl.kill("host-3")
		fl.waitFor("slots reclaimed", 40*time.Second, fl.allSlotsHeld)
	})
}

// TestEveryHostHoldsSlots guards against hosts that never get a share slot and
// so never become ready, in fleets whose size does not divide the slots.
func TestEveryHostHoldsSlots(t *testing.T) {
	withFleet(t, 16, func(fl *fleet) {
		fl.waitFor("all slots held", 30*time.Second, fl.allSlotsHeld)
		fl.waitFor("all hosts hold slots", 30*time.Second, func() bool {
			for _, h := range fl.hosts {
				if h.Lease().Slots == 0 {
					return false
				}
			}
			return true
		})
	})
}

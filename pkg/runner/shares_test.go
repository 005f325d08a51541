package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
	"catkindyke/service/apiserver"
)

// shareSlots returns the number of share slots that the running hosts have.
func (fl *fleet) shareSlots() int {
	sum := 0
	for _, h := range fl.hosts {
		sum += h.Lease().Slots
	}
	return sum
}

func (fl *fleet) allSlotsHeld() bool { return fl.shareSlots() == limiter.TotalSlots }

func (fl *fleet) storeWrites() int64 {
	sum := int64(0)
	for _, h := range fl.hosts {
		sum += h.Store().Writes()
	}
	return sum
}

// TestSlotsOfDeadHostReturn guards against share slots that stay unused after their host
// died.
func TestSlotsOfDeadHostReturn(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		fl.kill("host-3")
		fl.waitFor("slots reclaimed", 20*time.Second, fl.allSlotsHeld)
	})
}

// TestPlannedStopHandsOverSlots guards against a planned stop that hands over no share
// slots, so that they stay unused until they are reclaimed.
func TestPlannedStopHandsOverSlots(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		h := fl.hosts["host-3"]
		assertNoError(t, h.controller.HandOverSlots(context.Background()), "hand over")
		fl.kill("host-3")
		fl.waitFor("slots handed over", 2*time.Second, fl.allSlotsHeld)
	})
}

// TestLostAnswersKeepSlots guards against share slots that stay unused because answers of
// the store to ledger writes are lost.
func TestLostAnswersKeepSlots(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		fl.platform.SetFaults(emulator.Faults{DropWriteResponses: 5})
		fl.kill("host-3")
		fl.waitFor("slots reclaimed", 40*time.Second, fl.allSlotsHeld)
	})
}

// TestStatusShowsShare guards against a status page that does not show that a host has no
// share, and against such a host refusing requests as over the rate (429).
func TestStatusShowsShare(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("all slots held", 20*time.Second, fl.allSlotsHeld)
		h := fl.hosts["host-3"]
		share := func() apiserver.StatusShare {
			rec := httptest.NewRecorder()
			h.operatorServer.Handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
			var st apiserver.Status
			assertNoError(t, json.Unmarshal(rec.Body.Bytes(), &st), "status")
			return st.Share
		}
		got, lease := share(), h.Lease()
		if got.Slots != lease.Slots || got.LedgerVersion != lease.LedgerVersion || got.Slots == 0 ||
			got.LeaseRemainingMs <= 0 || got.LeaseRemainingMs > int64(leaser.LeaseTTL) {
			t.Errorf("status shows %+v, the host holds %+v", got, lease)
		}
		assertNoError(t, h.controller.HandOverSlots(context.Background()), "hand over")
		if got := share(); got.Slots != 0 {
			t.Errorf("status shows %+v after the hand-over", got)
		}
		verdict, wait := h.controller.Admit(context.Background(), "any")
		if verdict != limiter.NoShare || wait != limiter.NoShareRetryAfter {
			t.Errorf("verdict %d, retry after %d ms, want no share", verdict, wait)
		}
	})
}

// TestEveryHostHoldsSlots guards against hosts that get no share slot and therefore never
// become ready, in fleets whose size does not divide the number of slots.
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

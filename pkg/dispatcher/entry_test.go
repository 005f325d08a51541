package dispatcher

import (
	"math/rand"
	"slices"
	"testing"

	"catkindyke/pkg/clock"
)

// simulateOwnerShares sends 4 entry hosts' requests to 3 equal owners at 80 % load while load
// reports arrive late. It returns the least and the greatest share of one second's
// requests that went to one owner.
func simulateOwnerShares(t *testing.T, c Chooser, reportDelay clock.Millis) (minShare, maxShare float64) {
	const entries, owners, slots, serviceTime = 4, 3, 10, 100
	rng := rand.New(rand.NewSource(1))
	var load [owners]int
	var sinceReport, inFlight [entries][owners]int
	reports := make(map[clock.Millis][owners]int)
	ends := make(map[clock.Millis][]func())
	var reported, sentThisSecond [owners]int
	var slotFreeAt [owners][slots]clock.Millis
	minShare = 1
	for now := clock.Millis(0); now < 60000; now++ {
		for _, f := range ends[now] {
			f()
		}
		delete(ends, now)
		if now%500 == 0 {
			reports[now] = load
			if r, ok := reports[now-reportDelay]; ok {
				reported, sinceReport = r, [entries][owners]int{}
			}
		}
		if rng.Float64() < 0.8*owners*slots/serviceTime {
			e := rng.Intn(entries)
			var list []Candidate
			for o := range owners {
				list = append(list, Candidate{Slots: slots, ReportedLoad: reported[o], InFlightSinceReport: sinceReport[e][o], LocalInFlight: inFlight[e][o], EntryHosts: entries})
			}
			o := c.Choose(list, rng.Intn)
			load[o]++
			sinceReport[e][o]++
			inFlight[e][o]++
			sentThisSecond[o]++
			// A request waits while the owner has no free slot.
			start := slices.Min(slotFreeAt[o][:])
			i := slices.Index(slotFreeAt[o][:], start)
			slotFreeAt[o][i] = max(start, now) + clock.Millis(1+rng.ExpFloat64()*serviceTime)
			took := slotFreeAt[o][i] - now
			ends[now+took] = append(ends[now+took], func() { load[o]--; sinceReport[e][o]--; inFlight[e][o]-- })
		}
		if now%1000 == 999 {
			total := sentThisSecond[0] + sentThisSecond[1] + sentThisSecond[2]
			if now > 10000 {
				minShare = min(minShare, float64(sentThisSecond[0])/float64(total))
				maxShare = max(maxShare, float64(sentThisSecond[0])/float64(total))
			}
			if now > 10000 && now < 25000 {
				t.Logf("t=%d s requests by owner %v busy %v", now/1000, sentThisSecond, load)
			}
			sentThisSecond = [owners]int{}
		}
	}
	return minShare, maxShare
}

// TestDelayedLoadReports guards against owners that get all or none of the requests in turn
// when load reports are several seconds old. An even share is 1/3; a second's
// share must stay within half and one and a half times of it.
func TestDelayedLoadReports(t *testing.T) {
	const minShare, maxShare = 0.5 / 3, 1.5 / 3
	for _, tc := range []struct {
		name   string
		c      Chooser
		lag    clock.Millis
		steady bool
	}{
		{"no_lag", DefaultChooser(), 0, true},
		{"lag_2_s", DefaultChooser(), 2000, true},
		{"lag_5_s", DefaultChooser(), 5000, true},
		{"reports_alone_lag_2_s", Chooser{ReportWeight: 1}, 2000, false},
		{"reports_alone_lag_5_s", Chooser{ReportWeight: 1}, 5000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			low, high := simulateOwnerShares(t, tc.c, tc.lag)
			if steady := low >= minShare && high <= maxShare; steady != tc.steady {
				t.Errorf("share of one owner from %.2f to %.2f, steady is %v, want %v", low, high, steady, tc.steady)
			}
		})
	}
}

package dispatcher

import (
	"math/rand"
	"slices"
	"testing"

	"catkindyke/pkg/clock"
)

// simulateOwnerShares sends requests of 4 entry hosts to 3 equal owners at 80 % load
// while load reports arrive with a delay. It returns the smallest and the largest
// share of a second's requests that one owner got.
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
				list = append(list, Candidate{Slots: slots, ReportedLoad: reported[o], InFlightDelta: sinceReport[e][o], LocalInFlight: inFlight[e][o], EntryHosts: entries})
			}
			o := c.Choose(list, rng.Intn)
			load[o]++
			sinceReport[e][o]++
			inFlight[e][o]++
			sentThisSecond[o]++
			// A request is queued while the owner has no free slot.
			start := slices.Min(slotFreeAt[o][:])
			i := slices.Index(slotFreeAt[o][:], start)
			slotFreeAt[o][i] = max(start, now) + clock.Millis(1+rng.ExpFloat64()*serviceTime)
			duration := slotFreeAt[o][i] - now
			ends[now+duration] = append(ends[now+duration], func() { load[o]--; sinceReport[e][o]--; inFlight[e][o]-- })
		}
		if now%1000 == 999 {
			total := sentThisSecond[0] + sentThisSecond[1] + sentThisSecond[2]
			if now > 10000 {
				minShare = min(minShare, float64(sentThisSecond[0])/float64(total))
				maxShare = max(maxShare, float64(sentThisSecond[0])/float64(total))
			}
			if now > 10000 && now < 25000 {
				t.Logf("t=%d s: requests by owner %v, busy or queued %v", now/1000, sentThisSecond, load)
			}
			sentThisSecond = [owners]int{}
		}
	}
	return minShare, maxShare
}

// TestDelayedLoadReports guards against owners that in turn get all or none of the
// requests when load reports are several seconds old. An even share is 1/3; each
// second's share must stay between half of that and one and a half times that.
func TestDelayedLoadReports(t *testing.T) {
	const minShare, maxShare = 0.5 / 3, 1.5 / 3
	for _, tc := range []struct {
		name        string
		c           Chooser
		reportDelay clock.Millis
		steady      bool
	}{
		{"no_lag", DefaultChooser(), 0, true},
		{"lag_2_s", DefaultChooser(), 2000, true},
		{"lag_5_s", DefaultChooser(), 5000, true},
		{"reports_alone_lag_2_s", Chooser{ReportWeight: 1}, 2000, false},
		{"reports_alone_lag_5_s", Chooser{ReportWeight: 1}, 5000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			low, high := simulateOwnerShares(t, tc.c, tc.reportDelay)
			if steady := low >= minShare && high <= maxShare; steady != tc.steady {
				t.Errorf("share of one owner ranges from %.2f to %.2f: steady %v, want %v", low, high, steady, tc.steady)
			}
		})
	}
}

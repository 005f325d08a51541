package dispatcher

import (
	"math/rand"
	"slices"
	"testing"

	"catkindyke/pkg/clock"
)

// swing sends 4 entry hosts' requests to 3 equal owners at 80 % load while load
// reports arrive late. It returns the least and the greatest share of one second's
// requests that went to one owner.
func swing(t *testing.T, c Chooser, lag clock.Millis) (least, most float64) {
	const entries, owners, slots, service = 4, 3, 10, 100
	rng := rand.New(rand.NewSource(1))
	var busy [owners]int
	var sent, own [entries][owners]int
	reports := make(map[clock.Millis][owners]int)
	ends := make(map[clock.Millis][]func())
	var seen, second [owners]int
	var free [owners][slots]clock.Millis
	least = 1
	for now := clock.Millis(0); now < 60000; now++ {
		for _, f := range ends[now] {
			f()
		}
		delete(ends, now)
		if now%500 == 0 {
			reports[now] = busy
			if r, ok := reports[now-lag]; ok {
				seen, sent = r, [entries][owners]int{}
			}
		}
		if rng.Float64() < 0.8*owners*slots/service {
			e := rng.Intn(entries)
			var list []Candidate
			for o := range owners {
				list = append(list, Candidate{Slots: slots, ReportedLoad: seen[o], InFlightSinceReport: sent[e][o], LocalInFlight: own[e][o], EntryHosts: entries})
			}
			o := c.Choose(list, rng.Intn)
			busy[o]++
			sent[e][o]++
			own[e][o]++
			second[o]++
			// A request waits while the owner has no free slot.
			start := slices.Min(free[o][:])
			i := slices.Index(free[o][:], start)
			free[o][i] = max(start, now) + clock.Millis(1+rng.ExpFloat64()*service)
			took := free[o][i] - now
			ends[now+took] = append(ends[now+took], func() { busy[o]--; sent[e][o]--; own[e][o]-- })
		}
		if now%1000 == 999 {
			total := second[0] + second[1] + second[2]
			if now > 10000 {
				least = min(least, float64(second[0])/float64(total))
				most = max(most, float64(second[0])/float64(total))
			}
			if now > 10000 && now < 25000 {
				t.Logf("t=%d s requests by owner %v busy %v", now/1000, second, busy)
			}
			second = [owners]int{}
		}
	}
	return least, most
}

// TestLoadLag guards against owners that get all or none of the requests in turn
// when load reports are several seconds old. An even share is 1/3; a second's
// share must stay within half and one and a half times of it.
func TestLoadLag(t *testing.T) {
	const least, most = 0.5 / 3, 1.5 / 3
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
			low, high := swing(t, tc.c, tc.lag)
			if steady := low >= least && high <= most; steady != tc.steady {
				t.Errorf("share of one owner from %.2f to %.2f, steady is %v, want %v", low, high, steady, tc.steady)
			}
		})
	}
}

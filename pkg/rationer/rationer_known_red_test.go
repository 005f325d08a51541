//go:build known_red

package rationer

import "testing"

// A large workspace that suddenly sends four times its rate to a large fleet, whose
// reports are a second old, must not spend the fleet's bucket beside the hosts' shares.
func TestOverloadedLargeRate(t *testing.T) {
	limit := Limit{Rate: 600, Burst: 600}
	f := newFleet(60, limit)
	for step := range 1200 {
		f.now += 10
		if step%100 == 0 {
			f.exchange()
		}
		n := 3 // 300 per second
		if step >= 600 {
			n = 24
		}
		for k := range n {
			f.offer((step*7+k*5)%60, 1)
		}
	}
	if excess := f.maxExcess(limit, 5000); excess > 0.1*(5*600+600)+20 {
		t.Errorf("%.0f requests above rate and burst, want at most 380", excess)
	}
}

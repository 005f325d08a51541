package tracker

import (
	"testing"

	"catkindyke/pkg/clock"
)

// TestRegions guards against a region that takes all of its traffic at once after a
// failure, or that counts as returned while its hosts come and go.
func TestRegions(t *testing.T) {
	g, names := NewRegionTracker(), []string{"south"}
	events := 0
	observe := func(now clock.Millis, live bool, want int, step string) {
		t.Helper()
		events += len(g.Update(names, map[string]bool{"south": live}, now))
		if got := g.Health("south", now); got != want {
			t.Errorf("%s: health %d, want %d", step, got, want)
		}
	}
	observe(0, true, 1000, "first seen")
	observe(1000, false, 0, "failed")
	observe(2000, true, 0, "live again")
	observe(4000, false, 0, "silent within ReturnDelay")
	observe(5000, true, 0, "live again")
	observe(7999, true, 0, "just before ReturnDelay")
	observe(8000, true, 1, "returned")
	observe(13000, true, 501, "half of the ramp")
	observe(18000, true, 1000, "end of the ramp")
	if events != 2 {
		t.Errorf("%d events, want one failure and one return", events)
	}
	g.Update([]string{"east"}, nil, 0)
	g.Update([]string{"east"}, map[string]bool{"east": true}, 500)
	if got := g.Health("east", 500); got != FullHealth {
		t.Errorf("region that is live for the first time after a start has health %d, want full health", got)
	}
	if got := g.Health("unknown", 0); got != 0 {
		t.Errorf("unknown region has health %d, want 0", got)
	}
}

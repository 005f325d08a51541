package observer

import (
	"testing"

	"catkindyke/pkg/clock"
)

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if got < want-0.1 || got > want+0.1 {
		t.Errorf("%s is %.2f, want about %.2f", what, got, want)
	}
}

// A statement that is old, came out of order or names no slots would hide requests of others.
func TestRequests(t *testing.T) {
	o, s := New(), &Statement{}
	o.Record(s, Load{Running: 4, Waiting: 2, Slots: 4}, 3, 1000)
	o.Record(s, Load{Running: 1, Slots: 4}, 3, 900)
	o.Record(s, Load{Running: 1}, 3, 1100)
	for _, c := range []struct {
		name     string
		own      int
		now      clock.Millis
		want     int
		wantFrom bool
	}{
		{"as stated", 3, 1100, 6, true},
		{"two more requests of this host", 5, 1100, 8, true},
		{"responses to requests of this host", 0, 1100, 3, true},
		{"too old", 3, 1001 + MaxLoadAge, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if n, ok := s.Requests(c.own, MaxLoadAge, c.now); n != c.want || ok != c.wantFrom {
				t.Errorf("got %d, %v, want %d, %v", n, ok, c.want, c.wantFrom)
			}
		})
	}
}

// A pace that is used for too long keeps requests from servers that are fast again, and one
// that is used too briefly sends them to slow ones.
func TestPaceHold(t *testing.T) {
	for name, duration := range map[string]clock.Millis{"paces of 100 ms": 100, "paces of 4 s": 4000} {
		t.Run(name, func(t *testing.T) {
			o, s := New(), &Statement{}
			for now := clock.Millis(0); now < 120*clock.Second; now += 80 {
				pace := 1.0
				if now/duration%3 == 0 {
					pace = 3
				}
				o.Record(s, Load{Slots: 1, Pace: pace}, 0, now)
			}
			if got := o.PaceHold(); got < float64(duration)/3 || got > 3*float64(duration) {
				t.Errorf("hold time is %.0f ms", got)
			}
		})
	}
}

// A server that always states a wrong pace is corrected by the times of its responses, which
// are measured with the same weight.
func TestPaceOfWrongStatements(t *testing.T) {
	o, s, slowdown := New(), &Statement{}, 1.0
	for now := range clock.Millis(20) {
		o.Record(s, Load{Slots: 1, Pace: 8}, 0, now)
		s.ObservePace(o.Pace(s, now), 0.3)
		slowdown += 0.3 * (1 - slowdown)
	}
	assertNear(t, "slowdown", slowdown*o.Pace(s, 20), 1)
	o.Record(s, Load{Slots: 1, Pace: 8}, 0, 21)
	assertNear(t, "pace after a long time", o.Pace(s, 60*clock.Second), 1)
}

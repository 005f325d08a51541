//go:build known_red

package balancer

import "testing"

// What the slow servers held must be learned elsewhere while little room is left.
func TestReplayThirdSlowInBurst(t *testing.T) {
	replayCase{
		name: "a third of the servers is slow in a burst", load: peak, target: 0.85,
		change: func(r *replay) {
			r.change(burstStart, func(i int, _ Server, s *replayServer) {
				if i%3 == 0 {
					s.slow = 5
				}
			})
		},
	}.run(t)
}

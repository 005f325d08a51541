package balancer

import (
	"testing"

	"catkindyke/pkg/clock"
)

// Urgent requests that can't be answered in their time at any load must not lower the limits of
// the others, nor count as a standing queue.
func TestUnanswerableClass(t *testing.T) {
	for name, also := range map[string]bool{"alone": false, "beside unanswerable ones": true} {
		t.Run(name, func(t *testing.T) {
			withBalancer("n", makeServers("n", 1, 4), func(b *Balancer) {
				b.Tick(900)
				patient := Request{Service: "desk", Class: "look", TargetLatency: 600, TimeLeft: 3000, Priority: 1}
				urgent := Request{Service: "desk", Class: "look", TargetLatency: 250, TimeLeft: 60}
				b.Choose(patient, 1000) // sets the expected service time of the class
				admitted := 0
				for i := range 40 {
					now := clock.Millis(1000 + i*20)
					if also && !b.Choose(urgent, now).Refused {
						t.Fatal("an unanswerable request was sent")
					}
					c := b.Choose(patient, now)
					if c.Refused {
						continue
					}
					admitted++
					if b.servers["n0"].localInFlight < 6 {
						b.StartAttempt(c, patient, now)
					}
				}
				if admitted != 40 || b.Deprioritized() != 0 {
					t.Errorf("%d of 40 patient requests are admitted and %d deprioritized, want all and none", admitted, b.Deprioritized())
				}
			})
		})
	}
}

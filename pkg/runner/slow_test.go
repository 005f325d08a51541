package runner

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// addSlowService adds a service whose requests to /slow/long take the given duration, and
// waits until its server has ramped up.
func (fl *fleet) addSlowService(duration time.Duration) {
	fl.network.Listen("slow:1", testPlaces[0], http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			if fl.slowLeaving.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"state":"leaving"}`))
			}
			return
		}
		fl.slowRequests.Add(1)
		fl.lastSlowRequest.Store(time.Now().UnixNano())
		if r.URL.Path == "/slow/long" {
			time.Sleep(duration)
		} else {
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = w.Write([]byte("done"))
	}))
	cfg := proto.CloneOf(fl.hosts["host-0"].Snapshot().Config())
	cfg.Services = append(cfg.Services, &schema.Service{
		Name: "slow", Slots: 3, ServiceTimeMs: 10, DeadlineMs: 60000, ProgressTimeoutMs: 60000, OpenRoutes: []string{"/slow"}, HealthPath: "/healthz",
		BackendServers: []*schema.BackendServer{{Name: "slow-0", Address: "slow:1", Region: "north", AvailabilityZone: "north-a"}},
	})
	fl.waitFor("slow service", 10*time.Second, fl.inForce(replicator.KindConfig, fl.write(replicator.KindConfig, cfg)))
	time.Sleep(11 * time.Second)
}

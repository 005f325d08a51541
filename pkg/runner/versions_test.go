package runner

import (
	"testing"
	"time"

	"catkindyke/pkg/replicator"
)

// TestHostsReportVersions guards against hosts that do not report the versions they have in
// force, which apply waits for.
func TestHostsReportVersions(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("versions of all hosts at each host", 10*time.Second, func() bool {
			reports := 0
			for _, h := range fl.hosts {
				for _, other := range h.Snapshot().Hosts() {
					reports += int(min(1, other.Versions[replicator.KindConfig]))
				}
			}
			return reports == len(fl.hosts)*len(fl.hosts)
		})
	})
}

package balancer

import (
	"math"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

const (
	// maxSharedLoads bounds the statements of servers' loads in a report.
	maxSharedLoads = 64
	// sharedLoadDifference is the fraction of a server's slots by which the stated number of
	// requests must differ from the reported one to be worth a place in a report.
	sharedLoadDifference = 0.25
	// maxStatedRatio bounds the stated number of requests to that ratio of the reported one and
	// the slots. A server that overstates its load is not taken out of use.
	maxStatedRatio = 2
	// minReportWeight is the weight of reports below which few servers are compared, and
	// maxComparedServers their number.
	minReportWeight, maxComparedServers = 0.5, 8
	// minReportAge is the age of reports below which statements of that age are still used.
	minReportAge clock.Millis = 20
)

// ServerLoad is what a server stated of its load, in the report of another host.
type ServerLoad struct {
	Server string
	// StartCheck tells one start of the server from another; a statement does not hold after a
	// restart.
	StartCheck uint32
	// Load has no slots, which all hosts know.
	observer.Load
	Age clock.Millis
}

// loadStatement is a statement to share with other hosts.
type loadStatement struct {
	server *server
	at     clock.Millis
}

// startCheckModulus keeps the start of a server in a report at two bytes.
const startCheckModulus = 1 << 14

func (s *server) startCheck() uint32 { return uint32(s.StartUnixMs & (startCheckModulus - 1)) }

// RecordLoad records the load that a server has stated in a health check.
func (b *Balancer) RecordLoad(id string, l observer.Load, now clock.Millis) {
	if s := b.servers[id]; s != nil {
		b.recordLoad(s, l, now)
	}
}

// recordLoad records a load that a server has stated to this host. It is shared with others
// if it differs from what they expect.
//
// Loads count only for servers that state a pace, because they share their machines. For the
// others the requests that hosts report are enough: with stated counts, plays of two
// deployments without paces showed no gain.
func (b *Balancer) recordLoad(s *server, l observer.Load, now clock.Millis) {
	if l.Pace == 0 {
		return
	}
	difference := math.Abs(float64(l.Requests() - s.localInFlight - s.remoteInFlight))
	unexpected := l.Waiting > 0 || b.observer.IsPaceUnexpected(&s.stated, l.Pace, now) || difference > sharedLoadDifference*float64(s.Slots)
	if !b.observer.Record(&s.stated, l, s.localInFlight, now) {
		return
	}
	s.received, s.receivedAt = s.stated.Load(), now
	s.pool.statesLoad = true
	if unexpected {
		b.loads = append(b.loads, loadStatement{s, now})
	}
}

// purgeLoads forgets statements that are too old to be shared.
func (b *Balancer) purgeLoads(now clock.Millis) {
	old := 0
	for old < len(b.loads) && now-b.loads[old].at > observer.MaxSharedAge {
		old++
	}
	if old > 0 {
		b.loads = append(b.loads[:0], b.loads[old:]...)
	}
}

// LoadsSince returns the newest loads of the servers that have stated one to this host since a
// time that other hosts do not expect. What other hosts passed on is left out: the delays of
// the reports would make it younger each time.
func (b *Balancer) LoadsSince(since, now clock.Millis) []ServerLoad {
	var out []ServerLoad
	b.loadLists++
	since = max(since, now-observer.MaxSharedAge)
	for i := len(b.loads) - 1; i >= 0 && b.loads[i].at >= since && len(out) < maxSharedLoads; i-- {
		if s := b.loads[i].server; s.loadList != b.loadLists && b.servers[s.ID] == s && s.received.IsStated() {
			s.loadList = b.loadLists
			out = append(out, ServerLoad{Server: s.ID, StartCheck: s.startCheck(), Load: s.received, Age: now - s.receivedAt})
		}
	}
	return out
}

// ApplyLoads records loads in the report of another host.
func (b *Balancer) ApplyLoads(list []ServerLoad, now clock.Millis) {
	for _, l := range list {
		if s := b.servers[l.Server]; s != nil && s.startCheck() == l.StartCheck && l.Age <= 2*observer.MaxSharedAge {
			l.Slots = s.Slots
			b.observer.Record(&s.stated, l.Load, s.localInFlightAt(now-l.Age), now-l.Age)
		}
	}
}

// inFlightChange is the start (1) or end (-1) of a request of this host at a server.
type inFlightChange struct {
	at    clock.Millis
	delta int
}

// changeLocalInFlight counts the start or end of a request. Changes are kept for as long as the
// number of requests in a statement is used.
func (s *server) changeLocalInFlight(delta int, now clock.Millis) {
	s.localInFlight = max(0, s.localInFlight+delta)
	old := 0
	for old < len(s.changes) && now-s.changes[old].at > observer.MaxLoadAge {
		old++
	}
	s.changes = append(s.changes[old:], inFlightChange{now, delta})
}

// localInFlightAt returns the number of this host's requests at the server at a recent time.
func (s *server) localInFlightAt(at clock.Millis) int {
	n := s.localInFlight
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].at > at; i-- {
		n -= s.changes[i].delta
	}
	return max(0, n)
}

// PaceHold returns the time constant in ms with which unusual paces end.
func (b *Balancer) PaceHold() float64 { return b.observer.PaceHold() }

// updateReportAge updates the mean age of the reports of other hosts.
func (b *Balancer) updateReportAge(now clock.Millis) {
	b.reportAge = observer.MaxLoadAge
	if len(b.reports) > 0 {
		var sum clock.Millis
		for _, r := range b.reports {
			sum += now - r.receivedAt
		}
		b.reportAge = max(minReportAge, sum/clock.Millis(len(b.reports)))
	}
	for _, p := range b.pools {
		p.meanLoad = p.remoteLoad()
	}
}

// updateReportWeight sets the weight of what other hosts report of single servers, for a
// request of a class.
//
// Requests that were at a server when a report was made have been answered some time later,
// and others were sent to the servers that had few. In a large fleet, all hosts would send
// their requests of a second to the same ones. So the numbers move towards the mean of the
// service once reports are older than a request takes. Without reports nothing is old.
func (b *Balancer) updateReportWeight(p *pool, c *class) {
	p.reportWeight = 1
	if p.statesLoad && len(b.reports) > 0 {
		p.reportWeight = math.Exp(-math.Max(0, float64(b.reportAge)/c.warmServiceTime-1))
	}
}

// comparedServers returns the servers that are compared if the preferred ones are late. When
// reports are old, all hosts take the same servers for the least loaded of all and would send
// them the requests for all objects, for which these must warm up. So each object then has a
// few servers of its own, the highest-ranked ones. The others follow if none of these may get it.
func (p *pool) comparedServers(ranked []*server) []*server {
	if p.reportWeight < minReportWeight {
		return ranked[:min(len(ranked), maxComparedServers)]
	}
	return ranked
}

// inFlight returns the number of requests that a server is assumed to have: what it stated
// itself if that is newer than the reports of other hosts, or what these report.
func (b *Balancer) inFlight(s *server, now clock.Millis) int {
	reported := s.localInFlight + s.remoteInFlight
	if n, ok := s.stated.Requests(s.localInFlight, b.reportAge, now); ok {
		return min(n, maxStatedRatio*reported+s.Slots)
	}
	if s.pool.reportWeight == 1 {
		return reported
	}
	mean := s.pool.meanLoad * float64(s.Slots)
	return s.localInFlight + int(math.Round(mean+(float64(s.remoteInFlight)-mean)*s.pool.reportWeight))
}

// currentSlowdown returns the ratio of service times at a server to the usual ones: the
// measured one, scaled by the pace that the server states.
func (b *Balancer) currentSlowdown(s *server, now clock.Millis) float64 {
	return math.Min(math.Max(minSlowdown, s.slowdown*b.observer.Pace(&s.stated, now)), maxSlowdown)
}

package dispatcher

import (
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// tokenTimeBits is the width of the time in a token; the epoch is in the bits above.
const tokenTimeBits = 40

// IssueToken returns the token for an entry host's next report, which dates the report on the owner's clock.
func (d *Dispatcher) IssueToken(now clock.Millis) uint64 {
	return d.cfg.Epoch<<tokenTimeBits | uint64(now+1)
}

// tokenTime returns the time in a token, or false if this incarnation did not issue it.
func (d *Dispatcher) tokenTime(value uint64) (clock.Millis, bool) {
	const mask = uint64(1)<<tokenTimeBits - 1
	return clock.Millis(value&mask) - 1, value != 0 && value|mask == d.cfg.Epoch<<tokenTimeBits|mask
}

// HandleReport applies the permits and votes of an entry host's report.
func (d *Dispatcher) HandleReport(r *schema.ReportPermitsRequest, now clock.Millis) {
	if !d.recordMessage(r.GetHost(), r.GetIncarnation(), now) {
		return
	}
	issued, valid := d.tokenTime(r.GetToken())
	if valid {
		h := d.entryHosts[r.GetHost()]
		h.tokenTime = max(h.tokenTime, issued)
		d.countVotes(r, issued)
	}
	listed := make(map[string]bool, len(r.GetPermits()))
	for _, p := range r.GetPermits() {
		listed[p.GetPermitId()] = true
		d.adoptPermit(r, p, now)
	}
	if !valid {
		return
	}
	// The report was sent after its token was issued, so an older permit that it doesn't list has ended.
	for id, p := range d.permits {
		if p.host == r.GetHost() && p.grantedAt < issued && !listed[id] {
			d.freePermit(id)
			d.tombstones[id] = now
		}
	}
}

func (d *Dispatcher) countVotes(r *schema.ReportPermitsRequest, issued clock.Millis) {
	for _, name := range r.GetVotes() {
		s := d.servers[name]
		if s == nil {
			continue
		}
		if old := s.votes[r.GetHost()]; issued >= old.tokenTime {
			s.votes[r.GetHost()] = receivedVote{issued, int(r.GetRegionHosts()), r.GetFresh()}
		}
	}
	for name, s := range d.servers {
		if old, ok := s.votes[r.GetHost()]; ok && issued > old.tokenTime && !slices.Contains(r.GetVotes(), name) {
			delete(s.votes, r.GetHost())
		}
	}
}

// adoptPermit counts a permit that a former owner granted.
func (d *Dispatcher) adoptPermit(r *schema.ReportPermitsRequest, p *schema.HeldPermit, now clock.Millis) {
	_, known := d.permits[p.GetPermitId()]
	_, ended := d.tombstones[p.GetPermitId()]
	s := d.servers[p.GetBackendServer()]
	if known || ended || s == nil {
		return
	}
	d.permits[p.GetPermitId()] = permit{r.GetHost(), r.GetIncarnation(), p.GetService(), s.Name, now}
	s.inUse++
}

// recordMessage records that an entry host sent a message. It returns false for an earlier incarnation.
func (d *Dispatcher) recordMessage(host string, incarnation uint64, now clock.Millis) bool {
	h := d.entryHosts[host]
	if h == nil {
		h = &entryHost{incarnation: incarnation}
		d.entryHosts[host] = h
	}
	if incarnation < h.incarnation {
		return false
	}
	if incarnation > h.incarnation {
		d.freeHostPermits(host)
		*h = entryHost{incarnation: incarnation}
	}
	h.lastMessageAt = now
	if _, dead := d.deadIncarnations[host]; dead {
		delete(d.deadIncarnations, host)
		d.SetView(d.view, now)
	}
	return true
}

func (d *Dispatcher) freeHostPermits(host string) {
	for id, p := range d.permits {
		if p.host == host {
			d.freePermit(id)
		}
	}
}

// expire frees the permits of silent entry hosts and drops old tombstones and votes.
func (d *Dispatcher) expire(now clock.Millis) {
	for name, h := range d.entryHosts {
		if now-h.lastMessageAt >= d.cfg.Rules.EntryHostTimeout {
			d.freeHostPermits(name)
			delete(d.entryHosts, name)
		}
	}
	for id, releasedAt := range d.tombstones {
		if now-releasedAt > d.cfg.Rules.TombstoneTTL {
			delete(d.tombstones, id)
		}
	}
	for _, s := range d.servers {
		for host, v := range s.votes {
			if now-v.tokenTime >= d.cfg.Rules.VoteTTL {
				delete(s.votes, host)
			}
		}
	}
}

// Loads returns the load on the grantable slots of each service.
func (d *Dispatcher) Loads(now clock.Millis) []*schema.PoolLoad {
	var out []*schema.PoolLoad
	for _, cfg := range d.view.Services {
		p := d.pools[cfg.Name]
		load := &schema.PoolLoad{Service: cfg.Name, Queued: uint32(p.queue.length), Granted: p.grantCount}
		for _, s := range p.servers {
			if s.ready {
				load.Slots += uint32(s.health.slotLimit(s.Slots, now))
				load.InUse += uint32(s.inUse)
			}
		}
		out = append(out, load)
	}
	return out
}

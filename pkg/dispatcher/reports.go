package dispatcher

import (
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// tokenBits is the width of the time in a token; the epoch is above it.
const tokenBits = 40

// IssueToken dates the next report of an entry host on the owner's clock.
func (d *Dispatcher) IssueToken(now clock.Millis) uint64 {
	return d.cfg.Epoch<<tokenBits | uint64(now+1)
}

// tokenTime returns the time of a token of this incarnation.
func (d *Dispatcher) tokenTime(value uint64) (clock.Millis, bool) {
	const mask = uint64(1)<<tokenBits - 1
	return clock.Millis(value&mask) - 1, value != 0 && value|mask == d.cfg.Epoch<<tokenBits|mask
}

// HandleReport takes an entry host's permits and votes.
func (d *Dispatcher) HandleReport(r *schema.ReportPermitsRequest, now clock.Millis) {
	if !d.hear(r.GetHost(), r.GetIncarnation(), now) {
		return
	}
	sent, dated := d.tokenTime(r.GetToken())
	if dated {
		h := d.holders[r.GetHost()]
		h.token = max(h.token, sent)
		d.countVotes(r, sent)
	}
	listed := make(map[string]bool, len(r.GetPermits()))
	for _, p := range r.GetPermits() {
		listed[p.GetPermitId()] = true
		d.adopt(r, p, now)
	}
	if !dated {
		return
	}
	// The report was sent after its token was issued, so an older permit that it omits has ended.
	for id, p := range d.permits {
		if p.host == r.GetHost() && p.since < sent && !listed[id] {
			d.free(id)
			d.tombstones[id] = now
		}
	}
}

func (d *Dispatcher) countVotes(r *schema.ReportPermitsRequest, sent clock.Millis) {
	for _, name := range r.GetVotes() {
		s := d.servers[name]
		if s == nil {
			continue
		}
		if old := s.votes[r.GetHost()]; sent >= old.token {
			s.votes[r.GetHost()] = support{sent, int(r.GetRegionHosts()), r.GetFresh()}
		}
	}
	for name, s := range d.servers {
		if old, ok := s.votes[r.GetHost()]; ok && sent > old.token && !slices.Contains(r.GetVotes(), name) {
			delete(s.votes, r.GetHost())
		}
	}
}

// adopt counts a permit that a former owner granted.
func (d *Dispatcher) adopt(r *schema.ReportPermitsRequest, p *schema.HeldPermit, now clock.Millis) {
	_, known := d.permits[p.GetPermitId()]
	_, ended := d.tombstones[p.GetPermitId()]
	s := d.servers[p.GetBackendServer()]
	if known || ended || s == nil {
		return
	}
	d.permits[p.GetPermitId()] = permit{r.GetHost(), r.GetIncarnation(), p.GetService(), s.Name, now}
	s.inUse++
}

// hear notes a sign of life; it reports false for an earlier incarnation.
func (d *Dispatcher) hear(host string, incarnation uint64, now clock.Millis) bool {
	h := d.holders[host]
	if h == nil {
		h = &holder{incarnation: incarnation}
		d.holders[host] = h
	}
	if incarnation < h.incarnation {
		return false
	}
	if incarnation > h.incarnation {
		d.freeHost(host)
		*h = holder{incarnation: incarnation}
	}
	h.heard = now
	if _, dead := d.dead[host]; dead {
		delete(d.dead, host)
		d.SetView(d.view, now)
	}
	return true
}

func (d *Dispatcher) freeHost(host string) {
	for id, p := range d.permits {
		if p.host == host {
			d.free(id)
		}
	}
}

// expire frees the permits of dead entry hosts and forgets what is old.
func (d *Dispatcher) expire(now clock.Millis) {
	for name, h := range d.holders {
		if now-h.heard >= d.cfg.Rules.EntryHostTimeout {
			d.freeHost(name)
			delete(d.holders, name)
		}
	}
	for id, at := range d.tombstones {
		if now-at > d.cfg.Rules.TombstoneTTL {
			delete(d.tombstones, id)
		}
	}
	for _, s := range d.servers {
		for host, v := range s.votes {
			if now-v.token >= d.cfg.Rules.VoteTTL {
				delete(s.votes, host)
			}
		}
	}
}

// Loads returns the load of each service's owned slots.
func (d *Dispatcher) Loads(now clock.Millis) []*schema.PoolLoad {
	var out []*schema.PoolLoad
	for _, cfg := range d.view.Services {
		p := d.pools[cfg.Name]
		load := &schema.PoolLoad{Service: cfg.Name, Queued: uint32(p.queue.length), Granted: p.granted}
		for _, s := range p.servers {
			if s.ready {
				load.Slots += uint32(s.health.limit(s.Slots, now))
				load.InUse += uint32(s.inUse)
			}
		}
		out = append(out, load)
	}
	return out
}

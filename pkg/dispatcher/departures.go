package dispatcher

import (
	"slices"

	"catkindyke/pkg/clock"
)

// Leave starts a planned stop: the host grants nothing more in this incarnation.
// Call it before the host announces that it is leaving, because voters end their
// promises to a host that has announced it.
func (d *Dispatcher) Leave(now clock.Millis) {
	d.stopping = true
	d.SetView(d.view, now)
}

// MarkDead records proof that an incarnation of a host has ended, such as a refused
// connection to its peer port. A host that is merely silent isn't proven dead. A
// later message from the host revokes the proof.
func (d *Dispatcher) MarkDead(host string, incarnation uint64, now clock.Millis) {
	h := d.entryHosts[host]
	if host == d.cfg.Self || h != nil && h.incarnation > incarnation || d.view.Incarnations[host] > incarnation {
		return
	}
	d.deadIncarnations[host] = incarnation
	if h != nil {
		h.lastMessageAt = min(h.lastMessageAt, now-d.cfg.Rules.EntryHostTimeout+d.cfg.Rules.DeadHostGrace)
	}
	delete(d.regionLastSeenAt, host)
	d.voter.EndPromises(host)
	for _, s := range d.servers {
		delete(s.votes, host)
	}
	d.SetView(d.view, now)
}

// IsDead reports whether a host is proven dead.
func (d *Dispatcher) IsDead(host string) bool {
	_, dead := d.deadIncarnations[host]
	return dead
}

// CanGrant reports whether the host may grant slots of a service, now or as soon as one is free.
func (d *Dispatcher) CanGrant(service string, now clock.Millis) bool {
	p := d.pools[service]
	return p != nil && slices.ContainsFunc(p.servers, func(s *server) bool { return s.ready && s.health.slotLimit(s.Slots, now) > 0 })
}

// dropOutdatedDeaths drops the proofs about hosts that have restarted, and about
// hosts that are gone from the view and hold no permits.
func (d *Dispatcher) dropOutdatedDeaths() {
	for h, incarnation := range d.deadIncarnations {
		if d.view.Incarnations[h] > incarnation || d.entryHosts[h] == nil && !slices.Contains(d.view.LiveHosts, h) {
			delete(d.deadIncarnations, h)
		}
	}
}

// eligibleOwners returns the hosts that may own servers.
func (d *Dispatcher) eligibleOwners() []string {
	return slices.DeleteFunc(slices.Clone(d.view.EligibleOwners), func(h string) bool {
		return d.IsDead(h) || d.stopping && h == d.cfg.Self
	})
}

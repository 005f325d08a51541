package balancer

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// recentObjectTTL is the time for which a server is assumed to be warm for an object
	// that it handled, and maxRecentObjects the number of objects tracked per server.
	recentObjectTTL  = 15 * clock.Second
	maxRecentObjects = 512
	// announceInterval is the time after which the placement of an object that is still in
	// use is announced again. Other hosts would forget it after recentObjectTTL.
	announceInterval = recentObjectTTL / 3
	// purgeInterval is the interval at which expired placements are removed.
	purgeInterval = clock.Second
	// maxObjectsFactor is the ratio of a server's objects to its fair number from which on
	// it gets no further ones.
	maxObjectsFactor = 1.25
	// minObjectsFactor is the ratio of a server's objects to its fair number below which
	// objects move there from servers that have more.
	minObjectsFactor = 0.5
)

// Placement says that a server gets requests for an object and is warm for it.
type Placement struct {
	// Object is the hash of the object and the class of its requests.
	Object uint64
	Server string
}

// objectUse is the use of an object at a server.
type objectUse struct {
	// usedAt is the last known time of a request by any host of the region, and
	// announcedAt the time at which a host last announced the placement.
	usedAt, announcedAt clock.Millis
}

// announcement is a placement that this host announces to others.
type announcement struct {
	Placement
	at clock.Millis
}

// hasRecentObject reports whether a host of the region sent a request for the object to
// the server within recentObjectTTL.
func (s *server) hasRecentObject(object uint64, now clock.Millis) bool {
	use, ok := s.recentObjects[object]
	return ok && now-use.usedAt <= recentObjectTTL
}

// setObjectUse records the use of an object.
func (s *server) setObjectUse(object uint64, use objectUse, now clock.Millis) {
	s.recentObjects[object] = use
	if len(s.recentObjects) <= maxRecentObjects {
		return
	}
	s.purgeObjects(now)
	if len(s.recentObjects) > maxRecentObjects {
		clear(s.recentObjects)
	}
}

// purgeObjects removes the objects that have not been used for recentObjectTTL.
func (s *server) purgeObjects(now clock.Millis) {
	for object := range s.recentObjects {
		if !s.hasRecentObject(object, now) {
			delete(s.recentObjects, object)
		}
	}
}

// useObject records that this host sends a request for the object to a server, and
// announces that if no host has done so recently.
func (b *Balancer) useObject(s *server, object uint64, now clock.Millis) {
	use, known := s.recentObjects[object]
	use.usedAt = now
	if !known || now-use.announcedAt >= announceInterval {
		use.announcedAt = now
		b.announcements = append(b.announcements, announcement{Placement{object, s.ID}, now})
	}
	s.setObjectUse(object, use, now)
}

// PlacementsSince returns the placements that this host has announced since a time.
func (b *Balancer) PlacementsSince(since clock.Millis) []Placement {
	var out []Placement
	for i := len(b.announcements) - 1; i >= 0 && b.announcements[i].at >= since; i-- {
		out = append(out, b.announcements[i].Placement)
	}
	return out
}

// Placements returns all placements that this host knows.
func (b *Balancer) Placements(now clock.Millis) []Placement {
	var out []Placement
	for _, s := range b.servers {
		for object := range s.recentObjects {
			if s.hasRecentObject(object, now) {
				out = append(out, Placement{object, s.ID})
			}
		}
	}
	return out
}

// ApplyPlacements records placements that another host of the region announced.
func (b *Balancer) ApplyPlacements(list []Placement, now clock.Millis) {
	for _, placement := range list {
		if s := b.servers[placement.Server]; s != nil {
			s.setObjectUse(placement.Object, objectUse{now, now}, now)
		}
	}
}

// purgePlacements removes expired placements and announcements.
func (b *Balancer) purgePlacements(now clock.Millis) {
	if now-b.purgedAt < purgeInterval {
		return
	}
	b.purgedAt = now
	for _, s := range b.servers {
		s.purgeObjects(now)
	}
	expired := 0
	for expired < len(b.announcements) && now-b.announcements[expired].at > recentObjectTTL {
		expired++
	}
	b.announcements = b.announcements[expired:]
}

// objectCount returns the number of placements in the pool.
func (p *pool) objectCount() int {
	n := 0
	for _, s := range p.servers {
		n += len(s.recentObjects)
	}
	return n
}

// fairObjects returns the number of objects that a server would have if total objects
// were divided by the shares of the regions and the slots of their servers.
func (p *pool) fairObjects(s *server, total int) float64 {
	return float64(total) * p.shares[s.Region] * float64(s.Slots) / p.slotsByRegion[s.Region]
}

// preferredFor returns the servers that are compared first for an object, of servers
// ranked for it. home is set if no server is known to be warm; it is then the first one.
//
// A rank by hash alone gives some servers twice the objects of others when there are few
// objects per server, and moves objects whenever shares or servers change, although
// other servers are warm for them. So an object stays where it is, and a new one goes to
// the highest-ranked server that stays within maxObjectsFactor of its fair number.
func (p *pool) preferredFor(ranked []*server, object uint64, now clock.Millis) (preferred []*server, home *server) {
	for _, s := range ranked {
		if s.hasRecentObject(object, now) && !s.isUnavailable(now) {
			preferred = append(preferred, s)
		}
	}
	if len(ranked) == 0 || len(preferred) > 0 {
		return preferred, nil
	}
	total := p.objectCount() + 1
	for i, s := range ranked {
		if !s.isUnavailable(now) && float64(len(s.recentObjects)+1) <= math.Ceil(maxObjectsFactor*p.fairObjects(s, total)) {
			rest := append([]*server{s}, ranked[:i]...)
			return append(rest, ranked[i+1:]...)[:min(preferredServers, len(ranked))], s
		}
	}
	return ranked[:min(preferredServers, len(ranked))], ranked[0]
}

// underused returns the highest-ranked server if it has far fewer objects than its fair
// number while all that are warm for the object have more, or nil. A server that joins
// gets its first objects this way.
func (p *pool) underused(ranked, warm []*server, now clock.Millis) *server {
	if len(ranked) == 0 || len(warm) == 0 {
		return nil
	}
	first := ranked[0]
	for _, s := range warm {
		if s == first || len(s.recentObjects) <= len(first.recentObjects)+1 {
			return nil
		}
	}
	if first.isUnavailable(now) || first.isCold(now) || first.localInFlight+first.remoteInFlight >= first.Slots {
		return nil
	}
	if float64(len(first.recentObjects)) >= minObjectsFactor*p.fairObjects(first, p.objectCount()) {
		return nil
	}
	return first
}

package hoster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

const (
	// demandTolerance is the fraction by which a service's demand must change to be reported
	// again, and minDemandChange the smallest change in requests per second.
	demandTolerance, minDemandChange = 0.1, 0.05
)

// reportedState is what a host reports, with the sequence number of the report in which each
// part last changed. A report that follows one that its receiver has applied then needs only
// the parts with higher numbers, whichever other hosts got reports in between.
type reportedState struct {
	loads              map[string]*reportedLoad
	demands            map[string]*reportedDemand
	revisions          []relayer.Revision
	revisionsChangedAt uint64
	// baseAfter is the number up to which reports can't be the base of partial ones, because
	// something was removed after them.
	baseAfter uint64
	// sharedHashes reports whether servers with requests share short hashes.
	sharedHashes bool
}

type reportedLoad struct {
	hash, changedAt, seenAt uint64
	inFlight                int
}

type reportedDemand struct {
	perS      float64
	changedAt uint64
}

// observe updates the state for the report with a sequence number.
func (s *reportedState) observe(sequence uint64, inFlight map[string]int, demands map[string]float64, revisions []relayer.Revision, names namesByHash) {
	s.observeLoads(sequence, inFlight, names)
	if s.demands == nil {
		s.demands = make(map[string]*reportedDemand)
	}
	for name, perS := range demands {
		d := s.demands[name]
		if d == nil || math.Abs(perS-d.perS) > max(demandTolerance*d.perS, minDemandChange) {
			s.demands[name] = &reportedDemand{perS, sequence}
		}
	}
	for name := range s.demands {
		if _, ok := demands[name]; !ok {
			delete(s.demands, name)
			s.baseAfter = sequence - 1
		}
	}
	slices.SortFunc(revisions, func(a, b relayer.Revision) int { return cmp.Compare(a.Kind, b.Kind) })
	if !slices.Equal(revisions, s.revisions) {
		s.revisions, s.revisionsChangedAt = revisions, sequence
		if len(revisions) == 0 {
			s.baseAfter = sequence - 1
		}
	}
}

func (s *reportedState) observeLoads(sequence uint64, inFlight map[string]int, names namesByHash) {
	if s.loads == nil {
		s.loads = make(map[string]*reportedLoad)
	}
	shared := false
	for id, n := range inFlight {
		l := s.loads[id]
		if l == nil {
			l = &reportedLoad{hash: xxhash.Sum64String(id)}
			s.loads[id] = l
		}
		shared = shared || names.isShared(id, l.hash)
		if l.seenAt = sequence; l.inFlight != n {
			l.inFlight, l.changedAt = n, sequence
		}
	}
	if shared != s.sharedHashes {
		s.sharedHashes, s.baseAfter = shared, sequence-1
	}
	for id, l := range s.loads {
		switch {
		case l.seenAt == sequence:
		case l.inFlight > 0:
			l.inFlight, l.changedAt = 0, sequence
		case sequence-l.changedAt > maxSentReports:
			// Earlier reports are no longer bases.
			delete(s.loads, id)
		}
	}
}

// base returns the sequence number of a report that its receiver has applied if a partial one
// can follow it, or 0.
func (s *reportedState) base(sequence uint64) uint64 {
	if sequence <= s.baseAfter {
		return 0
	}
	return sequence
}

// encode sets the fields of a report to the state, or to what has changed since the report that
// a partial one follows.
func (s *reportedState) encode(r *schema.HostReport, short bool) {
	since := uint64(0)
	if r.Partial {
		since = r.UsesAfter
	}
	s.encodeLoads(r, since, short && !s.sharedHashes)
	for name, d := range s.demands {
		if d.changedAt > since {
			r.ServiceDemands = append(r.ServiceDemands, &schema.Rate{Name: name, PerS: d.perS})
		}
	}
	if s.revisionsChangedAt > since {
		r.Revisions = encodeRevisions(s.revisions)
	}
}

// encodeLoads sets the loads that have changed, or all if these are fewer.
func (s *reportedState) encodeLoads(r *schema.HostReport, since uint64, short bool) {
	all, changed := 0, 0
	for _, l := range s.loads {
		if l.inFlight > 0 {
			all++
		}
		if l.changedAt > since {
			changed++
		}
	}
	r.AllLoads = r.Partial && all <= changed
	r.Loads = &schema.ServerLoads{}
	for _, l := range s.loads {
		if r.AllLoads || !r.Partial {
			if l.inFlight == 0 {
				continue
			}
		} else if l.changedAt <= since {
			continue
		}
		if short {
			r.Loads.ShortHashes = append(r.Loads.ShortHashes, uint32(shortHash(l.hash)))
		} else {
			r.Loads.ServerHashes = append(r.Loads.ServerHashes, l.hash)
		}
		r.Loads.InFlight = append(r.Loads.InFlight, uint32(l.inFlight))
	}
}

// Package rationer divides fleet-wide rates among hosts. It is pure: the
// caller gives the time and serializes the calls.
//
// Each host admits a part of a workspace's rate. The parts follow the demand
// that the hosts tell each other. A host that falls silent keeps its part until
// it has certainly stopped admitting, because it may be cut off and still serve.
//
// Parts of a small rate are too small for the chance arrival of a request. So
// each host also follows the fleet's whole bucket, from the numbers of requests
// that all hosts have admitted, and while that bucket is well filled it admits
// a request now and then beyond its part.
package rationer

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// equalPart is the part of each rate that is divided equally, so that a host
	// with new callers can begin.
	equalPart = 0.15
	// demandLife is the time over which a host's demand is averaged.
	demandLife clock.Millis = 1500
	// startTokens is the part of its burst that a host has when it starts: a
	// predecessor of the same name may have spent the rest.
	startTokens = 0.1
	// pooledLevel and fullLevel are the levels of the whole bucket, as parts of the
	// burst, above which a host admits one and two requests beyond its part in a
	// time of pooledPause. The time is about the age of what the host knows of the
	// others, so that all hosts together exceed the bucket by few requests each.
	pooledLevel, fullLevel              = 0.5, 0.65
	pooledPause            clock.Millis = 500
	// A host counts as silent when no report came for silentRounds of its usual
	// pauses and silentSlack more. Parts do not grow while one is: it may be cut
	// off, and have the same reason to grow.
	silentRounds              = 3
	silentSlack  clock.Millis = 150
	// settleTime is longer than the time after which a silent host is noticed in a
	// small fleet; parts may have grown in it on both sides of a cut.
	settleTime clock.Millis = 500
	// pauseWeight is the weight of one pause between reports in the usual one.
	pauseWeight = 0.2
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter clock.Millis = 50
	maxRetryAfter clock.Millis = 2000
)

// Limit is a workspace's rate and burst for the whole fleet.
type Limit struct {
	Rate, Burst float64
}

// Config configures a rationer.
type Config struct {
	// ReservationTTL is the time after the last report of a host for which its part
	// stays reserved. It must be longer than the time after which a host without
	// contact to the store stops admitting.
	ReservationTTL clock.Millis
	// RateSlack is the number of requests over rate and burst, for the whole fleet,
	// by which hosts may err together. Without it a workspace whose few requests
	// reach many hosts is refused below its rate.
	RateSlack float64
}

// Rationer holds a host's part of every workspace's rate.
type Rationer struct {
	cfg     Config
	buckets map[string]*bucket
	hosts   map[string]*host
}

// Usage is what a host tells of the requests of a workspace.
type Usage struct {
	// Demand is its requests a second, admitted or not.
	Demand float64
	// Admitted is the number of requests that this incarnation of the host has admitted.
	Admitted uint64
}

// Report is what another host tells of its admissions.
type Report struct {
	// Incarnation is the start of the host's process.
	Incarnation uint64
	// Usage are those of the workspaces that had requests since an earlier report,
	// or of all workspaces in the first one.
	Usage map[string]Usage
}

// host is what another host reported.
type host struct {
	incarnation uint64
	uses        map[string]Usage
	at          clock.Millis
	heard       bool
	// pause is the usual time between reports.
	pause float64
}

type bucket struct {
	limit  Limit
	tokens float64
	at     clock.Millis
	demand float64
	seen   clock.Millis
	// asked is the time of the last request.
	asked clock.Millis
	// level is the estimated level of the fleet's whole bucket.
	level float64
	// admitted counts the requests that this host has admitted.
	admitted uint64
	// agreed is the part at the last time at which no host was silent. settled is
	// an earlier one that was in force before any host that is silent now fell
	// silent, and settledAt the time at which agreed was last copied to it.
	agreed, settled float64
	settledAt       clock.Millis
	// pooledCount is the number of admissions beyond this host's part since pooledAt.
	pooledAt    clock.Millis
	pooledCount int
}

// New returns a rationer without limits.
func New(cfg Config) *Rationer {
	return &Rationer{cfg: cfg, buckets: make(map[string]*bucket), hosts: make(map[string]*host)}
}

// SetLimits replaces the limits by workspace.
func (r *Rationer) SetLimits(limits map[string]Limit, now clock.Millis) {
	for name, limit := range limits {
		b := r.buckets[name]
		if b == nil {
			b = &bucket{at: now, seen: now, agreed: 1 / float64(len(r.hosts)+1), settled: 1 / float64(len(r.hosts)+1)}
			b.tokens = startTokens * limit.Burst * b.agreed
			b.level = startTokens * limit.Burst
			r.buckets[name] = b
		}
		r.fill(name, b, now)
		b.limit = limit
		b.tokens = math.Min(b.tokens, r.capacity(b, b.agreed))
		b.level = math.Min(b.level, limit.Burst)
	}
	for name := range r.buckets {
		if _, ok := limits[name]; !ok {
			delete(r.buckets, name)
		}
	}
}

// AddHost makes room for a host that is known to exist but was not heard yet.
func (r *Rationer) AddHost(name string, now clock.Millis) {
	if r.hosts[name] == nil {
		r.hosts[name] = &host{at: now}
	}
}

// HasBaseline reports whether all that an incarnation of a host has told is known, so
// that its next report may leave out what has not changed.
func (r *Rationer) HasBaseline(name string, incarnation uint64) bool {
	h := r.hosts[name]
	return h != nil && h.heard && h.incarnation == incarnation
}

// ApplyReport takes the report of another host.
func (r *Rationer) ApplyReport(name string, report Report, now clock.Millis) {
	h := r.hosts[name]
	if h == nil {
		h = &host{}
		r.hosts[name] = h
	}
	if r.HasBaseline(name, report.Incarnation) {
		h.decay(now)
	} else {
		h.uses = make(map[string]Usage, len(report.Usage))
	}
	for workspace, use := range report.Usage {
		if b := r.buckets[workspace]; b != nil {
			if n := h.admittedSince(workspace, use.Admitted); n > 0 {
				r.fill(workspace, b, now)
				b.level -= float64(n)
			}
		}
	}
	// What was admitted before the first report is in no known window, so that it is
	// noted after the numbers above.
	maps.Copy(h.uses, report.Usage)
	if h.heard {
		switch pause := float64(now - h.at); {
		case h.pause == 0:
			h.pause = pause
		case h.fresh(now):
			h.pause += pauseWeight * (pause - h.pause)
		}
	}
	h.incarnation, h.at, h.heard = report.Incarnation, now, true
}

// admittedSince is the number of requests of a workspace that the host has
// admitted since its last report.
func (h *host) admittedSince(workspace string, admitted uint64) uint64 {
	if !h.heard {
		return 0
	}
	before := h.uses[workspace].Admitted
	if admitted < before {
		// The workspace left the configuration and came back.
		before = 0
	}
	return admitted - before
}

// decay lowers the demands as the host itself does while no request comes.
func (h *host) decay(now clock.Millis) {
	factor := math.Exp(-float64(now-h.at) / float64(demandLife))
	for workspace, use := range h.uses {
		use.Demand *= factor
		h.uses[workspace] = use
	}
}

// ExpireHosts forgets the hosts that have been silent for longer than SilentLife.
func (r *Rationer) ExpireHosts(now clock.Millis) {
	for name, h := range r.hosts {
		if now-h.at > r.cfg.ReservationTTL {
			delete(r.hosts, name)
		}
	}
}

// Admit takes a token of a workspace, or tells when one will be there.
func (r *Rationer) Admit(workspace string, now clock.Millis) (ok bool, retryAfter clock.Millis) {
	b := r.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	reachable := r.fill(workspace, b, now)
	b.count(now)
	if b.tokens >= 1 {
		b.tokens--
		b.take()
		return true, 0
	}
	if b.pooled(reachable, now) {
		b.take()
		return true, 0
	}
	rate := b.limit.Rate * b.agreed
	wait := clock.Millis(math.Ceil((1 - b.tokens) / math.Max(rate, 0.01) * 1000))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}

// pooled reports whether the whole bucket is filled well enough for a request
// beyond this host's part, and counts it.
func (b *bucket) pooled(reachable float64, now clock.Millis) bool {
	if now-b.pooledAt >= pooledPause {
		b.pooledAt, b.pooledCount = now, 0
	}
	level := pooledLevel
	if b.pooledCount > 0 {
		level = fullLevel
	}
	if b.pooledCount > 1 || b.level < math.Max(1, level*b.limit.Burst*reachable) {
		return false
	}
	b.pooledCount++
	return true
}

func (b *bucket) take() {
	b.level--
	b.admitted++
}

// fresh reports whether the host's next report is not overdue.
func (h *host) fresh(now clock.Millis) bool {
	return now-h.at <= silentSlack+clock.Millis(silentRounds*h.pause)
}

// minDemand is the demand below which a workspace without admissions is not told of.
const minDemand = 0.01

// UsageSince returns the uses of the workspaces that had requests since a time.
func (r *Rationer) UsageSince(since, now clock.Millis) map[string]Usage {
	out := make(map[string]Usage)
	for name, b := range r.buckets {
		if b.asked < since {
			continue
		}
		if b.decay(now); b.admitted > 0 || b.demand > minDemand {
			out[name] = Usage{Demand: b.demand, Admitted: b.admitted}
		}
	}
	return out
}

// count adds a request to the demand.
func (b *bucket) count(now clock.Millis) {
	b.decay(now)
	b.asked = now
	b.demand += 1000 / float64(demandLife)
}

func (b *bucket) decay(now clock.Millis) {
	b.demand *= math.Exp(-float64(now-b.seen) / float64(demandLife))
	b.seen = now
}

// share is what the hosts' reports say of a workspace's rate.
type share struct {
	// wanted is the part of this host that follows the demands as they are known.
	wanted float64
	// reachable is the part of all hosts that are not silent. A silent host may be
	// cut off and use its part, while this host's side of the cut follows the rest
	// of the whole bucket.
	reachable float64
}

func (r *Rationer) share(workspace string, b *bucket, now clock.Millis) share {
	hosts, silentHosts := float64(len(r.hosts)+1), 0.0
	sum, silent := b.demand, 0.0
	for _, h := range r.hosts {
		demand := b.demand
		if h.heard {
			demand = h.uses[workspace].Demand
		}
		sum += demand
		if !h.heard || !h.fresh(now) {
			silent += demand
			silentHosts++
		}
	}
	if sum <= 0 {
		return share{wanted: 1 / hosts, reachable: 1 - silentHosts/hosts}
	}
	part := func(n, demand float64) float64 { return equalPart*n/hosts + (1-equalPart)*demand/sum }
	return share{wanted: part(1, b.demand), reachable: 1 - part(silentHosts, silent)}
}

// part is this host's part of a workspace's rate, from 0 to 1.
func (r *Rationer) part(b *bucket, s share, now clock.Millis) float64 {
	part := s.wanted
	if s.reachable < 1 {
		part = math.Min(part, math.Min(b.agreed, b.settled))
		part = math.Max(part, equalPart/float64(len(r.hosts)+1))
	} else if now-b.settledAt >= settleTime {
		b.settled, b.settledAt = b.agreed, now
	}
	b.agreed = part
	return part
}

// capacity is the number of tokens that this host may hold with a part.
func (r *Rationer) capacity(b *bucket, part float64) float64 {
	return math.Max(1, b.limit.Burst*part+r.cfg.RateSlack/float64(len(r.hosts)+1))
}

// fill adds what was gained since the last time and returns the part of the
// rate that is not reserved for silent hosts.
func (r *Rationer) fill(workspace string, b *bucket, now clock.Millis) (reachable float64) {
	s := r.share(workspace, b, now)
	part := r.part(b, s, now)
	if now > b.at {
		gained := b.limit.Rate * float64(now-b.at) / 1000
		b.tokens += part * gained
		b.level = math.Min(b.level+gained*s.reachable, b.limit.Burst*s.reachable)
		b.at = now
	}
	b.tokens = math.Min(b.tokens, r.capacity(b, part))
	return s.reachable
}

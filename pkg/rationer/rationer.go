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
	// equalShare is the part of each rate that is divided equally, so that a host
	// with new callers can begin.
	equalShare = 0.15
	// demandTimeConstant is the time over which a host's demand is averaged.
	demandTimeConstant clock.Millis = 1500
	// initialTokenShare is the part of its burst that a host has when it starts: a
	// predecessor of the same name may have spent the rest.
	initialTokenShare = 0.1
	// fleetLevelForOne and fleetLevelForTwo are the levels of the whole bucket, as parts of the
	// burst, above which a host admits one and two requests beyond its part in a
	// time of pooledPause. The time is about the age of what the host knows of the
	// others, so that all hosts together exceed the bucket by few requests each.
	fleetLevelForOne, fleetLevelForTwo              = 0.5, 0.65
	fleetWindow                        clock.Millis = 500
	// A host counts as silent when no report came for silentIntervals of its usual
	// pauses and silentSlack more. Parts do not grow while one is: it may be cut
	// off, and have the same reason to grow.
	silentIntervals              = 3
	silentTolerance clock.Millis = 150
	// settleInterval is longer than the time after which a silent host is noticed in a
	// small fleet; parts may have grown in it on both sides of a cut.
	settleInterval clock.Millis = 500
	// intervalWeight is the weight of one pause between reports in the usual one.
	intervalWeight = 0.2
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
	usage       map[string]Usage
	reportedAt  clock.Millis
	reported    bool
	// reportInterval is the usual time between reports.
	reportInterval float64
}

type bucket struct {
	limit      Limit
	tokens     float64
	refilledAt clock.Millis
	demand     float64
	decayedAt  clock.Millis
	// requestedAt is the time of the last request.
	requestedAt clock.Millis
	// fleetLevel is the estimated fleetLevel of the fleet's whole bucket.
	fleetLevel float64
	// admitted counts the requests that this host has admitted.
	admitted uint64
	// share is the part at the last time at which no host was silent. settledShare is
	// an earlier one that was in force before any host that is silent now fell
	// silent, and settledAt the time at which share was last copied to it.
	share, settledShare float64
	settledAt           clock.Millis
	// pooledCount is the number of admissions beyond this host's part since fleetWindowStart.
	fleetWindowStart clock.Millis
	fleetAdmissions  int
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
			b = &bucket{refilledAt: now, decayedAt: now, share: 1 / float64(len(r.hosts)+1), settledShare: 1 / float64(len(r.hosts)+1)}
			b.tokens = initialTokenShare * limit.Burst * b.share
			b.fleetLevel = initialTokenShare * limit.Burst
			r.buckets[name] = b
		}
		r.refill(name, b, now)
		b.limit = limit
		b.tokens = math.Min(b.tokens, r.tokenCapacity(b, b.share))
		b.fleetLevel = math.Min(b.fleetLevel, limit.Burst)
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
		r.hosts[name] = &host{reportedAt: now}
	}
}

// HasBaseline reports whether all that an incarnation of a host has told is known, so
// that its next report may leave out what has not changed.
func (r *Rationer) HasBaseline(name string, incarnation uint64) bool {
	h := r.hosts[name]
	return h != nil && h.reported && h.incarnation == incarnation
}

// ApplyReport takes the report of another host.
func (r *Rationer) ApplyReport(name string, report Report, now clock.Millis) {
	h := r.hosts[name]
	if h == nil {
		h = &host{}
		r.hosts[name] = h
	}
	if r.HasBaseline(name, report.Incarnation) {
		h.decayDemands(now)
	} else {
		h.usage = make(map[string]Usage, len(report.Usage))
	}
	for workspace, usage := range report.Usage {
		if b := r.buckets[workspace]; b != nil {
			if count := h.newlyAdmitted(workspace, usage.Admitted); count > 0 {
				r.refill(workspace, b, now)
				b.fleetLevel -= float64(count)
			}
		}
	}
	// What was admitted before the first report is in no known window, so that it is
	// noted after the numbers above.
	maps.Copy(h.usage, report.Usage)
	if h.reported {
		switch interval := float64(now - h.reportedAt); {
		case h.reportInterval == 0:
			h.reportInterval = interval
		case h.fresh(now):
			h.reportInterval += intervalWeight * (interval - h.reportInterval)
		}
	}
	h.incarnation, h.reportedAt, h.reported = report.Incarnation, now, true
}

// newlyAdmitted is the number of requests of a workspace that the host has
// admitted since its last report.
func (h *host) newlyAdmitted(workspace string, admitted uint64) uint64 {
	if !h.reported {
		return 0
	}
	previous := h.usage[workspace].Admitted
	if admitted < previous {
		// The workspace left the configuration and came back.
		previous = 0
	}
	return admitted - previous
}

// decayDemands lowers the demands as the host itself does while no request comes.
func (h *host) decayDemands(now clock.Millis) {
	factor := math.Exp(-float64(now-h.reportedAt) / float64(demandTimeConstant))
	for workspace, usage := range h.usage {
		usage.Demand *= factor
		h.usage[workspace] = usage
	}
}

// ExpireHosts forgets the hosts that have been silent for longer than SilentLife.
func (r *Rationer) ExpireHosts(now clock.Millis) {
	for name, h := range r.hosts {
		if now-h.reportedAt > r.cfg.ReservationTTL {
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
	reachable := r.refill(workspace, b, now)
	b.countRequest(now)
	if b.tokens >= 1 {
		b.tokens--
		b.recordAdmission()
		return true, 0
	}
	if b.admitFromFleet(reachable, now) {
		b.recordAdmission()
		return true, 0
	}
	rate := b.limit.Rate * b.share
	wait := clock.Millis(math.Ceil((1 - b.tokens) / math.Max(rate, 0.01) * 1000))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}

// admitFromFleet reports whether the whole bucket is filled well enough for a request
// beyond this host's part, and counts it.
func (b *bucket) admitFromFleet(reachable float64, now clock.Millis) bool {
	if now-b.fleetWindowStart >= fleetWindow {
		b.fleetWindowStart, b.fleetAdmissions = now, 0
	}
	level := fleetLevelForOne
	if b.fleetAdmissions > 0 {
		level = fleetLevelForTwo
	}
	if b.fleetAdmissions > 1 || b.fleetLevel < math.Max(1, level*b.limit.Burst*reachable) {
		return false
	}
	b.fleetAdmissions++
	return true
}

func (b *bucket) recordAdmission() {
	b.fleetLevel--
	b.admitted++
}

// fresh reports whether the host's next report is not overdue.
func (h *host) fresh(now clock.Millis) bool {
	return now-h.reportedAt <= silentTolerance+clock.Millis(silentIntervals*h.reportInterval)
}

// minReportedDemand is the demand below which a workspace without admissions is not told of.
const minReportedDemand = 0.01

// UsageSince returns the uses of the workspaces that had requests since a time.
func (r *Rationer) UsageSince(since, now clock.Millis) map[string]Usage {
	out := make(map[string]Usage)
	for name, b := range r.buckets {
		if b.requestedAt < since {
			continue
		}
		if b.decayDemand(now); b.admitted > 0 || b.demand > minReportedDemand {
			out[name] = Usage{Demand: b.demand, Admitted: b.admitted}
		}
	}
	return out
}

// countRequest adds a request to the demand.
func (b *bucket) countRequest(now clock.Millis) {
	b.decayDemand(now)
	b.requestedAt = now
	b.demand += 1000 / float64(demandTimeConstant)
}

func (b *bucket) decayDemand(now clock.Millis) {
	b.demand *= math.Exp(-float64(now-b.decayedAt) / float64(demandTimeConstant))
	b.decayedAt = now
}

// demandShares is what the hosts' reports say of a workspace's rate.
type demandShares struct {
	// local is the part of this host that follows the demands as they are known.
	local float64
	// reachable is the part of all hosts that are not silent. A silent host may be
	// cut off and use its part, while this host's side of the cut follows the rest
	// of the whole bucket.
	reachable float64
}

func (r *Rationer) demandShares(workspace string, b *bucket, now clock.Millis) demandShares {
	hostCount, silentCount := float64(len(r.hosts)+1), 0.0
	totalDemand, silentDemand := b.demand, 0.0
	for _, h := range r.hosts {
		demand := b.demand
		if h.reported {
			demand = h.usage[workspace].Demand
		}
		totalDemand += demand
		if !h.reported || !h.fresh(now) {
			silentDemand += demand
			silentCount++
		}
	}
	if totalDemand <= 0 {
		return demandShares{local: 1 / hostCount, reachable: 1 - silentCount/hostCount}
	}
	shareOf := func(n, demand float64) float64 { return equalShare*n/hostCount + (1-equalShare)*demand/totalDemand }
	return demandShares{local: shareOf(1, b.demand), reachable: 1 - shareOf(silentCount, silentDemand)}
}

// updateShare is this host's updateShare of a workspace's rate, from 0 to 1.
func (r *Rationer) updateShare(b *bucket, shares demandShares, now clock.Millis) float64 {
	share := shares.local
	if shares.reachable < 1 {
		share = math.Min(share, math.Min(b.share, b.settledShare))
		share = math.Max(share, equalShare/float64(len(r.hosts)+1))
	} else if now-b.settledAt >= settleInterval {
		b.settledShare, b.settledAt = b.share, now
	}
	b.share = share
	return share
}

// tokenCapacity is the number of tokens that this host may hold with a part.
func (r *Rationer) tokenCapacity(b *bucket, share float64) float64 {
	return math.Max(1, b.limit.Burst*share+r.cfg.RateSlack/float64(len(r.hosts)+1))
}

// refill adds what was gained since the last time and returns the part of the
// rate that is not reserved for silent hosts.
func (r *Rationer) refill(workspace string, b *bucket, now clock.Millis) (reachable float64) {
	shares := r.demandShares(workspace, b, now)
	share := r.updateShare(b, shares, now)
	if now > b.refilledAt {
		added := b.limit.Rate * float64(now-b.refilledAt) / 1000
		b.tokens += share * added
		b.fleetLevel = math.Min(b.fleetLevel+added*shares.reachable, b.limit.Burst*shares.reachable)
		b.refilledAt = now
	}
	b.tokens = math.Min(b.tokens, r.tokenCapacity(b, share))
	return shares.reachable
}

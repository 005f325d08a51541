// Package rationer divides fleet-wide rate limits among hosts. It has no clock
// and no lock: the caller passes the time and serializes the calls.
//
// Each host admits a share of a workspace's rate. The shares follow the demand
// that hosts report to each other. The share of a host that stops reporting stays
// reserved until the host has certainly stopped admitting, because it may be
// partitioned and still serve.
//
// The share of a small rate is too small for requests that arrive at random. Each
// host therefore also estimates the token bucket of the whole fleet from the
// admission counts of all hosts, and while that bucket is well filled it admits
// a few requests beyond its share.
package rationer

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// equalShare is the fraction of each rate that is divided equally, so that a host
	// with new callers can start to admit.
	equalShare = 0.15
	// demandTimeConstant is the time constant of the moving average of a host's demand.
	demandTimeConstant clock.Millis = 1500
	// initialTokenShare is the fraction of its burst that a host starts with: a
	// previous process of the same name may have spent the rest.
	initialTokenShare = 0.1
	// fleetLevelForOne and fleetLevelForTwo are the levels of the fleet's bucket, as
	// fractions of the burst, above which a host admits one and two requests beyond
	// its share within a fleetWindow. The window is about as long as the counts of
	// other hosts are old, so each host exceeds the bucket by a few requests at most.
	// Of what the bucket holds above fleetReserve, each host may use its share as well
	// for fleetStartWindow after a start of all hosts, when its own tokens are few.
	fleetLevelForOne, fleetLevelForTwo, fleetReserve              = 0.5, 0.65, 0.2
	fleetWindow                                      clock.Millis = 500
	// fleetStartWindow is the time within which all hosts start when the whole fleet does.
	fleetStartWindow = 2 * clock.Second
	nanosPerMilli    = 1_000_000
	// A host counts as silent after silentIntervals times its average report interval
	// plus silentTolerance without a report. Shares do not grow while a host is
	// silent: it may be partitioned and grow its own share for the same reason.
	silentIntervals              = 3
	silentTolerance clock.Millis = 150
	// minShareHistory is the shortest time for which the lowest share is kept. In a small
	// fleet, a silent host is detected within it.
	minShareHistory clock.Millis = 500
	// intervalWeight is the weight of a new sample in the average report interval.
	intervalWeight = 0.2
	// minRetryAfter and maxRetryAfter bound the delay advised to refused callers.
	minRetryAfter clock.Millis = 50
	maxRetryAfter clock.Millis = 2000
)

// Limit is a workspace's rate per second and burst for the whole fleet.
type Limit struct {
	Rate, Burst float64
}

// Config configures a rationer.
type Config struct {
	// ReservationTTL is the time for which a host's share stays reserved after its
	// last report. It must be longer than the time after which a host without
	// contact to the store stops admitting.
	ReservationTTL clock.Millis
	// ShareSlack is the number of requests above rate and burst that the shares of
	// all hosts together may admit. Without it a workspace whose few requests are
	// spread over many hosts is refused below its rate.
	ShareSlack float64
	// Incarnation is the start time of this host's process in Unix nanoseconds.
	Incarnation uint64
	// RestartAllowance is the time in s of a rate that the fleet's bucket may hold too much
	// after a start of all hosts, which know nothing of what was admitted before.
	RestartAllowance float64
}

// Rationer tracks this host's share of every workspace's rate.
type Rationer struct {
	cfg     Config
	buckets map[string]*bucket
	hosts   map[string]*host
	// reportInterval is the longest average time between the reports of a host, in
	// milliseconds.
	reportInterval float64
}

// Usage is a host's demand and admission count for one workspace.
type Usage struct {
	// Demand is the number of requests per second, admitted or not.
	Demand float64
	// Admitted is the number of requests that this incarnation of the host has admitted.
	Admitted uint64
}

// Report holds the usage at another host.
type Report struct {
	// Incarnation is the start time of the host's process.
	Incarnation uint64
	// Usage holds the workspaces that had requests since an earlier report, or all
	// workspaces in the first report.
	Usage map[string]Usage
}

// host is the state that another host last reported.
type host struct {
	incarnation uint64
	usage       map[string]Usage
	// reportedAt is the time of the last report, or of AddHost if there was none.
	reportedAt clock.Millis
	reported   bool
	// reportInterval is the average time between reports in milliseconds, 0 until two have come.
	reportInterval float64
}

// bucket is the state of one workspace's rate.
type bucket struct {
	limit      Limit
	createdAt  clock.Millis
	tokens     float64
	refilledAt clock.Millis
	demand     float64
	decayedAt  clock.Millis
	// sampledDemand is the demand at sampledAt, by which shares are divided.
	sampledDemand float64
	sampledAt     clock.Millis
	// requestedAt is the time of the last request.
	requestedAt clock.Millis
	// fleetLevel is the estimated number of tokens in the fleet's bucket. It was computed
	// after a start of all hosts fleetStartWindow before restoredUntil.
	fleetLevel    float64
	restoredUntil clock.Millis
	// admitted is the number of requests that this host has admitted.
	admitted uint64
	// share is this host's share at the last refill, and history its lowest values.
	share   float64
	history shareHistory
	// fleetAdmissions is the number of admissions beyond this host's share since
	// fleetWindowStart.
	fleetWindowStart clock.Millis
	fleetAdmissions  int
}

// New returns a rationer without limits.
func New(cfg Config) *Rationer {
	return &Rationer{cfg: cfg, buckets: make(map[string]*bucket), hosts: make(map[string]*host)}
}

// SetLimits replaces the limits of all workspaces.
func (r *Rationer) SetLimits(limits map[string]Limit, now clock.Millis) {
	for name, limit := range limits {
		b := r.buckets[name]
		if b == nil {
			share := 1 / float64(len(r.hosts)+1)
			b = &bucket{createdAt: now, refilledAt: now, decayedAt: now, share: share, history: shareHistory{previous: share, current: share, startedAt: now}}
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

// AddHost reserves a share for a host that exists but has not reported yet.
func (r *Rationer) AddHost(name string, now clock.Millis) {
	if r.hosts[name] == nil {
		r.hosts[name] = &host{reportedAt: now}
	}
}

// HasBaseline reports whether an earlier report of this incarnation of a host was
// applied, so that the next one may leave out unchanged workspaces.
func (r *Rationer) HasBaseline(name string, incarnation uint64) bool {
	h := r.hosts[name]
	return h != nil && h.reported && h.incarnation == incarnation
}

// ApplyReport applies the report of another host.
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
	// Copied after the loop: newlyAdmitted compares with the previous counts. Requests
	// admitted before the first report belong to no known period and are not counted.
	maps.Copy(h.usage, report.Usage)
	if h.reported {
		switch interval := float64(now - h.reportedAt); {
		case h.reportInterval == 0:
			h.reportInterval = interval
		case h.isReporting(now):
			h.reportInterval += intervalWeight * (interval - h.reportInterval)
		}
	}
	r.reportInterval = 0
	for _, h := range r.hosts {
		r.reportInterval = math.Max(r.reportInterval, h.reportInterval)
	}
	first := !h.reported
	h.incarnation, h.reportedAt, h.reported = report.Incarnation, now, true
	if first && r.startedTogether() {
		r.restoreFleetLevels(now)
	}
}

// startedTogether reports whether all hosts have reported and none of them started long
// before this one.
func (r *Rationer) startedTogether() bool {
	for _, h := range r.hosts {
		if !h.reported || h.incarnation+uint64(fleetStartWindow)*nanosPerMilli < r.cfg.Incarnation {
			return false
		}
	}
	return true
}

// restoreFleetLevels computes the fleet's buckets from what all hosts have admitted since
// the start of the fleet. Until all have reported, the buckets lack the shares of the
// others, which might be partitioned. The result is no higher than the true level: it
// counts no tokens for what was admitted after the bucket was full.
func (r *Rationer) restoreFleetLevels(now clock.Millis) {
	for name, b := range r.buckets {
		if now-b.createdAt > fleetStartWindow {
			continue
		}
		r.refill(name, b, now)
		b.restoredUntil = now + fleetStartWindow
		seconds := r.cfg.RestartAllowance + float64(now-b.createdAt)/1000
		level := math.Min(initialTokenShare*b.limit.Burst+b.limit.Rate*seconds, b.limit.Burst) - float64(b.admitted)
		for _, h := range r.hosts {
			level -= float64(h.usage[name].Admitted)
		}
		b.fleetLevel = math.Max(b.fleetLevel, level)
	}
}

// newlyAdmitted returns the number of a workspace's requests that the host has
// admitted since its last report.
func (h *host) newlyAdmitted(workspace string, admitted uint64) uint64 {
	if !h.reported {
		return 0
	}
	previous := h.usage[workspace].Admitted
	if admitted < previous {
		// The workspace was removed from the configuration and added again.
		previous = 0
	}
	return admitted - previous
}

// decayDemands lowers the demands as the host itself does while no requests arrive.
func (h *host) decayDemands(now clock.Millis) {
	factor := math.Exp(-float64(now-h.reportedAt) / float64(demandTimeConstant))
	for workspace, usage := range h.usage {
		usage.Demand *= factor
		h.usage[workspace] = usage
	}
}

// ExpireHosts removes the hosts that have been silent for longer than ReservationTTL.
func (r *Rationer) ExpireHosts(now clock.Millis) {
	for name, h := range r.hosts {
		if now-h.reportedAt > r.cfg.ReservationTTL {
			delete(r.hosts, name)
		}
	}
}

// Admit takes one of a workspace's tokens, or returns the time until the next one.
func (r *Rationer) Admit(workspace string, now clock.Millis) (ok bool, retryAfter clock.Millis) {
	b := r.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	reportingShare := r.refill(workspace, b, now)
	b.countRequest(now)
	if b.tokens >= 1 {
		b.tokens--
		b.recordAdmission()
		return true, 0
	}
	if b.admitFromFleet(reportingShare, now) {
		b.recordAdmission()
		return true, 0
	}
	rate := b.limit.Rate * b.share
	wait := clock.Millis(math.Ceil((1 - b.tokens) / math.Max(rate, 0.01) * 1000))
	return false, min(max(wait, minRetryAfter), maxRetryAfter)
}

// admitFromFleet reports whether the fleet's bucket is filled well enough for a
// request beyond this host's share, and counts the request if so.
func (b *bucket) admitFromFleet(reportingShare float64, now clock.Millis) bool {
	if now-b.fleetWindowStart >= fleetWindow {
		b.fleetWindowStart, b.fleetAdmissions = now, 0
	}
	level := fleetLevelForOne
	if b.fleetAdmissions > 0 {
		level = fleetLevelForTwo
	}
	capacity := b.limit.Burst * reportingShare
	isFilled := b.fleetAdmissions < 2 && b.fleetLevel >= math.Max(1, level*capacity)
	if !isFilled && (now >= b.restoredUntil || float64(b.fleetAdmissions+1) > b.share*(b.fleetLevel-fleetReserve*capacity)) {
		return false
	}
	b.fleetAdmissions++
	return true
}

func (b *bucket) recordAdmission() {
	b.fleetLevel--
	b.admitted++
}

// minReportedDemand is the demand below which a workspace without admissions is left out of reports.
const minReportedDemand = 0.01

// UsageSince returns the usage of the workspaces that had requests since a time.
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

// tokenCapacity returns the number of tokens that a host with a share may hold.
func (r *Rationer) tokenCapacity(b *bucket, share float64) float64 {
	return math.Max(1, b.limit.Burst*share+r.cfg.ShareSlack/float64(len(r.hosts)+1))
}

// refill adds the tokens since the last refill and returns the share of the rate
// that is not reserved for silent hosts.
func (r *Rationer) refill(workspace string, b *bucket, now clock.Millis) (reportingShare float64) {
	b.decayDemand(now)
	shares := r.demandShares(workspace, b, now)
	share := r.updateShare(b, shares, now)
	if now > b.refilledAt {
		added := b.limit.Rate * float64(now-b.refilledAt) / 1000
		b.tokens += share * added
		b.fleetLevel = math.Min(b.fleetLevel+added*shares.reporting, b.limit.Burst*shares.reporting)
		b.refilledAt = now
	}
	b.tokens = math.Min(b.tokens, r.tokenCapacity(b, share))
	return shares.reporting
}

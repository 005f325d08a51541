package rationer

import (
	"math"

	"catkindyke/pkg/clock"
)

// isReporting reports whether the host is not silent, that is, its next report is not
// overdue.
func (h *host) isReporting(now clock.Millis) bool { return now-h.reportedAt <= h.silenceLimit() }

// silenceLimit returns the time after its last report at which the host counts as silent.
func (h *host) silenceLimit() clock.Millis {
	return silentTolerance + clock.Millis(silentIntervals*h.reportInterval)
}

// demandShares is the division of a workspace's rate by demand.
type demandShares struct {
	// local is this host's share by the last reported demands.
	local float64
	// reporting is the share of all hosts that are not silent. A silent host may be
	// partitioned and still use its share; the hosts on this side of the partition
	// fill and spend only the rest of the fleet's bucket.
	reporting float64
	// detectionTime is the longest time after its last report at which a host that falls
	// silent is detected.
	detectionTime clock.Millis
}

func (r *Rationer) demandShares(workspace string, b *bucket, now clock.Millis) demandShares {
	hostCount, silentCount := float64(len(r.hosts)+1), 0.0
	ownDemand := r.sampleDemand(b, now)
	totalDemand, silentDemand := ownDemand, 0.0
	out := demandShares{detectionTime: minShareHistory}
	for _, h := range r.hosts {
		demand := ownDemand
		if h.reported {
			demand = h.usage[workspace].Demand
		}
		totalDemand += demand
		if !h.reported || !h.isReporting(now) {
			silentDemand += demand
			silentCount++
		}
		out.detectionTime = max(out.detectionTime, h.silenceLimit())
	}
	if totalDemand <= 0 {
		out.local, out.reporting = 1/hostCount, 1-silentCount/hostCount
		return out
	}
	shareOf := func(n, demand float64) float64 { return equalShare*n/hostCount + (1-equalShare)*demand/totalDemand }
	out.local, out.reporting = shareOf(1, ownDemand), 1-shareOf(silentCount, silentDemand)
	return out
}

// sampleDemand returns this host's demand as of about the time to which the reports of the others
// refer. With the current one, each of many hosts whose demand grows together would take a
// larger share until it has their reports. A host that has just started has no earlier one.
func (r *Rationer) sampleDemand(b *bucket, now clock.Millis) float64 {
	if float64(now-b.sampledAt) >= r.reportInterval || now-b.createdAt < fleetStartWindow {
		b.sampledDemand, b.sampledAt = b.demand, now
	}
	return b.sampledDemand
}

// shareHistory holds the lowest share since startedAt, and in the period before.
type shareHistory struct {
	previous, current float64
	startedAt         clock.Millis
}

// lowest returns the lowest share of both periods.
func (s *shareHistory) lowest() float64 { return math.Min(s.previous, s.current) }

// startPeriod starts a new period with the share that applied until now.
func (s *shareHistory) startPeriod(share float64, now clock.Millis) {
	s.previous, s.current, s.startedAt = s.current, share, now
}

// updateShare sets and returns this host's share of a workspace's rate, from 0 to 1.
//
// While a host is silent, the share does not grow, except up to the part of equalShare
// that every host has. On both sides of a partition, shares may have grown until it was
// detected. They fall back to the lowest values of the time before, which are no higher
// than when the partition began, when the shares of all hosts added up to 1.
func (r *Rationer) updateShare(b *bucket, shares demandShares, now clock.Millis) float64 {
	share := shares.local
	if shares.reporting < 1 {
		share = math.Min(share, math.Min(b.share, b.history.lowest()))
		share = math.Max(share, equalShare/float64(len(r.hosts)+1))
	} else if now-b.history.startedAt >= shares.detectionTime {
		b.history.startPeriod(b.share, now)
	}
	b.share = share
	b.history.current = math.Min(b.history.current, share)
	return share
}

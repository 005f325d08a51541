package hoster

import (
	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/schema"
)

// buildReport builds a report to another host.
func (h *Host) buildReport(receiver string) *schema.HostReport {
	now := h.cfg.Clock.Now()
	r := &schema.HostReport{
		Name: h.cfg.Name, Incarnation: h.incarnation, Ready: h.Ready(), Leaving: h.stop.Load() != nil, TakesPartial: true,
	}
	r.EchoIncarnation, r.EchoSequence = h.fleet.lastApplied(receiver)
	r.StoreLost = h.storeLostAt.Load() != 0
	r.Batches = encodeBatches(h.relayer.MissingBatches(h.fleet.relayRevisions(receiver, now)))
	r.ConfigVersion, r.ConfigAgeMs = h.reportedConfig(now)
	if since, ok := h.updates.sinceAt(now); ok && h.receivesUpdates() && !h.inOutage.Load() {
		r.UpdatedForMs = uint64(now-since) + 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The changes are observed in the order of the sequence numbers.
	r.Sequence = h.reportSequence.Add(1)
	h.fleet.recordSent(r.Sequence, now)
	h.reported.observe(r.Sequence, h.balancer.InFlight(), h.balancer.Demands(now), h.relayer.Revisions(), h.serverNames)
	since := clock.Millis(0)
	r.UsesAfter, since = h.fleet.baseReport(receiver)
	short, partial := h.fleet.chooseForm(receiver, h.reported.base(r.UsesAfter), r.Sequence, now)
	if r.Partial = partial; !partial {
		r.Region, r.AvailabilityZone = h.cfg.Region, h.cfg.AvailabilityZone
		r.CallerAddress, r.PeerAddress = h.cfg.CallerAddress, h.cfg.PeerAddress
	}
	h.reported.encode(r, short)
	r.Uses = encodeUsage(h.rationer.UsageSince(since, now), h.workspaceNames, short)
	r.Notices = encodeNotices(h.balancer.NoticesSince(since, now))
	r.StatedLoads = encodeLoads(h.loadsFor(receiver, since, now))
	r.Placements = encodePlacements(h.placementsFor(receiver, r.Sequence, since, now))
	return r
}

// loadsFor returns the loads that servers have stated since a time, for the next report to
// another host. On their way to another region they would outlive most changes of a pace.
func (h *Host) loadsFor(receiver string, since, now clock.Millis) []balancer.ServerLoad {
	if !h.fleet.isInRegion(receiver) {
		return nil
	}
	return h.balancer.LoadsSince(since, now)
}

// placementsFor returns the placements for the next report to another host, whose last
// applied report of this host is from since. Hosts of other regions place objects by
// themselves. A host that has started gets all placements, from two hosts of its region.
func (h *Host) placementsFor(receiver string, sequence uint64, since, now clock.Millis) []balancer.Placement {
	inRegion, hasPlacements := h.fleet.placementState(receiver, sequence)
	switch {
	case !inRegion:
		return nil
	case !hasPlacements && h.fleet.liveHosts(now).RegionIndex < placementSenders:
		return h.balancer.Placements(now)
	default:
		return h.balancer.PlacementsSince(since)
	}
}

// reportedConfig returns the version of the configuration for a report, and one more
// than the age of its confirmation in ms, or 0 if there is none.
func (h *Host) reportedConfig(now clock.Millis) (version, ageMs uint64) {
	// The version is read after the confirmation. A version that comes in between only
	// excludes more receivers; the reverse order could confirm a replaced version.
	asOf := clock.Millis(h.configConfirmedAt.Load())
	if c := h.catalog.Load(); c != nil {
		version = c.Version()
	}
	if asOf >= 0 {
		ageMs = uint64(max(0, now-asOf)) + 1
	}
	return version, ageMs
}

// configConfirmation returns a time at which, by the report of another host, this
// host knew the newest configuration. The report is no older than the report of this
// host that it echoes, however long it was in transit.
func (h *Host) configConfirmation(r *schema.HostReport) (asOf clock.Millis, ok bool) {
	c := h.catalog.Load()
	if c == nil || r.GetConfigAgeMs() == 0 || r.GetConfigVersion() > c.Version() || r.GetEchoIncarnation() != h.incarnation {
		return 0, false
	}
	sentAt, ok := h.fleet.sentAt(r.GetEchoSequence())
	return sentAt - clock.Millis(r.GetConfigAgeMs()), ok
}

// reportedContinuity returns the time in which, by the report of another host, that host has
// had the store's changes. Since the report is no older than the report of this host that it
// echoes, the time ends there, and it may have begun somewhat earlier than returned.
func (h *Host) reportedContinuity(r *schema.HostReport, now clock.Millis) (since, until clock.Millis, ok bool) {
	if r.GetUpdatedForMs() == 0 || r.GetEchoIncarnation() != h.incarnation {
		return 0, 0, false
	}
	until, ok = h.fleet.sentAt(r.GetEchoSequence())
	return now - clock.Millis(r.GetUpdatedForMs()), until, ok
}

// handleReport applies the report of another host. rtt is 0 when the other host made
// the call.
func (h *Host) handleReport(r *schema.HostReport, rtt clock.Millis) {
	h.receiveMu.Lock()
	defer h.receiveMu.Unlock()
	now := h.cfg.Clock.Now()
	oldPeerAddress, newer := h.fleet.recordReport(r, now)
	if !newer {
		return
	}
	if oldPeerAddress != "" {
		h.gossiper.RemovePeer(oldPeerAddress)
	}
	if r.GetConfigVersion() > h.newestReported.Load() {
		h.newestReported.Store(r.GetConfigVersion())
	}
	h.enqueueBatches(r.GetBatches())
	state := h.fleet.applyState(r)
	h.relayer.ObserveRevisions(state.revisions, now)
	if asOf, ok := h.configConfirmation(r); ok {
		h.confirmConfig(asOf)
	}
	if since, until, ok := h.reportedContinuity(r, now); ok && h.recovering.Load() {
		select {
		case h.events <- func() { h.registrar.RecordContinuity(since, until) }:
		default:
			// Later reports say the same.
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.SetLoadReport(r.GetName(), balancer.LoadReport{
		Region: state.region, InFlight: decodeInFlight(state.loads, h.serverNames), Demands: state.demands,
	}, now)
	h.balancer.ApplyPlacements(decodePlacements(r.GetPlacements(), h.serverNames), now)
	h.balancer.ApplyNotices(decodeNotices(r.GetNotices(), h.serverNames), now)
	loads := decodeLoads(r.GetStatedLoads(), h.serverNames)
	h.balancer.ApplyLoads(loads, now)
	h.cfg.Meter.Add("loads_received", int64(len(loads)))
	if rtt > 0 {
		h.balancer.RecordRTT(state.region, float64(rtt))
	}
	if h.catalog.Load() == nil {
		// Without workspaces, counts of admitted requests can't be assigned to them.
		return
	}
	complete := r.GetUsesAfter() == 0 || h.rationer.HasBaseline(r.GetName(), r.GetIncarnation())
	if complete {
		h.rationer.ApplyReport(r.GetName(), rationer.Report{
			Incarnation: r.GetIncarnation(), Usage: decodeUsage(r.GetUses(), h.workspaceNames),
		}, now)
	}
	h.fleet.recordApplied(r.GetName(), complete)
}

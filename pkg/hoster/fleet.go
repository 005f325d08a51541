package hoster

import (
	"slices"
	"strings"
	"sync"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

// livenessTimeout is the minimum time after its last report for which a host counts
// as live; it spans several exchanges in a small fleet.
const livenessTimeout clock.Millis = 1500

const (
	// livenessIntervals replaces livenessTimeout in a large fleet, in multiples of
	// the host's average report interval.
	livenessIntervals = 2.5
	// intervalWeight is the weight of the latest report interval in the moving
	// average.
	intervalWeight = 0.2
	// minLookupHosts is the number of hosts below which a look-up answer also names
	// hosts of other regions.
	minLookupHosts = 1
	// watchersPerRegion is the number of hosts per region that watch the store. When
	// one fails, another still watches until the failure is detected.
	watchersPerRegion = 2
	// earlyPollersPerRegion is the number of hosts per region that poll the store
	// early when the watching hosts have lost it. Further hosts do when these have
	// lost it, too.
	earlyPollersPerRegion = 4
	// placementSenders is the number of hosts per region that send all placements to a
	// host that has started, so that it gets them if one of them fails.
	placementSenders = 2
)

// member is the state of another host, as it last reported it.
type member struct {
	name, region, zone, callerAddress, peerAddress string
	incarnation, sequence                          uint64
	ready, leaving, storeLost                      bool
	lastReportAt                                   clock.Millis
	// reportInterval is the moving average of the time between reports.
	reportInterval float64
	// revisions are the store revisions that the host knew.
	revisions []relayer.Revision
	// appliedSequence is the sequence number of its last report if that was applied
	// completely, or 0. ackedSequence is that of this host's last report that it has
	// applied, or 0.
	appliedSequence, ackedSequence uint64
	// placementsSequence is the sequence number of the first report to it that held all
	// placements, or 0.
	placementsSequence uint64
}

// isLive reports whether the host's last report is recent.
func (m *member) isLive(now clock.Millis) bool {
	return now-m.lastReportAt <= max(livenessTimeout, clock.Millis(livenessIntervals*m.reportInterval))
}

// fleet tracks the other hosts by name.
type fleet struct {
	cfg Config
	// incarnation is that of this host.
	incarnation uint64
	mu          sync.Mutex
	members     map[string]*member
	// announcedAddresses are the peer addresses in the store, by host name.
	announcedAddresses map[string]string
	// sentReports is a ring buffer of this host's last reports, indexed by sequence
	// number.
	sentReports [maxSentReports]sentReport
}

// maxSentReports is the number of sent reports whose times are kept, those of about
// two seconds in a large fleet.
const maxSentReports = 512

type sentReport struct {
	sequence uint64
	sentAt   clock.Millis
}

// recordSent records the time of a report before it is sent.
func (f *fleet) recordSent(sequence uint64, now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sentReports[sequence%maxSentReports] = sentReport{sequence, now}
}

func (f *fleet) sentAt(sequence uint64) (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sentReports[sequence%maxSentReports]
	return s.sentAt, sequence > 0 && s.sequence == sequence
}

// lastApplied returns the incarnation and sequence number of a host's last report if
// that was applied completely, or zeros.
func (f *fleet) lastApplied(name string) (incarnation, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil && m.appliedSequence > 0 {
		return m.incarnation, m.appliedSequence
	}
	return 0, 0
}

// recordApplied records whether a host's last report was applied completely. If not,
// the host must send a complete report.
func (f *fleet) recordApplied(name string, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.appliedSequence = 0
		if complete {
			m.appliedSequence = m.sequence
		}
	}
}

// baseReport returns the sequence number and the time of this host's last report
// that another one has applied, or zeros when the next report must be complete.
func (f *fleet) baseReport(name string) (sequence uint64, sentAt clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.ackedSequence == 0 {
		return 0, 0
	}
	if s := f.sentReports[m.ackedSequence%maxSentReports]; s.sequence == m.ackedSequence {
		return m.ackedSequence, s.sentAt
	}
	return 0, 0
}

// pollRank is this host's place in the order in which hosts poll the store: the
// first live hosts by name, the first one of each region, and all others. The first
// host of a region polls before the others, so that they do not all lack a
// confirmation at once.
func (f *fleet) pollRank(now clock.Millis) int {
	hosts := f.liveHosts(now)
	return min(hosts.FleetIndex, maxPollRank-1+hosts.RegionIndex)
}

// watchersBefore counts the live hosts of this region that can watch the store and
// precede this host by name.
func (f *fleet) watchersBefore(now clock.Millis) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if m.isActiveInRegion(f.cfg, now) && !m.storeLost && m.name < f.cfg.Name {
			n++
		}
	}
	return n
}

// shouldPollEarly reports whether the first hosts of this region by name, which
// would watch the store, have lost it, and fewer than earlyPollersPerRegion of the
// hosts before this one can still poll it.
func (f *fleet) shouldPollEarly(now clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var preceding []*member
	canPoll := 0
	for _, m := range f.members {
		if m.isActiveInRegion(f.cfg, now) && m.name < f.cfg.Name {
			preceding = append(preceding, m)
			if !m.storeLost {
				canPoll++
			}
		}
	}
	if len(preceding) == 0 || canPoll >= earlyPollersPerRegion {
		return false
	}
	slices.SortFunc(preceding, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	preceding = preceding[:min(len(preceding), watchersPerRegion)]
	return !slices.ContainsFunc(preceding, func(m *member) bool { return !m.storeLost })
}

func (m *member) isActiveInRegion(cfg Config, now clock.Millis) bool {
	return m.region == cfg.Region && !m.leaving && m.isLive(now)
}

// placementState reports whether another host has reported that it is in this host's region,
// and whether it has applied a report of this host that held all placements. If not, the
// report with the given sequence number is taken for one.
func (f *fleet) placementState(name string, sequence uint64) (inRegion, hasPlacements bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.region != f.cfg.Region {
		return false, false
	}
	if m.placementsSequence == 0 {
		m.placementsSequence = sequence
	}
	return true, m.ackedSequence >= m.placementsSequence
}

// relayRevisions returns the store revisions that a host knew, if this host relays
// changes to it: hosts of other regions have their own watchers unless they have
// lost the store. An outdated report is not used: in a large fleet the host has
// mostly received by now what it lacked then, and would get it again from each host
// of its region. Such a host gets changes only in answers to its own calls.
func (f *fleet) relayRevisions(name string, now clock.Millis) []relayer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || now-m.lastReportAt > relayer.LagTolerance || (m.region != f.cfg.Region && !m.storeLost) {
		return nil
	}
	return m.revisions
}

func newFleet(cfg Config, incarnation uint64) *fleet {
	return &fleet{cfg: cfg, incarnation: incarnation, members: make(map[string]*member), announcedAddresses: make(map[string]string)}
}

func (f *fleet) recordAnnouncement(name, address string) (oldAddress string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldAddress = f.announcedAddresses[name]
	f.announcedAddresses[name] = address
	return oldAddress
}

// recordReport records a report and returns whether it is newer than the last one.
// oldPeerAddress is the previous peer address of the host if that has changed.
func (f *fleet) recordReport(r *schema.HostReport, now clock.Millis) (oldPeerAddress string, newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[r.GetName()]
	if m == nil {
		m = &member{name: r.GetName()}
		f.members[r.GetName()] = m
	}
	if r.GetIncarnation() < m.incarnation || (r.GetIncarnation() == m.incarnation && r.GetSequence() <= m.sequence) {
		return "", false
	}
	if m.peerAddress != r.GetPeerAddress() {
		oldPeerAddress = m.peerAddress
	}
	if m.incarnation != r.GetIncarnation() {
		m.appliedSequence, m.placementsSequence = 0, 0
	}
	m.incarnation, m.sequence, m.ackedSequence = r.GetIncarnation(), r.GetSequence(), 0
	if r.GetEchoIncarnation() == f.incarnation {
		m.ackedSequence = r.GetEchoSequence()
	}
	m.region, m.zone, m.callerAddress, m.peerAddress = r.GetRegion(), r.GetAvailabilityZone(), r.GetCallerAddress(), r.GetPeerAddress()
	if m.lastReportAt > 0 && m.isLive(now) {
		m.reportInterval += intervalWeight * (float64(now-m.lastReportAt) - m.reportInterval)
	}
	m.ready, m.leaving, m.storeLost, m.lastReportAt = r.GetReady(), r.GetLeaving(), r.GetStoreLost(), now
	m.revisions = decodeRevisions(r.GetRevisions())
	return oldPeerAddress, true
}

// liveCount is the number of live hosts, including this one.
func (f *fleet) liveCount(now clock.Millis) int {
	n := 0
	for _, hosts := range f.liveHosts(now).ByRegion {
		n += hosts
	}
	return n
}

// liveHosts counts the live hosts, including this one.
func (f *fleet) liveHosts(now clock.Millis) balancer.LiveHosts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := balancer.LiveHosts{ByRegion: map[string]int{f.cfg.Region: 1}}
	for _, m := range f.members {
		if !m.isLive(now) {
			continue
		}
		out.ByRegion[m.region]++
		if m.name < f.cfg.Name {
			out.FleetIndex++
			if m.region == f.cfg.Region {
				out.RegionIndex++
			}
		}
	}
	return out
}

// lookup returns the caller addresses of the ready hosts in a region, or those in
// all regions when there are fewer than minLookupHosts.
func (f *fleet) lookup(region string, selfReady bool, now clock.Millis) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var local, remote []string
	add := func(r, address string) {
		if r == region {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	if selfReady {
		add(f.cfg.Region, f.cfg.CallerAddress)
	}
	for _, m := range f.members {
		if m.ready && !m.leaving && m.isLive(now) {
			add(m.region, m.callerAddress)
		}
	}
	slices.SortFunc(local, strings.Compare)
	slices.SortFunc(remote, strings.Compare)
	if len(local) >= minLookupHosts {
		return local
	}
	return append(local, remote...)
}

// Lookup returns the hosts that a caller should use, and for how long.
func (h *Host) Lookup(region, _ string) ([]string, clock.Millis) {
	return h.fleet.lookup(region, h.Ready(), h.cfg.Clock.Now()), h.cfg.LookupTTL
}

// buildReport builds a report to another host.
func (h *Host) buildReport(receiver string) *schema.HostReport {
	now := h.cfg.Clock.Now()
	r := &schema.HostReport{
		Name: h.cfg.Name, Incarnation: h.incarnation, Sequence: h.reportSequence.Add(1),
		Region: h.cfg.Region, AvailabilityZone: h.cfg.AvailabilityZone,
		CallerAddress: h.cfg.CallerAddress, PeerAddress: h.cfg.PeerAddress,
		Ready: h.Ready(), Leaving: h.leaving.Load(),
	}
	r.EchoIncarnation, r.EchoSequence = h.fleet.lastApplied(receiver)
	h.fleet.recordSent(r.Sequence, now)
	r.StoreLost = h.storeLostAt.Load() != 0
	r.Revisions = encodeRevisions(h.relayer.Revisions())
	r.Batches = encodeBatches(h.relayer.MissingBatches(h.fleet.relayRevisions(receiver, now)))
	r.ConfigVersion, r.ConfigAgeMs = h.reportedConfig(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Loads = encodeInFlight(h.balancer.InFlight())
	since := clock.Millis(0)
	r.UsesAfter, since = h.fleet.baseReport(receiver)
	r.Uses = encodeUsage(h.rationer.UsageSince(since, now))
	r.Placements = encodePlacements(h.placementsFor(receiver, r.Sequence, since, now))
	for name, rate := range h.balancer.Demands(now) {
		r.ServiceDemands = append(r.ServiceDemands, &schema.Rate{Name: name, PerS: rate})
	}
	return r
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
	h.enqueueBatches(r.GetBatches())
	h.relayer.ObserveRevisions(decodeRevisions(r.GetRevisions()), now)
	if asOf, ok := h.configConfirmation(r); ok {
		h.confirmConfig(asOf)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.SetLoadReport(r.GetName(), balancer.LoadReport{
		Region: r.GetRegion(), InFlight: decodeInFlight(r.GetLoads(), h.serverNames), Demands: decodeRates(r.GetServiceDemands()),
	}, now)
	h.balancer.ApplyPlacements(decodePlacements(r.GetPlacements(), h.serverNames), now)
	if rtt > 0 {
		h.balancer.RecordRTT(r.GetRegion(), float64(rtt))
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

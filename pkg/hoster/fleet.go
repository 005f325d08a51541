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

// livenessTimeout is the shortest time after a host's last report for which it counts as
// live; it spans several exchanges in a small fleet.
const livenessTimeout clock.Millis = 1500

const (
	// livenessIntervals replaces liveTime in a large fleet, as a number of the host's usual
	// pauses between reports.
	livenessIntervals = 2.5
	// intervalWeight is the weight of one pause in the usual one.
	intervalWeight = 0.2
	// minLookupHosts is the number of hosts below which a look-up answer also names
	// hosts of other regions.
	minLookupHosts = 1
	// watchersPerRegion is the number of hosts of a region that watch the store.
	// One that fails leaves another while its failure is noticed.
	watchersPerRegion = 2
	// earlyPollersPerRegion is the number of hosts of a region that ask the store soon when those
	// that watch it have lost it; further ones do when these have lost it, too.
	earlyPollersPerRegion = 4
)

// member is what is known of another host.
type member struct {
	name, region, zone, callerAddress, peerAddress string
	incarnation, sequence                          uint64
	ready, leaving, storeLost                      bool
	lastReportAt                                   clock.Millis
	// reportInterval is the usual time between reports.
	reportInterval float64
	// revisions tell what the host knew of the store.
	revisions []relayer.Revision
	// appliedSequence is the sequence of its last report of which everything was appliedSequence, and
	// ackedSequence that of this host's last report that it has appliedSequence itself.
	appliedSequence, ackedSequence uint64
}

// isLive reports whether the host was heard lately.
func (m *member) isLive(now clock.Millis) bool {
	return now-m.lastReportAt <= max(livenessTimeout, clock.Millis(livenessIntervals*m.reportInterval))
}

// fleet holds the other hosts by name.
type fleet struct {
	cfg Config
	// incarnation is this host's.
	incarnation uint64
	mu          sync.Mutex
	members     map[string]*member
	// announcedAddresses are the peer addresses in the store by name.
	announcedAddresses map[string]string
	// sentReports are the times of this host's last reports by sequence.
	sentReports [maxSentReports]sentReport
}

// maxSentReports is the number of own reports whose times are kept: those of about
// two seconds in a large fleet.
const maxSentReports = 512

type sentReport struct {
	sequence uint64
	sentAt   clock.Millis
}

// recordSent notes the time before a report is sent.
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

// lastApplied returns the lastApplied report of a host of which everything was taken.
func (f *fleet) lastApplied(name string) (incarnation, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil && m.appliedSequence > 0 {
		return m.incarnation, m.appliedSequence
	}
	return 0, 0
}

// recordApplied notes whether everything of a host's last report was taken. If not, the host
// must tell everything again.
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

// baseReport returns this host's last report that another one has taken, and when it was
// made; 0 when the next report must hold everything.
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

// pollRank is the order in which hosts ask the store: the first live hosts by name, the
// first one of each region, and all others. Those of a region do not lack a proof
// all at once when the first one of their region asks before.
func (f *fleet) pollRank(now clock.Millis) int {
	hosts := f.liveHosts(now)
	return min(hosts.FleetIndex, maxPollRank-1+hosts.RegionIndex)
}

// watchersBefore is the number of live hosts of the own region that can watch the
// store and come before this one by name.
func (f *fleet) watchersBefore(now clock.Millis) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if m.isNeighbor(f.cfg, now) && !m.storeLost && m.name < f.cfg.Name {
			n++
		}
	}
	return n
}

// shouldPollEarly reports whether the hosts that come first in the own region by name, and
// would watch the store, say that it does not answer them, and few of the next ones
// before this host can ask it.
func (f *fleet) shouldPollEarly(now clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var preceding []*member
	canPoll := 0
	for _, m := range f.members {
		if m.isNeighbor(f.cfg, now) && m.name < f.cfg.Name {
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

func (m *member) isNeighbor(cfg Config, now clock.Millis) bool {
	return m.region == cfg.Region && !m.leaving && m.isLive(now)
}

// relayRevisions returns what a host knew of the store, if it hears of changes from this
// one: hosts of other regions have watchers of their own, while the store
// answers them. What a host of a large fleet lacked a while ago it has mostly heard
// by now, and would get once from each neighbor, so that it gets changes only in
// answers to its own calls.
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

// recordReport takes a report and reports whether it is newer than the last one. moved
// is the peer address that the host had before, if it has another one now.
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
		m.appliedSequence = 0
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

// liveCount is the number of live hosts, this one included.
func (f *fleet) liveCount(now clock.Millis) int {
	n := 0
	for _, hosts := range f.liveHosts(now).ByRegion {
		n += hosts
	}
	return n
}

// liveHosts returns the live liveHosts, this one included.
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

// lookup names the hosts that a caller in a region and zone should use: those
// of its region that are ready, or all when there are none.
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

// Lookup names the hosts that a caller should use, and for how long.
func (h *Host) Lookup(region, _ string) ([]string, clock.Millis) {
	return h.fleet.lookup(region, h.Ready(), h.cfg.Clock.Now()), h.cfg.LookupTTL
}

// buildReport is what this host tells another one.
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
	if c := h.catalog.Load(); c != nil {
		r.ConfigVersion = c.Version()
	}
	// The age is read after the version: a newer version only makes it stricter.
	if asOf := clock.Millis(h.configConfirmedAt.Load()); asOf >= 0 {
		r.ConfigAgeMs = uint64(max(0, now-asOf)) + 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Loads = encodeInFlight(h.balancer.InFlight())
	since := clock.Millis(0)
	r.UsesAfter, since = h.fleet.baseReport(receiver)
	r.Uses = encodeUsage(h.rationer.UsageSince(since, now))
	for name, rate := range h.balancer.Demands(now) {
		r.ServiceDemands = append(r.ServiceDemands, &schema.Rate{Name: name, PerS: rate})
	}
	return r
}

// configConfirmation returns a time at which, by the report of another host, this host knew
// the newest configuration. The report is no older than the one of this host
// that it answers to, however long it was on its way.
func (h *Host) configConfirmation(r *schema.HostReport) (asOf clock.Millis, ok bool) {
	c := h.catalog.Load()
	if c == nil || r.GetConfigAgeMs() == 0 || r.GetConfigVersion() > c.Version() || r.GetEchoIncarnation() != h.incarnation {
		return 0, false
	}
	sentAt, ok := h.fleet.sentAt(r.GetEchoSequence())
	return sentAt - clock.Millis(r.GetConfigAgeMs()), ok
}

// handleReport takes the report of another host.
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
	if rtt > 0 {
		h.balancer.RecordRTT(r.GetRegion(), float64(rtt))
	}
	if h.catalog.Load() == nil {
		// Without workspaces the numbers of admitted requests can't be told apart.
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

package hoster

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
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

// completeInterval is the longest time between complete reports to a host. Partial reports
// are exact; complete ones limit how long an unknown fault of either host would last.
const completeInterval = 10 * clock.Second

// member is the state of another host, as it last reported it, or as it is announced in
// the store if it has not.
type member struct {
	name, region, zone, callerAddress, peerAddress string
	// incarnation is 0 until the host has reported.
	incarnation, sequence     uint64
	ready, leaving, storeLost bool
	// lastReportAt is the time of the last report, or of the announcement if there was none.
	lastReportAt clock.Millis
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
	// takesPartial reports whether the host understands partial reports. completeSequence and
	// completeSentAt are those of the last short and complete report to it, or 0.
	takesPartial     bool
	completeSequence uint64
	completeSentAt   clock.Millis
	// loads are its requests in flight by the hash of the server's ID, and demands its service
	// demands. Reports change loads in place and replace demands.
	loads   map[uint64]uint32
	demands map[string]float64
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

// chooseForm decides about the next report to a host, after its last one with a sequence
// number base, or 0: whether it may be short, with fields that hosts of earlier versions don't
// know, and whether it may leave out what has not changed since a short report.
func (f *fleet) chooseForm(name string, base, sequence uint64, now clock.Millis) (short, partial bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || !m.takesPartial {
		return false, false
	}
	if base > 0 && m.completeSequence > 0 && base >= m.completeSequence && now-m.completeSentAt < completeInterval {
		return true, true
	}
	m.completeSequence, m.completeSentAt = sequence, now
	return true, false
}

// receivedState is what a host has reported, without the servers' names.
type receivedState struct {
	region    string
	revisions []relayer.Revision
	loads     map[uint64]uint32
	demands   map[string]float64
}

// applyState applies the loads and demands of a report that recordReport has accepted, and
// returns the state of its host. Only handleReport calls it.
func (f *fleet) applyState(r *schema.HostReport) receivedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[r.GetName()]
	if !r.GetPartial() || r.GetAllLoads() {
		m.loads = make(map[uint64]uint32, len(r.GetLoads().GetInFlight()))
	}
	if !r.GetPartial() {
		m.demands = make(map[string]float64, len(r.GetServiceDemands()))
	} else if len(r.GetServiceDemands()) > 0 {
		m.demands = maps.Clone(m.demands) // the balancer uses the old map
	}
	applyLoads(m.loads, r.GetLoads())
	for _, d := range r.GetServiceDemands() {
		m.demands[d.GetName()] = d.GetPerS()
	}
	return receivedState{m.region, m.revisions, m.loads, m.demands}
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
	if m == nil || m.incarnation == 0 || m.region != f.cfg.Region {
		return false, false
	}
	if m.placementsSequence == 0 {
		m.placementsSequence = sequence
	}
	return true, m.ackedSequence >= m.placementsSequence
}

// isInRegion reports whether another host has reported that it is in this host's region.
func (f *fleet) isInRegion(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	return m != nil && m.incarnation != 0 && m.region == f.cfg.Region
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

// recordAnnouncement records the entry of a host in the store. The host counts as live until
// it has had time to report: a host that starts must not take itself for the only one.
func (f *fleet) recordAnnouncement(name, region, address string, now clock.Millis) (oldAddress string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldAddress = f.announcedAddresses[name]
	f.announcedAddresses[name] = address
	if f.members[name] == nil {
		f.members[name] = &member{name: name, region: region, lastReportAt: now}
	}
	return oldAddress
}

// knownCount returns the number of hosts that were ever announced or have reported,
// including this one. A silent host counts, since it may be cut off and still serve.
func (f *fleet) knownCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) + 1
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
	if r.GetPartial() && (r.GetIncarnation() != m.incarnation || m.sequence < r.GetUsesAfter()) {
		// This host has restarted. Its report tells the sender so.
		return "", false
	}
	hasReported := m.incarnation != 0
	if !r.GetPartial() && m.peerAddress != r.GetPeerAddress() {
		oldPeerAddress = m.peerAddress
	}
	if m.incarnation != r.GetIncarnation() {
		m.appliedSequence, m.placementsSequence = 0, 0
	}
	m.incarnation, m.sequence, m.ackedSequence = r.GetIncarnation(), r.GetSequence(), 0
	if r.GetEchoIncarnation() == f.incarnation {
		m.ackedSequence = r.GetEchoSequence()
	}
	m.takesPartial = r.GetTakesPartial()
	if !r.GetPartial() {
		m.region, m.zone, m.callerAddress, m.peerAddress = r.GetRegion(), r.GetAvailabilityZone(), r.GetCallerAddress(), r.GetPeerAddress()
	}
	if hasReported && m.isLive(now) {
		m.reportInterval += intervalWeight * (float64(now-m.lastReportAt) - m.reportInterval)
	}
	m.ready, m.leaving, m.storeLost, m.lastReportAt = r.GetReady(), r.GetLeaving(), r.GetStoreLost(), now
	if !r.GetPartial() || len(r.GetRevisions()) > 0 {
		m.revisions = decodeRevisions(r.GetRevisions())
	}
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
	out := balancer.LiveHosts{ByRegion: map[string]int{f.cfg.Region: 1}, Preceding: make(map[string]int)}
	for _, m := range f.members {
		if !m.isLive(now) {
			continue
		}
		out.ByRegion[m.region]++
		if m.name < f.cfg.Name {
			out.FleetIndex++
			out.Preceding[m.region]++
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

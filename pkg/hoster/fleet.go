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

// liveTime is the shortest time after a host's last report for which it counts as
// live; it spans several exchanges in a small fleet.
const liveTime clock.Millis = 1500

const (
	// livePauses replaces liveTime in a large fleet, as a number of the host's usual
	// pauses between reports.
	livePauses = 2.5
	// pauseWeight is the weight of one pause in the usual one.
	pauseWeight = 0.2
	// minNamed is the number of hosts below which a look-up answer also names
	// hosts of other regions.
	minNamed = 1
	// watchersPerRegion is the number of hosts of a region that watch the store.
	// One that fails leaves another while its failure is noticed.
	watchersPerRegion = 2
	// soonAskers is the number of hosts of a region that ask the store soon when those
	// that watch it have lost it; further ones do when these have lost it, too.
	soonAskers = 4
)

// member is what is known of another host.
type member struct {
	name, region, zone, caller, peer string
	incarnation, sequence            uint64
	ready, leaving, storeLost        bool
	heard                            clock.Millis
	// pause is the usual time between reports.
	pause float64
	// revisions tell what the host knew of the store.
	revisions []relayer.Revision
	// taken is the sequence of its last report of which everything was taken, and
	// acked that of this host's last report that it has taken itself.
	taken, acked uint64
}

// lives reports whether the host was heard lately.
func (m *member) lives(now clock.Millis) bool {
	return now-m.heard <= max(liveTime, clock.Millis(livePauses*m.pause))
}

// fleet holds the other hosts by name.
type fleet struct {
	cfg Config
	// incarnation is this host's.
	incarnation uint64
	mu          sync.Mutex
	members     map[string]*member
	// announced are the peer addresses in the store by name.
	announced map[string]string
	// sent are the times of this host's last reports by sequence.
	sent [sentReports]sentReport
}

// sentReports is the number of own reports whose times are kept: those of about
// two seconds in a large fleet.
const sentReports = 512

type sentReport struct {
	sequence uint64
	at       clock.Millis
}

// sending notes the time before a report is sent.
func (f *fleet) sending(sequence uint64, now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[sequence%sentReports] = sentReport{sequence, now}
}

func (f *fleet) sentAt(sequence uint64) (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sent[sequence%sentReports]
	return s.at, sequence > 0 && s.sequence == sequence
}

// last returns the last report of a host of which everything was taken.
func (f *fleet) last(name string) (incarnation, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil && m.taken > 0 {
		return m.incarnation, m.taken
	}
	return 0, 0
}

// take notes whether everything of a host's last report was taken. If not, the host
// must tell everything again.
func (f *fleet) take(name string, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.taken = 0
		if whole {
			m.taken = m.sequence
		}
	}
}

// base returns this host's last report that another one has taken, and when it was
// made; 0 when the next report must hold everything.
func (f *fleet) base(name string) (sequence uint64, at clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.acked == 0 {
		return 0, 0
	}
	if s := f.sent[m.acked%sentReports]; s.sequence == m.acked {
		return m.acked, s.at
	}
	return 0, 0
}

// rank is the order in which hosts ask the store: the first live hosts by name, the
// first one of each region, and all others. Those of a region do not lack a proof
// all at once when the first one of their region asks before.
func (f *fleet) rank(now clock.Millis) int {
	hosts := f.hosts(now)
	return min(hosts.FleetIndex, maxProofRank-1+hosts.RegionIndex)
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

// asksSoon reports whether the hosts that come first in the own region by name, and
// would watch the store, say that it does not answer them, and few of the next ones
// before this host can ask it.
func (f *fleet) asksSoon(now clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var before []*member
	able := 0
	for _, m := range f.members {
		if m.isNeighbor(f.cfg, now) && m.name < f.cfg.Name {
			before = append(before, m)
			if !m.storeLost {
				able++
			}
		}
	}
	if len(before) == 0 || able >= soonAskers {
		return false
	}
	slices.SortFunc(before, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	before = before[:min(len(before), watchersPerRegion)]
	return !slices.ContainsFunc(before, func(m *member) bool { return !m.storeLost })
}

func (m *member) isNeighbor(cfg Config, now clock.Millis) bool {
	return m.region == cfg.Region && !m.leaving && m.lives(now)
}

// lacks returns what a host knew of the store, if it hears of changes from this
// one: hosts of other regions have watchers of their own, while the store
// answers them. What a host of a large fleet lacked a while ago it has mostly heard
// by now, and would get once from each neighbor, so that it gets changes only in
// answers to its own calls.
func (f *fleet) lacks(name string, now clock.Millis) []relayer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || now-m.heard > relayer.LagTolerance || (m.region != f.cfg.Region && !m.storeLost) {
		return nil
	}
	return m.revisions
}

func newFleet(cfg Config, incarnation uint64) *fleet {
	return &fleet{cfg: cfg, incarnation: incarnation, members: make(map[string]*member), announced: make(map[string]string)}
}

func (f *fleet) announce(name, address string) (old string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old = f.announced[name]
	f.announced[name] = address
	return old
}

// receive takes a report and reports whether it is newer than the last one. moved
// is the peer address that the host had before, if it has another one now.
func (f *fleet) receive(r *schema.HostReport, now clock.Millis) (moved string, newer bool) {
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
	if m.peer != r.GetPeerAddress() {
		moved = m.peer
	}
	if m.incarnation != r.GetIncarnation() {
		m.taken = 0
	}
	m.incarnation, m.sequence, m.acked = r.GetIncarnation(), r.GetSequence(), 0
	if r.GetEchoIncarnation() == f.incarnation {
		m.acked = r.GetEchoSequence()
	}
	m.region, m.zone, m.caller, m.peer = r.GetRegion(), r.GetAvailabilityZone(), r.GetCallerAddress(), r.GetPeerAddress()
	if m.heard > 0 && m.lives(now) {
		m.pause += pauseWeight * (float64(now-m.heard) - m.pause)
	}
	m.ready, m.leaving, m.storeLost, m.heard = r.GetReady(), r.GetLeaving(), r.GetStoreLost(), now
	m.revisions = decodeRevisions(r.GetRevisions())
	return moved, true
}

// size is the number of live hosts, this one included.
func (f *fleet) size(now clock.Millis) int {
	n := 0
	for _, hosts := range f.hosts(now).ByRegion {
		n += hosts
	}
	return n
}

// hosts returns the live hosts, this one included.
func (f *fleet) hosts(now clock.Millis) balancer.LiveHosts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := balancer.LiveHosts{ByRegion: map[string]int{f.cfg.Region: 1}}
	for _, m := range f.members {
		if !m.lives(now) {
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
	var near, far []string
	add := func(r, address string) {
		if r == region {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	if selfReady {
		add(f.cfg.Region, f.cfg.CallerAddress)
	}
	for _, m := range f.members {
		if m.ready && !m.leaving && m.lives(now) {
			add(m.region, m.caller)
		}
	}
	slices.SortFunc(near, strings.Compare)
	slices.SortFunc(far, strings.Compare)
	if len(near) >= minNamed {
		return near
	}
	return append(near, far...)
}

// Lookup names the hosts that a caller should use, and for how long.
func (h *Host) Lookup(region, _ string) ([]string, clock.Millis) {
	return h.fleet.lookup(region, h.Ready(), h.cfg.Clock.Now()), h.cfg.LookupTTL
}

// report is what this host tells another one.
func (h *Host) report(to string) *schema.HostReport {
	now := h.cfg.Clock.Now()
	r := &schema.HostReport{
		Name: h.cfg.Name, Incarnation: h.incarnation, Sequence: h.sequence.Add(1),
		Region: h.cfg.Region, AvailabilityZone: h.cfg.AvailabilityZone,
		CallerAddress: h.cfg.CallerAddress, PeerAddress: h.cfg.PeerAddress,
		Ready: h.Ready(), Leaving: h.leaving.Load(),
	}
	r.EchoIncarnation, r.EchoSequence = h.fleet.last(to)
	h.fleet.sending(r.Sequence, now)
	r.StoreLost = h.storeLostAt.Load() != 0
	r.Revisions = encodeRevisions(h.relayer.Revisions())
	r.Batches = encodeBatches(h.relayer.MissingBatches(h.fleet.lacks(to, now)))
	if c := h.catalog.Load(); c != nil {
		r.ConfigVersion = c.Version()
	}
	// The age is read after the version: a newer version only makes it stricter.
	if asOf := clock.Millis(h.contact.Load()); asOf >= 0 {
		r.ConfigAgeMs = uint64(max(0, now-asOf)) + 1
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Loads = encodeLoads(h.balancer.InFlight())
	since := clock.Millis(0)
	r.UsesAfter, since = h.fleet.base(to)
	r.Uses = encodeUses(h.rationer.UsageSince(since, now))
	for name, rate := range h.balancer.Demands(now) {
		r.ServiceDemands = append(r.ServiceDemands, &schema.Rate{Name: name, PerS: rate})
	}
	return r
}

// proof returns a time at which, by the report of another host, this host knew
// the newest configuration. The report is no older than the one of this host
// that it answers to, however long it was on its way.
func (h *Host) proof(r *schema.HostReport) (asOf clock.Millis, ok bool) {
	c := h.catalog.Load()
	if c == nil || r.GetConfigAgeMs() == 0 || r.GetConfigVersion() > c.Version() || r.GetEchoIncarnation() != h.incarnation {
		return 0, false
	}
	sent, ok := h.fleet.sentAt(r.GetEchoSequence())
	return sent - clock.Millis(r.GetConfigAgeMs()), ok
}

// receive takes the report of another host.
func (h *Host) receive(r *schema.HostReport, trip clock.Millis) {
	h.receiving.Lock()
	defer h.receiving.Unlock()
	now := h.cfg.Clock.Now()
	moved, newer := h.fleet.receive(r, now)
	if !newer {
		return
	}
	if moved != "" {
		h.gossip.RemovePeer(moved)
	}
	h.relay(r.GetBatches())
	h.relayer.ObserveRevisions(decodeRevisions(r.GetRevisions()), now)
	if asOf, ok := h.proof(r); ok {
		h.advanceContact(asOf)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.SetLoadReport(r.GetName(), balancer.LoadReport{
		Region: r.GetRegion(), InFlight: decodeLoads(r.GetLoads(), h.serverNames), Demands: rates(r.GetServiceDemands()),
	}, now)
	if trip > 0 {
		h.balancer.RecordRTT(r.GetRegion(), float64(trip))
	}
	if h.catalog.Load() == nil {
		// Without workspaces the numbers of admitted requests can't be told apart.
		return
	}
	whole := r.GetUsesAfter() == 0 || h.rationer.HasBaseline(r.GetName(), r.GetIncarnation())
	if whole {
		h.rationer.ApplyReport(r.GetName(), rationer.Report{
			Incarnation: r.GetIncarnation(), Usage: decodeUses(r.GetUses(), h.workspaceNames),
		}, now)
	}
	h.fleet.take(r.GetName(), whole)
}

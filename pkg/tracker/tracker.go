// Package tracker tracks which hosts are live, leaving or gone.
package tracker

import (
	"sort"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// LivenessTimeout is the time without reports after which a host no longer counts as live.
const LivenessTimeout clock.Millis = 2000

// MemberTTL is the time without reports after which a host is no longer part of the known fleet.
const MemberTTL clock.Millis = 10 * 60 * 1000

// Member is what is known about one host.
type Member struct {
	info *schema.HostInfo
	// reportAt is when the newest report arrived; zero when only the platform has listed the host.
	reportAt clock.Millis
	// storeContact is the latest known time of the host's store contact.
	storeContact clock.Millis
	// hasStoreContact says that storeContact is set.
	hasStoreContact bool
	// listed says that the host is on the platform's latest list.
	listed bool
	// reported says that a report has arrived.
	reported bool
}

// Info returns the host's latest report about itself, or its entry in the platform's list.
func (m Member) Info() *schema.HostInfo { return m.info }

// LastReportAt returns when the newest report of the host arrived.
func (m Member) LastReportAt() clock.Millis { return m.reportAt }

// IsLive reports whether a report of the host arrived within LivenessTimeout.
func (m Member) IsLive(now clock.Millis) bool {
	return m.reported && now-m.reportAt <= LivenessTimeout
}

// ReportAge returns the time since the newest report arrived, or false when none has.
func (m Member) ReportAge(now clock.Millis) (clock.Millis, bool) { return now - m.reportAt, m.reported }

// StoreContactAge returns the time since the host's latest store contact, or false
// when none is known.
func (m Member) StoreContactAge(now clock.Millis) (clock.Millis, bool) {
	return now - m.storeContact, m.hasStoreContact
}

// Tracker tracks the hosts of the fleet other than this one.
type Tracker struct {
	self    string
	members map[string]*Member
}

// New returns a tracker for the host named self.
func New(self string) *Tracker {
	return &Tracker{self: self, members: make(map[string]*Member)}
}

// ApplyReport applies a host's report, received from the host itself or through
// another host. It ignores older incarnations and sequence numbers that are not
// newer, and returns whether it applied the report.
func (t *Tracker) ApplyReport(info *schema.HostInfo, now clock.Millis) bool {
	if info.GetName() == "" || info.GetName() == t.self {
		return false
	}
	m := t.members[info.GetName()]
	if m == nil {
		m = &Member{}
		t.members[info.GetName()] = m
	}
	if m.reported {
		old := m.info
		if info.GetIncarnation() < old.GetIncarnation() ||
			info.GetIncarnation() == old.GetIncarnation() && info.GetSequence() <= old.GetSequence() {
			return false
		}
	}
	m.info, m.reportAt, m.reported = info, now, true
	if info.GetStoreContactAgeMs() != NoStoreContact {
		at := now - clock.Millis(info.GetStoreContactAgeMs())
		if !m.hasStoreContact || at > m.storeContact {
			m.storeContact, m.hasStoreContact = at, true
		}
	}
	return true
}

// NoStoreContact is the store contact age that a host reports when it has had no contact.
const NoStoreContact = uint64(1) << 62

// ApplyHostList applies the platform's list of hosts. The list may lag, so it only
// adds hosts that are not known yet.
func (t *Tracker) ApplyHostList(hosts []storeclient.Host) {
	for _, m := range t.members {
		m.listed = false
	}
	for _, h := range hosts {
		if h.Name == t.self {
			continue
		}
		m := t.members[h.Name]
		if m == nil {
			state := schema.HostState_HOST_STATE_LIVE
			if h.State == storeclient.HostLeaving {
				state = schema.HostState_HOST_STATE_LEAVING
			}
			m = &Member{info: &schema.HostInfo{
				Name: h.Name, Region: h.Region, AvailabilityZone: h.AvailabilityZone,
				Address: h.Address, PeerAddress: h.PeerAddress, State: state,
			}}
			t.members[h.Name] = m
		}
		m.listed = true
	}
}

// ExpireMembers drops members that have been silent for MemberTTL and are not on the platform's list.
func (t *Tracker) ExpireMembers(now clock.Millis) {
	for name, m := range t.members {
		if !m.listed && now-m.reportAt > MemberTTL {
			delete(t.members, name)
		}
	}
}

// Members returns all known members, sorted by name.
func (t *Tracker) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].info.GetName() < out[j].info.GetName() })
	return out
}

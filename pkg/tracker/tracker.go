// Package tracker follows which hosts are live, leaving or gone.
package tracker

import (
	"sort"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// LivenessTimeout is the time without news after which a host counts as not live.
const LivenessTimeout clock.Millis = 2000

// MemberTTL is the time without news after which a host is no longer part of the known fleet.
const MemberTTL clock.Millis = 10 * 60 * 1000

// Member is what is known about one host.
type Member struct {
	info *schema.HostInfo
	// reportedAt is when news of a newer sequence arrived, zero when known from the platform only.
	reportedAt clock.Millis
	// storeContact is the latest time at which the host is known to have had store contact.
	storeContact clock.Millis
	// hasStoreContact says that storeContact is set.
	hasStoreContact bool
	listed          bool
	hasReport     bool
}

// Info returns the host's own account of itself.
func (m Member) Info() *schema.HostInfo { return m.info }

// LastReportAt returns when the newest news of the host arrived.
func (m Member) LastReportAt() clock.Millis { return m.reportedAt }

// IsLive reports whether news of the host arrived lately.
func (m Member) IsLive(now clock.Millis) bool {
	return m.hasReport && now-m.reportedAt <= LivenessTimeout
}

// ReportAge returns the time since news of the host arrived, or false when none did.
func (m Member) ReportAge(now clock.Millis) (clock.Millis, bool) { return now - m.reportedAt, m.hasReport }

// StoreContactAge returns the time since the host last had store contact, or
// false when none is known.
func (m Member) StoreContactAge(now clock.Millis) (clock.Millis, bool) {
	return now - m.storeContact, m.hasStoreContact
}

// Tracker holds the members other than the host itself.
type Tracker struct {
	self    string
	members map[string]*Member
}

// New returns a tracker for the host named self.
func New(self string) *Tracker {
	return &Tracker{self: self, members: make(map[string]*Member)}
}

// ApplyReport takes news about a host, from itself or passed on by another host.
// Older incarnations and repeated sequences are ignored. It reports whether the news was new.
func (t *Tracker) ApplyReport(info *schema.HostInfo, now clock.Millis) bool {
	if info.GetName() == "" || info.GetName() == t.self {
		return false
	}
	m := t.members[info.GetName()]
	if m == nil {
		m = &Member{}
		t.members[info.GetName()] = m
	}
	if m.hasReport {
		old := m.info
		if info.GetIncarnation() < old.GetIncarnation() ||
			info.GetIncarnation() == old.GetIncarnation() && info.GetSequence() <= old.GetSequence() {
			return false
		}
	}
	m.info, m.reportedAt, m.hasReport = info, now, true
	if info.GetStoreContactAgeMs() != NoStoreContact {
		at := now - clock.Millis(info.GetStoreContactAgeMs())
		if !m.hasStoreContact || at > m.storeContact {
			m.storeContact, m.hasStoreContact = at, true
		}
	}
	return true
}

// NoStoreContact is the store contact age of a host that never had contact.
const NoStoreContact = uint64(1) << 62

// ApplyHostList takes the platform's list of hosts, which may lag and is used as a hint.
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

// ExpireMembers drops members that have been silent for long and are not on the platform's list.
func (t *Tracker) ExpireMembers(now clock.Millis) {
	for name, m := range t.members {
		if !m.listed && now-m.reportedAt > MemberTTL {
			delete(t.members, name)
		}
	}
}

// Members returns all known members in order of names.
func (t *Tracker) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].info.GetName() < out[j].info.GetName() })
	return out
}

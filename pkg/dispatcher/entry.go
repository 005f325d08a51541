package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// PermitTable is an entry host's record of the permits that it has requested or holds.
type PermitTable struct {
	rules   Rules
	permits map[string]requestedPermit
}

type requestedPermit struct {
	region, service, workspace, server string
}

// NewPermitTable returns an empty table.
func NewPermitTable(rules Rules) *PermitTable {
	return &PermitTable{rules: rules, permits: make(map[string]requestedPermit)}
}

// Add records a permit before the first Acquire for it is sent.
func (t *PermitTable) Add(id, region, service, workspace string) {
	t.permits[id] = requestedPermit{region: region, service: service, workspace: workspace}
}

// AcceptGrant records a grant and reports whether the entry host may use it. A
// grant that arrives more than GrantTTL after its Acquire was sent must not be
// used, because a new owner may not know of it.
func (t *PermitTable) AcceptGrant(id, server string, sent, now clock.Millis) bool {
	p, ok := t.permits[id]
	if !ok || now-sent >= t.rules.GrantTTL {
		return false
	}
	p.server = server
	t.permits[id] = p
	return true
}

// Remove deletes a permit from the table.
func (t *PermitTable) Remove(id string) { delete(t.permits, id) }

// InRegion returns the permits for servers of a region, sorted by ID.
func (t *PermitTable) InRegion(region string) []*schema.HeldPermit {
	var out []*schema.HeldPermit
	for _, id := range slices.Sorted(maps.Keys(t.permits)) {
		if p := t.permits[id]; p.region == region {
			out = append(out, &schema.HeldPermit{
				PermitId: id, Service: p.service, BackendServer: p.server, Workspace: p.workspace,
			})
		}
	}
	return out
}

// Candidate is an owner that can be asked for a slot.
type Candidate struct {
	Host  string
	Slots int
	// ReportedLoad is the number of slots in use and requests queued in the owner's latest report.
	ReportedLoad int
	// InFlightDelta is the change of LocalInFlight since that report. It is negative if
	// more requests ended than began.
	InFlightDelta int
	// LocalInFlight counts this host's in-flight requests at the owner, EntryHosts the
	// hosts that send at a similar rate. Their product estimates the load without the
	// delay of reports.
	LocalInFlight, EntryHosts int
}

// Chooser chooses the owner to ask.
type Chooser struct {
	// ReportWeight is the weight of the owners' reports in the estimated load; the
	// rest comes from local in-flight requests. With reports alone, owners in turn
	// get all or none of the requests when reports are 2 s old.
	ReportWeight float64
}

// DefaultChooser returns the default chooser. At weights up to 0.5, the share of one
// of three owners in a second's requests stays near a third at any age of reports.
func DefaultChooser() Chooser { return Chooser{ReportWeight: 0.5} }

func (c Chooser) load(candidate Candidate) float64 {
	if candidate.Slots <= 0 {
		return 1 << 30
	}
	reported, estimated := float64(max(0, candidate.ReportedLoad+candidate.InFlightDelta)), float64(candidate.LocalInFlight*max(1, candidate.EntryHosts))
	return (c.ReportWeight*reported + (1-c.ReportWeight)*estimated) / float64(candidate.Slots)
}

// Choose returns the index of the less loaded of two randomly chosen candidates.
// intn returns a random number below n.
func (c Chooser) Choose(candidates []Candidate, intn func(int) int) int {
	n := len(candidates)
	if n < 2 {
		return 0
	}
	a, b := intn(n), intn(n-1)
	if b >= a {
		b++
	}
	if c.load(candidates[b]) < c.load(candidates[a]) {
		return b
	}
	return a
}

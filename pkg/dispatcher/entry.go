package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// PermitTable is an entry host's record of the permits that it asked for and holds.
type PermitTable struct {
	rules   Rules
	permits map[string]requestedPermit
}

type requestedPermit struct {
	region, service, workspace, server string
}

// NewPermitTable returns an empty record.
func NewPermitTable(rules Rules) *PermitTable {
	return &PermitTable{rules: rules, permits: make(map[string]requestedPermit)}
}

// Add notes a permit before the first Acquire is sent.
func (t *PermitTable) Add(id, region, service, workspace string) {
	t.permits[id] = requestedPermit{region: region, service: service, workspace: workspace}
}

// AcceptGrant takes a grant and reports whether the entry host may use it. A grant
// that comes late may already be unknown to a new owner.
func (t *PermitTable) AcceptGrant(id, server string, sent, now clock.Millis) bool {
	p, ok := t.permits[id]
	if !ok || now-sent >= t.rules.GrantTTL {
		return false
	}
	p.server = server
	t.permits[id] = p
	return true
}

// Remove forgets a permit.
func (t *PermitTable) Remove(id string) { delete(t.permits, id) }

// InRegion returns the permits for servers of a region in order of identity.
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

// Candidate is an owner that may be asked.
type Candidate struct {
	Host  string
	Slots int
	// ReportedLoad counts slots in use and requests waiting, by the owner's report.
	ReportedLoad int
	// InFlightSinceReport counts own requests in flight since that report.
	InFlightSinceReport int
	// LocalInFlight counts all own requests in flight at the owner, and EntryHosts the hosts
	// that send alike. Together they estimate the load without any lag.
	LocalInFlight, EntryHosts int
}

// Chooser chooses among owners.
type Chooser struct {
	// ReportWeight is the part of the owners' reports in the estimate of load; the
	// rest comes from own requests in flight. With reports alone, owners get all
	// or none of the requests in turn when reports are 2 s old.
	ReportWeight float64
}

// DefaultChooser returns the chooser in use. At weights of 0.5 and below, a
// second's share of one of three owners stays near a third at any lag of reports.
func DefaultChooser() Chooser { return Chooser{ReportWeight: 0.5} }

func (c Chooser) load(candidate Candidate) float64 {
	if candidate.Slots <= 0 {
		return 1 << 30
	}
	reported, own := float64(max(0, candidate.ReportedLoad+candidate.InFlightSinceReport)), float64(candidate.LocalInFlight*max(1, candidate.EntryHosts))
	return (c.ReportWeight*reported + (1-c.ReportWeight)*own) / float64(candidate.Slots)
}

// Choose returns the index of the less loaded of two random candidates.
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

package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// PermitTable is an entry host's record of the permits that it asked for and holds.
type PermitTable struct {
	rules Rules
	held  map[string]entryPermit
}

type entryPermit struct {
	region, service, workspace, server string
}

// NewPermitTable returns an empty record.
func NewPermitTable(rules Rules) *PermitTable {
	return &PermitTable{rules: rules, held: make(map[string]entryPermit)}
}

// Add notes a permit before the first Acquire is sent.
func (e *PermitTable) Add(id, region, service, workspace string) {
	e.held[id] = entryPermit{region: region, service: service, workspace: workspace}
}

// AcceptGrant takes a grant and reports whether the entry host may use it. A grant
// that comes late may already be unknown to a new owner.
func (e *PermitTable) AcceptGrant(id, server string, sent, now clock.Millis) bool {
	p, ok := e.held[id]
	if !ok || now-sent >= e.rules.GrantTTL {
		return false
	}
	p.server = server
	e.held[id] = p
	return true
}

// Remove forgets a permit.
func (e *PermitTable) Remove(id string) { delete(e.held, id) }

// InRegion returns the permits for servers of a region in order of identity.
func (e *PermitTable) InRegion(region string) []*schema.HeldPermit {
	var out []*schema.HeldPermit
	for _, id := range slices.Sorted(maps.Keys(e.held)) {
		if p := e.held[id]; p.region == region {
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

func (h Chooser) load(c Candidate) float64 {
	if c.Slots <= 0 {
		return 1 << 30
	}
	reported, own := float64(max(0, c.ReportedLoad+c.InFlightSinceReport)), float64(c.LocalInFlight*max(1, c.EntryHosts))
	return (h.ReportWeight*reported + (1-h.ReportWeight)*own) / float64(c.Slots)
}

// Choose returns the index of the less loaded of two random candidates.
// intn returns a random number below n.
func (h Chooser) Choose(candidates []Candidate, intn func(int) int) int {
	n := len(candidates)
	if n < 2 {
		return 0
	}
	a, b := intn(n), intn(n-1)
	if b >= a {
		b++
	}
	if h.load(candidates[b]) < h.load(candidates[a]) {
		return b
	}
	return a
}

package apiserver

import (
	"net/http"
	"slices"

	"catkindyke/pkg/router"
	"catkindyke/pkg/snapshotter"
)

// Explanation is the answer to GET /v1/explain: where a request that enters at this
// host would be routed, and why.
type Explanation struct {
	Host      string `json:"host"`
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	// EntryRegion is the region where the request enters.
	EntryRegion string            `json:"home"`
	KeyCheck    ExplainedKeyCheck `json:"key"`
	Rate        ExplainedBucket   `json:"rate"`
	Plan        ExplainedPlan     `json:"plan"`
	Regions     []ExplainedRegion `json:"order"`
	// Verdict is "served in" and a region, or the reason for the refusal.
	Verdict string `json:"verdict"`
}

// ExplainedKeyCheck reports whether the path requires a key, and whether the workspace
// has one.
type ExplainedKeyCheck struct {
	Required bool `json:"needed"`
	// ActiveKeys is the number of current keys of the workspace.
	ActiveKeys int `json:"keys"`
}

// ExplainedBucket is a fleet-wide rate limit and the tokens that this host holds.
type ExplainedBucket struct {
	Bucket   string  `json:"bucket"`
	RatePerS float64 `json:"rate_per_s"`
	// Tokens are the tokens that this host holds. Other hosts may lend it more.
	Tokens float64 `json:"tokens"`
}

// ExplainedPlan is the route's part of the current plan.
type ExplainedPlan struct {
	Version uint64 `json:"version"`
	Fence   uint64 `json:"fence"`
	// Weights are in per mille, after failover.
	Weights map[string]uint32 `json:"weights"`
	// FailoverFrom is the region whose failover weights are used, if any.
	FailoverFrom string `json:"lost,omitempty"`
}

// ExplainedRegion is one region, in the order in which regions are tried.
type ExplainedRegion struct {
	Region string `json:"region"`
	// HealthPerMille is the part of its share of traffic that the region takes.
	HealthPerMille int              `json:"health_per_mille"`
	Drained        bool             `json:"drained"`
	Servers        []string         `json:"servers"`
	ShiftBucket    *ExplainedBucket `json:"shift,omitempty"`
}

func (cfg Config) serveExplain(w http.ResponseWriter, r *http.Request) {
	snap, q := cfg.Snapshot(), r.URL.Query()
	svc, ok := snap.Service(q.Get("service"))
	if !ok {
		writeJSON(w, http.StatusNotFound, ErrorBody{"unknown service " + q.Get("service")})
		return
	}
	home := q.Get("region")
	if home == "" {
		home = snap.Self().Region
	}
	out := Explanation{Host: snap.Self().Name, Service: q.Get("service"), Workspace: q.Get("workspace"), EntryRegion: home}
	path := q.Get("path")
	if path == "" {
		path = "/" + out.Service
	}
	out.KeyCheck.Required = !svc.IsOpenRoute(path)
	for _, k := range snap.Keys().GetKeys() {
		if k.GetWorkspace() == out.Workspace {
			out.KeyCheck.ActiveKeys++
		}
	}
	out.Rate = ExplainedBucket{Bucket: out.Workspace, Tokens: cfg.LocalTokens(out.Workspace)}
	for _, ws := range snap.Config().GetWorkspaces() {
		if ws.GetName() == out.Workspace {
			out.Rate.RatePerS = ws.GetRatePerS()
		}
	}
	cfg.explainRegions(snap, svc, &out)
	out.Verdict = out.findVerdict()
	writeJSON(w, http.StatusOK, out)
}

func (cfg Config) explainRegions(snap *snapshotter.Snapshot, svc *snapshotter.Service, out *Explanation) {
	d := router.Decide(snap, router.Query{Service: out.Service, EntryRegion: out.EntryRegion})
	out.Plan = ExplainedPlan{
		Version: snap.Versions()["plan"], Fence: snap.Plan().GetFence(), Weights: make(map[string]uint32), FailoverFrom: d.FailoverFrom,
	}
	for _, w := range d.Weights {
		out.Plan.Weights[w.GetRegion()] = w.GetPerMille()
	}
	for _, region := range d.Regions {
		e := ExplainedRegion{
			Region: region, HealthPerMille: snap.RegionHealth(region), Servers: []string{},
			Drained: slices.Contains(snap.Drains().GetRegions(), region),
		}
		for _, b := range svc.Servers(region) {
			e.Servers = append(e.Servers, b.GetName())
		}
		if region != out.EntryRegion {
			name := router.ShiftBucketName(out.Service, out.EntryRegion, region)
			e.ShiftBucket = &ExplainedBucket{Bucket: name, Tokens: cfg.LocalTokens(name)}
			for _, l := range snap.Config().GetLinks() {
				if l.GetFrom() == out.EntryRegion && l.GetTo() == region {
					e.ShiftBucket.RatePerS = l.GetShiftCapPerS()
				}
			}
		}
		out.Regions = append(out.Regions, e)
	}
}

// findVerdict returns the verdict from the checks in the order in which a host makes them.
func (e *Explanation) findVerdict() string {
	switch {
	case e.KeyCheck.Required && e.KeyCheck.ActiveKeys == 0:
		return "bad_key"
	case e.KeyCheck.Required && e.Rate.RatePerS == 0:
		return "rate_limited"
	}
	refusal := "no_server"
	for _, r := range e.Regions {
		switch {
		case len(r.Servers) == 0:
		case r.ShiftBucket != nil && r.ShiftBucket.RatePerS == 0:
			refusal = "shift_cap"
		default:
			return "served in " + r.Region
		}
	}
	return refusal
}

package hoster

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

// namesByHash resolves the hashes that stand for names in reports, and their lower 32 bits,
// which take half the bytes. Lower bits that several names share resolve to no name.
type namesByHash map[uint64]string

func (d namesByHash) add(name string) {
	hash := xxhash.Sum64String(name)
	d[hash] = name
	if d.isShared(name, hash) {
		name = ""
	}
	d[shortHash(hash)] = name
}

// isShared reports whether another name has the same lower 32 bits.
func (d namesByHash) isShared(name string, hash uint64) bool {
	other, ok := d[shortHash(hash)]
	return ok && other != name
}

func shortHash(hash uint64) uint64 { return hash & math.MaxUint32 }

// hashAt returns the hash at an index of two lists, one of which is empty.
func hashAt(hashes []uint64, short []uint32, i int) uint64 {
	if i < len(hashes) {
		return hashes[i]
	}
	return uint64(short[i-len(hashes)])
}

// applyLoads sets the requests in flight that a report holds. A list that was cut short sets none.
func applyLoads(loads map[uint64]uint32, change *schema.ServerLoads) {
	hashes, short := change.GetServerHashes(), change.GetShortHashes()
	for i, n := range change.GetInFlight() {
		switch {
		case i >= len(hashes)+len(short):
		case n == 0:
			delete(loads, hashAt(hashes, short, i))
		default:
			loads[hashAt(hashes, short, i)] = n
		}
	}
}

// decodeInFlight skips servers that are unknown here: they get no requests.
func decodeInFlight(loads map[uint64]uint32, names namesByHash) map[string]int {
	out := make(map[string]int, len(loads))
	for hash, n := range loads {
		if id := names[hash]; id != "" {
			out[id] = int(n)
		}
	}
	return out
}

func encodePlacements(list []balancer.Placement) *schema.Placements {
	if len(list) == 0 {
		return nil
	}
	out := &schema.Placements{}
	for _, p := range list {
		out.ObjectHashes = append(out.ObjectHashes, p.Object)
		out.ServerHashes = append(out.ServerHashes, xxhash.Sum64String(p.Server))
	}
	return out
}

// decodePlacements skips servers that are unknown here.
func decodePlacements(placements *schema.Placements, names namesByHash) []balancer.Placement {
	var out []balancer.Placement
	for i, hash := range placements.GetServerHashes() {
		if id, ok := names[hash]; ok && i < len(placements.GetObjectHashes()) {
			out = append(out, balancer.Placement{Object: placements.GetObjectHashes()[i], Server: id})
		}
	}
	return out
}

func encodeNotices(list []balancer.ServerNotice) []*schema.ServerNotice {
	var out []*schema.ServerNotice
	for _, n := range list {
		out = append(out, &schema.ServerNotice{
			ServerHash: xxhash.Sum64String(n.Server), StartUnixMs: n.StartUnixMs, Draining: n.Draining, LimitKnown: n.Limit.Known,
			LimitAgeMs: uint32(max(0, n.Age)), Limited: n.Limit.Limited, RateLimit: n.Limit.PerSecond,
		})
	}
	return out
}

// decodeNotices skips servers that are unknown here, and limits that are not rates.
func decodeNotices(list []*schema.ServerNotice, names namesByHash) []balancer.ServerNotice {
	var out []balancer.ServerNotice
	for _, n := range list {
		id, ok := names[n.GetServerHash()]
		limit := n.GetRateLimit()
		if !ok || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
			continue
		}
		out = append(out, balancer.ServerNotice{
			Server: id, StartUnixMs: n.GetStartUnixMs(), Age: clock.Millis(n.GetLimitAgeMs()),
			Notice: balancer.Notice{
				Draining: n.GetDraining(), Limit: balancer.RateLimit{Known: n.GetLimitKnown(), Limited: n.GetLimited(), PerSecond: limit},
			},
		})
	}
	return out
}

func encodeLoads(list []balancer.ServerLoad) *schema.StatedLoads {
	if len(list) == 0 {
		return nil
	}
	out := &schema.StatedLoads{}
	for _, l := range list {
		out.ServerHashes = append(out.ServerHashes, xxhash.Sum64String(l.Server))
		out.StartChecks = append(out.StartChecks, l.StartCheck)
		out.Running = append(out.Running, uint32(l.Running))
		out.Waiting = append(out.Waiting, uint32(l.Waiting))
		out.Paces = append(out.Paces, uint32(math.Round(100*l.Pace)))
		out.AgesMs = append(out.AgesMs, uint32(max(0, l.Age)))
	}
	return out
}

// maxReportedRequests bounds the numbers of requests in a report.
const maxReportedRequests = 1 << 20

// decodeLoads skips servers that are unknown here.
func decodeLoads(loads *schema.StatedLoads, names namesByHash) []balancer.ServerLoad {
	n := len(loads.GetServerHashes())
	for _, field := range [][]uint32{loads.GetStartChecks(), loads.GetRunning(), loads.GetWaiting(), loads.GetPaces(), loads.GetAgesMs()} {
		n = min(n, len(field))
	}
	var out []balancer.ServerLoad
	for i := range n {
		id, ok := names[loads.GetServerHashes()[i]]
		running, waiting := loads.GetRunning()[i], loads.GetWaiting()[i]
		if !ok || running > maxReportedRequests || waiting > maxReportedRequests {
			continue
		}
		out = append(out, balancer.ServerLoad{
			Server: id, StartCheck: loads.GetStartChecks()[i], Age: clock.Millis(loads.GetAgesMs()[i]),
			Load: observer.Load{Running: int(running), Waiting: int(waiting), Pace: float64(loads.GetPaces()[i]) / 100},
		})
	}
	return out
}

// demandUnit is the number of requests per second that a demand of 1 in a report
// stands for.
const demandUnit = 0.01

// encodeUsage uses short hashes if allowed and unless workspaces share them.
func encodeUsage(uses map[string]rationer.Usage, names namesByHash, short bool) *schema.WorkspaceUses {
	out := &schema.WorkspaceUses{}
	for name, use := range uses {
		hash := xxhash.Sum64String(name)
		if short && names.isShared(name, hash) {
			return encodeUsage(uses, names, false)
		}
		if short {
			out.ShortHashes = append(out.ShortHashes, uint32(shortHash(hash)))
		} else {
			out.WorkspaceHashes = append(out.WorkspaceHashes, hash)
		}
		out.Demands = append(out.Demands, uint32(math.Round(use.Demand/demandUnit)))
		out.Admitted = append(out.Admitted, use.Admitted)
	}
	return out
}

// decodeUsage skips workspaces that are not in this host's configuration.
func decodeUsage(uses *schema.WorkspaceUses, names namesByHash) map[string]rationer.Usage {
	hashes, short := uses.GetWorkspaceHashes(), uses.GetShortHashes()
	count := min(len(hashes)+len(short), len(uses.GetDemands()), len(uses.GetAdmitted()))
	out := make(map[string]rationer.Usage, count)
	for i := range count {
		if name := names[hashAt(hashes, short, i)]; name != "" {
			out[name] = rationer.Usage{Demand: float64(uses.GetDemands()[i]) * demandUnit, Admitted: uses.GetAdmitted()[i]}
		}
	}
	return out
}

func encodeRevisions(list []relayer.Revision) []*schema.Revision {
	out := make([]*schema.Revision, 0, len(list))
	for _, r := range list {
		out = append(out, &schema.Revision{Kind: r.Kind, Changed: r.LastChange, UpTo: r.UpTo, Fingerprint: r.Fingerprint, Epoch: r.Epoch, CutAfter: r.Cut.After, CutUpTo: r.Cut.UpTo})
	}
	return out
}

func decodeRevisions(list []*schema.Revision) []relayer.Revision {
	out := make([]relayer.Revision, 0, len(list))
	for _, r := range list {
		out = append(out, relayer.Revision{Kind: r.GetKind(), LastChange: r.GetChanged(), UpTo: r.GetUpTo(), Fingerprint: r.GetFingerprint(), Epoch: r.GetEpoch(), Cut: relayer.Gap{After: r.GetCutAfter(), UpTo: r.GetCutUpTo()}})
	}
	return out
}

func encodeBatches(list []relayer.Batch) []*schema.Batch {
	out := make([]*schema.Batch, 0, len(list))
	for _, b := range list {
		batch := &schema.Batch{Kind: b.Kind, Epoch: b.Epoch, After: b.After, UpTo: b.UpTo, GapAfter: b.Gap.After, GapUpTo: b.Gap.UpTo}
		for _, c := range b.Changes {
			batch.Changes = append(batch.Changes, &schema.Change{
				Name: c.Name, Revision: c.Revision, Deleted: c.Deleted, Content: c.Content,
			})
		}
		out = append(out, batch)
	}
	return out
}

func decodeBatch(b *schema.Batch) relayer.Batch {
	out := relayer.Batch{
		Kind: b.GetKind(), Epoch: b.GetEpoch(), After: b.GetAfter(), UpTo: b.GetUpTo(), Gap: relayer.Gap{After: b.GetGapAfter(), UpTo: b.GetGapUpTo()},
	}
	for _, c := range b.GetChanges() {
		out.Changes = append(out.Changes, relayer.Change{
			Name: c.GetName(), Revision: c.GetRevision(), Deleted: c.GetDeleted(), Content: c.GetContent(),
		})
	}
	return out
}

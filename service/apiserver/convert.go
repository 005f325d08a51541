package apiserver

import (
	"cmp"
	"expvar"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/snapshotter"
)

// convertStatus returns the host's status at a time on its clock.
func convertStatus(snap *snapshotter.Snapshot, m *meter.Meter, now clock.Millis) Status {
	out := Status{
		Host: snap.Self().Name, Ready: snap.Ready(), Versions: snap.Versions(), Metrics: make(map[string]int64),
		Pools: convertPools(snap), Workspaces: convertWorkspaces(snap, m),
	}
	for _, h := range snap.Hosts() {
		out.Hosts = append(out.Hosts, convertHost(h, snap, now))
	}
	m.Map().Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out.Metrics[kv.Key] = v.Value()
		}
	})
	return out
}

func convertHost(h snapshotter.Host, snap *snapshotter.Snapshot, now clock.Millis) StatusHost {
	age := clock.Millis(0)
	if h.Name != snap.Self().Name {
		age = max(0, now-h.LastReportAt)
	}
	return StatusHost{
		Name: h.Name, Region: h.Region, AvailabilityZone: h.AvailabilityZone, Address: h.Address,
		OperatorAddress: h.OperatorAddress, Leaving: h.Leaving, Versions: h.Versions, ReportAgeMs: int64(age),
	}
}

// convertPools sums the loads reported by slot owners, by region and service.
func convertPools(snap *snapshotter.Snapshot) []StatusPool {
	type key struct{ region, service string }
	sums := make(map[key]*StatusPool)
	for _, h := range snap.Hosts() {
		for _, p := range h.Pools {
			k := key{h.Region, p.GetService()}
			if sums[k] == nil {
				sums[k] = &StatusPool{Region: k.region, Service: k.service}
			}
			sums[k].Slots += p.GetSlots()
			sums[k].InUse += p.GetInUse()
			sums[k].Queued += p.GetQueued()
		}
	}
	var out []StatusPool
	for k, sum := range sums {
		if svc, ok := snap.Service(k.service); ok && svc.Config().GetServiceTimeMs() > 0 {
			sum.CapacityPerSecond = float64(sum.Slots) * 1000 / float64(svc.Config().GetServiceTimeMs())
		}
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b StatusPool) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service))
	})
	return out
}

func convertWorkspaces(snap *snapshotter.Snapshot, m *meter.Meter) []StatusWorkspace {
	var out []StatusWorkspace
	for _, w := range snap.Config().GetWorkspaces() {
		out = append(out, StatusWorkspace{
			Name: w.GetName(), RatePerS: w.GetRatePerS(), Burst: w.GetBurst(),
			Admitted: m.Get(forwarder.AdmittedMetric + w.GetName()), OverLimit: m.Get(forwarder.OverLimitMetric + w.GetName()),
		})
	}
	return out
}

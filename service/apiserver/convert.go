package apiserver

import (
	"expvar"

	"catkindyke/pkg/meter"
	"catkindyke/pkg/resolver"
	"catkindyke/pkg/snapshotter"
)

func convertAnswer(a resolver.Answer) LookupAnswer {
	out := LookupAnswer{Service: a.Service, Region: a.Region, AgeMs: int64(a.Age), Hosts: []LookupHost{}}
	for _, h := range a.Hosts {
		out.Hosts = append(out.Hosts, LookupHost{h.Name, h.Address, h.Region, h.AvailabilityZone})
	}
	return out
}

func convertStatus(snap *snapshotter.Snapshot, m *meter.Meter) Status {
	out := Status{Host: snap.Self().Name, Ready: snap.Ready(), Versions: snap.Versions(), Metrics: map[string]int64{}}
	for _, h := range snap.Hosts() {
		out.Hosts = append(out.Hosts, StatusHost{h.Name, h.Region, h.AvailabilityZone, h.Address, h.Leaving, h.Versions})
	}
	m.Map().Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out.Metrics[kv.Key] = v.Value()
		}
	})
	return out
}

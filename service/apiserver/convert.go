package apiserver

import (
	"expvar"

	"catkindyke/pkg/meter"
	"catkindyke/pkg/snapshotter"
)

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

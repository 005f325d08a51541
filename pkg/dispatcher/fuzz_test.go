package dispatcher

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/schema"
)

// FuzzReport guards against reports that make the count of slots in use wrong.
func FuzzReport(f *testing.F) {
	seed, err := proto.Marshal(&schema.ReportPermitsRequest{
		Host: "b", Incarnation: 1, Token: 1<<tokenTimeBits | 2000, Votes: []string{"s0", "none"}, RegionHosts: 3,
		Permits: []*schema.HeldPermit{
			{PermitId: "x", Service: "svc", BackendServer: "s0"}, {PermitId: "x", BackendServer: "s1"}, {PermitId: "y"},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r schema.ReportPermitsRequest
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		d, _ := newSingleHost(2, 2, 0, nil)
		d.HandleReport(&r, 2001)
		r.Incarnation++
		r.Token++
		d.HandleReport(&r, 2002)
		d.Step(2003)
		counts := make(map[string]int)
		for _, p := range d.permits {
			counts[p.server]++
		}
		for name, s := range d.servers {
			if s.inUse != counts[name] {
				t.Errorf("%s: %d slots in use, %d permits", name, s.inUse, counts[name])
			}
		}
	})
}

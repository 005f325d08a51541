package hoster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

// reportLoad is the load of the hosts in a benchmark: at each host 57 requests per second that take
// 1.2 s, for 73 workspaces.
type reportLoad struct {
	hosts, servers int
	// interval is the time between two exchanges of a pair, as the gossiper bounds it.
	interval clock.Millis
	receiver string
}

const (
	benchRequestsPerS, benchInFlight, benchWorkspaces, benchObjects = 57, 68, 73, 400
)

// benchHost sends requests to servers and ends the oldest ones.
type benchHost struct {
	*Host
	sent    int
	running []balancer.Attempt
}

func (h *benchHost) advance(requests int) {
	for range requests {
		h.sent++
		h.admit(fmt.Sprint("w", h.sent%benchWorkspaces))
		h.countRequest("desk")
		c, _ := h.chooseServer(balancer.Request{Service: "desk", Class: "p", Object: fmt.Sprint(h.sent * 7 % benchObjects), TargetLatency: 2500, TimeLeft: 8000})
		if !c.Refused {
			h.running = append(h.running, balancer.Attempt{Choice: c, Class: "p", Result: balancer.Answered, Duration: 1200})
		}
		if len(h.running) > benchInFlight {
			h.finishAttempt(h.running[0])
			h.running = h.running[1:]
		}
	}
}

// BenchmarkReport measures a report from building to applying, without the requests between two
// reports, and its size.
func BenchmarkReport(b *testing.B) {
	for name, load := range map[string]reportLoad{
		"24 hosts/own region":   {24, 176, 175, "a2"},
		"24 hosts/other region": {24, 176, 444, "b1"},
		"81 hosts/own region":   {81, 600, 650, "a2"},
		"81 hosts/other region": {81, 600, 1500, "b1"},
	} {
		b.Run(name, func(b *testing.B) { runReportBenchmark(b, load) })
	}
}

func runReportBenchmark(b *testing.B, load reportLoad) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &testNetwork{ctx: ctx, clock: &clock.Manual{}, hosts: make(map[string]*Host)}
	n.clock.Advance(100000)
	var servers []registrar.Server
	for i := range load.servers {
		servers = append(servers, testServer(fmt.Sprintf("i-%010x", i*7919), "z"+string(rune('a'+i%3))))
	}
	cfg := testConfig(2)
	cfg.Workspaces = nil
	for i := range benchWorkspaces {
		w := testConfig(1).Workspaces[0]
		w.Name, w.Keys = fmt.Sprint("w", i), []string{fmt.Sprint("k", i)}
		cfg.Workspaces = append(cfg.Workspaces, w)
	}
	for _, name := range []string{"a1", load.receiver} {
		h := n.start(name)
		makeReady(h, 1, servers...)
		h.Feed().SetConfig(cfg)
		h.relayer = relayer.New("servers", "config", "evacuations")
		for _, kind := range h.relayer.Kinds() {
			h.relayer.RecordList(relayer.List{Kind: kind, Epoch: 3, LastChange: 40000, UpTo: 41000, Fingerprint: 1<<63 + 7})
		}
	}
	from, to := &benchHost{Host: n.hosts["a1"]}, n.hosts[load.receiver]
	for range 10 {
		n.clock.Advance(1000)
		from.advance(2 * benchInFlight)
		exchangeReports(from.Host, to)
	}
	requests := int(benchRequestsPerS * load.interval / 1000)
	var bytes int
	var build, encode, decode, apply time.Duration
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		n.clock.Advance(load.interval)
		from.advance(requests)
		from.handleReport(to.buildReport("a1"), 1)
		b.StartTimer()
		t0 := time.Now()
		r := from.buildReport(load.receiver)
		t1 := time.Now()
		text, err := proto.Marshal(r)
		t2 := time.Now()
		received := new(schema.HostReport)
		if err != nil || proto.Unmarshal(text, received) != nil {
			b.Fatal("encoding failed")
		}
		t3 := time.Now()
		to.handleReport(received, 1)
		build, encode, decode, apply = build+t1.Sub(t0), encode+t2.Sub(t1), decode+t3.Sub(t2), apply+time.Since(t3)
		bytes += len(text)
	}
	for unit, d := range map[string]time.Duration{"build": build, "encode": encode, "decode": decode, "apply": apply} {
		b.ReportMetric(float64(d.Nanoseconds())/float64(b.N), "ns-"+unit)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/report")
}

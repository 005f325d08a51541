package apiserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/locator"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

func assertNoError(t testing.TB, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

func makeLookupInput(hosts int) snapshotter.Input {
	cfg := &schema.Config{
		Services: []*schema.Service{{Name: "dispatch"}},
		Sites:    []*schema.Site{{Name: "odense", Region: "region-1", Blocks: []string{"10.0.0.0/8"}}},
		Settings: &schema.Settings{TrustedProxies: []string{"192.0.2.0/24", "fd00::/8"}},
	}
	table, _ := locator.NewTableFromSites(cfg.GetSites())
	in := snapshotter.Input{
		Self: snapshotter.Host{Name: "self", Region: "region-0"}, Ready: true, Config: cfg, SiteBlocks: table,
	}
	for n := range hosts {
		region := fmt.Sprintf("region-%d", n%7)
		in.Hosts = append(in.Hosts, snapshotter.Host{
			Name: fmt.Sprintf("host-%d", n), Region: region, AvailabilityZone: region + "-" + string(rune('a'+n/7%2)),
			Address: fmt.Sprintf("10.9.%d.%d:7001", n/256, n%256),
		})
	}
	return in
}

func makeLookupHandler(in snapshotter.Input) http.Handler {
	snap := snapshotter.Build(in)
	return newLookupHandler(Config{Snapshot: func() *snapshotter.Snapshot { return snap }, Meter: meter.New()})
}

func sendLookup(h http.Handler, peer, query string, forwarded ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup"+query, nil)
	r.RemoteAddr = peer
	for _, f := range forwarded {
		r.Header.Add("X-Forwarded-For", f)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

// TestCallerAddress checks that callers cannot choose their region with a header, and
// that callers behind a trusted proxy are located by their own address.
func TestCallerAddress(t *testing.T) {
	const proxy = "192.0.2.1:1"
	for name, c := range map[string]struct {
		peer      string
		forwarded []string
		status    int
		region    string
	}{
		"peer":              {"10.0.0.1:1", nil, 200, "region-1"},
		"mapped_peer":       {"[::ffff:10.0.0.1]:1", nil, 200, "region-1"},
		"no_block":          {"198.51.100.1:1", nil, 200, "region-0"},
		"untrusted":         {"198.51.100.1:1", []string{"10.0.0.1"}, 200, "region-0"},
		"untrusted_garbage": {"10.0.0.1:1", []string{"x"}, 200, "region-1"},
		"trusted":           {proxy, []string{"10.0.0.1"}, 200, "region-1"},
		"trusted_ipv6":      {"[fd00::1]:1", []string{"10.0.0.1"}, 200, "region-1"},
		"with_port":         {proxy, []string{"10.0.0.1:99"}, 200, "region-1"},
		"mapped":            {proxy, []string{"::ffff:10.0.0.1"}, 200, "region-1"},
		"mapped_port":       {proxy, []string{"[::ffff:10.0.0.1]:99"}, 200, "region-1"},
		"brackets":          {proxy, []string{"[2001:db8::1]"}, 200, "region-0"},
		"forged_first":      {proxy, []string{"10.0.0.1, 198.51.100.1"}, 200, "region-0"},
		"proxy_chain":       {proxy, []string{"198.51.100.1, 10.0.0.1, 192.0.2.7"}, 200, "region-1"},
		"two_headers":       {proxy, []string{"198.51.100.1", "10.0.0.1"}, 200, "region-1"},
		"empty":             {proxy, []string{""}, 200, "region-0"},
		"garbage":           {proxy, []string{"10.0.0.1, x"}, 400, ""},
		"hidden":            {proxy, []string{"unknown"}, 400, ""},
		"bad_peer":          {"x", nil, 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			rec := sendLookup(makeLookupHandler(makeLookupInput(20)), c.peer, "?service=dispatch", c.forwarded...)
			var a LookupAnswer
			assertNoError(t, json.Unmarshal(rec.Body.Bytes(), &a), "decode")
			if rec.Code != c.status || a.Region != c.region {
				t.Errorf("status %d, %s", rec.Code, rec.Body)
			}
		})
	}
}

// TestLookupAnswer checks that the answer equals the output of encoding/json.
func TestLookupAnswer(t *testing.T) {
	rec := sendLookup(makeLookupHandler(makeLookupInput(20)), "10.0.0.1:1", "?service=dispatch")
	var a LookupAnswer
	assertNoError(t, json.Unmarshal(rec.Body.Bytes(), &a), "decode")
	reencoded, err := json.Marshal(a)
	assertNoError(t, err, "encode")
	if string(reencoded)+"\n" != rec.Body.String() || len(a.Hosts) != 12 || a.TTLMs != 5000 {
		t.Errorf("got %s, encoded again %s", rec.Body, reencoded)
	}
}

// TestLookupRefusals checks the reason and the Retry-After of refused look-ups.
func TestLookupRefusals(t *testing.T) {
	notReady := makeLookupInput(20)
	notReady.Ready = false
	for name, c := range map[string]struct {
		in     snapshotter.Input
		query  string
		status int
		retry  string
		text   string
	}{
		"not_ready": {notReady, "?service=dispatch", 503, "1", "not ready: no configuration in force"},
		"no_host":   {makeLookupInput(0), "?service=dispatch", 503, "1", "no host is in service"},
		"unknown":   {makeLookupInput(20), "?service=x", 404, "", `unknown service "x"`},
		"missing":   {makeLookupInput(20), "", 400, "", "the parameter service is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			rec := sendLookup(makeLookupHandler(c.in), "10.0.0.1:1", c.query)
			var e LookupRefusal
			assertNoError(t, json.Unmarshal(rec.Body.Bytes(), &e), "decode")
			if rec.Code != c.status || e.Error != c.text || rec.Header().Get("Retry-After") != c.retry {
				t.Errorf("status %d, Retry-After %q, %s", rec.Code, rec.Header().Get("Retry-After"), rec.Body)
			}
		})
	}
}

// TestLookupLimit checks that each source has a rate limit of its own.
func TestLookupLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := makeLookupHandler(makeLookupInput(20))
		countAccepted := func(peer string) (n int) {
			for range 100 {
				rec := sendLookup(h, peer, "?service=dispatch")
				switch {
				case rec.Code == http.StatusOK:
					n++
				case rec.Code != http.StatusTooManyRequests || rec.Header().Get("Retry-After") != "1":
					t.Fatalf("status %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
				}
			}
			return n
		}
		if got := countAccepted("10.0.0.1:1"); got != 40 {
			t.Errorf("burst of %d, want 40", got)
		}
		time.Sleep(time.Second)
		if got := countAccepted("10.0.0.1:2"); got != 20 {
			t.Errorf("%d in the next second, want 20", got)
		}
		if got := countAccepted("10.0.0.2:1"); got != 40 {
			t.Errorf("another source has a burst of %d, want 40", got)
		}
	})
}

// TestLookupNewSnapshot checks that answers come from the current snapshot.
func TestLookupNewSnapshot(t *testing.T) {
	in := makeLookupInput(2)
	snap := snapshotter.Build(in)
	h := newLookupHandler(Config{Snapshot: func() *snapshotter.Snapshot { return snap }, Meter: meter.New()})
	_ = sendLookup(h, "10.0.0.1:1", "?service=dispatch")
	in.Hosts = in.Hosts[1:]
	snap = snapshotter.Build(in)
	var a LookupAnswer
	assertNoError(t, json.Unmarshal(sendLookup(h, "10.0.0.1:1", "?service=dispatch").Body.Bytes(), &a), "decode")
	if len(a.Hosts) != 1 || a.Hosts[0].Name != "host-1" {
		t.Errorf("got %+v", a.Hosts)
	}
}

// BenchmarkLookup measures the handler with 900 hosts, without a connection.
func BenchmarkLookup(b *testing.B) {
	h := makeLookupHandler(makeLookupInput(900))
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=dispatch", nil)
	rec := httptest.NewRecorder()
	b.ReportAllocs()
	for n := range b.N {
		r.RemoteAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 1).String()
		rec.Body.Reset()
		h.ServeHTTP(rec, r)
	}
	if rec.Code != http.StatusOK {
		b.Fatal(rec.Code)
	}
}

// BenchmarkLookupHTTP measures the CPU time of a look-up over a loopback connection,
// of client and server together, in cpu_us/op. A handler that writes a constant answer
// of the same size is measured for comparison.
func BenchmarkLookupHTTP(b *testing.B) {
	in := makeLookupInput(900)
	in.Config.Settings.LookupRatePerS = 1 << 30
	lookup := makeLookupHandler(in)
	answer := sendLookup(lookup, "10.0.0.1:1", "?service=dispatch").Body.Bytes()
	fixed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	for name, h := range map[string]http.Handler{"lookup": lookup, "fixed": fixed} {
		b.Run(name, func(b *testing.B) { benchmarkHTTP(b, h) })
	}
}

func benchmarkHTTP(b *testing.B, h http.Handler) {
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assertNoError(b, err, "dial")
	defer conn.Close()
	request := []byte("GET /v1/lookup?service=dispatch HTTP/1.1\r\nHost: x\r\n\r\n")
	buf := make([]byte, 1<<16)
	before := cpuTime()
	b.ResetTimer()
	for range b.N {
		_, err := conn.Write(request)
		assertNoError(b, err, "write")
		_, err = conn.Read(buf)
		assertNoError(b, err, "read")
	}
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/1000/float64(b.N), "cpu_us/op")
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

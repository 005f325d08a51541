package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"catkindyke/pkg/dialer"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/locator"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/runner"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// windowCount is the number of measurements of each point.
const windowCount = 5

// setup is one point of a sweep.
type setup struct{ hosts, workspaces, blocks, changes int }

// point holds the cost of one host in a setup; rates are per second.
type point struct {
	x                                                      float64
	sentBytes, messages, storeReads, storeWrites           float64
	cpuPercent, heapMB, blocksLoadSeconds, blocksSentBytes float64
	inForceMs, lookupUs                                    float64
	// stdErrs holds standard errors by metric name.
	stdErrs map[string]float64
}

const header = "        x  sent_B/s  messages/s  store_reads/s  store_writes/s  cpu_%  heap_MB  blocks_load_s  blocks_sent_B  in_force_ms  lookup_cpu_us  ±sent  ±messages  ±cpu"

func (p point) String() string {
	return fmt.Sprintf("%9.0f  %8.0f  %10.1f  %13.2f  %14.2f  %5.2f  %7.2f  %13.2f  %13.0f  %11.0f  %13.2f  %5.0f  %9.2f  %4.2f", p.x, p.sentBytes,
		p.messages, p.storeReads, p.storeWrites, p.cpuPercent, p.heapMB, p.blocksLoadSeconds, p.blocksSentBytes, p.inForceMs, p.lookupUs,
		p.stdErrs["sent between hosts"], p.stdErrs["messages"], p.stdErrs["cpu"])
}

// fleet runs hosts in one process that call each other with drpc over in-memory pipes.
type fleet struct {
	hosts          []*runner.Host
	everStarted    []*runner.Host
	byPeerAddress  map[string]*runner.Host
	regions        map[string]string
	platform       *emulator.Platform
	storeServer    *httptest.Server
	isolatedRegion atomic.Pointer[string]
	publisher      *publisher.Publisher
	bytesSent      atomic.Int64
	messages       atomic.Int64

	mu     sync.Mutex
	conns  map[[2]string]drpc.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

func placeOf(n int) (region, zone string) {
	region = fmt.Sprintf("region-%d", n%7)
	return region, fmt.Sprintf("%s-%c", region, 'a'+n/7%2)
}

func startFleet(ctx context.Context, s setup) (*fleet, error) {
	platform := emulator.NewPlatform(emulator.Budget{})
	f := &fleet{
		byPeerAddress: make(map[string]*runner.Host), conns: make(map[[2]string]drpc.Conn), regions: make(map[string]string),
		platform: platform, storeServer: httptest.NewServer(platform), hosts: make([]*runner.Host, 0, s.hosts),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.publisher = publisher.New(storeclient.New(storeclient.Config{BaseURL: f.storeServer.URL}))
	if err := f.writeConfig(ctx, s); err != nil {
		return f, err
	}
	for n := range s.hosts {
		name := hostName(n)
		f.regions[name], _ = placeOf(n)
		f.regions[name+":2"] = f.regions[name]
	}
	for n := range s.hosts {
		if err := f.start(n); err != nil {
			return f, err
		}
	}
	return f, f.waitForHosts(ctx, time.Minute, func(h *runner.Host) bool {
		return h.Snapshot().Ready() && len(h.Snapshot().Hosts()) == s.hosts
	})
}

func hostName(n int) string { return fmt.Sprintf("host-%d", n) }

// start starts host n. Starting a host again gives it a new incarnation.
func (f *fleet) start(n int) error {
	name := hostName(n)
	region, zone := placeOf(n)
	h, err := runner.Start(runner.Config{
		Name: name, Region: region, AvailabilityZone: zone, StoreURL: f.storeServer.URL, Loggers: logger.Discard(),
		CallerAddress: name + ":1", PeerAddress: name + ":2", BackendTransport: healthyTransport{},
		StoreTransport: &partitionTransport{http.DefaultTransport.(*http.Transport).Clone(), f, name},
		DialPeer: func(_ context.Context, address string) schema.DRPCPeerClient {
			return schema.NewDRPCPeerClient(&link{f, name, address})
		},
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n < len(f.hosts) {
		f.hosts[n] = h
		for pair, c := range f.conns {
			if pair[0] == name || pair[1] == name+":2" {
				_ = c.Close()
				delete(f.conns, pair)
			}
		}
	} else {
		f.hosts = append(f.hosts, h)
	}
	f.everStarted, f.byPeerAddress[name+":2"] = append(f.everStarted, h), h
	f.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: region, AvailabilityZone: zone, Address: name + ":1", PeerAddress: name + ":2",
	})
	return nil
}

// healthyTransport reports every backend server as live.
type healthyTransport struct{}

// RoundTrip implements http.RoundTripper.
func (healthyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"state":"live"}`)), Request: r}, nil
}

func (f *fleet) writeConfig(ctx context.Context, s setup) error {
	cfg := &schema.Config{
		Services: []*schema.Service{{Name: "dispatch", Slots: 3}, {Name: "survey", Slots: 3}},
		Settings: &schema.Settings{LookupRatePerS: 1 << 30},
	}
	for _, svc := range cfg.Services {
		svc.HealthPath = "/health"
		for n := range 14 {
			region, zone := placeOf(n)
			svc.BackendServers = append(svc.BackendServers, &schema.BackendServer{
				Name: fmt.Sprintf("%s-%d", svc.GetName(), n), Address: fmt.Sprintf("127.0.0.1:%d", 10000+n),
				Region: region, AvailabilityZone: zone,
			})
		}
	}
	keys := &schema.Keys{}
	for n := range s.workspaces {
		name := fmt.Sprintf("workspace-%d", n)
		cfg.Workspaces = append(cfg.Workspaces, &schema.Workspace{Name: name, RatePerS: 100, Burst: 200, Weight: 1})
		keys.Keys = append(keys.Keys, &schema.Key{Sha256: replicator.ContentHash([]byte(name)), Workspace: name, Label: "a"})
	}
	for n := range 110 {
		region, _ := placeOf(n)
		cfg.Sites = append(cfg.Sites, &schema.Site{Name: siteName(n), Region: region})
	}
	if _, err := f.publish(ctx, replicator.KindConfig, cfg, 0); err != nil {
		return err
	}
	_, err := f.publish(ctx, replicator.KindKeys, keys, 0)
	return err
}

func siteName(n int) string { return fmt.Sprintf("site-%03d", n) }

func (f *fleet) publish(ctx context.Context, kind string, msg proto.Message, version uint64) (uint64, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		return 0, err
	}
	head, err := f.publisher.Write(ctx, kind, value, version, "capacity")
	return head.GetVersion(), err
}

var errTimeout = errors.New("the fleet did not reach the expected state in time")

func (f *fleet) waitForHosts(ctx context.Context, limit time.Duration, ok func(*runner.Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, h := range f.hosts {
		for !ok(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %s", errTimeout, f.describeProgress())
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

// describeProgress summarises the state of the hosts for an error message.
func (f *fleet) describeProgress() string {
	ready, complete, owned := 0, 0, 0
	for _, h := range f.hosts {
		if h.Snapshot().Ready() {
			ready++
		}
		if len(h.Snapshot().Hosts()) == len(f.hosts) {
			complete++
		}
		owned += int(h.Meter().Get("owned_servers"))
	}
	return fmt.Sprintf("%d of %d hosts ready, %d see all, %d share slots in use, %d servers owned", ready, len(f.hosts), complete, usableShareSlots(f.hosts), owned)
}

func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		h.Kill()
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
}

// link is a connection from one host to another, opened on first use.
type link struct {
	f        *fleet
	from, to string
}

// conn returns the open connection between the two hosts, or opens one.
func (l *link) conn() (drpc.Conn, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	name := [2]string{l.from, l.to}
	if c := l.f.conns[name]; c != nil {
		select {
		case <-c.Closed():
			// A cancelled call closes its connection.
		default:
			return c, nil
		}
	}
	h := l.f.byPeerAddress[l.to]
	if h == nil || l.f.ctx.Err() != nil {
		return nil, errors.New("no such host")
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterPeer(mux, h.PeerHandler()); err != nil {
		return nil, err
	}
	clientEnd, serverEnd := net.Pipe()
	opts := drpcserver.Options{Manager: dialer.ManagerOptions()}
	go func() { _ = drpcserver.NewWithOptions(mux, opts).ServeOne(l.f.ctx, countingConn{serverEnd, l.f}) }()
	c := drpcconn.NewWithOptions(countingConn{clientEnd, l.f}, drpcconn.Options{Manager: dialer.ManagerOptions()})
	l.f.conns[name] = c
	return c, nil
}

// Invoke implements drpc.Conn. A connection carries one call at a time.
func (l *link) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c, err := l.conn()
	if err != nil {
		return err
	}
	l.f.messages.Add(1)
	if l.f.partitioned(l.from, l.to) {
		return errors.New("region cut off")
	}
	return c.Invoke(ctx, rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (l *link) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("streams are not supported")
}

// Close implements drpc.Conn.
func (l *link) Close() error { return nil }

// Closed implements drpc.Conn.
func (l *link) Closed() <-chan struct{} { return nil }

// Unblocked implements drpc.Conn.
func (l *link) Unblocked() <-chan struct{} { return nil }

// countingConn adds the bytes written to a pipe to the fleet's total.
type countingConn struct {
	net.Conn
	f *fleet
}

func (c countingConn) Write(b []byte) (int, error) {
	c.f.bytesSent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// measureFleet runs one setup and returns the cost of each host.
func measureFleet(ctx context.Context, s setup, duration time.Duration) (p point, err error) {
	before := heapMB()
	f, err := startFleet(ctx, s)
	defer f.close()
	if err != nil {
		return p, err
	}
	n := float64(s.hosts)
	if s.blocks > 0 {
		if err := f.loadBlocks(ctx, s, &p); err != nil {
			return p, err
		}
	}
	time.Sleep(2 * time.Second)
	// The windows run concurrently with the changes. A store watch ends after 10 s, so store
	// calls are counted over the whole time; the other values are medians of the windows.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan error, 1)
	first, start := f.counters(), time.Now()
	go func() { changed <- f.applyChanges(ctx, s, duration, &p) }()
	values := make(map[string][]float64)
	for range windowCount {
		before, cpu, at := f.counters(), cpuTime(), time.Now()
		time.Sleep(duration / windowCount)
		after, elapsed := f.counters(), time.Since(at).Seconds()
		values["sent between hosts"] = append(values["sent between hosts"], (after.bytes-before.bytes)/elapsed/n)
		values["messages"] = append(values["messages"], (after.messages-before.messages)/elapsed/n)
		values["cpu"] = append(values["cpu"], (cpuTime()-cpu).Seconds()*100/elapsed/n)
	}
	if err := <-changed; err != nil {
		return p, err
	}
	last, elapsed := f.counters(), time.Since(start).Seconds()
	p.storeReads, p.storeWrites = (last.reads-first.reads)/elapsed/n, (last.writes-first.writes)/elapsed/n
	p.stdErrs = make(map[string]float64)
	for name, v := range values {
		p.stdErrs[name] = medianErr(v)
	}
	p.sentBytes, p.messages, p.cpuPercent = median(values["sent between hosts"]), median(values["messages"]), median(values["cpu"])
	p.lookupUs = f.lookupCPU()
	p.heapMB = (heapMB() - before) / n
	return p, nil
}

// loadBlocks publishes a table of random /24 blocks and measures its distribution to the hosts.
func (f *fleet) loadBlocks(ctx context.Context, s setup, p *point) error {
	sites := make([]string, 110)
	for i := range sites {
		sites[i] = siteName(i)
	}
	r, seen := rand.New(rand.NewPCG(7, 11)), make(map[uint32]bool)
	blocks := make([]locator.Block, 0, s.blocks)
	for len(blocks) < s.blocks {
		a := r.Uint32() >> 8
		if !seen[a] {
			seen[a] = true
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 16), byte(a >> 8), byte(a)}), 24)
			blocks = append(blocks, locator.Block{Prefix: prefix, Site: uint16(r.IntN(len(sites)))})
		}
	}
	blocks, err := locator.Sort(blocks)
	if err != nil {
		return err
	}
	start := f.bytesSent.Load()
	res, err := f.publisher.WriteBlocks(ctx, &schema.BlocksHead{}, sites, blocks, "capacity")
	if err != nil {
		return err
	}
	at := time.Now()
	err = f.waitForHosts(ctx, 2*time.Minute, func(h *runner.Host) bool { return h.Snapshot().Blocks().Version() == res.Head.GetVersion() })
	p.blocksLoadSeconds = time.Since(at).Seconds()
	p.blocksSentBytes = float64(f.bytesSent.Load()-start) / float64(s.hosts)
	return err
}

// applyChanges publishes changes of the keys document for the given duration.
func (f *fleet) applyChanges(ctx context.Context, s setup, duration time.Duration, p *point) error {
	if s.changes == 0 {
		time.Sleep(duration)
		return nil
	}
	end := time.Now().Add(duration)
	tick := time.NewTicker(time.Second / time.Duration(s.changes))
	defer tick.Stop()
	version, written := uint64(1), 0
	for time.Now().Before(end) {
		<-tick.C
		keys := &schema.Keys{}
		for n := range s.workspaces + written%2 {
			name := fmt.Sprintf("workspace-%d-%d", n, written)
			keys.Keys = append(keys.Keys, &schema.Key{Sha256: replicator.ContentHash([]byte(name)), Workspace: name, Label: "a"})
		}
		at := time.Now()
		var err error
		if version, err = f.publish(ctx, replicator.KindKeys, keys, version); err != nil {
			return err
		}
		if err := f.waitForHosts(ctx, 14*time.Second, func(h *runner.Host) bool { return h.Snapshot().Versions()[replicator.KindKeys] >= version }); err != nil {
			return err
		}
		p.inForceMs = max(p.inForceMs, float64(time.Since(at).Milliseconds()))
		written++
	}
	return nil
}

// lookupCPU returns the CPU time of one look-up in the handler, in µs.
func (f *fleet) lookupCPU() float64 {
	const calls = 20_000
	h := f.hosts[0].CallerHandler()
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup?service=dispatch", nil)
	rec := httptest.NewRecorder()
	idle := cpuTime()
	time.Sleep(200 * time.Millisecond)
	idle = cpuTime() - idle
	start, at := cpuTime(), time.Now()
	for n := range calls {
		r.RemoteAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(n >> 8), byte(n), byte(n >> 4)}), 1).String()
		rec.Body.Reset()
		h.ServeHTTP(rec, r)
	}
	background := idle.Seconds() / 0.2 * time.Since(at).Seconds()
	return ((cpuTime() - start).Seconds() - background) * 1e6 / calls
}

package commander

import (
	"context"
	_ "embed"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/runner"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

//go:embed demo_base.yaml
var demoBase []byte

// demoBlocks divides the loopback network among the demo's sites.
const demoBlocks = `127.0.0.0/10   roskilde
127.64.0.0/10  aarhus
127.128.0.0/9  odense
`

// errDemoChecksFailed is returned when the summary of the generated load has faults.
var errDemoChecksFailed = errors.New("the demo received wrong answers")

const (
	// demoServersPerZone is the number of backend servers of each service in each availability zone.
	demoServersPerZone = 2
	// demoStartTimeout limits the wait until all hosts are ready.
	demoStartTimeout = 30 * time.Second
)

func (c *Commander) demoCommand() *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	duration := fs.Duration("duration", 0, "send traffic for this time and exit, as a duration such as 5s; 0 runs until interrupted")
	hosts := fs.Int("hosts", 8, "number of entry hosts")
	level := fs.String("log-level", "error", "lowest level logged: debug, info, warn or error")
	return c.buildCommand(ffcli.Command{
		Name: "demo", ShortUsage: "catkindyke demo [flags]",
		ShortHelp: "Runs a whole deployment in one process on the loopback interface.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *hosts < 1 || *duration < 0 {
				return usageError("demo takes no arguments, at least 1 host and no negative duration")
			}
			d, err := startDemo(ctx, *hosts, *level, c)
			if err != nil {
				return err
			}
			defer d.stop()
			return d.run(ctx, c, *duration)
		},
	})
}

// demo is a deployment in one process.
type demo struct {
	platform       *emulator.Platform
	storeURL       string
	hosts          []*runner.Host
	backendServers map[string]*emulator.Backend
	httpServers    []*http.Server
	workspaceKeys  map[string]string
	cfg            *schema.Config
}

func startDemo(ctx context.Context, hosts int, level string, c *Commander) (*demo, error) {
	d := &demo{
		platform:       emulator.NewPlatform(emulator.Budget{ReadsPerSecond: 2000, WritesPerSecond: 300}),
		backendServers: make(map[string]*emulator.Backend), workspaceKeys: make(map[string]string),
	}
	cfg, err := parser.Parse("demo_base.yaml", demoBase)
	if err != nil {
		return nil, err
	}
	d.cfg = cfg
	address, err := d.serveOnFreePort(d.platform)
	if err != nil {
		return nil, err
	}
	d.storeURL = "http://" + address
	if err := d.startBackendServers(); err != nil {
		return nil, err
	}
	if err := d.publishDocuments(ctx); err != nil {
		return nil, err
	}
	if err := d.startHosts(hosts, level, c); err != nil {
		return nil, err
	}
	return d, d.waitUntilReady(ctx)
}

// serveOnFreePort starts an HTTP server on a free port and returns its address.
func (d *demo) serveOnFreePort(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	d.httpServers = append(d.httpServers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *demo) startBackendServers() error {
	for _, svc := range d.cfg.GetServices() {
		for _, region := range d.cfg.GetRegions() {
			for _, zone := range region.GetAvailabilityZones() {
				for n := range demoServersPerZone {
					name := fmt.Sprintf("%s-%s-%d", svc.GetName(), zone, n)
					b := emulator.NewBackend(emulator.BackendConfig{
						Name: name, Slots: int(svc.GetSlots()),
						ServiceTime: time.Duration(svc.GetServiceTimeMs()) * time.Millisecond,
					})
					address, err := d.serveOnFreePort(b)
					if err != nil {
						return err
					}
					d.backendServers[name] = b
					svc.BackendServers = append(svc.BackendServers, &schema.BackendServer{
						Name: name, Address: address, Region: region.GetName(), AvailabilityZone: zone,
					})
				}
			}
		}
	}
	return nil
}

// publishDocuments writes the configuration, one key per workspace and the client
// blocks to the store.
func (d *demo) publishDocuments(ctx context.Context) error {
	p := publisher.New(storeclient.New(storeclient.Config{BaseURL: d.storeURL}))
	value, err := encodeConfig(d.cfg)
	if err != nil {
		return err
	}
	if _, err := p.Write(ctx, replicator.KindConfig, value, 0, "demo"); err != nil {
		return err
	}
	for _, w := range d.cfg.GetWorkspaces() {
		key, _, err := grantKey(ctx, p, w.GetName(), "demo")
		if err != nil {
			return err
		}
		d.workspaceKeys[w.GetName()] = key
	}
	_, err = applyBlocks(ctx, p, "demo", strings.NewReader(demoBlocks))
	return err
}

func (d *demo) startHosts(hostCount int, level string, c *Commander) error {
	type location struct{ region, zone string }
	var locations []location
	for _, region := range d.cfg.GetRegions() {
		for _, zone := range region.GetAvailabilityZones() {
			locations = append(locations, location{region.GetName(), zone})
		}
	}
	for n := range hostCount {
		loc := locations[n%len(locations)]
		name := fmt.Sprintf("host-%d", n)
		log, err := logger.New(logger.Config{Output: c.stderr, Level: level, Host: name})
		if err != nil {
			return usageError("%v", err)
		}
		cfg := runner.Config{Name: name, Region: loc.region, AvailabilityZone: loc.zone, StoreURL: d.storeURL, Loggers: log}
		const anyPort = "127.0.0.1:0"
		if err := listenAll(&cfg, anyPort, anyPort, anyPort); err != nil {
			return err
		}
		d.platform.SetHost(storeclient.Host{
			Name: name, State: storeclient.HostLive, Region: loc.region, AvailabilityZone: loc.zone,
			Address: cfg.CallerListener.Addr().String(), PeerAddress: cfg.PeerListener.Addr().String(),
		})
		host, err := runner.Start(cfg)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, host)
	}
	return nil
}

// waitUntilReady waits until each host has the configuration, keys, blocks and share
// slots, receives reports of all others, and serves a request. The last requires a
// host that owns slots.
func (d *demo) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	for _, h := range d.hosts {
		for !d.isReady(h) || !d.answersRequest(ctx, h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", h.Snapshot().Self().Name, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (d *demo) isReady(h *runner.Host) bool {
	s := h.Snapshot()
	return s.Ready() && s.Versions()[replicator.KindKeys] >= uint64(len(d.workspaceKeys)) && len(s.Hosts()) == len(d.hosts) &&
		h.Lease().Slots > 0 && s.Blocks().Version() > 0
}

// answersRequest reports whether a host serves a request with a key.
func (d *demo) answersRequest(ctx context.Context, h *runner.Host) bool {
	target := "http://" + h.CallerAddress() + "/" + d.cfg.GetServices()[0].GetName() + "/probe"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	req.Header.Set(authenticator.KeyHeader, d.workspaceKeys[d.cfg.GetWorkspaces()[0].GetName()])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *demo) run(ctx context.Context, c *Commander, duration time.Duration) error {
	first := d.hosts[0]
	fmt.Fprintf(c.stdout, "lookup: http://%s/v1/lookup?service=dispatch\n", first.CallerAddress())
	fmt.Fprintf(c.stdout, "operator: %s\nstore: %s\n", first.OperatorAddress(), d.storeURL)
	workspace := d.cfg.GetWorkspaces()[0].GetName()
	fmt.Fprintf(c.stdout, "curl -i -H 'Catkindyke-Key: %s' http://%s/dispatch/routes\n", d.workspaceKeys[workspace], first.CallerAddress())
	if duration == 0 {
		<-ctx.Done()
		return nil
	}
	summary := newLoadGenerator(d).run(ctx, duration)
	fmt.Fprint(c.stdout, summary)
	if summary.hasFaults() {
		return errDemoChecksFailed
	}
	return nil
}

func (d *demo) stop() {
	for _, h := range d.hosts {
		h.Kill()
	}
	for _, s := range d.httpServers {
		_ = s.Close()
	}
}

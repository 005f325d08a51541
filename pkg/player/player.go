// Package player runs scripted scenarios: real hosts over an in-memory network
// with an emulated platform and backend servers, in virtual time.
package player

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/runner"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

const storeURL = "http://store:1"

// sampleInterval is the time between two looks at each host's versions.
const sampleInterval = 100 * time.Millisecond

// readyLimit bounds the wait for the hosts of a deployment.
const readyLimit = 30 * time.Second

// Player is one deployment and what happened to it. It must be used within a
// bubble of testing/synctest.
type Player struct {
	// ConfigDir holds one directory of configuration files for each deployment.
	ConfigDir string
	// Log receives the lines of commands that report something.
	Log func(string)

	start    time.Time
	journal  *Journal
	network  *emulator.Network
	platform *emulator.Platform
	pub      *publisher.Publisher
	cfg      *schema.Config
	delay    time.Duration
	rng      *rand.Rand
	cancel   context.CancelFunc
	ctx      context.Context

	// mu guards the fields below, which commands and traffic share.
	mu       sync.Mutex
	hosts    map[string]*playedHost
	backends map[string]*backend
	keys     map[string]map[string]string
	cuts     []cut
	faults   emulator.Faults
	callers  map[string]*caller
	results  []result
	resetAt  time.Duration
	// lateness is how long callers use look-up answers beyond their age.
	lateness  time.Duration
	nextTry   int
	conflicts int
	// accepted holds the newest version of each document that the store accepted.
	accepted   map[string]uint64
	operations sync.WaitGroup
}

// playedHost is a host with its place and whether it takes calls.
type playedHost struct {
	*runner.Host
	place  emulator.Place
	cancel context.CancelFunc
	ctx    context.Context
	up     bool
}

// New returns a player without a deployment.
func New(configDir string, log func(string)) *Player {
	ctx, cancel := context.WithCancel(context.Background())
	return &Player{
		ConfigDir: configDir, Log: log, start: time.Now(), journal: newJournal(),
		hosts: make(map[string]*playedHost), backends: make(map[string]*backend),
		keys: make(map[string]map[string]string), callers: make(map[string]*caller),
		accepted: make(map[string]uint64), rng: rand.New(rand.NewPCG(1, 1)), ctx: ctx, cancel: cancel,
	}
}

// now returns the time since the start of the scenario.
func (p *Player) now() time.Duration { return time.Since(p.start) }

// Deploy starts the platform, the backend servers and the hosts of a deployment.
func (p *Player) Deploy(name string, hosts int) error {
	if p.cfg != nil {
		return errors.New("a scenario has one deployment")
	}
	cfg, err := p.load(name)
	if err != nil {
		return err
	}
	p.cfg, p.delay = cfg, clientDelays[name]
	p.platform = emulator.NewPlatform(emulator.Budget{ReadsPerSecond: 2000, WritesPerSecond: 300})
	p.network = emulator.NewNetwork(emulator.NetworkConfig{
		SameZoneDelay: 100 * time.Microsecond, SameRegionDelay: 500 * time.Microsecond, CrossRegionDelay: 20 * time.Millisecond,
	})
	at := p.storePlace()
	p.network.Listen("store:1", at, p.platform)
	p.pub = publisher.New(storeclient.New(storeclient.Config{BaseURL: storeURL, Transport: p.network.Transport(operatorPlace(at))}))
	p.startBackends()
	if err := p.publish(); err != nil {
		return err
	}
	for n := range hosts {
		if err := p.startHost(fmt.Sprintf("host-%d", n), p.places()[n%len(p.places())]); err != nil {
			return err
		}
	}
	go p.sample()
	return p.waitReady()
}

// clientDelays are the one-way delays between callers and hosts (section 1.3).
var clientDelays = map[string]time.Duration{"sovig": 8 * time.Millisecond, "bollard": 3 * time.Millisecond}

// storePlace puts the store in the first region of the configuration.
func (p *Player) storePlace() emulator.Place {
	at := p.places()[0]
	at.Host = "store"
	return at
}

// operatorPlace is beside the store, so that cuts of hosts leave operators connected.
func operatorPlace(store emulator.Place) emulator.Place {
	store.Host = "operator"
	return store
}

// places returns one place for each availability zone, the regions in turn.
func (p *Player) places() []emulator.Place {
	var out []emulator.Place
	for n := 0; ; n++ {
		before := len(out)
		for _, r := range p.cfg.GetRegions() {
			if n < len(r.GetAvailabilityZones()) {
				out = append(out, emulator.Place{Region: r.GetName(), AvailabilityZone: r.GetAvailabilityZones()[n]})
			}
		}
		if len(out) == before {
			return out
		}
	}
}

func (p *Player) startHost(name string, at emulator.Place) error {
	at.Host = name
	ctx, cancel := context.WithCancel(context.Background())
	h, err := runner.Start(runner.Config{
		Name: name, Region: at.Region, AvailabilityZone: at.AvailabilityZone, StoreURL: storeURL,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Loggers: logger.Discard(),
		StoreTransport: p.network.Transport(at), BackendTransport: stamped{p.network.Transport(at), at.Region},
		DialPeer: p.network.PeerDialer(at),
		OnAdmit:  func(workspace string) { record(p.journal, &p.journal.admissions, Admission{p.now(), workspace}) },
		Seeds:    p.seeds(name),
	})
	if err != nil {
		cancel()
		return err
	}
	p.mu.Lock()
	p.hosts[name] = &playedHost{Host: h, place: at, ctx: ctx, cancel: cancel, up: true}
	p.mu.Unlock()
	p.journal.mu.Lock()
	delete(p.journal.stops, name)
	p.journal.mu.Unlock()
	p.network.ListenPeer(name+":2", at, h.PeerHandler())
	p.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: at.Region, AvailabilityZone: at.AvailabilityZone,
		Address: name + ":1", PeerAddress: name + ":2",
	})
	return nil
}

// seeds are the first hosts, which operators put into the settings of each host.
func (p *Player) seeds(name string) []string {
	var out []string
	for _, seed := range []string{"host-0", "host-1", "host-2", "host-3"} {
		if seed != name {
			out = append(out, seed+":2")
		}
	}
	return out
}

// stamped adds the entry host's region to requests for backend servers.
type stamped struct {
	next   http.RoundTripper
	region string
}

const entryRegionHeader = "Test-Entry-Region"

// RoundTrip implements http.RoundTripper.
func (s stamped) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(entryRegionHeader, s.region)
	return s.next.RoundTrip(r)
}

func (p *Player) host(name string) (*playedHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[name]
	if h == nil {
		return nil, fmt.Errorf("no host %q", name)
	}
	return h, nil
}

// live returns the running hosts in order of names.
func (p *Player) live() []*playedHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*playedHost
	for _, h := range p.hosts {
		if h.up {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *playedHost) int { return cmp.Compare(a.place.Host, b.place.Host) })
	return out
}

// waitReady waits until each live host is ready and hears all others, and
// then until each has its share of the rates.
func (p *Player) waitReady() error {
	for begin := p.now(); ; time.Sleep(50 * time.Millisecond) {
		list := p.live()
		ready := !slices.ContainsFunc(list, func(h *playedHost) bool {
			s := h.Snapshot()
			return !s.Ready() || len(s.Hosts()) != len(list)
		})
		if ready {
			return nil
		}
		if p.now()-begin > readyLimit {
			return fmt.Errorf("not all hosts are ready after %s", readyLimit)
		}
	}
}

// sample follows the versions of each host until the end of the scenario.
func (p *Player) sample() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	last := make(map[string]Sample)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range p.live() {
			s := h.Snapshot()
			p.journal.addSample(Sample{At: p.now(), Host: h.place.Host, Ready: s.Ready(), Versions: s.Versions()}, last)
		}
	}
}

// Kill ends a host at once; its connections are cut.
func (p *Player) Kill(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	h.up = false
	p.mu.Unlock()
	p.network.Close(name + ":2")
	h.cancel()
	h.Host.Kill()
	return nil
}

// Stop begins a planned stop. The process manager takes the host off the
// platform's list when it has ended.
func (p *Player) Stop(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	p.journal.mu.Lock()
	p.journal.stops[name] = p.now()
	p.journal.mu.Unlock()
	p.operations.Go(func() {
		// The in-memory network has no listener to shut down, so Stop does not
		// wait for requests in flight; they end on their own.
		_ = h.Host.Stop(p.ctx)
		p.mu.Lock()
		h.up = false
		p.mu.Unlock()
		p.network.Close(name + ":2")
		p.platform.RemoveHost(name)
	})
	return nil
}

// Restart starts a host that was killed or stopped under its old name.
func (p *Player) Restart(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	if h.up {
		return fmt.Errorf("%s is running", name)
	}
	return p.startHost(name, h.place)
}

// Close ends everything.
func (p *Player) Close() {
	p.cancel()
	for _, h := range p.live() {
		_ = p.Kill(h.place.Host)
	}
	p.operations.Wait()
}

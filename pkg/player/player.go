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

// sampleInterval is the time between two samples of each host's versions.
const sampleInterval = 100 * time.Millisecond

// readyTimeout limits how long a deployment waits for its hosts to be ready.
const readyTimeout = 30 * time.Second

// Player runs one scenario: a deployment, its faults, its traffic and a record of events.
// It must be used within a testing/synctest bubble.
type Player struct {
	// ConfigDir contains a directory of configuration files for each deployment.
	ConfigDir string
	// Log receives the output lines of commands.
	Log func(string)

	startTime   time.Time
	journal     *Journal
	network     *emulator.Network
	platform    *emulator.Platform
	pub         *publisher.Publisher
	cfg         *schema.Config
	callerDelay time.Duration
	rng         *rand.Rand
	cancel      context.CancelFunc
	ctx         context.Context

	// mu guards the fields below, which commands and traffic use concurrently.
	mu          sync.Mutex
	hosts       map[string]*scenarioHost
	backends    map[string]*backend
	keys        map[string]map[string]string
	partitions  []partition
	storeFaults emulator.Faults
	callers     map[string]*caller
	results     []result
	resetAt     time.Duration
	// lookupOveruse is how long callers use look-up responses beyond their TTL.
	lookupOveruse time.Duration
	attemptCount  int
	conflicts     int
	// acceptedVersions holds the newest version of each document that the store accepted.
	acceptedVersions map[string]uint64
	operations       sync.WaitGroup
}

// scenarioHost is a host of the deployment and whether it is running.
type scenarioHost struct {
	*runner.Host
	place   emulator.Place
	cancel  context.CancelFunc
	ctx     context.Context
	running bool
}

// New returns a Player without a deployment; see Player.Deploy.
func New(configDir string, log func(string)) *Player {
	ctx, cancel := context.WithCancel(context.Background())
	return &Player{
		ConfigDir: configDir, Log: log, startTime: time.Now(), journal: newJournal(),
		hosts: make(map[string]*scenarioHost), backends: make(map[string]*backend),
		keys: make(map[string]map[string]string), callers: make(map[string]*caller),
		acceptedVersions: make(map[string]uint64), rng: rand.New(rand.NewPCG(1, 1)), ctx: ctx, cancel: cancel,
	}
}

// elapsed returns the time since the start of the scenario.
func (p *Player) elapsed() time.Duration { return time.Since(p.startTime) }

// Deploy starts the platform, the backend servers and the hosts of a deployment.
func (p *Player) Deploy(name string, hosts int) error {
	if p.cfg != nil {
		return errors.New("deploy may be used only once in a scenario")
	}
	cfg, err := p.loadConfig(name)
	if err != nil {
		return err
	}
	p.cfg, p.callerDelay = cfg, callerDelays[name]
	p.platform = emulator.NewPlatform(emulator.Budget{ReadsPerSecond: 2000, WritesPerSecond: 300})
	p.network = emulator.NewNetwork(emulator.NetworkConfig{
		SameZoneDelay: 100 * time.Microsecond, SameRegionDelay: 500 * time.Microsecond, CrossRegionDelay: 20 * time.Millisecond,
	})
	place := p.storePlace()
	p.network.Listen("store:1", place, p.platform)
	p.pub = publisher.New(storeclient.New(storeclient.Config{BaseURL: storeURL, Transport: p.network.Transport(operatorPlace(place))}))
	p.startBackends()
	if err := p.publishConfigAndKeys(); err != nil {
		return err
	}
	for n := range hosts {
		if err := p.startHost(fmt.Sprintf("host-%d", n), p.zonePlaces()[n%len(p.zonePlaces())]); err != nil {
			return err
		}
	}
	go p.sampleVersions()
	return p.waitUntilReady()
}

// callerDelays holds the one-way delay between callers and hosts of each deployment
// (section 1.3).
var callerDelays = map[string]time.Duration{"sovig": 8 * time.Millisecond, "bollard": 3 * time.Millisecond}

// storePlace returns the place of the store, in the first region of the configuration.
func (p *Player) storePlace() emulator.Place {
	place := p.zonePlaces()[0]
	place.Host = "store"
	return place
}

// operatorPlace returns a place in the zone of the store, so that partitions of hosts
// leave operators connected.
func operatorPlace(store emulator.Place) emulator.Place {
	store.Host = "operator"
	return store
}

// zonePlaces returns one place for each availability zone, alternating between regions.
func (p *Player) zonePlaces() []emulator.Place {
	var out []emulator.Place
	for n := 0; ; n++ {
		oldLen := len(out)
		for _, r := range p.cfg.GetRegions() {
			if n < len(r.GetAvailabilityZones()) {
				out = append(out, emulator.Place{Region: r.GetName(), AvailabilityZone: r.GetAvailabilityZones()[n]})
			}
		}
		if len(out) == oldLen {
			return out
		}
	}
}

func (p *Player) startHost(name string, place emulator.Place) error {
	place.Host = name
	ctx, cancel := context.WithCancel(context.Background())
	h, err := runner.Start(runner.Config{
		Name: name, Region: place.Region, AvailabilityZone: place.AvailabilityZone, StoreURL: storeURL,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Loggers: logger.Discard(),
		StoreTransport: p.network.Transport(place), BackendTransport: entryRegionTransport{p.network.Transport(place), place.Region},
		DialPeer: p.network.PeerDialer(place),
		OnAdmit:  func(workspace string) { record(p.journal, &p.journal.admissions, Admission{p.elapsed(), workspace}) },
		Seeds:    p.seedAddresses(name),
	})
	if err != nil {
		cancel()
		return err
	}
	p.mu.Lock()
	p.hosts[name] = &scenarioHost{Host: h, place: place, ctx: ctx, cancel: cancel, running: true}
	p.mu.Unlock()
	p.journal.mu.Lock()
	delete(p.journal.stopStartedAt, name)
	p.journal.mu.Unlock()
	p.network.ListenPeer(name+":2", place, h.PeerHandler())
	p.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: place.Region, AvailabilityZone: place.AvailabilityZone,
		Address: name + ":1", PeerAddress: name + ":2",
	})
	return nil
}

// seedAddresses returns the peer addresses that operators configure for a host: those of
// the first four hosts, except its own.
func (p *Player) seedAddresses(name string) []string {
	var out []string
	for _, seed := range []string{"host-0", "host-1", "host-2", "host-3"} {
		if seed != name {
			out = append(out, seed+":2")
		}
	}
	return out
}

// entryRegionTransport adds a header with the entry host's region to requests for backend
// servers.
type entryRegionTransport struct {
	next   http.RoundTripper
	region string
}

const entryRegionHeader = "Test-Entry-Region"

// RoundTrip implements http.RoundTripper.
func (t entryRegionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(entryRegionHeader, t.region)
	return t.next.RoundTrip(r)
}

func (p *Player) host(name string) (*scenarioHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[name]
	if h == nil {
		return nil, fmt.Errorf("host %q does not exist", name)
	}
	return h, nil
}

// runningHosts returns the running hosts sorted by name.
func (p *Player) runningHosts() []*scenarioHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*scenarioHost
	for _, h := range p.hosts {
		if h.running {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *scenarioHost) int { return cmp.Compare(a.place.Host, b.place.Host) })
	return out
}

// waitUntilReady waits until each running host is ready and knows all the others.
func (p *Player) waitUntilReady() error {
	for start := p.elapsed(); ; time.Sleep(50 * time.Millisecond) {
		hosts := p.runningHosts()
		ready := !slices.ContainsFunc(hosts, func(h *scenarioHost) bool {
			s := h.Snapshot()
			return !s.Ready() || len(s.Hosts()) != len(hosts)
		})
		if ready {
			return nil
		}
		if p.elapsed()-start > readyTimeout {
			return fmt.Errorf("not all hosts are ready after %s", readyTimeout)
		}
	}
}

// sampleVersions records the versions of each running host until the scenario ends.
func (p *Player) sampleVersions() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	last := make(map[string]Sample)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		for _, h := range p.runningHosts() {
			s := h.Snapshot()
			p.journal.addSampleIfChanged(Sample{Time: p.elapsed(), Host: h.place.Host, Ready: s.Ready(), Versions: s.Versions()}, last)
		}
	}
}

// Kill ends a host immediately and interrupts its connections.
func (p *Player) Kill(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	h.running = false
	p.mu.Unlock()
	p.network.Close(name + ":2")
	h.cancel()
	h.Host.Kill()
	return nil
}

// Stop begins a planned stop. Once the host has ended it is removed from the platform's
// list, as a process manager would do.
func (p *Player) Stop(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	p.journal.mu.Lock()
	p.journal.stopStartedAt[name] = p.elapsed()
	p.journal.mu.Unlock()
	p.operations.Go(func() {
		// The in-memory network has no listener to shut down, so Stop does not
		// wait for in-flight requests; they still run to their end.
		_ = h.Host.Stop(p.ctx)
		p.mu.Lock()
		h.running = false
		p.mu.Unlock()
		p.network.Close(name + ":2")
		p.platform.RemoveHost(name)
	})
	return nil
}

// Restart starts a killed or stopped host again under its old name.
func (p *Player) Restart(name string) error {
	h, err := p.host(name)
	if err != nil {
		return err
	}
	if h.running {
		return fmt.Errorf("host %s is already running", name)
	}
	return p.startHost(name, h.place)
}

// Close kills all hosts and waits until all started operations have ended.
func (p *Player) Close() {
	p.cancel()
	for _, h := range p.runningHosts() {
		_ = p.Kill(h.place.Host)
	}
	p.operations.Wait()
}

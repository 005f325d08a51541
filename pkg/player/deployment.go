package player

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/merger"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// callerProxyCIDR contains the remote address of all calls to a host. It is a trusted
// proxy, so that hosts take the address of the caller from X-Forwarded-For.
const callerProxyCIDR = "127.0.0.0/8"

// loadConfig merges the base file and all overlays of a deployment.
func (p *Player) loadConfig(name string) (*schema.Config, error) {
	dir := filepath.Join(p.ConfigDir, name)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("unknown deployment %q: %w", name, err)
	}
	var base *parser.File
	var overlays []*parser.File
	for _, e := range entries {
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		f, err := parser.ParseFile(e.Name(), content)
		if err != nil {
			return nil, err
		}
		if e.Name() == "base.yaml" {
			base = f
		} else {
			overlays = append(overlays, f)
		}
	}
	merged, err := merger.Merge(base, overlays...)
	if err != nil {
		return nil, err
	}
	cfg := merged.Config()
	cfg.Settings.TrustedProxies = append(cfg.Settings.TrustedProxies, callerProxyCIDR)
	return cfg, nil
}

// publishConfigAndKeys publishes the configuration and, for each workspace, one key with
// the label "a".
func (p *Player) publishConfigAndKeys() error {
	if err := p.writeConfig(p.cfg, 0); err != nil {
		return err
	}
	for _, w := range p.cfg.GetWorkspaces() {
		p.recordRateLimit(w)
		if err := p.GrantKey(w.GetName(), "a"); err != nil {
			return err
		}
	}
	for _, l := range p.cfg.GetLinks() {
		for _, s := range p.cfg.GetServices() {
			perSecond := float64(l.GetShiftCapPerS())
			p.journal.shiftCaps[shiftCapName(s.GetName(), l.GetFrom(), l.GetTo())] = RateLimit{PerSecond: perSecond, Burst: perSecond}
		}
	}
	return nil
}

func (p *Player) recordRateLimit(w *schema.Workspace) {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	validFrom := p.elapsed()
	if len(p.journal.rateLimits[w.GetName()]) == 0 {
		validFrom = 0
	}
	p.journal.rateLimits[w.GetName()] = append(p.journal.rateLimits[w.GetName()], RateLimit{validFrom, w.GetRatePerS(), w.GetBurst()})
}

func (p *Player) writeConfig(cfg *schema.Config, expectedVersion uint64) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(cfg)
	if err != nil {
		return err
	}
	head, err := p.pub.Write(p.ctx, replicator.KindConfig, value, expectedVersion, "scenario")
	p.recordAcceptedVersion(replicator.KindConfig, head)
	return err
}

// recordAcceptedVersion records a version that the store accepted; head is nil if it did not.
func (p *Player) recordAcceptedVersion(kind string, head *schema.Head) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedVersions[kind] = max(p.acceptedVersions[kind], head.GetVersion())
}

// ApplyConfig replaces the workspaces that a file names; it ignores other sections.
func (p *Player) ApplyConfig(name string, content []byte) error {
	change, err := parser.Parse(name, content)
	if err != nil {
		return err
	}
	head, current, err := p.pub.Read(p.ctx, replicator.KindConfig)
	if err != nil {
		return err
	}
	cfg := &schema.Config{}
	if err := proto.Unmarshal(current, cfg); err != nil {
		return err
	}
	for _, w := range change.GetWorkspaces() {
		i := slices.IndexFunc(cfg.Workspaces, func(old *schema.Workspace) bool { return old.GetName() == w.GetName() })
		if i < 0 {
			return fmt.Errorf("workspace %q does not exist", w.GetName())
		}
		cfg.Workspaces[i] = w
	}
	if err := p.writeConfig(cfg, head.GetVersion()); err != nil {
		return err
	}
	for _, w := range change.GetWorkspaces() {
		p.recordRateLimit(w)
	}
	return nil
}

// GrantKey adds a key to the keys document.
func (p *Player) GrantKey(workspace, label string) error {
	key := "key-of-" + workspace + "-" + label
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindKeys, "grant "+workspace, func(keys *schema.Keys) error {
		keys.Keys = append(keys.Keys, &schema.Key{Sha256: authenticator.Hash(key), Workspace: workspace, Label: label})
		return nil
	})
	p.recordAcceptedVersion(replicator.KindKeys, head)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys[workspace] == nil {
		p.keys[workspace] = make(map[string]string)
	}
	p.keys[workspace][label] = key
	return err
}

// RevokeKey removes a key. revocationBound counts from the time at which the store
// accepted the change.
func (p *Player) RevokeKey(workspace, label string) error {
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindKeys, "withdraw "+workspace, func(keys *schema.Keys) error {
		keys.Keys = slices.DeleteFunc(keys.Keys, func(k *schema.Key) bool {
			return k.GetWorkspace() == workspace && k.GetLabel() == label
		})
		return nil
	})
	p.recordAcceptedVersion(replicator.KindKeys, head)
	if err != nil {
		return err
	}
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	p.journal.revokedAt["key-of-"+workspace+"-"+label] = p.elapsed()
	return nil
}

// Drain adds a target to the drains document, or removes it if add is false.
func (p *Player) Drain(kind, name string, add bool) error {
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindDrains, "drain "+name, func(d *schema.Drains) error {
		targets := map[string]*[]string{
			"host": &d.Hosts, "backend": &d.BackendServers, "zone": &d.AvailabilityZones,
			"region": &d.Regions, "lost": &d.LostHosts,
		}[kind]
		if targets == nil {
			return fmt.Errorf("unknown drain target kind %q", kind)
		}
		*targets = slices.DeleteFunc(*targets, func(target string) bool { return target == name })
		if add {
			*targets = append(*targets, name)
		}
		return nil
	})
	p.recordAcceptedVersion(replicator.KindDrains, head)
	if err == nil && add {
		p.recordDrain(kind, name)
	}
	return err
}

// recordDrain records that the affected backend servers are draining.
func (p *Player) recordDrain(kind, name string) {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	for _, b := range p.backends {
		if kind == "backend" && b.server.GetName() == name || kind == "zone" && b.server.GetAvailabilityZone() == name ||
			kind == "region" && b.server.GetRegion() == name {
			p.journal.drainStartedAt[b.server.GetName()] = p.elapsed()
		}
	}
}

// backend wraps an emulated backend server to record requests and inject faults.
type backend struct {
	player   *Player
	server   *schema.BackendServer
	service  *schema.Service
	slots    int
	emulated *emulator.Backend

	// The fields below are guarded by player.mu.

	inFlight       int
	extraDelay     time.Duration
	requestsToHang int
	healthSilent   bool
}

func (p *Player) startBackends() {
	for _, svc := range p.cfg.GetServices() {
		for _, s := range svc.GetBackendServers() {
			slots := int(svc.GetSlots())
			if s.GetSlots() > 0 {
				slots = int(s.GetSlots())
			}
			b := &backend{player: p, server: s, service: svc, slots: slots, emulated: emulator.NewBackend(emulator.BackendConfig{
				Name: s.GetName(), Slots: slots, ServiceTime: time.Duration(svc.GetServiceTimeMs()) * time.Millisecond,
			})}
			p.backends[s.GetName()] = b
			p.network.Listen(s.GetAddress(), emulator.Place{
				Region: s.GetRegion(), AvailabilityZone: s.GetAvailabilityZone(), Host: s.GetName(),
			}, b)
		}
	}
}

// ServeHTTP records a request and passes it to the emulated server.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == b.service.GetHealthPath() {
		if b.isHealthSilent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		b.emulated.ServeHTTP(w, r)
		return
	}
	p := b.player
	p.mu.Lock()
	b.inFlight++
	inFlight, extraDelay, hang := b.inFlight, b.extraDelay, b.requestsToHang > 0
	if hang {
		b.requestsToHang--
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		b.inFlight--
		p.mu.Unlock()
	}()
	b.recordArrival(r, inFlight)
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !clock.Sleep(r.Context(), extraDelay) {
		panic(http.ErrAbortHandler)
	}
	b.emulated.ServeHTTP(w, r)
}

func (b *backend) isHealthSilent() bool {
	b.player.mu.Lock()
	defer b.player.mu.Unlock()
	return b.healthSilent
}

func (b *backend) recordArrival(r *http.Request, inFlight int) {
	attempt, _ := strconv.Atoi(r.Header.Get(attemptHeader))
	record(b.player.journal, &b.player.journal.arrivals, Arrival{
		Time: b.player.elapsed(), AttemptNumber: attempt, ID: r.Header.Get(emulator.RequestIDHeader), AtMostOnce: r.Header.Get(atMostOnceHeader) != "",
		Workspace: r.Header.Get(emulator.WorkspaceHeader), Service: b.service.GetName(), Server: b.server.GetName(),
		EntryRegion: r.Header.Get(entryRegionHeader), ServerRegion: b.server.GetRegion(),
		KeySeen: carriesKey(r.Header), InFlight: inFlight, Slots: b.slots,
	})
}

// carriesKey reports whether any header contains a key, also one that is not meant for keys.
func carriesKey(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, "key-of-") {
				return true
			}
		}
	}
	return false
}

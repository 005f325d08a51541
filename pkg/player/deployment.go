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

// callerProxy is the address from which the in-memory network delivers calls.
// It is trusted, so that callers have the addresses of their sites.
const callerProxy = "127.0.0.0/8"

// load merges the base and all overlays of a deployment.
func (p *Player) load(name string) (*schema.Config, error) {
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
	cfg.Settings.TrustedProxies = append(cfg.Settings.TrustedProxies, callerProxy)
	return cfg, nil
}

// publish puts the configuration and one key with the label "a" for each
// workspace in force.
func (p *Player) publish() error {
	if err := p.writeConfig(p.cfg, 0); err != nil {
		return err
	}
	for _, w := range p.cfg.GetWorkspaces() {
		p.setRate(w)
		if err := p.Grant(w.GetName(), "a"); err != nil {
			return err
		}
	}
	for _, l := range p.cfg.GetLinks() {
		for _, s := range p.cfg.GetServices() {
			perSecond := float64(l.GetShiftCapPerS())
			p.journal.caps[capName(s.GetName(), l.GetFrom(), l.GetTo())] = Rate{PerSecond: perSecond, Burst: perSecond}
		}
	}
	return nil
}

func (p *Player) setRate(w *schema.Workspace) {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	at := p.now()
	if len(p.journal.rates[w.GetName()]) == 0 {
		at = 0
	}
	p.journal.rates[w.GetName()] = append(p.journal.rates[w.GetName()], Rate{at, w.GetRatePerS(), w.GetBurst()})
}

func (p *Player) writeConfig(cfg *schema.Config, ifVersion uint64) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(cfg)
	if err != nil {
		return err
	}
	head, err := p.pub.Write(p.ctx, replicator.KindConfig, value, ifVersion, "scenario")
	p.accept(replicator.KindConfig, head)
	return err
}

// accept notes a version that the store accepted; head is nil when it did not.
func (p *Player) accept(kind string, head *schema.Head) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted[kind] = max(p.accepted[kind], head.GetVersion())
}

// Apply replaces the workspaces, links and settings that a file names.
func (p *Player) Apply(name string, content []byte) error {
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
		i := slices.IndexFunc(cfg.Workspaces, func(have *schema.Workspace) bool { return have.GetName() == w.GetName() })
		if i < 0 {
			return fmt.Errorf("no workspace %q", w.GetName())
		}
		cfg.Workspaces[i] = w
	}
	if err := p.writeConfig(cfg, head.GetVersion()); err != nil {
		return err
	}
	for _, w := range change.GetWorkspaces() {
		p.setRate(w)
	}
	return nil
}

// Grant adds a key.
func (p *Player) Grant(workspace, label string) error {
	key := "key-of-" + workspace + "-" + label
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindKeys, "grant "+workspace, func(keys *schema.Keys) error {
		keys.Keys = append(keys.Keys, &schema.Key{Sha256: authenticator.Hash(key), Workspace: workspace, Label: label})
		return nil
	})
	p.accept(replicator.KindKeys, head)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keys[workspace] == nil {
		p.keys[workspace] = make(map[string]string)
	}
	p.keys[workspace][label] = key
	return err
}

// Withdraw removes a key; the bound of its withdrawal counts from the accepted change.
func (p *Player) Withdraw(workspace, label string) error {
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindKeys, "withdraw "+workspace, func(keys *schema.Keys) error {
		keys.Keys = slices.DeleteFunc(keys.Keys, func(k *schema.Key) bool {
			return k.GetWorkspace() == workspace && k.GetLabel() == label
		})
		return nil
	})
	p.accept(replicator.KindKeys, head)
	if err != nil {
		return err
	}
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	p.journal.withdrawn["key-of-"+workspace+"-"+label] = p.now()
	return nil
}

// Drain adds a target to the drains document or removes it.
func (p *Player) Drain(kind, name string, add bool) error {
	head, err := publisher.Change(p.ctx, p.pub, replicator.KindDrains, "drain "+name, func(d *schema.Drains) error {
		list := map[string]*[]string{
			"host": &d.Hosts, "backend": &d.BackendServers, "zone": &d.AvailabilityZones,
			"region": &d.Regions, "lost": &d.LostHosts,
		}[kind]
		if list == nil {
			return fmt.Errorf("unknown kind %q", kind)
		}
		*list = slices.DeleteFunc(*list, func(have string) bool { return have == name })
		if add {
			*list = append(*list, name)
		}
		return nil
	})
	p.accept(replicator.KindDrains, head)
	if err == nil && add {
		p.noteDrained(kind, name)
	}
	return err
}

// noteDrained notes the backend servers that begin to leave.
func (p *Player) noteDrained(kind, name string) {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	for _, b := range p.backends {
		if kind == "backend" && b.server.GetName() == name || kind == "zone" && b.server.GetAvailabilityZone() == name ||
			kind == "region" && b.server.GetRegion() == name {
			p.journal.leaving[b.server.GetName()] = p.now()
		}
	}
}

// backend is a backend server whose requests are recorded.
type backend struct {
	player  *Player
	server  *schema.BackendServer
	service *schema.Service
	slots   int
	stand   *emulator.Backend

	// The fields below are guarded by the player's lock.

	inUse int
	extra time.Duration
	hang  int
	mute  bool
}

func (p *Player) startBackends() {
	for _, svc := range p.cfg.GetServices() {
		for _, s := range svc.GetBackendServers() {
			slots := int(svc.GetSlots())
			if s.GetSlots() > 0 {
				slots = int(s.GetSlots())
			}
			b := &backend{player: p, server: s, service: svc, slots: slots, stand: emulator.NewBackend(emulator.BackendConfig{
				Name: s.GetName(), Slots: slots, ServiceTime: time.Duration(svc.GetServiceTimeMs()) * time.Millisecond,
			})}
			p.backends[s.GetName()] = b
			p.network.Listen(s.GetAddress(), emulator.Place{
				Region: s.GetRegion(), AvailabilityZone: s.GetAvailabilityZone(), Host: s.GetName(),
			}, b)
		}
	}
}

// ServeHTTP records a request and passes it to the stand-in.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == b.service.GetHealthPath() {
		if b.isMute() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		b.stand.ServeHTTP(w, r)
		return
	}
	p := b.player
	p.mu.Lock()
	b.inUse++
	inUse, extra, hang := b.inUse, b.extra, b.hang > 0
	if hang {
		b.hang--
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		b.inUse--
		p.mu.Unlock()
	}()
	b.record(r, inUse)
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !clock.Sleep(r.Context(), extra) {
		panic(http.ErrAbortHandler)
	}
	b.stand.ServeHTTP(w, r)
}

func (b *backend) isMute() bool {
	b.player.mu.Lock()
	defer b.player.mu.Unlock()
	return b.mute
}

func (b *backend) record(r *http.Request, inUse int) {
	try, _ := strconv.Atoi(r.Header.Get(tryHeader))
	record(b.player.journal, &b.player.journal.arrivals, Arrival{
		At: b.player.now(), Try: try, ID: r.Header.Get(emulator.RequestIDHeader), Once: r.Header.Get(onceHeader) != "",
		Workspace: r.Header.Get(emulator.WorkspaceHeader), Service: b.service.GetName(), Server: b.server.GetName(),
		From: r.Header.Get(entryRegionHeader), To: b.server.GetRegion(),
		KeySeen: carriesKey(r.Header), InUse: inUse, Slots: b.slots,
	})
}

// carriesKey looks for keys in all headers, also in ones that never carry keys.
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

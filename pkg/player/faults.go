package player

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// selector picks endpoints of the network.
type selector struct{ kind, name string }

func (s selector) matches(at emulator.Place) bool {
	switch s.kind {
	case "region":
		return at.Region == s.name
	case "zone":
		return at.AvailabilityZone == s.name
	case "store":
		return at.Host == "store"
	default:
		return at.Host == s.name
	}
}

// cut drops all that goes between two groups of endpoints, or in one direction
// only. Without a second group it separates the first from all others.
type cut struct {
	a      selector
	b      *selector
	oneWay bool
}

func (c cut) drops(from, to emulator.Place) bool {
	if c.b == nil {
		return c.a.matches(from) != c.a.matches(to)
	}
	return c.a.matches(from) && c.b.matches(to) || !c.oneWay && c.b.matches(from) && c.a.matches(to)
}

// Cut parses "region fyn", "host host-2 store" or "host host-2 to store" and cuts the links.
func (p *Player) Cut(args []string) error {
	a, rest, err := parseSelector(args)
	if err != nil {
		return err
	}
	c := cut{a: a}
	if len(rest) > 0 {
		if rest[0] == "to" {
			c.oneWay, rest = true, rest[1:]
		}
		b, more, err := parseSelector(rest)
		if err != nil || len(more) > 0 {
			return fmt.Errorf("bad second side of a cut: %q", rest)
		}
		c.b = &b
	}
	p.mu.Lock()
	p.cuts = append(p.cuts, c)
	p.mu.Unlock()
	p.network.SetPartition(p.isCut)
	return nil
}

func parseSelector(args []string) (selector, []string, error) {
	if len(args) > 0 && args[0] == "store" {
		return selector{kind: "store"}, args[1:], nil
	}
	if len(args) < 2 {
		return selector{}, nil, errors.New("use region NAME, zone NAME, host NAME, backend NAME or store")
	}
	switch args[0] {
	case "region", "zone", "host", "backend":
		return selector{args[0], args[1]}, args[2:], nil
	}
	return selector{}, nil, fmt.Errorf("unknown kind %q", args[0])
}

func (p *Player) isCut(from, to emulator.Place) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.cuts {
		if c.drops(from, to) {
			return true
		}
	}
	return false
}

// Heal restores all links.
func (p *Player) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts = nil
}

// FailRegion kills all hosts of a region and cuts off all else there for good.
func (p *Player) FailRegion(region string) error {
	for _, h := range p.live() {
		if h.place.Region == region {
			if err := p.Kill(h.place.Host); err != nil {
				return err
			}
		}
	}
	p.mu.Lock()
	for _, b := range p.backends {
		if b.server.GetRegion() == region {
			b.hang = 1 << 30
			p.cuts = append(p.cuts, cut{a: selector{"backend", b.server.GetName()}})
		}
	}
	if p.storePlace().Region == region {
		p.cuts = append(p.cuts, cut{a: selector{kind: "store"}})
	}
	p.mu.Unlock()
	p.network.SetPartition(p.isCut)
	return nil
}

// Store changes the state of the platform's object API.
func (p *Player) Store(args []string) error {
	value := ""
	if len(args) > 1 {
		value = args[1]
	}
	var err error
	switch args[0] {
	case "up":
		p.faults = emulator.Faults{}
	case "down":
		p.faults.Down = true
	case "slow":
		p.faults.Delay, err = time.ParseDuration(value)
	case "lose-answers":
		p.faults.DropWriteResponses, err = strconv.Atoi(value)
	case "silent-watches":
		p.faults.SilentWatches = true
	case "stale-hosts":
		p.faults.StaleHosts = true
	default:
		return fmt.Errorf("unknown state %q of the store", args[0])
	}
	if err != nil {
		return err
	}
	p.platform.SetFaults(p.faults)
	return nil
}

// Race lets several operators change the rate of a workspace at once, all from
// the version now in force. Exactly one may win.
func (p *Player) Race(workspace string, operators int) error {
	head, current, err := p.pub.Read(p.ctx, replicator.KindConfig)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	errs := make([]error, operators)
	for n := range operators {
		cfg := &schema.Config{}
		if err := proto.Unmarshal(current, cfg); err != nil {
			return err
		}
		for _, w := range cfg.GetWorkspaces() {
			if w.GetName() == workspace {
				w.Weight += float64(n + 1)
			}
		}
		wg.Go(func() { errs[n] = p.writeConfig(cfg, head.GetVersion()) })
	}
	wg.Wait()
	p.conflicts = 0
	for _, err := range errs {
		if errors.Is(err, publisher.ErrConflict) {
			p.conflicts++
		} else if err != nil {
			return err
		}
	}
	return nil
}

// Backend changes one backend server, or all of a service.
func (p *Player) Backend(verb, name, value string) error {
	found := false
	var err error
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		if b.server.GetName() != name && b.service.GetName() != name {
			continue
		}
		found = true
		switch verb {
		case "leave":
			b.stand.SetLeaving(true)
			p.journal.mu.Lock()
			p.journal.leaving[b.server.GetName()] = p.now()
			p.journal.mu.Unlock()
		case "fail":
			b.stand.SetFailing(true)
		case "recover":
			b.stand.SetFailing(false)
			b.stand.SetLeaving(false)
			b.extra, b.hang, b.mute = 0, 0, false
		case "mute":
			b.mute = true
		case "slow":
			b.extra, err = time.ParseDuration(value)
		case "hang":
			b.hang, err = strconv.Atoi(value)
		}
	}
	if !found {
		return fmt.Errorf("no backend server or service %q", name)
	}
	return err
}

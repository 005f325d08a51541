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

// selector matches endpoints of the network by kind and name.
type selector struct{ kind, name string }

func (s selector) matches(place emulator.Place) bool {
	switch s.kind {
	case "region":
		return place.Region == s.name
	case "zone":
		return place.AvailabilityZone == s.name
	case "store":
		return place.Host == "store"
	default:
		return place.Host == s.name
	}
}

// partition drops all traffic between two groups of endpoints, or only that from a to b
// if oneWay is set. If b is nil it separates a from all other endpoints.
type partition struct {
	a      selector
	b      *selector
	oneWay bool
}

func (pt partition) drops(from, to emulator.Place) bool {
	if pt.b == nil {
		return pt.a.matches(from) != pt.a.matches(to)
	}
	return pt.a.matches(from) && pt.b.matches(to) || !pt.oneWay && pt.b.matches(from) && pt.a.matches(to)
}

// Partition parses arguments such as "region fyn", "host host-2 store" or "host host-2 to
// store" and cuts these links.
func (p *Player) Partition(args []string) error {
	a, rest, err := parseSelector(args)
	if err != nil {
		return err
	}
	pt := partition{a: a}
	if len(rest) > 0 {
		if rest[0] == "to" {
			pt.oneWay, rest = true, rest[1:]
		}
		b, unused, err := parseSelector(rest)
		if err != nil || len(unused) > 0 {
			return fmt.Errorf("invalid second group of a cut: %q", rest)
		}
		pt.b = &b
	}
	p.mu.Lock()
	p.partitions = append(p.partitions, pt)
	p.mu.Unlock()
	p.network.SetPartition(p.isPartitioned)
	return nil
}

func parseSelector(args []string) (selector, []string, error) {
	if len(args) > 0 && args[0] == "store" {
		return selector{kind: "store"}, args[1:], nil
	}
	if len(args) < 2 {
		return selector{}, nil, errors.New("expected region NAME, zone NAME, host NAME, backend NAME or store")
	}
	switch args[0] {
	case "region", "zone", "host", "backend":
		return selector{args[0], args[1]}, args[2:], nil
	}
	return selector{}, nil, fmt.Errorf("unknown endpoint kind %q", args[0])
}

func (p *Player) isPartitioned(from, to emulator.Place) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pt := range p.partitions {
		if pt.drops(from, to) {
			return true
		}
	}
	return false
}

// Heal removes all partitions.
func (p *Player) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitions = nil
}

// FailRegion kills all hosts of a region, makes its backend servers hang and isolates
// them, and also the store if it is there.
func (p *Player) FailRegion(region string) error {
	for _, h := range p.runningHosts() {
		if h.place.Region == region {
			if err := p.Kill(h.place.Host); err != nil {
				return err
			}
		}
	}
	p.mu.Lock()
	for _, b := range p.backends {
		if b.server.GetRegion() == region {
			b.requestsToHang = 1 << 30
			p.partitions = append(p.partitions, partition{a: selector{"backend", b.server.GetName()}})
		}
	}
	if p.storePlace().Region == region {
		p.partitions = append(p.partitions, partition{a: selector{kind: "store"}})
	}
	p.mu.Unlock()
	p.network.SetPartition(p.isPartitioned)
	return nil
}

// SetStoreState injects a fault into the platform's object API, or removes all of them.
func (p *Player) SetStoreState(args []string) error {
	value := ""
	if len(args) > 1 {
		value = args[1]
	}
	var err error
	switch args[0] {
	case "up":
		p.storeFaults = emulator.Faults{}
	case "down":
		p.storeFaults.Down = true
	case "slow":
		p.storeFaults.Delay, err = time.ParseDuration(value)
	case "lose-answers":
		p.storeFaults.DropWriteResponses, err = strconv.Atoi(value)
	case "silent-watches":
		p.storeFaults.SilentWatches = true
	case "stale-hosts":
		p.storeFaults.StaleHosts = true
	default:
		return fmt.Errorf("unknown store state %q", args[0])
	}
	if err != nil {
		return err
	}
	p.platform.SetFaults(p.storeFaults)
	return nil
}

// RaceOperators lets several operators change the weight of a workspace concurrently, all
// based on the current version. The store must accept exactly one of the writes; conflicts
// counts the others.
func (p *Player) RaceOperators(workspace string, operators int) error {
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

// ChangeBackend changes the state of one backend server, or of all those of a service.
func (p *Player) ChangeBackend(verb, name, value string) error {
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
			b.emulated.SetLeaving(true)
			p.journal.mu.Lock()
			p.journal.drainStartedAt[b.server.GetName()] = p.elapsed()
			p.journal.mu.Unlock()
		case "fail":
			b.emulated.SetFailing(true)
		case "recover":
			b.emulated.SetFailing(false)
			b.emulated.SetLeaving(false)
			b.extraDelay, b.requestsToHang, b.healthSilent = 0, 0, false
		case "mute":
			b.healthSilent = true
		case "slow":
			b.extraDelay, err = time.ParseDuration(value)
		case "hang":
			b.requestsToHang, err = strconv.Atoi(value)
		}
	}
	if !found {
		return fmt.Errorf("no backend server or service has the name %q", name)
	}
	return err
}

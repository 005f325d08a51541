package exerciser

import (
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/tracker"
)

// Host is one simulated host.
type Host struct {
	f      *Fleet
	n      int
	name   string
	region int
	rate   float64
	// life grows with each start and each end, so that old events are dropped.
	life     uint64
	up       bool
	leaving  bool
	frozen   time.Duration
	leaser   *leaser.Leaser
	limiter  *limiter.Limiter
	sequence uint64
	contact  clock.Millis
	heard    map[int]clock.Millis
	away     map[int]bool
	usable   [leaser.TotalSlots]bool
	deadline clock.Millis
	waiting  []*request
}

// IsRunning reports whether the host runs and is not paused.
func (h *Host) IsRunning() bool { return h.up && h.f.now >= h.frozen }

// Region returns the number of the host's region.
func (h *Host) Region() int { return h.region }

func (h *Host) now() clock.Millis { return millis(h.f.now, h.rate) }

// deliver runs an event on the host, after a pause if it is paused.
func (h *Host) deliver(life uint64, run func()) {
	if life != h.life || !h.up {
		return
	}
	if h.f.now < h.frozen {
		h.f.AfterFunc(h.frozen-h.f.now, func() { h.deliver(life, run) })
		return
	}
	run()
	h.settle()
}

func (h *Host) after(d time.Duration, run func()) {
	life := h.life
	h.f.AfterFunc(d, func() { h.deliver(life, run) })
}

// Restart starts the host, as a new incarnation.
func (h *Host) Restart() {
	if h.up {
		return
	}
	h.life++
	h.up, h.leaving, h.frozen = true, false, 0
	h.leaser = leaser.New(leaser.Config{
		Host: h.name, Incarnation: h.life, Region: string(rune('a' + h.region)), Omit: h.f.cfg.OmitLeaserRules,
	})
	h.limiter = limiter.New(limiter.Config{Omit: h.f.cfg.OmitLimiterRules})
	h.limiter.SetLimits(h.f.cfg.Limits, h.now())
	h.sequence, h.contact = 0, h.now()-clock.Second*60
	h.heard, h.away = make(map[int]clock.Millis), make(map[int]bool)
	h.usable, h.deadline, h.waiting = [leaser.TotalSlots]bool{}, 0, nil
	h.tick()
	h.poll()
}

// Crash ends the host at once.
func (h *Host) Crash() {
	h.life++
	h.up = false
	h.waiting = nil
	h.usable, h.deadline = [leaser.TotalSlots]bool{}, 0
}

// Pause stops the host for a time; its messages wait.
func (h *Host) Pause(d time.Duration) { h.frozen = max(h.frozen, h.f.now+d) }

// Leave makes a planned stop: the host hands over its slots and ends.
func (h *Host) Leave() {
	if !h.up || h.leaving {
		return
	}
	h.leaving = true
	h.leaser.Leave(h.now())
	h.settle()
}

// tick runs at each heartbeat interval.
func (h *Host) tick() {
	h.after(beat, h.tick)
	if h.leaving && h.leaser.HasLedger() && !h.leaser.IsMember() {
		h.Crash()
		return
	}
	h.decide()
	h.sequence++
	for _, p := range h.f.hosts {
		if p != h {
			h.heartbeat(p)
		}
	}
}

func (h *Host) heartbeat(p *Host) {
	sent, seq, life := h.now(), h.sequence, h.life
	fields := h.leaser.BuildHeartbeat(p.name, seq, sent)
	leaving := h.leaving
	h.f.send(h, p, func() {
		p.hear(h, leaving, fields.LedgerVersion)
		promise := p.leaser.HandleHeartbeat(leaser.Heartbeat{
			Host: h.name, Incarnation: life, Sequence: seq, HeartbeatFields: fields,
		}, p.now()-p.contact, p.now())
		version, inc, away := p.leaser.Version(), p.life, p.leaving
		h.f.send(p, h, func() {
			if h.life != life {
				return
			}
			h.hear(p, away, version)
			h.leaser.HandleResponse(leaser.HeartbeatResponse{
				Host: p.name, Incarnation: inc, Sequence: seq, Sent: sent, Promise: promise,
			}, h.now())
		})
	})
}

func (h *Host) hear(p *Host, leaving bool, version uint64) {
	h.heard[p.n], h.away[p.n] = h.now(), leaving
	if version > h.leaser.Version() {
		h.readLedger()
	}
}

// decide lets the leaser act.
func (h *Host) decide() {
	in := leaser.Input{
		StoreContactAge: h.now() - h.contact, LiveHosts: make(map[string]bool), LostHosts: h.f.LostHosts, ExpectedHosts: 1,
	}
	var near, far []string
	for _, p := range h.f.hosts {
		at, ok := h.heard[p.n]
		if p == h || !ok || h.now()-at > tracker.LivenessTimeout || h.away[p.n] {
			continue
		}
		in.ExpectedHosts++
		in.LiveHosts[p.name] = true
		if p.region == h.region {
			near = append(near, p.name)
		} else {
			far = append(far, p.name)
		}
	}
	h.limiter.SetPeers(append(near, far...))
	action := h.leaser.Tick(in, h.now())
	if action.ReadLedger {
		h.readLedger()
	}
	if action.Write != nil {
		h.write(action.Write)
	}
}

func (h *Host) write(w *leaser.LedgerWrite) {
	done := false
	finish := func(o leaser.WriteOutcome, version uint64) {
		if done {
			return
		}
		done = true
		h.leaser.HandleWriteOutcome(o, version, h.now())
		if o == leaser.WriteConflict {
			h.readLedger()
		}
	}
	h.after(storeLimit, func() { finish(leaser.WriteUnknown, 0) })
	h.f.call(h, func() func() {
		version, ok := h.f.put(w)
		if ok {
			return func() { finish(leaser.WriteApplied, version) }
		}
		return func() { finish(leaser.WriteConflict, 0) }
	})
}

func (h *Host) readLedger() {
	if !h.up {
		return
	}
	h.f.call(h, func() func() {
		version, ledger := h.f.version, h.f.ledger
		return func() {
			h.leaser.HandleLedger(version, ledger, h.now())
			h.decide()
		}
	})
}

// poll stands for the store calls that a host makes each second.
func (h *Host) poll() {
	h.after(pollEvery, h.poll)
	sent := h.now()
	h.f.call(h, func() func() {
		version := h.f.version
		return func() {
			h.contact = max(h.contact, sent)
			if version > h.leaser.Version() {
				h.readLedger()
			}
		}
	})
}

// settle puts the leaser's decision in force and runs the checkers.
func (h *Host) settle() {
	if !h.up {
		return
	}
	slots, deadline := h.leaser.Share(h.now())
	var usable [leaser.TotalSlots]bool
	if slots > 0 {
		for _, s := range h.leaser.UsableSlots() {
			usable[s] = true
		}
	}
	if h.f.cfg.StaticShares {
		running := 0
		for _, p := range h.f.hosts {
			if p.up {
				running++
			}
		}
		slots, deadline = limiter.TotalSlots/running, leaser.Forever
	}
	h.limiter.SetShare(slots, deadline, h.now())
	h.granted()
	if usable != h.usable || deadline > h.deadline {
		h.usable, h.deadline = usable, deadline
		h.f.checkSlots(h)
	}
	h.deadline = deadline
}

// mayUse reports whether the host may use its slots on its own clock.
func (h *Host) mayUse() bool { return h.up && h.now() < h.deadline }

// checkSlots checks that no other host may use a slot of h.
func (f *Fleet) checkSlots(h *Host) {
	if !h.mayUse() || f.cfg.StaticShares {
		return
	}
	for _, p := range f.hosts {
		if p == h || !p.mayUse() {
			continue
		}
		for s := range h.usable {
			if h.usable[s] && p.usable[s] {
				f.violate("slot %d usable by %s and %s", s, h.name, p.name)
				return
			}
		}
	}
}

// UsableSlots returns the number of slots that running hosts may use.
func (f *Fleet) UsableSlots() int {
	n := 0
	for _, h := range f.hosts {
		if h.IsRunning() && h.mayUse() {
			for _, u := range h.usable {
				if u {
					n++
				}
			}
		}
	}
	return n
}

// UsableSlots returns the number of slots that a host may use.
func (h *Host) UsableSlots() int {
	n := 0
	for _, u := range h.usable {
		if u && h.mayUse() {
			n++
		}
	}
	return n
}

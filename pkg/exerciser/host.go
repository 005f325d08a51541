package exerciser

import (
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/tracker"
)

// Host is a simulated host.
type Host struct {
	fleet     *Fleet
	index     int
	name      string
	region    int
	clockRate float64
	// incarnation is incremented at each start and stop, so that events of
	// earlier incarnations are dropped.
	incarnation       uint64
	started           bool
	leaving           bool
	pausedUntil       time.Duration
	leaser            *leaser.Leaser
	limiter           *limiter.Limiter
	heartbeatSequence uint64
	lastStoreContact  clock.Millis
	lastReportAt      map[int]clock.Millis
	leavingPeers      map[int]bool
	usableSlots       [leaser.TotalSlots]bool
	leaseDeadline     clock.Millis
	waitingRequests   []*request
}

// IsRunning reports whether the host is started and not paused.
func (h *Host) IsRunning() bool { return h.started && h.fleet.now >= h.pausedUntil }

// Region returns the index of the host's region.
func (h *Host) Region() int { return h.region }

func (h *Host) now() clock.Millis { return toHostClock(h.fleet.now, h.clockRate) }

// deliver runs an event on the host, at the end of the pause if the host is
// paused. It drops events of earlier incarnations.
func (h *Host) deliver(incarnation uint64, run func()) {
	if incarnation != h.incarnation || !h.started {
		return
	}
	if h.fleet.now < h.pausedUntil {
		h.fleet.AfterFunc(h.pausedUntil-h.fleet.now, func() { h.deliver(incarnation, run) })
		return
	}
	run()
	h.applyShare()
}

func (h *Host) afterFunc(d time.Duration, run func()) {
	incarnation := h.incarnation
	h.fleet.AfterFunc(d, func() { h.deliver(incarnation, run) })
}

// Restart starts the host with a new incarnation, unless it is started.
func (h *Host) Restart() {
	if h.started {
		return
	}
	h.incarnation++
	h.started, h.leaving, h.pausedUntil = true, false, 0
	h.leaser = leaser.New(leaser.Config{
		Host: h.name, Incarnation: h.incarnation, Region: string(rune('a' + h.region)), Omit: h.fleet.cfg.OmitLeaserRules,
	})
	h.limiter = limiter.New(limiter.Config{Omit: h.fleet.cfg.OmitLimiterRules})
	h.limiter.SetLimits(h.fleet.cfg.Limits, h.now())
	h.heartbeatSequence, h.lastStoreContact = 0, h.now()-clock.Second*60
	h.lastReportAt, h.leavingPeers = make(map[int]clock.Millis), make(map[int]bool)
	h.usableSlots, h.leaseDeadline, h.waitingRequests = [leaser.TotalSlots]bool{}, 0, nil
	h.tick()
	h.poll()
}

// Crash stops the host at once.
func (h *Host) Crash() {
	h.incarnation++
	h.started = false
	h.waitingRequests = nil
	h.usableSlots, h.leaseDeadline = [leaser.TotalSlots]bool{}, 0
}

// Pause suspends the host for a time. Its events are delivered afterwards.
func (h *Host) Pause(d time.Duration) { h.pausedUntil = max(h.pausedUntil, h.fleet.now+d) }

// Leave starts a planned stop: the host hands over its slots and then stops.
func (h *Host) Leave() {
	if !h.started || h.leaving {
		return
	}
	h.leaving = true
	h.leaser.Leave(h.now())
	h.applyShare()
}

// tick runs at each heartbeat interval. It stops a leaving host that is no
// longer a member.
func (h *Host) tick() {
	h.afterFunc(heartbeatInterval, h.tick)
	if h.leaving && h.leaser.HasLedger() && !h.leaser.IsMember() {
		h.Crash()
		return
	}
	h.tickLeaser()
	h.heartbeatSequence++
	for _, peer := range h.fleet.hosts {
		if peer != h {
			h.sendHeartbeat(peer)
		}
	}
}

func (h *Host) sendHeartbeat(peer *Host) {
	sentAt, sequence, incarnation := h.now(), h.heartbeatSequence, h.incarnation
	fields := h.leaser.BuildHeartbeat(peer.name, sequence, sentAt)
	leaving := h.leaving
	h.fleet.send(h, peer, func() {
		peer.recordReport(h, leaving, fields.LedgerVersion)
		promise := peer.leaser.HandleHeartbeat(leaser.Heartbeat{
			Host: h.name, Incarnation: incarnation, Sequence: sequence, HeartbeatFields: fields,
		}, peer.now()-peer.lastStoreContact, peer.now())
		ledgerVersion, peerIncarnation, peerLeaving := peer.leaser.Version(), peer.incarnation, peer.leaving
		h.fleet.send(peer, h, func() {
			if h.incarnation != incarnation {
				return
			}
			h.recordReport(peer, peerLeaving, ledgerVersion)
			h.leaser.HandleResponse(leaser.HeartbeatResponse{
				Host: peer.name, Incarnation: peerIncarnation, Sequence: sequence, Sent: sentAt, Promise: promise,
			}, h.now())
		})
	})
}

func (h *Host) recordReport(peer *Host, leaving bool, ledgerVersion uint64) {
	h.lastReportAt[peer.index], h.leavingPeers[peer.index] = h.now(), leaving
	if ledgerVersion > h.leaser.Version() {
		h.readLedger()
	}
}

// tickLeaser passes the live hosts to the leaser and performs its next action.
func (h *Host) tickLeaser() {
	input := leaser.Input{
		StoreContactAge: h.now() - h.lastStoreContact, LiveHosts: make(map[string]bool), LostHosts: h.fleet.LostHosts, ExpectedHosts: 1,
	}
	var sameRegion, otherRegions []string
	for _, peer := range h.fleet.hosts {
		reportedAt, ok := h.lastReportAt[peer.index]
		if peer == h || !ok || h.now()-reportedAt > tracker.LivenessTimeout || h.leavingPeers[peer.index] {
			continue
		}
		input.ExpectedHosts++
		input.LiveHosts[peer.name] = true
		if peer.region == h.region {
			sameRegion = append(sameRegion, peer.name)
		} else {
			otherRegions = append(otherRegions, peer.name)
		}
	}
	h.limiter.SetPeers(append(sameRegion, otherRegions...))
	action := h.leaser.Tick(input, h.now())
	if action.ReadLedger {
		h.readLedger()
	}
	if action.Write != nil {
		h.writeLedger(action.Write)
	}
}

func (h *Host) writeLedger(w *leaser.LedgerWrite) {
	finished := false
	finish := func(outcome leaser.WriteOutcome, version uint64) {
		if finished {
			return
		}
		finished = true
		h.leaser.HandleWriteOutcome(outcome, version, h.now())
		if outcome == leaser.WriteConflict {
			h.readLedger()
		}
	}
	h.afterFunc(storeTimeout, func() { finish(leaser.WriteUnknown, 0) })
	h.fleet.callStore(h, func() func() {
		version, ok := h.fleet.putLedger(w)
		if ok {
			return func() { finish(leaser.WriteApplied, version) }
		}
		return func() { finish(leaser.WriteConflict, 0) }
	})
}

func (h *Host) readLedger() {
	if !h.started {
		return
	}
	h.fleet.callStore(h, func() func() {
		version, ledger := h.fleet.ledgerVersion, h.fleet.ledger
		return func() {
			h.leaser.HandleLedger(version, ledger, h.now())
			h.tickLeaser()
		}
	})
}

// poll simulates the calls that a host makes to the store each second.
func (h *Host) poll() {
	h.afterFunc(pollInterval, h.poll)
	sentAt := h.now()
	h.fleet.callStore(h, func() func() {
		version := h.fleet.ledgerVersion
		return func() {
			h.lastStoreContact = max(h.lastStoreContact, sentAt)
			if version > h.leaser.Version() {
				h.readLedger()
			}
		}
	})
}

// applyShare passes the leaser's share to the limiter, then checks that no other
// host can use its slots.
func (h *Host) applyShare() {
	if !h.started {
		return
	}
	slots, deadline := h.leaser.Share(h.now())
	var usableSlots [leaser.TotalSlots]bool
	if slots > 0 {
		for _, s := range h.leaser.UsableSlots() {
			usableSlots[s] = true
		}
	}
	if h.fleet.cfg.StaticShares {
		startedHosts := 0
		for _, peer := range h.fleet.hosts {
			if peer.started {
				startedHosts++
			}
		}
		slots, deadline = limiter.TotalSlots/startedHosts, leaser.Forever
	}
	h.limiter.SetShare(slots, deadline, h.now())
	h.admitGranted()
	if usableSlots != h.usableSlots || deadline > h.leaseDeadline {
		h.usableSlots, h.leaseDeadline = usableSlots, deadline
		h.fleet.checkSlotOverlap(h)
	}
	h.leaseDeadline = deadline
}

// hasLease reports whether the host's lease is valid by its own clock.
func (h *Host) hasLease() bool { return h.started && h.now() < h.leaseDeadline }

// checkSlotOverlap records a violation if another host may use a slot of h.
func (f *Fleet) checkSlotOverlap(h *Host) {
	if !h.hasLease() || f.cfg.StaticShares {
		return
	}
	for _, peer := range f.hosts {
		if peer == h || !peer.hasLease() {
			continue
		}
		for s := range h.usableSlots {
			if h.usableSlots[s] && peer.usableSlots[s] {
				f.recordViolation("slot %d usable by %s and %s", s, h.name, peer.name)
				return
			}
		}
	}
}

// UsableSlots returns the number of slots that all running hosts may use.
func (f *Fleet) UsableSlots() int {
	n := 0
	for _, h := range f.hosts {
		if h.IsRunning() && h.hasLease() {
			for _, usable := range h.usableSlots {
				if usable {
					n++
				}
			}
		}
	}
	return n
}

// UsableSlots returns the number of slots that the host may use.
func (h *Host) UsableSlots() int {
	n := 0
	for _, usable := range h.usableSlots {
		if usable && h.hasLease() {
			n++
		}
	}
	return n
}

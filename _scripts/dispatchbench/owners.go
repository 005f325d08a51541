package main

import (
	"fmt"
	"strconv"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
)

// deadlineServiceTimes is a request's deadline in mean service times: 5 s at the usual mean, as in the demo.
const deadlineServiceTimes = 50

// reasonNotReady refuses a request whose owner has no votes yet.
const reasonNotReady = "not_ready"

// waitForVotes marks the last attempt, which stays queued until its owner has votes.
const waitForVotes = -1

// node is one host of the owner scheme; it runs the hosts' own dispatcher code.
type node struct {
	id                int
	name              string
	dispatcher        *dispatcher.Dispatcher
	permits           *dispatcher.PermitTable
	dead              bool
	ownerLoads        map[string]dispatcher.Candidate
	unresponsiveUntil map[string]clock.Millis
	pending           map[string]func(dispatcher.Decision)
	partition         int
}

// ownerScheme lets an elected owner host grant the slots of each backend server.
type ownerScheme struct {
	sim          *sim
	nodes        []*node
	hostNames    []string
	fault        string
	lastPermitID int
	servers      []dispatcher.Server
}

func newOwnerScheme(s *sim, rules dispatcher.Rules, fault string) *ownerScheme {
	o := &ownerScheme{sim: s, fault: fault}
	for i := range s.hosts {
		o.hostNames = append(o.hostNames, fmt.Sprintf("host-%d", i))
	}
	for i := range s.servers {
		o.servers = append(o.servers, dispatcher.Server{Name: strconv.Itoa(i), Slots: s.slots})
	}
	for i, name := range o.hostNames {
		o.nodes = append(o.nodes, &node{
			id: i, name: name, permits: dispatcher.NewPermitTable(rules), partition: i % 2,
			dispatcher: dispatcher.New(dispatcher.Config{Self: name, Epoch: 1, Rules: rules}),
			ownerLoads: make(map[string]dispatcher.Candidate), unresponsiveUntil: make(map[string]clock.Millis),
			pending: make(map[string]func(dispatcher.Decision)),
		})
	}
	return o
}

func (o *ownerScheme) isDuring(from, duration clock.Millis) bool {
	return o.sim.now >= from && o.sim.now < from+duration
}

func (o *ownerScheme) isPaused(n *node) bool {
	return o.fault == "host paused 4 s" && n.id == 0 && o.isDuring(faultStart, 4000)
}

// canReach reports whether messages pass between two hosts.
func (o *ownerScheme) canReach(a, b *node) bool {
	return !a.dead && !b.dead && !o.isPaused(a) && !o.isPaused(b) && (o.fault != "cut in halves 10 s" || a.partition == b.partition || !o.isDuring(faultStart, 10000))
}

// liveHosts returns the hosts that n considers live. A silent host is detected after 2 s.
func (o *ownerScheme) liveHosts(n *node) []string {
	var out []string
	for _, m := range o.nodes {
		lost := m.dead && o.sim.now >= faultStart+2000 ||
			o.isPaused(m) && o.sim.now >= faultStart+2000 ||
			o.fault == "cut in halves 10 s" && m.partition != n.partition && o.isDuring(faultStart+2000, 8000) ||
			o.fault == "views differ 3 s" && m.id == 0 && n.partition == 1 && o.isDuring(faultStart, 3000)
		if !lost {
			out = append(out, m.name)
		}
	}
	return out
}

func (o *ownerScheme) tick(s *sim) {
	if o.fault == "host dies" && s.now == faultStart {
		o.nodes[0].dead = true
	}
	for i, n := range o.nodes {
		if n.dead || o.isPaused(n) {
			continue
		}
		phase := (s.now + clock.Millis(i*13)) % 500
		if phase%50 == 0 {
			o.refreshView(n)
		}
		if phase == 0 {
			for _, m := range o.nodes {
				o.sendReport(n, m)
			}
		}
		o.step(n)
	}
}

func (o *ownerScheme) refreshView(n *node) {
	view := o.liveHosts(n)
	n.dispatcher.SetView(dispatcher.View{
		EligibleOwners: view, LiveInRegion: view, LiveHosts: view,
		Services: []dispatcher.Service{{Name: "svc", ServiceTime: clock.Millis(o.sim.meanServiceTime), Servers: o.servers}},
	}, o.sim.now)
}

func (o *ownerScheme) step(n *node) {
	for _, dec := range n.dispatcher.Step(o.sim.now) {
		if f := n.pending[dec.ID]; f != nil {
			delete(n.pending, dec.ID)
			f(dec)
		}
	}
}

// sendReport sends a permit report together with the sender's load, which hosts send in heartbeats.
func (o *ownerScheme) sendReport(n, m *node) {
	v := n.dispatcher.Voter()
	r := &schema.ReportPermitsRequest{
		Host: n.name, Incarnation: 1, Permits: n.permits.InRegion("r"), Votes: v.Votes(m.name, n.dispatcher.Owners(), o.sim.now),
		RegionHosts: uint32(n.dispatcher.RegionHosts(o.sim.now)), Fresh: v.Fresh(o.sim.now), Token: v.LatestToken(m.name),
	}
	if n == m {
		r.Token = n.dispatcher.IssueToken(o.sim.now)
		n.dispatcher.HandleReport(r, o.sim.now)
		return
	}
	if m.dead {
		// A dead host refuses the connection.
		n.dispatcher.MarkDead(m.name, 1, o.sim.now)
	}
	if !o.canReach(n, m) {
		return
	}
	load := n.dispatcher.Loads(o.sim.now)
	o.sim.after(oneWayDelay, func() {
		m.dispatcher.HandleReport(r, o.sim.now)
		tok, reportSoon := m.dispatcher.IssueToken(o.sim.now), m.dispatcher.HasPendingServers()
		for _, l := range load {
			m.ownerLoads[n.name] = dispatcher.Candidate{Slots: int(l.GetSlots()), ReportedLoad: int(l.GetInUse() + l.GetQueued()), LocalInFlight: m.ownerLoads[n.name].LocalInFlight}
		}
		o.sim.after(oneWayDelay, func() {
			v.RecordToken(m.name, tok, o.sim.now)
			if reportSoon && !n.dead {
				o.sim.after(50, func() { o.sendReport(n, m) })
			}
		})
	})
}

func (o *ownerScheme) arrive(s *sim, host int) {
	n := o.nodes[host]
	if n.dead || o.isPaused(n) {
		// Callers retry at the next host.
		n = o.nodes[(host+1)%len(o.nodes)]
	}
	o.acquireSlot(n, s.now, 3)
}

// acquireSlot asks an owner for a slot, and another owner if it does not answer or cannot serve.
func (o *ownerScheme) acquireSlot(n *node, arrived clock.Millis, attemptsLeft int) {
	owner := o.chooseOwner(n)
	if owner == nil || attemptsLeft == 0 || attemptsLeft < -1 {
		if arrived >= warmUp {
			o.sim.refused++
		}
		return
	}
	o.lastPermitID++
	id := strconv.Itoa(o.lastPermitID)
	n.permits.Add(id, "r", "svc", "w")
	o.addInFlight(n, owner, 1)
	o.sendAcquire(n, owner, id, arrived, attemptsLeft)
}

func (o *ownerScheme) addInFlight(n, owner *node, delta int) {
	c := n.ownerLoads[owner.name]
	c.InFlightDelta += delta
	c.LocalInFlight += delta
	n.ownerLoads[owner.name] = c
}

func (o *ownerScheme) chooseOwner(n *node) *node {
	list := o.ownerCandidates(n, false)
	if len(list) == 0 {
		// Unresponsive owners are used only if there are no others.
		list = o.ownerCandidates(n, true)
	}
	if len(list) == 0 {
		return nil
	}
	name := list[dispatcher.DefaultChooser().Choose(list, o.sim.rng.Intn)].Host
	for _, m := range o.nodes {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (o *ownerScheme) ownerCandidates(n *node, includeUnresponsive bool) []dispatcher.Candidate {
	var list []dispatcher.Candidate
	owns := make(map[string]bool)
	for _, owner := range n.dispatcher.Owners() {
		owns[owner] = true
	}
	for _, name := range o.hostNames {
		if owns[name] && (includeUnresponsive || o.sim.now >= n.unresponsiveUntil[name]) {
			c := n.ownerLoads[name]
			c.Host, c.EntryHosts = name, len(o.nodes)
			if name == n.name {
				l := n.dispatcher.Loads(o.sim.now)[0]
				c.Slots, c.ReportedLoad, c.InFlightDelta = int(l.GetSlots()), int(l.GetInUse()+l.GetQueued()), 0
			}
			list = append(list, c)
		}
	}
	return list
}

// sendAcquire makes one acquire call; the owner may hold it for up to 250 ms.
func (o *ownerScheme) sendAcquire(n, owner *node, id string, arrived clock.Millis, attemptsLeft int) {
	sent, answered := o.sim.now, false
	answer := func(dec dispatcher.Decision) {
		o.deliver(n, owner, func() {
			if !answered && o.canReach(n, owner) {
				answered = true
				o.handleDecision(n, owner, id, dec, sent, arrived, attemptsLeft)
			}
		})
	}
	o.sim.after(500, func() {
		if !answered && !n.dead {
			answered = true
			n.unresponsiveUntil[owner.name] = o.sim.now + 1000
			o.release(n, owner, id)
			o.acquireSlot(n, arrived, attemptsLeft-1)
		}
	})
	o.deliver(n, owner, func() {
		if owner.dead && !answered && !n.dead {
			// A dead owner refuses the connection.
			answered = true
			n.dispatcher.MarkDead(owner.name, 1, o.sim.now)
			o.release(n, owner, id)
			o.acquireSlot(n, arrived, attemptsLeft-1)
		}
		if o.canReach(n, owner) {
			o.handleAcquire(n, owner, id, arrived, attemptsLeft, answer)
		}
	})
}

// deliver runs f after the network delay, or at once for a message to the host itself.
func (o *ownerScheme) deliver(n, m *node, f func()) {
	if n == m {
		f()
		return
	}
	o.sim.after(oneWayDelay, f)
}

func (o *ownerScheme) handleAcquire(n, owner *node, id string, arrived clock.Millis, attemptsLeft int, answer func(dispatcher.Decision)) {
	dec := owner.dispatcher.Acquire(dispatcher.Request{
		Host: n.name, Incarnation: 1, ID: id, Service: "svc", Workspace: "w", Deadline: arrived + clock.Millis(deadlineServiceTimes*o.sim.meanServiceTime),
	}, o.sim.now)
	if !dec.Queued {
		answer(dec)
		return
	}
	owner.pending[id] = answer
	o.step(owner)
	o.sim.after(250, func() {
		if owner.pending[id] != nil {
			delete(owner.pending, id)
			answer(dispatcher.Decision{ID: id, Queued: attemptsLeft == waitForVotes || owner.dispatcher.CanGrant("svc", o.sim.now), Reason: reasonNotReady})
		}
	})
}

func (o *ownerScheme) handleDecision(n, owner *node, id string, dec dispatcher.Decision, sent, arrived clock.Millis, attemptsLeft int) {
	switch {
	case dec.Queued:
		o.sendAcquire(n, owner, id, arrived, attemptsLeft)
	case dec.Granted && n.permits.AcceptGrant(id, dec.Server.Name, sent, o.sim.now):
		server, _ := strconv.Atoi(dec.Server.Name)
		o.sim.after(oneWayDelay, func() {
			o.sim.serve(server, func() {
				o.sim.after(oneWayDelay, func() {
					if !n.dead {
						o.sim.finish(arrived)
						o.release(n, owner, id)
					}
				})
			})
		})
	case dec.Reason == reasonNotReady:
		n.unresponsiveUntil[owner.name] = o.sim.now + 1000
		o.release(n, owner, id)
		if attemptsLeft--; attemptsLeft == 0 {
			// There is no other region in this simulation, so the request keeps waiting.
			attemptsLeft = waitForVotes
		}
		o.acquireSlot(n, arrived, attemptsLeft)
	case dec.Reason == dispatcher.ReasonNoServer || dec.Reason == dispatcher.ReasonNotOwner:
		o.release(n, owner, id)
		o.acquireSlot(n, arrived, attemptsLeft-1)
	default:
		// Another owner may have a free slot; the last owner's refusal is final.
		o.release(n, owner, id)
		o.acquireSlot(n, arrived, attemptsLeft-1)
	}
}

func (o *ownerScheme) release(n, owner *node, id string) {
	n.permits.Remove(id)
	o.addInFlight(n, owner, -1)
	o.deliver(n, owner, func() {
		if o.canReach(n, owner) {
			owner.dispatcher.Release(id, schema.PermitResult_PERMIT_RESULT_OK, clock.Millis(o.sim.meanServiceTime), o.sim.now)
			o.step(owner)
		}
	})
}

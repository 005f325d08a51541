package main

import (
	"fmt"
	"strconv"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
)

// deadline of each request in mean service times; it is 5 s at the usual mean, as in the demo.
const deadline = 50

// notReady answers a request that waits for an owner without votes.
const notReady = "not_ready"

// patient is the number of tries of a request that waits for an owner without votes.
const patient = -1

// node is one host of the owner scheme, with the decision code that hosts run.
type node struct {
	id      int
	name    string
	d       *dispatcher.Dispatcher
	e       *dispatcher.PermitTable
	dead    bool
	loads   map[string]dispatcher.Candidate
	silent  map[string]clock.Millis
	waiting map[string]func(dispatcher.Decision)
	side    int
}

// owners is the owner scheme.
type owners struct {
	s      *sim
	nodes  []*node
	names  []string
	fault  string
	n      int
	server []dispatcher.Server
}

func newOwners(s *sim, rules dispatcher.Rules, fault string) *owners {
	o := &owners{s: s, fault: fault}
	for i := range s.hosts {
		o.names = append(o.names, fmt.Sprintf("host-%d", i))
	}
	for i := range s.servers {
		o.server = append(o.server, dispatcher.Server{Name: strconv.Itoa(i), Slots: s.slots})
	}
	for i, name := range o.names {
		o.nodes = append(o.nodes, &node{
			id: i, name: name, e: dispatcher.NewPermitTable(rules), side: i % 2,
			d:     dispatcher.New(dispatcher.Config{Self: name, Epoch: 1, Rules: rules}),
			loads: make(map[string]dispatcher.Candidate), silent: make(map[string]clock.Millis),
			waiting: make(map[string]func(dispatcher.Decision)),
		})
	}
	return o
}

func (o *owners) during(from, length clock.Millis) bool {
	return o.s.now >= from && o.s.now < from+length
}

func (o *owners) paused(n *node) bool {
	return o.fault == "host paused 4 s" && n.id == 0 && o.during(faultAt, 4000)
}

// reachable reports whether messages pass between two hosts.
func (o *owners) reachable(a, b *node) bool {
	return !a.dead && !b.dead && !o.paused(a) && !o.paused(b) && (o.fault != "cut in halves 10 s" || a.side == b.side || !o.during(faultAt, 10000))
}

// view returns whom a host takes for live; silence is noticed after 2 s.
func (o *owners) view(n *node) []string {
	var out []string
	for _, m := range o.nodes {
		gone := m.dead && o.s.now >= faultAt+2000 ||
			o.paused(m) && o.s.now >= faultAt+2000 ||
			o.fault == "cut in halves 10 s" && m.side != n.side && o.during(faultAt+2000, 8000) ||
			o.fault == "views differ 3 s" && m.id == 0 && n.side == 1 && o.during(faultAt, 3000)
		if !gone {
			out = append(out, m.name)
		}
	}
	return out
}

func (o *owners) tick(s *sim) {
	if o.fault == "host dies" && s.now == faultAt {
		o.nodes[0].dead = true
	}
	for i, n := range o.nodes {
		if n.dead || o.paused(n) {
			continue
		}
		phase := (s.now + clock.Millis(i*13)) % 500
		if phase%50 == 0 {
			o.refresh(n)
		}
		if phase == 0 {
			for _, m := range o.nodes {
				o.report(n, m)
			}
		}
		o.step(n)
	}
}

func (o *owners) refresh(n *node) {
	view := o.view(n)
	n.d.SetView(dispatcher.View{
		EligibleOwners: view, LiveInRegion: view, LiveHosts: view,
		Services: []dispatcher.Service{{Name: "svc", ServiceTime: clock.Millis(o.s.mean), Servers: o.server}},
	}, o.s.now)
}

func (o *owners) step(n *node) {
	for _, dec := range n.d.Step(o.s.now) {
		if f := n.waiting[dec.ID]; f != nil {
			delete(n.waiting, dec.ID)
			f(dec)
		}
	}
}

// report sends a host's report and load, as reports and heartbeats do.
func (o *owners) report(n, m *node) {
	v := n.d.Voter()
	r := &schema.ReportPermitsRequest{
		Host: n.name, Incarnation: 1, Permits: n.e.InRegion("r"), Votes: v.Votes(m.name, n.d.Owners(), o.s.now),
		RegionHosts: uint32(n.d.RegionHosts(o.s.now)), Fresh: v.Fresh(o.s.now), Token: v.LatestToken(m.name),
	}
	if n == m {
		r.Token = n.d.IssueToken(o.s.now)
		n.d.HandleReport(r, o.s.now)
		return
	}
	if m.dead {
		// The connection is refused.
		n.d.MarkDead(m.name, 1, o.s.now)
	}
	if !o.reachable(n, m) {
		return
	}
	load := n.d.Loads(o.s.now)
	o.s.after(delay, func() {
		m.d.HandleReport(r, o.s.now)
		tok, soon := m.d.IssueToken(o.s.now), m.d.HasPendingServers()
		for _, l := range load {
			m.loads[n.name] = dispatcher.Candidate{Slots: int(l.GetSlots()), ReportedLoad: int(l.GetInUse() + l.GetQueued()), LocalInFlight: m.loads[n.name].LocalInFlight}
		}
		o.s.after(delay, func() {
			v.RecordToken(m.name, tok, o.s.now)
			if soon && !n.dead {
				o.s.after(50, func() { o.report(n, m) })
			}
		})
	})
}

func (o *owners) arrive(s *sim, host int) {
	n := o.nodes[host]
	if n.dead || o.paused(n) {
		// Callers use the next host.
		n = o.nodes[(host+1)%len(o.nodes)]
	}
	o.request(n, s.now, 3)
}

// request asks an owner, and another one when it does not answer or cannot serve.
func (o *owners) request(n *node, arrived clock.Millis, tries int) {
	owner := o.choose(n)
	if owner == nil || tries == 0 || tries < -1 {
		if arrived >= warmUp {
			o.s.refused++
		}
		return
	}
	o.n++
	id := strconv.Itoa(o.n)
	n.e.Add(id, "r", "svc", "w")
	o.count(n, owner, 1)
	o.ask(n, owner, id, arrived, tries)
}

func (o *owners) count(n, owner *node, by int) {
	c := n.loads[owner.name]
	c.InFlightDelta += by
	c.LocalInFlight += by
	n.loads[owner.name] = c
}

func (o *owners) choose(n *node) *node {
	list := o.candidates(n, false)
	if len(list) == 0 {
		// Owners that did not answer lately are taken only when there is no other.
		list = o.candidates(n, true)
	}
	if len(list) == 0 {
		return nil
	}
	name := list[dispatcher.DefaultChooser().Choose(list, o.s.rng.Intn)].Host
	for _, m := range o.nodes {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (o *owners) candidates(n *node, silent bool) []dispatcher.Candidate {
	var list []dispatcher.Candidate
	owns := make(map[string]bool)
	for _, owner := range n.d.Owners() {
		owns[owner] = true
	}
	for _, name := range o.names {
		if owns[name] && (silent || o.s.now >= n.silent[name]) {
			c := n.loads[name]
			c.Host, c.EntryHosts = name, len(o.nodes)
			if name == n.name {
				l := n.d.Loads(o.s.now)[0]
				c.Slots, c.ReportedLoad, c.InFlightDelta = int(l.GetSlots()), int(l.GetInUse()+l.GetQueued()), 0
			}
			list = append(list, c)
		}
	}
	return list
}

// ask makes one call, which an owner holds for up to 250 ms.
func (o *owners) ask(n, owner *node, id string, arrived clock.Millis, tries int) {
	sent, answered := o.s.now, false
	answer := func(dec dispatcher.Decision) {
		o.after(n, owner, func() {
			if !answered && o.reachable(n, owner) {
				answered = true
				o.answer(n, owner, id, dec, sent, arrived, tries)
			}
		})
	}
	o.s.after(500, func() {
		if !answered && !n.dead {
			answered = true
			n.silent[owner.name] = o.s.now + 1000
			o.end(n, owner, id)
			o.request(n, arrived, tries-1)
		}
	})
	o.after(n, owner, func() {
		if owner.dead && !answered && !n.dead {
			// The connection is refused.
			answered = true
			n.d.MarkDead(owner.name, 1, o.s.now)
			o.end(n, owner, id)
			o.request(n, arrived, tries-1)
		}
		if o.reachable(n, owner) {
			o.decide(n, owner, id, arrived, tries, answer)
		}
	})
}

// after carries a message; a host reaches itself at once.
func (o *owners) after(n, m *node, f func()) {
	if n == m {
		f()
		return
	}
	o.s.after(delay, f)
}

func (o *owners) decide(n, owner *node, id string, arrived clock.Millis, tries int, answer func(dispatcher.Decision)) {
	dec := owner.d.Acquire(dispatcher.Request{
		Host: n.name, Incarnation: 1, ID: id, Service: "svc", Workspace: "w", Deadline: arrived + clock.Millis(deadline*o.s.mean),
	}, o.s.now)
	if !dec.Queued {
		answer(dec)
		return
	}
	owner.waiting[id] = answer
	o.step(owner)
	o.s.after(250, func() {
		if owner.waiting[id] != nil {
			delete(owner.waiting, id)
			answer(dispatcher.Decision{ID: id, Queued: tries == patient || owner.d.CanGrant("svc", o.s.now), Reason: notReady})
		}
	})
}

func (o *owners) answer(n, owner *node, id string, dec dispatcher.Decision, sent, arrived clock.Millis, tries int) {
	switch {
	case dec.Queued:
		o.ask(n, owner, id, arrived, tries)
	case dec.Granted && n.e.AcceptGrant(id, dec.Server.Name, sent, o.s.now):
		server, _ := strconv.Atoi(dec.Server.Name)
		o.s.after(delay, func() {
			o.s.serve(server, func() {
				o.s.after(delay, func() {
					if !n.dead {
						o.s.finish(arrived)
						o.end(n, owner, id)
					}
				})
			})
		})
	case dec.Reason == notReady:
		n.silent[owner.name] = o.s.now + 1000
		o.end(n, owner, id)
		if tries--; tries == 0 {
			// There is no other region here, so the request waits.
			tries = patient
		}
		o.request(n, arrived, tries)
	case dec.Reason == dispatcher.ReasonNoServer || dec.Reason == dispatcher.ReasonNotOwner:
		o.end(n, owner, id)
		o.request(n, arrived, tries-1)
	default:
		// Another owner may have room; the last one's refusal counts.
		o.end(n, owner, id)
		o.request(n, arrived, tries-1)
	}
}

func (o *owners) end(n, owner *node, id string) {
	n.e.Remove(id)
	o.count(n, owner, -1)
	o.after(n, owner, func() {
		if o.reachable(n, owner) {
			owner.d.Release(id, schema.PermitResult_PERMIT_RESULT_OK, clock.Millis(o.s.mean), o.s.now)
			o.step(owner)
		}
	})
}

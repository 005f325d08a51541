package dispatcher

import (
	"fmt"
	"math/rand"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// fleetHost is a simulated host: an owner, voter and entry host.
type fleetHost struct {
	name        string
	incarnation uint64
	d           *Dispatcher
	permits     *PermitTable
	view        []string
	dead        bool
	pausedUntil clock.Millis
	requests    map[string]*fleetRequest
}

// fleetRequest is a request in an entry host.
type fleetRequest struct {
	owner       string
	deadline    clock.Millis
	serviceTime clock.Millis
	server      string
	servedUntil clock.Millis
}

// fleet simulates hosts in virtual time with unreliable messages, and counts the slots that are really in use.
type fleet struct {
	rules Rules
	rng   *rand.Rand
	now   clock.Millis
	hosts []*fleetHost
	// messages are in transit, by arrival time.
	messages         map[clock.Millis][]func()
	inUse            map[string]int
	slots            int
	servers          []Server
	faultProbability float64
	maxDelay         clock.Millis
	slotsExceeded    int
	// dualOwners counts the times at which two hosts were elected for one server.
	dualOwners    int
	served        int
	nextID        int
	noNewRequests bool
	// stoppedGranting are the hosts that have announced that they are leaving.
	stoppedGranting []string
	// treatSilenceAsDeath, announceBeforeStop and reportEndedPermits each break a rule:
	// a paused host counts as dead, a leaving host goes on granting after its
	// announcement, and entry hosts report permits that have ended.
	treatSilenceAsDeath, announceBeforeStop, reportEndedPermits bool
}

func newFleet(rules Rules, seed int64, hosts, servers, slots int) *fleet {
	f := &fleet{rules: rules, rng: rand.New(rand.NewSource(seed)), messages: make(map[clock.Millis][]func()), inUse: make(map[string]int), slots: slots, maxDelay: 2}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	for i := range servers {
		f.servers = append(f.servers, Server{Name: fmt.Sprintf("s%d", i), Slots: slots})
	}
	for _, n := range names {
		h := &fleetHost{name: n, view: names}
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	return f
}

func (f *fleet) start(h *fleetHost) {
	h.incarnation++
	h.dead, h.requests = false, make(map[string]*fleetRequest)
	h.permits = NewPermitTable(f.rules)
	h.d = New(Config{Self: h.name, Epoch: h.incarnation, Start: f.now, Rules: f.rules})
	f.setView(h, h.view)
}

func (f *fleet) setView(h *fleetHost, view []string) {
	h.view = view
	incarnations := make(map[string]uint64)
	for _, other := range f.hosts {
		incarnations[other.name] = other.incarnation
	}
	// The leaving host itself may not have seen its announcement yet.
	eligible := slices.DeleteFunc(slices.Clone(view), func(n string) bool { return n != h.name && slices.Contains(f.stoppedGranting, n) })
	h.d.SetView(View{
		EligibleOwners: eligible, LiveInRegion: view, LiveHosts: view, Incarnations: incarnations, StoppedGranting: f.stoppedGranting,
		Services: []Service{{Name: "svc", ServiceTime: 10, HasHealthEndpoint: true, Servers: f.servers}},
	}, f.now)
}

func (f *fleet) crash(h *fleetHost) {
	h.dead = true
	f.stoppedGranting = nil
	for _, req := range h.requests {
		if req.server != "" {
			f.inUse[req.server]--
		}
	}
	h.requests = make(map[string]*fleetRequest)
}

// leave starts a planned stop.
func (f *fleet) leave(h *fleetHost) {
	if !f.announceBeforeStop {
		h.d.Leave(f.now)
	}
	f.stoppedGranting = []string{h.name}
}

func (f *fleet) host(name string) *fleetHost {
	i := slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.name == name })
	return f.hosts[i]
}

// send delivers a message, which may be lost, delayed or duplicated.
func (f *fleet) send(to *fleetHost, run func()) {
	incarnation := to.incarnation
	deliver := func() {
		if !to.dead && to.incarnation == incarnation {
			run()
		}
	}
	copies := 1
	if f.rng.Float64() < f.faultProbability {
		copies = 2 * f.rng.Intn(2)
	}
	for range copies {
		delay := clock.Millis(f.rng.Int63n(int64(f.maxDelay) + 1))
		if f.rng.Float64() < f.faultProbability {
			delay += clock.Millis(f.rng.Intn(3000))
		}
		at := f.now + 1 + delay
		f.messages[at] = append(f.messages[at], deliver)
	}
}

func (f *fleet) sendReport(h, to *fleetHost) {
	v := h.d.Voter()
	r := &schema.ReportPermitsRequest{
		Host: h.name, Incarnation: h.incarnation, Permits: h.permits.InRegion(""),
		Votes: v.Votes(to.name, h.d.Owners(), f.now), RegionHosts: uint32(h.d.RegionHosts(f.now)), Fresh: v.Fresh(f.now),
	}
	if h == to {
		r.Token = h.d.IssueToken(f.now)
		h.d.HandleReport(r, f.now)
		return
	}
	if to.dead || f.treatSilenceAsDeath && f.now < to.pausedUntil {
		// The connection is refused.
		h.d.MarkDead(to.name, to.incarnation, f.now)
		return
	}
	r.Token = v.LatestToken(to.name)
	incarnation := h.incarnation
	f.send(to, func() {
		to.d.HandleReport(r, f.now)
		tok := to.d.IssueToken(f.now)
		f.send(h, func() {
			if h.incarnation == incarnation {
				h.d.Voter().RecordToken(to.name, tok, f.now)
			}
		})
	})
}

// startRequest starts a request at an entry host.
func (f *fleet) startRequest(h *fleetHost, serviceTime clock.Millis) {
	f.nextID++
	id := fmt.Sprintf("%s-%d", h.name, f.nextID)
	owners := h.d.Owners()
	owner := owners[f.servers[f.rng.Intn(len(f.servers))].Name]
	if owner == "" {
		return
	}
	h.permits.Add(id, "", "svc", "w")
	h.requests[id] = &fleetRequest{owner: owner, deadline: f.now + 2000, serviceTime: serviceTime}
	f.acquire(h, id)
}

func (f *fleet) acquire(h *fleetHost, id string) {
	req := h.requests[id]
	to, sent := f.host(req.owner), f.now
	r := Request{Host: h.name, Incarnation: h.incarnation, ID: id, Service: "svc", Workspace: "w"}
	f.send(to, func() {
		r.Deadline = f.now + 2000
		dec := to.d.Acquire(r, f.now)
		if dec.Queued {
			to.d.Step(f.now)
			dec = to.d.Acquire(r, f.now)
		}
		f.send(h, func() { f.handleDecision(h, id, dec, sent) })
	})
}

func (f *fleet) handleDecision(h *fleetHost, id string, dec Decision, sent clock.Millis) {
	req := h.requests[id]
	if req == nil || req.server != "" || !dec.Granted || !h.permits.AcceptGrant(id, dec.Server.Name, sent, f.now) {
		return
	}
	req.server, req.servedUntil = dec.Server.Name, f.now+req.serviceTime
	f.served++
	f.inUse[req.server]++
	if f.inUse[req.server] > f.slots {
		f.slotsExceeded++
	}
}

// tick advances time by 1 ms. Hosts run every 50 ms and report every 500 ms.
func (f *fleet) tick() {
	f.now++
	due := f.messages[f.now]
	delete(f.messages, f.now)
	for _, run := range due {
		run()
	}
	for i, h := range f.hosts {
		if !h.dead && f.now >= h.pausedUntil && (f.now+clock.Millis(i*7))%50 == 0 {
			f.runHost(h)
		}
	}
	if f.now%50 == 0 {
		f.countDualOwners()
	}
}

func (f *fleet) countDualOwners() {
	for _, s := range f.servers {
		n := 0
		for _, h := range f.hosts {
			if st := h.d.servers[s.Name]; !h.dead && st.owned && h.d.isElected(st, f.now) {
				n++
			}
		}
		if n > 1 {
			f.dualOwners++
		}
	}
}

func (f *fleet) runHost(h *fleetHost) {
	h.d.Step(f.now)
	f.setView(h, h.view)
	if !f.noNewRequests && len(h.requests) < 8 {
		f.startRequest(h, clock.Millis(20+f.rng.Intn(800)))
	}
	ids := make([]string, 0, len(h.requests))
	for id := range h.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.advanceRequest(h, id)
	}
	if f.now/50%10 == 0 {
		for _, to := range f.hosts {
			f.sendReport(h, to)
		}
	}
}

func (f *fleet) advanceRequest(h *fleetHost, id string) {
	req := h.requests[id]
	switch {
	case req.server != "" && f.now >= req.servedUntil:
		f.inUse[req.server]--
	case req.server == "" && f.now >= req.deadline:
	case req.server == "":
		f.acquire(h, id)
		return
	default:
		return
	}
	delete(h.requests, id)
	if !f.reportEndedPermits {
		h.permits.Remove(id)
	}
	to := f.host(req.owner)
	f.send(to, func() { to.d.Release(id, schema.PermitResult_PERMIT_RESULT_OK, req.serviceTime, f.now) })
}

// permitCount returns the number of permits that the owners count.
func (f *fleet) permitCount() int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead {
			n += len(h.d.permits)
		}
	}
	return n
}

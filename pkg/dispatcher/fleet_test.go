package dispatcher

import (
	"fmt"
	"math/rand"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// fleetHost is one simulated host: owner, voter and entry host.
type fleetHost struct {
	name        string
	incarnation uint64
	d           *Dispatcher
	e           *PermitTable
	view        []string
	dead        bool
	pausedUntil clock.Millis
	asks        map[string]*ask
}

type ask struct {
	owner    string
	giveUp   clock.Millis
	serveFor clock.Millis
	using    string
	until    clock.Millis
}

// fleet runs hosts in virtual time with faulty messages and counts slots that are really in use.
type fleet struct {
	rules Rules
	rng   *rand.Rand
	now   clock.Millis
	hosts []*fleetHost
	// calls are on their way, by the time of arrival.
	calls  map[clock.Millis][]func()
	inUse  map[string]int
	slots  int
	server []Server
	loss   float64
	delay  clock.Millis
	over   int
	// dual counts moments at which two hosts were elected for one server.
	dual   int
	served int
	next   int
	// quiet starts no new requests.
	quiet bool
	// released are the hosts that have announced that they leave.
	released []string
	// silenceIsDeath, announceFirst and keepEnded break a rule: a paused host is
	// taken for dead, a host announces that it leaves and goes on granting, and
	// entry hosts report permits that have ended.
	silenceIsDeath, announceFirst, keepEnded bool
}

func newFleet(rules Rules, seed int64, hosts, servers, slots int) *fleet {
	f := &fleet{rules: rules, rng: rand.New(rand.NewSource(seed)), calls: make(map[clock.Millis][]func()), inUse: make(map[string]int), slots: slots, delay: 2}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	for i := range servers {
		f.server = append(f.server, Server{Name: fmt.Sprintf("s%d", i), Slots: slots})
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
	h.dead, h.asks = false, make(map[string]*ask)
	h.e = NewPermitTable(f.rules)
	h.d = New(Config{Self: h.name, Epoch: h.incarnation, Start: f.now, Rules: f.rules})
	f.setView(h, h.view)
}

func (f *fleet) setView(h *fleetHost, view []string) {
	h.view = view
	incarnations := make(map[string]uint64)
	for _, other := range f.hosts {
		incarnations[other.name] = other.incarnation
	}
	// The leaving host may not have seen its own announcement.
	eligible := slices.DeleteFunc(slices.Clone(view), func(n string) bool { return n != h.name && slices.Contains(f.released, n) })
	h.d.SetView(View{
		EligibleOwners: eligible, LiveInRegion: view, LiveHosts: view, Incarnations: incarnations, StoppedGranting: f.released,
		Services: []Service{{Name: "svc", ServiceTime: 10, HasHealthEndpoint: true, Servers: f.server}},
	}, f.now)
}

func (f *fleet) crash(h *fleetHost) {
	h.dead = true
	f.released = nil
	for _, a := range h.asks {
		if a.using != "" {
			f.inUse[a.using]--
		}
	}
	h.asks = make(map[string]*ask)
}

// leave begins a planned stop.
func (f *fleet) leave(h *fleetHost) {
	if !f.announceFirst {
		h.d.Leave(f.now)
	}
	f.released = []string{h.name}
}

func (f *fleet) host(name string) *fleetHost {
	i := slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.name == name })
	return f.hosts[i]
}

// send carries a call, which may be lost, late or doubled.
func (f *fleet) send(to *fleetHost, run func()) {
	incarnation := to.incarnation
	deliver := func() {
		if !to.dead && to.incarnation == incarnation {
			run()
		}
	}
	copies := 1
	if f.rng.Float64() < f.loss {
		copies = 2 * f.rng.Intn(2)
	}
	for range copies {
		late := clock.Millis(f.rng.Int63n(int64(f.delay) + 1))
		if f.rng.Float64() < f.loss {
			late += clock.Millis(f.rng.Intn(3000))
		}
		at := f.now + 1 + late
		f.calls[at] = append(f.calls[at], deliver)
	}
}

func (f *fleet) report(h, to *fleetHost) {
	v := h.d.Voter()
	r := &schema.ReportPermitsRequest{
		Host: h.name, Incarnation: h.incarnation, Permits: h.e.InRegion(""),
		Votes: v.Votes(to.name, h.d.Owners(), f.now), RegionHosts: uint32(h.d.RegionHosts(f.now)), Fresh: v.Fresh(f.now),
	}
	if h == to {
		r.Token = h.d.IssueToken(f.now)
		h.d.HandleReport(r, f.now)
		return
	}
	if to.dead || f.silenceIsDeath && f.now < to.pausedUntil {
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

// request starts a request at a host.
func (f *fleet) request(h *fleetHost, serveFor clock.Millis) {
	f.next++
	id := fmt.Sprintf("%s-%d", h.name, f.next)
	owners := h.d.Owners()
	owner := owners[f.server[f.rng.Intn(len(f.server))].Name]
	if owner == "" {
		return
	}
	h.e.Add(id, "", "svc", "w")
	h.asks[id] = &ask{owner: owner, giveUp: f.now + 2000, serveFor: serveFor}
	f.acquire(h, id)
}

func (f *fleet) acquire(h *fleetHost, id string) {
	a := h.asks[id]
	to, sent := f.host(a.owner), f.now
	r := Request{Host: h.name, Incarnation: h.incarnation, ID: id, Service: "svc", Workspace: "w"}
	f.send(to, func() {
		r.Deadline = f.now + 2000
		dec := to.d.Acquire(r, f.now)
		if dec.Queued {
			to.d.Step(f.now)
			dec = to.d.Acquire(r, f.now)
		}
		f.send(h, func() { f.answer(h, id, dec, sent) })
	})
}

func (f *fleet) answer(h *fleetHost, id string, dec Decision, sent clock.Millis) {
	a := h.asks[id]
	if a == nil || a.using != "" || !dec.Granted || !h.e.AcceptGrant(id, dec.Server.Name, sent, f.now) {
		return
	}
	a.using, a.until = dec.Server.Name, f.now+a.serveFor
	f.served++
	f.inUse[a.using]++
	if f.inUse[a.using] > f.slots {
		f.over++
	}
}

// tick moves time by 1 ms; hosts work every 50 ms and report every 500 ms.
func (f *fleet) tick() {
	f.now++
	due := f.calls[f.now]
	delete(f.calls, f.now)
	for _, run := range due {
		run()
	}
	for i, h := range f.hosts {
		if !h.dead && f.now >= h.pausedUntil && (f.now+clock.Millis(i*7))%50 == 0 {
			f.work(h)
		}
	}
	if f.now%50 == 0 {
		f.countElected()
	}
}

func (f *fleet) countElected() {
	for _, s := range f.server {
		n := 0
		for _, h := range f.hosts {
			if st := h.d.servers[s.Name]; !h.dead && st.owned && h.d.elected(st, f.now) {
				n++
			}
		}
		if n > 1 {
			f.dual++
		}
	}
}

func (f *fleet) work(h *fleetHost) {
	h.d.Step(f.now)
	f.setView(h, h.view)
	if !f.quiet && len(h.asks) < 8 {
		f.request(h, clock.Millis(20+f.rng.Intn(800)))
	}
	ids := make([]string, 0, len(h.asks))
	for id := range h.asks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.progress(h, id)
	}
	if f.now/50%10 == 0 {
		for _, to := range f.hosts {
			f.report(h, to)
		}
	}
}

func (f *fleet) progress(h *fleetHost, id string) {
	a := h.asks[id]
	switch {
	case a.using != "" && f.now >= a.until:
		f.inUse[a.using]--
	case a.using == "" && f.now >= a.giveUp:
	case a.using == "":
		f.acquire(h, id)
		return
	default:
		return
	}
	delete(h.asks, id)
	if !f.keepEnded {
		h.e.Remove(id)
	}
	to := f.host(a.owner)
	f.send(to, func() { to.d.Release(id, schema.PermitResult_PERMIT_RESULT_OK, a.serveFor, f.now) })
}

// leaked counts permits that owners still hold.
func (f *fleet) leaked() int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead {
			n += len(h.d.permits)
		}
	}
	return n
}

package main

import (
	"fmt"
	"strconv"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
)

// region holds the backend servers of one region. One host owns all of them and
// grants their slots with the dispatcher that hosts run.
type region struct {
	w       *world
	n       int
	d       *dispatcher.Dispatcher
	entry   *dispatcher.PermitTable
	waiting map[string]func(dispatcher.Decision)
	servers map[string]*server
	names   [][]string
	gone    bool
	// drained is when the drain began, negative without one.
	drained time.Duration
	lastEnd time.Duration
}

// server counts what runs at one backend server.
type server struct {
	service *service
	inUse   int
	queue   []func()
}

func newRegion(w *world, n int) *region {
	rules := dispatcher.DefaultRules()
	r := &region{
		w: w, n: n, drained: -1, entry: dispatcher.NewPermitTable(rules), servers: make(map[string]*server),
		waiting: make(map[string]func(dispatcher.Decision)),
		d:       dispatcher.New(dispatcher.Config{Self: "owner", Epoch: 1, Rules: rules}),
	}
	for i := range w.services {
		var names []string
		for s := range (w.services[i].servers + regions - 1 - n) / regions {
			name := fmt.Sprintf("%d-%d", i, s)
			names = append(names, name)
			r.servers[name] = &server{service: &w.services[i]}
		}
		r.names = append(r.names, names)
	}
	return r
}

func (r *region) now() clock.Millis { return clock.FromDuration(r.w.Now()) }

// refresh tells the dispatcher what is in force and renews its own vote.
func (r *region) refresh() {
	if r.gone {
		return
	}
	view := dispatcher.View{EligibleOwners: []string{"owner"}, LiveInRegion: []string{"owner"}, LiveHosts: []string{"owner"}, Weights: r.w.weights}
	for i, svc := range r.w.services {
		v := dispatcher.Service{Name: svc.name, ServiceTime: clock.FromDuration(svc.mean)}
		if r.drained < 0 || r.w.Now() < r.drained+inForce {
			for _, name := range r.names[i] {
				v.Servers = append(v.Servers, dispatcher.Server{Name: name, Slots: svc.slots})
			}
		}
		view.Services = append(view.Services, v)
	}
	r.d.SetView(view, r.now())
	voter := r.d.Voter()
	r.d.HandleReport(&schema.ReportPermitsRequest{
		Host: "owner", Incarnation: 1, Permits: r.entry.InRegion("r"), Votes: voter.Votes("owner", r.d.Owners(), r.now()),
		RegionHosts: uint32(r.d.RegionHosts(r.now())), Fresh: voter.Fresh(r.now()), Token: r.d.IssueToken(r.now()),
	}, r.now())
	r.step()
}

func (r *region) step() {
	for _, dec := range r.d.Step(r.now()) {
		if f := r.waiting[dec.ID]; f != nil {
			delete(r.waiting, dec.ID)
			f(dec)
		}
	}
}

// serve gets a slot for a request and runs it there.
func (r *region) serve(q *query, delay time.Duration) {
	if r.w.baseline {
		names := r.names[q.service]
		r.runBlind(q, r.servers[names[r.w.Rand().IntN(len(names))]], delay)
		return
	}
	r.w.ids++
	id := strconv.Itoa(r.w.ids)
	sent := r.now()
	r.entry.Add(id, "r", r.w.services[q.service].name, q.workspace)
	decide := func(dec dispatcher.Decision) {
		if !dec.Granted || !r.entry.AcceptGrant(id, dec.Server.Name, max(sent, r.now()-1), r.now()) {
			r.entry.Remove(id)
			q.end(false)
			return
		}
		r.run(q, id, r.servers[dec.Server.Name], delay)
	}
	dec := r.d.Acquire(dispatcher.Request{
		Host: "owner", Incarnation: 1, ID: id, Service: r.w.services[q.service].name, Workspace: q.workspace,
		Deadline: sent + clock.FromDuration(deadline),
	}, sent)
	if !dec.Queued {
		decide(dec)
		return
	}
	r.waiting[id] = decide
	r.step()
}

func (r *region) run(q *query, id string, s *server, delay time.Duration) {
	r.w.AfterFunc(delay, func() {
		r.begin(q, s)
		r.w.AfterFunc(r.w.serviceTime(s.service), func() {
			s.inUse--
			r.lastEnd = r.w.Now()
			r.w.AfterFunc(delay, func() {
				r.entry.Remove(id)
				r.d.Release(id, schema.PermitResult_PERMIT_RESULT_OK, clock.FromDuration(s.service.mean), r.now())
				r.step()
				q.end(!r.gone)
			})
		})
	})
}

// begin counts a request that reaches a server.
func (r *region) begin(q *query, s *server) {
	s.inUse++
	q.runs++
	if q.runs > 1 {
		r.w.secondRuns++
	}
	if s.inUse > s.service.slots {
		r.w.overloads++
	}
	if r.drained >= 0 && r.w.Now() > r.drained+5*time.Second {
		r.w.lateNewWork++
	}
}

// runBlind sends a request without a permit; the server queues what is above its slots.
func (r *region) runBlind(q *query, s *server, delay time.Duration) {
	r.w.AfterFunc(delay, func() {
		r.begin(q, s)
		work := func() {
			r.w.AfterFunc(r.w.serviceTime(s.service), func() {
				s.inUse--
				r.lastEnd = r.w.Now()
				if len(s.queue) > 0 {
					next := s.queue[0]
					s.queue = s.queue[1:]
					next()
				}
				r.w.AfterFunc(delay, func() { q.end(!r.gone) })
			})
		}
		if s.inUse > s.service.slots {
			s.queue = append(s.queue, work)
			return
		}
		work()
	})
}

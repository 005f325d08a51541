package main

import (
	"fmt"
	"strconv"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
)

// region holds the backend servers of one region. A single host owns them all and grants
// their slots with the hosts' own dispatcher code.
type region struct {
	w           *world
	index       int
	dispatcher  *dispatcher.Dispatcher
	permits     *dispatcher.PermitTable
	pending     map[string]func(dispatcher.Decision)
	servers     map[string]*server
	serverNames [][]string
	lost        bool
	// drainStart is negative if the region is not draining.
	drainStart     time.Duration
	lastCompletion time.Duration
}

// server counts the requests at one backend server.
type server struct {
	service *service
	inUse   int
	queue   []func()
}

func newRegion(w *world, n int) *region {
	rules := dispatcher.DefaultRules()
	r := &region{
		w: w, index: n, drainStart: -1, permits: dispatcher.NewPermitTable(rules), servers: make(map[string]*server),
		pending:    make(map[string]func(dispatcher.Decision)),
		dispatcher: dispatcher.New(dispatcher.Config{Self: "owner", Epoch: 1, Rules: rules}),
	}
	for i := range w.services {
		var names []string
		for s := range (w.services[i].servers + regions - 1 - n) / regions {
			name := fmt.Sprintf("%d-%d", i, s)
			names = append(names, name)
			r.servers[name] = &server{service: &w.services[i]}
		}
		r.serverNames = append(r.serverNames, names)
	}
	return r
}

func (r *region) now() clock.Millis { return clock.FromDuration(r.w.Now()) }

// refreshView updates the dispatcher's view and renews the owner's vote for itself.
func (r *region) refreshView() {
	if r.lost {
		return
	}
	view := dispatcher.View{EligibleOwners: []string{"owner"}, LiveInRegion: []string{"owner"}, LiveHosts: []string{"owner"}, Weights: r.w.weights}
	for i, svc := range r.w.services {
		v := dispatcher.Service{Name: svc.name, ServiceTime: clock.FromDuration(svc.meanTime)}
		if r.drainStart < 0 || r.w.Now() < r.drainStart+applyTarget {
			for _, name := range r.serverNames[i] {
				v.Servers = append(v.Servers, dispatcher.Server{Name: name, Slots: svc.slots})
			}
		}
		view.Services = append(view.Services, v)
	}
	r.dispatcher.SetView(view, r.now())
	voter := r.dispatcher.Voter()
	r.dispatcher.HandleReport(&schema.ReportPermitsRequest{
		Host: "owner", Incarnation: 1, Permits: r.permits.InRegion("r"), Votes: voter.Votes("owner", r.dispatcher.Owners(), r.now()),
		RegionHosts: uint32(r.dispatcher.RegionHosts(r.now())), Fresh: voter.Fresh(r.now()), Token: r.dispatcher.IssueToken(r.now()),
	}, r.now())
	r.step()
}

func (r *region) step() {
	for _, dec := range r.dispatcher.Step(r.now()) {
		if f := r.pending[dec.ID]; f != nil {
			delete(r.pending, dec.ID)
			f(dec)
		}
	}
}

// serve acquires a slot for a request and runs the request there.
func (r *region) serve(req *request, delay time.Duration) {
	if r.w.baseline {
		names := r.serverNames[req.service]
		r.runWithoutPermit(req, r.servers[names[r.w.Rand().IntN(len(names))]], delay)
		return
	}
	r.w.lastPermitID++
	id := strconv.Itoa(r.w.lastPermitID)
	sent := r.now()
	r.permits.Add(id, "r", r.w.services[req.service].name, req.workspace)
	decide := func(dec dispatcher.Decision) {
		if !dec.Granted || !r.permits.AcceptGrant(id, dec.Server.Name, max(sent, r.now()-1), r.now()) {
			r.permits.Remove(id)
			req.finish(false)
			return
		}
		r.runWithPermit(req, id, r.servers[dec.Server.Name], delay)
	}
	dec := r.dispatcher.Acquire(dispatcher.Request{
		Host: "owner", Incarnation: 1, ID: id, Service: r.w.services[req.service].name, Workspace: req.workspace,
		Deadline: sent + clock.FromDuration(requestDeadline),
	}, sent)
	if !dec.Queued {
		decide(dec)
		return
	}
	r.pending[id] = decide
	r.step()
}

func (r *region) runWithPermit(req *request, id string, s *server, delay time.Duration) {
	r.w.AfterFunc(delay, func() {
		r.startRun(req, s)
		r.w.AfterFunc(r.w.serviceTime(s.service), func() {
			s.inUse--
			r.lastCompletion = r.w.Now()
			r.w.AfterFunc(delay, func() {
				r.permits.Remove(id)
				r.dispatcher.Release(id, schema.PermitResult_PERMIT_RESULT_OK, clock.FromDuration(s.service.meanTime), r.now())
				r.step()
				req.finish(!r.lost)
			})
		})
	})
}

// startRun counts a request that has reached a server.
func (r *region) startRun(req *request, s *server) {
	s.inUse++
	req.runs++
	if req.runs > 1 {
		r.w.secondRuns++
	}
	if s.inUse > s.service.slots {
		r.w.overloads++
	}
	if r.drainStart >= 0 && r.w.Now() > r.drainStart+5*time.Second {
		r.w.lateNewWork++
	}
}

// runWithoutPermit sends a request without a permit; the server queues requests in excess of its slots.
func (r *region) runWithoutPermit(req *request, s *server, delay time.Duration) {
	r.w.AfterFunc(delay, func() {
		r.startRun(req, s)
		work := func() {
			r.w.AfterFunc(r.w.serviceTime(s.service), func() {
				s.inUse--
				r.lastCompletion = r.w.Now()
				if len(s.queue) > 0 {
					next := s.queue[0]
					s.queue = s.queue[1:]
					next()
				}
				r.w.AfterFunc(delay, func() { req.finish(!r.lost) })
			})
		}
		if s.inUse > s.service.slots {
			s.queue = append(s.queue, work)
			return
		}
		work()
	})
}

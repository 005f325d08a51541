package runner

import (
	"sync"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// slots is the locked state of the host as owner, voter and entry host.
type slots struct {
	self        string
	incarnation uint64
	clock       clock.Clock

	mu      sync.Mutex
	d       *dispatcher.Dispatcher
	entry   *dispatcher.PermitTable
	waiting map[string]chan dispatcher.Decision
	snap    *snapshotter.Snapshot
	// soon names the hosts that wait for a report.
	soon map[string]bool
}

func newSlots(self string, incarnation uint64, clk clock.Clock) *slots {
	rules := dispatcher.DefaultRules()
	return &slots{
		self: self, incarnation: incarnation, clock: clk, waiting: make(map[string]chan dispatcher.Decision), soon: make(map[string]bool),
		// The high bits of a nanosecond time differ between incarnations that start at least 16 ms apart.
		d:     dispatcher.New(dispatcher.Config{Self: self, Epoch: incarnation >> 24 & (1<<24 - 1), Start: clk.Now(), Rules: rules}),
		entry: dispatcher.NewPermitTable(rules),
	}
}

// update takes a new snapshot.
func (s *slots) update(snap *snapshotter.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap != s.snap {
		s.snap = snap
		s.d.SetView(viewOf(snap), s.clock.Now())
	}
	s.step()
}

// step delivers the decisions that are due; s.mu is held.
func (s *slots) step() {
	for _, dec := range s.d.Step(s.clock.Now()) {
		if ch := s.waiting[dec.ID]; ch != nil {
			ch <- dec
			delete(s.waiting, dec.ID)
		}
	}
}

// acquire asks the host as owner. The channel is set when the request waits.
func (s *slots) acquire(r dispatcher.Request, left clock.Millis) (dispatcher.Decision, chan dispatcher.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	r.Deadline = now + left
	dec := s.d.Acquire(r, now)
	if !dec.Queued {
		return dec, nil
	}
	ch := make(chan dispatcher.Decision, 1)
	s.waiting[r.ID] = ch
	s.step()
	return dec, ch
}

// stopWaiting ends a call that waits; the request keeps its place in the queue.
func (s *slots) stopWaiting(id string, ch chan dispatcher.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[id] == ch {
		delete(s.waiting, id)
	}
}

func (s *slots) release(id string, result schema.PermitResult, took clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Release(id, result, took, s.clock.Now())
	s.step()
}

func (s *slots) report(r *schema.ReportPermitsRequest) *schema.ReportPermitsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.d.HandleReport(r, now)
	s.step()
	return &schema.ReportPermitsResponse{Token: s.d.IssueToken(now), ReportSoon: s.d.HasPendingServers()}
}

// reportFor makes the report to a receiver, which may be the host itself.
func (s *slots) reportFor(receiver, region string) *schema.ReportPermitsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	v := s.d.Voter()
	r := &schema.ReportPermitsRequest{
		Host: s.self, Incarnation: s.incarnation, Permits: s.entry.InRegion(region), Token: v.LatestToken(receiver),
		RegionHosts: uint32(s.d.RegionHosts(now)), Fresh: v.Fresh(now),
	}
	if receiver == s.self {
		r.Token = s.d.IssueToken(now)
	}
	if s.snap != nil && region == s.snap.Self().Region {
		r.Votes = v.Votes(receiver, s.d.Owners(), now)
	}
	return r
}

// answered takes a host's answer to a report.
func (s *slots) answered(owner string, resp *schema.ReportPermitsResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Voter().RecordToken(owner, resp.GetToken(), s.clock.Now())
	s.soon[owner] = resp.GetReportSoon()
}

// takeSoon reports whether a host asked for its next report without delay.
func (s *slots) takeSoon(owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	soon := s.soon[owner]
	delete(s.soon, owner)
	return soon
}

// leave ends all grants of the host.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.Leave(s.clock.Now())
	s.step()
}

// refused takes the proof that nothing listens on a host's peer port any more.
func (s *slots) refused(host string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.MarkDead(host, incarnation, s.clock.Now())
	s.step()
}

func (s *slots) died(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.IsDead(host)
}

func (s *slots) canGrant(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.CanGrant(service, s.clock.Now())
}

func (s *slots) health(service, server string, failed, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.RecordHealthCheck(service, server, failed, leaving, s.clock.Now())
	s.step()
}

func (s *slots) loads() []*schema.PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.Loads(s.clock.Now())
}

// owned returns the services' servers that the host may grant.
func (s *slots) owned() map[string]dispatcher.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.GrantableServers()
}

func (s *slots) ejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.d.Ejections()
}

// viewOf takes from a snapshot what ownership depends on.
func viewOf(snap *snapshotter.Snapshot) dispatcher.View {
	region := snap.Self().Region
	view := dispatcher.View{Weights: make(map[string]float64), Incarnations: make(map[string]uint64)}
	for _, h := range snap.Hosts() {
		view.LiveHosts = append(view.LiveHosts, h.Name)
		view.Incarnations[h.Name] = h.Incarnation
		// A state without an incarnation comes from the platform's list and says nothing about the host's grants.
		if h.Leaving && h.Incarnation != 0 {
			view.StoppedGranting = append(view.StoppedGranting, h.Name)
		}
		if h.Region != region {
			continue
		}
		view.LiveInRegion = append(view.LiveInRegion, h.Name)
		if !h.Leaving {
			view.EligibleOwners = append(view.EligibleOwners, h.Name)
		}
	}
	for _, w := range snap.Config().GetWorkspaces() {
		view.Weights[w.GetName()] = w.GetWeight()
	}
	for _, cfg := range snap.Config().GetServices() {
		svc, _ := snap.Service(cfg.GetName())
		out := dispatcher.Service{
			Name: cfg.GetName(), QueueLength: int(cfg.GetQueueLength()),
			ServiceTime: clock.Millis(cfg.GetServiceTimeMs()), HasHealthEndpoint: cfg.GetHealthPath() != "",
		}
		for _, b := range svc.Servers(region) {
			slots := svc.ServerSlots(b)
			if n := int(cfg.GetConnections()); n > 0 {
				// Each request in flight has a connection of its own.
				slots = min(slots, n)
			}
			out.Servers = append(out.Servers, dispatcher.Server{Name: b.GetName(), Address: b.GetAddress(), Slots: slots})
		}
		view.Services = append(view.Services, out)
	}
	return view
}

func (s *slots) begin(id, region, service, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Add(id, region, service, workspace)
}

func (s *slots) granted(id, server string, sent clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.AcceptGrant(id, server, sent, s.clock.Now())
}

func (s *slots) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Remove(id)
}

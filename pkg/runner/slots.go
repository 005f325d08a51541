package runner

import (
	"sync"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// slotState is the state of the host as owner and voter, in its dispatcher, and as entry
// host, in its permit table. Its methods lock mu.
type slotState struct {
	self        string
	incarnation uint64
	clock       clock.Clock

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	permits    *dispatcher.PermitTable
	waiters    map[string]chan dispatcher.Decision
	snap       *snapshotter.Snapshot
	// reportSoon contains the hosts that asked for their next report without delay.
	reportSoon map[string]bool
}

func newSlotState(self string, incarnation uint64, clk clock.Clock) *slotState {
	rules := dispatcher.DefaultRules()
	return &slotState{
		self: self, incarnation: incarnation, clock: clk, waiters: make(map[string]chan dispatcher.Decision), reportSoon: make(map[string]bool),
		// The incarnation is a time in nanoseconds. Without its low 24 bits it still differs
		// between incarnations that start at least 16 ms apart.
		dispatcher: dispatcher.New(dispatcher.Config{Self: self, Epoch: incarnation >> 24 & (1<<24 - 1), Start: clk.Now(), Rules: rules}),
		permits:    dispatcher.NewPermitTable(rules),
	}
}

// update applies a new snapshot and delivers the decisions that are due.
func (s *slotState) update(snap *snapshotter.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap != s.snap {
		s.snap = snap
		s.dispatcher.SetView(dispatcherView(snap), s.clock.Now())
	}
	s.step()
}

// step delivers the decisions that are due. The caller locks s.mu.
func (s *slotState) step() {
	for _, dec := range s.dispatcher.Step(s.clock.Now()) {
		if ch := s.waiters[dec.ID]; ch != nil {
			ch <- dec
			delete(s.waiters, dec.ID)
		}
	}
}

// acquire asks this host's dispatcher for a slot. If the request is queued, acquire
// returns a channel that receives the decision.
func (s *slotState) acquire(req dispatcher.Request, remaining clock.Millis) (dispatcher.Decision, chan dispatcher.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	req.Deadline = now + remaining
	dec := s.dispatcher.Acquire(req, now)
	if !dec.Queued {
		return dec, nil
	}
	ch := make(chan dispatcher.Decision, 1)
	s.waiters[req.ID] = ch
	s.step()
	return dec, ch
}

// stopWaiting removes the channel of a queued request, which keeps its place in the
// queue.
func (s *slotState) stopWaiting(id string, ch chan dispatcher.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[id] == ch {
		delete(s.waiters, id)
	}
}

func (s *slotState) release(id string, result schema.PermitResult, duration clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Release(id, result, duration, s.clock.Now())
	s.step()
}

func (s *slotState) handleReport(r *schema.ReportPermitsRequest) *schema.ReportPermitsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.dispatcher.HandleReport(r, now)
	s.step()
	return &schema.ReportPermitsResponse{Token: s.dispatcher.IssueToken(now), ReportSoon: s.dispatcher.HasPendingServers()}
}

// buildReport returns the report to a receiver, which may be this host itself.
func (s *slotState) buildReport(receiver, region string) *schema.ReportPermitsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	v := s.dispatcher.Voter()
	r := &schema.ReportPermitsRequest{
		Host: s.self, Incarnation: s.incarnation, Permits: s.permits.InRegion(region), Token: v.LatestToken(receiver),
		RegionHosts: uint32(s.dispatcher.RegionHosts(now)), Fresh: v.Fresh(now),
	}
	if receiver == s.self {
		r.Token = s.dispatcher.IssueToken(now)
	}
	if s.snap != nil && region == s.snap.Self().Region {
		r.Votes = v.Votes(receiver, s.dispatcher.Owners(), now)
	}
	return r
}

// handleReportResponse records an owner's response to a report.
func (s *slotState) handleReportResponse(owner string, resp *schema.ReportPermitsResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Voter().RecordToken(owner, resp.GetToken(), s.clock.Now())
	s.reportSoon[owner] = resp.GetReportSoon()
}

// takeReportSoon reports whether a host asked for its next report without delay, and
// clears the mark.
func (s *slotState) takeReportSoon(owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	soon := s.reportSoon[owner]
	delete(s.reportSoon, owner)
	return soon
}

// leave stops this host from granting slots.
func (s *slotState) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Leave(s.clock.Now())
	s.step()
}

// markDead records that an incarnation of a host has ended: its peer port refuses
// connections.
func (s *slotState) markDead(host string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.MarkDead(host, incarnation, s.clock.Now())
	s.step()
}

func (s *slotState) isDead(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.IsDead(host)
}

func (s *slotState) canGrant(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.CanGrant(service, s.clock.Now())
}

func (s *slotState) recordHealthCheck(service, server string, failed, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordHealthCheck(service, server, failed, leaving, s.clock.Now())
	s.step()
}

func (s *slotState) poolLoads() []*schema.PoolLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Loads(s.clock.Now())
}

// grantableServers returns the servers whose slots this host may grant now, by name.
func (s *slotState) grantableServers() map[string]dispatcher.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.GrantableServers()
}

func (s *slotState) ejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Ejections()
}

// dispatcherView returns the dispatcher's view of the fleet in a snapshot.
func dispatcherView(snap *snapshotter.Snapshot) dispatcher.View {
	region := snap.Self().Region
	view := dispatcher.View{Weights: make(map[string]float64), Incarnations: make(map[string]uint64)}
	for _, h := range snap.Hosts() {
		view.LiveHosts = append(view.LiveHosts, h.Name)
		view.Incarnations[h.Name] = h.Incarnation
		// Without an incarnation the state comes from the platform's list of hosts, which
		// does not show whether the host still grants slots.
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
		service := dispatcher.Service{
			Name: cfg.GetName(), QueueLength: int(cfg.GetQueueLength()),
			ServiceTime: clock.Millis(cfg.GetServiceTimeMs()), HasHealthEndpoint: cfg.GetHealthPath() != "",
		}
		for _, b := range svc.Servers(region) {
			slots := svc.ServerSlots(b)
			if n := int(cfg.GetConnections()); n > 0 {
				// Each in-flight request uses its own connection.
				slots = min(slots, n)
			}
			service.Servers = append(service.Servers, dispatcher.Server{Name: b.GetName(), Address: b.GetAddress(), Slots: slots})
		}
		view.Services = append(view.Services, service)
	}
	return view
}

func (s *slotState) addPermit(id, region, service, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Add(id, region, service, workspace)
}

func (s *slotState) acceptGrant(id, server string, sentAt clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits.AcceptGrant(id, server, sentAt, s.clock.Now())
}

func (s *slotState) removePermit(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permits.Remove(id)
}

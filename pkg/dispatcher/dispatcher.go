// Package dispatcher grants the slots of the backend servers that a host owns.
// It is pure: the caller gives the time, serializes the calls and carries the messages.
package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// Reasons of a refusal.
const (
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonNoServer  = "no_server"
	ReasonNotOwner  = "not_owner"
	ReasonReleased  = "released"
)

const (
	// tombstoneTime is how long a released permit is remembered, so that a late Acquire gets nothing.
	tombstoneTime = 10 * clock.Second
	// queueFactor times the owned slots is the queue length when the service names none.
	queueFactor = 4
	// expireInterval spares the walk over all holders and tombstones on each Step.
	expireInterval clock.Millis = 100
)

// Server is a backend server of the host's region.
type Server struct {
	Name    string
	Address string
	Slots   int
}

// Service is a service with its servers in the host's region that are not drained.
type Service struct {
	Name        string
	QueueLength int
	ServiceTime clock.Millis
	// Polled says that the service has a health endpoint.
	Polled  bool
	Servers []Server
}

// View is what the host knows of the fleet.
type View struct {
	// Eligible are the live hosts of the region that are not leaving.
	Eligible []string
	// Region are all live hosts of the region, Live those of the fleet.
	Region, Live []string
	Services     []Service
	// Weights of the workspaces; 1 when not named.
	Weights map[string]float64
}

// Decision answers a request.
type Decision struct {
	ID      string
	Granted bool
	// Queued says that the request waits; a later Step decides it.
	Queued bool
	Server Server
	// Reason and RetryAfter tell why a request is refused.
	Reason     string
	RetryAfter clock.Millis
}

// support is a vote that an owner received.
type support struct {
	token clock.Millis
	hosts int
	fresh bool
}

// server is an owner's state of one backend server.
type server struct {
	Server
	service string
	polled  bool
	owned   bool
	votes   map[string]support
	won     bool
	wonAt   clock.Millis
	ready   bool
	inUse   int
	health  health
}

// pool holds one service's servers and queue.
type pool struct {
	cfg     Service
	servers []*server
	byName  map[string]*server
	queue   *fairQueue
	granted uint64
	// mean is the moving average of the service time.
	mean float64
}

// permit is a slot in use.
type permit struct {
	host        string
	incarnation uint64
	service     string
	server      string
	since       clock.Millis
}

// holder is what an owner knows of an entry host.
type holder struct {
	incarnation uint64
	heard       clock.Millis
	token       clock.Millis
}

// Config configures a dispatcher.
type Config struct {
	// Self names the host.
	Self string
	// Epoch differs between incarnations, so that a token of an earlier one is not taken.
	Epoch uint64
	// Start is the time of the start.
	Start clock.Millis
	Rules Rules
}

// Dispatcher is the state of one host as owner and voter.
type Dispatcher struct {
	cfg        Config
	voter      *Voter
	view       View
	owners     map[string]string
	regionSeen map[string]clock.Millis
	pools      map[string]*pool
	servers    map[string]*server
	permits    map[string]permit
	tombstones map[string]clock.Millis
	holders    map[string]*holder
	asked      map[string]clock.Millis
	seenConfig bool
	ejections  int
	// shed are the requests that full queues dropped since the last Step.
	shed       []Decision
	nextExpire clock.Millis
}

// New returns a dispatcher that owns nothing.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, voter: NewVoter(cfg.Rules, cfg.Self, cfg.Start), owners: make(map[string]string),
		regionSeen: make(map[string]clock.Millis), pools: make(map[string]*pool), servers: make(map[string]*server),
		permits: make(map[string]permit), tombstones: make(map[string]clock.Millis),
		holders: make(map[string]*holder), asked: make(map[string]clock.Millis),
	}
}

// Voter returns the host's votes.
func (d *Dispatcher) Voter() *Voter { return d.voter }

// Ejections returns the number of ejections since the start.
func (d *Dispatcher) Ejections() int { return d.ejections }

// Servers returns the name, service and slots of each server that the host may grant now.
func (d *Dispatcher) Servers() map[string]Server {
	out := make(map[string]Server)
	for name, s := range d.servers {
		if s.ready {
			out[name] = s.Server
		}
	}
	return out
}

// Pending reports whether a server that the host owns waits for votes or reports.
func (d *Dispatcher) Pending() bool {
	for _, s := range d.servers {
		if s.owned && !s.ready {
			return true
		}
	}
	return false
}

// Owners returns the owner of each backend server of the region in the host's own view.
func (d *Dispatcher) Owners() map[string]string { return d.owners }

// SetView takes a new view. Votes and permits of servers that stay are kept.
func (d *Dispatcher) SetView(view View, now clock.Millis) {
	d.view = view
	for _, h := range view.Region {
		d.regionSeen[h] = now
	}
	d.owners = make(map[string]string)
	seen := make(map[string]bool)
	for _, cfg := range view.Services {
		p := d.pools[cfg.Name]
		if p == nil {
			p = &pool{queue: newFairQueue(), mean: float64(max(1, cfg.ServiceTime))}
			d.pools[cfg.Name] = p
		}
		p.cfg, p.servers, p.byName = cfg, nil, make(map[string]*server)
		for _, cs := range cfg.Servers {
			s := d.server(cs, cfg, now)
			p.servers = append(p.servers, s)
			p.byName[cs.Name], seen[cs.Name] = s, true
			d.owners[cs.Name] = Owner(cs.Name, view.Eligible)
			s.owned = d.owners[cs.Name] == d.cfg.Self
		}
	}
	// A server that is gone keeps its count of slots until its permits end.
	for name, s := range d.servers {
		if !seen[name] {
			s.owned, s.ready, s.won = false, false, false
			if p := d.pools[s.service]; p != nil && p.byName[name] == nil && s.inUse == 0 {
				delete(d.servers, name)
			}
		}
	}
	d.seenConfig = d.seenConfig || len(view.Services) > 0
}

func (d *Dispatcher) server(cs Server, cfg Service, now clock.Millis) *server {
	s := d.servers[cs.Name]
	if s == nil {
		s = &server{service: cfg.Name, votes: make(map[string]support)}
		d.servers[cs.Name] = s
		if d.seenConfig {
			s.health.arrive(now)
		}
	}
	s.Server, s.polled = cs, cfg.Polled
	return s
}

// RegionHosts returns the number of hosts of the region that count for a quorum.
func (d *Dispatcher) RegionHosts(now clock.Millis) int {
	n := 0
	for _, at := range d.regionSeen {
		if now-at <= d.cfg.Rules.DeadAfter {
			n++
		}
	}
	return max(1, n)
}

// elected reports whether the votes for a server exclude every other owner.
func (d *Dispatcher) elected(s *server, now clock.Millis) bool {
	hosts, firm, all := d.RegionHosts(now), 0, 0
	for _, v := range s.votes {
		if now-v.token >= d.cfg.Rules.VoteLease {
			continue
		}
		hosts = max(hosts, v.hosts)
		all++
		if !v.fresh {
			firm++
		}
	}
	// Votes of hosts that may have forgotten a promise count only when nobody is missing.
	return firm >= d.cfg.Rules.Quorum(hosts) || hosts > 1 && all >= hosts
}

// updateReady applies the hand-over rule to each server.
func (d *Dispatcher) updateReady(now clock.Millis) {
	for _, s := range d.servers {
		if !s.owned || !d.elected(s, now) {
			s.won, s.ready = false, false
			continue
		}
		if !s.won {
			s.won, s.wonAt = true, now
		}
		s.ready = s.ready || d.reportsComplete(s.wonAt+d.cfg.Rules.HandOverWait, now)
	}
}

// reportsComplete reports whether every live host sent its permits after a time, or is known to be dead.
func (d *Dispatcher) reportsComplete(after, now clock.Millis) bool {
	if now < after {
		return false
	}
	if now >= after+d.cfg.Rules.HolderLease {
		return true
	}
	for _, name := range d.view.Live {
		if h := d.holders[name]; h == nil || h.token < after {
			return false
		}
	}
	return true
}

// Acquire asks for a slot. A repeat with the same ID gets the same slot.
func (d *Dispatcher) Acquire(r Request, now clock.Millis) Decision {
	refuse := func(reason string, after clock.Millis) Decision {
		return Decision{ID: r.ID, Reason: reason, RetryAfter: after}
	}
	if _, ok := d.tombstones[r.ID]; ok {
		return refuse(ReasonReleased, 0)
	}
	if !d.hear(r.Host, r.Incarnation, now) {
		return refuse(ReasonReleased, 0)
	}
	d.updateReady(now)
	if p, ok := d.permits[r.ID]; ok {
		if s := d.servers[p.server]; s != nil && s.ready {
			return Decision{ID: r.ID, Granted: true, Server: s.Server}
		}
		return refuse(ReasonNotOwner, 0)
	}
	p := d.pools[r.Service]
	if p == nil || !p.usable(r, now) {
		return refuse(ReasonNoServer, clock.Second)
	}
	if _, waiting := d.asked[r.ID]; waiting {
		d.asked[r.ID] = now
		return Decision{ID: r.ID, Queued: true}
	}
	w := d.weight(r.Workspace)
	if wait := p.wait(r.Workspace, w); now+wait+clock.Millis(p.mean) > r.Deadline {
		return refuse(ReasonDeadline, wait)
	}
	d.asked[r.ID] = now
	for _, out := range p.queue.push(r, w, p.limit()) {
		delete(d.asked, out.ID)
		if out.ID == r.ID {
			return refuse(ReasonQueueFull, p.wait(r.Workspace, w))
		}
		d.tombstones[out.ID] = now
		d.shed = append(d.shed, Decision{ID: out.ID, Reason: ReasonQueueFull, RetryAfter: p.wait(out.Workspace, d.weight(out.Workspace))})
	}
	return Decision{ID: r.ID, Queued: true}
}

func (d *Dispatcher) weight(workspace string) float64 {
	if w := d.view.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// usable reports whether a server that the host owns could take the request now or later.
func (p *pool) usable(r Request, now clock.Millis) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.owned && s.health.limit(s.Slots, now) > 0 && !slices.Contains(r.Exclude, s.Name)
	})
}

func (p *pool) slots() int {
	n := 0
	for _, s := range p.servers {
		if s.owned {
			n += s.Slots
		}
	}
	return n
}

func (p *pool) limit() int {
	if p.cfg.QueueLength > 0 {
		return p.cfg.QueueLength
	}
	return queueFactor * p.slots()
}

// wait estimates the time in the queue. It is zero while a slot is free.
func (p *pool) wait(workspace string, weight float64) clock.Millis {
	return clock.Millis(p.queue.ahead(workspace, weight) * p.mean / float64(max(1, p.slots())))
}

// Step applies the passage of time and returns the decisions on waiting requests.
func (d *Dispatcher) Step(now clock.Millis) []Decision {
	d.updateReady(now)
	if now >= d.nextExpire {
		d.nextExpire = now + expireInterval
		d.expire(now)
	}
	out := d.shed
	d.shed = nil
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[name]
		for _, r := range p.queue.remove(func(r Request) bool { return d.hopeless(p, r, now) }) {
			delete(d.asked, r.ID)
			reason := ReasonDeadline
			if !p.usable(r, now) {
				reason = ReasonNoServer
			}
			out = append(out, Decision{ID: r.ID, Reason: reason, RetryAfter: clock.Millis(p.mean)})
		}
		out = append(out, d.grant(p, now)...)
	}
	return out
}

// hopeless reports whether a waiting request can no longer be served: its
// deadline is near, its entry host stopped asking, or no server is left.
func (d *Dispatcher) hopeless(p *pool, r Request, now clock.Millis) bool {
	return now+clock.Millis(p.mean) > r.Deadline || now-d.asked[r.ID] > 2*d.cfg.Rules.GrantUse || !p.usable(r, now)
}

func (d *Dispatcher) grant(p *pool, now clock.Millis) []Decision {
	var out []Decision
	for {
		granted := false
		for _, workspace := range p.queue.names() {
			s := p.choose(p.queue.flows[workspace].items[0].Exclude, now)
			if s == nil {
				continue
			}
			r := p.queue.take(workspace)
			delete(d.asked, r.ID)
			d.permits[r.ID] = permit{r.Host, r.Incarnation, p.cfg.Name, s.Name, now}
			s.inUse++
			p.granted++
			out = append(out, Decision{ID: r.ID, Granted: true, Server: s.Server})
			granted = true
			break
		}
		if !granted {
			return out
		}
	}
}

// choose returns the server with the most free slots; outliers that may not be ejected come last.
func (p *pool) choose(exclude []string, now clock.Millis) *server {
	var best *server
	free, suspect := 0, false
	for _, s := range p.servers {
		n := s.health.limit(s.Slots, now) - s.inUse
		if !s.ready || n <= 0 || slices.Contains(exclude, s.Name) {
			continue
		}
		bad := s.health.outlier()
		if best == nil || suspect && !bad || suspect == bad && n > free {
			best, free, suspect = s, n, bad
		}
	}
	return best
}

// Release gives a slot back; a repeat does nothing.
func (d *Dispatcher) Release(id string, result schema.PermitResult, took, now clock.Millis) {
	p, ok := d.permits[id]
	d.tombstones[id] = now
	if !ok {
		for _, pool := range d.pools {
			pool.queue.remove(func(r Request) bool { return r.ID == id })
		}
		delete(d.asked, id)
		return
	}
	if s := d.servers[p.server]; s != nil {
		s.result(result, p.since, now)
	}
	if pool := d.pools[p.service]; pool != nil {
		if result == schema.PermitResult_PERMIT_RESULT_OK {
			pool.mean += 0.1 * (float64(max(1, took)) - pool.mean)
		}
		d.ejectOutliers(pool, now)
	}
	d.free(id)
}

func (d *Dispatcher) free(id string) {
	if s := d.servers[d.permits[id].server]; s != nil {
		s.inUse--
	}
	delete(d.permits, id)
}

// Package dispatcher grants the slots of the backend servers that a host owns.
// It is pure: the caller gives the time, serializes the calls and carries the messages.
package dispatcher

import "catkindyke/pkg/clock"

// Reasons of a refusal.
const (
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonNoServer  = "no_server"
	ReasonNotOwner  = "not_owner"
	ReasonReleased  = "released"
)

const (
	// queueFactor times the owned slots is the shortest queue length when the service names none.
	queueFactor = 4
	// queueTime is the time in which the owned slots serve a full queue around a change of owner.
	queueTime = clock.Second
	// drainTime is the time after a change of owner for which the longer queue
	// holds; at 80 % load a second's backlog takes about 5 s to serve.
	drainTime = 10 * clock.Second
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
	// HasHealthEndpoint says that the service has a health endpoint.
	HasHealthEndpoint bool
	Servers           []Server
}

// View is what the host knows of the fleet.
type View struct {
	// EligibleOwners are the live hosts of the region that are not leaving.
	EligibleOwners []string
	// LiveInRegion are all live hosts of the region, LiveHosts those of the fleet.
	LiveInRegion, LiveHosts []string
	// Incarnations of the live hosts, where known.
	Incarnations map[string]uint64
	// StoppedGranting are the hosts that have announced that they leave and therefore
	// grant nothing more under their incarnation.
	StoppedGranting []string
	Services        []Service
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
	readyAt clock.Millis
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
	// dead are the incarnations that are proven to have ended, by host.
	dead map[string]uint64
	// left says that the host has begun a planned stop and grants nothing more.
	left       bool
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
		holders: make(map[string]*holder), asked: make(map[string]clock.Millis), dead: make(map[string]uint64),
	}
}

// Voter returns the host's votes.
func (d *Dispatcher) Voter() *Voter { return d.voter }

// Ejections returns the number of ejections since the start.
func (d *Dispatcher) Ejections() int { return d.ejections }

// GrantableServers returns the name, service and slots of each server that the host may grant now.
func (d *Dispatcher) GrantableServers() map[string]Server {
	out := make(map[string]Server)
	for name, s := range d.servers {
		if s.ready {
			out[name] = s.Server
		}
	}
	return out
}

// HasPendingServers reports whether a server that the host owns waits for votes or reports.
func (d *Dispatcher) HasPendingServers() bool {
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
	d.forgetDead()
	for _, h := range view.LiveInRegion {
		if _, dead := d.dead[h]; !dead {
			d.regionSeen[h] = now
		}
	}
	for _, h := range view.StoppedGranting {
		d.voter.EndPromises(h)
	}
	eligible := d.eligible()
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
			d.owners[cs.Name] = Owner(cs.Name, eligible)
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
		s = &server{service: cfg.Name, votes: make(map[string]support), health: health{ramp: d.cfg.Rules.RampTime}}
		d.servers[cs.Name] = s
		if d.seenConfig {
			s.health.arrive(now)
		}
	}
	s.Server, s.polled = cs, cfg.HasHealthEndpoint
	return s
}

// RegionHosts returns the number of hosts of the region that count for a quorum.
func (d *Dispatcher) RegionHosts(now clock.Millis) int {
	n := 0
	for _, at := range d.regionSeen {
		if now-at <= d.cfg.Rules.QuorumMemberTTL {
			n++
		}
	}
	return max(1, n)
}

// elected reports whether the votes for a server exclude every other owner.
func (d *Dispatcher) elected(s *server, now clock.Millis) bool {
	hosts, firm, all := d.RegionHosts(now), 0, 0
	for _, v := range s.votes {
		if now-v.token >= d.cfg.Rules.VoteTTL {
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
		if !s.ready && d.reportsComplete(s.wonAt+d.cfg.Rules.HandOverWait, now) {
			s.ready, s.readyAt = true, now
		}
	}
}

// reportsComplete reports whether every live host sent its permits after a time, or is known to be dead.
func (d *Dispatcher) reportsComplete(after, now clock.Millis) bool {
	if now < after {
		return false
	}
	if now >= after+d.cfg.Rules.EntryHostTimeout {
		return true
	}
	// Requests of a dead host may go on at the backend servers, so its permits count for DeadLease.
	for name := range d.dead {
		if d.holders[name] != nil {
			return false
		}
	}
	for _, name := range d.view.LiveHosts {
		if _, dead := d.dead[name]; dead {
			continue
		}
		if h := d.holders[name]; h == nil || h.token < after {
			return false
		}
	}
	return true
}

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
	// queueLengthPerSlot times the owned slots is the shortest queue length when the service names none.
	queueLengthPerSlot = 4
	// handOverQueueTime is the time in which the owned slots serve a full queue around a change of owner.
	handOverQueueTime = clock.Second
	// handOverQueuePeriod is the time after a change of owner for which the longer queue
	// holds; at 80 % load a second's backlog takes about 5 s to serve.
	handOverQueuePeriod = 10 * clock.Second
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

// receivedVote is a vote that an owner received.
type receivedVote struct {
	tokenTime   clock.Millis
	regionHosts int
	fresh       bool
}

// server is an owner's state of one backend server.
type server struct {
	Server
	service           string
	hasHealthEndpoint bool
	owned             bool
	votes             map[string]receivedVote
	elected           bool
	electedAt         clock.Millis
	ready             bool
	readyAt           clock.Millis
	inUse             int
	health            health
}

// pool holds one service's servers and queue.
type pool struct {
	cfg        Service
	servers    []*server
	byName     map[string]*server
	queue      *fairQueue
	grantCount uint64
	// meanServiceTime is the moving average of the service time.
	meanServiceTime float64
}

// permit is a slot in use.
type permit struct {
	host        string
	incarnation uint64
	service     string
	server      string
	grantedAt   clock.Millis
}

// entryHost is what an owner knows of an entry host.
type entryHost struct {
	incarnation   uint64
	lastMessageAt clock.Millis
	tokenTime     clock.Millis
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
	cfg              Config
	voter            *Voter
	view             View
	owners           map[string]string
	regionLastSeenAt map[string]clock.Millis
	pools            map[string]*pool
	servers          map[string]*server
	permits          map[string]permit
	tombstones       map[string]clock.Millis
	entryHosts       map[string]*entryHost
	lastAcquireAt    map[string]clock.Millis
	// deadIncarnations are the incarnations that are proven to have ended, by host.
	deadIncarnations map[string]uint64
	// stopping says that the host has begun a planned stop and grants nothing more.
	stopping  bool
	hasConfig bool
	ejections int
	// shed are the requests that full queues dropped since the last Step.
	shed       []Decision
	nextExpire clock.Millis
}

// New returns a dispatcher that owns nothing.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, voter: NewVoter(cfg.Rules, cfg.Self, cfg.Start), owners: make(map[string]string),
		regionLastSeenAt: make(map[string]clock.Millis), pools: make(map[string]*pool), servers: make(map[string]*server),
		permits: make(map[string]permit), tombstones: make(map[string]clock.Millis),
		entryHosts: make(map[string]*entryHost), lastAcquireAt: make(map[string]clock.Millis), deadIncarnations: make(map[string]uint64),
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
	d.dropOutdatedDeaths()
	for _, h := range view.LiveInRegion {
		if _, dead := d.deadIncarnations[h]; !dead {
			d.regionLastSeenAt[h] = now
		}
	}
	for _, h := range view.StoppedGranting {
		d.voter.EndPromises(h)
	}
	eligible := d.eligibleOwners()
	d.owners = make(map[string]string)
	seen := make(map[string]bool)
	for _, cfg := range view.Services {
		p := d.pools[cfg.Name]
		if p == nil {
			p = &pool{queue: newFairQueue(), meanServiceTime: float64(max(1, cfg.ServiceTime))}
			d.pools[cfg.Name] = p
		}
		p.cfg, p.servers, p.byName = cfg, nil, make(map[string]*server)
		for _, cs := range cfg.Servers {
			s := d.ensureServer(cs, cfg, now)
			p.servers = append(p.servers, s)
			p.byName[cs.Name], seen[cs.Name] = s, true
			d.owners[cs.Name] = Owner(cs.Name, eligible)
			s.owned = d.owners[cs.Name] == d.cfg.Self
		}
	}
	// A server that is gone keeps its count of slots until its permits end.
	for name, s := range d.servers {
		if !seen[name] {
			s.owned, s.ready, s.elected = false, false, false
			if p := d.pools[s.service]; p != nil && p.byName[name] == nil && s.inUse == 0 {
				delete(d.servers, name)
			}
		}
	}
	d.hasConfig = d.hasConfig || len(view.Services) > 0
}

func (d *Dispatcher) ensureServer(cs Server, cfg Service, now clock.Millis) *server {
	s := d.servers[cs.Name]
	if s == nil {
		s = &server{service: cfg.Name, votes: make(map[string]receivedVote), health: health{rampTime: d.cfg.Rules.RampTime}}
		d.servers[cs.Name] = s
		if d.hasConfig {
			s.health.startRamp(now)
		}
	}
	s.Server, s.hasHealthEndpoint = cs, cfg.HasHealthEndpoint
	return s
}

// RegionHosts returns the number of hosts of the region that count for a quorum.
func (d *Dispatcher) RegionHosts(now clock.Millis) int {
	n := 0
	for _, seenAt := range d.regionLastSeenAt {
		if now-seenAt <= d.cfg.Rules.QuorumMemberTTL {
			n++
		}
	}
	return max(1, n)
}

// isElected reports whether the votes for a server exclude every other owner.
func (d *Dispatcher) isElected(s *server, now clock.Millis) bool {
	hosts, settled, total := d.RegionHosts(now), 0, 0
	for _, v := range s.votes {
		if now-v.tokenTime >= d.cfg.Rules.VoteTTL {
			continue
		}
		hosts = max(hosts, v.regionHosts)
		total++
		if !v.fresh {
			settled++
		}
	}
	// Votes of hosts that may have forgotten a promise count only when nobody is missing.
	return settled >= d.cfg.Rules.Quorum(hosts) || hosts > 1 && total >= hosts
}

// updateReady applies the hand-over rule to each server.
func (d *Dispatcher) updateReady(now clock.Millis) {
	for _, s := range d.servers {
		if !s.owned || !d.isElected(s, now) {
			s.elected, s.ready = false, false
			continue
		}
		if !s.elected {
			s.elected, s.electedAt = true, now
		}
		if !s.ready && d.reportsComplete(s.electedAt+d.cfg.Rules.HandOverWait, now) {
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
	for name := range d.deadIncarnations {
		if d.entryHosts[name] != nil {
			return false
		}
	}
	for _, name := range d.view.LiveHosts {
		if _, dead := d.deadIncarnations[name]; dead {
			continue
		}
		if h := d.entryHosts[name]; h == nil || h.tokenTime < after {
			return false
		}
	}
	return true
}

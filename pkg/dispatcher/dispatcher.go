// Package dispatcher grants slots of the backend servers that this host owns. It
// does no I/O and reads no clock: the caller passes the time, serializes the calls
// and delivers the messages.
package dispatcher

import "catkindyke/pkg/clock"

// Reasons for a refusal.
const (
	ReasonQueueFull = "queue_full"
	ReasonDeadline  = "deadline"
	ReasonNoServer  = "no_server"
	ReasonNotOwner  = "not_owner"
	ReasonReleased  = "released"
)

const (
	// queueLengthPerSlot is the default queue limit for each owned slot.
	queueLengthPerSlot = 4
	// handOverQueueTime is the time in which the owned slots serve a full queue around a change of owner.
	handOverQueueTime = clock.Second
	// handOverQueuePeriod is the time after a change of owner for which the longer
	// queue limit applies. At 80 % load, a backlog of 1 s takes about 5 s to serve.
	handOverQueuePeriod = 10 * clock.Second
	// expireInterval limits how often Step scans all entry hosts and tombstones.
	expireInterval clock.Millis = 100
)

// Server is a backend server of the host's region.
type Server struct {
	Name    string
	Address string
	Slots   int
}

// Service is a service with its servers in the host's region, without drained ones.
type Service struct {
	Name              string
	QueueLength       int
	ServiceTime       clock.Millis
	HasHealthEndpoint bool
	Servers           []Server
}

// View is a host's view of the fleet.
type View struct {
	// EligibleOwners are the live hosts of the region that are not leaving.
	EligibleOwners []string
	// LiveInRegion and LiveHosts are all live hosts of the region and of the fleet.
	LiveInRegion, LiveHosts []string
	// Incarnations holds the incarnations of live hosts, where known.
	Incarnations map[string]uint64
	// StoppedGranting are the hosts that have announced that they are leaving, and so
	// grant nothing more in their current incarnation.
	StoppedGranting []string
	Services        []Service
	// Weights of the workspaces; the default is 1.
	Weights map[string]float64
}

// Decision is the answer to a request for a slot.
type Decision struct {
	ID      string
	Granted bool
	// Queued says that the request is queued; a later Step decides on it.
	Queued bool
	Server Server
	// Reason and RetryAfter are set when the request is refused.
	Reason     string
	RetryAfter clock.Millis
}

// receivedVote is a vote that an owner received for one backend server.
type receivedVote struct {
	tokenTime   clock.Millis
	regionHosts int
	fresh       bool
}

// server is the owner's state of one backend server.
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

// pool holds the servers and the queue of one service.
type pool struct {
	cfg        Service
	servers    []*server
	byName     map[string]*server
	queue      *fairQueue
	grantCount uint64
	// meanServiceTime is a moving average in milliseconds.
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

// entryHost is what an owner knows about one entry host.
type entryHost struct {
	incarnation   uint64
	lastMessageAt clock.Millis
	tokenTime     clock.Millis
}

// Config configures a dispatcher.
type Config struct {
	// Self is the name of this host.
	Self string
	// Epoch differs between incarnations, so that tokens of an earlier one are not accepted.
	Epoch uint64
	// Start is the time at which the host started.
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
	// deadIncarnations maps hosts to the incarnation that is proven to have ended.
	deadIncarnations map[string]uint64
	// stopping says that a planned stop has begun and nothing more is granted.
	stopping  bool
	hasConfig bool
	ejections int
	// shed are the refusals of requests that full queues dropped since the last Step.
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

// Voter returns the host's voter.
func (d *Dispatcher) Voter() *Voter { return d.voter }

// Ejections returns the number of ejections since the start.
func (d *Dispatcher) Ejections() int { return d.ejections }

// GrantableServers returns the servers that the host may grant now, by name.
func (d *Dispatcher) GrantableServers() map[string]Server {
	out := make(map[string]Server)
	for name, s := range d.servers {
		if s.ready {
			out[name] = s.Server
		}
	}
	return out
}

// HasPendingServers reports whether an owned server needs more votes or reports before it can be granted.
func (d *Dispatcher) HasPendingServers() bool {
	for _, s := range d.servers {
		if s.owned && !s.ready {
			return true
		}
	}
	return false
}

// Owners returns the owner of each backend server of the region according to this host's view.
func (d *Dispatcher) Owners() map[string]string { return d.owners }

// SetView replaces the view. Votes and permits of servers that remain are kept.
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
		for _, srv := range cfg.Servers {
			s := d.ensureServer(srv, cfg, now)
			p.servers = append(p.servers, s)
			p.byName[srv.Name], seen[srv.Name] = s, true
			d.owners[srv.Name] = Owner(srv.Name, eligible)
			s.owned = d.owners[srv.Name] == d.cfg.Self
		}
	}
	// A removed server keeps its count of slots in use until its permits end.
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

func (d *Dispatcher) ensureServer(srv Server, cfg Service, now clock.Millis) *server {
	s := d.servers[srv.Name]
	if s == nil {
		s = &server{service: cfg.Name, votes: make(map[string]receivedVote), health: health{rampTime: d.cfg.Rules.RampTime}}
		d.servers[srv.Name] = s
		if d.hasConfig {
			s.health.startRamp(now)
		}
	}
	s.Server, s.hasHealthEndpoint = srv, cfg.HasHealthEndpoint
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

// isElected reports whether the votes for a server rule out every other owner.
func (d *Dispatcher) isElected(s *server, now clock.Millis) bool {
	regionHosts, nonFresh, total := d.RegionHosts(now), 0, 0
	for _, v := range s.votes {
		if now-v.tokenTime >= d.cfg.Rules.VoteTTL {
			continue
		}
		regionHosts = max(regionHosts, v.regionHosts)
		total++
		if !v.fresh {
			nonFresh++
		}
	}
	// Fresh voters may have forgotten a promise, so their votes count only when all hosts have voted.
	return nonFresh >= d.cfg.Rules.Quorum(regionHosts) || regionHosts > 1 && total >= regionHosts
}

// updateReady marks owned servers as ready once this host is elected and the hand-over is complete.
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

// reportsComplete reports whether every live host that is not proven dead has reported
// its permits since the given time. After EntryHostTimeout it returns true without
// reports, because the permits of hosts that were silent for so long have been freed.
func (d *Dispatcher) reportsComplete(after, now clock.Millis) bool {
	if now < after {
		return false
	}
	if now >= after+d.cfg.Rules.EntryHostTimeout {
		return true
	}
	// Requests of a dead host may still run at the backend servers, so its permits count for DeadHostGrace.
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

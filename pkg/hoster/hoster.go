// Package hoster assembles one entry host that finds its configuration,
// backend servers and fellow hosts at the platform.
//
// One goroutine owns the control state: the registrar, the evacuated zones and
// the known hosts. It hands what placement needs to the balancer, which traffic
// goroutines consult under a lock that is held for microseconds.
package hoster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/gossiper"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/steerer"
)

const (
	// currentMargin is taken off the time limit for withdrawn keys: it covers the
	// time between the check of a key and the request's arrival at a server.
	currentMargin clock.Millis = 700
	// silentMargin is added to the time limit for withdrawn keys, after which a
	// host that is cut off has certainly stopped admitting requests.
	silentMargin clock.Millis = 1500
	// defaultSilent is used when no such limit is set.
	defaultSilent = 10 * clock.Second
	// proofAge is the age of what is known of the configuration at which the first
	// host asks the store; each further host up to maxProofRank waits proofStep
	// longer. A server that leaves must be known within 2.5 s also where no watch
	// brings it: the age, the next step and an exchange of reports fit into that.
	proofAge     clock.Millis = 1000
	proofStep    clock.Millis = 500
	maxProofRank              = 3
	// lostProofAge replaces these when the watching hosts have lost the store: it is
	// shorter than an outage in which servers' entries may lapse.
	lostProofAge clock.Millis = 500
	// watchDelay is the time after its start in which a host hears the others, and
	// does not watch the store yet.
	watchDelay clock.Millis = 1500
	// relayQueue bounds the batches of changes that wait: a few from each neighbor.
	relayQueue = 64
	// informedAge is the age of what is known of the configuration up to which a
	// host without the store counts as informed by others. It is above the age at
	// which the last hosts ask in turn, and below the time after which entries of
	// servers lapse in an outage, two of their pauses of 1.5 s.
	informedAge clock.Millis = 2500
	// allowancePart is the part of a rate's slack that the hosts' parts are larger
	// by; what was admitted beyond the parts uses the rest.
	allowancePart = 0.4
	// tickInterval is the pause between rounds of housekeeping.
	tickInterval = 100 * time.Millisecond
	// publishPause is the shortest time between two changes of the servers that
	// placement uses. A server that leaves must be out of use within seconds.
	publishPause clock.Millis = 90
	// sweepTicks is the number of rounds between sweeps of idle connections.
	sweepTicks = 20
	// eventQueue bounds the changes that wait for the control goroutine.
	eventQueue = 256
	// nearPause and farPause are the pauses between exchanges of reports. Placement
	// misses what happened since the last one, so that near hosts, which share
	// servers, exchange several times in the time of one request.
	nearPause = 50 * time.Millisecond
	farPause  = 100 * time.Millisecond
)

// Config configures a host.
type Config struct {
	// Name of the host, unique in the fleet.
	Name string
	// Region and AvailabilityZone of the host.
	Region, AvailabilityZone string
	// CallerAddress and PeerAddress are announced to callers and other hosts.
	CallerAddress, PeerAddress string
	// SeedPeers are peer addresses of some hosts, perhaps outdated.
	SeedPeers []string
	// ObjectKinds are the kinds of objects in the store that the host follows.
	ObjectKinds []string
	// Headers are the names of headers of requests.
	Headers steerer.Headers
	// MaxRevocationDelay is the time after which a withdrawn key must not work; 0 for no limit.
	MaxRevocationDelay clock.Millis
	// RetryBudget is the fleet's budget of requests sent once more.
	RetryBudget rationer.RetryConfig
	// RateSlack is the number of requests by which a workspace may exceed rate and burst.
	RateSlack float64
	// ShiftRate is the largest change a second of the share of a region's requests
	// that another region serves.
	ShiftRate float64
	// ColdSenders bounds the hosts that send requests to one cold server.
	ColdSenders int
	// LookupTTL is the time for which callers keep a look-up answer.
	LookupTTL clock.Millis
	// DialPeer returns a client of another host.
	DialPeer func(ctx context.Context, address string) schema.DRPCFleetClient
	// Clock must count suspensions of the host.
	Clock clock.Clock
	Log   zerolog.Logger
	Meter *meter.Meter
}

// Host is a running entry host.
type Host struct {
	cfg         Config
	incarnation uint64
	events      chan func()
	ctx         context.Context

	// mu guards the decisions that traffic and control share.
	mu       sync.Mutex
	balancer *balancer.Balancer
	rationer *rationer.Rationer
	repeats  *rationer.RetryBudget
	splits   map[string]float64
	// workspaceNames and serverNames decode the reports of other hosts.
	workspaceNames, serverNames dictionary

	catalog atomic.Pointer[cataloger.Catalog]
	contact atomic.Int64
	// storeLostAt is the time since which the store does not answer this host, or 0.
	storeLostAt atomic.Int64
	leaving     atomic.Bool
	sequence    atomic.Uint64
	// serversKnown, zonesKnown and hostsKnown say that a list was read.
	serversKnown, zonesKnown, hostsKnown atomic.Bool
	started                              clock.Millis
	fleet                                *fleet
	// receiving makes reports be taken whole, one after the other.
	receiving sync.Mutex
	relayer   *relayer.Relayer
	// relayed are changes that other hosts have told of.
	relayed chan relayer.Batch
	courier *courier.Courier
	gossip  *gossiper.Gossiper
	steerer *steerer.Steerer

	// The control goroutine alone uses these.
	registrar  *registrar.Registrar
	evacuated  map[string]bool
	probing    map[string]bool
	ticksSwept int
	// serversChanged says that changes of servers were not published yet, and
	// publishedAt is the time at which some were last.
	serversChanged bool
	publishedAt    clock.Millis
}

// New assembles a host. It runs until the context ends.
func New(ctx context.Context, cfg Config) *Host {
	silent := defaultSilent
	if cfg.MaxRevocationDelay > 0 {
		silent = cfg.MaxRevocationDelay + silentMargin
	}
	incarnation := uint64(time.Now().UnixNano())
	h := &Host{
		cfg: cfg, incarnation: incarnation, events: make(chan func(), eventQueue), ctx: ctx,
		balancer: balancer.New(balancer.Config{
			Region: cfg.Region, ShiftRate: cfg.ShiftRate, ColdSenders: cfg.ColdSenders,
		}),
		rationer: rationer.New(rationer.Config{ReservationTTL: silent, RateSlack: allowancePart * cfg.RateSlack}),
		repeats:  rationer.NewRetryBudget(cfg.RetryBudget), splits: make(map[string]float64),
		started: cfg.Clock.Now(), fleet: newFleet(cfg, incarnation),
		relayer: relayer.New(cfg.ObjectKinds...), relayed: make(chan relayer.Batch, relayQueue),
		courier:   courier.New(courier.Config{IDHeader: cfg.Headers.RequestID, Clock: cfg.Clock}),
		registrar: registrar.New(), evacuated: make(map[string]bool),
		probing: make(map[string]bool),
	}
	h.contact.Store(-1)
	h.gossip = gossiper.New(ctx, gossiper.Config{
		Name: cfg.Name, Address: cfg.PeerAddress, Region: cfg.Region, LocalInterval: nearPause, RemoteInterval: farPause,
		BuildReport: h.report, HandleReport: h.receive, Dial: cfg.DialPeer, Clock: cfg.Clock, Log: cfg.Log,
	})
	h.steerer = steerer.New(steerer.Config{
		Headers: cfg.Headers, Catalog: h.catalog.Load, ConfigFresh: h.current, Admit: h.admit,
		ChooseServer: h.choose, RecordAttempt: h.done, CountRequest: h.countRequest, AllowRetry: h.allowRepeat,
		Send: h.courier.Send, SplitPoint: h.pick, Leaving: h.leaving.Load, Clock: cfg.Clock, Meter: cfg.Meter,
		Log: logger.RateLimited(cfg.Log, func() { cfg.Meter.Add("log_lines_left_out", 1) }),
	})
	for _, address := range cfg.SeedPeers {
		h.gossip.AddPeer(address)
	}
	go h.control()
	return h
}

// Steerer returns the handler of callers' requests.
func (h *Host) Steerer() *steerer.Steerer { return h.steerer }

// CallerLimits returns the bounds on callers of the configuration in force, if there is one.
func (h *Host) CallerLimits() (cataloger.Limits, bool) {
	c := h.catalog.Load()
	if c == nil {
		return cataloger.Limits{}, false
	}
	return c.Limits(), true
}

// Exchange answers the reports of other hosts.
func (h *Host) Exchange(ctx context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	return h.gossip.Exchange(ctx, r)
}

// control runs the changes of control state one after the other.
func (h *Host) control() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case event := <-h.events:
			event()
		case <-tick.C:
			h.tick()
		case <-h.ctx.Done():
			return
		}
	}
}

// do hands a change to the control goroutine and waits until it is made.
func (h *Host) do(change func()) {
	done := make(chan struct{})
	select {
	case h.events <- func() { change(); close(done) }:
	case <-h.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-h.ctx.Done():
	}
}

// tick does the housekeeping that depends on time alone.
func (h *Host) tick() {
	now := h.cfg.Clock.Now()
	if !h.informed() {
		h.registrar.StartOutage(clock.Millis(h.contact.Load()))
	}
	h.serversChanged = h.registrar.Expire(now) || h.serversChanged
	h.publishChanges()
	h.mu.Lock()
	h.balancer.Tick(now)
	h.balancer.SetLiveHosts(h.fleet.hosts(now))
	h.rationer.ExpireHosts(now)
	suspects := h.balancer.UnreachableServers()
	h.mu.Unlock()
	for _, s := range suspects {
		h.probe(s)
	}
	h.cfg.Meter.Set("hosts_live", int64(h.fleet.size(now)))
	h.cfg.Meter.Set("config_age_ms", int64(now)-h.contact.Load())
	h.cfg.Meter.Set("servers", int64(len(h.registrar.Entries())))
	if h.ticksSwept++; h.ticksSwept >= sweepTicks {
		h.ticksSwept = 0
		entries := h.registrar.Entries()
		h.courier.Sweep(func(t courier.Target) bool {
			e, ok := entries[t.ID]
			return ok && e.Address == t.Address
		})
	}
}

// current reports whether the host knows the newest configuration well enough
// to accept keys.
func (h *Host) current() bool {
	if h.cfg.MaxRevocationDelay == 0 {
		return true
	}
	asOf := clock.Millis(h.contact.Load())
	return asOf >= 0 && h.cfg.Clock.Now()-asOf <= h.cfg.MaxRevocationDelay-currentMargin
}

// informed reports whether the host learns of changes, from the store or from
// hosts that it answers.
func (h *Host) informed() bool {
	return h.storeLostAt.Load() == 0 || h.cfg.Clock.Now()-clock.Millis(h.contact.Load()) <= informedAge
}

// Ready reports whether callers should use this host. One that is not informed
// may still serve, but learns of no change.
func (h *Host) Ready() bool {
	return h.informed() && !h.leaving.Load() && h.catalog.Load() != nil &&
		h.serversKnown.Load() && h.zonesKnown.Load() && h.hostsKnown.Load() && h.current()
}

// Leave begins a planned stop: other hosts stop naming this one to callers.
func (h *Host) Leave() {
	h.leaving.Store(true)
	h.gossip.Wake()
}

func (h *Host) admit(workspace string) (bool, clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rationer.Admit(workspace, h.cfg.Clock.Now())
}

func (h *Host) choose(req balancer.Request) (c balancer.Choice, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	c = h.balancer.Choose(req, now)
	if !c.Refused {
		known = h.balancer.StartAttempt(c, req, now)
	}
	return c, known
}

func (h *Host) done(x balancer.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.balancer.FinishAttempt(x, h.cfg.Clock.Now())
}

func (h *Host) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	h.repeats.CountRequest(service, now)
	h.balancer.CountRequest(service, now)
}

func (h *Host) allowRepeat(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	return h.repeats.Allow(service, h.fleet.size(now), now)
}

// goldenRatio steps evenly through the unit interval, so that every short run
// of requests has close to the weights' shares.
const goldenRatio = 0.6180339887498949

// pick returns the next point of a route's low-discrepancy sequence.
func (h *Host) pick(route string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.splits[route]
	if !ok {
		v = rand.Float64()
	}
	if v += goldenRatio; v >= 1 {
		v--
	}
	h.splits[route] = v
	return v
}

// Package hoster assembles an entry host, which gets its configuration, its backend
// servers and the addresses of other hosts from the platform's store.
//
// The control goroutine owns the control state: the registrar, the evacuated zones
// and the known hosts. It passes what placement needs to the balancer, which request
// goroutines access under a mutex that is held for microseconds.
package hoster

import (
	"context"
	"math"
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
	"catkindyke/pkg/hedger"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/screener"
	"catkindyke/pkg/steerer"
)

const (
	// keyCheckMargin is subtracted from the time limit for revoked keys. It covers
	// the time between the check of a key and the request's arrival at a server.
	keyCheckMargin clock.Millis = 700
	// reservationMargin is added to the time limit for revoked keys. Once both have
	// passed, a host that is cut off has certainly stopped admitting requests, so
	// that its shares of the rates are free.
	reservationMargin clock.Millis = 1500
	// defaultReservationTTL is used when there is no time limit for revoked keys.
	defaultReservationTTL = 10 * clock.Second
	// pollAge is the age of the last confirmation of the configuration at which the
	// first host polls the store; each further host up to maxPollRank waits
	// pollAgeStep longer. A server that leaves must be known within 2.5 s even if no
	// watch reports it: pollAge, one step and an exchange of reports fit into that.
	pollAge     clock.Millis = 1000
	pollAgeStep clock.Millis = 500
	maxPollRank              = 3
	// storeLostPollAge replaces the three above when the watching hosts have lost the
	// store. It is shorter than an outage in which entries of servers may expire.
	storeLostPollAge clock.Millis = 500
	// watchDelay is the time after its start for which a host only receives reports
	// of others, before it may watch the store.
	watchDelay clock.Millis = 1500
	// relayQueueSize bounds the batches of changes that wait: a few from each
	// neighbor.
	relayQueueSize = 64
	// maxConfigAgeWithoutStore is the age of the last confirmation up to which a
	// host that has lost the store counts as receiving updates from others. It is
	// above the age at which the last hosts poll in turn, and below the time after
	// which entries of servers expire in an outage, two renewal intervals of 1.5 s.
	maxConfigAgeWithoutStore clock.Millis = 2500
	// hostsToWake is the number of hosts out of contact that are called at once when the
	// store answers again. Any of them tells which servers left while the store was available.
	hostsToWake = 4
	// maxUpdateGap is the longest time between two confirmations of the configuration for
	// a host to count as having had all changes in between. The first host polls each
	// second, and an answer takes at most 1.2 s; entries lapse in outages of 3 s.
	maxUpdateGap clock.Millis = 1500
	// shareSlackFraction is the fraction of a rate's slack by which the hosts'
	// shares together may exceed the rate; requests admitted beyond the shares use
	// the rest.
	shareSlackFraction = 0.4
	// restartOverageFraction is the fraction of the rates' overage that a start of all
	// hosts may use; late reports use the rest.
	restartOverageFraction = 0.5
	// tickInterval is the interval between rounds of housekeeping.
	tickInterval = 100 * time.Millisecond
	// minPublishInterval is the shortest time between two updates of the servers
	// that placement uses. A server that leaves must be out of use within seconds.
	minPublishInterval clock.Millis = 90
	// ticksPerSweep is the number of ticks between sweeps of idle connections.
	ticksPerSweep = 20
	// eventQueueSize bounds the changes that wait for the control goroutine.
	eventQueueSize = 256
	// localReportInterval and remoteReportInterval are the intervals between
	// exchanges of reports with hosts of the same region and of others. Placement
	// does not see what happened since the last exchange, so that hosts of a region,
	// which share servers, exchange several times within one request's duration.
	localReportInterval  = 50 * time.Millisecond
	remoteReportInterval = 100 * time.Millisecond
)

// Values of Host.restoredAt that are no times. Both are far from any time, so that sums and
// comparisons hold without a special case.
const (
	neverRestored  = math.MinInt32
	restoreUnknown = math.MaxInt64 / 2
)

// Config configures a host.
type Config struct {
	// Name of the host, unique in the fleet.
	Name string
	// Region and AvailabilityZone of the host.
	Region, AvailabilityZone string
	// CallerAddress and PeerAddress are announced to callers and other hosts.
	CallerAddress, PeerAddress string
	// SeedPeers are peer addresses of some hosts; they may be outdated.
	SeedPeers []string
	// ObjectKinds are the kinds of objects in the store that the host follows.
	ObjectKinds []string
	// Headers are the names of request headers.
	Headers steerer.Headers
	// MaxRevocationDelay is the time after which a revoked key must not work; 0
	// means no limit.
	MaxRevocationDelay clock.Millis
	// RetryBudget is the fleet-wide budget of retries.
	RetryBudget rationer.RetryConfig
	// RateSlack is the number of requests by which a workspace may exceed rate and
	// burst.
	RateSlack float64
	// RateOverage is the fraction by which a workspace may exceed rate and burst in any
	// RateWindow.
	RateOverage float64
	RateWindow  clock.Millis
	// ShiftRate is the largest change per second of the share of a region's requests
	// that another region serves.
	ShiftRate float64
	// ColdSenders bounds the number of hosts that send requests to one cold server.
	ColdSenders int
	// MaxIdleConns bounds the idle connections to backend servers; 0 means no bound.
	MaxIdleConns int
	// LookupTTL is the time for which callers cache a look-up answer.
	LookupTTL clock.Millis
	// DialPeer returns a client of another host.
	DialPeer func(ctx context.Context, address string) schema.DRPCFleetClient
	// Clock must advance while the host is suspended.
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

	// mu guards the state that request goroutines and the control goroutine share.
	mu          sync.Mutex
	balancer    *balancer.Balancer
	rationer    *rationer.Rationer
	retryBudget *rationer.RetryBudget
	hedger      *hedger.Hedger
	splitPoints map[string]float64
	// workspaceNames and serverNames resolve the hashes in reports of other hosts.
	workspaceNames, serverNames namesByHash
	// reported is what this host reports to others.
	reported reportedState

	catalog atomic.Pointer[cataloger.Catalog]
	// configConfirmedAt is when the configuration was last known to be the newest, or -1.
	configConfirmedAt atomic.Int64
	// updates tracks when the store's changes were known without a gap.
	updates updateTracker
	// newestReported is the highest configuration version that another host has reported.
	newestReported atomic.Uint64
	// polledAt is when the store was last asked for the configuration, whether or not its
	// response confirms the one in force, or -1.
	polledAt atomic.Int64
	// storeLostAt is when the store stopped answering this host, or 0.
	storeLostAt atomic.Int64
	// restoredAt is when the store was last found restored from a backup, neverRestored or
	// restoreUnknown. storedVersion is the configuration version that the store has held
	// last since then, 0 if there is none. configWritten is set once the operator has
	// written the configuration again, and mustListAgain until the store is to be listed a
	// second time.
	restoredAt                   atomic.Int64
	storedVersion                atomic.Uint64
	configWritten, mustListAgain atomic.Bool
	// inOutage is set from the time at which the host receives no updates until the next
	// list of the servers.
	inOutage atomic.Bool
	// recovering is set during and shortly after an outage.
	recovering atomic.Bool
	// stop is the planned stop of this host, nil if there is none.
	stop           atomic.Pointer[steerer.Stop]
	reportSequence atomic.Uint64
	// serversListed, evacuationsListed and hostsListed report whether the list was
	// received.
	serversListed, evacuationsListed, hostsListed atomic.Bool
	startedAt                                     clock.Millis
	fleet                                         *fleet
	// receiveMu serializes the processing of reports.
	receiveMu sync.Mutex
	relayer   *relayer.Relayer
	// relayedBatches holds changes received from other hosts.
	relayedBatches chan relayer.Batch
	courier        *courier.Courier
	gossiper       *gossiper.Gossiper
	steerer        *steerer.Steerer

	// Only the control goroutine uses the fields below.
	registrar       *registrar.Registrar
	evacuations     *evacuations
	probing         map[string]bool
	ticksSinceSweep int
	// serversChanged reports whether there are unpublished changes of servers;
	// publishedAt is the time of the last publication.
	serversChanged bool
	publishedAt    clock.Millis
}

// New assembles and starts a host. It runs until ctx ends.
func New(ctx context.Context, cfg Config) *Host {
	reservationTTL := defaultReservationTTL
	if cfg.MaxRevocationDelay > 0 {
		reservationTTL = cfg.MaxRevocationDelay + reservationMargin
	}
	incarnation := uint64(time.Now().UnixNano())
	h := &Host{
		cfg: cfg, incarnation: incarnation, events: make(chan func(), eventQueueSize), ctx: ctx,
		balancer: balancer.New(balancer.Config{
			Region: cfg.Region, ShiftRate: cfg.ShiftRate, ColdSenders: cfg.ColdSenders,
		}),
		rationer: rationer.New(rationer.Config{
			ReservationTTL: reservationTTL, ShareSlack: shareSlackFraction * cfg.RateSlack, Incarnation: incarnation,
			RestartAllowance: restartOverageFraction * cfg.RateOverage * float64(cfg.RateWindow) / 1000,
		}),
		retryBudget: rationer.NewRetryBudget(cfg.RetryBudget), hedger: hedger.New(), splitPoints: make(map[string]float64),
		startedAt: cfg.Clock.Now(), fleet: newFleet(cfg, incarnation),
		relayer: relayer.New(cfg.ObjectKinds...), relayedBatches: make(chan relayer.Batch, relayQueueSize),
		courier:   courier.New(courier.Config{IDHeader: cfg.Headers.RequestID, Clock: cfg.Clock, MaxIdleConns: cfg.MaxIdleConns}),
		registrar: registrar.New(), evacuations: newEvacuations(),
		probing: make(map[string]bool),
	}
	h.configConfirmedAt.Store(-1)
	h.polledAt.Store(-1)
	h.restoredAt.Store(restoreUnknown)
	h.gossiper = gossiper.New(ctx, gossiper.Config{
		Name: cfg.Name, Address: cfg.PeerAddress, Region: cfg.Region, LocalInterval: localReportInterval, RemoteInterval: remoteReportInterval,
		BuildReport: h.buildReport, HandleReport: h.handleReport, Dial: cfg.DialPeer, Clock: cfg.Clock, Log: cfg.Log,
	})
	h.steerer = steerer.New(steerer.Config{
		Headers: cfg.Headers, Catalog: h.catalog.Load, ConfigFresh: h.configFresh, Admit: h.admit,
		ChooseServer: h.chooseServer, RecordAttempt: h.finishAttempt, CountRequest: h.countRequest, AllowRetry: h.allowRetry,
		SecondDelay: h.secondDelay, ChooseSecond: h.chooseSecond, IsSuspected: h.isSuspected,
		Send: h.courier.Send, SplitPoint: h.nextSplitPoint, CallerLeft: screener.HasDisconnected, ResetOnClose: screener.ResetOnClose, Stop: h.stop.Load, Clock: cfg.Clock, Meter: cfg.Meter,
		Log: logger.RateLimited(cfg.Log, func() { cfg.Meter.Add("log_lines_left_out", 1) }),
	})
	for _, address := range cfg.SeedPeers {
		h.gossiper.AddPeer(address)
	}
	go h.control()
	return h
}

// Steerer returns the handler of callers' requests.
func (h *Host) Steerer() *steerer.Steerer { return h.steerer }

// CallerLimits returns the limits on callers in the current configuration, if there
// is one.
func (h *Host) CallerLimits() (cataloger.Limits, bool) {
	c := h.catalog.Load()
	if c == nil {
		return cataloger.Limits{}, false
	}
	return c.Limits(), true
}

// Exchange processes the report of another host and returns this host's report.
func (h *Host) Exchange(ctx context.Context, r *schema.HostReport) (*schema.HostReport, error) {
	return h.gossiper.Exchange(ctx, r)
}

// control runs the changes of the control state one at a time.
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

// apply passes a change to the control goroutine and waits until it has run or the
// host has stopped.
func (h *Host) apply(change func()) {
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

// tick does one round of housekeeping.
func (h *Host) tick() {
	now := h.cfg.Clock.Now()
	if !h.receivesUpdates() {
		h.registrar.StartOutage(clock.Millis(h.configConfirmedAt.Load()))
		h.inOutage.Store(true)
	}
	h.recovering.Store(h.registrar.IsRecovering(now))
	h.serversChanged = h.registrar.Expire(now) || h.serversChanged
	h.publishChanges()
	h.mu.Lock()
	h.balancer.Tick(now)
	h.balancer.SetLiveHosts(h.fleet.liveHosts(now))
	h.rationer.ExpireHosts(now)
	unreachable, suspected, paceHold, deprioritized := h.balancer.UnreachableServers(now), h.balancer.TakeSuspected(), int64(h.balancer.PaceHold()), h.balancer.Deprioritized()
	h.mu.Unlock()
	h.cfg.Meter.Set("requests_deprioritized", deprioritized)
	for _, id := range suspected {
		h.cfg.Meter.Add("servers_suspected", 1)
		h.cfg.Log.Info().Str("server", id).Msg("server_suspected")
	}
	for _, s := range unreachable {
		h.startProbe(s)
	}
	h.cfg.Meter.Set("pace_hold_ms", paceHold)
	h.cfg.Meter.Set("hosts_live", int64(h.fleet.liveCount(now)))
	h.cfg.Meter.Set("config_age_ms", int64(now)-h.configConfirmedAt.Load())
	h.cfg.Meter.Set("servers", int64(len(h.registrar.Entries())))
	h.cfg.Meter.Set("kinds_behind", int64(len(h.relayer.LaggingKinds(now))))
	if h.ticksSinceSweep++; h.ticksSinceSweep >= ticksPerSweep {
		h.ticksSinceSweep = 0
		entries := h.registrar.Entries()
		h.courier.Sweep(func(t courier.Target) bool {
			e, ok := entries[t.ID]
			return ok && e.Address == t.Address
		})
	}
}

// configFresh reports whether the configuration was confirmed recently enough to
// accept keys.
func (h *Host) configFresh() bool {
	if h.cfg.MaxRevocationDelay == 0 {
		return true
	}
	asOf, now := clock.Millis(h.configConfirmedAt.Load()), h.cfg.Clock.Now()
	if now-h.startedAt < registrar.RestoreGrace && h.lacksReportedConfig() {
		// The store may just have been restored.
		return false
	}
	return asOf >= 0 && now-asOf <= h.cfg.MaxRevocationDelay-keyCheckMargin
}

// lacksReportedConfig reports whether another host has a newer configuration.
func (h *Host) lacksReportedConfig() bool {
	c := h.catalog.Load()
	return c == nil || c.Version() < h.newestReported.Load()
}

// receivesUpdates reports whether the host receives changes, from the store or from
// hosts with which it exchanges reports in both directions.
func (h *Host) receivesUpdates() bool {
	if h.storeLostAt.Load() == 0 {
		return true
	}
	now := h.cfg.Clock.Now()
	// Other hosts can't relay changes of a later epoch.
	return now-clock.Millis(h.configConfirmedAt.Load()) <= maxConfigAgeWithoutStore && !h.relayer.IsInEarlierEpoch(now)
}

// isUpToDate reports whether the host receives changes and lacks none that another host
// has known for some time. After an outage it also needs a list of the servers, because
// entries that lapsed can't be told from servers that left.
func (h *Host) isUpToDate() bool {
	return h.receivesUpdates() && !h.inOutage.Load() && len(h.relayer.LaggingKinds(h.cfg.Clock.Now())) == 0
}

// Ready reports whether callers should use this host. One that receives no updates
// may still serve, but misses changes.
func (h *Host) Ready() bool {
	return h.receivesUpdates() && h.stop.Load() == nil && h.catalog.Load() != nil &&
		h.serversListed.Load() && h.evacuationsListed.Load() && h.hostsListed.Load() && h.configFresh()
}

// Leave begins a graceful shutdown: other hosts stop naming this one to callers.
// New requests are sent to servers for sendFor, and the host ends after endsIn.
func (h *Host) Leave(sendFor, endsIn clock.Millis) {
	now := h.cfg.Clock.Now()
	h.stop.Store(&steerer.Stop{LastSend: now + sendFor, EndsAt: now + endsIn})
	h.gossiper.Wake()
}

func (h *Host) admit(workspace string) (bool, clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rationer.Admit(workspace, h.cfg.Clock.Now())
}

func (h *Host) chooseServer(req balancer.Request) (c balancer.Choice, knownWarm bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	c = h.balancer.Choose(req, now)
	if !c.Refused {
		knownWarm = h.balancer.StartAttempt(c, req, now)
	}
	return c, knownWarm
}

func (h *Host) finishAttempt(x balancer.Attempt) (noticeChanged bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeTime(x)
	return h.balancer.FinishAttempt(x, h.cfg.Clock.Now())
}

func (h *Host) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	h.retryBudget.SetHosts(h.sharingHosts())
	h.retryBudget.CountRequest(service)
	h.hedger.CountRequest()
	h.balancer.CountRequest(service, now)
}

func (h *Host) allowRetry(service string) rationer.RetryDecision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryBudget.SetHosts(h.sharingHosts())
	return h.retryBudget.Allow(service)
}

// sharingHosts returns the number of hosts among which the fixed part of the retry budget
// is divided, or 0 before the list of hosts is known.
func (h *Host) sharingHosts() int {
	if !h.hostsListed.Load() {
		return 0
	}
	return h.fleet.knownCount()
}

// goldenRatio is the step of a low-discrepancy sequence in the unit interval. With
// it, every short run of requests is split close to the weights.
const goldenRatio = 0.6180339887498949

// nextSplitPoint returns the next point of a route's low-discrepancy sequence.
func (h *Host) nextSplitPoint(route string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.splitPoints[route]
	if !ok {
		v = rand.Float64()
	}
	if v += goldenRatio; v >= 1 {
		v--
	}
	h.splitPoints[route] = v
	return v
}

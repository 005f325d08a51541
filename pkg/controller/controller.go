// Package controller keeps a host's control state: documents, members, shares and
// plans. One goroutine, the control goroutine, owns the state and publishes
// immutable snapshots of it.
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/storeclient"
	"catkindyke/pkg/tracker"
)

const (
	// heartbeatInterval is the time between two heartbeats to a peer.
	heartbeatInterval = 500 * time.Millisecond
	// callTimeout bounds each call to a peer.
	callTimeout = time.Second
)

// Config holds the settings and dependencies of a controller.
type Config struct {
	// Self describes the host. Its incarnation increases with each start.
	Self snapshotter.Host
	// Store is the client of the platform's object API.
	Store *storeclient.Client
	// DialPeer returns a client for the host at a peer address.
	DialPeer func(ctx context.Context, address string) schema.DRPCPeerClient
	// Seeds are peer addresses through which the host gets documents while the store is
	// down.
	Seeds []string
	// PoolLoads returns the load of each service's servers that the host owns.
	PoolLoads func() []*schema.PoolLoad
	// Clock is the source of time.
	Clock clock.Clock
	// Log receives the log events of the control state.
	Log zerolog.Logger
	// Meter receives the metrics of the control state.
	Meter *meter.Meter
}

// Controller keeps a host's control state up to date.
type Controller struct {
	cfg     Config
	tasks   chan func()
	done    chan struct{}
	snap    atomic.Pointer[snapshotter.Snapshot]
	limiter *limiter.Limiter
	leaser  *leaser.Leaser
	// readingLedger says that a read of the ledger is in flight.
	readingLedger bool
	// hasShare says that the host has held share slots.
	hasShare      bool
	lease         atomic.Pointer[Lease]
	peerAddresses atomic.Pointer[map[string]string]
	blocks        blockDownload

	// The fields below are used by the control goroutine only.

	docs            *replicator.Set
	startup         *replicator.Startup
	members         *tracker.Tracker
	state           schema.HostState
	sequence        uint64
	storeContactAt  clock.Millis
	hasStoreContact bool
	fetching        map[string]bool
	input           snapshotter.Input
	regionTracker   *tracker.RegionTracker
	demand          demandSampler
	// planInForceSince is when the current plan came into force.
	planInForceSince clock.Millis
}

// New returns a controller that is inactive until Run is called.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg:           cfg,
		tasks:         make(chan func(), 256),
		done:          make(chan struct{}),
		limiter:       limiter.New(limiter.Config{}),
		docs:          replicator.NewSet(),
		startup:       replicator.NewStartup(cfg.Clock.Now()),
		members:       tracker.New(cfg.Self.Name),
		state:         schema.HostState_HOST_STATE_STARTING,
		fetching:      make(map[string]bool),
		regionTracker: tracker.NewRegionTracker(),
	}
	c.leaser = leaser.New(leaser.Config{Host: cfg.Self.Name, Incarnation: cfg.Self.Incarnation, Region: cfg.Self.Region})
	c.lease.Store(&Lease{})
	c.peerAddresses.Store(&map[string]string{})
	c.blocks.heads = make(chan *schema.BlocksHead, 4)
	c.input = snapshotter.Input{
		Self: cfg.Self, Config: &schema.Config{}, Keys: &schema.Keys{},
		Drains: &schema.Drains{}, Plan: &schema.Plan{}, Hosts: []snapshotter.Host{cfg.Self},
	}
	c.snap.Store(snapshotter.Build(c.input))
	return c
}

// Snapshot returns the latest snapshot of the control state.
func (c *Controller) Snapshot() *snapshotter.Snapshot { return c.snap.Load() }

// Limiter returns the limiter with the host's share of the fleet-wide token buckets.
func (c *Controller) Limiter() *limiter.Limiter { return c.limiter }

// Run keeps the control state up to date until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	for _, kind := range replicator.Kinds {
		go c.watch(ctx, replicator.HeadName(kind), func(obj storeclient.Object) { c.loadFromStore(ctx, kind, obj.Value) })
	}
	// An unchanged ledger costs one waiting call at a time.
	go c.watch(ctx, ledgerName, func(obj storeclient.Object) { c.handleLedger(ctx, obj) })
	go c.pollHeads(ctx)
	go c.pollHosts(ctx)
	go c.watchBlocks(ctx)
	go c.loadBlocks(ctx)
	go c.runPlans(ctx)
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.tasks:
			f()
		case <-tick.C:
			c.tick(ctx)
		}
	}
}

// post queues f for the control goroutine. After the end of Run, f is dropped.
func (c *Controller) post(f func()) {
	select {
	case c.tasks <- f:
	case <-c.done:
	}
}

// call runs f on the control goroutine and waits until it returns.
func (c *Controller) call(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case c.tasks <- func() { f(); close(ran) }:
	case <-c.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordStoreContact records that the store answered a call sent at sentAt.
func (c *Controller) recordStoreContact(sentAt clock.Millis) {
	c.post(func() {
		if !c.hasStoreContact || sentAt > c.storeContactAt {
			c.storeContactAt, c.hasStoreContact = sentAt, true
		}
	})
}

// Leave announces to the other hosts that this host is leaving. It is the first step
// of a planned stop.
func (c *Controller) Leave(ctx context.Context) error {
	return c.call(ctx, func() {
		c.state = schema.HostState_HOST_STATE_LEAVING
		c.input.Self.Leaving = true
		c.heartbeat(ctx)
		c.publish()
	})
}

func (c *Controller) tick(ctx context.Context) {
	now := c.cfg.Clock.Now()
	c.members.ExpireMembers(now)
	c.measureDemand(now)
	c.heartbeat(ctx)
	c.updateShares(ctx, now)
	c.publish()
}

// publish builds a snapshot of the control state and makes it the current one.
func (c *Controller) publish() {
	now := c.cfg.Clock.Now()
	members := c.members.Members()
	c.input.Versions = c.docs.Versions()
	self := c.input.Self
	self.Versions = c.input.Versions
	hosts := []snapshotter.Host{self}
	for _, m := range members {
		if m.IsLive(now) {
			hosts = append(hosts, memberHost(m))
		}
	}
	c.input.Hosts = hosts
	c.updateRegions(now)
	c.input.Ready = c.startup.Ready(c.input.Versions, now) && c.shareReady(now)
	if c.input.Ready && c.state == schema.HostState_HOST_STATE_STARTING {
		c.state = schema.HostState_HOST_STATE_LIVE
		c.cfg.Log.Info().Uint64("version", c.docs.Version(replicator.KindConfig)).Msg("ready")
	}
	c.input.KeyDeadline = tracker.KeyDeadline(tracker.KeyDeadlineInput{
		StoreContact: c.storeContactAt, HasStoreContact: c.hasStoreContact, Members: members,
	}, now)
	c.snap.Store(c.Snapshot().Next(c.input))
}

func memberHost(m tracker.Member) snapshotter.Host {
	info := m.Info()
	return snapshotter.Host{
		Name: info.GetName(), Incarnation: info.GetIncarnation(), Region: info.GetRegion(),
		AvailabilityZone: info.GetAvailabilityZone(), Address: info.GetAddress(),
		PeerAddress: info.GetPeerAddress(), Pools: info.GetPools(), Versions: info.GetVersions(),
		Leaving: info.GetState() == schema.HostState_HOST_STATE_LEAVING, LastReportAt: m.LastReportAt(),
		OperatorAddress: info.GetOperatorAddress(),
	}
}

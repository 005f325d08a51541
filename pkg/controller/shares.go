package controller

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// ledgerName is the object in the store that assigns each share slot to a host.
const ledgerName = replicator.LedgerName

// handOverTimeout bounds the wait for the ledger write of a planned stop. If the store
// is unreachable for longer, the ledger still assigns the slots to this host.
const handOverTimeout = 5 * time.Second

// Lease is the host's lease on its share slots.
type Lease struct {
	// Slots is the number of share slots that the host may use.
	Slots int
	// Deadline is when the lease ends, on the host's clock.
	Deadline clock.Millis
	// LedgerVersion is the version of the ledger that the host has read.
	LedgerVersion uint64
}

// Lease returns the host's lease as of its last update.
func (c *Controller) Lease() Lease { return *c.lease.Load() }

// updateShares carries out the leaser's next action and applies the host's share. It
// runs on the control goroutine.
func (c *Controller) updateShares(ctx context.Context, now clock.Millis) {
	input := c.buildLeaseInput(now)
	action := c.leaser.Tick(input, now)
	if action.Write != nil {
		go c.writeLedger(ctx, action.Write)
	}
	if action.ReadLedger {
		c.readLedger(ctx)
	}
	c.applyShare(now)
}

// applyShare passes the host's share to the limiter and updates lease, log and metrics.
func (c *Controller) applyShare(now clock.Millis) {
	slots, deadline := c.leaser.Share(now)
	old := c.Lease()
	c.hasShare = c.hasShare || slots > 0 && now < deadline
	c.limiter.SetShare(slots, deadline, now)
	if old.Slots > 0 && old.Deadline > 0 && now >= old.Deadline && now >= deadline {
		c.cfg.Log.Warn().Int("slots", old.Slots).Msg("lease_lost")
		c.cfg.Meter.Add("lease_lost", 1)
		slots = 0
	}
	for _, e := range c.leaser.Events() {
		c.cfg.Meter.Add(e.Name, 1)
		c.cfg.Log.Info().Str("peer", e.Host).Int("slots", e.Slots).Uint64("version", c.leaser.Version()).Msg(e.Name)
	}
	c.cfg.Meter.Set("share_slots", int64(slots))
	remaining := int64(-1)
	if deadline < leaser.Forever {
		remaining = int64(max(0, deadline-now))
	}
	c.cfg.Meter.Set("lease_left_ms", remaining)
	c.cfg.Meter.Set("version_ledger", int64(c.leaser.Version()))
	c.lease.Store(&Lease{Slots: slots, Deadline: deadline, LedgerVersion: c.leaser.Version()})
}

// shareReady reports whether the lack of share slots need not delay readiness: the
// host has held some, or the store is unreachable. In that case a starting host gets
// no slots and still serves requests that need no key.
func (c *Controller) shareReady(now clock.Millis) bool {
	return c.hasShare || !c.hasStoreContact || now-c.storeContactAt > leaser.LeaseTTL
}

// buildLeaseInput returns the leaser's input and updates the peers from which the
// limiter borrows, with peers in the same region first.
func (c *Controller) buildLeaseInput(now clock.Millis) leaser.Input {
	input := leaser.Input{
		StoreContactAge: leaser.Forever, LiveHosts: make(map[string]bool), LostHosts: make(map[string]bool), ExpectedHosts: 1,
	}
	if c.hasStoreContact {
		input.StoreContactAge = now - c.storeContactAt
	}
	for _, h := range c.input.Drains.GetLostHosts() {
		input.LostHosts[h] = true
	}
	addresses := make(map[string]string)
	var local, remote []string
	for _, m := range c.members.Members() {
		info := m.Info()
		if info.GetState() == schema.HostState_HOST_STATE_LEAVING {
			continue
		}
		input.ExpectedHosts++
		if !m.IsLive(now) {
			continue
		}
		input.LiveHosts[info.GetName()] = true
		addresses[info.GetName()] = info.GetPeerAddress()
		if info.GetRegion() == c.cfg.Self.Region {
			local = append(local, info.GetName())
		} else {
			remote = append(remote, info.GetName())
		}
	}
	c.limiter.SetPeers(append(local, remote...))
	c.peerAddresses.Store(&addresses)
	return input
}

// readLedger starts a read of the ledger unless one is in flight. It runs on the
// control goroutine.
func (c *Controller) readLedger(ctx context.Context) {
	if c.readingLedger {
		return
	}
	c.readingLedger = true
	go func() {
		obj, err := c.cfg.Store.Get(ctx, ledgerName)
		c.post(func() { c.readingLedger = false })
		if err == nil || errors.Is(err, storeclient.ErrNotFound) {
			c.handleLedger(ctx, obj)
		}
	}()
}

// handleLedger passes a ledger that was read from the store to the leaser.
func (c *Controller) handleLedger(ctx context.Context, obj storeclient.Object) {
	ledger := &schema.Ledger{}
	if err := proto.Unmarshal(obj.Value, ledger); err != nil {
		c.cfg.Log.Error().Uint64("version", obj.Version).Err(err).Msg("bad_ledger")
		return
	}
	c.post(func() {
		now := c.cfg.Clock.Now()
		c.leaser.HandleLedger(obj.Version, ledger, now)
		c.updateShares(ctx, now)
	})
}

// writeLedger writes the ledger and passes the outcome to the leaser.
func (c *Controller) writeLedger(ctx context.Context, write *leaser.LedgerWrite) {
	version, err := uint64(0), error(nil)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(write.Ledger)
	if err == nil {
		version, err = c.cfg.Store.Put(ctx, ledgerName, value, write.IfVersion)
	}
	outcome := leaser.WriteUnknown
	switch {
	case err == nil:
		outcome = leaser.WriteApplied
	case errors.Is(err, storeclient.ErrConflict):
		outcome = leaser.WriteConflict
	}
	c.post(func() {
		now := c.cfg.Clock.Now()
		c.leaser.HandleWriteOutcome(outcome, version, now)
		if outcome == leaser.WriteConflict {
			c.readLedger(ctx)
		}
		c.applyShare(now)
	})
}

// buildPromise returns the promise to the sender of a heartbeat. It runs on the
// control goroutine.
func (c *Controller) buildPromise(ctx context.Context, req *schema.HeartbeatRequest) schema.PromiseKind {
	now, age := c.cfg.Clock.Now(), leaser.Forever
	if c.hasStoreContact {
		age = now - c.storeContactAt
	}
	if req.GetLedgerVersion() > c.leaser.Version() {
		c.readLedger(context.WithoutCancel(ctx))
	}
	s := req.GetSender()
	return c.leaser.HandleHeartbeat(leaser.Heartbeat{
		Host: s.GetName(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
		HeartbeatFields: leaser.HeartbeatFields{
			LedgerVersion: req.GetLedgerVersion(), AckedIncarnation: req.GetAcknowledged(), ReleaseHold: req.GetReleaseHold(),
		},
	}, age, now)
}

// handlePromise applies the promise in the response to a heartbeat. It runs on the
// control goroutine.
func (c *Controller) handlePromise(ctx context.Context, req *schema.HeartbeatRequest, resp *schema.HeartbeatResponse, sentAt clock.Millis) {
	now, s := c.cfg.Clock.Now(), resp.GetSender()
	c.leaser.HandleResponse(leaser.HeartbeatResponse{
		Host: s.GetName(), Incarnation: s.GetIncarnation(), Sequence: req.GetSender().GetSequence(),
		Sent: sentAt, Promise: resp.GetPromise(),
	}, now)
	if resp.GetLedgerVersion() > c.leaser.Version() {
		c.readLedger(ctx)
	}
	c.applyShare(now)
}

// HandOverSlots hands the share slots over to other hosts in a planned stop. The host
// admits no requests afterwards. If the store is unreachable, the ledger still assigns
// the slots to the host, and HandOverSlots returns no error, so that the stop goes on.
func (c *Controller) HandOverSlots(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for member := true; member; {
		err := c.call(ctx, func() {
			now := c.cfg.Clock.Now()
			c.leaser.Leave(now)
			c.applyShare(now)
			member = c.leaser.IsMember()
		})
		if errors.Is(err, context.DeadlineExceeded) {
			c.cfg.Log.Warn().Msg("slots_not_handed_over")
			return nil
		}
		if err != nil {
			return err
		}
		if member {
			clock.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

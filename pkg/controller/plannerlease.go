package controller

import (
	"cmp"
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

const (
	// plannerLeaseName is the object in the store that names the planner.
	plannerLeaseName = "leases/planner"
	// plannerLeaseTTL is how long a lease is valid, counted from when its last renewal
	// was sent.
	plannerLeaseTTL = 6 * clock.Second
	// renewInterval leaves time for two more attempts when a renewal fails.
	renewInterval = plannerLeaseTTL / 3
	// takeOverDelay is how long, by its own clock, another host must see a lease
	// unchanged before it takes the lease over. The added 25 % allow for clocks of
	// different speed.
	takeOverDelay = plannerLeaseTTL + plannerLeaseTTL/4
)

// plannerPriority returns a host's priority as planner; lower values come first.
func plannerPriority(host string) uint64 { return xxhash.Sum64String(host + "\x00" + plannerLeaseName) }

func comparePairs(a1, a2, b1, b2 string) int {
	return cmp.Or(cmp.Compare(a1, b1), cmp.Compare(a2, b2))
}

// plannerLease is a host's view of the planner lease, of which one host at a time is
// the holder. It is used by one goroutine only.
type plannerLease struct {
	cfg   Config
	rules leaseRules
	// record and version are the lease object as it was last read or written.
	record  *schema.PlannerLease
	version uint64
	// changedAt is when the version was first read, or when its write was sent.
	changedAt   clock.Millis
	held        bool
	validUntil  clock.Millis
	nextAttempt clock.Millis
}

// leaseRules are the parameters of the lease. Tests change them to show that their
// checks detect the violations that follow.
type leaseRules struct {
	ttl, takeOverDelay clock.Millis
	fenceStep          uint64
}

func newPlannerLease(cfg Config) *plannerLease {
	return &plannerLease{cfg: cfg, record: &schema.PlannerLease{}, changedAt: cfg.Clock.Now(), rules: leaseRules{plannerLeaseTTL, takeOverDelay, 1}}
}

// isValid reports whether the host may write plans now.
func (p *plannerLease) isValid() bool { return p.held && p.cfg.Clock.Now() < p.validUntil }

// step renews the lease, or takes it if the host is a candidate and the lease is
// free. It reports whether the host took the lease.
func (p *plannerLease) step(ctx context.Context, candidate, leaving bool) bool {
	now := p.cfg.Clock.Now()
	if p.held && now >= p.validUntil {
		p.drop("expired")
	}
	if now < p.nextAttempt || !p.held && (!candidate || leaving) {
		return false
	}
	p.nextAttempt = now + renewInterval
	if p.held {
		p.renew(ctx, leaving)
		return false
	}
	if err := p.read(ctx); err != nil {
		return false
	}
	if !p.isFree(p.cfg.Clock.Now()) {
		return false
	}
	next := &schema.PlannerLease{Host: p.cfg.Self.Name, Incarnation: p.cfg.Self.Incarnation, Fence: p.record.GetFence() + p.rules.fenceStep}
	if err := p.put(ctx, next); err != nil {
		if errors.Is(err, storeclient.ErrUnavailable) {
			// The write may have taken effect, which the next read shows.
			p.nextAttempt = p.cfg.Clock.Now() + planStepInterval
		}
		return false
	}
	p.held = true
	p.cfg.Meter.Add("planner_leases_taken", 1)
	p.cfg.Log.Info().Uint64("fence", next.GetFence()).Msg("planner_lease_taken")
	return true
}

// isFree reports whether the lease may be taken: it was given back, it belongs to
// this host or an earlier incarnation of it, or it did not change for takeOverDelay.
func (p *plannerLease) isFree(now clock.Millis) bool {
	return p.record.GetHost() == "" || p.record.GetHost() == p.cfg.Self.Name || now-p.changedAt >= p.rules.takeOverDelay
}

// renew renews the lease, or gives it back when the host is leaving.
func (p *plannerLease) renew(ctx context.Context, leaving bool) {
	next := proto.Clone(p.record).(*schema.PlannerLease)
	next.Renewals++
	if leaving {
		next.Host = ""
	}
	err := p.put(ctx, next)
	switch {
	case err == nil && leaving:
		p.drop("given_back")
	case errors.Is(err, storeclient.ErrConflict):
		p.resolveConflict(ctx)
	case err != nil:
		// Retry before the lease expires.
		p.nextAttempt = p.cfg.Clock.Now() + planStepInterval
	}
}

// resolveConflict reads the lease after a write conflict. The conflict may come from
// an earlier renewal of this host that took effect although its answer was lost. The
// host then keeps the lease and renews it at once: the time of the lost renewal is
// not recorded, so it does not extend the lease.
func (p *plannerLease) resolveConflict(ctx context.Context) {
	fence := p.record.GetFence()
	if err := p.read(ctx); err != nil {
		return
	}
	if p.record.GetHost() == p.cfg.Self.Name && p.record.GetIncarnation() == p.cfg.Self.Incarnation && p.record.GetFence() == fence {
		p.nextAttempt = p.cfg.Clock.Now()
		return
	}
	p.drop("taken_over")
}

// read reads the lease from the store.
func (p *plannerLease) read(ctx context.Context) error {
	obj, err := p.cfg.Store.Get(ctx, plannerLeaseName)
	if err != nil && !errors.Is(err, storeclient.ErrNotFound) {
		return err
	}
	record := &schema.PlannerLease{}
	if err := proto.Unmarshal(obj.Value, record); err != nil {
		p.cfg.Log.Error().Err(err).Msg("bad_planner_lease")
		return err
	}
	if obj.Version != p.version {
		p.version, p.changedAt = obj.Version, p.cfg.Clock.Now()
	}
	p.record = record
	return nil
}

// put replaces the lease if the store still has the version that was last read or
// written. The lease is valid from the time at which the write was sent.
func (p *plannerLease) put(ctx context.Context, next *schema.PlannerLease) error {
	sentAt := p.cfg.Clock.Now()
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	version, err := p.cfg.Store.Put(ctx, plannerLeaseName, value, p.version)
	if err == nil {
		p.record, p.version, p.changedAt, p.validUntil = next, version, sentAt, sentAt+p.rules.ttl
	}
	return err
}

// drop records that this host is no longer the planner.
func (p *plannerLease) drop(reason string) {
	p.held = false
	p.cfg.Meter.Add("planner_leases_lost", 1)
	p.cfg.Log.Warn().Uint64("fence", p.record.GetFence()).Str("reason", reason).Msg("planner_lease_lost")
}

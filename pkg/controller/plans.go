package controller

import (
	"context"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/planner"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// planStepInterval is the time between two steps of the plan goroutine, and the wait
// before a failed write of the lease is retried.
const planStepInterval = 500 * clock.Millis(1)

// planLoop keeps the planner lease and writes plans. It belongs to the plan
// goroutine, which can wait for the store without blocking the control goroutine.
type planLoop struct {
	c         *Controller
	planner   *planner.Planner
	publisher *publisher.Publisher
	lease     *plannerLease
	// confirmed says that the stored plan has the fence of this lease. Late writes of
	// earlier planners then fail because the version has changed.
	confirmed bool
}

// runPlans writes plans while the host has the planner lease.
func (c *Controller) runPlans(ctx context.Context) {
	l := &planLoop{c: c, planner: planner.New(), publisher: publisher.New(c.cfg.Store), lease: newPlannerLease(c.cfg)}
	for ctx.Err() == nil {
		clock.Sleep(ctx, planStepInterval.Duration())
		var view planView
		if err := c.call(ctx, func() { view = c.buildPlanView(c.cfg.Clock.Now()) }); err != nil {
			return
		}
		l.step(ctx, view)
	}
}

// step keeps the lease and writes the next plan if it differs from the current one.
func (l *planLoop) step(ctx context.Context, v planView) {
	acquired := l.lease.step(ctx, v.candidate, v.leaving)
	if acquired {
		l.confirmed = false
	}
	held := l.lease.isValid()
	l.c.cfg.Meter.Set("planner", map[bool]int64{true: 1}[held])
	if !held || !v.ready {
		return
	}
	v.input.Fence = l.lease.record.GetFence()
	next := l.planner.NextPlan(v.input)
	if next == v.input.CurrentPlan {
		if l.confirmed {
			return
		}
		// The first plan of a lease is written even if it changes no route.
		next = &schema.Plan{Routes: v.input.CurrentPlan.GetRoutes()}
	}
	next.Fence = v.input.Fence
	l.writePlan(ctx, v, next)
}

// writePlan writes a plan if the store still has the version that it is based on.
func (l *planLoop) writePlan(ctx context.Context, v planView, next *schema.Plan) {
	log := l.c.cfg.Log
	head, content, err := l.publisher.Read(ctx, replicator.KindPlan)
	if err != nil {
		return
	}
	stored := &schema.Plan{}
	if err := proto.Unmarshal(content, stored); err != nil {
		log.Error().Err(err).Msg("bad_plan")
		return
	}
	if stored.GetFence() > next.GetFence() {
		l.lease.drop("fenced")
		l.c.cfg.Meter.Add("plans_stale", 1)
		log.Warn().Uint64("fence", next.GetFence()).Uint64("stored_fence", stored.GetFence()).Msg("plan_refused_stale")
		return
	}
	if head.GetVersion() != v.version {
		// This host has not yet received the stored plan, which comes by watch or poll.
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil || !l.lease.isValid() {
		return
	}
	written, err := l.publisher.Write(ctx, replicator.KindPlan, value, v.version, "plan by "+l.c.cfg.Self.Name)
	switch {
	case err == nil:
		l.confirmed = true
		l.c.cfg.Meter.Add("plans_written", 1)
		log.Info().Uint64("version", written.GetVersion()).Uint64("fence", next.GetFence()).Msg("plan_written")
		l.c.offerDocument(replicator.KindPlan, written, value)
	case errors.Is(err, publisher.ErrConflict):
		l.c.cfg.Meter.Add("plans_stale", 1)
		log.Warn().Uint64("fence", next.GetFence()).Err(err).Msg("plan_refused_stale")
	default:
		l.c.cfg.Meter.Add("plans_failed", 1)
		log.Warn().Uint64("fence", next.GetFence()).Err(err).Msg("plan_not_written")
	}
}

// planView is the part of the control state that the plan goroutine uses.
type planView struct {
	input     planner.Input
	version   uint64
	candidate bool
	leaving   bool
	ready     bool
}

// maxReportAge is how long the load of a silent host stays in the sums. It makes the
// sums of its region stale, so that the region gets no more traffic until it is clear
// whether the host has failed.
const maxReportAge = 10 * clock.Second

// buildPlanView returns the input for a step of the plan goroutine. It runs on the
// control goroutine.
func (c *Controller) buildPlanView(now clock.Millis) planView {
	v := planView{
		version: c.docs.Version(replicator.KindPlan), candidate: c.isPlannerCandidate(now),
		leaving: c.state == schema.HostState_HOST_STATE_LEAVING, ready: c.input.Ready,
		input: planner.Input{
			Config: c.input.Config, Drains: c.input.Drains, CurrentPlan: c.input.Plan,
			LiveRegions: make(map[string]bool), PlanAge: now - c.planInForceSince,
		},
	}
	for region, health := range c.input.RegionHealth {
		v.input.LiveRegions[region] = health > 0
	}
	sums := newLoadSums()
	sums.add(c.buildReport(), 0)
	for _, m := range c.members.Members() {
		if age, ok := m.ReportAge(now); ok && age <= maxReportAge {
			sums.add(m.Info(), age)
		}
	}
	v.input.Loads, v.input.Demands = sums.sorted()
	return v
}

// plannerCandidates is the number of hosts that may take the planner lease.
const plannerCandidates = 2

// isPlannerCandidate reports whether this host is among the first in priority of the
// live hosts that reach the store.
func (c *Controller) isPlannerCandidate(now clock.Millis) bool {
	if !c.hasStoreContact || now-c.storeContactAt > plannerLeaseTTL {
		return false
	}
	priority, preferred := plannerPriority(c.cfg.Self.Name), 0
	for _, m := range c.members.Members() {
		age, ok := m.StoreContactAge(now)
		if ok && age <= plannerLeaseTTL && m.IsLive(now) && m.Info().GetState() == schema.HostState_HOST_STATE_LIVE &&
			plannerPriority(m.Info().GetName()) < priority {
			preferred++
		}
	}
	return preferred < plannerCandidates
}

// loadSums sums up the hosts' loads and demands by service and region.
type loadSums struct {
	loads   map[[2]string]planner.Load
	demands map[[2]string]planner.Demand
}

func newLoadSums() *loadSums {
	return &loadSums{make(map[[2]string]planner.Load), make(map[[2]string]planner.Demand)}
}

func (s *loadSums) add(info *schema.HostInfo, age clock.Millis) {
	for _, p := range info.GetPools() {
		key := [2]string{p.GetService(), info.GetRegion()}
		l := s.loads[key]
		s.loads[key] = planner.Load{
			Service: key[0], Region: key[1], Slots: l.Slots + p.GetSlots(), InUse: l.InUse + p.GetInUse(),
			Queued: l.Queued + p.GetQueued(), Granted: l.Granted + p.GetGranted(), Age: max(l.Age, age),
		}
	}
	for _, d := range info.GetDemands() {
		key := [2]string{d.GetService(), d.GetRegion()}
		s.demands[key] = planner.Demand{
			Service: key[0], Region: key[1], RatePerS: s.demands[key].RatePerS + d.GetRatePerS(),
			Age: max(s.demands[key].Age, age),
		}
	}
}

// sorted returns the sums, sorted by service and region.
func (s *loadSums) sorted() (loads []planner.Load, demands []planner.Demand) {
	for _, l := range s.loads {
		loads = append(loads, l)
	}
	for _, d := range s.demands {
		demands = append(demands, d)
	}
	slices.SortFunc(loads, func(a, b planner.Load) int { return comparePairs(a.Service, a.Region, b.Service, b.Region) })
	slices.SortFunc(demands, func(a, b planner.Demand) int { return comparePairs(a.Service, a.Region, b.Service, b.Region) })
	return loads, demands
}

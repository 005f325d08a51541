package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/tracer"
)

const (
	// acquireTimeout bounds an Acquire call. It is the time within which a grant must be
	// used, so a later response would be useless.
	acquireTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a Release call. If the call is lost, the next report frees
	// the slot.
	releaseTimeout = time.Second
	// unresponsivePeriod is how long an owner that did not answer is chosen only if no
	// other owner is left.
	unresponsivePeriod = clock.Second
	// ownerWaitAttempts and ownerWaitInterval bound the wait until the hosts' views agree
	// again. A change reaches a host within 500 ms, and the host acts on it within 100 ms.
	ownerWaitAttempts = 12
	ownerWaitInterval = 50 * time.Millisecond
	// maxOwnersPerRegion bounds the number of owners that a request asks in a region.
	maxOwnersPerRegion = 3
)

// errNoOwner means that no owner in a region answered, or that none has a server.
var errNoOwner = errors.New("no owner answered that can grant a slot")

// errOwnerNotReady means that a region's owners cannot grant slots yet, because they
// have no votes.
var errOwnerNotReady = fmt.Errorf("owner not ready: %w", errNoOwner)

// ownerStats records the entry host's requests to each owner and which owners did not
// answer.
type ownerStats struct {
	mu            sync.Mutex
	byName        map[string]*ownerStat
	permitCounter atomic.Uint64
}

type ownerStat struct {
	lastLoad *schema.PoolLoad
	// localInFlight is the number of in-flight requests, inFlightDelta its change
	// since lastLoad arrived.
	inFlightDelta, localInFlight int
	unresponsiveUntil            clock.Millis
}

func newOwnerStats() *ownerStats { return &ownerStats{byName: make(map[string]*ownerStat)} }

func (o *ownerStats) get(owner, service string) *ownerStat {
	key := owner + "\x00" + service
	s := o.byName[key]
	if s == nil {
		s = &ownerStat{}
		o.byName[key] = s
	}
	return s
}

// addInFlight adds n to the in-flight requests to an owner. A negative n subtracts.
func (o *ownerStats) addInFlight(owner, service string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.get(owner, service)
	s.inFlightDelta += n
	s.localInFlight += n
}

func (o *ownerStats) setUnresponsive(owner, service string, until clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.get(owner, service).unresponsiveUntil = until
}

// choose returns the index of one of the owners, by power of two choices on the load
// per slot. entryHosts is the number of hosts that send requests to the owners.
// Unresponsive owners are chosen only if there is no other.
func (o *ownerStats) choose(hosts []snapshotter.Host, service string, entryHosts int, now clock.Millis) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var candidates []dispatcher.Candidate
	var hostIndexes []int
	for pass := 0; pass < 2 && len(candidates) == 0; pass++ {
		for i, h := range hosts {
			s := o.get(h.Name, service)
			if pass == 0 && now < s.unresponsiveUntil {
				continue
			}
			candidates, hostIndexes = append(candidates, s.candidate(h, service, entryHosts)), append(hostIndexes, i)
		}
	}
	return hostIndexes[dispatcher.DefaultChooser().Choose(candidates, rand.IntN)]
}

func (s *ownerStat) candidate(h snapshotter.Host, service string, entryHosts int) dispatcher.Candidate {
	c := dispatcher.Candidate{Host: h.Name}
	for _, l := range h.Pools {
		if l.GetService() != service {
			continue
		}
		if l != s.lastLoad {
			// A new report includes the requests that were sent before it.
			s.lastLoad, s.inFlightDelta = l, 0
		}
		c.Slots, c.ReportedLoad = int(l.GetSlots()), int(l.GetInUse()+l.GetQueued())
	}
	c.InFlightDelta, c.LocalInFlight, c.EntryHosts = s.inFlightDelta, s.localInFlight, entryHosts
	return c
}

// countHosts returns the number of live hosts of a region.
func countHosts(snap *snapshotter.Snapshot, region string) int {
	n := 0
	for _, h := range snap.Hosts() {
		if h.Region == region {
			n++
		}
	}
	return n
}

// regionOwners returns the hosts of a region that own servers of a service.
func (h *Host) regionOwners(snap *snapshotter.Snapshot, svc *snapshotter.Service, region string) []snapshotter.Host {
	byName := make(map[string]snapshotter.Host)
	var names []string
	for _, host := range snap.Hosts() {
		if host.Region == region && !host.Leaving && !h.slots.isDead(host.Name) {
			byName[host.Name] = host
			names = append(names, host.Name)
		}
	}
	var out []snapshotter.Host
	for _, b := range svc.Servers(region) {
		owner := dispatcher.Owner(b.GetName(), names)
		if host, ok := byName[owner]; ok {
			out = append(out, host)
			delete(byName, owner)
		}
	}
	return out
}

// acquire asks the owners for a slot, region by region in the order of regionOrder. A
// full queue is no reason to try the next region: only the plan moves load.
func (h *Host) acquire(ctx context.Context, req forwarder.SlotRequest) (forwarder.Permit, error) {
	snap, svc := h.Snapshot(), req.Service
	refusal := error(&forwarder.AcquireError{Reason: dispatcher.ReasonNoServer, RetryAfter: clock.Second})
	acq := acquisition{workspace: req.Workspace, exclude: req.Exclude}
	waitRegion := ""
	for _, region := range h.regionOrder(snap, req) {
		if err := h.takeShiftToken(ctx, svc.Config().GetName(), req.HomeRegion, region); err != nil {
			refusal = err
			continue
		}
		acq.region = region
		permit, err := h.acquireInRegion(ctx, snap, svc, acq)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
		mayRecover := errors.Is(err, errOwnerNotReady) || len(req.Exclude) == 0 && len(svc.Servers(region)) > 0
		if waitRegion == "" && mayRecover {
			waitRegion = region
		}
	}
	if waitRegion != "" {
		acq.region, acq.waitForVotes = waitRegion, true
		permit, err := h.waitForOwner(ctx, svc, acq)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
	}
	return forwarder.Permit{}, refusal
}

// waitForOwner retries in a region that has servers but no owner that can grant their
// slots. This occurs when a fleet starts, or when the hosts' views differ during a
// planned stop.
func (h *Host) waitForOwner(ctx context.Context, svc *snapshotter.Service, acq acquisition) (permit forwarder.Permit, err error) {
	for range ownerWaitAttempts {
		permit, err = h.acquireInRegion(ctx, h.Snapshot(), svc, acq)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
		clock.Sleep(ctx, ownerWaitInterval)
	}
	return permit, err
}

// acquireInRegion asks the owners of one region, one after the other.
func (h *Host) acquireInRegion(ctx context.Context, snap *snapshotter.Snapshot, svc *snapshotter.Service, acq acquisition) (forwarder.Permit, error) {
	owners := h.regionOwners(snap, svc, acq.region)
	refusal := errNoOwner
	for range maxOwnersPerRegion {
		if len(owners) == 0 {
			break
		}
		i := h.ownerStats.choose(owners, svc.Config().GetName(), countHosts(snap, acq.region), h.clock.Now())
		a := acq
		a.h, a.owner, a.service = h, owners[i], svc.Config().GetName()
		permit, err := a.run(ctx)
		if err == nil {
			return permit, nil
		}
		if !errors.Is(err, errNoOwner) || errors.Is(err, errOwnerNotReady) && errors.Is(refusal, errNoOwner) {
			refusal = err
		}
		if ctx.Err() != nil {
			break
		}
		owners = append(owners[:i:i], owners[i+1:]...)
	}
	if ctx.Err() != nil {
		return forwarder.Permit{}, &forwarder.AcquireError{Reason: dispatcher.ReasonDeadline, RetryAfter: clock.Second}
	}
	return forwarder.Permit{}, refusal
}

// acquisition is a request to one owner for one permit.
type acquisition struct {
	h                          *Host
	owner                      snapshotter.Host
	region, service, workspace string
	exclude                    []string
	id                         string
	// waitForVotes says whether to wait while the owner has no votes.
	waitForVotes bool
}

// run calls the owner until it grants or refuses, does not answer, or the context ends.
func (a *acquisition) run(ctx context.Context) (forwarder.Permit, error) {
	h := a.h
	a.id = h.cfg.Name + "/" + strconv.FormatUint(h.slots.incarnation, 36) + "/" + strconv.FormatUint(h.ownerStats.permitCounter.Add(1), 36)
	h.slots.addPermit(a.id, a.region, a.service, a.workspace)
	h.ownerStats.addInFlight(a.owner.Name, a.service, 1)
	for ctx.Err() == nil {
		sentAt := h.clock.Now()
		dec, err := a.callOwner(ctx)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				h.meter.Add("owners_silent", 1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					h.slots.markDead(a.owner.Name, a.owner.Incarnation)
				}
				h.ownerStats.setUnresponsive(a.owner.Name, a.service, h.clock.Now()+unresponsivePeriod)
			}
			a.release(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errNoOwner
		case dec.Granted && h.slots.acceptGrant(a.id, dec.Server.Name, sentAt):
			return a.newPermit(dec), nil
		case dec.Granted:
			h.meter.Add("grants_late", 1)
			a.release(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errNoOwner
		case dec.Reason == reasonWaiting || dec.Reason == reasonNotReady && a.waitForVotes:
			continue
		case dec.Reason == reasonNotReady:
			h.meter.Add("owners_not_ready", 1)
			h.ownerStats.setUnresponsive(a.owner.Name, a.service, h.clock.Now()+unresponsivePeriod)
			a.release(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errOwnerNotReady
		}
		a.release(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
		return forwarder.Permit{}, refusalError(dec)
	}
	a.release(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
	return forwarder.Permit{}, &forwarder.AcquireError{Reason: dispatcher.ReasonDeadline, RetryAfter: clock.Second}
}

// refusalError returns the error for an owner's refusal.
func refusalError(dec dispatcher.Decision) error {
	switch dec.Reason {
	case dispatcher.ReasonNoServer, dispatcher.ReasonNotOwner:
		return errNoOwner
	case dispatcher.ReasonReleased:
		// The owner's queue dropped the request between two calls.
		return &forwarder.AcquireError{Reason: dispatcher.ReasonQueueFull, RetryAfter: clock.Second}
	default:
		return &forwarder.AcquireError{Reason: dec.Reason, RetryAfter: max(1, dec.RetryAfter)}
	}
}

// callOwner sends one Acquire call, or asks the dispatcher if this host is the owner.
func (a *acquisition) callOwner(ctx context.Context) (dispatcher.Decision, error) {
	remaining := clock.Millis(1 << 30)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = max(1, clock.FromDuration(time.Until(deadline)))
	}
	h := a.h
	if a.owner.Name == h.cfg.Name {
		return h.handleAcquire(ctx, dispatcher.Request{
			Host: h.cfg.Name, Incarnation: h.slots.incarnation, ID: a.id,
			Service: a.service, Workspace: a.workspace, Exclude: a.exclude,
		}, remaining), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	resp, err := h.cfg.DialPeer(ctx, a.owner.PeerAddress).Acquire(ctx, &schema.AcquireRequest{
		Host: h.cfg.Name, Incarnation: h.slots.incarnation, PermitId: a.id, Service: a.service,
		Workspace: a.workspace, DeadlineMs: uint64(remaining), Exclude: a.exclude,
		Traceparent: tracer.Inject(ctx),
	})
	return dispatcher.Decision{
		ID: a.id, Granted: resp.GetGranted(), Reason: resp.GetRefusal(), RetryAfter: clock.Millis(resp.GetRetryAfterMs()),
		Server: dispatcher.Server{Name: resp.GetBackendServer(), Address: resp.GetAddress()},
	}, err
}

func (a *acquisition) newPermit(dec dispatcher.Decision) forwarder.Permit {
	start := a.h.clock.Now()
	return forwarder.Permit{
		BackendServer: dec.Server.Name, Address: dec.Server.Address, Region: a.region,
		Release: func(r schema.PermitResult) { a.release(r, a.h.clock.Now()-start) },
	}
}

// release removes the permit and returns the slot to the owner.
func (a *acquisition) release(result schema.PermitResult, duration clock.Millis) {
	h := a.h
	h.slots.removePermit(a.id)
	h.ownerStats.addInFlight(a.owner.Name, a.service, -1)
	if a.owner.Name == h.cfg.Name {
		h.slots.release(a.id, result, duration)
		return
	}
	h.pending.add(1)
	go func() {
		defer h.pending.add(-1)
		ctx, cancel := context.WithTimeout(h.ctx, releaseTimeout)
		defer cancel()
		_, err := h.cfg.DialPeer(ctx, a.owner.PeerAddress).Release(ctx, &schema.ReleaseRequest{
			Host: h.cfg.Name, Incarnation: h.slots.incarnation, PermitId: a.id, Result: result, DurationMs: uint64(duration),
		})
		if err != nil {
			h.meter.Add("releases_failed", 1)
		}
	}()
}

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
	// acquireTimeout is the time for which a grant may be used, so a later answer would be of no use.
	acquireTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a Release; when it is lost, the next report frees the slot.
	releaseTimeout = time.Second
	// silentTime is how long an owner that did not answer is asked last.
	silentTime = clock.Second
	// patientTries and patientWait bound the wait for views that agree again. A
	// host acts on a change of its view within 100 ms and hears of one in 500 ms.
	patientTries = 12
	patientWait  = 50 * time.Millisecond
	// ownersAsked bounds the owners that one request asks in a region.
	ownersAsked = 3
)

// errNoOwner says that no owner in a region answered or has a server.
var errNoOwner = errors.New("no owner answered")

// errNotReady says that a region's owners have no votes and cannot grant yet.
var errNotReady = fmt.Errorf("owner not ready: %w", errNoOwner)

// ownerStats are the entry host's own observations of the owners since their last reports.
type ownerStats struct {
	mu     sync.Mutex
	byName map[string]*ownerStat
	next   atomic.Uint64
}

type ownerStat struct {
	load *schema.PoolLoad
	// sent counts requests in flight since the load, own all of them.
	sent, own int
	silent    clock.Millis
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

// add counts a request to an owner, or its end with a negative number.
func (o *ownerStats) add(owner, service string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.get(owner, service)
	s.sent += n
	s.own += n
}

func (o *ownerStats) setSilent(owner, service string, until clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.get(owner, service).silent = until
}

// choose takes one of the owners by power of two choices on load per slot.
// fleet is the number of hosts that send alike. Owners that did not answer lately are taken only when there is no other.
func (o *ownerStats) choose(hosts []snapshotter.Host, service string, fleet int, now clock.Millis) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []dispatcher.Candidate
	var index []int
	for pass := 0; pass < 2 && len(list) == 0; pass++ {
		for i, h := range hosts {
			s := o.get(h.Name, service)
			if pass == 0 && now < s.silent {
				continue
			}
			list, index = append(list, s.candidate(h, service, fleet)), append(index, i)
		}
	}
	return index[dispatcher.DefaultChooser().Choose(list, rand.IntN)]
}

func (s *ownerStat) candidate(h snapshotter.Host, service string, fleet int) dispatcher.Candidate {
	c := dispatcher.Candidate{Host: h.Name}
	for _, l := range h.Pools {
		if l.GetService() != service {
			continue
		}
		if l != s.load {
			// A new report includes what was sent before it.
			s.load, s.sent = l, 0
		}
		c.Slots, c.ReportedLoad = int(l.GetSlots()), int(l.GetInUse()+l.GetQueued())
	}
	c.InFlightSinceReport, c.LocalInFlight, c.EntryHosts = s.sent, s.own, fleet
	return c
}

// hostsIn counts the live hosts of a region.
func hostsIn(snap *snapshotter.Snapshot, region string) int {
	n := 0
	for _, h := range snap.Hosts() {
		if h.Region == region {
			n++
		}
	}
	return n
}

// ownersOf returns the hosts of a region that own servers of a service.
func (h *Host) ownersOf(snap *snapshotter.Snapshot, svc *snapshotter.Service, region string) []snapshotter.Host {
	byName := make(map[string]snapshotter.Host)
	var names []string
	for _, host := range snap.Hosts() {
		if host.Region == region && !host.Leaving && !h.slots.died(host.Name) {
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

// acquire asks the owners of the regions in their order. A full queue is not a
// reason to go to another region; that is left to the plan.
func (h *Host) acquire(ctx context.Context, req forwarder.SlotRequest) (forwarder.Permit, error) {
	snap, svc := h.Snapshot(), req.Service
	refusal := error(&forwarder.AcquireError{Reason: dispatcher.ReasonNoServer, RetryAfter: clock.Second})
	want := acquisition{workspace: req.Workspace, exclude: req.Exclude}
	waitIn := ""
	for _, region := range h.regionOrder(snap, req) {
		if err := h.mayShift(ctx, svc.Config().GetName(), req.HomeRegion, region); err != nil {
			refusal = err
			continue
		}
		want.region = region
		permit, err := h.acquireIn(ctx, snap, svc, want)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
		changing := errors.Is(err, errNotReady) || len(req.Exclude) == 0 && len(svc.Servers(region)) > 0
		if waitIn == "" && changing {
			waitIn = region
		}
	}
	if waitIn != "" {
		want.region, want.patient = waitIn, true
		permit, err := h.acquirePatiently(ctx, svc, want)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
	}
	return forwarder.Permit{}, refusal
}

// acquirePatiently waits in a region that has servers while no owner can grant
// them, as when a fleet starts or the hosts' views differ during a planned stop.
func (h *Host) acquirePatiently(ctx context.Context, svc *snapshotter.Service, want acquisition) (permit forwarder.Permit, err error) {
	for range patientTries {
		permit, err = h.acquireIn(ctx, h.Snapshot(), svc, want)
		if err == nil || !errors.Is(err, errNoOwner) {
			return permit, err
		}
		clock.Sleep(ctx, patientWait)
	}
	return permit, err
}

func (h *Host) acquireIn(ctx context.Context, snap *snapshotter.Snapshot, svc *snapshotter.Service, want acquisition) (forwarder.Permit, error) {
	owners := h.ownersOf(snap, svc, want.region)
	refusal := errNoOwner
	for range ownersAsked {
		if len(owners) == 0 {
			break
		}
		i := h.owners.choose(owners, svc.Config().GetName(), hostsIn(snap, want.region), h.clock.Now())
		a := want
		a.h, a.owner, a.service = h, owners[i], svc.Config().GetName()
		permit, err := a.run(ctx)
		if err == nil {
			return permit, nil
		}
		if !errors.Is(err, errNoOwner) || errors.Is(err, errNotReady) && errors.Is(refusal, errNoOwner) {
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

// acquisition asks one owner for one permit.
type acquisition struct {
	h                          *Host
	owner                      snapshotter.Host
	region, service, workspace string
	exclude                    []string
	id                         string
	// patient waits for an owner that has no votes yet.
	patient bool
}

// run asks until the owner decides, does not answer, or the context ends.
func (a *acquisition) run(ctx context.Context) (forwarder.Permit, error) {
	h := a.h
	a.id = h.cfg.Name + "/" + strconv.FormatUint(h.slots.incarnation, 36) + "/" + strconv.FormatUint(h.owners.next.Add(1), 36)
	h.slots.begin(a.id, a.region, a.service, a.workspace)
	h.owners.add(a.owner.Name, a.service, 1)
	for ctx.Err() == nil {
		sent := h.clock.Now()
		dec, err := a.ask(ctx)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				h.meter.Add("owners_silent", 1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					h.slots.refused(a.owner.Name, a.owner.Incarnation)
				}
				h.owners.setSilent(a.owner.Name, a.service, h.clock.Now()+silentTime)
			}
			a.end(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errNoOwner
		case dec.Granted && h.slots.granted(a.id, dec.Server.Name, sent):
			return a.permit(dec), nil
		case dec.Granted:
			h.meter.Add("grants_late", 1)
			a.end(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errNoOwner
		case dec.Reason == reasonWaiting || dec.Reason == reasonNotReady && a.patient:
			continue
		case dec.Reason == reasonNotReady:
			h.meter.Add("owners_not_ready", 1)
			h.owners.setSilent(a.owner.Name, a.service, h.clock.Now()+silentTime)
			a.end(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
			return forwarder.Permit{}, errNotReady
		}
		a.end(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
		return forwarder.Permit{}, refusalOf(dec)
	}
	a.end(schema.PermitResult_PERMIT_RESULT_UNUSED, 0)
	return forwarder.Permit{}, &forwarder.AcquireError{Reason: dispatcher.ReasonDeadline, RetryAfter: clock.Second}
}

func refusalOf(dec dispatcher.Decision) error {
	switch dec.Reason {
	case dispatcher.ReasonNoServer, dispatcher.ReasonNotOwner:
		return errNoOwner
	case dispatcher.ReasonReleased:
		// The queue dropped the request between two calls.
		return &forwarder.AcquireError{Reason: dispatcher.ReasonQueueFull, RetryAfter: clock.Second}
	default:
		return &forwarder.AcquireError{Reason: dec.Reason, RetryAfter: max(1, dec.RetryAfter)}
	}
}

// ask makes one call, or asks directly when the host itself is the owner.
func (a *acquisition) ask(ctx context.Context) (dispatcher.Decision, error) {
	left := clock.Millis(1 << 30)
	if deadline, ok := ctx.Deadline(); ok {
		left = max(1, clock.FromDuration(time.Until(deadline)))
	}
	h := a.h
	if a.owner.Name == h.cfg.Name {
		return h.ask(ctx, dispatcher.Request{
			Host: h.cfg.Name, Incarnation: h.slots.incarnation, ID: a.id,
			Service: a.service, Workspace: a.workspace, Exclude: a.exclude,
		}, left), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	resp, err := h.cfg.DialPeer(ctx, a.owner.PeerAddress).Acquire(ctx, &schema.AcquireRequest{
		Host: h.cfg.Name, Incarnation: h.slots.incarnation, PermitId: a.id, Service: a.service,
		Workspace: a.workspace, DeadlineMs: uint64(left), Exclude: a.exclude,
		Traceparent: tracer.Inject(ctx),
	})
	return dispatcher.Decision{
		ID: a.id, Granted: resp.GetGranted(), Reason: resp.GetRefusal(), RetryAfter: clock.Millis(resp.GetRetryAfterMs()),
		Server: dispatcher.Server{Name: resp.GetBackendServer(), Address: resp.GetAddress()},
	}, err
}

func (a *acquisition) permit(dec dispatcher.Decision) forwarder.Permit {
	start := a.h.clock.Now()
	return forwarder.Permit{
		BackendServer: dec.Server.Name, Address: dec.Server.Address, Region: a.region,
		Release: func(r schema.PermitResult) { a.end(r, a.h.clock.Now()-start) },
	}
}

// end forgets the permit and gives the slot back.
func (a *acquisition) end(result schema.PermitResult, took clock.Millis) {
	h := a.h
	h.slots.end(a.id)
	h.owners.add(a.owner.Name, a.service, -1)
	if a.owner.Name == h.cfg.Name {
		h.slots.release(a.id, result, took)
		return
	}
	h.work.add(1)
	go func() {
		defer h.work.add(-1)
		ctx, cancel := context.WithTimeout(h.running, releaseTimeout)
		defer cancel()
		_, err := h.cfg.DialPeer(ctx, a.owner.PeerAddress).Release(ctx, &schema.ReleaseRequest{
			Host: h.cfg.Name, Incarnation: h.slots.incarnation, PermitId: a.id, Result: result, DurationMs: uint64(took),
		})
		if err != nil {
			h.meter.Add("releases_failed", 1)
		}
	}()
}

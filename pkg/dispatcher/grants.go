package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// Acquire asks for a slot. A retry with the same ID gets the same slot.
func (d *Dispatcher) Acquire(r Request, now clock.Millis) Decision {
	refuse := func(reason string, retryAfter clock.Millis) Decision {
		return Decision{ID: r.ID, Reason: reason, RetryAfter: retryAfter}
	}
	if _, ok := d.tombstones[r.ID]; ok {
		return refuse(ReasonReleased, 0)
	}
	if !d.recordMessage(r.Host, r.Incarnation, now) {
		return refuse(ReasonReleased, 0)
	}
	d.updateReady(now)
	if p, ok := d.permits[r.ID]; ok {
		if s := d.servers[p.server]; s != nil && s.ready {
			return Decision{ID: r.ID, Granted: true, Server: s.Server}
		}
		return refuse(ReasonNotOwner, 0)
	}
	p := d.pools[r.Service]
	if p == nil || !p.canServe(r, now) {
		return refuse(ReasonNoServer, clock.Second)
	}
	if _, waiting := d.lastAcquireAt[r.ID]; waiting {
		d.lastAcquireAt[r.ID] = now
		return Decision{ID: r.ID, Queued: true}
	}
	w := d.weight(r.Workspace)
	if delay := p.queueDelay(r.Workspace, w); now+delay+clock.Millis(p.meanServiceTime) > r.Deadline {
		return refuse(ReasonDeadline, delay)
	}
	d.lastAcquireAt[r.ID] = now
	for _, dropped := range p.queue.push(r, w, p.maxQueueLength(now)) {
		delete(d.lastAcquireAt, dropped.ID)
		if dropped.ID == r.ID {
			return refuse(ReasonQueueFull, p.queueDelay(r.Workspace, w))
		}
		d.tombstones[dropped.ID] = now
		d.shed = append(d.shed, Decision{ID: dropped.ID, Reason: ReasonQueueFull, RetryAfter: p.queueDelay(dropped.Workspace, d.weight(dropped.Workspace))})
	}
	return Decision{ID: r.ID, Queued: true}
}

func (d *Dispatcher) weight(workspace string) float64 {
	if w := d.view.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// canServe reports whether a server that the host owns can take the request now or later.
func (p *pool) canServe(r Request, now clock.Millis) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.owned && s.health.slotLimit(s.Slots, now) > 0 && !slices.Contains(r.Exclude, s.Name)
	})
}

func (p *pool) ownedSlots() int {
	n := 0
	for _, s := range p.servers {
		if s.owned {
			n += s.Slots
		}
	}
	return n
}

// maxQueueLength returns the service's queue length, or else a default for each slot.
// Around a change of owner the default is at least what the slots serve in
// handOverQueueTime: the short queue would refuse most requests that arrive in the
// second or so that the change takes, but a long queue at all times adds latency.
func (p *pool) maxQueueLength(now clock.Millis) int {
	if p.cfg.QueueLength > 0 {
		return p.cfg.QueueLength
	}
	base := queueLengthPerSlot * p.ownedSlots()
	if !p.inHandOver(now) {
		return base
	}
	return max(base, int(float64(p.ownedSlots())*float64(handOverQueueTime)/max(1, p.meanServiceTime)))
}

// inHandOver reports whether an owned server cannot be granted yet, or has been
// grantable for less than handOverQueuePeriod.
func (p *pool) inHandOver(now clock.Millis) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.owned && (!s.ready || now-s.readyAt < handOverQueuePeriod)
	})
}

// queueDelay estimates the time that a new request spends in the queue. It is zero when the queue is empty.
func (p *pool) queueDelay(workspace string, weight float64) clock.Millis {
	return clock.Millis(p.queue.grantsAhead(workspace, weight) * p.meanServiceTime / float64(max(1, p.ownedSlots())))
}

// Step advances the state to the given time and returns the decisions on queued requests.
func (d *Dispatcher) Step(now clock.Millis) []Decision {
	d.updateReady(now)
	if now >= d.nextExpire {
		d.nextExpire = now + expireInterval
		d.expire(now)
	}
	out := d.shed
	d.shed = nil
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[name]
		for _, r := range p.queue.remove(func(r Request) bool { return d.shouldDrop(p, r, now) }) {
			delete(d.lastAcquireAt, r.ID)
			reason := ReasonDeadline
			if !p.canServe(r, now) {
				reason = ReasonNoServer
			}
			out = append(out, Decision{ID: r.ID, Reason: reason, RetryAfter: clock.Millis(p.meanServiceTime)})
		}
		out = append(out, d.grantQueued(p, now)...)
	}
	return out
}

// shouldDrop reports whether a queued request can no longer be served: its deadline
// is too near, its entry host has stopped retrying, or no server is left.
func (d *Dispatcher) shouldDrop(p *pool, r Request, now clock.Millis) bool {
	return now+clock.Millis(p.meanServiceTime) > r.Deadline || now-d.lastAcquireAt[r.ID] > 2*d.cfg.Rules.GrantTTL || !p.canServe(r, now)
}

func (d *Dispatcher) grantQueued(p *pool, now clock.Millis) []Decision {
	var out []Decision
	for {
		granted := false
		for _, workspace := range p.queue.queuedWorkspaces() {
			s := p.chooseServer(p.queue.flows[workspace].requests[0].Exclude, now)
			if s == nil {
				continue
			}
			r := p.queue.pop(workspace)
			delete(d.lastAcquireAt, r.ID)
			d.permits[r.ID] = permit{r.Host, r.Incarnation, p.cfg.Name, s.Name, now}
			s.inUse++
			p.grantCount++
			out = append(out, Decision{ID: r.ID, Granted: true, Server: s.Server})
			granted = true
			break
		}
		if !granted {
			return out
		}
	}
}

// chooseServer returns the server with the most free slots. Outliers that may not be ejected come last.
func (p *pool) chooseServer(exclude []string, now clock.Millis) *server {
	var best *server
	free, bestIsOutlier := 0, false
	for _, s := range p.servers {
		n := s.health.slotLimit(s.Slots, now) - s.inUse
		if !s.ready || n <= 0 || slices.Contains(exclude, s.Name) {
			continue
		}
		outlier := s.health.isOutlier()
		if best == nil || bestIsOutlier && !outlier || bestIsOutlier == outlier && n > free {
			best, free, bestIsOutlier = s, n, outlier
		}
	}
	return best
}

// Release frees a slot. A retry has no effect.
func (d *Dispatcher) Release(id string, result schema.PermitResult, serviceTime, now clock.Millis) {
	p, ok := d.permits[id]
	d.tombstones[id] = now
	if !ok {
		for _, pool := range d.pools {
			pool.queue.remove(func(r Request) bool { return r.ID == id })
		}
		delete(d.lastAcquireAt, id)
		return
	}
	if s := d.servers[p.server]; s != nil {
		s.handleResult(result, p.grantedAt, now)
	}
	if pool := d.pools[p.service]; pool != nil {
		if result == schema.PermitResult_PERMIT_RESULT_OK {
			pool.meanServiceTime += 0.1 * (float64(max(1, serviceTime)) - pool.meanServiceTime)
		}
		d.ejectOutliers(pool, now)
	}
	d.freePermit(id)
}

func (d *Dispatcher) freePermit(id string) {
	if s := d.servers[d.permits[id].server]; s != nil {
		s.inUse--
	}
	delete(d.permits, id)
}

package dispatcher

import (
	"maps"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// Acquire asks for a slot. A repeat with the same ID gets the same slot.
func (d *Dispatcher) Acquire(r Request, now clock.Millis) Decision {
	refuse := func(reason string, after clock.Millis) Decision {
		return Decision{ID: r.ID, Reason: reason, RetryAfter: after}
	}
	if _, ok := d.tombstones[r.ID]; ok {
		return refuse(ReasonReleased, 0)
	}
	if !d.hear(r.Host, r.Incarnation, now) {
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
	if p == nil || !p.usable(r, now) {
		return refuse(ReasonNoServer, clock.Second)
	}
	if _, waiting := d.asked[r.ID]; waiting {
		d.asked[r.ID] = now
		return Decision{ID: r.ID, Queued: true}
	}
	w := d.weight(r.Workspace)
	if wait := p.wait(r.Workspace, w); now+wait+clock.Millis(p.mean) > r.Deadline {
		return refuse(ReasonDeadline, wait)
	}
	d.asked[r.ID] = now
	for _, out := range p.queue.push(r, w, p.limit(now)) {
		delete(d.asked, out.ID)
		if out.ID == r.ID {
			return refuse(ReasonQueueFull, p.wait(r.Workspace, w))
		}
		d.tombstones[out.ID] = now
		d.shed = append(d.shed, Decision{ID: out.ID, Reason: ReasonQueueFull, RetryAfter: p.wait(out.Workspace, d.weight(out.Workspace))})
	}
	return Decision{ID: r.ID, Queued: true}
}

func (d *Dispatcher) weight(workspace string) float64 {
	if w := d.view.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// usable reports whether a server that the host owns could take the request now or later.
func (p *pool) usable(r Request, now clock.Millis) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.owned && s.health.limit(s.Slots, now) > 0 && !slices.Contains(r.Exclude, s.Name)
	})
}

func (p *pool) slots() int {
	n := 0
	for _, s := range p.servers {
		if s.owned {
			n += s.Slots
		}
	}
	return n
}

// limit returns the longest queue: what the service names, or else a few
// requests for each slot. Around a change of owner it is what the slots serve in
// queueTime, because the short queue refuses most of what arrives in the second
// or so that the change takes, and a long queue at all times costs latency.
func (p *pool) limit(now clock.Millis) int {
	if p.cfg.QueueLength > 0 {
		return p.cfg.QueueLength
	}
	short := queueFactor * p.slots()
	if !p.changing(now) {
		return short
	}
	return max(short, int(float64(p.slots())*float64(queueTime)/max(1, p.mean)))
}

// changing reports whether an owned server cannot be granted yet, or only since lately.
func (p *pool) changing(now clock.Millis) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.owned && (!s.ready || now-s.readyAt < drainTime)
	})
}

// wait estimates the time in the queue. It is zero while a slot is free.
func (p *pool) wait(workspace string, weight float64) clock.Millis {
	return clock.Millis(p.queue.ahead(workspace, weight) * p.mean / float64(max(1, p.slots())))
}

// Step applies the passage of time and returns the decisions on waiting requests.
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
		for _, r := range p.queue.remove(func(r Request) bool { return d.hopeless(p, r, now) }) {
			delete(d.asked, r.ID)
			reason := ReasonDeadline
			if !p.usable(r, now) {
				reason = ReasonNoServer
			}
			out = append(out, Decision{ID: r.ID, Reason: reason, RetryAfter: clock.Millis(p.mean)})
		}
		out = append(out, d.grant(p, now)...)
	}
	return out
}

// hopeless reports whether a waiting request can no longer be served: its
// deadline is near, its entry host stopped asking, or no server is left.
func (d *Dispatcher) hopeless(p *pool, r Request, now clock.Millis) bool {
	return now+clock.Millis(p.mean) > r.Deadline || now-d.asked[r.ID] > 2*d.cfg.Rules.GrantTTL || !p.usable(r, now)
}

func (d *Dispatcher) grant(p *pool, now clock.Millis) []Decision {
	var out []Decision
	for {
		granted := false
		for _, workspace := range p.queue.names() {
			s := p.choose(p.queue.flows[workspace].items[0].Exclude, now)
			if s == nil {
				continue
			}
			r := p.queue.take(workspace)
			delete(d.asked, r.ID)
			d.permits[r.ID] = permit{r.Host, r.Incarnation, p.cfg.Name, s.Name, now}
			s.inUse++
			p.granted++
			out = append(out, Decision{ID: r.ID, Granted: true, Server: s.Server})
			granted = true
			break
		}
		if !granted {
			return out
		}
	}
}

// choose returns the server with the most free slots; outliers that may not be ejected come last.
func (p *pool) choose(exclude []string, now clock.Millis) *server {
	var best *server
	free, suspect := 0, false
	for _, s := range p.servers {
		n := s.health.limit(s.Slots, now) - s.inUse
		if !s.ready || n <= 0 || slices.Contains(exclude, s.Name) {
			continue
		}
		bad := s.health.outlier()
		if best == nil || suspect && !bad || suspect == bad && n > free {
			best, free, suspect = s, n, bad
		}
	}
	return best
}

// Release gives a slot back; a repeat does nothing.
func (d *Dispatcher) Release(id string, result schema.PermitResult, took, now clock.Millis) {
	p, ok := d.permits[id]
	d.tombstones[id] = now
	if !ok {
		for _, pool := range d.pools {
			pool.queue.remove(func(r Request) bool { return r.ID == id })
		}
		delete(d.asked, id)
		return
	}
	if s := d.servers[p.server]; s != nil {
		s.result(result, p.since, now)
	}
	if pool := d.pools[p.service]; pool != nil {
		if result == schema.PermitResult_PERMIT_RESULT_OK {
			pool.mean += 0.1 * (float64(max(1, took)) - pool.mean)
		}
		d.ejectOutliers(pool, now)
	}
	d.free(id)
}

func (d *Dispatcher) free(id string) {
	if s := d.servers[d.permits[id].server]; s != nil {
		s.inUse--
	}
	delete(d.permits, id)
}

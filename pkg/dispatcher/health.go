package dispatcher

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

const (
	// failuresToEject is the number of failures in a row that makes a server an outlier.
	failuresToEject = 5
	// rateWindow and rateMinimum bound the sample of the failure rate.
	rateWindow  = 10 * clock.Second
	rateMinimum = 20
	// pollsToEject is the number of failed health polls in a row that makes a server an outlier.
	pollsToEject = 3
	// ejectBase doubles with each ejection in a row up to ejectMax.
	ejectBase = 5 * clock.Second
	ejectMax  = 60 * clock.Second
)

// health is what an owner knows about one backend server.
type health struct {
	// ramp is the time over which the server goes from one slot to all after it arrived.
	ramp        clock.Millis
	leaving     bool
	arrived     clock.Millis
	ramping     bool
	consecutive int
	polls       int
	windowStart clock.Millis
	total, bad  int
	ejected     clock.Millis
	ejections   int
	// since is the end of the latest ejection; results of older permits are not counted.
	since clock.Millis
}

// limit returns the slots that may be in use at a time.
func (h *health) limit(slots int, now clock.Millis) int {
	if h.leaving || now < h.ejected {
		return 0
	}
	if !h.ramping || now-h.arrived >= h.ramp {
		return slots
	}
	return 1 + int(clock.Millis(slots-1)*(now-h.arrived)/h.ramp)
}

// arrive starts the ramp.
func (h *health) arrive(now clock.Millis) { h.arrived, h.ramping = now, true }

// observe counts the result of a permit that was granted at the given time.
func (h *health) observe(failed bool, granted, now clock.Millis) {
	if granted < h.since || now < h.ejected {
		return
	}
	if now-h.windowStart > rateWindow {
		h.windowStart, h.total, h.bad = now, 0, 0
	}
	h.total++
	if !failed {
		h.consecutive = 0
		if h.ejections > 0 && now-h.since > ejectMax {
			h.ejections = 0
		}
		return
	}
	h.bad++
	h.consecutive++
}

// outlier reports whether the server fails too often.
func (h *health) outlier() bool {
	return h.consecutive >= failuresToEject || h.polls >= pollsToEject || h.total >= rateMinimum && 2*h.bad >= h.total
}

// eject takes the server out; the time doubles with each ejection.
func (h *health) eject(now clock.Millis) {
	h.ejected = now + min(ejectMax, ejectBase<<min(h.ejections, 4))
	h.ejections++
	h.since = h.ejected
	h.consecutive, h.polls, h.total, h.bad = 0, 0, 0, 0
	h.arrive(h.ejected)
}

// ejectOutliers ejects outliers up to the share of the owned servers. Owners
// hold disjoint sets, so the floors add up to at most a third of the region.
func (d *Dispatcher) ejectOutliers(p *pool, now clock.Millis) {
	owned, out := 0, 0
	for _, s := range p.servers {
		if s.ready {
			owned++
		}
		if s.ready && now < s.health.ejected {
			out++
		}
	}
	for _, s := range p.servers {
		if s.ready && s.health.outlier() && now >= s.health.ejected && out < owned/d.cfg.Rules.EjectionDivisor {
			s.health.eject(now)
			d.ejections++
			out++
		}
	}
}

// RecordHealthCheck takes the answer of a server's health endpoint.
func (d *Dispatcher) RecordHealthCheck(service, server string, failed, leaving bool, now clock.Millis) {
	p := d.pools[service]
	if p == nil || p.byName[server] == nil {
		return
	}
	h := &p.byName[server].health
	if h.leaving && !leaving && !failed {
		h.leaving = false
		h.arrive(now)
	}
	h.leaving = h.leaving || leaving
	// A good health answer does not outweigh failed requests, so it is not counted with them.
	if !failed || leaving {
		h.polls = 0
	} else if now >= h.since {
		h.polls++
	}
	d.ejectOutliers(p, now)
}

func (s *server) result(r schema.PermitResult, granted, now clock.Millis) {
	switch r {
	case schema.PermitResult_PERMIT_RESULT_OK:
		s.health.observe(false, granted, now)
	case schema.PermitResult_PERMIT_RESULT_FAILED:
		s.health.observe(true, granted, now)
	case schema.PermitResult_PERMIT_RESULT_LEAVING:
		// Without a health endpoint nothing would end the state, so the server is ejected for a time.
		if s.polled {
			s.health.leaving = true
		} else {
			s.health.eject(now)
		}
	}
}

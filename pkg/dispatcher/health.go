package dispatcher

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

const (
	// failuresToEject is the number of consecutive failures that makes a server an outlier.
	failuresToEject = 5
	// failureRateWindow and failureRateMinSamples bound the sample of the failure rate.
	failureRateWindow     = 10 * clock.Second
	failureRateMinSamples = 20
	// failedChecksToEject is the number of consecutive failed health checks that makes a server an outlier.
	failedChecksToEject = 3
	// minEjectionTime doubles with each consecutive ejection, up to maxEjectionTime.
	minEjectionTime = 5 * clock.Second
	maxEjectionTime = 60 * clock.Second
)

// health is what an owner knows about the health of one backend server.
type health struct {
	// rampTime is the time over which the limit grows from one slot to all.
	rampTime                    clock.Millis
	leaving                     bool
	rampStart                   clock.Millis
	ramping                     bool
	consecutiveFailures         int
	failedChecks                int
	windowStart                 clock.Millis
	windowTotal, windowFailures int
	ejectedUntil                clock.Millis
	ejections                   int
	// countedSince is the end of the latest ejection. Results of permits granted earlier are not counted.
	countedSince clock.Millis
}

// slotLimit returns the number of slots that may be in use at once.
func (h *health) slotLimit(slots int, now clock.Millis) int {
	if h.leaving || now < h.ejectedUntil {
		return 0
	}
	if !h.ramping || now-h.rampStart >= h.rampTime {
		return slots
	}
	return 1 + int(clock.Millis(slots-1)*(now-h.rampStart)/h.rampTime)
}

// startRamp lets the limit grow from one slot again.
func (h *health) startRamp(now clock.Millis) { h.rampStart, h.ramping = now, true }

// recordResult counts the result of a permit that was granted at the given time.
func (h *health) recordResult(failed bool, grantedAt, now clock.Millis) {
	if grantedAt < h.countedSince || now < h.ejectedUntil {
		return
	}
	if now-h.windowStart > failureRateWindow {
		h.windowStart, h.windowTotal, h.windowFailures = now, 0, 0
	}
	h.windowTotal++
	if !failed {
		h.consecutiveFailures = 0
		if h.ejections > 0 && now-h.countedSince > maxEjectionTime {
			h.ejections = 0
		}
		return
	}
	h.windowFailures++
	h.consecutiveFailures++
}

// isOutlier reports whether the server fails often enough to be ejected.
func (h *health) isOutlier() bool {
	return h.consecutiveFailures >= failuresToEject || h.failedChecks >= failedChecksToEject || h.windowTotal >= failureRateMinSamples && 2*h.windowFailures >= h.windowTotal
}

// eject removes the server from use. The time doubles with each consecutive ejection.
func (h *health) eject(now clock.Millis) {
	h.ejectedUntil = now + min(maxEjectionTime, minEjectionTime<<min(h.ejections, 4))
	h.ejections++
	h.countedSince = h.ejectedUntil
	h.consecutiveFailures, h.failedChecks, h.windowTotal, h.windowFailures = 0, 0, 0, 0
	h.startRamp(h.ejectedUntil)
}

// ejectOutliers ejects outliers up to one in EjectionDivisor of the grantable servers.
// Owners have disjoint sets of servers and round down, so at most a third of the
// region's servers is ejected.
func (d *Dispatcher) ejectOutliers(p *pool, now clock.Millis) {
	grantable, ejected := 0, 0
	for _, s := range p.servers {
		if s.ready {
			grantable++
		}
		if s.ready && now < s.health.ejectedUntil {
			ejected++
		}
	}
	for _, s := range p.servers {
		if s.ready && s.health.isOutlier() && now >= s.health.ejectedUntil && ejected < grantable/d.cfg.Rules.EjectionDivisor {
			s.health.eject(now)
			d.ejections++
			ejected++
		}
	}
}

// RecordHealthCheck records the result of a server's health check.
func (d *Dispatcher) RecordHealthCheck(service, server string, failed, leaving bool, now clock.Millis) {
	p := d.pools[service]
	if p == nil || p.byName[server] == nil {
		return
	}
	h := &p.byName[server].health
	if h.leaving && !leaving && !failed {
		h.leaving = false
		h.startRamp(now)
	}
	h.leaving = h.leaving || leaving
	// Successful health checks must not outweigh failed requests, so the two are counted separately.
	if !failed || leaving {
		h.failedChecks = 0
	} else if now >= h.countedSince {
		h.failedChecks++
	}
	d.ejectOutliers(p, now)
}

func (s *server) handleResult(r schema.PermitResult, grantedAt, now clock.Millis) {
	switch r {
	case schema.PermitResult_PERMIT_RESULT_OK:
		s.health.recordResult(false, grantedAt, now)
	case schema.PermitResult_PERMIT_RESULT_FAILED:
		s.health.recordResult(true, grantedAt, now)
	case schema.PermitResult_PERMIT_RESULT_LEAVING:
		// Without health checks nothing would end the leaving state, so the server is ejected for a time.
		if s.hasHealthEndpoint {
			s.health.leaving = true
		} else {
			s.health.eject(now)
		}
	}
}

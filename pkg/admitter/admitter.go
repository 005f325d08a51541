// Package admitter gives requests priority when capacity is short: it decides how long those
// of one service may wait for a slot, by their urgency and by what their workspace got before.
// It does no I/O: the caller passes the time and serializes the calls.
//
// It answers demand above what the servers can do for seconds: a burst, a workspace with
// several times its usual load, or half of a zone lost. Without it, classes of requests that
// may wait long fill the queues, and urgent ones, which may not, are refused. As long as
// nothing is refused, nothing changes.
//
// Each host decides by its own counts. A wrong count changes who waits, and never how much
// is sent.
package admitter

import (
	"maps"
	"math"

	"catkindyke/pkg/clock"
)

const (
	// shortTime is the time after a refusal for which capacity counts as short, and within which
	// a class must have asked to be put before others.
	shortTime = clock.Second
	// limitWeight is the weight of one request in the limit of its class.
	limitWeight = 0.2
	// classMargin and classGain say how far the limit of a less urgent class is lowered towards
	// that of a more urgent one: not at all while the more urgent one is served more often by
	// classMargin, and completely if that is missed by 1/classGain.
	classMargin, classGain = 0.1, 10.0
	// countTime is the time constant of the counts. A host gets about one request a second of
	// a workspace.
	countTime = 10 * clock.Second
	// priorRequests is the number of requests with the mean result that each workspace
	// counts in addition, so that a few requests decide nothing.
	priorRequests = 2.0
	// maxWorkspaces bounds the workspaces whose requests are counted. Those that have not asked
	// for workspaceTTL make place for others, which are treated alike until then.
	maxWorkspaces = 1000
	workspaceTTL  = 3 * countTime
	// fairGain is the relative change of the limit for each unit by which a workspace's share
	// differs from the mean. minFair and maxFair bound it.
	fairGain, minFair, maxFair = 3.0, 0.5, 2.0
)

// Request holds what decides on the limit of a request.
type Request struct {
	// Priority is 0 for the most urgent requests.
	Priority float64
	// Workspace is empty if there is none.
	Workspace string
	// Limit is the longest wait in ms with which the request would be sent by itself.
	Limit float64
}

// Admitter holds what one host knows of the requests for one service.
type Admitter struct {
	classes    map[float64]*class
	workspaces map[string]*counts
	all        counts
	refusedAt  clock.Millis
	refused    bool
	purgedAt   clock.Millis
}

// class is the requests of one priority.
type class struct {
	limit   float64
	askedAt clock.Millis
	counts
}

// counts are decaying numbers of requests.
type counts struct {
	asked, admitted float64
	at              clock.Millis
}

// share returns the fraction of the requests that were sent.
func (c *counts) share() float64 { return (c.admitted + priorRequests) / (c.asked + priorRequests) }

func (c *counts) add(admitted bool, now clock.Millis) {
	decay := math.Exp(-float64(now-c.at) / float64(countTime))
	c.asked, c.admitted, c.at = c.asked*decay+1, c.admitted*decay, now
	if admitted {
		c.admitted++
	}
}

// New returns an admitter that has seen no requests.
func New() *Admitter {
	return &Admitter{classes: make(map[float64]*class), workspaces: make(map[string]*counts)}
}

// isShort reports whether requests were refused just now.
func (a *Admitter) isShort(now clock.Millis) bool { return a.refused && now-a.refusedAt <= shortTime }

// Limit returns the longest wait in ms with which a request is sent. While capacity is short, it
// falls to that of a more urgent class that is not served clearly more often, and differs by
// what the workspace got before.
func (a *Admitter) Limit(req Request, now clock.Millis) float64 {
	c := a.classes[req.Priority]
	if c == nil {
		c = &class{limit: req.Limit}
		a.classes[req.Priority] = c
	}
	c.limit += limitWeight * (req.Limit - c.limit)
	c.askedAt = now
	if !a.isShort(now) {
		return req.Limit
	}
	limit := req.Limit
	for priority, other := range a.classes {
		if priority < req.Priority && now-other.askedAt <= shortTime && other.limit < req.Limit {
			lead := math.Min(1, math.Max(0, 1+classGain*(other.share()-c.share()-classMargin)))
			limit = math.Min(limit, other.limit+lead*(req.Limit-other.limit))
		}
	}
	return limit * a.fairFactor(req.Workspace)
}

// fairFactor lets a workspace that got less than the mean wait longer.
func (a *Admitter) fairFactor(workspace string) float64 {
	w := a.workspaces[workspace]
	if w == nil || a.all.asked == 0 {
		return 1
	}
	mean := a.all.admitted / a.all.asked
	share := (w.admitted + priorRequests*mean) / (w.asked + priorRequests)
	return math.Min(math.Max(1+fairGain*(mean-share), minFair), maxFair)
}

// Record records whether a request was sent.
func (a *Admitter) Record(req Request, admitted bool, now clock.Millis) {
	if !admitted {
		a.refused, a.refusedAt = true, now
	}
	a.all.add(admitted, now)
	if c := a.classes[req.Priority]; c != nil {
		c.add(admitted, now)
	}
	w := a.workspaces[req.Workspace]
	if w == nil {
		a.purgeWorkspaces(now)
		if len(a.workspaces) >= maxWorkspaces {
			return
		}
		w = &counts{at: now}
		a.workspaces[req.Workspace] = w
	}
	w.add(admitted, now)
}

// purgeWorkspaces forgets workspaces that have not asked for a long time. It does so once a
// second at most, and only if there are many.
func (a *Admitter) purgeWorkspaces(now clock.Millis) {
	if len(a.workspaces) < maxWorkspaces || now-a.purgedAt < clock.Second {
		return
	}
	a.purgedAt = now
	maps.DeleteFunc(a.workspaces, func(_ string, w *counts) bool { return now-w.at > workspaceTTL })
}

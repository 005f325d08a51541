package main

import (
	"cmp"
	"slices"
	"time"

	"catkindyke/pkg/exerciser"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/schema"
)

const (
	regions = 3
	hosts   = 9
	// warmUp is the time in which hosts divide the share slots and owners are elected.
	warmUp = 30 * time.Second
	// caseDuration is the measured time of a case after the warm-up; eventTime is its offset of the event.
	caseDuration = 40 * time.Second
	eventTime    = 10 * time.Second
	// applyTarget is the target time for applying a change; lookupTTL is how long callers use a look-up answer.
	applyTarget     = 2 * time.Second
	lookupTTL       = 5 * time.Second
	requestDeadline = 5 * time.Second
	// zoneDelay and regionDelay are one-way delays (design page, section 1.3).
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 20 * time.Millisecond
)

type service struct {
	name           string
	servers, slots int
	meanTime       time.Duration
	// share is the service's share of the requests.
	share float64
}

// world is one deployment in one case, run on the fleet's event queue.
type world struct {
	*exerciser.Fleet
	services    []service
	clientDelay time.Duration
	workspaces  []*schema.Workspace
	weights     map[string]float64
	regions     []*region
	baseline    bool
	load        float64
	loadFactors map[string]float64
	// avoidedRegion is the region that callers avoid; negative for none.
	avoidedRegion int

	lastPermitID int
	measuring    bool
	latencies    []time.Duration
	tallies      map[string]*tally
	busyTime     time.Duration
	overloads    int
	secondRuns   int
	lateNewWork  int
}

type tally struct{ within, answered, wrongful int }

// request is a caller's request on its way through the fleet.
type request struct {
	w          *world
	workspace  string
	service    int
	startTime  time.Duration
	withinRate bool
	measured   bool
	runs       int
}

func newWorld(d deployment, seed uint64, baseline bool) *world {
	limits := make(map[string]limiter.Limit)
	w := &world{
		services: d.services, clientDelay: d.clientDelay, workspaces: d.workspaces, baseline: baseline, avoidedRegion: -1,
		weights: make(map[string]float64), loadFactors: make(map[string]float64), tallies: make(map[string]*tally),
	}
	for _, ws := range d.workspaces {
		limits[ws.GetName()] = limiter.Limit{RatePerSecond: ws.GetRatePerS(), Burst: ws.GetBurst()}
		w.weights[ws.GetName()], w.tallies[ws.GetName()] = ws.GetWeight(), &tally{}
	}
	w.Fleet = exerciser.New(exerciser.Config{Seed: seed, Hosts: hosts, Regions: regions, Limits: limits, StaticShares: baseline})
	for n := range regions {
		r := newRegion(w, n)
		w.regions = append(w.regions, r)
		w.schedulePeriodically(50*time.Millisecond, r.refreshView)
		w.schedulePeriodically(5*time.Millisecond, r.step)
	}
	w.AfterFunc(3*time.Second, func() {
		for _, ws := range w.workspaces {
			w.scheduleArrival(ws)
		}
	})
	return w
}

func (w *world) schedulePeriodically(d time.Duration, f func()) {
	w.AfterFunc(d, func() {
		f()
		w.schedulePeriodically(d, f)
	})
}

func (w *world) serviceTime(s *service) time.Duration {
	d := time.Duration(w.Rand().ExpFloat64() * float64(s.meanTime))
	if w.measuring {
		w.busyTime += d
	}
	return d
}

// scheduleArrival schedules a workspace's requests as a Poisson process.
func (w *world) scheduleArrival(ws *schema.Workspace) {
	rate := ws.GetRatePerS() * w.load
	if f := w.loadFactors[ws.GetName()]; f > 0 {
		rate = ws.GetRatePerS() * f
	}
	w.AfterFunc(time.Duration(w.Rand().ExpFloat64()/rate*float64(time.Second)), func() {
		w.scheduleArrival(ws)
		req := &request{w: w, workspace: ws.GetName(), startTime: w.Now(), measured: w.measuring}
		if w.Rand().Float64() >= w.services[0].share {
			req.service = 1
		}
		host := w.Rand().IntN(hosts)
		for w.Host(host).Region() == w.avoidedRegion {
			host = w.Rand().IntN(hosts)
		}
		w.AfterFunc(w.clientDelay, func() { w.admit(req, host) })
	})
}

// admit sends a request to a host, or to the next host that is up.
func (w *world) admit(req *request, host int) {
	for i := 0; i < hosts && !w.Host(host).IsRunning(); i++ {
		host = (host + 1) % hosts
	}
	w.RequestWithCallback(host, req.workspace, func(admitted, within bool) {
		req.withinRate = within
		if !admitted {
			req.finish(false)
			return
		}
		entryRegion := w.Host(host).Region()
		for i := range regions {
			r := w.regions[(entryRegion+i)%regions]
			if r.lost || r.drainStart >= 0 && w.Now() >= r.drainStart+applyTarget {
				continue
			}
			delay := zoneDelay
			if i > 0 {
				delay = regionDelay
			}
			// The acquire call and its answer each take one zone delay.
			w.AfterFunc(2*zoneDelay, func() { r.serve(req, delay) })
			return
		}
		req.finish(false)
	})
}

func (req *request) finish(answered bool) {
	if !req.measured {
		return
	}
	t := req.w.tallies[req.workspace]
	if req.withinRate {
		t.within++
	}
	switch {
	case answered:
		t.answered++
		req.w.latencies = append(req.w.latencies, req.w.Now()+req.w.clientDelay-req.startTime)
	case req.withinRate:
		t.wrongful++
	}
}

// run plays a case and returns its figures.
func (w *world) run(c testCase) figures {
	w.load = c.load
	w.Run(warmUp)
	w.ResetCounts()
	w.measuring = true
	if c.setup != nil {
		c.setup(w)
	}
	w.Run(caseDuration)
	w.measuring = false
	w.load = 1e-9
	w.Run(2 * requestDeadline)
	return w.collectFigures()
}

func (w *world) collectFigures() figures {
	f := figures{worstServed: 1, overAdmissions: w.Results().OverAdmissions + len(w.Violations), overloads: w.overloads, secondRuns: w.secondRuns, lateRuns: w.lateNewWork}
	slices.SortFunc(w.latencies, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if n := len(w.latencies); n > 0 {
		f.p50, f.p99 = w.latencies[n/2], w.latencies[n*99/100]
	}
	within, wrongful := 0, 0
	for name, t := range w.tallies {
		if w.loadFactors[name] > 1 {
			// Above the rate, which requests are admitted is arbitrary, so the shortfall counts.
			t.wrongful = max(0, t.within-t.answered)
		}
		within, wrongful = within+t.within, wrongful+t.wrongful
		f.worstServed = min(f.worstServed, float64(t.answered)/float64(max(1, t.within)))
	}
	f.wrongfulRefusals = float64(wrongful) / float64(max(1, within))
	capacity := 0.0
	for _, r := range w.regions {
		if r.drainStart >= 0 {
			f.drainTime = max(0, r.lastCompletion-r.drainStart)
		}
		for _, s := range r.servers {
			if !r.lost {
				capacity += float64(s.service.slots) * caseDuration.Seconds()
			}
		}
	}
	f.headroom = 1 - w.busyTime.Seconds()/capacity
	return f
}

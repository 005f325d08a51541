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
	// warmUp lets the hosts share the slots and the owners be elected.
	warmUp = 30 * time.Second
	// length of each case after the warm-up; the event of a case comes at eventAt.
	length  = 40 * time.Second
	eventAt = 10 * time.Second
	// inForce is the target for a change, lookupAge how long callers use an answer.
	inForce   = 2 * time.Second
	lookupAge = 5 * time.Second
	deadline  = 5 * time.Second
	// zoneDelay and regionDelay are one way (design page, section 1.3).
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 20 * time.Millisecond
)

type service struct {
	name           string
	servers, slots int
	mean           time.Duration
	// share of the requests.
	share float64
}

// world is one deployment in one case. The fleet's event queue drives it all.
type world struct {
	*exerciser.Fleet
	services  []service
	clients   time.Duration
	workspace []*schema.Workspace
	weights   map[string]float64
	regions   []*region
	baseline  bool
	load      float64
	factor    map[string]float64
	// avoid is the region that callers do not use, negative for none.
	avoid int

	ids         int
	measuring   bool
	latency     []time.Duration
	tallies     map[string]*tally
	busy        time.Duration
	overloads   int
	secondRuns  int
	lateNewWork int
}

type tally struct{ within, answered, wrongful int }

// query is one request.
type query struct {
	w         *world
	workspace string
	service   int
	begin     time.Duration
	within    bool
	counted   bool
	runs      int
}

func newWorld(d deployment, seed uint64, baseline bool) *world {
	limits := make(map[string]limiter.Limit)
	w := &world{
		services: d.services, clients: d.clients, workspace: d.workspaces, baseline: baseline, avoid: -1,
		weights: make(map[string]float64), factor: make(map[string]float64), tallies: make(map[string]*tally),
	}
	for _, ws := range d.workspaces {
		limits[ws.GetName()] = limiter.Limit{RatePerSecond: ws.GetRatePerS(), Burst: ws.GetBurst()}
		w.weights[ws.GetName()], w.tallies[ws.GetName()] = ws.GetWeight(), &tally{}
	}
	w.Fleet = exerciser.New(exerciser.Config{Seed: seed, Hosts: hosts, Regions: regions, Limits: limits, StaticShares: baseline})
	for n := range regions {
		r := newRegion(w, n)
		w.regions = append(w.regions, r)
		w.every(50*time.Millisecond, r.refresh)
		w.every(5*time.Millisecond, r.step)
	}
	w.AfterFunc(3*time.Second, func() {
		for _, ws := range w.workspace {
			w.arrive(ws)
		}
	})
	return w
}

func (w *world) every(d time.Duration, f func()) {
	w.AfterFunc(d, func() {
		f()
		w.every(d, f)
	})
}

func (w *world) serviceTime(s *service) time.Duration {
	d := time.Duration(w.Rand().ExpFloat64() * float64(s.mean))
	if w.measuring {
		w.busy += d
	}
	return d
}

// arrive sends the requests of a workspace at random times.
func (w *world) arrive(ws *schema.Workspace) {
	rate := ws.GetRatePerS() * w.load
	if f := w.factor[ws.GetName()]; f > 0 {
		rate = ws.GetRatePerS() * f
	}
	w.AfterFunc(time.Duration(w.Rand().ExpFloat64()/rate*float64(time.Second)), func() {
		w.arrive(ws)
		q := &query{w: w, workspace: ws.GetName(), begin: w.Now(), counted: w.measuring}
		if w.Rand().Float64() >= w.services[0].share {
			q.service = 1
		}
		host := w.Rand().IntN(hosts)
		for w.Host(host).Region() == w.avoid {
			host = w.Rand().IntN(hosts)
		}
		w.AfterFunc(w.clients, func() { w.enter(q, host) })
	})
}

// enter asks a host; callers go to the next host when one is gone.
func (w *world) enter(q *query, host int) {
	for i := 0; i < hosts && !w.Host(host).IsRunning(); i++ {
		host = (host + 1) % hosts
	}
	w.RequestWithCallback(host, q.workspace, func(admitted, within bool) {
		q.within = within
		if !admitted {
			q.end(false)
			return
		}
		at := w.Host(host).Region()
		for i := range regions {
			r := w.regions[(at+i)%regions]
			if r.gone || r.drained >= 0 && w.Now() >= r.drained+inForce {
				continue
			}
			delay := zoneDelay
			if i > 0 {
				delay = regionDelay
			}
			// Acquire and its answer take one way each.
			w.AfterFunc(2*zoneDelay, func() { r.serve(q, delay) })
			return
		}
		q.end(false)
	})
}

func (q *query) end(answered bool) {
	if !q.counted {
		return
	}
	t := q.w.tallies[q.workspace]
	if q.within {
		t.within++
	}
	switch {
	case answered:
		t.answered++
		q.w.latency = append(q.w.latency, q.w.Now()+q.w.clients-q.begin)
	case q.within:
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
	w.Run(length)
	w.measuring = false
	w.load = 1e-9
	w.Run(2 * deadline)
	return w.figures()
}

func (w *world) figures() figures {
	f := figures{worst: 1, over: w.Results().OverAdmissions + len(w.Violations), overloads: w.overloads, secondRuns: w.secondRuns, late: w.lateNewWork}
	slices.SortFunc(w.latency, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if n := len(w.latency); n > 0 {
		f.p50, f.p99 = w.latency[n/2], w.latency[n*99/100]
	}
	within, wrongful := 0, 0
	for name, t := range w.tallies {
		if w.factor[name] > 1 {
			// Above the rate it is arbitrary which requests are admitted, so the shortfall counts.
			t.wrongful = max(0, t.within-t.answered)
		}
		within, wrongful = within+t.within, wrongful+t.wrongful
		f.worst = min(f.worst, float64(t.answered)/float64(max(1, t.within)))
	}
	f.wrongful = float64(wrongful) / float64(max(1, within))
	capacity := 0.0
	for _, r := range w.regions {
		if r.drained >= 0 {
			f.drain = max(0, r.lastEnd-r.drained)
		}
		for _, s := range r.servers {
			if !r.gone {
				capacity += float64(s.service.slots) * length.Seconds()
			}
		}
	}
	f.headroom = 1 - w.busy.Seconds()/capacity
	return f
}

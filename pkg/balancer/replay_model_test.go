package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"catkindyke/pkg/clock"
)

// replay plays a load against balancers and a model of backend servers in
// virtual time. Servers run as many requests as they have slots, queue the
// others, and are fast for the objects that they handled last.
type replay struct {
	size  replaySize
	hosts []*replayHost
	// peers are the numbers of hosts by region.
	peers   map[string]int
	servers map[string]*replayServer
	list    []Server
	random  *rand.Rand
	now     clock.Millis
	events  replayEvents
	order   int
	// load is the number of requests a second of each region at a time.
	load func(region string, now clock.Millis) float64
	// object names the object of the next request of a region.
	object func(region string) string
	// ideal is the number of requests that could be answered in time if all were
	// warm and none waited: as many as the slots can work on.
	ideal float64
	// retries is the number of times that refused callers come back, at once when
	// they are impatient.
	retries   int
	impatient bool
	// from is the time from which answers count.
	from                        clock.Millis
	asked, inTime, late, denied int
}

type replayHost struct {
	region string
	b      *Balancer
}

type replayServer struct {
	running int
	queue   []func()
	held    []string
	slow    float64
	// sheds says that the server refuses all requests, gone that it has left.
	sheds, gone bool
}

type replayEvent struct {
	at    clock.Millis
	order int
	do    func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replaySize is a deployment of the model.
type replaySize struct {
	// hosts are the numbers of hosts by region, in order.
	hosts []regionHosts
	list  func() []Server
	// calm is the usual number of requests a second of each region.
	calm float64
	// cold is the time of an object's work at a server that must learn it, and warm
	// after that; servers remember memory objects.
	cold, warm       clock.Millis
	memory           int
	objectsPerRegion int
	objective, limit clock.Millis
	// reportPause is the pause between exchanges of reports, which are as old on the
	// real fleet of that size.
	reportPause clock.Millis
}

type regionHosts struct {
	region string
	n      int
}

// small and large are a fleet of 8 hosts and 20 servers, and one of 95 hosts and 229
// servers, in which each host sees a hundredth of the requests.
var (
	small = replaySize{
		hosts: []regionHosts{{"n", 3}, {"s", 3}, {"e", 2}}, list: fleetServers, calm: calmRate, cold: 360, warm: 108,
		memory: 48, objectsPerRegion: 56, objective: 250, limit: 800, reportPause: 100,
	}
	large = replaySize{
		hosts: []regionHosts{{"n", 32}, {"s", 32}, {"e", 31}}, calm: 230, cold: 760, warm: 228,
		list: func() []Server {
			return append(append(servers("n", 24, 3), servers("s", 112, 3)...), servers("e", 93, 3)...)
		},
		memory: 14, objectsPerRegion: 173, objective: 534, limit: 2000, reportPause: 1000,
	}
)

const (
	regionTrip           clock.Millis = 40
	stepPause            clock.Millis = 100
	replayStep           clock.Millis = 5
	replayWarmup         clock.Millis = 5000
	replayEnd            clock.Millis = 20000
	replaySeed                        = 3
	calmRate, burstStart              = 80.0, 10000
)

func newReplay(load func(string, clock.Millis) float64) *replay { return newSizedReplay(small, load) }

func newSizedReplay(size replaySize, load func(string, clock.Millis) float64) *replay {
	r := &replay{
		size: size, servers: make(map[string]*replayServer), list: size.list(), random: rand.New(rand.NewPCG(replaySeed, 0)),
		load: load, from: replayWarmup, peers: make(map[string]int),
	}
	r.object = func(region string) string { return fmt.Sprint(region, r.random.IntN(size.objectsPerRegion)) }
	for _, s := range r.list {
		r.servers[s.ID] = &replayServer{slow: 1}
	}
	for _, group := range size.hosts {
		r.peers[group.region] = group.n
		for position := range group.n {
			b := New(Config{Region: group.region, ShiftRate: 0.0225})
			b.SetServers(r.list)
			b.SetLiveHosts(LiveHosts{ByRegion: r.peers, RegionIndex: position, FleetIndex: len(r.hosts)})
			r.hosts = append(r.hosts, &replayHost{region: group.region, b: b})
		}
	}
	return r
}

// hostName names hosts so that they are in order.
func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

func (r *replay) after(d clock.Millis, do func()) {
	r.order++
	heap.Push(&r.events, replayEvent{r.now + d, r.order, do})
}

// run plays the load to its end.
func (r *replay) run() {
	for ; r.now < replayEnd; r.now += replayStep {
		for len(r.events) > 0 && r.events[0].at <= r.now {
			heap.Pop(&r.events).(replayEvent).do()
		}
		if r.now%r.size.reportPause == 0 {
			r.exchange()
		}
		if r.now%stepPause == 0 {
			r.step()
		}
		r.addIdeal()
		for _, h := range r.hosts {
			if rate := r.load(h.region, r.now) / float64(r.peers[h.region]) * float64(replayStep) / 1000; r.random.Float64() < rate {
				r.arrive(h)
			}
		}
	}
}

// addIdeal adds what could be served in a step.
func (r *replay) addIdeal() {
	if r.now < r.from {
		return
	}
	var capacity, demand float64
	for _, info := range r.list {
		if s := r.servers[info.ID]; !s.sheds {
			capacity += float64(info.Slots) * 1000 / (float64(r.size.warm) * s.slow)
		}
	}
	for region := range r.peers {
		demand += r.load(region, r.now)
	}
	r.ideal += min(capacity, demand) * float64(replayStep) / 1000
}

func (r *replay) exchange() {
	for i, h := range r.hosts {
		report := LoadReport{Region: h.region, InFlight: h.b.InFlight(), Demands: h.b.Demands(r.now)}
		for j, other := range r.hosts {
			if i != j {
				other.b.SetLoadReport(hostName(i), report, r.now)
			}
		}
	}
}

// step does what hosts do at each round of housekeeping.
func (r *replay) step() {
	for _, h := range r.hosts {
		h.b.Tick(r.now)
	}
}

// arrive plays one request from its arrival at a host to its answer.
func (r *replay) arrive(h *replayHost) {
	counts := r.now >= r.from
	if counts {
		r.asked++
	}
	r.try(&replayCall{h: h, object: r.object(h.region), first: r.now, counts: counts, retries: r.retries})
}

// replayCall is a request with its returns.
type replayCall struct {
	h      *replayHost
	object string
	// first is the time of the first attempt, and last that of the present one, from
	// which its answer is in time or late: a caller came back when it was told to.
	first, last clock.Millis
	counts      bool
	retries     int
}

// try plays one attempt of a caller.
func (r *replay) try(x *replayCall) {
	x.last = r.now
	spent := r.now - x.first
	if spent >= r.size.limit {
		r.end(x, &r.denied)
		return
	}
	req := Request{
		Service: "desk", Class: "look", Object: x.object, TargetLatency: r.size.objective, TimeLeft: r.size.limit - spent, CallerTimeout: r.size.limit - spent,
	}
	x.h.b.CountRequest("desk", r.now)
	c := x.h.b.Choose(req, r.now)
	if c.Refused {
		r.comeBack(x, c.RetryAfter)
		return
	}
	known := x.h.b.StartAttempt(c, req, r.now)
	sent, trip := r.now, r.trip(x.h.region, c.Server.Region)
	answered := func(result Result, then func()) {
		r.after(trip-trip/2, func() {
			x.h.b.FinishAttempt(Attempt{Choice: c, Class: "look", KnownWarm: known, Result: result, Duration: r.now - sent}, r.now)
			then()
		})
	}
	r.after(trip/2, func() {
		if s := r.servers[c.Server.ID]; s.sheds || s.gone {
			answered(Shed, func() { r.comeBack(x, minRetryAfter) })
			return
		}
		r.serve(c.Server, x.object, func() {
			answered(Answered, func() {
				if r.now-x.last <= r.size.objective {
					r.end(x, &r.inTime)
				} else {
					r.end(x, &r.late)
				}
			})
		})
	})
}

// comeBack plays what a caller does after a refusal.
func (r *replay) comeBack(x *replayCall, after clock.Millis) {
	if x.retries == 0 {
		r.end(x, &r.denied)
		return
	}
	x.retries--
	if r.impatient {
		after = replayStep
	}
	r.after(after, func() { r.try(x) })
}

func (r *replay) end(x *replayCall, count *int) {
	if x.counts {
		*count++
	}
}

func (r *replay) trip(from, to string) clock.Millis {
	if from == to {
		return 0
	}
	return regionTrip
}

func (r *replay) work(s *replayServer, object string) clock.Millis {
	if slices.Contains(s.held, object) {
		return r.size.warm
	}
	return r.size.cold
}

// serve runs a request at a server when a slot is free.
func (r *replay) serve(info Server, object string, done func()) {
	s := r.servers[info.ID]
	begin := func() {
		r.after(clock.Millis(float64(r.work(s, object))*s.slow), func() {
			s.held = append(slices.DeleteFunc(s.held, func(o string) bool { return o == object }), object)
			s.held = s.held[max(0, len(s.held)-r.size.memory):]
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.running++
				next()
			}
			done()
		})
	}
	if s.running < info.Slots {
		s.running++
		begin()
		return
	}
	s.queue = append(s.queue, begin)
}

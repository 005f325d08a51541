package balancer

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

// replay runs a load against balancers and a model of the backend servers in virtual
// time. A server runs as many requests as it has slots and queues the others. It is fast
// for the objects that it handled last.
type replay struct {
	size  replaySize
	hosts []*replayHost
	// hostsByRegion is the number of hosts by region.
	hostsByRegion map[string]int
	servers       map[string]*replayServer
	serverList    []Server
	rng           *rand.Rand
	now           clock.Millis
	events        replayEvents
	lastSeq       int
	// load returns the requests per second of a region at a time.
	load func(region string, now clock.Millis) float64
	// nextObject returns the object of the next request in a region.
	nextObject func(region string) string
	// idealResponses is the number of requests that could be answered in time if all servers
	// were warm and no request waited: as many as the slots can process.
	idealResponses float64
	// retries is the number of retries of refused callers. Impatient callers ignore
	// RetryAfter.
	retries   int
	impatient bool
	// onSend and onResponse are called when a host sends a request to a server and when it
	// gets the response, if they are set.
	onSend, onResponse func(h *replayHost, server string)
	// onAnswer is called for each request that is answered, if it is set.
	onAnswer func(call *replayRequest)
	// reasons counts all refusals by reason.
	reasons map[string]int
	// mix returns the kind and the workspace of the next request, if it is set.
	mix func() (k *replayKind, workspace string)
	// countFrom is the time of arrival from which requests count in the results.
	countFrom                    clock.Millis
	total, inTime, late, refused int
}

// replayKind is a class of requests with a priority.
type replayKind struct {
	class                  string
	priority               float64
	targetLatency, timeout clock.Millis
	asked, answered        int
}

type replayHost struct {
	region   string
	balancer *Balancer
}

type replayServer struct {
	running       int
	queue         []func()
	recentObjects []string
	slowdown      float64
	// shedding servers refuse all requests; removed servers have left the fleet.
	shedding, removed bool
	// wrongLoad is the load that the server states instead of its own, if it is set.
	wrongLoad observer.Load
	// notice is what the server says in its responses. One that backs off sheds.
	notice Notice
}

// load returns what the server says of its load.
func (s *replayServer) load(slots int) observer.Load {
	if s.wrongLoad.IsStated() {
		return s.wrongLoad
	}
	return observer.Load{Running: s.running, Waiting: len(s.queue), Slots: slots, Pace: s.slowdown}
}

// capacity is the number of requests per second that the server can answer.
func (s *replayServer) capacity(slots int, warmServiceTime clock.Millis) float64 {
	if s.shedding || s.notice.Draining || s.notice.Backoff > 0 {
		return 0
	}
	perSecond := float64(slots) * 1000 / (float64(warmServiceTime) * s.slowdown)
	if s.notice.Limit.Limited {
		return min(perSecond, s.notice.Limit.PerSecond)
	}
	return perSecond
}

type replayEvent struct {
	at     clock.Millis
	seq    int
	action func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replaySize describes a deployment in the model.
type replaySize struct {
	// hosts are the numbers of hosts by region, in order.
	hosts      []regionHosts
	serverList func() []Server
	// baseRate is the usual number of requests per second in each region.
	baseRate float64
	// coldServiceTime is the service time for an object that is not among the last
	// maxRecentObjects of the server, and warmServiceTime that for the others.
	coldServiceTime, warmServiceTime clock.Millis
	maxRecentObjects                 int
	objectsPerRegion                 int
	targetLatency, timeout           clock.Millis
	// reportInterval is the time between exchanges of load reports. It is the age of
	// reports in a real fleet of that size.
	reportInterval clock.Millis
}

type regionHosts struct {
	region string
	count  int
}

// small has 8 hosts and 20 servers. large has 95 hosts and 229 servers, and
// each host receives about a hundredth of the requests.
var (
	small = replaySize{
		hosts: []regionHosts{{"n", 3}, {"s", 3}, {"e", 2}}, serverList: fleetServers, baseRate: baseRate, coldServiceTime: 360, warmServiceTime: 108,
		maxRecentObjects: 48, objectsPerRegion: 56, targetLatency: 250, timeout: 800, reportInterval: 100,
	}
	large = replaySize{
		hosts: []regionHosts{{"n", 32}, {"s", 32}, {"e", 31}}, baseRate: 230, coldServiceTime: 760, warmServiceTime: 228,
		serverList: func() []Server {
			return append(append(makeServers("n", 24, 3), makeServers("s", 112, 3)...), makeServers("e", 93, 3)...)
		},
		maxRecentObjects: 14, objectsPerRegion: 173, targetLatency: 534, timeout: 2000, reportInterval: 1000,
	}
)

const (
	regionRTT            clock.Millis = 40
	tickInterval         clock.Millis = 100
	replayStep           clock.Millis = 5
	replayWarmup         clock.Millis = 5000
	replayEnd            clock.Millis = 20000
	replaySeed                        = 3
	baseRate, burstStart              = 80.0, 10000
)

func newReplay(load func(string, clock.Millis) float64) *replay { return newSizedReplay(small, load) }

func newSizedReplay(size replaySize, load func(string, clock.Millis) float64) *replay {
	r := &replay{
		size: size, servers: make(map[string]*replayServer), serverList: size.serverList(), rng: rand.New(rand.NewPCG(replaySeed, 0)),
		load: load, countFrom: replayWarmup, reasons: make(map[string]int), hostsByRegion: make(map[string]int),
	}
	r.nextObject = func(region string) string { return fmt.Sprint(region, r.rng.IntN(size.objectsPerRegion)) }
	for _, s := range r.serverList {
		r.servers[s.ID] = &replayServer{slowdown: 1}
	}
	preceding := make(map[string]int)
	for _, group := range size.hosts {
		r.hostsByRegion[group.region] = group.count
		for position := range group.count {
			b := New(Config{Region: group.region, ShiftRate: 0.0225})
			b.SetServers(r.serverList)
			b.SetLiveHosts(LiveHosts{
				ByRegion: r.hostsByRegion, RegionIndex: position, FleetIndex: len(r.hosts), Preceding: maps.Clone(preceding),
			})
			preceding[group.region]++
			r.hosts = append(r.hosts, &replayHost{region: group.region, balancer: b})
		}
	}
	return r
}

// hostName returns a name that sorts by the host number.
func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

func (r *replay) schedule(delay clock.Millis, action func()) {
	r.lastSeq++
	heap.Push(&r.events, replayEvent{r.now + delay, r.lastSeq, action})
}

// run runs the load until replayEnd.
func (r *replay) run() {
	for ; r.now < replayEnd; r.now += replayStep {
		for len(r.events) > 0 && r.events[0].at <= r.now {
			heap.Pop(&r.events).(replayEvent).action()
		}
		if r.now%r.size.reportInterval == 0 {
			r.exchangeReports()
		}
		if r.now%tickInterval == 0 {
			r.tick()
		}
		r.addIdealResponses()
		for _, h := range r.hosts {
			if rate := r.load(h.region, r.now) / float64(r.hostsByRegion[h.region]) * float64(replayStep) / 1000; r.rng.Float64() < rate {
				r.arrive(h)
			}
		}
	}
}

// addIdealResponses adds the requests that could be answered in one replayStep.
func (r *replay) addIdealResponses() {
	if r.now < r.countFrom {
		return
	}
	var capacity, demand float64
	for _, info := range r.serverList {
		capacity += r.servers[info.ID].capacity(info.Slots, r.size.warmServiceTime)
	}
	for region := range r.hostsByRegion {
		demand += r.load(region, r.now)
	}
	r.idealResponses += min(capacity, demand) * float64(replayStep) / 1000
}

func (r *replay) exchangeReports() {
	for i, h := range r.hosts {
		report := LoadReport{Region: h.region, InFlight: h.balancer.InFlight(), Demands: h.balancer.Demands(r.now)}
		notices := h.balancer.NoticesSince(r.now-r.size.reportInterval, r.now)
		loads := h.balancer.LoadsSince(r.now-r.size.reportInterval, r.now)
		placements := h.balancer.PlacementsSince(r.now - r.size.reportInterval)
		for j, other := range r.hosts {
			if i == j {
				continue
			}
			other.balancer.SetLoadReport(hostName(i), report, r.now)
			other.balancer.ApplyNotices(notices, r.now)
			if h.region == other.region {
				other.balancer.ApplyPlacements(placements, r.now)
				other.balancer.ApplyLoads(loads, r.now)
			}
		}
	}
}

// tick runs the periodic work of all hosts.
func (r *replay) tick() {
	for _, h := range r.hosts {
		h.balancer.Tick(r.now)
	}
}

// arrive starts a new request at a host.
func (r *replay) arrive(h *replayHost) {
	counted := r.now >= r.countFrom
	if counted {
		r.total++
	}
	call := &replayRequest{
		host: h, object: r.nextObject(h.region), firstSent: r.now, counted: counted, retries: r.retries,
		kind: &replayKind{class: "look", targetLatency: r.size.targetLatency, timeout: r.size.timeout},
	}
	if r.mix != nil {
		call.kind, call.workspace = r.mix()
	}
	if counted {
		call.kind.asked++
	}
	r.attempt(call)
}

// replayRequest is a request with its retries.
type replayRequest struct {
	host   *replayHost
	object string
	kind   *replayKind
	// workspace is the name of the caller's workspace.
	workspace string
	// firstSent and lastSent are the times of the first and the current attempt. A response
	// is late in relation to lastSent, because a caller retries when RetryAfter tells it to.
	firstSent, lastSent clock.Millis
	counted             bool
	retries             int
}

// attempt runs one attempt of a caller.
func (r *replay) attempt(call *replayRequest) {
	call.lastSent = r.now
	elapsed := r.now - call.firstSent
	if elapsed >= call.kind.timeout {
		r.finish(call, &r.refused)
		return
	}
	req := Request{
		Service: "desk", Class: call.kind.class, Object: call.object, TargetLatency: call.kind.targetLatency, TimeLeft: call.kind.timeout - elapsed, CallerTimeout: call.kind.timeout - elapsed,
		Priority: call.kind.priority, Workspace: call.workspace,
	}
	call.host.balancer.CountRequest("desk", r.now)
	c := call.host.balancer.Choose(req, r.now)
	if c.Refused {
		r.reasons[c.Reason]++
		r.retry(call, c.RetryAfter)
		return
	}
	knownWarm := call.host.balancer.StartAttempt(c, req, r.now)
	if r.onSend != nil {
		r.onSend(call.host, c.Server.ID)
	}
	sent, rtt := r.now, r.rtt(call.host.region, c.Server.Region)
	respond := func(result Result, then func()) {
		notice, load := r.servers[c.Server.ID].notice, r.servers[c.Server.ID].load(c.Server.Slots)
		if result == Answered {
			load.Running++ // the request itself
		}
		notice.Limit.Known = result == Answered || notice.Limit.Limited
		r.schedule(rtt-rtt/2, func() {
			call.host.balancer.FinishAttempt(Attempt{Choice: c, Class: call.kind.class, KnownWarm: knownWarm, Result: result, Duration: r.now - sent, Notice: &notice, Load: load}, r.now)
			if r.onResponse != nil {
				r.onResponse(call.host, c.Server.ID)
			}
			then()
		})
	}
	r.schedule(rtt/2, func() {
		if s := r.servers[c.Server.ID]; s.shedding || s.removed || s.notice.Backoff > 0 {
			respond(Shed, func() { r.retry(call, minRetryAfter) })
			return
		}
		r.serve(c.Server, call.object, func() {
			respond(Answered, func() {
				if call.counted && r.onAnswer != nil {
					r.onAnswer(call)
				}
				if r.now-call.lastSent <= call.kind.targetLatency {
					r.finish(call, &r.inTime)
				} else {
					r.finish(call, &r.late)
				}
			})
		})
	})
}

// retry runs what a caller does after a refusal.
func (r *replay) retry(call *replayRequest, delay clock.Millis) {
	if call.retries == 0 {
		r.finish(call, &r.refused)
		return
	}
	call.retries--
	if r.impatient {
		delay = replayStep
	}
	r.schedule(delay, func() { r.attempt(call) })
}

func (r *replay) finish(call *replayRequest, counter *int) {
	if call.counted {
		*counter++
	}
}

func (r *replay) rtt(from, to string) clock.Millis {
	if from == to {
		return 0
	}
	return regionRTT
}

func (r *replay) serviceTime(s *replayServer, object string) clock.Millis {
	if slices.Contains(s.recentObjects, object) {
		return r.size.warmServiceTime
	}
	return r.size.coldServiceTime
}

// serve processes a request at a server as soon as a slot is free.
func (r *replay) serve(info Server, object string, done func()) {
	s := r.servers[info.ID]
	begin := func() {
		r.schedule(clock.Millis(float64(r.serviceTime(s, object))*s.slowdown), func() {
			s.recentObjects = append(slices.DeleteFunc(s.recentObjects, func(o string) bool { return o == object }), object)
			s.recentObjects = s.recentObjects[max(0, len(s.recentObjects)-r.size.maxRecentObjects):]
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

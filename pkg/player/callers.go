package player

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/forwarder"
	"catkindyke/service/apiserver"
)

// Headers that only scenarios use; hosts pass them on.
const (
	tryHeader  = "Test-Try"
	onceHeader = "Test-Once"
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 12 * time.Second
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
	// hostsTried is how many hosts a caller tries for one request.
	hostsTried = 3
)

// caller is a client with its own address and look-up answers.
type caller struct {
	place   emulator.Place
	address string
	answers map[string]cachedAnswer
}

type cachedAnswer struct {
	hosts []string
	until time.Duration
}

// request is what a caller wants to have done.
type request struct {
	id, workspace, key, service, method, path, body string
	// idempotencyKey is sent when it is not empty.
	idempotencyKey string
	// once says that the request may not run twice.
	once bool
	// stall is how long the body stops in the middle.
	stall time.Duration
	// hosts are used instead of a look-up when set.
	hosts []string
}

// result is what became of a request.
type result struct {
	request
	sent, done time.Duration
	last       Try
}

// caller returns the caller with a number in a region.
func (p *Player) caller(region string, n int) *caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprintf("%s-%d", region, n)
	c := p.callers[name]
	if c == nil {
		c = &caller{
			place:   emulator.Place{Region: region, AvailabilityZone: "callers-" + region, Host: "callers"},
			address: p.callerAddress(region, n), answers: make(map[string]cachedAnswer),
		}
		p.callers[name] = c
	}
	return c
}

// callerAddress takes an address from the region's first block.
func (p *Player) callerAddress(region string, n int) string {
	for _, s := range p.cfg.GetSites() {
		if s.GetRegion() != region || len(s.GetBlocks()) == 0 {
			continue
		}
		if prefix, err := netip.ParsePrefix(s.GetBlocks()[0]); err == nil && prefix.Addr().Is4() {
			a := prefix.Addr().As4()
			a[2], a[3] = byte(n), 1
			return netip.AddrFrom4(a).String()
		}
	}
	return "192.0.2.1"
}

// lookup returns the hosts to try, from the cache while the answer's age allows it.
func (p *Player) lookup(c *caller, service string) []string {
	p.mu.Lock()
	cached, ok := c.answers[service]
	p.mu.Unlock()
	if ok && p.now() < cached.until {
		return cached.hosts
	}
	for _, h := range p.lookupOrder(c) {
		rec, connected := p.call(c, h, httptest.NewRequest(http.MethodGet, "/v1/lookup?service="+service, nil))
		var answer apiserver.LookupAnswer
		if !connected || rec == nil || rec.Code != http.StatusOK || json.Unmarshal(rec.Body.Bytes(), &answer) != nil {
			continue
		}
		var hosts []string
		for _, h := range answer.Hosts {
			hosts = append(hosts, h.Name)
		}
		p.mu.Lock()
		c.answers[service] = cachedAnswer{hosts, p.now() + time.Duration(answer.TTLMs)*time.Millisecond + p.lateness}
		p.mu.Unlock()
		return hosts
	}
	return cached.hosts
}

// lookupOrder lists the configured addresses of a caller: hosts of its own region first.
func (p *Player) lookupOrder(c *caller) []string {
	var own, other []string
	for _, h := range p.live() {
		if h.place.Region == c.place.Region {
			own = append(own, h.place.Host)
		} else {
			other = append(other, h.place.Host)
		}
	}
	return append(own, other...)
}

// call sends a request to a host. It returns no recorder when the answer was
// lost, and false when no connection was made.
func (p *Player) call(c *caller, name string, r *http.Request) (*httptest.ResponseRecorder, bool) {
	h, err := p.host(name)
	if err != nil || !p.isUp(h) {
		clock.Sleep(p.ctx, 2*p.delay)
		return nil, false
	}
	if p.isCut(c.place, h.place) {
		clock.Sleep(p.ctx, connectTimeout)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerTimeout)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	clock.Sleep(ctx, p.delay)
	if !p.isUp(h) {
		return nil, false
	}
	r.Header.Set("X-Forwarded-For", c.address)
	r.RemoteAddr = "127.0.0.1:1"
	rec := httptest.NewRecorder()
	body, _ := r.Body.(*callerBody)
	if !serveWhole(h.CallerHandler(), answer{rec, body}, r.WithContext(ctx)) || !clock.Sleep(ctx, p.delay) {
		return nil, true
	}
	if p.isCut(h.place, c.place) {
		<-ctx.Done()
		return nil, true
	}
	return rec, true
}

func (p *Player) isUp(h *playedHost) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.up
}

// serveWhole reports whether the handler ended its answer.
func serveWhole(h http.Handler, w http.ResponseWriter, r *http.Request) (whole bool) {
	defer func() { _ = recover() }()
	h.ServeHTTP(w, r)
	return true
}

// do sends a request as a careful caller does: it goes to the next host only
// when the request did not run, or may run again.
func (p *Player) do(c *caller, req request) {
	begin := p.now()
	hosts := req.hosts
	if hosts == nil {
		hosts = p.lookup(c, req.service)
	}
	var last Try
	for i, host := range hosts[:min(hostsTried, len(hosts))] {
		last = p.try(c, req, host, i == 0)
		again := last.Status == http.StatusServiceUnavailable && last.Outcome == string(forwarder.NotRun) ||
			last.Status == 0 && (!last.Cut || !req.once)
		if !again {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result{request: req, sent: begin, done: p.now(), last: last})
}

// try sends a request to one host and records what came back.
func (p *Player) try(c *caller, req request, host string, first bool) Try {
	p.mu.Lock()
	p.nextTry++
	t := Try{
		ID: req.id, Number: p.nextTry, Workspace: req.workspace, Key: req.key, Host: host,
		Service: req.service, Sent: p.now(), First: first,
	}
	p.mu.Unlock()
	rec, connected := p.call(c, host, newRequest(req, t.Number))
	t.Done, t.Cut = p.now(), connected && rec == nil
	if rec != nil {
		t.read(req, rec)
	}
	record(p.journal, &p.journal.tries, t)
	return t
}

func newRequest(req request, number int) *http.Request {
	r := httptest.NewRequest(req.method, req.path, nil)
	r.Body = newCallerBody(req.body, req.stall)
	r.ContentLength = int64(len(req.body))
	r.Header.Set(emulator.RequestIDHeader, req.id)
	r.Header.Set(tryHeader, strconv.Itoa(number))
	if req.once {
		r.Header.Set(onceHeader, "1")
	}
	if req.key != "" {
		r.Header.Set(authenticator.KeyHeader, req.key)
	}
	if req.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.idempotencyKey)
	}
	return r
}

// read takes over what an answer says.
func (t *Try) read(req request, rec *httptest.ResponseRecorder) {
	t.Status, t.Outcome = rec.Code, rec.Header().Get(forwarder.OutcomeHeader)
	if t.Outcome != "" {
		var refusal struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(rec.Body.Bytes(), &refusal)
		t.Reason = refusal.Error
		return
	}
	if rec.Code != http.StatusOK {
		return
	}
	var echo emulator.Echo
	err := json.Unmarshal(rec.Body.Bytes(), &echo)
	path, _, _ := strings.Cut(req.path, "?")
	t.Foreign = err != nil || echo.RequestID != req.id || echo.Method != req.method || echo.Path != path ||
		echo.Workspace != req.workspace || echo.Body != req.body
}

// Traffic describes a stream of requests.
type Traffic struct {
	Workspace, Service, Region, Method, Label, Path string
	Rate                                            float64
	For                                             time.Duration
	Seed                                            uint64
}

// callersPerRegion is the number of caller addresses of a stream in each region.
const callersPerRegion = 4

// Send starts a stream of requests at random times, the same for each run.
func (p *Player) Send(t Traffic) error {
	key := ""
	if t.Label != "" {
		p.mu.Lock()
		key = p.keys[t.Workspace][t.Label]
		p.mu.Unlock()
		if key == "" {
			return fmt.Errorf("workspace %q has no key %q", t.Workspace, t.Label)
		}
	}
	var regions []string
	for _, r := range p.cfg.GetRegions() {
		if t.Region == "" || t.Region == r.GetName() {
			regions = append(regions, r.GetName())
		}
	}
	if len(regions) == 0 || t.Rate <= 0 {
		return fmt.Errorf("unknown region %q or bad rate", t.Region)
	}
	rng := rand.New(rand.NewPCG(t.Seed, p.rng.Uint64()))
	stream := p.rng.Uint64() % 1_000_000
	p.operations.Go(func() { p.stream(t, key, regions, rng, stream) })
	return nil
}

func (p *Player) stream(t Traffic, key string, regions []string, rng *rand.Rand, stream uint64) {
	end := p.now() + t.For
	for n := 0; ; n++ {
		if !clock.Sleep(p.ctx, time.Duration(rng.ExpFloat64()/t.Rate*float64(time.Second))) || p.now() > end {
			return
		}
		req := request{
			id: fmt.Sprintf("%s-%06d-%d", t.Workspace, stream, n), workspace: t.Workspace, key: key,
			service: t.Service, method: t.Method, path: t.Path,
		}
		if t.Method == "mix" {
			req.method = http.MethodGet
			if n%3 == 0 {
				req.method = http.MethodPost
			}
		}
		if req.method == http.MethodPost {
			req.body, req.once = "body of "+req.id, true
		}
		c := p.caller(regions[n%len(regions)], n/len(regions)%callersPerRegion)
		p.operations.Go(func() { p.do(c, req) })
	}
}

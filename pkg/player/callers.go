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

// Headers that only scenarios use; hosts forward them.
const (
	attemptHeader    = "Test-Try"
	atMostOnceHeader = "Test-Once"
)

const (
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 12 * time.Second
	// connectTimeout is how long a caller waits for a connection.
	connectTimeout = time.Second
	// maxAttempts is the number of hosts that a caller tries for one request.
	maxAttempts = 3
)

// caller is a client with its own address and look-up cache.
type caller struct {
	place       emulator.Place
	address     string
	lookupCache map[string]cachedLookup
}

type cachedLookup struct {
	hosts     []string
	expiresAt time.Duration
}

// request is a request of a caller, which it may send to several hosts.
type request struct {
	id, workspace, key, service, method, path, body string
	// idempotencyKey is sent if it is not empty.
	idempotencyKey string
	// atMostOnce means that the request must not run twice.
	atMostOnce bool
	// stallDuration is how long the body stalls halfway.
	stallDuration time.Duration
	// hosts replaces the look-up if it is set.
	hosts []string
}

// result is the outcome of a request after all its attempts.
type result struct {
	request
	sentAt, endedAt time.Duration
	lastAttempt     Attempt
}

// caller returns caller n of a region and creates it if needed.
func (p *Player) caller(region string, n int) *caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := fmt.Sprintf("%s-%d", region, n)
	c := p.callers[name]
	if c == nil {
		c = &caller{
			place:   emulator.Place{Region: region, AvailabilityZone: "callers-" + region, Host: "callers"},
			address: p.callerAddress(region, n), lookupCache: make(map[string]cachedLookup),
		}
		p.callers[name] = c
	}
	return c
}

// callerAddress returns an IPv4 address in the first client block of a region's site.
func (p *Player) callerAddress(region string, n int) string {
	for _, s := range p.cfg.GetSites() {
		if s.GetRegion() != region || len(s.GetBlocks()) == 0 {
			continue
		}
		if prefix, err := netip.ParsePrefix(s.GetBlocks()[0]); err == nil && prefix.Addr().Is4() {
			octets := prefix.Addr().As4()
			octets[2], octets[3] = byte(n), 1
			return netip.AddrFrom4(octets).String()
		}
	}
	return "192.0.2.1"
}

// lookup returns the hosts to try. It uses the cached response until that expires,
// and also afterwards if every look-up fails.
func (p *Player) lookup(c *caller, service string) []string {
	p.mu.Lock()
	cached, ok := c.lookupCache[service]
	p.mu.Unlock()
	if ok && p.elapsed() < cached.expiresAt {
		return cached.hosts
	}
	for _, h := range p.lookupOrder(c) {
		rec, connected := p.call(c, h, httptest.NewRequest(http.MethodGet, "/v1/lookup?service="+service, nil))
		var response apiserver.LookupAnswer
		if !connected || rec == nil || rec.Code != http.StatusOK || json.Unmarshal(rec.Body.Bytes(), &response) != nil {
			continue
		}
		var hosts []string
		for _, h := range response.Hosts {
			hosts = append(hosts, h.Name)
		}
		p.mu.Lock()
		c.lookupCache[service] = cachedLookup{hosts, p.elapsed() + time.Duration(response.TTLMs)*time.Millisecond + p.lookupOveruse}
		p.mu.Unlock()
		return hosts
	}
	return cached.hosts
}

// lookupOrder returns the hosts that a caller asks for a look-up, those of its own
// region first.
func (p *Player) lookupOrder(c *caller) []string {
	var sameRegion, otherRegions []string
	for _, h := range p.runningHosts() {
		if h.place.Region == c.place.Region {
			sameRegion = append(sameRegion, h.place.Host)
		} else {
			otherRegions = append(otherRegions, h.place.Host)
		}
	}
	return append(sameRegion, otherRegions...)
}

// call sends a request to a host. It returns a nil recorder if the response was
// lost, and false if no connection was made.
func (p *Player) call(c *caller, name string, r *http.Request) (*httptest.ResponseRecorder, bool) {
	h, err := p.host(name)
	if err != nil || !p.isRunning(h) {
		clock.Sleep(p.ctx, 2*p.callerDelay)
		return nil, false
	}
	if p.isPartitioned(c.place, h.place) {
		clock.Sleep(p.ctx, connectTimeout)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerTimeout)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	clock.Sleep(ctx, p.callerDelay)
	if !p.isRunning(h) {
		return nil, false
	}
	r.Header.Set("X-Forwarded-For", c.address)
	r.RemoteAddr = "127.0.0.1:1"
	rec := httptest.NewRecorder()
	body, _ := r.Body.(*callerBody)
	if !serveCompletely(h.CallerHandler(), responseWriter{rec, body}, r.WithContext(ctx)) || !clock.Sleep(ctx, p.callerDelay) {
		return nil, true
	}
	if p.isPartitioned(h.place, c.place) {
		<-ctx.Done()
		return nil, true
	}
	return rec, true
}

func (p *Player) isRunning(h *scenarioHost) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.running
}

// serveCompletely reports whether the handler returned normally. Handlers panic to
// abort a response.
func serveCompletely(h http.Handler, w http.ResponseWriter, r *http.Request) (completed bool) {
	defer func() { _ = recover() }()
	h.ServeHTTP(w, r)
	return true
}

// sendWithFailover sends a request as a careful caller does: it tries the next host
// only if the request did not run or may run again.
func (p *Player) sendWithFailover(c *caller, req request) {
	sentAt := p.elapsed()
	hosts := req.hosts
	if hosts == nil {
		hosts = p.lookup(c, req.service)
	}
	var lastAttempt Attempt
	for i, host := range hosts[:min(maxAttempts, len(hosts))] {
		lastAttempt = p.sendAttempt(c, req, host, i == 0)
		canRetry := lastAttempt.Status == http.StatusServiceUnavailable && lastAttempt.Outcome == string(forwarder.NotRun) ||
			lastAttempt.Status == 0 && (!lastAttempt.Interrupted || !req.atMostOnce)
		if !canRetry {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result{request: req, sentAt: sentAt, endedAt: p.elapsed(), lastAttempt: lastAttempt})
}

// sendAttempt sends a request to one host and records the attempt.
func (p *Player) sendAttempt(c *caller, req request, host string, first bool) Attempt {
	p.mu.Lock()
	p.attemptCount++
	a := Attempt{
		ID: req.id, Number: p.attemptCount, Workspace: req.workspace, Key: req.key, Host: host,
		Service: req.service, SentAt: p.elapsed(), IsFirst: first,
	}
	p.mu.Unlock()
	rec, connected := p.call(c, host, newHTTPRequest(req, a.Number))
	a.EndedAt, a.Interrupted = p.elapsed(), connected && rec == nil
	if rec != nil {
		a.recordResponse(req, rec)
	}
	record(p.journal, &p.journal.attempts, a)
	return a
}

func newHTTPRequest(req request, number int) *http.Request {
	r := httptest.NewRequest(req.method, req.path, nil)
	r.Body = newCallerBody(req.body, req.stallDuration)
	r.ContentLength = int64(len(req.body))
	r.Header.Set(emulator.RequestIDHeader, req.id)
	r.Header.Set(attemptHeader, strconv.Itoa(number))
	if req.atMostOnce {
		r.Header.Set(atMostOnceHeader, "1")
	}
	if req.key != "" {
		r.Header.Set(authenticator.KeyHeader, req.key)
	}
	if req.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.idempotencyKey)
	}
	return r
}

// recordResponse sets the fields of an attempt that come from its response.
func (a *Attempt) recordResponse(req request, rec *httptest.ResponseRecorder) {
	a.Status, a.Outcome = rec.Code, rec.Header().Get(forwarder.OutcomeHeader)
	if a.Outcome != "" {
		var refusal struct {
			Error string `json:"error"`
		}
		_ = json.Unmarshal(rec.Body.Bytes(), &refusal)
		a.Reason = refusal.Error
		return
	}
	if rec.Code != http.StatusOK {
		return
	}
	var echo emulator.Echo
	err := json.Unmarshal(rec.Body.Bytes(), &echo)
	path, _, _ := strings.Cut(req.path, "?")
	a.Mismatched = err != nil || echo.RequestID != req.id || echo.Method != req.method || echo.Path != path ||
		echo.Workspace != req.workspace || echo.Body != req.body
}

// Traffic describes a stream of requests.
type Traffic struct {
	Workspace, Service, Region, Method, KeyLabel, Path string
	Rate                                               float64
	Duration                                           time.Duration
	Seed                                               uint64
}

// callersPerRegion is the number of callers of a stream in each region.
const callersPerRegion = 4

// StartTraffic starts a stream of requests at random times, which are the same in each run.
func (p *Player) StartTraffic(t Traffic) error {
	key := ""
	if t.KeyLabel != "" {
		p.mu.Lock()
		key = p.keys[t.Workspace][t.KeyLabel]
		p.mu.Unlock()
		if key == "" {
			return fmt.Errorf("workspace %q has no key with label %q", t.Workspace, t.KeyLabel)
		}
	}
	var regions []string
	for _, r := range p.cfg.GetRegions() {
		if t.Region == "" || t.Region == r.GetName() {
			regions = append(regions, r.GetName())
		}
	}
	if len(regions) == 0 || t.Rate <= 0 {
		return fmt.Errorf("unknown region %q, or rate is not above 0", t.Region)
	}
	rng := rand.New(rand.NewPCG(t.Seed, p.rng.Uint64()))
	streamID := p.rng.Uint64() % 1_000_000
	p.operations.Go(func() { p.runTraffic(t, key, regions, rng, streamID) })
	return nil
}

func (p *Player) runTraffic(t Traffic, key string, regions []string, rng *rand.Rand, streamID uint64) {
	end := p.elapsed() + t.Duration
	for n := 0; ; n++ {
		if !clock.Sleep(p.ctx, time.Duration(rng.ExpFloat64()/t.Rate*float64(time.Second))) || p.elapsed() > end {
			return
		}
		req := request{
			id: fmt.Sprintf("%s-%06d-%d", t.Workspace, streamID, n), workspace: t.Workspace, key: key,
			service: t.Service, method: t.Method, path: t.Path,
		}
		if t.Method == "mix" {
			req.method = http.MethodGet
			if n%3 == 0 {
				req.method = http.MethodPost
			}
		}
		if req.method == http.MethodPost {
			req.body, req.atMostOnce = "body of "+req.id, true
		}
		c := p.caller(regions[n%len(regions)], n/len(regions)%callersPerRegion)
		p.operations.Go(func() { p.sendWithFailover(c, req) })
	}
}

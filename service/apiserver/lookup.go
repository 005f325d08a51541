package apiserver

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/resolver"
	"catkindyke/pkg/snapshotter"
)

const (
	// defaultLookupRatePerS is the rate limit for each source address if the
	// configuration has none.
	defaultLookupRatePerS = 20
	// lookupBurstSeconds is the burst as a time at the rate limit.
	lookupBurstSeconds = 2
	// notReadyRetryAfter is the Retry-After of a host that cannot answer look-ups yet.
	notReadyRetryAfter = clock.Second
)

// LookupRefusal is the body of a refused look-up.
type LookupRefusal struct {
	Error string `json:"error"`
	// RetryAfterMs is the time after which to try again. It is zero if a retry gets
	// the same answer.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// lookupHandler serves GET /v1/lookup.
type lookupHandler struct {
	cfg           Config
	clock         clock.Clock
	sourceLimiter *limiter.SourceLimiter

	// buildMu is held while the index of a new snapshot is built.
	buildMu sync.Mutex
	index   atomic.Pointer[lookupIndex]
}

// lookupIndex is a resolver index with the JSON form of each host and the rate limit
// for each source address.
type lookupIndex struct {
	*resolver.Index
	encodedHosts [][]byte
	sourceLimit  limiter.Limit
}

func newLookupHandler(cfg Config) *lookupHandler {
	return &lookupHandler{cfg: cfg, clock: clock.New(), sourceLimiter: limiter.NewSourceLimiter()}
}

// ServeHTTP implements http.Handler.
func (l *lookupHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snap := l.cfg.Snapshot()
	if !snap.Ready() {
		refuseLookup(w, http.StatusServiceUnavailable, "not ready: no configuration in force", notReadyRetryAfter)
		return
	}
	addr, forwardedIgnored, err := snap.CallerAddr(r)
	if forwardedIgnored {
		l.cfg.Meter.Add("lookups_forwarded_ignored", 1)
	}
	if err != nil {
		refuseLookup(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	x := l.indexFor(snap)
	if ok, retryAfter := l.sourceLimiter.Admit(addr, x.sourceLimit, l.clock.Now()); !ok {
		l.cfg.Meter.Add("lookups_limited", 1)
		refuseLookup(w, http.StatusTooManyRequests, "too many look-ups from "+addr.String(), retryAfter)
		return
	}
	service := r.URL.Query().Get("service")
	if service == "" {
		refuseLookup(w, http.StatusBadRequest, "the parameter service is missing", 0)
		return
	}
	answer, err := x.Resolve(service, addr)
	switch {
	case errors.Is(err, resolver.ErrUnknownService):
		refuseLookup(w, http.StatusNotFound, "unknown service "+strconv.Quote(service), 0)
	case err != nil:
		refuseLookup(w, http.StatusServiceUnavailable, err.Error(), notReadyRetryAfter)
	default:
		l.countAnswer(&answer)
		w.Header()["Content-Type"] = jsonContentType
		buf := answerBuffers.Get().(*[]byte)
		*buf = x.appendAnswer((*buf)[:0], &answer)
		_, _ = w.Write(*buf)
		answerBuffers.Put(buf)
	}
}

func (l *lookupHandler) countAnswer(a *resolver.Answer) {
	l.cfg.Meter.Add("lookups", 1)
	if !a.BlockMatched {
		l.cfg.Meter.Add("lookups_unmatched", 1)
	}
	if a.ServingRegion != a.HomeRegion {
		l.cfg.Meter.Add("lookups_shifted", 1)
	}
}

// indexFor returns the index of a snapshot. While one goroutine builds a new index,
// others use the previous one.
func (l *lookupHandler) indexFor(snap *snapshotter.Snapshot) *lookupIndex {
	x := l.index.Load()
	if x != nil && x.Snapshot() == snap {
		return x
	}
	if x != nil {
		if !l.buildMu.TryLock() {
			return x
		}
	} else {
		l.buildMu.Lock()
	}
	defer l.buildMu.Unlock()
	if x = l.index.Load(); x == nil || x.Snapshot() != snap {
		x = newLookupIndex(snap)
		l.index.Store(x)
	}
	return x
}

func newLookupIndex(snap *snapshotter.Snapshot) *lookupIndex {
	rate := float64(snap.Config().GetSettings().GetLookupRatePerS())
	if rate == 0 {
		rate = defaultLookupRatePerS
	}
	x := &lookupIndex{Index: resolver.NewIndex(snap), sourceLimit: limiter.Limit{RatePerSecond: rate, Burst: lookupBurstSeconds * rate}}
	for _, h := range x.Hosts() {
		value, _ := json.Marshal(LookupHost{h.Name, h.Address, h.Region, h.AvailabilityZone})
		x.encodedHosts = append(x.encodedHosts, value)
	}
	return x
}

var jsonContentType = []string{"application/json"}

var answerBuffers = sync.Pool{New: func() any { return new([]byte) }}

// appendAnswer appends the JSON form of a LookupAnswer, built from the encoded hosts.
func (x *lookupIndex) appendAnswer(b []byte, a *resolver.Answer) []byte {
	b = append(b, `{"service":`...)
	b = appendJSONString(b, a.Service)
	b = append(b, `,"region":`...)
	b = appendJSONString(b, a.ServingRegion)
	b = append(b, `,"age_ms":`...)
	b = strconv.AppendInt(b, int64(a.TTL), 10)
	b = append(b, `,"hosts":[`...)
	for i, h := range a.Hosts() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, x.encodedHosts[h.Position]...)
	}
	return append(b, "]}\n"...)
}

func appendJSONString(b []byte, s string) []byte {
	value, _ := json.Marshal(s)
	return append(b, value...)
}

func refuseLookup(w http.ResponseWriter, status int, reason string, retryAfter clock.Millis) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+clock.Second-1)/clock.Second), 10))
	}
	writeJSON(w, status, LookupRefusal{reason, int64(retryAfter)})
}

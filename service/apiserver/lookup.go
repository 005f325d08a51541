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
	// defaultLookupRate is the look-ups a second for a source address when the configuration names none.
	defaultLookupRate = 20
	// lookupBurst is the burst in seconds of the rate.
	lookupBurst = 2
	// notReadyRetry is when to ask again a host that has nothing to answer yet.
	notReadyRetry = clock.Second
)

// LookupRefusal is the body of a look-up that is refused.
type LookupRefusal struct {
	Error string `json:"error"`
	// RetryAfterMs is the time after which to ask again; zero means that a repeat gets the same answer.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// lookups answers GET /v1/lookup.
type lookups struct {
	cfg     Config
	clock   clock.Clock
	sources *limiter.SourceLimiter

	// building is held while an index for a new snapshot is made.
	building sync.Mutex
	index    atomic.Pointer[lookupIndex]
}

// lookupIndex is a resolver's index with the encoded form of each host.
type lookupIndex struct {
	*resolver.Index
	hosts [][]byte
	limit limiter.Limit
}

func newLookups(cfg Config) *lookups {
	return &lookups{cfg: cfg, clock: clock.New(), sources: limiter.NewSourceLimiter()}
}

// ServeHTTP implements http.Handler.
func (l *lookups) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snap := l.cfg.Snapshot()
	if !snap.Ready() {
		refuseLookup(w, http.StatusServiceUnavailable, "not ready: no configuration in force", notReadyRetry)
		return
	}
	addr, ignored, err := snap.CallerAddr(r)
	if ignored {
		l.cfg.Meter.Add("lookups_forwarded_ignored", 1)
	}
	if err != nil {
		refuseLookup(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	x := l.indexOf(snap)
	if ok, wait := l.sources.Admit(addr, x.limit, l.clock.Now()); !ok {
		l.cfg.Meter.Add("lookups_limited", 1)
		refuseLookup(w, http.StatusTooManyRequests, "too many look-ups from "+addr.String(), wait)
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
		refuseLookup(w, http.StatusServiceUnavailable, err.Error(), notReadyRetry)
	default:
		l.count(&answer)
		w.Header()["Content-Type"] = jsonType
		buf := buffers.Get().(*[]byte)
		*buf = x.encode((*buf)[:0], &answer)
		_, _ = w.Write(*buf)
		buffers.Put(buf)
	}
}

func (l *lookups) count(a *resolver.Answer) {
	l.cfg.Meter.Add("lookups", 1)
	if !a.BlockMatched {
		l.cfg.Meter.Add("lookups_unmatched", 1)
	}
	if a.ServingRegion != a.HomeRegion {
		l.cfg.Meter.Add("lookups_shifted", 1)
	}
}

// indexOf returns the index of a snapshot. While one goroutine makes a new
// index, others go on with the one before.
func (l *lookups) indexOf(snap *snapshotter.Snapshot) *lookupIndex {
	x := l.index.Load()
	if x != nil && x.Snapshot() == snap {
		return x
	}
	if x != nil {
		if !l.building.TryLock() {
			return x
		}
	} else {
		l.building.Lock()
	}
	defer l.building.Unlock()
	if x = l.index.Load(); x == nil || x.Snapshot() != snap {
		x = newLookupIndex(snap)
		l.index.Store(x)
	}
	return x
}

func newLookupIndex(snap *snapshotter.Snapshot) *lookupIndex {
	rate := float64(snap.Config().GetSettings().GetLookupRatePerS())
	if rate == 0 {
		rate = defaultLookupRate
	}
	x := &lookupIndex{Index: resolver.NewIndex(snap), limit: limiter.Limit{RatePerSecond: rate, Burst: lookupBurst * rate}}
	for _, h := range x.Hosts() {
		value, _ := json.Marshal(LookupHost{h.Name, h.Address, h.Region, h.AvailabilityZone})
		x.hosts = append(x.hosts, value)
	}
	return x
}

var jsonType = []string{"application/json"}

var buffers = sync.Pool{New: func() any { return new([]byte) }}

// encode appends the JSON form of a LookupAnswer from the encoded hosts.
func (x *lookupIndex) encode(b []byte, a *resolver.Answer) []byte {
	b = append(b, `{"service":`...)
	b = appendString(b, a.Service)
	b = append(b, `,"region":`...)
	b = appendString(b, a.ServingRegion)
	b = append(b, `,"age_ms":`...)
	b = strconv.AppendInt(b, int64(a.TTL), 10)
	b = append(b, `,"hosts":[`...)
	for i, h := range a.Hosts() {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, x.hosts[h.Position]...)
	}
	return append(b, "]}\n"...)
}

func appendString(b []byte, s string) []byte {
	value, _ := json.Marshal(s)
	return append(b, value...)
}

func refuseLookup(w http.ResponseWriter, status int, text string, retry clock.Millis) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((retry+clock.Second-1)/clock.Second), 10))
	}
	writeJSON(w, status, LookupRefusal{text, int64(retry)})
}

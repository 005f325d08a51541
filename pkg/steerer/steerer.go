// Package steerer carries a caller's request to a backend server and the
// answer back: it finds the route, checks the key and the rate, and sends the
// request to the servers that placement names until one answers.
package steerer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/meter"
)

const (
	// maxBufferedBody is the largest request body that is held in memory, so that
	// it can be sent again when a server refuses it.
	maxBufferedBody = 1 << 20
	// defaultTime is the time for a request on a route without a limit.
	defaultTime = 30 * clock.Second
	// minSend is the least time left with which a request is still sent.
	minSend clock.Millis = 10
	// maxUnsent is the number of servers that may prove unreachable before the
	// request is refused.
	maxUnsent = 3
	// unreadyRetry is the advice to callers of a host that is not ready: another
	// host can serve them at once.
	unreadyRetry clock.Millis = 100
)

// Headers are the names of the headers that callers and backend servers use.
type Headers struct {
	// RequestID names the request; servers repeat it.
	RequestID string
	// Deadline is the time that the caller waits, in milliseconds.
	Deadline string
	// Object names what the request concerns.
	Object string
	// Key is the workspace key of the caller; it is not passed on.
	Key string
	// Workspace tells the server the workspace of the key.
	Workspace string
	// ExpectedServer names the server that the request is meant for.
	ExpectedServer string
	// NotExecuted marks answers of servers that did not run the request.
	NotExecuted string
	// ServerLoad tells a server's running and waiting requests and its slots.
	ServerLoad string
	// ServerID names the server in its health answers.
	ServerID string
	// RemainingColdTime tells in health answers for how long a server stays cold, in milliseconds.
	RemainingColdTime string
}

// Config configures a steerer. All fields are needed.
type Config struct {
	Headers Headers
	// Catalog returns the configuration in force, nil before the first.
	Catalog func() *cataloger.Catalog
	// ConfigFresh reports whether the host knows the newest configuration well
	// enough to accept keys.
	ConfigFresh func() bool
	// Admit takes a token of a workspace's rate.
	Admit func(workspace string) (ok bool, retryAfter clock.Millis)
	// ChooseServer picks a server and notes the request as sent to it; known says that
	// the server is known to hold the object.
	ChooseServer func(req balancer.Request) (c balancer.Choice, known bool)
	// RecordAttempt notes how an exchange ended; it is called once for each choice that is
	// not a refusal.
	RecordAttempt func(x balancer.Attempt)
	// CountRequest counts a request for a service.
	CountRequest func(service string)
	// AllowRetry takes one repeat from a service's budget.
	AllowRetry func(service string) bool
	// Send sends a request to a server.
	Send func(ctx context.Context, target courier.Target, req *courier.Request) (*courier.Response, error)
	// SplitPoint returns a number from 0 up to 1 for the parts of a split.
	SplitPoint func(route string) float64
	// Leaving reports whether the host is in a planned stop.
	Leaving func() bool
	Clock   clock.Clock
	Log     zerolog.Logger
	Meter   *meter.Meter
}

// Steerer is the HTTP handler for callers' requests.
type Steerer struct {
	cfg Config
}

// New returns a steerer.
func New(cfg Config) *Steerer { return &Steerer{cfg: cfg} }

// exchange is the state of one request.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	catalog   *cataloger.Catalog
	route     *cataloger.Route
	workspace *cataloger.Workspace
	service   string
	start     clock.Millis
	// limit is the time from the start until which an answer must be given.
	limit clock.Millis
	// stated is the time that the caller gave, 0 when it named none.
	stated clock.Millis
	body   []byte
	// stream is set for a body that is too large to be held.
	stream io.Reader
	tried  []string
	sent   int
	unsent int
	// mayHaveRun says that a server may have run the request without giving its answer.
	mayHaveRun bool
	// choice is the last decision on placement.
	choice balancer.Choice
	// known says that the chosen server is known to hold the object.
	known bool
	// placed says that placement counts the request at the chosen server.
	placed bool
}

// refusal is an answer of the host's own.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
}

// ServeHTTP serves one request.
func (s *Steerer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, r: r, id: r.Header.Get(s.cfg.Headers.RequestID), start: s.cfg.Clock.Now()}
	defer s.contain(x)
	if s.cfg.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if ref := s.check(x); ref != nil {
		s.refuse(x, ref)
		return
	}
	ctx := x.r.Context()
	if !x.route.IsIdempotent() {
		// What may run only once is not broken off when its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	// The answer's body may be read until pass returns.
	ctx, cancel := context.WithTimeout(ctx, s.left(x).Duration())
	defer cancel()
	answer, ref := s.deliver(ctx, x)
	if ref != nil {
		s.refuse(x, ref)
		return
	}
	s.pass(x, answer)
}

// contain ends a request that panics; others go on.
func (s *Steerer) contain(x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	// net/http closes the connection without a line of its own for this value.
	defer panic(http.ErrAbortHandler)
	if cause == http.ErrAbortHandler {
		return
	}
	if x.placed {
		s.done(x, balancer.Abandoned, 0)
	}
	s.cfg.Meter.Add("panics", 1)
	s.cfg.Log.Error().Str("request", x.id).Any("cause", cause).Bytes("stack", debug.Stack()).Msg("request_panicked")
}

// check finds the route and decides whether the request may run.
func (s *Steerer) check(x *exchange) *refusal {
	x.catalog = s.cfg.Catalog()
	if x.catalog == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", clock.Second}
	}
	x.route = x.catalog.Match(hostName(x.r.Host), x.r.URL.Path)
	keyed := x.catalog.NeedsKeys() && (x.route == nil || !x.route.Anonymous)
	if keyed && !s.cfg.ConfigFresh() {
		return &refusal{http.StatusServiceUnavailable, "stale_configuration", unreadyRetry}
	}
	if x.route == nil {
		return &refusal{http.StatusNotFound, "unknown_route", 0}
	}
	if keyed {
		if x.workspace = x.catalog.WorkspaceByKey(x.r.Header.Get(s.cfg.Headers.Key)); x.workspace == nil {
			return &refusal{http.StatusUnauthorized, "unknown_key", 0}
		}
	}
	if !x.readDeadline(s.cfg.Headers.Deadline) {
		return &refusal{http.StatusBadRequest, "bad_deadline", 0}
	}
	if limit := x.catalog.Limits().MaxBodyBytes; limit > 0 && x.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	if x.workspace != nil {
		if ok, wait := s.cfg.Admit(x.workspace.Name); !ok {
			return &refusal{http.StatusTooManyRequests, "over_rate", wait}
		}
	}
	x.service = x.part(s.cfg.SplitPoint)
	s.cfg.CountRequest(x.service)
	return s.readBody(x)
}

// checkKey decides again whether the key is valid: the host may have been suspended
// since, or the body or an earlier attempt may have taken seconds.
func (s *Steerer) checkKey(x *exchange) *refusal {
	if x.workspace == nil {
		return nil
	}
	if !s.cfg.ConfigFresh() {
		return &refusal{http.StatusServiceUnavailable, "stale_configuration", unreadyRetry}
	}
	if c := s.cfg.Catalog(); c != x.catalog && c.WorkspaceByKey(x.r.Header.Get(s.cfg.Headers.Key)) == nil {
		return &refusal{http.StatusUnauthorized, "unknown_key", 0}
	}
	return nil
}

// readDeadline sets the time limit from the caller's header and the route.
func (x *exchange) readDeadline(name string) bool {
	x.limit = x.route.Timeout
	if x.limit <= 0 {
		x.limit = defaultTime
	}
	v := x.r.Header.Get(name)
	if v == "" {
		return true
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil || ms <= 0 {
		return false
	}
	x.stated = clock.Millis(ms)
	x.limit = min(x.limit, x.stated)
	return true
}

// part chooses the service of a split by weight.
func (x *exchange) part(pick func(string) float64) string {
	parts := x.route.Services
	if len(parts) == 1 {
		return parts[0].Service
	}
	var sum float64
	for _, p := range parts {
		sum += p.Weight
	}
	at := pick(x.route.Name) * sum
	for _, p := range parts {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return parts[len(parts)-1].Service
}

// readBody holds a body of moderate size in memory. A body must come within the
// time of its request.
func (s *Steerer) readBody(x *exchange) *refusal {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.catalog.Limits().MaxBodyBytes; limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	s.setReadDeadline(x, time.Now().Add(s.left(x).Duration()))
	if x.r.ContentLength > maxBufferedBody {
		x.stream = x.r.Body
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, maxBufferedBody+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body_late", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "unreadable_body", 0}
	case len(body) > maxBufferedBody:
		x.stream = io.MultiReader(newReader(body), x.r.Body)
	default:
		x.body = body
		s.setReadDeadline(x, time.Time{})
	}
	return nil
}

// setReadDeadline bounds reads of the caller's connection; net/http sets its own
// deadline before the next request.
func (s *Steerer) setReadDeadline(x *exchange, t time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.cfg.Log.Debug().Str("request", x.id).Err(err).Msg("read_deadline_failed")
	}
}

func (s *Steerer) left(x *exchange) clock.Millis { return x.limit - (s.cfg.Clock.Now() - x.start) }

// deliver sends the request to servers until one has answered or no further
// attempt is allowed.
func (s *Steerer) deliver(ctx context.Context, x *exchange) (*courier.Response, *refusal) {
	var last *courier.Response
	for {
		if ref := s.place(x); ref != nil {
			if last != nil {
				return last, nil
			}
			return nil, x.truthful(ref)
		}
		began := s.cfg.Clock.Now()
		answer, err := s.cfg.Send(ctx, courier.Target{ID: x.choice.Server.ID, Address: x.choice.Server.Address}, s.outgoing(x))
		res := s.result(ctx, answer, err)
		s.done(x, res, s.cfg.Clock.Now()-began)
		x.tried = append(x.tried, x.choice.Server.ID)
		if !errors.Is(err, courier.ErrNotSent) {
			x.sent++
		} else {
			x.unsent++
		}
		x.mayHaveRun = x.mayHaveRun || ran(res, err)
		switch {
		case res == balancer.Answered:
			return answer, nil
		case res == balancer.Abandoned:
			// Nobody reads the answer; the reason is for the log.
			return nil, &refusal{http.StatusGatewayTimeout, "caller_left", 0}
		case res == balancer.TimedOut:
			return nil, &refusal{http.StatusGatewayTimeout, "timeout", 0}
		}
		if answer != nil && res == balancer.Failed {
			last = answer
		}
		s.logAttempt(x, res, answer, err)
		if ref := s.mayTryAgain(x, res, err); ref != nil {
			if last != nil {
				return last, nil
			}
			return nil, x.truthful(ref)
		}
	}
}

// ran reports whether an attempt without a usable answer may have run.
func ran(res balancer.Result, err error) bool {
	return res == balancer.Failed || (err != nil && !errors.Is(err, courier.ErrNotSent))
}

// truthful replaces a refusal that promises that the request has not run, when an
// earlier attempt may have run it.
func (x *exchange) truthful(ref *refusal) *refusal {
	if !x.mayHaveRun || ref.status == http.StatusGatewayTimeout {
		return ref
	}
	return &refusal{http.StatusBadGateway, "no_answer", 0}
}

// done tells placement how the exchange with the chosen server ended.
func (s *Steerer) done(x *exchange, res balancer.Result, took clock.Millis) {
	x.placed = false
	s.cfg.RecordAttempt(balancer.Attempt{Choice: x.choice, Class: x.route.Name, KnownWarm: x.known, Result: res, Duration: took})
}

// place asks placement for a server.
func (s *Steerer) place(x *exchange) *refusal {
	left := s.left(x)
	if left < minSend {
		return &refusal{http.StatusGatewayTimeout, "timeout", 0}
	}
	if ref := s.checkKey(x); ref != nil {
		return ref
	}
	x.choice, x.known = s.cfg.ChooseServer(balancer.Request{
		Service: x.service, Class: x.route.Name, Object: x.object(s.cfg.Headers.Object),
		AllowedRegions: cataloger.AllowedRegions(x.route, x.workspace), TriedServers: x.tried,
		TargetLatency: x.route.TargetLatency - (s.cfg.Clock.Now() - x.start), TimeLeft: left,
		Priority: x.rank(), CallerTimeout: x.stated,
	})
	if x.choice.Refused {
		return &refusal{http.StatusServiceUnavailable, x.choice.Reason, x.choice.RetryAfter}
	}
	x.placed = true
	return nil
}

// routeRank is the weight of a route's rank beside that of the workspace, which
// goes first.
const routeRank = 0.1

// rank is the urgency of the request; 0 is the most urgent.
func (x *exchange) rank() float64 {
	rank := routeRank * float64(x.route.Priority)
	if x.workspace != nil {
		rank += float64(x.workspace.Priority)
	}
	return rank
}

func (x *exchange) object(name string) string {
	if !x.route.Sticky {
		return ""
	}
	return x.r.Header.Get(name)
}

// result classifies how an attempt ended.
func (s *Steerer) result(ctx context.Context, answer *courier.Response, err error) balancer.Result {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.TimedOut
	case err != nil && ctx.Err() != nil:
		return balancer.Abandoned
	case err != nil:
		return balancer.Unreachable
	case answer.Status == http.StatusMisdirectedRequest:
		return balancer.Unreachable
	case answer.Header.Get(s.cfg.Headers.NotExecuted) != "":
		return balancer.Shed
	case answer.Status >= http.StatusInternalServerError:
		return balancer.Failed
	default:
		return balancer.Answered
	}
}

// mayTryAgain returns nil when the request may go to another server.
func (s *Steerer) mayTryAgain(x *exchange, res balancer.Result, err error) *refusal {
	ref := &refusal{http.StatusServiceUnavailable, "shed", unreadyRetry}
	if ran(res, err) && !x.route.IsIdempotent() {
		return ref
	}
	if x.stream != nil && x.sent > 0 {
		return ref // the body is spent
	}
	if errors.Is(err, courier.ErrNotSent) {
		if x.unsent >= maxUnsent {
			return ref
		}
		return nil
	}
	if x.sent >= x.route.MaxAttempts || !s.cfg.AllowRetry(x.service) {
		return ref
	}
	return nil
}

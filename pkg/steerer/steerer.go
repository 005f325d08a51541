// Package steerer forwards callers' requests to backend servers. It finds the
// route, checks the key and the rate limit, and sends the request to the servers
// that the balancer chooses until one responds. Hosts of package hoster use it;
// hosts of package runner use package forwarder.
package steerer

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/observer"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/reserver"
	"catkindyke/pkg/screener"
)

const (
	// maxBufferedBody is the largest request body that is held in memory, so that it
	// can be resent after a server refused it.
	maxBufferedBody = 1 << 20
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * clock.Second
	// minTimeLeft is the least time left with which an attempt is still made.
	minTimeLeft clock.Millis = 10
	// maxUnsentAttempts is the number of unreachable servers after which the request is
	// refused.
	maxUnsentAttempts = 3
	// otherHostRetryAfter is short because another host can serve the caller at once,
	// for example if this one is not ready.
	otherHostRetryAfter clock.Millis = 100
	// noRoomRetryAfter is the time in which most slow bodies that take the room have ended.
	noRoomRetryAfter clock.Millis = 500
	// maxRefusedBody is the largest unread body after which a connection is used again.
	maxRefusedBody = 16 << 10
)

// Headers holds the names of the headers that callers and backend servers use.
type Headers struct {
	// RequestID identifies the request; servers echo it.
	RequestID string
	// Deadline is the time for which the caller waits, in milliseconds.
	Deadline string
	// Object identifies the object that the request concerns.
	Object string
	// Key is the caller's workspace key; it is not forwarded.
	Key string
	// Workspace is the workspace of the key, for the server.
	Workspace string
	// ExpectedServer is the ID of the server that the request is meant for.
	ExpectedServer string
	// NotExecuted marks responses of servers that did not run the request.
	NotExecuted string
	// ServerLoad holds the numbers of a server's running and waiting requests and of
	// its slots, and its pace in percent.
	ServerLoad string
	// ServerID is the ID of the server in a health check response.
	ServerID string
	// RemainingColdTime is the time for which a server stays cold, in milliseconds, in
	// a health check response.
	RemainingColdTime string
	// RateLimit is the number of requests per second that a server takes from all hosts.
	RateLimit string
	// Draining marks responses of servers that are about to stop.
	Draining string
}

// Config configures a steerer. All fields are required.
type Config struct {
	Headers Headers
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog func() *cataloger.Catalog
	// ConfigFresh reports whether the host's knowledge of the configuration is recent
	// enough to accept keys.
	ConfigFresh func() bool
	// Admit takes a token from the rate limit of a workspace.
	Admit func(workspace string) (ok bool, retryAfter clock.Millis)
	// ChooseServer picks a server and counts the request as in flight there. knownWarm
	// means that the server is known to be warm for the object.
	ChooseServer func(req balancer.Request) (c balancer.Choice, knownWarm bool)
	// RecordAttempt records how an attempt ended, and reports whether the server's notice
	// has changed. It is called once for each choice that is not a refusal.
	RecordAttempt func(a balancer.Attempt) (noticeChanged bool)
	// CountRequest counts a request for a service.
	CountRequest func(service string)
	// AllowRetry takes one retry from a service's budget.
	AllowRetry func(service string) rationer.RetryDecision
	// SecondDelay returns the time after which a request that waits for its first attempt
	// may get a second one.
	SecondDelay func(class string, first balancer.Choice) clock.Millis
	// ChooseSecond picks the server for a second attempt beside the first one, takes it
	// from the budget and counts it as in flight, or says why there is none. waited is the
	// time since the first one began.
	ChooseSecond func(req balancer.Request, first balancer.Choice, waited clock.Millis) SecondChoice
	// IsSuspected reports whether a server is suspected to be silent.
	IsSuspected func(server string) bool
	// Send sends a request to a server.
	Send func(ctx context.Context, target courier.Target, req *courier.Request) (*courier.Response, error)
	// SplitPoint returns a number in [0, 1) that selects a service of a weighted split.
	SplitPoint func(route string) float64
	// CallerLeft reports whether the caller of the request with this context has
	// disconnected.
	CallerLeft func(ctx context.Context) bool
	// ResetOnClose sets whether the caller's connection ends with a reset when it is closed.
	ResetOnClose func(ctx context.Context, reset bool)
	// Stop returns the planned stop of the host, nil if there is none.
	Stop  func() *Stop
	Clock clock.Clock
	Log   zerolog.Logger
	Meter *meter.Meter
}

// Stop is a planned stop of the host.
type Stop struct {
	// LastSend is the time from which requests that no server has got yet are refused. EndsAt
	// is the time at which connections are cut.
	LastSend, EndsAt clock.Millis
}

// Steerer is the HTTP handler for callers' requests.
type Steerer struct {
	cfg Config
}

// New returns a steerer.
func New(cfg Config) *Steerer { return &Steerer{cfg: cfg} }

// call is the state of one caller's request.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	catalog   *cataloger.Catalog
	route     *cataloger.Route
	workspace *cataloger.Workspace
	service   string
	start     clock.Millis
	// timeout is the time from the start within which the caller must get a response.
	timeout clock.Millis
	// callerTimeout is the time that the caller stated, or 0 if it stated none.
	callerTimeout clock.Millis
	body          []byte
	// bodyRead is set once the body has been read to its end.
	bodyRead bool
	// stream is the request body if it is too large to be held in memory.
	stream           *streamedBody
	attemptedServers []string
	sentAttempts     int
	unsentAttempts   int
	// mayHaveRun is set if a server may have run the request without a usable response.
	mayHaveRun bool
	// choice is the balancer's last decision.
	choice balancer.Choice
	// answerLoad is the load that the server stated in its last response.
	answerLoad observer.Load
	// knownWarm is set if the chosen server is known to be warm for the object.
	knownWarm bool
	// inFlight is set while the balancer counts the request as in flight at the chosen
	// server, and no attempt has begun.
	inFlight bool
}

// refusal is a response of the host itself instead of a backend server's.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
}

// ServeHTTP serves one caller's request.
func (s *Steerer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, id: r.Header.Get(s.cfg.Headers.RequestID), start: s.cfg.Clock.Now()}
	defer s.recoverPanic(c)
	if s.cfg.Stop() != nil {
		w.Header().Set("Connection", "close")
	}
	if ref := s.admitRequest(c); ref != nil {
		s.refuse(c, ref)
		return
	}
	if c.stream != nil {
		defer c.stream.endAttempt()
	}
	ctx := c.r.Context()
	if !c.route.IsIdempotent() {
		// What a server has begun is not canceled when the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	// The response body may be read until writeResponse returns.
	ctx, cancel := context.WithTimeout(ctx, s.timeLeft(c).Duration())
	defer cancel()
	resp, ref := s.forward(ctx, c)
	if ref != nil {
		s.refuse(c, ref)
		return
	}
	s.writeResponse(c, resp)
}

// recoverPanic ends only the request that panicked.
func (s *Steerer) recoverPanic(c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	// For this value, net/http closes the connection without logging the panic again.
	defer panic(http.ErrAbortHandler)
	if cause == http.ErrAbortHandler {
		return
	}
	if c.inFlight {
		s.recordAttempt(c, &attempt{choice: c.choice, knownWarm: c.knownWarm}, balancer.Attempt{Result: balancer.Abandoned})
	}
	s.logPanic(c, cause)
}

func (s *Steerer) logPanic(c *call, cause any) {
	s.cfg.Meter.Add("panics", 1)
	s.cfg.Log.Error().Str("request", c.id).Any("cause", cause).Bytes("stack", debug.Stack()).Msg("request_panicked")
}

// admitRequest finds the route and the service, checks the key, the deadline and
// the rate, and reads the body. It returns a refusal if the request may not run.
func (s *Steerer) admitRequest(c *call) *refusal {
	c.catalog = s.cfg.Catalog()
	if c.catalog == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", clock.Second}
	}
	if s.isTooLateToSend(c) {
		return stopRefusal()
	}
	c.route = c.catalog.Match(hostName(c.r.Host), c.r.URL.Path)
	needsKey := c.catalog.NeedsKeys() && (c.route == nil || !c.route.Anonymous)
	if needsKey && !s.cfg.ConfigFresh() {
		return &refusal{http.StatusServiceUnavailable, "stale_configuration", otherHostRetryAfter}
	}
	if c.route == nil {
		return &refusal{http.StatusNotFound, "unknown_route", 0}
	}
	if needsKey {
		if c.workspace = c.catalog.WorkspaceByKey(c.r.Header.Get(s.cfg.Headers.Key)); c.workspace == nil {
			return &refusal{http.StatusUnauthorized, "unknown_key", 0}
		}
	}
	if !c.parseDeadline(s.cfg.Headers.Deadline) {
		return &refusal{http.StatusBadRequest, "bad_deadline", 0}
	}
	if limit := c.catalog.Limits().MaxBodyBytes; limit > 0 && c.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	if c.workspace != nil {
		if ok, retryAfter := s.cfg.Admit(c.workspace.Name); !ok {
			return &refusal{http.StatusTooManyRequests, "over_rate", retryAfter}
		}
	}
	c.service = c.chooseService(s.cfg.SplitPoint)
	s.cfg.CountRequest(c.service)
	if ref := s.readBody(c); ref != nil {
		return ref
	}
	if screener.Held(c.r.Context()).Forward() != nil {
		return &refusal{http.StatusServiceUnavailable, "no_room", noRoomRetryAfter}
	}
	return nil
}

// recheckKey checks the key again before each attempt: since the last check, the
// host may have been suspended, or the body or an earlier attempt may have taken
// seconds.
func (s *Steerer) recheckKey(c *call) *refusal {
	if c.workspace == nil {
		return nil
	}
	if !s.cfg.ConfigFresh() {
		return &refusal{http.StatusServiceUnavailable, "stale_configuration", otherHostRetryAfter}
	}
	if current := s.cfg.Catalog(); current != c.catalog && current.WorkspaceByKey(c.r.Header.Get(s.cfg.Headers.Key)) == nil {
		return &refusal{http.StatusUnauthorized, "unknown_key", 0}
	}
	return nil
}

// parseDeadline sets the timeout from the caller's header and the route. It reports
// whether the header is valid.
func (c *call) parseDeadline(header string) bool {
	c.timeout = c.route.Timeout
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	v := c.r.Header.Get(header)
	if v == "" {
		return true
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil || ms <= 0 {
		return false
	}
	c.callerTimeout = clock.Millis(ms)
	c.timeout = min(c.timeout, c.callerTimeout)
	return true
}

// chooseService picks one of the route's services by weight.
func (c *call) chooseService(splitPoint func(string) float64) string {
	services := c.route.Services
	if len(services) == 1 {
		return services[0].Service
	}
	var totalWeight float64
	for _, service := range services {
		totalWeight += service.Weight
	}
	point := splitPoint(c.route.Name) * totalWeight
	for _, service := range services {
		if point < service.Weight {
			return service.Service
		}
		point -= service.Weight
	}
	return services[len(services)-1].Service
}

// readBody reads a body of up to maxBufferedBody into memory. The body must arrive
// before the request times out.
func (s *Steerer) readBody(c *call) *refusal {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.bodyRead = true
		return nil
	}
	held := screener.Held(c.r.Context())
	held.SetPhase(reserver.Receiving)
	if limit := c.catalog.Limits().MaxBodyBytes; limit > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	s.setReadDeadline(c, time.Now().Add(s.timeLeft(c).Duration()))
	// Once the body has arrived, the caller can't hold up the request.
	onEnd := func() { held.SetPhase(reserver.Serving) }
	if c.r.ContentLength > maxBufferedBody {
		held.GrowReceiveBuffer()
		held.SetPhase(reserver.Streaming)
		c.stream = &streamedBody{rest: c.r.Body, onEnd: onEnd}
		return nil
	}
	body, err := readHeld(held, c.r.Body, c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case errors.Is(err, accepter.ErrNoRoom):
		return &refusal{http.StatusServiceUnavailable, "no_room", noRoomRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body_late", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "unreadable_body", 0}
	case len(body) > maxBufferedBody:
		held.SetPhase(reserver.Streaming)
		c.stream = &streamedBody{head: body, rest: c.r.Body, onEnd: onEnd}
	default:
		c.body, c.bodyRead = body, true
		held.SetPhase(reserver.Serving)
		s.setReadDeadline(c, time.Time{})
	}
	return nil
}

// setReadDeadline limits reads from the caller's connection. net/http sets its own
// deadline before the next request.
func (s *Steerer) setReadDeadline(c *call, deadline time.Time) {
	if err := http.NewResponseController(c.w).SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.cfg.Log.Debug().Str("request", c.id).Err(err).Msg("read_deadline_failed")
	}
}

// timeLeft returns the time until the call's timeout.
func (s *Steerer) timeLeft(c *call) clock.Millis { return c.timeout - (s.cfg.Clock.Now() - c.start) }

// forward sends the request to one server after another until one responds or no
// further attempt is allowed.
func (s *Steerer) forward(ctx context.Context, c *call) (resp *courier.Response, ref *refusal) {
	var lastFailure *courier.Response
	defer func() {
		if lastFailure != resp {
			closeStream(lastFailure)
		}
	}()
	for {
		if ref := s.chooseServer(c); ref != nil {
			if lastFailure != nil {
				return lastFailure, nil
			}
			return nil, c.finalRefusal(ref)
		}
		attempts := s.runAttempts(ctx, c)
		for _, a := range attempts {
			c.countAttempt(a)
			switch a.result {
			case balancer.Failed:
				closeStream(lastFailure)
				lastFailure = a.resp
			case balancer.Shed, balancer.Unreachable:
				closeStream(a.resp)
			}
		}
		a := attempts[len(attempts)-1]
		c.choice, c.knownWarm, c.answerLoad = a.choice, a.knownWarm, a.load
		switch a.result {
		case balancer.Answered:
			return a.resp, nil
		case balancer.Abandoned:
			return nil, c.abandon(a.err)
		case balancer.TimedOut:
			return nil, &refusal{http.StatusGatewayTimeout, "timeout", 0}
		}
		callerLeft := c.r.Context().Err() != nil
		retry := retryCheck{verdict: retryUnwanted}
		if !callerLeft {
			retry = s.checkRetry(c, a.result, a.err)
		}
		s.logFailedAttempt(c, a, retry)
		if callerLeft {
			return nil, c.abandon(a.err)
		}
		if retry.verdict != retryAllowed {
			ref := &refusal{http.StatusServiceUnavailable, "shed", otherHostRetryAfter}
			if lastFailure != nil {
				return lastFailure, nil
			}
			return nil, c.finalRefusal(ref)
		}
	}
}

// closeStream gives up the rest of a response that is not passed on, and the connection that
// it holds.
func closeStream(resp *courier.Response) {
	if resp != nil && resp.Stream != nil {
		_ = resp.Stream.Close()
	}
}

// countAttempt adds a finished attempt to what is known of the request.
func (c *call) countAttempt(a *attempt) {
	c.attemptedServers = append(c.attemptedServers, a.choice.Server.ID)
	if !errors.Is(a.err, courier.ErrNotSent) {
		c.sentAttempts++
	} else {
		c.unsentAttempts++
	}
	c.mayHaveRun = c.mayHaveRun || attemptMayHaveRun(a.result, a.err)
}

// abandon returns the response to a caller who has left, or whose body can't be read to its
// end. A caller who has closed only his half of the connection can still read it.
func (c *call) abandon(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	case c.mayHaveRun:
		return &refusal{http.StatusGatewayTimeout, "caller_left", 0}
	}
	return &refusal{http.StatusServiceUnavailable, "caller_left", otherHostRetryAfter}
}

// attemptMayHaveRun reports whether an attempt without a usable response may have
// run the request.
func attemptMayHaveRun(result balancer.Result, err error) bool {
	return result == balancer.Failed || (err != nil && !errors.Is(err, courier.ErrNotSent))
}

// finalRefusal returns ref, or a 502 if ref promises that the request has not run
// although an attempt may have run it.
func (c *call) finalRefusal(ref *refusal) *refusal {
	if !c.mayHaveRun || ref.status == http.StatusGatewayTimeout {
		return ref
	}
	return &refusal{http.StatusBadGateway, "no_answer", 0}
}

// recordAttempt reports to the balancer how an attempt ended.
func (s *Steerer) recordAttempt(c *call, a *attempt, record balancer.Attempt) {
	record.Choice, record.Class, record.KnownWarm = a.choice, c.route.Name, a.knownWarm
	if s.cfg.RecordAttempt(record) {
		s.logNotice(c, a, record.Notice)
	}
}

// isTooLateToSend reports whether the host stops so soon that a request that no server has
// got yet must go to another host.
func (s *Steerer) isTooLateToSend(c *call) bool {
	stop := s.cfg.Stop()
	return stop != nil && c.sentAttempts == 0 && s.cfg.Clock.Now() >= stop.LastSend
}

func stopRefusal() *refusal {
	return &refusal{http.StatusServiceUnavailable, "stopping", otherHostRetryAfter}
}

// timeToRespond returns the time in which a server must respond, and whether it is the end
// of the host that limits it. A caller whose request is cut can repeat it only if it is
// idempotent.
func (s *Steerer) timeToRespond(c *call) (left clock.Millis, limitedByStop bool) {
	left = s.timeLeft(c)
	if stop := s.cfg.Stop(); stop != nil && !c.route.IsIdempotent() {
		if untilEnd := stop.EndsAt - s.cfg.Clock.Now(); untilEnd < left {
			return untilEnd, true
		}
	}
	return left, false
}

// chooseServer asks the balancer for a server.
func (s *Steerer) chooseServer(c *call) *refusal {
	timeLeft, limitedByStop := s.timeToRespond(c)
	switch {
	case s.isTooLateToSend(c), limitedByStop && timeLeft < minTimeLeft:
		return stopRefusal()
	case timeLeft < minTimeLeft:
		return &refusal{http.StatusGatewayTimeout, "timeout", 0}
	}
	if ref := s.recheckKey(c); ref != nil {
		return ref
	}
	c.choice, c.knownWarm = s.cfg.ChooseServer(s.balancerRequest(c, timeLeft))
	if c.choice.Refused && c.choice.Reason == balancer.ReasonBusy && limitedByStop {
		return stopRefusal()
	}
	if c.choice.Refused {
		return &refusal{http.StatusServiceUnavailable, c.choice.Reason, c.choice.RetryAfter}
	}
	c.inFlight = true
	return nil
}

// balancerRequest returns the properties of the request that decide its placement.
func (s *Steerer) balancerRequest(c *call, timeLeft clock.Millis) balancer.Request {
	return balancer.Request{
		Service: c.service, Class: c.route.Name, Object: c.object(s.cfg.Headers.Object), Repeatable: c.isRepeatable(),
		AllowedRegions: cataloger.AllowedRegions(c.route, c.workspace), AttemptedServers: c.attemptedServers,
		TargetLatency: c.route.TargetLatency - (s.cfg.Clock.Now() - c.start), TimeLeft: timeLeft,
		Priority: c.priority(), Workspace: c.workspaceName(), CallerTimeout: c.callerTimeout,
	}
}

// workspaceName returns the name of the caller's workspace, or an empty one.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// isRepeatable reports whether the request may be sent again while a server may run it.
func (c *call) isRepeatable() bool { return c.route.IsIdempotent() && c.stream == nil }

// routePriorityWeight scales a route's priority, so that the priority of the
// workspace counts first.
const routePriorityWeight = 0.1

// priority returns the priority of the request; 0 is the most urgent.
func (c *call) priority() float64 {
	priority := routePriorityWeight * float64(c.route.Priority)
	if c.workspace != nil {
		priority += float64(c.workspace.Priority)
	}
	return priority
}

// object returns the object that the request concerns if its route is sticky.
func (c *call) object(header string) string {
	if !c.route.Sticky {
		return ""
	}
	return c.r.Header.Get(header)
}

// classifyAttempt classifies how an attempt ended.
func (s *Steerer) classifyAttempt(ctx context.Context, resp *courier.Response, err error) balancer.Result {
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errSuperseded):
		return balancer.Superseded
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balancer.TimedOut
	case errors.Is(err, courier.ErrIncompleteBody) && errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case errors.Is(err, courier.ErrUnwanted) || errors.Is(err, courier.ErrIncompleteBody):
		return balancer.Abandoned
	case err != nil && ctx.Err() != nil:
		return balancer.Abandoned
	case err != nil:
		return balancer.Unreachable
	case resp.Status == http.StatusMisdirectedRequest:
		return balancer.Unreachable
	case resp.Header.Get(s.cfg.Headers.NotExecuted) != "":
		return balancer.Shed
	case resp.Status >= http.StatusInternalServerError:
		return balancer.Failed
	default:
		return balancer.Answered
	}
}

// retryVerdict is the reason for which a request may or may not be sent to another server.
type retryVerdict string

const (
	retryAllowed    retryVerdict = "allowed"
	retryUnwanted   retryVerdict = "caller_left"
	retryUnsafe     retryVerdict = "not_repeatable"
	retryExhausted  retryVerdict = "attempts_used"
	retryOverBudget retryVerdict = "over_budget"
	// retryOtherRuns means that another attempt ran at the same time.
	retryOtherRuns retryVerdict = "other_attempt"
)

// retryCheck is the result of checkRetry. The budget is nil if it was not asked.
type retryCheck struct {
	verdict retryVerdict
	budget  *rationer.RetryDecision
}

// checkRetry checks whether the request may be sent to another server.
func (s *Steerer) checkRetry(c *call, result balancer.Result, err error) retryCheck {
	if attemptMayHaveRun(result, err) && !c.route.IsIdempotent() {
		return retryCheck{verdict: retryUnsafe}
	}
	if c.stream != nil && (!c.stream.endAttempt() || c.sentAttempts > 0) {
		return retryCheck{verdict: retryUnsafe} // the body was consumed
	}
	if errors.Is(err, courier.ErrNotSent) {
		if c.unsentAttempts >= maxUnsentAttempts {
			return retryCheck{verdict: retryExhausted}
		}
		return retryCheck{verdict: retryAllowed}
	}
	if c.sentAttempts >= c.route.MaxAttempts {
		return retryCheck{verdict: retryExhausted}
	}
	budget := s.cfg.AllowRetry(c.service)
	if !budget.Allowed {
		s.cfg.Meter.Add("retries_refused", 1)
		return retryCheck{retryOverBudget, &budget}
	}
	s.cfg.Meter.Add("retries_allowed", 1)
	return retryCheck{retryAllowed, &budget}
}

package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/tracer"
)

const (
	// maxTries bounds the permits that one request uses.
	maxTries = 3
	// defaultProgressTimeout is used when the service names none.
	defaultProgressTimeout = 10 * clock.Second
	// patience is the multiple of the usual service time below which a wait is
	// never cut short for a retry; slow answers are within a few times of it.
	patience = 10
	// minSilence is the shortest wait that says anything about a backend server.
	minSilence = time.Second
	// statusCallerGone is logged when the caller has closed its connection; no
	// standard status exists, and nobody receives it.
	statusCallerGone = 499
)

func (f *Forwarder) progressTimeout(x *exchange) time.Duration {
	ms := clock.Millis(x.svc.Config().GetProgressTimeoutMs())
	if ms == 0 {
		ms = defaultProgressTimeout
	}
	return ms.Duration()
}

// silenceTimeout limits the wait for an answer's first byte. A request that can
// be sent again leaves half of its time for another server, if that is far more
// than the service usually takes and the budget has a retry.
func (f *Forwarder) silenceTimeout(x *exchange) time.Duration {
	timeout := f.progressTimeout(x)
	usual := clock.Millis(x.svc.Config().GetServiceTimeMs()).Duration()
	half := time.Until(x.deadline) / 2
	if x.repeatable && x.buffered && x.tries < maxTries && usual > 0 && half >= patience*usual && f.budget.CanRetry() {
		timeout = min(timeout, half)
	}
	return timeout
}

// sendAll acquires a slot and sends the request, again on another backend
// server where that is allowed.
func (f *Forwarder) sendAll(x *exchange) *Refusal {
	var exclude []string
	for {
		x.tries++
		a := &attempt{f: f, x: x}
		a.flight = &a.first
		refusal, again := a.try(exclude)
		if !again {
			return refusal
		}
		f.cfg.Meter.Add("retries", 1)
		exclude = append(exclude, a.permit.BackendServer)
	}
}

// acquireContext ends at the request's deadline. The attempt's watchdog ends it,
// which spares a timer of its own.
type acquireContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the request's deadline.
func (c acquireContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Err returns the usual error when the deadline has passed.
func (c acquireContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), errDeadline) {
		return context.DeadlineExceeded
	}
	return err
}

// acquire waits for a slot. The key is checked again afterwards, because it may
// have been withdrawn during the wait.
func (f *Forwarder) acquire(ctx context.Context, x *exchange, exclude []string) (Permit, *Refusal) {
	ctx, span := f.cfg.Tracer.Start(ctx, "acquire")
	defer span.End()
	permit, err := f.cfg.Acquire(acquireContext{ctx, x.deadline}, SlotRequest{x.svc, x.workspace, x.snap.HomeRegion(x.r), exclude})
	if err != nil {
		return permit, f.acquireRefusal(ctx, x, err)
	}
	x.life.Transition(StatePermitted)
	x.snap = f.cfg.Snapshot()
	refusal := f.authorize(x)
	if refusal == nil && f.tooLate(x) {
		refusal = &Refusal{http.StatusGatewayTimeout, "deadline_too_short", NotRun, 0}
	}
	if refusal != nil {
		permit.Release(schema.PermitResult_PERMIT_RESULT_UNUSED)
		refusal.Outcome = x.life.Outcome()
	}
	return permit, refusal
}

func (f *Forwarder) acquireRefusal(ctx context.Context, x *exchange, err error) *Refusal {
	refusal := &Refusal{http.StatusServiceUnavailable, "no_capacity", x.life.Outcome(), clock.Second}
	if e := (*AcquireError)(nil); errors.As(err, &e) {
		refusal.Reason, refusal.RetryAfter = e.Reason, max(e.RetryAfter, 1)
	} else if x.r.Context().Err() != nil {
		refusal.Status, refusal.Reason = statusCallerGone, "caller_gone"
	} else if ctx.Err() != nil {
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, "deadline_passed"
	}
	return refusal
}

// attempt is one use of a permit.
type attempt struct {
	f      *Forwarder
	x      *exchange
	permit Permit
	cancel func(error)
	dog    *watchdog
	// flight follows the current RoundTrip; it is first unless that was repeated.
	flight *flight
	first  flight
	url    url.URL
	up     atomic.Pointer[upload]
	sentAt clock.Millis
	// answering is set before the first byte of the answer goes to the caller.
	answering atomic.Bool
	// callerStalled says that the watchdog ended a read of the caller's body.
	callerStalled atomic.Bool
	result        schema.PermitResult
}

// try acquires a slot and uses it. It returns a refusal, and whether to try
// again on another backend server.
func (a *attempt) try(exclude []string) (*Refusal, bool) {
	ctx, cancel := context.WithCancelCause(a.x.r.Context())
	defer cancel(nil)
	a.cancel, a.flight.cancel = cancel, cancel
	a.dog = newWatchdog(0, a.x.deadline, a.stop)
	defer a.finish()
	permit, refusal := a.f.acquire(ctx, a.x, exclude)
	if refusal != nil {
		return refusal, false
	}
	a.permit, a.x.server = permit, permit.BackendServer
	return a.run(ctx)
}

// stop ends the attempt; the watchdog calls it.
func (a *attempt) stop(cause error) {
	// Noted before the read is ended below.
	up := a.up.Load()
	a.callerStalled.Store(up != nil && up.reading.Load())
	a.cancel(cause)
	if up != nil && !up.done.Load() {
		unblock(a.x.w)
	}
	if a.answering.Load() {
		_ = http.NewResponseController(a.x.w).SetWriteDeadline(time.Now())
	}
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context) (*Refusal, bool) {
	defer func() { a.permit.Release(a.result) }()
	ctx, span := a.f.cfg.Tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	resp, err := a.send(ctx)
	defer a.finish()
	if err != nil {
		return a.fail(ctx, err)
	}
	defer resp.Body.Close()
	a.f.silence.RecordResponse(a.permit.BackendServer, a.f.cfg.Clock.Now())
	return a.answer(ctx, resp)
}

// send makes the request and waits for the answer's header.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	x, f := a.x, a.f
	deadline := x.deadline
	if !x.buffered {
		if !x.hard {
			// The time of an upload does not count; what is left now counts from its end.
			deadline = time.Time{}
		}
		a.up.Store(&upload{body: x.r.Body, limit: int64(x.svc.Config().GetMaxBodyBytes())})
	}
	a.dog.watch(f.silenceTimeout(x), deadline)
	a.flight.once = !x.repeatable
	if x.life.Copies() == 0 && x.tries == 1 {
		f.budget.CountRequest(x.snap.Config().GetSettings().GetRetryBudgetPercent())
	}
	out := a.outgoing(ctx)
	transport, fresh := f.cfg.Transport, f.fresh
	if f.cfg.Transports != nil {
		transport, fresh = f.cfg.Transports.of(x.snap, x.svc)
	}
	if !x.repeatable && !x.buffered {
		// A body that cannot be sent again gets a connection that cannot be stale.
		transport = fresh
	}
	a.sentAt = f.cfg.Clock.Now()
	x.life.Transition(StateSent)
	resp, err := transport.RoundTrip(out)
	if err != nil && a.flight.stale && a.flight.fail() == 0 && ctx.Err() == nil {
		// The idle connection was too old to use, and nothing was written to it.
		a.flight = &flight{once: true, cancel: a.cancel}
		resp, err = fresh.RoundTrip(a.outgoing(ctx))
	}
	if err == nil && a.flight.foreign() {
		_ = resp.Body.Close()
		return nil, errForeign
	}
	return resp, err
}

// finish ends the upload, so that no read of the caller's body outlives the attempt.
func (a *attempt) finish() {
	a.dog.stop()
	if up := a.up.Load(); up != nil && up.started.Load() && !up.done.Load() {
		unblock(a.x.w)
	}
}

// emptyRequest is copied for each attempt.
var emptyRequest = &http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}

// outgoing makes the request for the backend server. It has no GetBody, and no
// header by which net/http would take it for repeatable.
func (a *attempt) outgoing(ctx context.Context) *http.Request {
	x := a.x
	a.url = *x.r.URL
	a.url.Scheme, a.url.Host = "http", a.permit.Address
	out := emptyRequest.WithContext(a.flight.context(ctx))
	out.Method, out.URL, out.Host, out.ContentLength = x.r.Method, &a.url, x.r.Host, x.r.ContentLength
	out.Header = requestHeader(x.r.Header, x.workspace, x.r.RemoteAddr, a.trusted())
	left := max(time.Until(x.deadline).Milliseconds(), 1)
	out.Header[DeadlineHeader] = []string{strconv.FormatInt(left, 10)}
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(out.Header))
	switch {
	case !x.buffered:
		up := a.up.Load()
		out.Trailer = announcedTrailer(x.r.Trailer)
		remaining := time.Until(x.deadline)
		up.touch, up.ended = a.dog.touch, func() {
			a.copyTrailer(out)
			if !x.hard {
				a.dog.setDeadline(time.Now().Add(remaining))
			}
		}
		out.Body = up
	case len(x.body) > 0:
		out.Header.Del("Expect")
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	case !x.repeatable && (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead || x.r.Method == http.MethodOptions):
		// net/http replays these when they have no body. It does not replay a body
		// that it cannot rewind, even an empty one. For repeatable requests the
		// guard at the connection is enough and spares the cost of a body.
		out.Body = io.NopCloser(bytes.NewReader(nil))
	default:
		out.Body = http.NoBody
	}
	return out
}

func (a *attempt) trusted() bool {
	addr, ok := peerAddr(a.x.r.RemoteAddr)
	return ok && a.x.snap.IsTrustedProxy(addr)
}

func (a *attempt) copyTrailer(out *http.Request) {
	for k := range out.Trailer {
		out.Trailer[k] = a.x.r.Trailer[k]
	}
}

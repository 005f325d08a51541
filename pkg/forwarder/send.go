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
	// maxAttempts limits the permits that one request may use.
	maxAttempts = 3
	// defaultProgressTimeout applies if the service sets none.
	defaultProgressTimeout = 10 * clock.Second
	// minRetryTimeoutFactor is the smallest multiple of the service time to which the wait for a
	// response is shortened to leave time for a retry. Slow responses take a few service times.
	minRetryTimeoutFactor = 10
	// minSilentWait is the shortest wait without a response that counts against a backend server.
	minSilentWait = time.Second
	// statusCallerGone is logged if the caller closed its connection. There is no standard
	// status for this, and no one receives it.
	statusCallerGone = 499
)

func (f *Forwarder) progressTimeout(x *exchange) time.Duration {
	ms := clock.Millis(x.svc.Config().GetProgressTimeoutMs())
	if ms == 0 {
		ms = defaultProgressTimeout
	}
	return ms.Duration()
}

// firstByteTimeout returns the longest wait for the first byte of a response. An idempotent
// request with a buffered body keeps half of its remaining time for another server, if that
// half is at least minRetryTimeoutFactor service times and the budget allows a retry.
func (f *Forwarder) firstByteTimeout(x *exchange) time.Duration {
	timeout := f.progressTimeout(x)
	serviceTime := clock.Millis(x.svc.Config().GetServiceTimeMs()).Duration()
	halfTimeLeft := time.Until(x.deadline) / 2
	if x.idempotent && x.buffered && x.attempts < maxAttempts && serviceTime > 0 && halfTimeLeft >= minRetryTimeoutFactor*serviceTime && f.retryBudget.CanRetry() {
		timeout = min(timeout, halfTimeLeft)
	}
	return timeout
}

// sendWithRetries acquires a slot and sends the request. Where allowed, it retries on
// another backend server.
func (f *Forwarder) sendWithRetries(x *exchange) *Refusal {
	var exclude []string
	for {
		x.attempts++
		a := &attempt{f: f, x: x}
		a.tracker = &a.firstTracker
		refusal, retry := a.acquireAndSend(exclude)
		if !retry {
			return refusal
		}
		f.cfg.Meter.Add("retries", 1)
		exclude = append(exclude, a.permit.BackendServer)
	}
}

// acquireContext ends at the request's deadline. The watchdog of the attempt cancels it, so
// that it needs no timer of its own.
type acquireContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the request's deadline.
func (c acquireContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Err returns context.DeadlineExceeded if the watchdog cancelled the context at the deadline.
func (c acquireContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), errDeadlinePassed) {
		return context.DeadlineExceeded
	}
	return err
}

// acquire waits for a slot. Afterwards it checks the key and the deadline again, because
// the key may have been revoked during the wait.
func (f *Forwarder) acquire(ctx context.Context, x *exchange, exclude []string) (Permit, *Refusal) {
	ctx, span := f.cfg.Tracer.Start(ctx, "acquire")
	defer span.End()
	permit, err := f.cfg.Acquire(acquireContext{ctx, x.deadline}, SlotRequest{x.svc, x.workspace, x.snap.HomeRegion(x.r), exclude})
	if err != nil {
		return permit, f.acquireRefusal(ctx, x, err)
	}
	x.lifecycle.Transition(StatePermitted)
	x.snap = f.cfg.Snapshot()
	refusal := f.authorize(x)
	if refusal == nil && f.deadlineTooShort(x) {
		refusal = &Refusal{http.StatusGatewayTimeout, "deadline_too_short", NotRun, 0}
	}
	if refusal != nil {
		permit.Release(schema.PermitResult_PERMIT_RESULT_UNUSED)
		refusal.Outcome = x.lifecycle.Outcome()
	}
	return permit, refusal
}

func (f *Forwarder) acquireRefusal(ctx context.Context, x *exchange, err error) *Refusal {
	refusal := &Refusal{http.StatusServiceUnavailable, "no_capacity", x.lifecycle.Outcome(), clock.Second}
	if e := (*AcquireError)(nil); errors.As(err, &e) {
		refusal.Reason, refusal.RetryAfter = e.Reason, max(e.RetryAfter, 1)
	} else if x.r.Context().Err() != nil {
		refusal.Status, refusal.Reason = statusCallerGone, "caller_gone"
	} else if ctx.Err() != nil {
		refusal.Status, refusal.Reason = http.StatusGatewayTimeout, "deadline_passed"
	}
	return refusal
}

// attempt is one attempt to send a request, with one permit.
type attempt struct {
	f        *Forwarder
	x        *exchange
	permit   Permit
	cancel   func(error)
	watchdog *watchdog
	// tracker tracks the connections of the current RoundTrip. It points to firstTracker
	// unless the request had to move to a new connection.
	tracker      *connTracker
	firstTracker connTracker
	url          url.URL
	upload       atomic.Pointer[upload]
	sentAt       clock.Millis
	// responseStarted is set before the first byte of the response is sent to the caller.
	responseStarted atomic.Bool
	// callerStalled means that the watchdog fired during a read of the caller's body.
	callerStalled atomic.Bool
	result        schema.PermitResult
}

// acquireAndSend acquires a slot and sends the request. It returns a refusal, or true if
// the request may be retried on another backend server.
func (a *attempt) acquireAndSend(exclude []string) (*Refusal, bool) {
	ctx, cancel := context.WithCancelCause(a.x.r.Context())
	defer cancel(nil)
	a.cancel, a.tracker.cancel = cancel, cancel
	a.watchdog = newWatchdog(0, a.x.deadline, a.cancelWithCause)
	defer a.cleanUp()
	permit, refusal := a.f.acquire(ctx, a.x, exclude)
	if refusal != nil {
		return refusal, false
	}
	a.permit, a.x.server = permit, permit.BackendServer
	return a.sendAndForward(ctx)
}

// cancelWithCause cancels the attempt. The watchdog calls it.
func (a *attempt) cancelWithCause(cause error) {
	// Must be stored before interruptRead ends the read.
	up := a.upload.Load()
	a.callerStalled.Store(up != nil && up.reading.Load())
	a.cancel(cause)
	if up != nil && !up.done.Load() {
		interruptRead(a.x.w)
	}
	if a.responseStarted.Load() {
		_ = http.NewResponseController(a.x.w).SetWriteDeadline(time.Now())
	}
}

// sendAndForward sends the request, forwards the response and releases the permit.
func (a *attempt) sendAndForward(ctx context.Context) (*Refusal, bool) {
	defer func() { a.permit.Release(a.result) }()
	ctx, span := a.f.cfg.Tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	resp, err := a.send(ctx)
	defer a.cleanUp()
	if err != nil {
		return a.handleError(ctx, err)
	}
	defer resp.Body.Close()
	a.f.silenceTracker.RecordResponse(a.permit.BackendServer, a.f.cfg.Clock.Now())
	return a.handleResponse(ctx, resp)
}

// send sends the request and waits for the header of the response.
func (a *attempt) send(ctx context.Context) (*http.Response, error) {
	x, f := a.x, a.f
	deadline := x.deadline
	if !x.buffered {
		if !x.fixedDeadline {
			// Upload time does not count: the time left at this point runs from the end of the upload.
			deadline = time.Time{}
		}
		a.upload.Store(&upload{body: x.r.Body, limit: int64(x.svc.Config().GetMaxBodyBytes())})
	}
	a.watchdog.setLimits(f.firstByteTimeout(x), deadline)
	a.tracker.nonIdempotent = !x.idempotent
	if x.lifecycle.Copies() == 0 && x.attempts == 1 {
		f.retryBudget.CountRequest(x.snap.Config().GetSettings().GetRetryBudgetPercent())
	}
	out := a.backendRequest(ctx)
	transport, fresh := f.cfg.Transport, f.freshTransport
	if f.cfg.Transports != nil {
		transport, fresh = f.cfg.Transports.forService(x.snap, x.svc)
	}
	if !x.idempotent && !x.buffered {
		// A streamed body can be sent only once, so it gets a connection that cannot be stale.
		transport = fresh
	}
	a.sentAt = f.cfg.Clock.Now()
	x.lifecycle.Transition(StateSent)
	resp, err := transport.RoundTrip(out)
	if err != nil && a.tracker.idleTooLong && a.tracker.abort() == 0 && ctx.Err() == nil {
		// The connection had been idle for too long, and nothing was written to it.
		a.tracker = &connTracker{nonIdempotent: true, cancel: a.cancel}
		resp, err = fresh.RoundTrip(a.backendRequest(ctx))
	}
	if err == nil && a.tracker.mismatched() {
		_ = resp.Body.Close()
		return nil, errMismatchedResponse
	}
	return resp, err
}

// cleanUp stops the watchdog and ends the upload, so that no read of the caller's body
// outlives the attempt.
func (a *attempt) cleanUp() {
	a.watchdog.stop()
	if up := a.upload.Load(); up != nil && up.started.Load() && !up.done.Load() {
		interruptRead(a.x.w)
	}
}

// emptyRequest is the template that each attempt copies.
var emptyRequest = &http.Request{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}

// backendRequest returns the request to the backend server. It has no GetBody and no header
// that would make net/http treat it as replayable.
func (a *attempt) backendRequest(ctx context.Context) *http.Request {
	x := a.x
	a.url = *x.r.URL
	a.url.Scheme, a.url.Host = "http", a.permit.Address
	out := emptyRequest.WithContext(a.tracker.withTrace(ctx))
	out.Method, out.URL, out.Host, out.ContentLength = x.r.Method, &a.url, x.r.Host, x.r.ContentLength
	out.Header = requestHeader(x.r.Header, x.workspace, x.r.RemoteAddr, a.fromTrustedProxy())
	left := max(time.Until(x.deadline).Milliseconds(), 1)
	out.Header[DeadlineHeader] = []string{strconv.FormatInt(left, 10)}
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(out.Header))
	switch {
	case !x.buffered:
		up := a.upload.Load()
		out.Trailer = announcedTrailer(x.r.Trailer)
		remaining := time.Until(x.deadline)
		up.onRead, up.onEOF = a.watchdog.recordProgress, func() {
			a.copyTrailer(out)
			if !x.fixedDeadline {
				a.watchdog.setDeadline(time.Now().Add(remaining))
			}
		}
		out.Body = up
	case len(x.body) > 0:
		out.Header.Del("Expect")
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	case !x.idempotent && (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead || x.r.Method == http.MethodOptions):
		// net/http replays these methods if they have no body. It does not replay a body that
		// it cannot rewind, even an empty one. For idempotent requests the check in
		// connTracker is enough and saves the cost of a body.
		out.Body = io.NopCloser(bytes.NewReader(nil))
	default:
		out.Body = http.NoBody
	}
	return out
}

func (a *attempt) fromTrustedProxy() bool {
	addr, ok := peerAddr(a.x.r.RemoteAddr)
	return ok && a.x.snap.IsTrustedProxy(addr)
}

func (a *attempt) copyTrailer(out *http.Request) {
	for k := range out.Trailer {
		out.Trailer[k] = a.x.r.Trailer[k]
	}
}

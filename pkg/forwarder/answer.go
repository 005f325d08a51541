package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// errMismatchedResponse means that response bytes arrived before the request was sent, so
// that the response may belong to another request.
var errMismatchedResponse = errors.New("response bytes received before the request was sent")

// maxDiscard limits how much of a discarded response body is read.
const maxDiscard = 4 << 10

// copyBuffers holds the buffers for copying response bodies, one per response.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// Results of a permit. UNUSED says nothing about the server, because the caller or a single
// connection failed. FAILED counts against the server.
const (
	resultUnused = schema.PermitResult_PERMIT_RESULT_UNUSED
	resultFailed = schema.PermitResult_PERMIT_RESULT_FAILED
)

// handleError turns an error of the transport into a refusal or a retry.
func (a *attempt) handleError(ctx context.Context, err error) (*Refusal, bool) {
	x := a.x
	// Stops further writes before the copies are counted.
	copies := a.tracker.abort()
	if opErr := (*net.OpError)(nil); a.f.untrackedConns && !(errors.As(err, &opErr) && opErr.Op == "dial") {
		copies = max(copies, 1)
	}
	a.countCopies(copies)
	if copies == 0 {
		x.lifecycle.RevertSend()
	}
	refusal := a.classifyError(ctx, err, copies)
	if a.allowRetry(refusal, copies) {
		x.lifecycle.Transition(StateAdmitted)
		return nil, true
	}
	refusal.Outcome = x.lifecycle.Outcome()
	if refusal.Outcome == MayHaveRun && !x.idempotent {
		refusal.RetryAfter = 0
	}
	if up := a.upload.Load(); up != nil && up.started.Load() && !up.done.Load() {
		x.w.Header().Set("Connection", "close")
	}
	return refusal, false
}

func (a *attempt) countCopies(n int) {
	a.f.cfg.Meter.Add("sent", int64(n))
}

// classifyError returns the refusal for a failed attempt, without its outcome, and sets the
// permit's result.
func (a *attempt) classifyError(ctx context.Context, err error, copies int) *Refusal {
	a.result = resultUnused
	cause := context.Cause(ctx)
	up := a.upload.Load()
	uploading := up != nil && !up.done.Load()
	switch {
	case up != nil && up.tooLarge.Load():
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large"}
	case errors.Is(cause, errNoProgress) && a.callerStalled.Load():
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "upload_stalled", RetryAfter: clock.Second}
	case errors.Is(cause, errNoProgress):
		a.recordSilence(0)
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "backend_silent", RetryAfter: clock.Second}
	case errors.Is(cause, errDeadlinePassed):
		if !uploading {
			a.recordSilence(minSilentWait)
		}
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "deadline_passed"}
	case a.x.r.Context().Err() != nil:
		// Must follow the cases above: they interrupt reads from the caller, which also
		// cancels its context.
		return &Refusal{Status: statusCallerGone, Reason: "caller_gone"}
	case up != nil && up.failed.Load():
		return &Refusal{Status: http.StatusBadRequest, Reason: "upload_cut"}
	case errors.Is(err, errMismatchedResponse):
		return &Refusal{Status: http.StatusBadGateway, Reason: "foreign_answer"}
	case copies == 0:
		a.result = resultFailed
		return &Refusal{Status: http.StatusBadGateway, Reason: "connect_failed", RetryAfter: clock.Second}
	default:
		// The server may have closed a reused connection because of an idle timeout.
		if !a.tracker.reused {
			a.result = resultFailed
		}
		return &Refusal{Status: http.StatusBadGateway, Reason: "backend_failed", RetryAfter: clock.Second}
	}
}

// recordSilence counts an unanswered request against the server if the wait was long enough
// and the other connections to it were silent too.
func (a *attempt) recordSilence(minWait time.Duration) {
	waited := (a.f.cfg.Clock.Now() - a.sentAt).Duration()
	minWait = max(minWait, 4*clock.Millis(a.x.svc.Config().GetServiceTimeMs()).Duration())
	if waited >= minWait && a.f.silenceTracker.RecordSilence(a.permit.BackendServer, a.sentAt) {
		a.result = resultFailed
	}
}

// allowRetry reports whether the request may be retried on another server. A request of
// which any byte was sent must be idempotent, and its retry is taken from the budget. If
// nothing was sent, the retry adds no load to a backend server and needs no budget.
func (a *attempt) allowRetry(refusal *Refusal, copies int) bool {
	x, up := a.x, a.upload.Load()
	switch {
	case !slices.Contains([]string{"backend_silent", "foreign_answer", "connect_failed", "backend_failed"}, refusal.Reason):
		return false
	case up != nil && up.started.Load():
		return false
	case x.attempts >= maxAttempts || a.f.deadlineTooShort(x) || time.Until(x.deadline) <= 0:
		return false
	case copies == 0:
		return true
	default:
		return x.idempotent && a.f.retryBudget.TakeRetry()
	}
}

// handleResponse forwards the response, or asks for a retry after a 502, 503 or 504 if one is allowed.
func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) (*Refusal, bool) {
	x := a.x
	a.countCopies(a.tracker.copies + 1)
	a.result = schema.PermitResult_PERMIT_RESULT_OK
	switch resp.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		a.result = resultFailed
	}
	if resp.StatusCode != http.StatusInternalServerError && a.result == resultFailed &&
		a.allowRetry(&Refusal{Reason: "backend_failed"}, 1) {
		// Reading a short body to its end allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscard)
		x.lifecycle.Transition(StateAdmitted)
		return nil, true
	}
	if reason := unforwardableReason(x.r, resp); reason != "" {
		a.result = resultFailed
		return &Refusal{http.StatusBadGateway, reason, x.lifecycle.Outcome(), 0}, false
	}
	x.lifecycle.Transition(StateResponding)
	a.responseStarted.Store(true)
	a.watchdog.setLimits(a.f.progressTimeout(x), time.Time{})
	a.f.recordClaim(x, resp.StatusCode)
	x.status = resp.StatusCode
	a.forwardResponse(ctx, resp)
	return nil, false
}

// unforwardableReason returns the reason code for which a response cannot be forwarded, or an empty
// string. A response that ends with its connection cannot be distinguished from a truncated one.
func unforwardableReason(r *http.Request, resp *http.Response) string {
	switch {
	case resp.StatusCode < http.StatusOK:
		return "unexpected_upgrade"
	case resp.ContentLength >= 0 || resp.Body == http.NoBody || r.Method == http.MethodHead:
		return ""
	case resp.Close && !slices.Contains(resp.TransferEncoding, "chunked"):
		// net/http sets Close on every response that is delimited by the end of its connection.
		return "answer_length_unknown"
	case !r.ProtoAtLeast(1, 1):
		// For an HTTP/1.0 caller the end of the connection marks the end of the body.
		return "caller_needs_http_1_1"
	default:
		return ""
	}
}

// forwardResponse copies the response to the caller. If it cannot be completed, the
// caller's connection must be closed, because a truncated body could look complete.
func (a *attempt) forwardResponse(ctx context.Context, resp *http.Response) {
	x := a.x
	header := x.w.Header()
	copyResponseHeader(header, resp.Header, a.permit.BackendServer)
	announced := announcedTrailer(resp.Trailer)
	for k := range announced {
		header.Add("Trailer", k)
	}
	x.w.WriteHeader(resp.StatusCode)
	err := a.copyBody(resp)
	if err == nil {
		for k := range announced {
			header[k] = resp.Trailer[k]
		}
		return
	}
	x.abortHandler = true
	a.classifyCutResponse(ctx, err)
	a.f.cfg.Meter.Add("answers_cut", 1)
}

// callerError marks an error of the caller's connection.
type callerError struct{ error }

func (a *attempt) copyBody(resp *http.Response) error {
	buf := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := a.x.w.(http.Flusher)
	for {
		n, err := resp.Body.Read(buf[:])
		a.watchdog.recordProgress()
		if n > 0 {
			if _, err := a.x.w.Write(buf[:n]); err != nil {
				return callerError{err}
			}
			if flusher != nil && resp.ContentLength < 0 {
				flusher.Flush()
			}
			a.watchdog.recordProgress()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *attempt) classifyCutResponse(ctx context.Context, err error) {
	x := a.x
	var caller callerError
	switch {
	case errors.As(err, &caller) && errors.Is(context.Cause(ctx), errNoProgress):
		x.reason, a.result = "caller_stalled", resultUnused
	case errors.Is(context.Cause(ctx), errNoProgress):
		x.reason, a.result = "answer_stalled", resultUnused
		a.recordSilence(0)
	case errors.As(err, &caller) || x.r.Context().Err() != nil:
		x.reason, a.result = "caller_gone", resultUnused
	default:
		x.reason, a.result = "answer_cut", resultFailed
	}
	x.outcome = MayHaveRun
}

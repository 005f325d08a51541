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

// errMismatchedResponse says that a connection held bytes before the request was sent, so
// the answer on it cannot be trusted to be the request's own.
var errMismatchedResponse = errors.New("answer bytes came before the request")

// maxDiscard bounds what is read of an answer that is not passed on.
const maxDiscard = 4 << 10

// copyBuffers hold bodies on their way; one is used for each answer.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// Results of a permit. UNUSED says nothing about the server: the caller or a
// single connection failed. FAILED blames the server.
const (
	resultUnused = schema.PermitResult_PERMIT_RESULT_UNUSED
	resultFailed = schema.PermitResult_PERMIT_RESULT_FAILED
)

// handleError turns an error of the transport into a refusal or a retry.
func (a *attempt) handleError(ctx context.Context, err error) (*Refusal, bool) {
	x := a.x
	// Stops any write before the copies are counted.
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

// classifyError names the cause of a failed attempt and sets the permit's result.
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
		// After the causes above, which end reads from the caller and with them its context.
		return &Refusal{Status: statusCallerGone, Reason: "caller_gone"}
	case up != nil && up.failed.Load():
		return &Refusal{Status: http.StatusBadRequest, Reason: "upload_cut"}
	case errors.Is(err, errMismatchedResponse):
		return &Refusal{Status: http.StatusBadGateway, Reason: "foreign_answer"}
	case copies == 0:
		a.result = resultFailed
		return &Refusal{Status: http.StatusBadGateway, Reason: "connect_failed", RetryAfter: clock.Second}
	default:
		// A reused connection may have been closed by an idle timeout.
		if !a.tracker.reused {
			a.result = resultFailed
		}
		return &Refusal{Status: http.StatusBadGateway, Reason: "backend_failed", RetryAfter: clock.Second}
	}
}

// recordSilence blames the server for a request without an answer if the wait
// was long enough and other connections were silent too.
func (a *attempt) recordSilence(minWait time.Duration) {
	waited := (a.f.cfg.Clock.Now() - a.sentAt).Duration()
	minWait = max(minWait, 4*clock.Millis(a.x.svc.Config().GetServiceTimeMs()).Duration())
	if waited >= minWait && a.f.silenceTracker.RecordSilence(a.permit.BackendServer, a.sentAt) {
		a.result = resultFailed
	}
}

// allowRetry decides about another attempt on another server. A request of which
// nothing was sent needs no budget: it adds no load to a backend server.
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

// handleResponse passes the handleResponse on, or retries when the server refused the request.
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
		// Reading a short body to its end keeps the connection in use.
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

// unforwardableReason names what keeps an answer from being passed on. An answer that ends with
// the connection cannot be told from one that was cut.
func unforwardableReason(r *http.Request, resp *http.Response) string {
	switch {
	case resp.StatusCode < http.StatusOK:
		return "unexpected_upgrade"
	case resp.ContentLength >= 0 || resp.Body == http.NoBody || r.Method == http.MethodHead:
		return ""
	case resp.Close && !slices.Contains(resp.TransferEncoding, "chunked"):
		// net/http sets Close on every answer that ends with its connection.
		return "answer_length_unknown"
	case !r.ProtoAtLeast(1, 1):
		// To an HTTP/1.0 caller the end of the connection is the end of the body.
		return "caller_needs_http_1_1"
	default:
		return ""
	}
}

// forwardResponse copies the answer to the caller. When it cannot be completed, cutting the
// connection is the only way to keep a short body from looking whole.
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

// callerError is an error of the caller's side.
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

// Package forwarder carries a request from a caller to a backend server and
// the answer back.
package forwarder

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"catkindyke/pkg/claimer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/tracer"
)

// Headers of requests and answers.
const (
	// DeadlineHeader carries the time left for a request, in milliseconds.
	DeadlineHeader = "Catkindyke-Deadline-Ms"
	// WorkspaceHeader names the workspace towards backend servers.
	WorkspaceHeader = "Catkindyke-Workspace"
	// ServerHeader names the backend server in an answer.
	ServerHeader = "Catkindyke-Backend-Server"
	// IdempotencyKeyHeader carries the caller's key of a request.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RecordedHeader marks an answer that holds only the recorded status of an earlier request.
	RecordedHeader = "Catkindyke-Recorded"
)

// defaultDeadline is used when neither the request nor the service names one.
const defaultDeadline = 30 * clock.Second

// Permit is a granted slot of a backend server.
type Permit struct {
	// BackendServer is the server's name.
	BackendServer string
	// Address is the server's host:port.
	Address string
	// Region is the server's region.
	Region string
	// Release gives the slot back; it is called once.
	Release func(schema.PermitResult)
}

// SlotRequest asks for a slot of a backend server.
type SlotRequest struct {
	// Service is the service that the request is for.
	Service *snapshotter.Service
	// Workspace is the workspace of the key; empty on open routes.
	Workspace string
	// HomeRegion is the region of the caller's site.
	HomeRegion string
	// Exclude names the backend servers that the request has already tried.
	Exclude []string
}

// AcquireError says why no slot was granted.
type AcquireError struct {
	// Reason is a stable word for the cause, in snake case.
	Reason string
	// RetryAfter is the time after which to ask again.
	RetryAfter clock.Millis
}

// Error returns the reason.
func (e *AcquireError) Error() string { return "no slot granted: " + e.Reason }

// Config configures a forwarder. All fields are needed.
type Config struct {
	// Snapshot returns the view of control state in force.
	Snapshot func() *snapshotter.Snapshot
	// Admit takes a token of a workspace, or says why not and when to try again.
	// It may wait for a short time while tokens are borrowed from another host.
	Admit func(ctx context.Context, workspace string) (limiter.Verdict, clock.Millis)
	// Acquire waits for a slot until the context ends. Its errors are AcquireErrors.
	Acquire func(ctx context.Context, req SlotRequest) (Permit, error)
	// Clock tells the time.
	Clock clock.Clock
	// Log receives one line for each request.
	Log zerolog.Logger
	// Meter counts requests and refusals.
	Meter *meter.Meter
	// Tracer makes the spans of each hop.
	Tracer trace.Tracer
	// Transport sends requests to backend servers; NewTransport makes one.
	Transport http.RoundTripper
	// Transports is used instead of Transport when set.
	Transports *Transports
	// Claims records idempotency keys; requests that need a claim are refused when it is nil.
	Claims *claimer.Claimer
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	cfg            Config
	retryBudget    RetryBudget
	silenceTracker *SilenceTracker
	// freshTransport opens a connection for each request.
	freshTransport http.RoundTripper
	// untrackedConns says that the transport does not tell which connections it uses, so
	// that a failed request counts as sent.
	untrackedConns bool
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{cfg: cfg, silenceTracker: NewSilenceTracker(), freshTransport: cfg.Transport, untrackedConns: true}
	if t, ok := cfg.Transport.(*http.Transport); ok {
		fresh := t.Clone()
		fresh.DisableKeepAlives = true
		f.freshTransport, f.untrackedConns = fresh, false
	}
	if cfg.Transports != nil {
		f.untrackedConns = false
	}
	return f
}

// exchange is the state of one request.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	start     clock.Millis
	snap      *snapshotter.Snapshot
	svc       *snapshotter.Service
	workspace string
	server    string
	status    int
	reason    string
	outcome   Outcome
	lifecycle Lifecycle
	// idempotent says that the configuration allows the request to run twice.
	idempotent bool
	// deadline is the time until which the answer must begin; hard says that the
	// caller named it, so that it is not extended for an upload.
	deadline      time.Time
	fixedDeadline bool
	// body is the whole body when buffered is set.
	body     []byte
	buffered bool
	claim    *claimer.Claim
	attempts int
	// abortHandler says that the connection must be cut because the answer is incomplete.
	abortHandler bool
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := tracer.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	x := &exchange{w: w, r: r.WithContext(ctx), start: f.cfg.Clock.Now(), snap: f.cfg.Snapshot()}
	// Runs also when the connection is aborted by a panic.
	defer f.recordRequest(x, span)
	if refusal := f.serve(x); refusal != nil {
		x.status, x.reason, x.outcome = refusal.Status, refusal.Reason, refusal.Outcome
		f.cfg.Meter.Add("refused_"+refusal.Reason, 1)
		refusal.Write(w)
	}
	if x.abortHandler {
		panic(http.ErrAbortHandler)
	}
}

func (f *Forwarder) recordRequest(x *exchange, span trace.Span) {
	span.SetAttributes(attribute.String("workspace", x.workspace), attribute.Int("status", x.status),
		attribute.String("reason", x.reason), attribute.Int("copies", x.lifecycle.Copies()))
	defer span.End()
	f.cfg.Meter.Add("requests", 1)
	f.cfg.Log.Info().Str("method", x.r.Method).Str("path", x.r.URL.Path).
		Str("workspace", x.workspace).Str("backend_server", x.server).Int("status", x.status).
		Str("reason", x.reason).Str("outcome", string(x.outcome)).Int("copies", x.lifecycle.Copies()).
		Int64("duration_ms", int64(f.cfg.Clock.Now()-x.start)).
		Str("trace", span.SpanContext().TraceID().String()).Msg("request")
}

// serve runs the request through its states and returns a refusal, or nil when
// an answer was passed on.
func (f *Forwarder) serve(x *exchange) *Refusal {
	if !x.snap.Ready() {
		return &Refusal{http.StatusServiceUnavailable, "not_ready", NotRun, clock.Second}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(x.r.URL.Path, "/"), "/")
	svc, ok := x.snap.Service(name)
	if !ok {
		return &Refusal{http.StatusNotFound, "unknown_service", NotRun, 0}
	}
	x.svc, x.idempotent = svc, svc.Idempotent(x.r.Method, x.r.URL.Path)
	for _, step := range []func(*exchange) *Refusal{f.checkRequest, f.authorize, f.admit, f.readBody, f.claimIdempotencyKey} {
		if refusal := step(x); refusal != nil {
			return refusal
		}
	}
	if x.status != 0 {
		return nil // answered from a recorded claim
	}
	refusal := f.sendWithRetries(x)
	f.releaseUnusedClaim(x)
	return refusal
}

// checkRequest refuses what cannot be forwarded, before it costs anything.
func (f *Forwarder) checkRequest(x *exchange) *Refusal {
	if refusal := checkHeader(x.r); refusal != nil {
		return refusal
	}
	if limit := x.svc.Config().GetMaxBodyBytes(); limit > 0 && x.r.ContentLength > 0 && uint64(x.r.ContentLength) > limit {
		return &Refusal{http.StatusRequestEntityTooLarge, "body_too_large", NotRun, 0}
	}
	timeLeft, ok := parseDeadline(x.r.Header)
	if !ok {
		return &Refusal{http.StatusBadRequest, "bad_deadline", NotRun, 0}
	}
	serviceDeadline := clock.Millis(x.svc.Config().GetDeadlineMs())
	if serviceDeadline == 0 {
		serviceDeadline = defaultDeadline
	}
	x.fixedDeadline = timeLeft > 0 && timeLeft <= serviceDeadline
	if !x.fixedDeadline {
		timeLeft = serviceDeadline
	}
	x.deadline = time.Now().Add(timeLeft.Duration())
	if f.deadlineTooShort(x) {
		return &Refusal{http.StatusGatewayTimeout, "deadline_too_short", NotRun, 0}
	}
	return nil
}

// deadlineTooShort reports whether less time is left than the service usually takes.
func (f *Forwarder) deadlineTooShort(x *exchange) bool {
	serviceTime := clock.Millis(x.svc.Config().GetServiceTimeMs()).Duration()
	return time.Until(x.deadline) < serviceTime
}

// authorize checks the key against the control state in force now.
func (f *Forwarder) authorize(x *exchange) *Refusal {
	if x.svc.Open(x.r.URL.Path) {
		return nil
	}
	workspace, err := x.snap.Authenticator().Workspace(x.r.Header)
	if err != nil {
		return &Refusal{http.StatusUnauthorized, "bad_key", NotRun, 0}
	}
	if f.cfg.Clock.Now() >= x.snap.KeyDeadline() {
		return &Refusal{http.StatusServiceUnavailable, "no_standing", NotRun, clock.Second}
	}
	x.workspace = workspace
	return nil
}

// admit charges the workspace's rate.
func (f *Forwarder) admit(x *exchange) *Refusal {
	if x.workspace != "" {
		verdict, retryAfter := f.cfg.Admit(x.r.Context(), x.workspace)
		f.countAdmission(x.workspace, verdict)
		switch verdict {
		case limiter.Admitted:
		case limiter.NoShare:
			return &Refusal{http.StatusServiceUnavailable, "no_share", NotRun, max(retryAfter, 1)}
		default:
			return &Refusal{http.StatusTooManyRequests, "rate_limited", NotRun, max(retryAfter, 1)}
		}
	}
	x.lifecycle.Transition(StateAdmitted)
	return nil
}

// Metrics of each workspace; its name follows.
const (
	AdmittedMetric  = "admitted_"
	OverLimitMetric = "over_limit_"
)

func (f *Forwarder) countAdmission(workspace string, verdict limiter.Verdict) {
	switch verdict {
	case limiter.Admitted:
		f.cfg.Meter.Add(AdmittedMetric+workspace, 1)
	case limiter.OverRate:
		f.cfg.Meter.Add(OverLimitMetric+workspace, 1)
	}
}

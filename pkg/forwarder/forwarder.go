// Package forwarder is the reverse proxy of a host: it forwards the requests of callers to
// backend servers and their responses to the callers. Hosts of package runner use it;
// hosts of package hoster use package steerer.
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

// Headers of requests and responses.
const (
	// DeadlineHeader carries the time left for a request, in milliseconds.
	DeadlineHeader = "Catkindyke-Deadline-Ms"
	// WorkspaceHeader tells backend servers the workspace of a request.
	WorkspaceHeader = "Catkindyke-Workspace"
	// ServerHeader carries the name of the backend server that sent a response.
	ServerHeader = "Catkindyke-Backend-Server"
	// IdempotencyKeyHeader carries the idempotency key that the caller gave a request.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RecordedHeader marks a response that contains only the recorded status of an earlier
	// request with the same idempotency key.
	RecordedHeader = "Catkindyke-Recorded"
)

// defaultDeadline applies if neither the request nor the service sets one.
const defaultDeadline = 30 * clock.Second

// Permit is the right to use one slot of a backend server.
type Permit struct {
	// BackendServer is the server's name.
	BackendServer string
	// Address is the server's host:port.
	Address string
	// Region is the server's region.
	Region string
	// Release returns the slot and records the result of its use. It must be called once.
	Release func(schema.PermitResult)
}

// SlotRequest describes a request for a slot of a backend server.
type SlotRequest struct {
	// Service is the service that the caller addressed.
	Service *snapshotter.Service
	// Workspace is the workspace that the key belongs to; empty on open routes.
	Workspace string
	// HomeRegion is the region of the caller's site.
	HomeRegion string
	// Exclude lists the backend servers that earlier attempts of the request used.
	Exclude []string
}

// AcquireError is the reason for which no slot was granted.
type AcquireError struct {
	// Reason is a stable reason code in snake case.
	Reason string
	// RetryAfter is the time to wait before asking again.
	RetryAfter clock.Millis
}

// Error returns the message, which contains the reason code.
func (e *AcquireError) Error() string { return "no slot granted: " + e.Reason }

// Config holds the settings and dependencies of a forwarder. Transports and Claims are
// optional, and Transport is unused if Transports is set.
type Config struct {
	// Snapshot returns the current snapshot of the control state.
	Snapshot func() *snapshotter.Snapshot
	// Admit takes a token from a workspace's token bucket, or returns why there is none and when
	// to try again. It may wait for a short time while tokens are borrowed from another host.
	Admit func(ctx context.Context, workspace string) (limiter.Verdict, clock.Millis)
	// Acquire waits for a slot until the context ends. Its errors are of type *AcquireError.
	Acquire func(ctx context.Context, req SlotRequest) (Permit, error)
	// Clock is the source of time for logged durations, the key deadline and silent servers.
	Clock clock.Clock
	// Log receives one line per request.
	Log zerolog.Logger
	// Meter receives the forwarder's metrics.
	Meter *meter.Meter
	// Tracer creates the spans of each request.
	Tracer trace.Tracer
	// Transport sends requests to backend servers; see NewTransport.
	Transport http.RoundTripper
	// Transports holds a transport for each service and replaces Transport if set.
	Transports *Transports
	// Claims records idempotency keys. If nil, requests that need a claim are refused.
	Claims *claimer.Claimer
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	cfg            Config
	retryBudget    RetryBudget
	silenceTracker *SilenceTracker
	// freshTransport opens a new connection for each request.
	freshTransport http.RoundTripper
	// untrackedConns is set if the connections of the transport cannot be tracked. A failed
	// request then counts as sent, unless the dial failed.
	untrackedConns bool
}

// New returns a forwarder with the given configuration.
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

// exchange is the state of one request and its response.
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
	// idempotent means that the configuration allows the request to run more than once.
	idempotent bool
	// deadline is the time by which the response must begin. fixedDeadline means that the
	// caller set it, so that an upload does not extend it.
	deadline      time.Time
	fixedDeadline bool
	// body is the complete request body if buffered is set.
	body     []byte
	buffered bool
	claim    *claimer.Claim
	attempts int
	// abortHandler means that the caller's connection must be closed because the response is incomplete.
	abortHandler bool
}

// ServeHTTP checks and forwards one request, or writes a refusal.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := tracer.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	x := &exchange{w: w, r: r.WithContext(ctx), start: f.cfg.Clock.Now(), snap: f.cfg.Snapshot()}
	// Deferred so that it also runs when ServeHTTP panics with http.ErrAbortHandler.
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

// serve takes the request through all steps. It returns a refusal, or nil if a response was forwarded.
func (f *Forwarder) serve(x *exchange) *Refusal {
	if !x.snap.Ready() {
		return &Refusal{http.StatusServiceUnavailable, "not_ready", NotRun, clock.Second}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(x.r.URL.Path, "/"), "/")
	svc, ok := x.snap.Service(name)
	if !ok {
		return &Refusal{http.StatusNotFound, "unknown_service", NotRun, 0}
	}
	x.svc, x.idempotent = svc, svc.IsIdempotent(x.r.Method, x.r.URL.Path)
	for _, step := range []func(*exchange) *Refusal{f.checkRequest, f.authorize, f.admit, f.readBody, f.claimIdempotencyKey} {
		if refusal := step(x); refusal != nil {
			return refusal
		}
	}
	if x.status != 0 {
		return nil // the status recorded for the idempotency key was sent
	}
	refusal := f.sendWithRetries(x)
	f.releaseUnusedClaim(x)
	return refusal
}

// checkRequest refuses requests that cannot be forwarded before they use up tokens or slots.
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

// deadlineTooShort reports whether less time is left than the service usually needs.
func (f *Forwarder) deadlineTooShort(x *exchange) bool {
	serviceTime := clock.Millis(x.svc.Config().GetServiceTimeMs()).Duration()
	return time.Until(x.deadline) < serviceTime
}

// authorize checks the key against the current snapshot.
func (f *Forwarder) authorize(x *exchange) *Refusal {
	if x.svc.IsOpenRoute(x.r.URL.Path) {
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

// admit takes a token from the workspace's token bucket.
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

// Prefixes of the metrics of each workspace; the name of the workspace follows.
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

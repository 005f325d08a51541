// Package forwarder carries a request from a caller to a backend server and
// the answer back.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/clock"
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
	// Admit takes a token of a workspace, or says when to try again. It may wait
	// for a short time while tokens are borrowed from another host.
	Admit func(ctx context.Context, workspace string) (bool, clock.Millis)
	// Acquire waits for a slot until the context ends. Its errors are AcquireErrors.
	Acquire func(ctx context.Context, svc *snapshotter.Service, workspace string, exclude []string) (Permit, error)
	// Clock tells the time.
	Clock clock.Clock
	// Log receives one line for each request.
	Log zerolog.Logger
	// Meter counts requests and refusals.
	Meter *meter.Meter
	// Tracer makes the spans of each hop.
	Tracer trace.Tracer
	// Transport sends requests to backend servers.
	Transport http.RoundTripper
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	cfg      Config
	inFlight atomic.Int64
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg}
}

// InFlight returns the number of requests that are being served.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// NewTransport returns the transport to backend servers. It never repeats a
// request below the forwarder's knowledge, see sendable.
func NewTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost:   connections,
		MaxConnsPerHost:       connections,
		IdleConnTimeout:       60 * time.Second,
		ExpectContinueTimeout: time.Second,
		DisableCompression:    true,
	}
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
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	ctx := tracer.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x := &exchange{w: w, r: r.WithContext(ctx), start: f.cfg.Clock.Now(), snap: f.cfg.Snapshot()}
	if refusal := f.serve(x); refusal != nil {
		x.status, x.reason, x.outcome = refusal.Status, refusal.Reason, refusal.Outcome
		f.cfg.Meter.Add("refused_"+refusal.Reason, 1)
		refusal.Write(w)
	}
	span.SetAttributes(attribute.String("workspace", x.workspace), attribute.Int("status", x.status))
	f.finish(x, span.SpanContext().TraceID().String())
}

func (f *Forwarder) finish(x *exchange, traceID string) {
	f.cfg.Meter.Add("requests", 1)
	f.cfg.Log.Info().Str("method", x.r.Method).Str("path", x.r.URL.Path).
		Str("workspace", x.workspace).Str("backend_server", x.server).Int("status", x.status).
		Str("reason", x.reason).Str("outcome", string(x.outcome)).
		Int64("duration_ms", int64(f.cfg.Clock.Now()-x.start)).Str("trace", traceID).Msg("request")
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
	x.svc = svc
	if refusal := f.authorize(x); refusal != nil {
		return refusal
	}
	ctx, cancel, refusal := f.withDeadline(x)
	if refusal != nil {
		return refusal
	}
	defer cancel()
	permit, err := f.acquire(ctx, x)
	if err != nil {
		refusal := &Refusal{http.StatusServiceUnavailable, "no_capacity", NotRun, clock.Second}
		if e := (*AcquireError)(nil); errors.As(err, &e) {
			refusal.Reason, refusal.RetryAfter = e.Reason, e.RetryAfter
		}
		return refusal
	}
	x.server = permit.BackendServer
	return f.send(ctx, x, permit)
}

// authorize checks the key and charges the workspace's rate.
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
	if ok, wait := f.cfg.Admit(x.r.Context(), workspace); !ok {
		return &Refusal{http.StatusTooManyRequests, "rate_limited", NotRun, wait}
	}
	return nil
}

func (f *Forwarder) withDeadline(x *exchange) (context.Context, context.CancelFunc, *Refusal) {
	left := clock.Millis(x.svc.Config().GetDeadlineMs())
	if left == 0 {
		left = defaultDeadline
	}
	if v := x.r.Header.Get(DeadlineHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return nil, nil, &Refusal{http.StatusBadRequest, "bad_deadline", NotRun, 0}
		}
		left = min(left, clock.Millis(ms))
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), left.Duration())
	return ctx, cancel, nil
}

func (f *Forwarder) acquire(ctx context.Context, x *exchange) (Permit, error) {
	ctx, span := f.cfg.Tracer.Start(ctx, "acquire")
	defer span.End()
	return f.cfg.Acquire(ctx, x.svc, x.workspace, nil)
}

// send passes the request to the backend server and the answer to the caller.
func (f *Forwarder) send(ctx context.Context, x *exchange, permit Permit) *Refusal {
	result := schema.PermitResult_PERMIT_RESULT_FAILED
	defer func() { permit.Release(result) }()
	ctx, span := f.cfg.Tracer.Start(ctx, "backend", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	resp, err := f.cfg.Transport.RoundTrip(f.outgoing(ctx, x, permit))
	if err != nil {
		return f.sendError(ctx, err)
	}
	defer resp.Body.Close()
	x.status = resp.StatusCode
	copyHeader(x.w.Header(), resp.Header)
	x.w.Header().Set(ServerHeader, permit.BackendServer)
	x.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		// The status is already sent; cutting the connection is the only way to
		// keep a short body from looking complete.
		x.reason = "answer_cut"
		f.cfg.Meter.Add("answers_cut", 1)
		panic(http.ErrAbortHandler)
	}
	result = schema.PermitResult_PERMIT_RESULT_OK
	return nil
}

func (f *Forwarder) outgoing(ctx context.Context, x *exchange, permit Permit) *http.Request {
	out := x.r.Clone(ctx)
	out.URL.Scheme, out.URL.Host, out.Host = "http", permit.Address, x.r.Host
	out.RequestURI = ""
	removeHopByHop(out.Header)
	authenticator.Strip(out.Header)
	out.Header.Del(WorkspaceHeader)
	if x.workspace != "" {
		out.Header.Set(WorkspaceHeader, x.workspace)
	}
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	tracer.Propagator.Inject(ctx, propagation.HeaderCarrier(out.Header))
	if x.r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

func (f *Forwarder) sendError(ctx context.Context, err error) *Refusal {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Refusal{http.StatusBadGateway, "connect_failed", NotRun, clock.Second}
	}
	if ctx.Err() != nil {
		return &Refusal{http.StatusGatewayTimeout, "deadline_passed", MayHaveRun, 0}
	}
	return &Refusal{http.StatusBadGateway, "backend_failed", MayHaveRun, 0}
}

// hopByHop headers are for one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

func copyHeader(dst, src http.Header) {
	src = src.Clone()
	removeHopByHop(src)
	for k, v := range src {
		dst[k] = v
	}
}

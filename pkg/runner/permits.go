package runner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/tracer"
)

// reasonWaiting means that the request keeps its place in the owner's queue. The entry
// host calls again.
const reasonWaiting = "waiting"

// reasonNotReady means that the owner cannot grant slots yet, because it has no votes.
const reasonNotReady = "not_ready"

// acquireWait is the longest time for which an owner delays the response to an Acquire
// call. It is half of the time within which a grant must be used, so that a grant at
// the end of the wait still arrives in time.
const acquireWait = 250 * time.Millisecond

// Acquire implements schema.DRPCPeerServer.
func (p *peerHandler) Acquire(ctx context.Context, req *schema.AcquireRequest) (*schema.AcquireResponse, error) {
	ctx, span := p.tracing.Tracer().Start(tracer.Extract(ctx, req.GetTraceparent()), "owner", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	dec := p.handleAcquire(ctx, dispatcher.Request{
		Host: req.GetHost(), Incarnation: req.GetIncarnation(), ID: req.GetPermitId(),
		Service: req.GetService(), Workspace: req.GetWorkspace(), Exclude: req.GetExclude(),
	}, clock.Millis(req.GetDeadlineMs()))
	return &schema.AcquireResponse{
		Granted: dec.Granted, BackendServer: dec.Server.Name, Address: dec.Server.Address,
		Refusal: dec.Reason, RetryAfterMs: uint64(dec.RetryAfter),
	}, nil
}

// handleAcquire returns the decision on a request to this host as owner. If the request
// is queued, handleAcquire waits for its decision for at most acquireWait.
func (h *Host) handleAcquire(ctx context.Context, req dispatcher.Request, remaining clock.Millis) dispatcher.Decision {
	dec, ch := h.slots.acquire(req, remaining)
	if ch == nil {
		return dec
	}
	defer h.slots.stopWaiting(req.ID, ch)
	timer := time.NewTimer(acquireWait)
	defer timer.Stop()
	select {
	case dec = <-ch:
		return dec
	case <-timer.C:
	case <-ctx.Done():
	}
	if !h.slots.canGrant(req.Service) {
		return dispatcher.Decision{ID: req.ID, Reason: reasonNotReady}
	}
	return dispatcher.Decision{ID: req.ID, Reason: reasonWaiting}
}

// Release implements schema.DRPCPeerServer.
func (p *peerHandler) Release(_ context.Context, req *schema.ReleaseRequest) (*schema.ReleaseResponse, error) {
	p.slots.release(req.GetPermitId(), req.GetResult(), clock.Millis(req.GetDurationMs()))
	return &schema.ReleaseResponse{}, nil
}

// ReportPermits implements schema.DRPCPeerServer.
func (p *peerHandler) ReportPermits(_ context.Context, req *schema.ReportPermitsRequest) (*schema.ReportPermitsResponse, error) {
	return p.slots.handleReport(req), nil
}

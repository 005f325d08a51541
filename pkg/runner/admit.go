package runner

import (
	"context"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
)

// admit takes a token from the workspace's token bucket, and calls OnAdmit if it gets
// one.
func (h *Host) admit(ctx context.Context, workspace string) (limiter.Verdict, clock.Millis) {
	verdict, wait := h.controller.Admit(ctx, workspace)
	if verdict == limiter.Admitted && h.cfg.OnAdmit != nil {
		h.cfg.OnAdmit(workspace)
	}
	return verdict, wait
}

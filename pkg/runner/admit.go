package runner

import (
	"context"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
)

// admit charges the workspace's rate and reports the requests that passed.
func (h *Host) admit(ctx context.Context, workspace string) (limiter.Verdict, clock.Millis) {
	verdict, wait := h.controller.Admit(ctx, workspace)
	if verdict == limiter.Admitted && h.cfg.OnAdmit != nil {
		h.cfg.OnAdmit(workspace)
	}
	return verdict, wait
}

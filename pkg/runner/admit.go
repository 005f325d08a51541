package runner

import (
	"context"

	"catkindyke/pkg/clock"
)

// admit charges the workspace's rate and reports the requests that passed.
func (h *Host) admit(ctx context.Context, workspace string) (bool, clock.Millis) {
	ok, wait := h.controller.Admit(ctx, workspace)
	if ok && h.cfg.OnAdmit != nil {
		h.cfg.OnAdmit(workspace)
	}
	return ok, wait
}

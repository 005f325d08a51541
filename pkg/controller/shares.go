package controller

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
)

// updateShares splits the share slots evenly over the known fleet.
func (c *Controller) updateShares(now clock.Millis) {
	fleet := len(c.members.Members()) + 1
	c.limiter.SetShare(limiter.Slots/fleet, now+8*clock.Second, now)
}

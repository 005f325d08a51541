package controller

import (
	"context"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/schema"
)

// Admit takes a token from a bucket, or returns why there is none and when to retry.
// While the host borrows tokens from others it waits, for limiter.MaxTokenWait at most.
func (c *Controller) Admit(ctx context.Context, bucket string) (limiter.Verdict, clock.Millis) {
	d := c.limiter.Admit(bucket, c.cfg.Clock.Now())
	for _, req := range d.BorrowRequests {
		go c.borrow(req)
	}
	switch {
	case d.OK:
		return limiter.Admitted, 0
	case d.NoShare:
		return limiter.NoShare, d.RetryAfter
	case d.Waiter == nil:
		return limiter.OverRate, d.RetryAfter
	}
	c.cfg.Meter.Add("token_waits", 1)
	timer := time.NewTimer(limiter.MaxTokenWait.Duration())
	defer timer.Stop()
	select {
	case <-d.Waiter.Done():
	case <-timer.C:
	case <-ctx.Done():
	case <-c.done:
	}
	now := c.cfg.Clock.Now()
	switch {
	case d.Waiter.Cancel(now):
		return limiter.Admitted, 0
	case !c.limiter.HasShare(now):
		return limiter.NoShare, limiter.NoShareRetryAfter
	default:
		return limiter.OverRate, d.RetryAfter
	}
}

// borrow sends a borrow request to a peer and credits the tokens that it lends.
func (c *Controller) borrow(req limiter.BorrowRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), limiter.BorrowTimeout.Duration())
	defer cancel()
	address, ok := (*c.peerAddresses.Load())[req.Peer]
	if !ok {
		c.limiter.BorrowFailed(req, c.cfg.Clock.Now())
		return
	}
	resp, err := c.cfg.DialPeer(ctx, address).Borrow(ctx, &schema.BorrowRequest{
		Host: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation,
		Bucket: req.Bucket, Tokens: req.Tokens, Sequence: req.Sequence,
	})
	if err != nil {
		c.cfg.Meter.Add("borrows_failed", 1)
		c.limiter.BorrowFailed(req, c.cfg.Clock.Now())
		return
	}
	c.cfg.Meter.Add("borrows", 1)
	for _, next := range c.limiter.Credit(req, resp.GetTokens(), c.cfg.Clock.Now()) {
		go c.borrow(next)
	}
}

// Borrow lends tokens to a peer.
func (c *Controller) Borrow(_ context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	tokens := c.limiter.Lend(limiter.LendRequest{
		Host: req.GetHost(), Incarnation: req.GetIncarnation(),
		BorrowRequest: limiter.BorrowRequest{Bucket: req.GetBucket(), Tokens: req.GetTokens(), Sequence: req.GetSequence()},
	}, c.cfg.Clock.Now())
	c.cfg.Meter.Add("tokens_lent", int64(tokens))
	return &schema.BorrowResponse{Tokens: tokens}, nil
}

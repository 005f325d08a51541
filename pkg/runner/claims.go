package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/claimer"
	"catkindyke/pkg/logger"
)

// cleanInterval is the mean time between two batches of the whole fleet. A batch has at
// most 20 claims with two writes each, so cleaning sends at most 80 writes per second.
// The store accepts several hundred.
const cleanInterval = 500 * time.Millisecond

// cleanClaims removes expired claims of idempotency keys until the context ends.
func (h *Host) cleanClaims(ctx context.Context) {
	log := h.cfg.Loggers.For(logger.Store)
	// The seed is the host's name: hosts differ, and test runs are reproducible.
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(h.cfg.Name), 0))
	cleaner := claimer.NewCleaner(claimer.CleanerConfig{Store: h.store, Workspaces: h.workspaces}, rng.IntN(1<<16))
	for {
		// Jitter keeps the hosts from cleaning at the same time.
		pause := time.Duration(float64(max(len(h.Snapshot().Hosts()), 1)) * float64(cleanInterval) * (0.5 + rng.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		removed, err := cleaner.CleanBatch(ctx)
		h.meter.Add("claims_removed", int64(removed))
		if err != nil && ctx.Err() == nil {
			log.Debug().Err(err).Msg("clean_claims")
		}
	}
}

func (h *Host) workspaces() []string {
	var names []string
	for _, w := range h.Snapshot().Config().GetWorkspaces() {
		names = append(names, w.GetName())
	}
	return names
}

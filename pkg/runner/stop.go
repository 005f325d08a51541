package runner

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"catkindyke/pkg/clock"
)

const (
	// stopMargin is added to the look-up age, so that an answer on its way is covered.
	stopMargin = 2 * time.Second
	// admitDelay covers the wait for a token, so that requests received before the
	// listener closed are admitted before the share slots are given away.
	admitDelay = 100 * time.Millisecond
)

// pendingWork counts what a planned stop waits for.
type pendingWork struct {
	closing atomic.Bool
	mu      sync.Mutex
	count   int
	idle    chan struct{}
}

func (w *pendingWork) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count += n
	if w.count == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// wait returns when nothing is left or the context ends.
func (w *pendingWork) wait(ctx context.Context) error {
	w.mu.Lock()
	if w.count == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// track counts the requests in flight, and tells keep-alive callers to go once the host is closing.
func (w *pendingWork) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.add(1)
		defer w.add(-1)
		if w.closing.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, r)
	})
}

// Stop makes a planned stop: others learn that the host leaves, callers with a
// cached answer are served until its age has passed, and requests in flight end.
// Peers are answered until the last permit is released.
func (h *Host) Stop(ctx context.Context) error {
	// Grants end before others learn that the host leaves, because voters then support another owner at once.
	h.slots.leave()
	if err := h.controller.Leave(ctx); err != nil {
		return err
	}
	// Answers close their connections from the start, because Shutdown closes idle
	// ones and a request that is sent at that moment would be lost.
	h.pending.closing.Store(true)
	lookupTTL := time.Duration(h.Snapshot().Config().GetSettings().GetLookupAgeMs()) * time.Millisecond
	clock.Sleep(ctx, lookupTTL+stopMargin)
	shutdown := make(chan error, 1)
	go func() { shutdown <- h.callerServer.Shutdown(ctx) }()
	clock.Sleep(ctx, admitDelay)
	handOverErr := h.controller.HandOverSlots(ctx)
	err := errors.Join(handOverErr, <-shutdown, h.pending.wait(ctx))
	h.Kill()
	return errors.Join(err, h.tracing.Shutdown(ctx))
}

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
	// stopMargin is added to the TTL of look-up answers, for answers that are still on
	// their way to callers.
	stopMargin = 2 * time.Second
	// admitDelay is longer than the wait for a token. Requests received before the
	// listener closed are therefore admitted before the share slots are handed over.
	admitDelay = 100 * time.Millisecond
)

// pendingWork counts the in-flight requests and Release calls for which a planned stop
// waits.
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

// wait waits until the count is zero or the context ends.
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

// track counts the in-flight requests. While the host is closing, it makes the server
// close each caller's connection after the response.
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

// Stop stops the host as planned. The host announces that it is leaving, serves callers
// with cached look-up answers until these have expired, and waits for in-flight
// requests. It responds to peers until the last permit is released.
func (h *Host) Stop(ctx context.Context) error {
	// Grants must end before the announcement, because voters then support another owner
	// at once.
	h.slots.leave()
	if err := h.controller.Leave(ctx); err != nil {
		return err
	}
	// Connections are closed after their responses from now on, because Shutdown closes
	// idle ones and a request sent at that moment would be lost.
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

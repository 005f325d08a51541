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
	// admitTime covers the wait for a token, so that requests received before the
	// listener closed are admitted before the share slots are given away.
	admitTime = 100 * time.Millisecond
)

// work counts what a planned stop waits for.
type work struct {
	closing  atomic.Bool
	mu       sync.Mutex
	n        int
	finished chan struct{}
}

func (w *work) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n += n
	if w.n == 0 && w.finished != nil {
		close(w.finished)
		w.finished = nil
	}
}

// wait returns when nothing is left or the context ends.
func (w *work) wait(ctx context.Context) error {
	w.mu.Lock()
	if w.n == 0 {
		w.mu.Unlock()
		return nil
	}
	if w.finished == nil {
		w.finished = make(chan struct{})
	}
	finished := w.finished
	w.mu.Unlock()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// track counts the requests in flight, and tells keep-alive callers to go once the host is closing.
func (w *work) track(next http.Handler) http.Handler {
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
	h.work.closing.Store(true)
	age := time.Duration(h.Snapshot().Config().GetSettings().GetLookupAgeMs()) * time.Millisecond
	clock.Sleep(ctx, age+stopMargin)
	shutdown := make(chan error, 1)
	go func() { shutdown <- h.caller.Shutdown(ctx) }()
	clock.Sleep(ctx, admitTime)
	handOver := h.controller.HandOverSlots(ctx)
	err := errors.Join(handOver, <-shutdown, h.work.wait(ctx))
	h.Kill()
	return errors.Join(err, h.tracing.Shutdown(ctx))
}

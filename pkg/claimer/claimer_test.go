package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/storeclient"
)

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

func assertIs(t *testing.T, err, want error, step string) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("%s: got %v, want %v", step, err, want)
	}
}

// handlerTransport calls the platform's handler without a network.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, io.ErrUnexpectedEOF // the response is lost
		}
	}()
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func newStore(h http.Handler) *storeclient.Client {
	return storeclient.New(storeclient.Config{BaseURL: "http://store", Transport: handlerTransport{h}})
}

func newClaimer(p *emulator.Platform) *Claimer { return New(Config{Store: newStore(p)}) }

func assertDone(t *testing.T, err error, status int) {
	t.Helper()
	var done *DoneError
	if !errors.As(err, &done) || done.Status != status {
		t.Fatalf("got %v, want done with status %d", err, status)
	}
}

// TestClaimStates guards against a wrong result for the second user of a key.
func TestClaimStates(t *testing.T) {
	ctx := t.Context()
	p := emulator.NewPlatform(emulator.Budget{})
	a, b := newClaimer(p), newClaimer(p)
	claim, err := a.Claim(ctx, "ws", "k", "h")
	assertNoError(t, err, "first claim")
	_, err = b.Claim(ctx, "ws", "k", "h")
	assertIs(t, err, ErrInProgress, "second claim in progress")
	_, err = b.Claim(ctx, "ws", "k", "other")
	assertIs(t, err, ErrMismatch, "same key, different content")
	_, err = b.Claim(ctx, "ws2", "k", "h")
	assertNoError(t, err, "same key of another workspace")
	assertNoError(t, claim.MarkDone(ctx, 201), "done")
	_, err = b.Claim(ctx, "ws", "k", "h")
	assertDone(t, err, 201)
	_, err = b.Claim(ctx, "ws", "k", "other")
	assertIs(t, err, ErrMismatch, "same key, different content, when done")
}

// TestRelease guards against a key that stays unusable although its request did
// not run, and against an old claim that releases a newer one.
func TestRelease(t *testing.T) {
	ctx := t.Context()
	p := emulator.NewPlatform(emulator.Budget{})
	first, err := newClaimer(p).Claim(ctx, "ws", "k", "h")
	assertNoError(t, err, "first claim")
	assertNoError(t, first.Release(ctx), "release")
	_, err = newClaimer(p).Claim(ctx, "ws", "k", "h2")
	assertNoError(t, err, "claim after release")
	if err := first.Release(ctx); err == nil {
		t.Error("an old claim released a newer one")
	}
	_, err = newClaimer(p).Claim(ctx, "ws", "k", "h2")
	assertIs(t, err, ErrInProgress, "claim is still held")
}

// TestConcurrentClaims guards against two holders of one key.
func TestConcurrentClaims(t *testing.T) {
	for round := range 50 {
		for _, lost := range []int{0, 1, 2} {
			p := emulator.NewPlatform(emulator.Budget{})
			p.SetFaults(emulator.Faults{DropWriteResponses: lost})
			var mu sync.Mutex
			var wg sync.WaitGroup
			holders := 0
			for range 4 {
				c := newClaimer(p)
				wg.Go(func() {
					_, err := c.Claim(t.Context(), "ws", "k", "h")
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						holders++
					} else if !errors.Is(err, ErrInProgress) {
						t.Errorf("round %d: %v", round, err)
					}
				})
			}
			wg.Wait()
			if holders != 1 {
				t.Fatalf("round %d, %d lost answers: %d holders, want 1", round, lost, holders)
			}
		}
	}
}

// TestLostAnswers guards against a lost answer of the store that makes a caller
// conflict with its own claim, or that loses the recorded status.
func TestLostAnswers(t *testing.T) {
	for lost := range maxWriteAttempts {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			ctx := t.Context()
			p := emulator.NewPlatform(emulator.Budget{})
			c := newClaimer(p)
			p.SetFaults(emulator.Faults{DropWriteResponses: lost})
			claim, err := c.Claim(ctx, "ws", "k", "h")
			assertNoError(t, err, "claim")
			p.SetFaults(emulator.Faults{DropWriteResponses: lost})
			assertNoError(t, claim.MarkDone(ctx, 200), "done")
			_, err = c.Claim(ctx, "ws", "k", "h")
			assertDone(t, err, 200)
			p.SetFaults(emulator.Faults{})
			next, err := c.Claim(ctx, "ws", "k2", "h")
			assertNoError(t, err, "claim of a second key")
			p.SetFaults(emulator.Faults{DropWriteResponses: lost})
			assertNoError(t, next.Release(ctx), "release")
			p.SetFaults(emulator.Faults{DropWriteResponses: lost})
			_, err = c.Claim(ctx, "ws", "k2", "h")
			assertNoError(t, err, "claim after release")
		})
	}
}

// failsAfterWrite is a store that stops answering once a write has taken effect, until it has recovered.
type failsAfterWrite struct {
	p         *emulator.Platform
	mu        sync.Mutex
	failing   bool
	recovered bool
}

func (b *failsAfterWrite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing && !b.recovered {
		panic(http.ErrAbortHandler)
	}
	b.p.ServeHTTP(w, r)
	if r.Method == http.MethodPut && !b.recovered {
		b.failing = true
		panic(http.ErrAbortHandler)
	}
}

// TestStoreDown guards against a claim that succeeds without the store, and against
// an orphaned claim that blocks the caller's retry after an outage.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := emulator.NewPlatform(emulator.Budget{})
		p.SetFaults(emulator.Faults{Down: true})
		_, err := newClaimer(p).Claim(t.Context(), "ws", "k", "h")
		assertIs(t, err, ErrUnavailable, "store down")
		p.SetFaults(emulator.Faults{})
		b := &failsAfterWrite{p: p}
		_, err = New(Config{Store: newStore(b)}).Claim(t.Context(), "ws", "k2", "h")
		assertIs(t, err, ErrUnavailable, "store down after the write")
		_, err = newClaimer(p).Claim(t.Context(), "ws", "k2", "h")
		assertIs(t, err, ErrInProgress, "orphaned claim")
		b.mu.Lock()
		b.recovered = true
		b.mu.Unlock()
		time.Sleep(2 * time.Minute)
		_, err = newClaimer(p).Claim(t.Context(), "ws", "k2", "h")
		assertNoError(t, err, "claim after the orphan was released")
	})
}

// TestUnreadableClaim guards against replacing a claim whose object cannot be decoded.
func TestUnreadableClaim(t *testing.T) {
	p := emulator.NewPlatform(emulator.Budget{})
	_, err := newStore(p).Put(t.Context(), objectName("ws", "k"), []byte("{"), 0)
	assertNoError(t, err, "put")
	_, err = newClaimer(p).Claim(t.Context(), "ws", "k", "h")
	assertIs(t, err, ErrInProgress, "damaged claim")
}

// TestCleaner guards against expired claims that are never removed, claims that are
// removed too early, and batches that exceed the write limit.
func TestCleaner(t *testing.T) {
	ctx := t.Context()
	p := emulator.NewPlatform(emulator.Budget{})
	now := time.Unix(1000000, 0)
	clock := func() time.Time { return now }
	c := New(Config{Store: newStore(p), Now: clock})
	const keys = 100
	for n := range keys {
		_, err := c.Claim(ctx, "ws", fmt.Sprint(n), "h")
		assertNoError(t, err, "claim")
	}
	_, err := c.Claim(ctx, "", "open", "h")
	assertNoError(t, err, "claim on an open route")
	store := newStore(p)
	cleaner := NewCleaner(CleanerConfig{Store: store, Workspaces: func() []string { return []string{"ws"} }, MaxObjects: 2, Now: clock}, 300)
	sweep := func() (removed int) {
		for range 2 * 2 * shardsPerWorkspace {
			before := store.Writes()
			n, err := cleaner.CleanBatch(ctx)
			assertNoError(t, err, "clean a batch")
			if writes := store.Writes() - before; writes > 4 {
				t.Fatalf("%d writes in one batch, want at most 4", writes)
			}
			removed += n
		}
		return removed
	}
	now = now.Add(DefaultRetention + expiryMargin - time.Second)
	if n := sweep(); n != 0 {
		t.Errorf("%d claims removed before the end of the margin, want 0", n)
	}
	now = now.Add(time.Minute)
	if n := sweep(); n != keys+1 {
		t.Errorf("%d claims removed, want %d", n, keys+1)
	}
}

// TestCleanerRace guards against a cleaner that removes a claim which another
// cleaner has marked or which a caller has replaced.
func TestCleanerRace(t *testing.T) {
	ctx := t.Context()
	p := emulator.NewPlatform(emulator.Budget{})
	store := newStore(p)
	name := objectName("ws", "k")
	value, err := json.Marshal(record{AttemptID: "old", State: stateDone})
	assertNoError(t, err, "marshal")
	_, err = store.Put(ctx, name, value, 0)
	assertNoError(t, err, "put")
	var claimErr error
	// Replaces the claim between the cleaner's mark and its delete.
	hook := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			_, claimErr = newClaimer(p).Claim(context.Background(), "ws", "k", "h")
		}
		p.ServeHTTP(w, r)
	})
	cleaner := NewCleaner(CleanerConfig{Store: newStore(hook), Workspaces: func() []string { return nil }}, 0)
	removed, err := cleaner.removeExpired(ctx, name)
	assertNoError(t, err, "remove")
	assertNoError(t, claimErr, "claim of the marked key")
	if removed {
		t.Error("the cleaner removed a claim that a caller holds")
	}
	_, err = newClaimer(p).Claim(ctx, "ws", "k", "h")
	assertIs(t, err, ErrInProgress, "claim is still held")
}

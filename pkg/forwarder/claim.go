package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"catkindyke/pkg/claimer"
	"catkindyke/pkg/clock"
)

const (
	// bufferedBody is the largest body that is read before a slot is acquired,
	// so that it can be sent again and a slow caller holds no slot.
	bufferedBody = 64 << 10
	// maxKeyLength bounds an idempotency key.
	maxKeyLength = 255
	// claimTimeout bounds the time that a request waits for its claim.
	claimTimeout = 2 * time.Second
	// recordWait is how long an answer waits for the record of its status; the
	// record goes on after it.
	recordWait = 100 * time.Millisecond
	// recordTimeout bounds a record or release in the background.
	recordTimeout = 10 * time.Second
)

// readBody reads a small body whole.
func (f *Forwarder) readBody(x *exchange) *Refusal {
	n := x.r.ContentLength
	if n < 0 || n > bufferedBody {
		return nil
	}
	x.buffered = true
	if n == 0 {
		return nil
	}
	x.body = make([]byte, n)
	err := f.readWhole(x)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		return &Refusal{http.StatusRequestTimeout, "upload_stalled", NotRun, clock.Second}
	default:
		return &Refusal{http.StatusBadRequest, "upload_cut", NotRun, 0}
	}
}

// readWhole fills x.body; each read may take the progress timeout.
func (f *Forwarder) readWhole(x *exchange) error {
	conn := http.NewResponseController(x.w)
	timeout := f.progressTimeout(x)
	for read := 0; read < len(x.body); {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
		n, err := x.r.Body.Read(x.body[read:])
		read += n
		if err != nil && read < len(x.body) {
			return err
		}
	}
	return conn.SetReadDeadline(time.Time{})
}

// requestHash identifies the content of a request. A body that is streamed
// cannot be hashed before it is sent; its declared length and digest stand for it.
func requestHash(x *exchange) string {
	h := sha256.New()
	_, _ = io.WriteString(h, x.r.Method+"\n"+x.r.URL.RequestURI()+"\n"+strconv.FormatInt(x.r.ContentLength, 10)+
		"\n"+x.r.Header.Get("Content-Digest")+"\n")
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil))
}

// takeClaim claims the idempotency key of a request that may not be repeated.
func (f *Forwarder) takeClaim(x *exchange) *Refusal {
	key := x.r.Header.Get(IdempotencyKeyHeader)
	if key == "" || x.repeatable {
		return nil
	}
	if len(key) > maxKeyLength {
		return &Refusal{http.StatusBadRequest, "bad_idempotency_key", NotRun, 0}
	}
	if f.cfg.Claims == nil {
		return &Refusal{http.StatusServiceUnavailable, "claims_unavailable", NotRun, clock.Second}
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(claimTimeout, time.Until(x.deadline)))
	defer cancel()
	claim, err := f.cfg.Claims.Claim(ctx, x.workspace, key, requestHash(x))
	var done *claimer.DoneError
	switch {
	case err == nil:
		x.claim = claim
		return nil
	case errors.As(err, &done):
		f.cfg.Meter.Add("claims_recorded", 1)
		x.status, x.reason = done.Status, "recorded"
		x.w.Header().Set(RecordedHeader, "true")
		x.w.WriteHeader(done.Status)
		return nil
	case errors.Is(err, claimer.ErrMismatch):
		return &Refusal{http.StatusUnprocessableEntity, "idempotency_key_mismatch", NotRun, 0}
	case errors.Is(err, claimer.ErrInProgress):
		return &Refusal{http.StatusConflict, "idempotency_key_in_use", MayHaveRun, clock.Second}
	default:
		return &Refusal{http.StatusServiceUnavailable, "claims_unavailable", NotRun, clock.Second}
	}
}

// recordClaim records the answer's status, so that the key is known to be done.
// A record that fails leaves the claim in progress, which is safe.
func (f *Forwarder) recordClaim(x *exchange, status int) {
	if x.claim != nil {
		f.endClaim(x.claim, func(ctx context.Context, c *claimer.Claim) error { return c.MarkDone(ctx, status) })
	}
}

// settleClaim frees the key when no backend server can have run the request.
func (f *Forwarder) settleClaim(x *exchange) {
	if x.claim != nil && x.life.Outcome() == NotRun {
		f.endClaim(x.claim, func(ctx context.Context, c *claimer.Claim) error { return c.Release(ctx) })
	}
}

func (f *Forwarder) endClaim(claim *claimer.Claim, end func(context.Context, *claimer.Claim) error) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := end(ctx, claim); err != nil {
			f.cfg.Meter.Add("claims_not_recorded", 1)
			f.cfg.Log.Warn().Err(err).Msg("claim_not_recorded")
		}
	}()
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

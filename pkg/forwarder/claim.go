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
	// maxBufferedBody is the size of the largest body that is read before a slot is acquired. A
	// buffered body can be sent again, and its caller holds no slot while it sends slowly.
	maxBufferedBody = 64 << 10
	// maxIdempotencyKeyLength limits the length of an idempotency key, in bytes.
	maxIdempotencyKeyLength = 255
	// claimTimeout limits how long a request waits for its claim.
	claimTimeout = 2 * time.Second
	// maxRecordWait is how long a response waits until its status is recorded. After that,
	// recording continues in the background.
	maxRecordWait = 100 * time.Millisecond
	// recordTimeout limits a background update of a claim.
	recordTimeout = 10 * time.Second
)

// readBody reads a body of at most maxBufferedBody bytes into memory.
func (f *Forwarder) readBody(x *exchange) *Refusal {
	n := x.r.ContentLength
	if n < 0 || n > maxBufferedBody {
		return nil
	}
	x.buffered = true
	if n == 0 {
		return nil
	}
	x.body = make([]byte, n)
	err := f.readFullBody(x)
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

// readFullBody fills x.body. Each read may take up to the progress timeout.
func (f *Forwarder) readFullBody(x *exchange) error {
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

// requestHash returns a hash of the content of a request. A streamed body cannot be hashed
// before it is sent, so its declared length and digest take its place.
func requestHash(x *exchange) string {
	h := sha256.New()
	_, _ = io.WriteString(h, x.r.Method+"\n"+x.r.URL.RequestURI()+"\n"+strconv.FormatInt(x.r.ContentLength, 10)+
		"\n"+x.r.Header.Get("Content-Digest")+"\n")
	_, _ = h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil))
}

// claimIdempotencyKey claims the idempotency key of a non-idempotent request. If the key is
// already done, it sends the recorded status.
func (f *Forwarder) claimIdempotencyKey(x *exchange) *Refusal {
	key := x.r.Header.Get(IdempotencyKeyHeader)
	if key == "" || x.idempotent {
		return nil
	}
	if len(key) > maxIdempotencyKeyLength {
		return &Refusal{http.StatusBadRequest, "bad_idempotency_key", NotRun, 0}
	}
	if f.cfg.Claims == nil {
		return &Refusal{http.StatusServiceUnavailable, "claims_unavailable", NotRun, clock.Second}
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(claimTimeout, time.Until(x.deadline)))
	defer cancel()
	claim, err := f.cfg.Claims.Claim(ctx, x.workspace, key, requestHash(x))
	var doneErr *claimer.DoneError
	switch {
	case err == nil:
		x.claim = claim
		return nil
	case errors.As(err, &doneErr):
		f.cfg.Meter.Add("claims_recorded", 1)
		x.status, x.reason = doneErr.Status, "recorded"
		x.w.Header().Set(RecordedHeader, "true")
		x.w.WriteHeader(doneErr.Status)
		return nil
	case errors.Is(err, claimer.ErrMismatch):
		return &Refusal{http.StatusUnprocessableEntity, "idempotency_key_mismatch", NotRun, 0}
	case errors.Is(err, claimer.ErrInProgress):
		return &Refusal{http.StatusConflict, "idempotency_key_in_use", MayHaveRun, clock.Second}
	default:
		return &Refusal{http.StatusServiceUnavailable, "claims_unavailable", NotRun, clock.Second}
	}
}

// recordClaim marks the key as done with the status of the response. If this fails, the
// claim stays in progress, which is safe: retries with the key are refused.
func (f *Forwarder) recordClaim(x *exchange, status int) {
	if x.claim != nil {
		f.updateClaim(x.claim, func(ctx context.Context, c *claimer.Claim) error { return c.MarkDone(ctx, status) })
	}
}

// releaseUnusedClaim releases the key if no backend server can have run the request.
func (f *Forwarder) releaseUnusedClaim(x *exchange) {
	if x.claim != nil && x.lifecycle.Outcome() == NotRun {
		f.updateClaim(x.claim, func(ctx context.Context, c *claimer.Claim) error { return c.Release(ctx) })
	}
}

func (f *Forwarder) updateClaim(claim *claimer.Claim, update func(context.Context, *claimer.Claim) error) {
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := update(ctx, claim); err != nil {
			f.cfg.Meter.Add("claims_not_recorded", 1)
			f.cfg.Log.Warn().Err(err).Msg("claim_not_recorded")
		}
	}()
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	}
}

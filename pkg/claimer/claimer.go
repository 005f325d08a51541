// Package claimer records the idempotency keys of requests that may not be
// repeated, so that each key runs at most once in the whole fleet.
package claimer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"catkindyke/pkg/storeclient"
)

// Errors that callers test with errors.Is.
var (
	// ErrInProgress says that another request holds the key, or that its end is unknown.
	ErrInProgress = errors.New("idempotency key is in use")
	// ErrMismatch says that the key was used for a different request.
	ErrMismatch = errors.New("idempotency key was used for a different request")
	// ErrUnavailable says that the store gave no clear answer; nothing was claimed for sure.
	ErrUnavailable = errors.New("claims are unavailable")
)

// States of a claim object.
const (
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
	stateExpired  = "expired"
)

const (
	// objectPrefix is the start of the names of claim objects.
	objectPrefix = "claims/"
	// DefaultRetention is the time for which a key is remembered.
	DefaultRetention = 24 * time.Hour
	// maxWriteAttempts bounds the writes for one claim while answers are lost.
	maxWriteAttempts = 3
	// maxReleaseAttempts bounds the writes that take back a claim whose write got no answer.
	maxReleaseAttempts = 6
	// initialReleaseBackoff is doubled after each try.
	initialReleaseBackoff = time.Second
)

// record is the content of a claim object.
type record struct {
	AttemptID   string `json:"attempt_id"`
	State       string `json:"state"`
	RequestHash string `json:"request_hash"`
	Status      int    `json:"status,omitempty"`
	// ExpiresMs is wall time in milliseconds since 1970; only the cleaner uses it, with a margin.
	ExpiresMs int64 `json:"expires_ms"`
}

// Config configures a claimer.
type Config struct {
	// Store is the client of the object API.
	Store *storeclient.Client
	// Retention is the time for which a key is remembered; DefaultRetention when zero.
	Retention time.Duration
	// Now returns the wall time; time.Now when nil.
	Now func() time.Time
}

// Claimer claims idempotency keys.
type Claimer struct {
	cfg Config
}

// New returns a claimer.
func New(cfg Config) *Claimer {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Claimer{cfg: cfg}
}

// Claim is a key held by one request.
type Claim struct {
	claimer *Claimer
	name    string
	version uint64
	rec     record
}

// DoneError says that the request of a key has run, with the status of its answer.
type DoneError struct {
	// Status is the recorded HTTP status.
	Status int
}

// Error returns the status.
func (e *DoneError) Error() string {
	return fmt.Sprintf("idempotency key is done with status %d", e.Status)
}

// objectName returns the name of a key's claim object. A workspace that is
// empty (an open route) has a name that no workspace can have.
func objectName(workspace, key string) string {
	if workspace == "" {
		workspace = "-"
	}
	sum := sha256.Sum256([]byte(key))
	return objectPrefix + workspace + "/" + hex.EncodeToString(sum[:])
}

// Claim takes the key for a request. It returns a *DoneError, ErrInProgress,
// ErrMismatch or ErrUnavailable when the request must not be sent.
func (c *Claimer) Claim(ctx context.Context, workspace, key, requestHash string) (*Claim, error) {
	claim := &Claim{claimer: c, name: objectName(workspace, key), rec: record{
		AttemptID: rand.Text(), State: stateClaimed, RequestHash: requestHash,
		ExpiresMs: c.cfg.Now().Add(c.cfg.Retention).UnixMilli(),
	}}
	var ifVersion uint64
	for range maxWriteAttempts {
		version, err := claim.write(ctx, ifVersion)
		switch {
		case err == nil:
			claim.version = version
			return claim, nil
		case errors.Is(err, storeclient.ErrUnavailable):
			// The write may have taken effect. The same write again either
			// succeeds or conflicts, and a conflict is resolved by a read.
			continue
		case !errors.Is(err, storeclient.ErrConflict):
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		replaceable, err := claim.resolveConflict(ctx)
		if err != nil {
			if errors.Is(err, ErrUnavailable) {
				claim.releaseInBackground()
			}
			return nil, err
		}
		if claim.version != 0 {
			return claim, nil
		}
		ifVersion = replaceable
	}
	claim.releaseInBackground()
	return nil, ErrUnavailable
}

func (cl *Claim) write(ctx context.Context, ifVersion uint64) (uint64, error) {
	value, err := json.Marshal(cl.rec)
	if err != nil {
		return 0, err
	}
	return cl.claimer.cfg.Store.Put(ctx, cl.name, value, ifVersion)
}

// read returns the record and version of the claim's object; version 0 is no object.
func (cl *Claim) read(ctx context.Context) (record, uint64, error) {
	var rec record
	obj, err := cl.claimer.cfg.Store.Get(ctx, cl.name)
	if errors.Is(err, storeclient.ErrNotFound) {
		return rec, 0, nil
	}
	if err != nil {
		return rec, 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		// A content that cannot be read may stand for a request that ran.
		return rec, 0, fmt.Errorf("%w: unreadable claim", ErrInProgress)
	}
	return rec, obj.Version, nil
}

// resolveConflict reads the object after a conflict. It sets the claim's version when
// the object is this attempt's own, or returns the version to write over.
func (cl *Claim) resolveConflict(ctx context.Context) (uint64, error) {
	rec, version, err := cl.read(ctx)
	if err != nil {
		return 0, err
	}
	switch {
	case rec.AttemptID == cl.rec.AttemptID && rec.State == stateClaimed:
		cl.version = version
		return 0, nil
	case version == 0 || rec.State == stateReleased || rec.State == stateExpired:
		return version, nil
	case rec.RequestHash != cl.rec.RequestHash:
		return 0, ErrMismatch
	case rec.State == stateDone:
		return 0, &DoneError{rec.Status}
	default:
		return 0, ErrInProgress
	}
}

// MarkDone records the status of the request's answer.
func (cl *Claim) MarkDone(ctx context.Context, status int) error {
	cl.rec.Status = status
	return cl.writeFinalState(ctx, stateDone)
}

// Release frees the key of a request that surely did not run. The object is
// overwritten and not deleted: a delete whose answer is lost and that arrives
// late could remove the claim of a later request.
func (cl *Claim) Release(ctx context.Context) error {
	return cl.writeFinalState(ctx, stateReleased)
}

// writeFinalState writes the last state. The condition on the version makes a repeat harmless.
func (cl *Claim) writeFinalState(ctx context.Context, state string) error {
	cl.rec.State = state
	var err error
	for range maxWriteAttempts {
		_, err = cl.write(ctx, cl.version)
		if err == nil {
			return nil
		}
		if errors.Is(err, storeclient.ErrConflict) {
			// The only other writer is the cleaner, long after the expiry; else
			// the conflict is with an earlier try of this write.
			rec, _, readErr := cl.read(ctx)
			if readErr == nil && rec.AttemptID == cl.rec.AttemptID && rec.State == state {
				return nil
			}
			return err
		}
	}
	return err
}

// releaseInBackground takes back, in the background, a claim whose write got no answer and
// whose request is refused. Without it a caller's repeat would meet its own
// orphaned claim until the expiry.
func (cl *Claim) releaseInBackground() {
	go func() {
		ctx := context.Background()
		backoff := initialReleaseBackoff
		for range maxReleaseAttempts {
			time.Sleep(backoff)
			backoff *= 2
			rec, version, err := cl.read(ctx)
			if errors.Is(err, ErrUnavailable) {
				continue
			}
			if err != nil || version == 0 || rec.AttemptID != cl.rec.AttemptID {
				return
			}
			cl.version = version
			if cl.writeFinalState(ctx, stateReleased) == nil {
				return
			}
		}
	}()
}

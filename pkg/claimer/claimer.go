// Package claimer records the idempotency keys of requests that are not safe to
// retry, so that the request of each key runs at most once in the whole fleet.
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

// Errors to test for with errors.Is.
var (
	// ErrInProgress says that another request holds the key, or that its outcome is unknown.
	ErrInProgress = errors.New("idempotency key is in use")
	// ErrMismatch says that the key was used for a different request.
	ErrMismatch = errors.New("idempotency key was used for a different request")
	// ErrUnavailable says that the store gave no definite answer. The claim may or may not be in the store.
	ErrUnavailable = errors.New("no definite answer from the claim store")
)

// States of a claim object.
const (
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateReleased = "released"
	stateExpired  = "expired"
)

const (
	// objectPrefix starts the names of claim objects.
	objectPrefix = "claims/"
	// DefaultRetention is the time for which a key is kept.
	DefaultRetention = 24 * time.Hour
	// maxWriteAttempts limits the writes of one claim or final state while answers are lost.
	maxWriteAttempts = 3
	// maxReleaseAttempts limits the attempts to release a claim whose write got no answer.
	maxReleaseAttempts = 6
	// initialReleaseBackoff doubles after each attempt.
	initialReleaseBackoff = time.Second
)

// record is the content of a claim object.
type record struct {
	AttemptID   string `json:"attempt_id"`
	State       string `json:"state"`
	RequestHash string `json:"request_hash"`
	Status      int    `json:"status,omitempty"`
	// ExpiresMs is the expiry as Unix time in milliseconds. Only the cleaner uses it, with a margin.
	ExpiresMs int64 `json:"expires_ms"`
}

// Config configures a claimer.
type Config struct {
	// Store is the client of the object API.
	Store *storeclient.Client
	// Retention is the time for which a key is kept; DefaultRetention when zero.
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

// Claim is an idempotency key held by one request.
type Claim struct {
	claimer *Claimer
	name    string
	version uint64
	rec     record
}

// DoneError says that the request of a key has run, and with which status it was answered.
type DoneError struct {
	// Status is the recorded HTTP status.
	Status int
}

// Error returns a message with the recorded status.
func (e *DoneError) Error() string {
	return fmt.Sprintf("idempotency key is done with status %d", e.Status)
}

// objectName returns the name of a key's claim object. Requests on open routes have
// no workspace; their claims are stored under "-", which cannot be a workspace's name.
func objectName(workspace, key string) string {
	if workspace == "" {
		workspace = "-"
	}
	sum := sha256.Sum256([]byte(key))
	return objectPrefix + workspace + "/" + hex.EncodeToString(sum[:])
}

// Claim claims the key for a request. It returns a *DoneError, ErrInProgress,
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
			// The write may have taken effect. A retry either succeeds or
			// conflicts, and a conflict is resolved by a read.
			continue
		case !errors.Is(err, storeclient.ErrConflict):
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		overwriteVersion, err := claim.resolveConflict(ctx)
		if err != nil {
			if errors.Is(err, ErrUnavailable) {
				claim.releaseInBackground()
			}
			return nil, err
		}
		if claim.version != 0 {
			return claim, nil
		}
		ifVersion = overwriteVersion
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

// read returns the record and version of the claim's object, or version 0 when there is no object.
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
		// An object that cannot be decoded may belong to a request that has run.
		return rec, 0, fmt.Errorf("%w: claim object cannot be decoded", ErrInProgress)
	}
	return rec, obj.Version, nil
}

// resolveConflict reads the object after a conflict. When this attempt wrote the
// object, it sets the claim's version; when the object can be replaced, it returns
// the version to overwrite.
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

// MarkDone records that the request has run, with the status of its response.
func (cl *Claim) MarkDone(ctx context.Context, status int) error {
	cl.rec.Status = status
	return cl.writeFinalState(ctx, stateDone)
}

// Release frees the key of a request that certainly did not run. It overwrites the
// object instead of deleting it: a delete whose answer is lost and that takes effect
// late could remove the claim of a later request.
func (cl *Claim) Release(ctx context.Context) error {
	return cl.writeFinalState(ctx, stateReleased)
}

// writeFinalState writes a final state. The write is conditional on the version, so it can be retried safely.
func (cl *Claim) writeFinalState(ctx context.Context, state string) error {
	cl.rec.State = state
	var err error
	for range maxWriteAttempts {
		_, err = cl.write(ctx, cl.version)
		if err == nil {
			return nil
		}
		if errors.Is(err, storeclient.ErrConflict) {
			// The conflict is either with an earlier attempt of this write or
			// with the cleaner, which writes only long after the expiry.
			rec, _, readErr := cl.read(ctx)
			if readErr == nil && rec.AttemptID == cl.rec.AttemptID && rec.State == state {
				return nil
			}
			return err
		}
	}
	return err
}

// releaseInBackground releases a claim whose write got no answer and whose request
// is refused. Otherwise the caller's retry would find its own orphaned claim until
// the expiry.
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

package claimer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"catkindyke/pkg/storeclient"
)

const (
	// expiryMargin allows for clock differences between hosts and for requests that
	// are still in flight at the expiry.
	expiryMargin = time.Hour
	// shardsPerWorkspace is the number of shards, by the first two hex digits of the
	// hash, in which a workspace's claims are listed. It keeps each list small.
	shardsPerWorkspace = 256
)

// CleanerConfig configures a cleaner.
type CleanerConfig struct {
	// Store is the client of the object API.
	Store *storeclient.Client
	// Workspaces returns the workspaces whose claims are cleaned.
	Workspaces func() []string
	// MaxObjects limits the objects examined in one batch; 20 when zero. A batch makes
	// one list call, and at most one read and two writes for each object.
	MaxObjects int
	// Now returns the wall time; time.Now when nil.
	Now func() time.Time
}

// Cleaner removes expired claims, a limited number in each batch.
type Cleaner struct {
	cfg          CleanerConfig
	shard        int
	lastExamined string
	id           string
}

// NewCleaner returns a cleaner that begins at the given shard, so that hosts that
// start together clean different shards.
func NewCleaner(cfg CleanerConfig, shard int) *Cleaner {
	if cfg.MaxObjects == 0 {
		cfg.MaxObjects = 20
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Cleaner{cfg: cfg, shard: shard, id: rand.Text()}
}

// CleanBatch examines the next claims and returns the number removed.
func (c *Cleaner) CleanBatch(ctx context.Context) (int, error) {
	// Claims of open routes are stored under "-".
	workspaces := append([]string{"-"}, c.cfg.Workspaces()...)
	shard := c.shard % (shardsPerWorkspace * len(workspaces))
	shardPrefix := fmt.Sprintf("%s%s/%02x", objectPrefix, workspaces[shard/shardsPerWorkspace], shard%shardsPerWorkspace)
	list, err := c.cfg.Store.List(ctx, shardPrefix)
	if err != nil {
		return 0, err
	}
	removed, examined := 0, 0
	for _, obj := range list {
		if obj.Name <= c.lastExamined {
			continue
		}
		if examined == c.cfg.MaxObjects {
			return removed, nil
		}
		examined++
		c.lastExamined = obj.Name
		ok, err := c.removeExpired(ctx, obj.Name)
		if err != nil {
			return removed, err
		}
		if ok {
			removed++
		}
	}
	c.shard, c.lastExamined = shard+1, ""
	return removed, nil
}

// removeExpired deletes a claim if it has expired, in two conditional writes. The
// first marks the object with the cleaner's ID, so that only one cleaner deletes it:
// versions start again after a delete, so a second cleaner's late delete could
// otherwise remove the claim of a new request.
func (c *Cleaner) removeExpired(ctx context.Context, name string) (bool, error) {
	obj, err := c.cfg.Store.Get(ctx, name)
	if err != nil {
		return false, ignoreRace(err)
	}
	var rec record
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return false, nil
	}
	if c.cfg.Now().Add(-expiryMargin).UnixMilli() < rec.ExpiresMs {
		return false, nil
	}
	rec.State, rec.AttemptID = stateExpired, c.id
	rec.ExpiresMs = c.cfg.Now().UnixMilli()
	value, err := json.Marshal(rec)
	if err != nil {
		return false, err
	}
	version, err := c.cfg.Store.Put(ctx, name, value, obj.Version)
	if err != nil {
		return false, ignoreRace(err)
	}
	if err := c.cfg.Store.Delete(ctx, name, version); err != nil {
		return false, ignoreRace(err)
	}
	return true, nil
}

// ignoreRace drops the errors that occur when another host changed or deleted the object first.
func ignoreRace(err error) error {
	if errors.Is(err, storeclient.ErrConflict) || errors.Is(err, storeclient.ErrNotFound) {
		return nil
	}
	return err
}

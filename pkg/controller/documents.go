package controller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/router"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

const (
	// watchTimeout bounds how long one watch waits for a change.
	watchTimeout = 10 * time.Second
	// storeRetryBackoff is the wait after a failed call to the store.
	storeRetryBackoff = time.Second
	// pollInterval is the time between two polls of all heads, which find changes
	// that a watch failed to report.
	pollInterval = time.Second
	// hostListInterval is the time between two reads of the platform's host list.
	hostListInterval = 2 * time.Second
)

// watch watches an object in the store and passes each change to onChange.
func (c *Controller) watch(ctx context.Context, name string, onChange func(storeclient.Object)) {
	var after uint64
	for ctx.Err() == nil {
		sentAt := c.cfg.Clock.Now()
		obj, err := c.cfg.Store.Watch(ctx, name, after, watchTimeout)
		switch {
		case err == nil:
			after = obj.Version
			c.recordStoreContact(sentAt)
			onChange(obj)
		case errors.Is(err, storeclient.ErrNotModified):
			c.recordStoreContact(sentAt)
		default:
			clock.Sleep(ctx, storeRetryBackoff)
		}
	}
}

// pollHeads polls the versions of all heads, with one call for all kinds.
func (c *Controller) pollHeads(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := c.cfg.Clock.Now()
		heads, err := c.cfg.Store.List(ctx, replicator.HeadPrefix)
		if err == nil {
			c.recordStoreContact(sentAt)
			c.readNewerHeads(ctx, heads)
		}
		clock.Sleep(ctx, pollInterval)
	}
}

// readNewerHeads reads the heads that are newer than the documents in force.
func (c *Controller) readNewerHeads(ctx context.Context, heads []storeclient.Object) {
	inForce := c.Snapshot().Versions()
	stored := make(map[string]uint64, len(heads))
	for _, h := range heads {
		kind := strings.TrimPrefix(h.Name, replicator.HeadPrefix)
		if !slices.Contains(replicator.Kinds, kind) {
			continue
		}
		stored[kind] = h.Version
		if h.Version > inForce[kind] {
			c.readHead(ctx, kind)
		}
	}
	c.post(func() {
		c.startup.RecordStoreVersions(stored)
		c.publish()
	})
}

func (c *Controller) readHead(ctx context.Context, kind string) {
	obj, err := c.cfg.Store.Get(ctx, replicator.HeadName(kind))
	if err == nil {
		c.loadFromStore(ctx, kind, obj.Value)
	}
}

// loadFromStore reads the content that a head refers to, if it is newer, and offers
// the document.
func (c *Controller) loadFromStore(ctx context.Context, kind string, value []byte) {
	head := &schema.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		c.cfg.Log.Error().Str("kind", kind).Err(err).Msg("bad_head")
		return
	}
	if head.GetVersion() <= c.Snapshot().Versions()[kind] {
		return
	}
	content, err := c.cfg.Store.Get(ctx, replicator.ContentName(kind, head))
	if err != nil {
		c.cfg.Log.Warn().Str("kind", kind).Err(err).Msg("content_not_read")
		return
	}
	c.offerDocument(kind, head, content.Value)
}

// offerDocument verifies a document and puts it in force if it is newer.
func (c *Controller) offerDocument(kind string, head *schema.Head, content []byte) {
	doc, err := replicator.NewDocument(kind, head, content)
	if err != nil {
		c.cfg.Log.Error().Str("kind", kind).Err(err).Msg("document_refused")
		return
	}
	c.post(func() { c.applyDocument(doc) })
}

// applyDocument puts a document in force if it is newer. It runs on the control
// goroutine.
func (c *Controller) applyDocument(doc replicator.Document) {
	if doc.Head().GetVersion() <= c.docs.Version(doc.Kind()) {
		return
	}
	if err := c.decodeDocument(doc); err != nil {
		c.cfg.Log.Error().Str("kind", doc.Kind()).Err(err).Msg("document_refused")
		return
	}
	c.docs.PutIfNewer(doc)
	c.cfg.Meter.Set("version_"+doc.Kind(), int64(doc.Head().GetVersion()))
	c.cfg.Log.Info().Str("kind", doc.Kind()).Uint64("version", doc.Head().GetVersion()).Msg("in_force")
	c.publish()
}

// decodeDocument decodes a document into the input of the next snapshot.
func (c *Controller) decodeDocument(doc replicator.Document) (err error) {
	switch doc.Kind() {
	case replicator.KindConfig:
		c.input.Config, err = decodeOrKeep[schema.Config](doc, c.input.Config)
		if err == nil {
			c.limiter.SetLimits(bucketLimits(c.input.Config), c.cfg.Clock.Now())
			c.setSiteBlocks()
		}
	case replicator.KindKeys:
		c.input.Keys, err = decodeOrKeep[schema.Keys](doc, c.input.Keys)
	case replicator.KindDrains:
		c.input.Drains, err = decodeOrKeep[schema.Drains](doc, c.input.Drains)
	case replicator.KindPlan:
		c.input.Plan, err = decodeOrKeep[schema.Plan](doc, c.input.Plan)
		c.planInForceSince = c.cfg.Clock.Now()
	}
	return err
}

// decodeOrKeep returns the decoded document, or the old message and an error.
func decodeOrKeep[M any, P interface {
	*M
	proto.Message
}](doc replicator.Document, old P) (P, error) {
	msg, err := replicator.Decode[M, P](doc)
	if err != nil {
		return old, err
	}
	return msg, nil
}

// bucketLimits returns the limits of the token buckets for workspaces and shifts.
func bucketLimits(cfg *schema.Config) map[string]limiter.Limit {
	limits := make(map[string]limiter.Limit)
	for _, w := range cfg.GetWorkspaces() {
		limits[w.GetName()] = limiter.Limit{RatePerSecond: w.GetRatePerS(), Burst: w.GetBurst()}
	}
	// Without a link or a shift cap there is no bucket, so no request is shifted.
	for _, l := range cfg.GetLinks() {
		for _, s := range cfg.GetServices() {
			if rate := l.GetShiftCapPerS(); rate > 0 {
				limits[router.ShiftBucketName(s.GetName(), l.GetFrom(), l.GetTo())] = limiter.Limit{RatePerSecond: rate, Burst: rate}
			}
		}
	}
	return limits
}

// pollHosts polls the platform's list of hosts.
func (c *Controller) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := c.cfg.Clock.Now()
		hosts, err := c.cfg.Store.Hosts(ctx)
		if err == nil {
			c.recordStoreContact(sentAt)
			c.post(func() {
				c.members.ApplyHostList(hosts)
				c.startup.RecordHostList()
				if c.state == schema.HostState_HOST_STATE_STARTING {
					c.heartbeat(ctx)
				}
			})
		}
		clock.Sleep(ctx, hostListInterval)
	}
}

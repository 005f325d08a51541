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
	// watchWait is how long one watch call waits for a change.
	watchWait = 10 * time.Second
	// retryWait is the pause after a failed call to the store.
	retryWait = time.Second
	// pollInterval is the time between two looks at all heads, which catch
	// changes that a silent watch does not report.
	pollInterval = time.Second
	// hostsInterval is the time between two reads of the platform's host list.
	hostsInterval = 2 * time.Second
)

// watch follows an object in the store and gives each change to handle.
func (c *Controller) watch(ctx context.Context, name string, handle func(storeclient.Object)) {
	var after uint64
	for ctx.Err() == nil {
		sent := c.cfg.Clock.Now()
		obj, err := c.cfg.Store.Watch(ctx, name, after, watchWait)
		switch {
		case err == nil:
			after = obj.Version
			c.storeContact(sent)
			handle(obj)
		case errors.Is(err, storeclient.ErrNotModified):
			c.storeContact(sent)
		default:
			clock.Sleep(ctx, retryWait)
		}
	}
}

// pollHeads looks at all heads with one call.
func (c *Controller) pollHeads(ctx context.Context) {
	for ctx.Err() == nil {
		sent := c.cfg.Clock.Now()
		heads, err := c.cfg.Store.List(ctx, replicator.HeadPrefix)
		if err == nil {
			c.storeContact(sent)
			c.readHeads(ctx, heads)
		}
		clock.Sleep(ctx, pollInterval)
	}
}

// readHeads reads the heads that are newer than what is in force.
func (c *Controller) readHeads(ctx context.Context, heads []storeclient.Object) {
	have := c.Snapshot().Versions()
	stored := make(map[string]uint64, len(heads))
	for _, h := range heads {
		kind := strings.TrimPrefix(h.Name, replicator.HeadPrefix)
		if !slices.Contains(replicator.Kinds, kind) {
			continue
		}
		stored[kind] = h.Version
		if h.Version > have[kind] {
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

// loadFromStore reads the content that a head names and offers it.
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
	c.offer(kind, head, content.Value)
}

// offer checks a document and puts it in force if it is newer.
func (c *Controller) offer(kind string, head *schema.Head, content []byte) {
	doc, err := replicator.NewDocument(kind, head, content)
	if err != nil {
		c.cfg.Log.Error().Str("kind", kind).Err(err).Msg("document_refused")
		return
	}
	c.post(func() { c.accept(doc) })
}

// accept runs on the control goroutine.
func (c *Controller) accept(doc replicator.Document) {
	if doc.Head().GetVersion() <= c.docs.Version(doc.Kind()) {
		return
	}
	if err := c.decode(doc); err != nil {
		c.cfg.Log.Error().Str("kind", doc.Kind()).Err(err).Msg("document_refused")
		return
	}
	c.docs.PutIfNewer(doc)
	c.cfg.Meter.Set("version_"+doc.Kind(), int64(doc.Head().GetVersion()))
	c.cfg.Log.Info().Str("kind", doc.Kind()).Uint64("version", doc.Head().GetVersion()).Msg("in_force")
	c.publish()
}

func (c *Controller) decode(doc replicator.Document) (err error) {
	switch doc.Kind() {
	case replicator.KindConfig:
		c.input.Config, err = replaceWith[schema.Config](doc, c.input.Config)
		if err == nil {
			c.limiter.SetLimits(limitsOf(c.input.Config), c.cfg.Clock.Now())
			c.setSiteBlocks()
		}
	case replicator.KindKeys:
		c.input.Keys, err = replaceWith[schema.Keys](doc, c.input.Keys)
	case replicator.KindDrains:
		c.input.Drains, err = replaceWith[schema.Drains](doc, c.input.Drains)
	case replicator.KindPlan:
		c.input.Plan, err = replaceWith[schema.Plan](doc, c.input.Plan)
		c.planSince = c.cfg.Clock.Now()
	}
	return err
}

// replaceWith decodes a document, or keeps the old message when it cannot be decoded.
func replaceWith[M any, P interface {
	*M
	proto.Message
}](doc replicator.Document, old P) (P, error) {
	msg, err := replicator.Decode[M, P](doc)
	if err != nil {
		return old, err
	}
	return msg, nil
}

func limitsOf(cfg *schema.Config) map[string]limiter.Limit {
	limits := make(map[string]limiter.Limit)
	for _, w := range cfg.GetWorkspaces() {
		limits[w.GetName()] = limiter.Limit{RatePerSecond: w.GetRatePerS(), Burst: w.GetBurst()}
	}
	// A link that is missing or has no cap gets no bucket, so nothing is shifted over it.
	for _, l := range cfg.GetLinks() {
		for _, s := range cfg.GetServices() {
			if rate := l.GetShiftCapPerS(); rate > 0 {
				limits[router.ShiftBucketName(s.GetName(), l.GetFrom(), l.GetTo())] = limiter.Limit{RatePerSecond: rate, Burst: rate}
			}
		}
	}
	return limits
}

// pollHosts reads the platform's list of hosts.
func (c *Controller) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		sent := c.cfg.Clock.Now()
		hosts, err := c.cfg.Store.Hosts(ctx)
		if err == nil {
			c.storeContact(sent)
			c.post(func() {
				c.members.ApplyHostList(hosts)
				c.startup.RecordHostList()
				if c.state == schema.HostState_HOST_STATE_STARTING {
					c.heartbeat(ctx)
				}
			})
		}
		clock.Sleep(ctx, hostsInterval)
	}
}

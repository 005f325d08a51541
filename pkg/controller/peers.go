package controller

import (
	"context"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/tracker"
)

// buildReport returns the host's report about itself. It runs on the control
// goroutine.
func (c *Controller) buildReport() *schema.HostInfo {
	s := c.input.Self
	contactAge := tracker.NoStoreContact
	if c.hasStoreContact {
		contactAge = uint64(max(0, c.cfg.Clock.Now()-c.storeContactAt))
	}
	return &schema.HostInfo{
		Name: s.Name, Incarnation: s.Incarnation, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		State: c.state, Address: s.Address, PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress, Sequence: c.sequence,
		Versions: c.docs.Versions(), StoreContactAgeMs: contactAge, Requests: uint64(c.cfg.Meter.Get("requests")),
		Pools: c.cfg.PoolLoads(), BlocksVersion: c.input.Blocks.Version(), Demands: c.demand.rates,
	}
}

// heartbeat sends the host's report to its peers.
func (c *Controller) heartbeat(ctx context.Context) {
	c.sequence++
	sender, now := c.buildReport(), c.cfg.Clock.Now()
	namesByAddress := make(map[string]string)
	for _, m := range c.members.Members() {
		namesByAddress[m.Info().GetPeerAddress()] = m.Info().GetName()
	}
	for _, address := range c.heartbeatTargets() {
		c.startup.RecordPeerCall(address)
		fields := c.leaser.BuildHeartbeat(namesByAddress[address], c.sequence, now)
		go c.sendHeartbeat(ctx, address, now, &schema.HeartbeatRequest{
			Sender: sender, LedgerVersion: fields.LedgerVersion,
			Acknowledged: fields.AckedIncarnation, ReleaseHold: fields.ReleaseHold,
		})
	}
}

// heartbeatTargets returns the peer addresses of all members and of the seeds that
// are not members.
func (c *Controller) heartbeatTargets() []string {
	var out []string
	for _, m := range c.members.Members() {
		out = append(out, m.Info().GetPeerAddress())
	}
	for _, seed := range c.cfg.Seeds {
		if !slices.Contains(out, seed) && seed != c.input.Self.PeerAddress {
			out = append(out, seed)
		}
	}
	return out
}

func (c *Controller) sendHeartbeat(ctx context.Context, address string, sentAt clock.Millis, req *schema.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.cfg.DialPeer(ctx, address).Heartbeat(ctx, req)
	if err != nil {
		c.cfg.Meter.Add("heartbeats_failed", 1)
		c.post(func() { c.startup.RecordPeerResult(address, nil) })
		return
	}
	c.post(func() {
		var versions map[string]uint64
		if resp.GetSender().GetState() != schema.HostState_HOST_STATE_STARTING {
			versions = resp.GetSender().GetVersions()
		}
		c.startup.RecordPeerResult(address, versions)
		c.handleReport(ctx, resp.GetSender())
		c.handlePromise(ctx, req, resp, sentAt)
	})
}

// handleReport applies a host's report about itself, and fetches the documents of
// which that host has newer versions.
func (c *Controller) handleReport(ctx context.Context, info *schema.HostInfo) {
	if !c.members.ApplyReport(info, c.cfg.Clock.Now()) {
		return
	}
	if info.GetState() == schema.HostState_HOST_STATE_LEAVING && c.isActiveInSnapshot(info.GetName()) {
		// Before the next tick, look-ups must stop returning the host and its servers
		// must get another owner.
		c.publish()
	}
	c.fetchNewerBlocks(ctx, info)
	// A newer release may report kinds that are unknown here; they are not fetched.
	for _, kind := range replicator.Kinds {
		version := info.GetVersions()[kind]
		if version > c.docs.Version(kind) && !c.fetching[kind] {
			c.fetching[kind] = true
			go c.fetchDocument(context.WithoutCancel(ctx), info.GetPeerAddress(), kind, version)
		}
	}
}

// isActiveInSnapshot reports whether the snapshot contains the host and does not
// mark it as leaving.
func (c *Controller) isActiveInSnapshot(name string) bool {
	return slices.ContainsFunc(c.Snapshot().Hosts(), func(h snapshotter.Host) bool { return h.Name == name && !h.Leaving })
}

// fetchDocument fetches a document from a peer and offers it.
func (c *Controller) fetchDocument(ctx context.Context, address, kind string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer c.post(func() { delete(c.fetching, kind) })
	resp, err := c.cfg.DialPeer(ctx, address).FetchDocument(ctx, &schema.FetchDocumentRequest{Kind: kind, Version: version})
	if err != nil {
		c.cfg.Log.Warn().Str("kind", kind).Str("peer", address).Err(err).Msg("fetch_failed")
		return
	}
	c.offerDocument(kind, resp.GetHead(), resp.GetContent())
}

// Heartbeat handles a peer's heartbeat.
func (c *Controller) Heartbeat(ctx context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	// After an error the control goroutine may still write resp, so it is not returned.
	var resp *schema.HeartbeatResponse
	err := c.call(ctx, func() {
		c.handleReport(ctx, req.GetSender())
		promise := c.buildPromise(ctx, req)
		resp = &schema.HeartbeatResponse{Sender: c.buildReport(), Promise: promise, LedgerVersion: c.leaser.Version()}
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// FetchDocument returns the document of a kind that is in force, if its version is
// at least the requested one, or the head or a piece of the block table.
func (c *Controller) FetchDocument(ctx context.Context, req *schema.FetchDocumentRequest) (resp *schema.FetchDocumentResponse, err error) {
	if req.GetKind() == replicator.KindBlocks {
		return c.serveBlocks(req)
	}
	resp = &schema.FetchDocumentResponse{}
	err = c.call(ctx, func() {
		if doc, ok := c.docs.Get(req.GetKind()); ok && doc.Head().GetVersion() >= req.GetVersion() {
			resp.Head, resp.Content = doc.Head(), doc.Content()
		}
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

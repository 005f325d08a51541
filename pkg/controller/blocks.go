package controller

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/fetcher"
	"catkindyke/pkg/locator"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// blocksWatchTimeout bounds one watch for a new block table. After a watch without
// a change the version is polled once, in case the watch missed one.
const blocksWatchTimeout = 8 * time.Second

// blockPeersTTL is the time for which the list of peers to read pieces from is
// reused. A peer's new version takes about one heartbeat to arrive anyway.
const blockPeersTTL = clock.Second / 2

// blockDownload is the state of loading a new block table. A separate goroutine
// reads and decodes the pieces; the control goroutine only puts complete tables in
// force.
type blockDownload struct {
	heads chan *schema.BlocksHead
	// targetVersion is the version that is being loaded or was loaded last.
	targetVersion atomic.Uint64

	// peers are the hosts to read pieces from, as of peersUpdatedAt. Both belong to
	// the loading goroutine.
	peers          []fetcher.Peer
	peersUpdatedAt clock.Millis

	// mu guards loader, because other hosts read pieces from it during a load.
	mu     sync.Mutex
	loader *locator.Loader
}

// setSiteBlocks builds the table of the blocks that the configuration lists. It
// runs on the control goroutine.
func (c *Controller) setSiteBlocks() {
	table, err := locator.NewTableFromSites(c.input.Config.GetSites())
	if err != nil {
		c.cfg.Log.Error().Err(err).Msg("site_blocks_refused")
		return
	}
	c.input.SiteBlocks = table
}

// watchBlocks watches the head of the block table in the store.
func (c *Controller) watchBlocks(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		obj, err := c.cfg.Store.Watch(ctx, replicator.BlocksHeadName, after, blocksWatchTimeout)
		if errors.Is(err, storeclient.ErrNotModified) {
			obj, err = c.pollBlocksHead(ctx, after)
		}
		switch {
		case err == nil:
			after = obj.Version
			c.offerBlocksHead(obj.Value)
		case !errors.Is(err, storeclient.ErrNotModified):
			clock.Sleep(ctx, storeRetryBackoff)
		}
	}
}

// pollBlocksHead reads the head if its version is above after. It lists the head
// first: a list contains no values, so an unchanged head costs few bytes.
func (c *Controller) pollBlocksHead(ctx context.Context, after uint64) (storeclient.Object, error) {
	list, err := c.cfg.Store.List(ctx, replicator.BlocksHeadName)
	if err != nil {
		return storeclient.Object{}, err
	}
	for _, obj := range list {
		if obj.Name == replicator.BlocksHeadName && obj.Version > after {
			return c.cfg.Store.Get(ctx, replicator.BlocksHeadName)
		}
	}
	return storeclient.Object{}, storeclient.ErrNotModified
}

// offerBlocksHead passes a head to the loading goroutine if it is newer.
func (c *Controller) offerBlocksHead(value []byte) {
	head, err := locator.DecodeHead(value)
	if err != nil {
		c.cfg.Meter.Add("blocks_refused", 1)
		c.cfg.Log.Error().Err(err).Msg("blocks_head_refused")
		return
	}
	if head.GetVersion() <= c.blocks.targetVersion.Load() {
		return
	}
	select {
	case c.blocks.heads <- head:
	default:
		// The queue is full. A later heartbeat or poll reports the version again.
	}
}

// fetchNewerBlocks fetches the head of a peer that has a newer block table. It runs
// on the control goroutine.
func (c *Controller) fetchNewerBlocks(ctx context.Context, info *schema.HostInfo) {
	if info.GetBlocksVersion() <= c.blocks.targetVersion.Load() || c.fetching[replicator.KindBlocks] {
		return
	}
	c.fetching[replicator.KindBlocks] = true
	go func() {
		defer c.post(func() { delete(c.fetching, replicator.KindBlocks) })
		value, err := c.fetchBlocksContent(context.WithoutCancel(ctx), info.GetPeerAddress(), "")
		if err == nil && len(value) > 0 {
			c.offerBlocksHead(value)
		}
	}()
}

// fetchBlocksContent fetches a piece from a peer, or its head if sha is empty.
func (c *Controller) fetchBlocksContent(ctx context.Context, address, sha string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.cfg.DialPeer(ctx, address).FetchDocument(ctx, &schema.FetchDocumentRequest{Kind: replicator.KindBlocks, Sha256: sha})
	if err != nil {
		return nil, err
	}
	return resp.GetContent(), nil
}

// serveBlocks returns the head or the piece that a peer requests. The content is
// empty if the host does not have it.
func (c *Controller) serveBlocks(req *schema.FetchDocumentRequest) (*schema.FetchDocumentResponse, error) {
	table := c.Snapshot().Blocks()
	if req.GetSha256() == "" {
		if table == nil {
			return &schema.FetchDocumentResponse{}, nil
		}
		value, err := proto.Marshal(table.Head())
		return &schema.FetchDocumentResponse{Content: value}, err
	}
	raw, err := hex.DecodeString(req.GetSha256())
	if err != nil || len(raw) != 32 {
		return nil, fmt.Errorf("%w: piece name is not a SHA-256 in hex", locator.ErrCorrupt)
	}
	content, ok := table.Piece([32]byte(raw))
	if !ok {
		c.blocks.mu.Lock()
		defer c.blocks.mu.Unlock()
		content, _ = c.blocks.loader.Piece([32]byte(raw))
	}
	return &schema.FetchDocumentResponse{Content: content}, nil
}

// loadBlocks loads the tables of the heads it receives. A newer head replaces the
// one that is being loaded.
func (c *Controller) loadBlocks(ctx context.Context) {
	round := 0
	for ctx.Err() == nil {
		if !c.continueLoad(ctx) {
			select {
			case head := <-c.blocks.heads:
				c.startLoad(head)
			case <-ctx.Done():
			}
			continue
		}
		select {
		case head := <-c.blocks.heads:
			c.startLoad(head)
			round = 0
		default:
		}
		wait := fetcher.PieceInterval
		if c.loadPiece(ctx, round) {
			round = 0
		} else {
			wait = fetcher.RetryBackoff(round)
			round++
		}
		if c.continueLoad(ctx) {
			clock.Sleep(ctx, wait.Duration())
		}
	}
}

// continueLoad reports whether pieces are missing. It puts a complete table in force.
func (c *Controller) continueLoad(ctx context.Context) bool {
	loader := c.blocks.loader
	if loader == nil {
		return false
	}
	if len(loader.Missing()) > 0 {
		return true
	}
	table, err := loader.Table()
	if err != nil {
		c.cfg.Log.Error().Err(err).Msg("blocks_refused")
	} else {
		_ = c.call(ctx, func() { c.applyBlocks(table) })
	}
	c.blocks.mu.Lock()
	defer c.blocks.mu.Unlock()
	c.blocks.loader = nil
	return false
}

// startLoad starts to load the table of a head, with the pieces that the host has.
func (c *Controller) startLoad(head *schema.BlocksHead) {
	if head.GetVersion() <= c.blocks.targetVersion.Load() {
		return
	}
	loader, err := locator.NewLoader(head, c.Snapshot().Blocks())
	if err != nil {
		c.cfg.Log.Error().Err(err).Msg("blocks_head_refused")
		return
	}
	c.blocks.mu.Lock()
	defer c.blocks.mu.Unlock()
	loader.ReusePieces(c.blocks.loader)
	c.blocks.loader = loader
	c.blocks.targetVersion.Store(head.GetVersion())
	c.cfg.Log.Info().Uint64("version", head.GetVersion()).Int("pieces", len(head.GetPieces())).
		Int("missing", len(loader.Missing())).Msg("blocks_loading")
}

// applyBlocks puts a table in force if it is newer. It runs on the control goroutine.
func (c *Controller) applyBlocks(table *locator.Table) {
	if table.Version() <= c.input.Blocks.Version() {
		return
	}
	c.input.Blocks = table
	c.cfg.Meter.Set("version_blocks", int64(table.Version()))
	c.cfg.Log.Info().Str("kind", replicator.KindBlocks).Uint64("version", table.Version()).Msg("in_force")
	c.publish()
}

// loadPiece reads one piece and reports whether a source had it.
func (c *Controller) loadPiece(ctx context.Context, round int) bool {
	peers, err := c.blockPeers(ctx)
	if err != nil {
		return false
	}
	// Only this goroutine changes the loader, so reading needs no lock.
	loader := c.blocks.loader
	self := c.cfg.Self
	query := fetcher.Query{Self: self.Name, Region: self.Region, Version: loader.Head().GetVersion(), Round: round}
	if len(loader.Missing()) == 0 {
		return true
	}
	query.Piece = fetcher.NextPiece(query, loader.Missing(), peers)
	for _, source := range fetcher.Sources(query, peers) {
		content, err := c.readPiece(ctx, source, hex.EncodeToString(query.Piece[:]))
		if err != nil || len(content) == 0 {
			continue
		}
		c.blocks.mu.Lock()
		err = loader.Add(content)
		c.blocks.mu.Unlock()
		if err == nil {
			return true
		}
		c.cfg.Meter.Add("blocks_refused", 1)
		c.cfg.Log.Error().Str("source", source.Address).Err(err).Msg("blocks_piece_refused")
	}
	return false
}

func (c *Controller) readPiece(ctx context.Context, source fetcher.Source, sha string) ([]byte, error) {
	if source.Address != "" {
		c.cfg.Meter.Add("blocks_from_peers", 1)
		return c.fetchBlocksContent(ctx, source.Address, sha)
	}
	c.cfg.Meter.Add("blocks_from_store", 1)
	obj, err := c.cfg.Store.Get(ctx, replicator.BlocksPieceName(sha))
	return obj.Value, err
}

// blockPeers returns the live hosts with the versions of their block tables. The
// list is reused for blockPeersTTL: to build it for each piece would keep the
// control goroutine busy in a large fleet.
func (c *Controller) blockPeers(ctx context.Context) ([]fetcher.Peer, error) {
	now := c.cfg.Clock.Now()
	if c.blocks.peers != nil && now-c.blocks.peersUpdatedAt < blockPeersTTL {
		return c.blocks.peers, nil
	}
	var peers []fetcher.Peer
	err := c.call(ctx, func() {
		for _, m := range c.members.Members() {
			if m.IsLive(now) {
				info := m.Info()
				peers = append(peers, fetcher.Peer{
					Name: info.GetName(), Address: info.GetPeerAddress(), Region: info.GetRegion(), Version: info.GetBlocksVersion(),
				})
			}
		}
	})
	c.blocks.peers, c.blocks.peersUpdatedAt = peers, now
	return peers, err
}

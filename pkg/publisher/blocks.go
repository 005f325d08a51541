package publisher

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/locator"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

const (
	// pieceWriteInterval limits a publisher to 100 writes a second, because the
	// store takes several hundred and the hosts need most of them. It is also the
	// initial backoff of a piece, which grows fourfold with each attempt.
	pieceWriteInterval = 10 * time.Millisecond
	// maxPieceAttempts limits the attempts to write one piece.
	maxPieceAttempts = 5
)

// BlocksResult describes what a change of the block table wrote.
type BlocksResult struct {
	Head *schema.BlocksHead
	// PiecesWritten is the number of pieces that the previous table did not contain.
	PiecesWritten int
	// BytesWritten is the total size of those pieces.
	BytesWritten int
	// Changed is false when the table in force already contained the same blocks.
	Changed bool
}

// ReadBlocksHead returns the head of the block table, or an empty head with
// version 0 if no table was ever written.
func (p *Publisher) ReadBlocksHead(ctx context.Context) (*schema.BlocksHead, error) {
	obj, err := p.store.Get(ctx, replicator.BlocksHeadName)
	if errors.Is(err, storeclient.ErrNotFound) {
		return &schema.BlocksHead{}, nil
	}
	if err != nil {
		return nil, err
	}
	return locator.DecodeHead(obj.Value)
}

// WriteBlocks writes the pieces that the old head does not list and then the
// new head, on the condition that the table still has the old version. The list
// of sites must start with the sites of the old head, in the same order.
func (p *Publisher) WriteBlocks(ctx context.Context, old *schema.BlocksHead, sites []string, blocks []locator.Block, summary string) (BlocksResult, error) {
	pieces := locator.Split(blocks)
	head := locator.NewHead(sites, pieces)
	head.Version, head.AttemptId, head.Summary = old.GetVersion()+1, newAttemptID(), summary
	if old.GetVersion() > 0 {
		ids := append([]string{old.GetAttemptId()}, old.GetEarlierAttemptIds()...)
		head.EarlierAttemptIds = ids[:min(len(ids), maxEarlierAttemptIDs)]
	}
	res := BlocksResult{Head: head}
	existing := make(map[string]bool)
	for _, entry := range old.GetPieces() {
		existing[hex.EncodeToString(entry.GetSha256())] = true
	}
	for _, piece := range pieces {
		name := replicator.ContentHash(piece.Content())
		if existing[name] {
			continue
		}
		if err := p.writePiece(ctx, replicator.BlocksPieceName(name), piece.Content()); err != nil {
			return res, err
		}
		res.PiecesWritten++
		res.BytesWritten += len(piece.Content())
	}
	if old.GetVersion() > 0 && res.PiecesWritten == 0 && len(pieces) == len(old.GetPieces()) && len(sites) == len(old.GetSites()) {
		res.Head = old
		return res, nil
	}
	res.Changed = true
	value, err := proto.Marshal(head)
	if err != nil {
		return res, err
	}
	return res, p.writeBlocksHead(ctx, head, value, old.GetVersion())
}

func (p *Publisher) writePiece(ctx context.Context, name string, content []byte) error {
	var lastErr error
	for attempt := range maxPieceAttempts {
		clock.Sleep(ctx, pieceWriteInterval<<(2*attempt))
		_, err := p.store.Put(ctx, name, content, 0)
		if errors.Is(err, storeclient.ErrConflict) {
			err = p.repairPiece(ctx, name, content)
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, storeclient.ErrUnavailable) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// repairPiece compares a piece that is already in the store with its expected
// content and overwrites it if they differ.
func (p *Publisher) repairPiece(ctx context.Context, name string, content []byte) error {
	obj, err := p.store.Get(ctx, name)
	if err != nil || bytes.Equal(obj.Value, content) {
		return err
	}
	_, err = p.store.Put(ctx, name, content, obj.Version)
	return err
}

// writeBlocksHead retries the same conditional update until its outcome is
// known, as writeHead does for documents.
func (p *Publisher) writeBlocksHead(ctx context.Context, head *schema.BlocksHead, value []byte, ifVersion uint64) error {
	var err error
	for retry := range maxWriteAttempts {
		if retry > 0 {
			clock.Sleep(ctx, retryBackoff)
		}
		_, err = p.store.Put(ctx, replicator.BlocksHeadName, value, ifVersion)
		if err == nil {
			return nil
		}
		if errors.Is(err, storeclient.ErrConflict) {
			current, readErr := p.ReadBlocksHead(ctx)
			if readErr != nil {
				err = readErr
				continue
			}
			if current.GetAttemptId() == head.GetAttemptId() || slices.Contains(current.GetEarlierAttemptIds(), head.GetAttemptId()) {
				return nil
			}
			return fmt.Errorf("%w: blocks are at version %d: %s", ErrConflict, current.GetVersion(), current.GetSummary())
		}
		if !errors.Is(err, storeclient.ErrUnavailable) {
			return err
		}
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

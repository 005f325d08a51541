// Package publisher writes documents to the platform's store: immutable
// content first, then the head by one conditional update.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// ErrConflict says that another change was accepted first.
var ErrConflict = errors.New("another change was accepted first")

// ErrOutcomeUnknown says that the store gave no answer, so the change may be accepted or not.
var ErrOutcomeUnknown = errors.New("the store gave no answer; the change may have been accepted")

const (
	// rememberedAttempts is the number of earlier attempts that a head names. More
	// changes than this within the time of one write's tries are not expected.
	rememberedAttempts = 16
	// writeAttempts is how often a head is written while its outcome is unknown.
	writeAttempts = 5
	retryWait     = 200 * time.Millisecond
)

// Publisher writes documents.
type Publisher struct {
	store *storeclient.Client
}

// New returns a publisher.
func New(store *storeclient.Client) *Publisher {
	return &Publisher{store: store}
}

// Read returns the document in the store; a kind never written gives version 0 and no content.
func (p *Publisher) Read(ctx context.Context, kind string) (*schema.Head, []byte, error) {
	head, err := p.readHead(ctx, kind)
	if errors.Is(err, storeclient.ErrNotFound) {
		return &schema.Head{}, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	content, err := p.store.Get(ctx, replicator.ContentName(kind, head))
	if err != nil {
		return nil, nil, err
	}
	doc, err := replicator.NewDocument(kind, head, content.Value)
	if err != nil {
		return nil, nil, err
	}
	return head, doc.Content(), nil
}

// Write puts content in force if the document still has version ifVersion. It
// returns the new head. A lost answer is resolved by the attempt's identity.
func (p *Publisher) Write(ctx context.Context, kind string, content []byte, ifVersion uint64, summary string) (*schema.Head, error) {
	before, err := p.readHead(ctx, kind)
	if errors.Is(err, storeclient.ErrNotFound) {
		before, err = &schema.Head{}, nil
	}
	if err != nil {
		return nil, err
	}
	if before.GetVersion() != ifVersion {
		return nil, conflict(kind, before)
	}
	head := &schema.Head{
		Version: ifVersion + 1, Sha256: replicator.ContentHash(content), AttemptId: newAttemptID(), Summary: summary,
		EarlierAttemptIds: earlierAttempts(before),
	}
	name := replicator.ContentName(kind, head)
	if _, err := p.store.Put(ctx, name, content, 0); err != nil {
		if _, getErr := p.store.Get(ctx, name); getErr != nil {
			return nil, err
		}
	}
	value, err := proto.Marshal(head)
	if err != nil {
		return nil, err
	}
	written, err := p.writeHead(ctx, kind, head, value, ifVersion)
	if err == nil {
		p.deleteForgotten(ctx, kind, before)
	}
	return written, err
}

// deleteForgotten deletes the content of the attempt that the new head no
// longer remembers. A content whose deletion fails stays in the store.
func (p *Publisher) deleteForgotten(ctx context.Context, kind string, before *schema.Head) {
	ids := before.GetEarlierAttemptIds()
	if len(ids) < rememberedAttempts {
		return
	}
	forgotten := &schema.Head{Version: before.GetVersion() - rememberedAttempts, AttemptId: ids[rememberedAttempts-1]}
	_ = p.store.Delete(ctx, replicator.ContentName(kind, forgotten), 1)
}

// writeHead repeats the same conditional update until its outcome is known. A
// repeat is safe: if an earlier try took effect, the repeat conflicts and the
// head read back carries the attempt's identity.
func (p *Publisher) writeHead(ctx context.Context, kind string, head *schema.Head, value []byte, ifVersion uint64) (*schema.Head, error) {
	var err error
	for try := range writeAttempts {
		if try > 0 {
			clock.Sleep(ctx, retryWait)
		}
		_, err = p.store.Put(ctx, replicator.HeadName(kind), value, ifVersion)
		if err == nil {
			return head, nil
		}
		if errors.Is(err, storeclient.ErrConflict) {
			now, readErr := p.readHead(ctx, kind)
			if readErr != nil {
				err = readErr
				continue
			}
			if now.GetAttemptId() == head.GetAttemptId() || slices.Contains(now.GetEarlierAttemptIds(), head.GetAttemptId()) {
				return head, nil
			}
			return nil, conflict(kind, now)
		}
		if !errors.Is(err, storeclient.ErrUnavailable) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// conflict names the change that was accepted first.
func conflict(kind string, now *schema.Head) error {
	return fmt.Errorf("%w: %s is at version %d: %s", ErrConflict, kind, now.GetVersion(), now.GetSummary())
}

// earlierAttempts returns the identities that the head after before remembers.
func earlierAttempts(before *schema.Head) []string {
	if before.GetVersion() == 0 {
		return nil
	}
	ids := append([]string{before.GetAttemptId()}, before.GetEarlierAttemptIds()...)
	return ids[:min(len(ids), rememberedAttempts)]
}

func (p *Publisher) readHead(ctx context.Context, kind string) (*schema.Head, error) {
	obj, err := p.store.Get(ctx, replicator.HeadName(kind))
	if err != nil {
		return nil, err
	}
	head := &schema.Head{}
	if err := proto.Unmarshal(obj.Value, head); err != nil {
		return nil, fmt.Errorf("%w: head of %s: %v", replicator.ErrCorrupt, kind, err)
	}
	return head, nil
}

func newAttemptID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Change reads a document, edits the decoded message and writes it back. It
// repeats the edit when another change was accepted first, up to a few times.
func Change[M any, P interface {
	*M
	proto.Message
}](ctx context.Context, p *Publisher, kind, summary string, edit func(P) error) (*schema.Head, error) {
	var last error
	for range 8 {
		head, content, err := p.Read(ctx, kind)
		if err != nil {
			return nil, err
		}
		msg := P(new(M))
		if err := proto.Unmarshal(content, msg); err != nil {
			return nil, err
		}
		if err := edit(msg); err != nil {
			return nil, err
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
		if err != nil {
			return nil, err
		}
		written, err := p.Write(ctx, kind, value, head.GetVersion(), summary)
		if !errors.Is(err, ErrConflict) {
			return written, err
		}
		last = err
	}
	return nil, last
}

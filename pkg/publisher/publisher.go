// Package publisher writes documents to the platform's store: first the
// immutable content, then the head that refers to it, in one conditional update.
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

// ErrConflict is returned when another change was accepted first.
var ErrConflict = errors.New("another change was accepted first")

// ErrOutcomeUnknown is returned when the store sent no response, so that the
// change may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("no response from the store; the change may have been accepted")

const (
	// maxEarlierAttemptIDs limits the attempt IDs of earlier changes that a head
	// lists. It must exceed the number of changes accepted while one write is retried.
	maxEarlierAttemptIDs = 16
	// maxWriteAttempts limits the attempts to write a head whose outcome is unknown.
	maxWriteAttempts = 5
	retryBackoff     = 200 * time.Millisecond
)

// Publisher reads and writes documents in the store.
type Publisher struct {
	store *storeclient.Client
}

// New returns a publisher that uses the given store.
func New(store *storeclient.Client) *Publisher {
	return &Publisher{store: store}
}

// Read returns the head and content of a document, or an empty head with
// version 0 and no content if the kind was never written.
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

// Write replaces the content of a document if it still has version ifVersion,
// and returns the new head. If the store's response is lost, the attempt ID in
// the stored head tells whether the write succeeded.
func (p *Publisher) Write(ctx context.Context, kind string, content []byte, ifVersion uint64, summary string) (*schema.Head, error) {
	prev, err := p.readHead(ctx, kind)
	if errors.Is(err, storeclient.ErrNotFound) {
		prev, err = &schema.Head{}, nil
	}
	if err != nil {
		return nil, err
	}
	if prev.GetVersion() != ifVersion {
		return nil, conflictError(kind, prev)
	}
	head := &schema.Head{
		Version: ifVersion + 1, Sha256: replicator.ContentHash(content), AttemptId: newAttemptID(), Summary: summary,
		EarlierAttemptIds: earlierAttemptIDs(prev),
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
		p.deleteExpiredContent(ctx, kind, prev)
	}
	return written, err
}

// deleteExpiredContent deletes the content of the attempt that the new head no
// longer lists. Failures are ignored; the content then stays in the store.
func (p *Publisher) deleteExpiredContent(ctx context.Context, kind string, prev *schema.Head) {
	ids := prev.GetEarlierAttemptIds()
	if len(ids) < maxEarlierAttemptIDs {
		return
	}
	expired := &schema.Head{Version: prev.GetVersion() - maxEarlierAttemptIDs, AttemptId: ids[maxEarlierAttemptIDs-1]}
	_ = p.store.Delete(ctx, replicator.ContentName(kind, expired), 1)
}

// writeHead retries the same conditional update until its outcome is known.
// Retries are safe: if an earlier one succeeded, the next is refused with a
// conflict, and the stored head lists the attempt ID.
func (p *Publisher) writeHead(ctx context.Context, kind string, head *schema.Head, value []byte, ifVersion uint64) (*schema.Head, error) {
	var err error
	for retry := range maxWriteAttempts {
		if retry > 0 {
			clock.Sleep(ctx, retryBackoff)
		}
		_, err = p.store.Put(ctx, replicator.HeadName(kind), value, ifVersion)
		if err == nil {
			return head, nil
		}
		if errors.Is(err, storeclient.ErrConflict) {
			current, readErr := p.readHead(ctx, kind)
			if readErr != nil {
				err = readErr
				continue
			}
			if current.GetAttemptId() == head.GetAttemptId() || slices.Contains(current.GetEarlierAttemptIds(), head.GetAttemptId()) {
				return head, nil
			}
			return nil, conflictError(kind, current)
		}
		if !errors.Is(err, storeclient.ErrUnavailable) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// conflictError returns an ErrConflict that names the change accepted first.
func conflictError(kind string, current *schema.Head) error {
	return fmt.Errorf("%w: %s is at version %d: %s", ErrConflict, kind, current.GetVersion(), current.GetSummary())
}

// earlierAttemptIDs returns the attempt IDs that the successor of a head lists.
func earlierAttemptIDs(prev *schema.Head) []string {
	if prev.GetVersion() == 0 {
		return nil
	}
	ids := append([]string{prev.GetAttemptId()}, prev.GetEarlierAttemptIds()...)
	return ids[:min(len(ids), maxEarlierAttemptIDs)]
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

// Change reads a document, applies edit to the decoded message and writes it
// back. On a conflict with another change it starts again, up to 8 times in all.
func Change[M any, P interface {
	*M
	proto.Message
}](ctx context.Context, p *Publisher, kind, summary string, edit func(P) error) (*schema.Head, error) {
	var lastErr error
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
		lastErr = err
	}
	return nil, lastErr
}

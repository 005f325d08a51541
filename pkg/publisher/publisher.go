// Package publisher writes documents to the platform's store: immutable
// content first, then the head by one conditional update.
package publisher

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// ErrConflict says that another change was accepted first.
var ErrConflict = errors.New("another change was accepted first")

// ErrUnknown says that the store gave no answer, so the change may be accepted or not.
var ErrUnknown = errors.New("the store gave no answer; the change may have been accepted")

// resolveAttempts is how often the head is read back after a lost answer.
const resolveAttempts = 5

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
	obj, err := p.store.Get(ctx, replicator.HeadName(kind))
	if errors.Is(err, storeclient.ErrNotFound) {
		return &schema.Head{}, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	head := &schema.Head{}
	if err := proto.Unmarshal(obj.Value, head); err != nil {
		return nil, nil, fmt.Errorf("%w: head of %s: %v", replicator.ErrCorrupt, kind, err)
	}
	content, err := p.store.Get(ctx, replicator.ContentName(kind, head.GetSha256()))
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
	head := &schema.Head{Version: ifVersion + 1, Sha256: replicator.Sum(content), AttemptId: newAttemptID(), Summary: summary}
	name := replicator.ContentName(kind, head.GetSha256())
	if _, err := p.store.Put(ctx, name, content, 0); err != nil && !errors.Is(err, storeclient.ErrConflict) {
		if _, getErr := p.store.Get(ctx, name); getErr != nil {
			return nil, err
		}
	}
	value, err := proto.Marshal(head)
	if err != nil {
		return nil, err
	}
	_, err = p.store.Put(ctx, replicator.HeadName(kind), value, ifVersion)
	switch {
	case err == nil:
		return head, nil
	case errors.Is(err, storeclient.ErrConflict), errors.Is(err, storeclient.ErrUnavailable):
		return p.resolve(ctx, kind, head, err)
	default:
		return nil, err
	}
}

// resolve decides by reading back whether an attempt took effect. A conflict is
// read back too, because a repeat of the call below the client may have
// conflicted with its own first try.
func (p *Publisher) resolve(ctx context.Context, kind string, attempt *schema.Head, cause error) (*schema.Head, error) {
	for range resolveAttempts {
		obj, err := p.store.Get(ctx, replicator.HeadName(kind))
		if errors.Is(err, storeclient.ErrNotFound) {
			return nil, fmt.Errorf("%w: %v", ErrUnknown, cause)
		}
		if err != nil {
			continue
		}
		now := &schema.Head{}
		if err := proto.Unmarshal(obj.Value, now); err != nil {
			return nil, err
		}
		switch {
		case now.GetAttemptId() == attempt.GetAttemptId():
			return attempt, nil
		case now.GetVersion() >= attempt.GetVersion():
			return nil, fmt.Errorf("%w: %s is at version %d: %s", ErrConflict, kind, now.GetVersion(), now.GetSummary())
		}
		// The head is still older: a write whose answer was lost may yet arrive.
		return nil, fmt.Errorf("%w: %v", ErrUnknown, cause)
	}
	return nil, fmt.Errorf("%w: %v", ErrUnknown, cause)
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

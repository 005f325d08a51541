// Package replicator keeps the newest version of each document that a host
// has seen and never goes back to an older one.
package replicator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/schema"
)

// Kinds of documents.
const (
	KindConfig = "config"
	KindKeys   = "keys"
	KindDrains = "drains"
	KindPlan   = "plan"
)

// Kinds lists all kinds of documents.
var Kinds = []string{KindConfig, KindKeys, KindDrains, KindPlan}

// ErrCorrupt says that a document's content does not match its head.
var ErrCorrupt = errors.New("document content does not match its head")

// LedgerName is the object that records the holder of each share slot.
const LedgerName = "ledger"

// HeadPrefix starts the object names of all heads, so that one list call shows their versions.
const HeadPrefix = "heads/"

// HeadName returns the object name of a kind's head.
func HeadName(kind string) string { return HeadPrefix + kind }

// ContentName returns the object name of the content that a head names. Each
// attempt has its own object, so that old contents can be deleted without
// harm to another attempt with the same content.
func ContentName(kind string, head *schema.Head) string {
	return fmt.Sprintf("contents/%s/%d-%s", kind, head.GetVersion(), head.GetAttemptId())
}

// ContentHash returns the SHA-256 of a content in hexadecimal.
func ContentHash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Document is one version of a document.
type Document struct {
	kind    string
	head    *schema.Head
	content []byte
}

// NewDocument checks the content against the head.
func NewDocument(kind string, head *schema.Head, content []byte) (Document, error) {
	if head.GetVersion() == 0 || ContentHash(content) != head.GetSha256() {
		return Document{}, fmt.Errorf("%w: %s version %d", ErrCorrupt, kind, head.GetVersion())
	}
	return Document{kind: kind, head: head, content: content}, nil
}

// Kind returns the document's kind.
func (d Document) Kind() string { return d.kind }

// Head returns the head that names the content.
func (d Document) Head() *schema.Head { return d.head }

// Content returns the encoded content.
func (d Document) Content() []byte { return d.content }

// Decode decodes a document's content into a message of type M.
func Decode[M any, P interface {
	*M
	proto.Message
}](d Document) (P, error) {
	out := P(new(M))
	if err := proto.Unmarshal(d.content, out); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrCorrupt, d.kind, err)
	}
	return out, nil
}

// Set holds the newest document of each kind.
type Set struct {
	docs map[string]Document
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{docs: make(map[string]Document)}
}

// PutIfNewer keeps d if it is newer than what the set holds and reports whether it did.
func (s *Set) PutIfNewer(d Document) bool {
	if d.head.GetVersion() <= s.Version(d.kind) {
		return false
	}
	s.docs[d.kind] = d
	return true
}

// Version returns the version held of a kind, zero for none.
func (s *Set) Version(kind string) uint64 {
	return s.docs[kind].head.GetVersion()
}

// Get returns the document held of a kind.
func (s *Set) Get(kind string) (Document, bool) {
	d, ok := s.docs[kind]
	return d, ok
}

// Versions returns the versions held, by kind.
func (s *Set) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(s.docs))
	for kind, d := range s.docs {
		out[kind] = d.head.GetVersion()
	}
	return out
}

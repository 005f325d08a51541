// Package replicator holds the newest version of each document that a host has
// received. It never goes back to an older version.
package replicator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/schema"
)

// The kinds of documents.
const (
	KindConfig = "config"
	KindKeys   = "keys"
	KindDrains = "drains"
	KindPlan   = "plan"
)

// Kinds lists the kinds of documents.
var Kinds = []string{KindConfig, KindKeys, KindDrains, KindPlan}

// ErrCorrupt is returned if a document's content does not match its head or cannot
// be decoded.
var ErrCorrupt = errors.New("document content does not match its head")

// LedgerName is the name of the object that records the holder of each share slot.
const LedgerName = "ledger"

// HeadPrefix is the prefix of the object names of all heads, so that one list call
// returns their versions.
const HeadPrefix = "heads/"

// HeadName returns the object name of the head of a kind.
func HeadName(kind string) string { return HeadPrefix + kind }

// ContentName returns the object name of the content to which a head refers. Each
// attempt to publish writes its own object, so that deleting old contents cannot
// delete those of another attempt with the same content.
func ContentName(kind string, head *schema.Head) string {
	return fmt.Sprintf("contents/%s/%d-%s", kind, head.GetVersion(), head.GetAttemptId())
}

// ContentHash returns the SHA-256 of a document's content in hexadecimal.
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

// NewDocument returns a document after checking its content against its head.
func NewDocument(kind string, head *schema.Head, content []byte) (Document, error) {
	if head.GetVersion() == 0 || ContentHash(content) != head.GetSha256() {
		return Document{}, fmt.Errorf("%w: %s version %d", ErrCorrupt, kind, head.GetVersion())
	}
	return Document{kind: kind, head: head, content: content}, nil
}

// Kind returns the document's kind.
func (d Document) Kind() string { return d.kind }

// Head returns the document's head.
func (d Document) Head() *schema.Head { return d.head }

// Content returns the document's encoded content.
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

// PutIfNewer stores d if it is newer than the stored version, and reports whether
// it did.
func (s *Set) PutIfNewer(d Document) bool {
	if d.head.GetVersion() <= s.Version(d.kind) {
		return false
	}
	s.docs[d.kind] = d
	return true
}

// Version returns the stored version of a kind, zero if there is none.
func (s *Set) Version(kind string) uint64 {
	return s.docs[kind].head.GetVersion()
}

// Get returns the stored document of a kind.
func (s *Set) Get(kind string) (Document, bool) {
	d, ok := s.docs[kind]
	return d, ok
}

// Versions returns the stored versions, by kind.
func (s *Set) Versions() map[string]uint64 {
	out := make(map[string]uint64, len(s.docs))
	for kind, d := range s.docs {
		out[kind] = d.head.GetVersion()
	}
	return out
}

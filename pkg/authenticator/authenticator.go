// Package authenticator maps the workspace keys of requests to workspaces.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"catkindyke/pkg/schema"
)

// KeyHeader is the header that carries the workspace key of a request.
const KeyHeader = "Catkindyke-Key"

// Errors returned by Workspace.
var (
	// ErrNoKey is returned for a request without a key.
	ErrNoKey = errors.New("no workspace key")
	// ErrBadKey is returned for a key that is unknown or revoked.
	ErrBadKey = errors.New("unknown or revoked workspace key")
	// ErrAmbiguousKey is returned for a request with more than one key.
	ErrAmbiguousKey = errors.New("more than one workspace key")
)

// Authenticator is an immutable table of key hashes.
type Authenticator struct {
	entries map[[sha256.Size]byte]entry
}

type entry struct {
	sum       [sha256.Size]byte
	workspace string
}

// New returns an authenticator for a keys document. Entries with an invalid hash are
// skipped.
func New(keys *schema.Keys) *Authenticator {
	a := &Authenticator{entries: make(map[[sha256.Size]byte]entry)}
	for _, k := range keys.GetKeys() {
		raw, err := hex.DecodeString(k.GetSha256())
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		sum := [sha256.Size]byte(raw)
		a.entries[sum] = entry{sum: sum, workspace: k.GetWorkspace()}
	}
	return a
}

// Hash returns the SHA-256 of a key in hexadecimal, as stored in the keys document.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Workspace returns the workspace of the key in a request's header.
func (a *Authenticator) Workspace(h http.Header) (string, error) {
	key, err := presentedKey(h)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256([]byte(key))
	// The look-up uses the hash of the presented key, so its duration reveals
	// nothing about stored keys.
	e, ok := a.entries[sum]
	if !ok || subtle.ConstantTimeCompare(e.sum[:], sum[:]) != 1 {
		return "", ErrBadKey
	}
	return e.workspace, nil
}

func presentedKey(h http.Header) (string, error) {
	var keys []string
	keys = append(keys, h.Values(KeyHeader)...)
	for _, v := range h.Values("Authorization") {
		if scheme, token, ok := strings.Cut(v, " "); ok && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(token))
		}
	}
	switch {
	case len(keys) == 0 || keys[0] == "":
		return "", ErrNoKey
	case len(keys) > 1:
		return "", ErrAmbiguousKey
	}
	return keys[0], nil
}

// StripKeyHeaders removes every header that can carry a key.
func StripKeyHeaders(h http.Header) {
	h.Del(KeyHeader)
	h.Del("Authorization")
	h.Del("Proxy-Authorization")
}

package authenticator

import (
	"errors"
	"net/http"
	"testing"

	"catkindyke/pkg/schema"
)

func testAuthenticator() *Authenticator {
	return New(&schema.Keys{Keys: []*schema.Key{
		{Sha256: Hash("key-a"), Workspace: "a"},
		{Sha256: Hash("key-b"), Workspace: "b"},
		{Sha256: "not hexadecimal", Workspace: "c"},
		{Sha256: "abcd", Workspace: "d"},
		{Sha256: "", Workspace: "e"},
	}})
}

// TestWorkspace guards against a request that runs for a workspace whose key it does
// not carry, in any form of the header.
func TestWorkspace(t *testing.T) {
	for _, tc := range []struct {
		name   string
		header http.Header
		want   string
		err    error
	}{
		{"own_header", http.Header{"Catkindyke-Key": {"key-a"}}, "a", nil},
		{"bearer", http.Header{"Authorization": {"Bearer key-b"}}, "b", nil},
		{"bearer_case_and_space", http.Header{"Authorization": {"bEaReR  key-b "}}, "b", nil},
		{"none", http.Header{}, "", ErrNoKey},
		{"empty", http.Header{"Catkindyke-Key": {""}}, "", ErrNoKey},
		{"empty_bearer", http.Header{"Authorization": {"Bearer "}}, "", ErrNoKey},
		{"basic", http.Header{"Authorization": {"Basic key-a"}}, "", ErrNoKey},
		{"scheme_only", http.Header{"Authorization": {"key-a"}}, "", ErrNoKey},
		{"proxy", http.Header{"Proxy-Authorization": {"Bearer key-a"}}, "", ErrNoKey},
		{"unknown", http.Header{"Catkindyke-Key": {"key-c"}}, "", ErrBadKey},
		{"hash_as_key", http.Header{"Catkindyke-Key": {Hash("key-a")}}, "", ErrBadKey},
		{"prefix", http.Header{"Catkindyke-Key": {"key-"}}, "", ErrBadKey},
		{"list", http.Header{"Catkindyke-Key": {"key-a, key-b"}}, "", ErrBadKey},
		{"two_values", http.Header{"Catkindyke-Key": {"key-a", "key-a"}}, "", ErrAmbiguousKey},
		{"two_forms", http.Header{"Catkindyke-Key": {"key-a"}, "Authorization": {"Bearer key-b"}}, "", ErrAmbiguousKey},
		{"unrelated_scheme", http.Header{"Catkindyke-Key": {"key-a"}, "Authorization": {"Basic x"}}, "a", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := testAuthenticator().Workspace(tc.header)
			if got != tc.want || !errors.Is(err, tc.err) {
				t.Errorf("got %q and %v, want %q and %v", got, err, tc.want, tc.err)
			}
		})
	}
}

// TestEmptyTable guards against a host without a keys document that accepts any key.
func TestEmptyTable(t *testing.T) {
	for _, key := range []string{"", "x"} {
		if got, err := New(nil).Workspace(http.Header{"Catkindyke-Key": {key}}); err == nil {
			t.Errorf("key %q was accepted for %q", key, got)
		}
	}
}

// TestStripKeyHeaders guards against a header that can carry a key and is passed on.
func TestStripKeyHeaders(t *testing.T) {
	h := http.Header{
		"Catkindyke-Key": {"k"}, "Authorization": {"Basic k", "Bearer k"}, "Proxy-Authorization": {"k"}, "Accept": {"x"},
	}
	StripKeyHeaders(h)
	if len(h) != 1 || h.Get("Accept") != "x" {
		t.Errorf("remaining headers %v", h)
	}
}

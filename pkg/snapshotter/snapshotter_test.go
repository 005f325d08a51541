package snapshotter

import (
	"fmt"
	"net/http"
	"testing"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/schema"
)

func newInput() Input {
	return Input{
		Config: &schema.Config{Services: []*schema.Service{{
			Name:           "dispatch",
			BackendServers: []*schema.BackendServer{{Name: "a", Region: "north"}, {Name: "b", Region: "north"}},
			OpenRoutes:     []string{"/dispatch/open"},
		}}},
		Keys:   &schema.Keys{Keys: []*schema.Key{{Sha256: authenticator.Hash("k"), Workspace: "lakes"}}},
		Drains: &schema.Drains{}, Plan: &schema.Plan{},
	}
}

// TestNext checks that a table is rebuilt when its document has changed.
func TestNext(t *testing.T) {
	in := newInput()
	first := Build(in)
	key := http.Header{authenticator.KeyHeader: {"k"}}
	in.Keys = &schema.Keys{}
	second := first.Next(in)
	if _, err := second.Authenticator().Workspace(key); err == nil {
		t.Error("a revoked key is still accepted")
	}
	in.Drains = &schema.Drains{BackendServers: []string{"a"}}
	third := second.Next(in)
	assertServers(t, second, 2)
	assertServers(t, third, 1)
	in.Config = &schema.Config{Services: in.Config.Services, Settings: &schema.Settings{TrustedProxies: []string{"10.0.0.0/8"}}}
	if len(third.Next(in).trustedProxies) != 1 {
		t.Error("the trusted proxy of the new configuration is missing")
	}
}

// TestIsOpenRoute checks that an open route does not match paths that merely have
// it as a string prefix.
func TestIsOpenRoute(t *testing.T) {
	svc, _ := Build(newInput()).Service("dispatch")
	for path, want := range map[string]bool{
		"/dispatch/open": true, "/dispatch/open/x": true, "/dispatch/opening": false, "/dispatch": false, "/dispatch/x": false,
	} {
		if svc.IsOpenRoute(path) != want {
			t.Errorf("IsOpenRoute(%s) = %t, want %t", path, !want, want)
		}
	}
}

// BenchmarkNext measures the snapshot built at each heartbeat with 10,000 keys.
func BenchmarkNext(b *testing.B) {
	in := newInput()
	for n := range 10000 {
		in.Keys.Keys = append(in.Keys.Keys, &schema.Key{Sha256: authenticator.Hash(fmt.Sprint(n)), Workspace: "lakes"})
	}
	snap := Build(in)
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			Build(in)
		}
	})
	b.Run("next", func(b *testing.B) {
		for b.Loop() {
			snap = snap.Next(in)
		}
	})
}

func assertServers(t *testing.T, s *Snapshot, want int) {
	t.Helper()
	svc, _ := s.Service("dispatch")
	if got := len(svc.Servers("north")); got != want {
		t.Errorf("got %d servers, want %d", got, want)
	}
}

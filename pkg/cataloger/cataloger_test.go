package cataloger

import (
	"errors"
	"slices"
	"testing"
)

func validConfig() Config {
	return Config{
		Version:  3,
		Services: []Service{{Name: "desk"}, {Name: "mill"}},
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: []WeightedService{{"desk", 1}}, Timeout: 800, MaxAttempts: 2},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: []WeightedService{{"mill", 1}}, Timeout: 800, MaxAttempts: 2},
		},
		Workspaces: []Workspace{{Name: "lakes", Keys: []string{"k1", "k2"}}, {Name: "ropes", Keys: []string{"k3"}}},
	}
}

func withCatalog(t *testing.T, modify func(*Config), test func(*Catalog)) {
	t.Helper()
	cfg := validConfig()
	if modify != nil {
		modify(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	test(c)
}

// The longest prefix must win, and a prefix must not match in the middle of a path
// segment.
func TestMatch(t *testing.T) {
	withCatalog(t, nil, func(c *Catalog) {
		for path, want := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/x/yy/": "short", "/x": "", "/": ""} {
			got := ""
			if r := c.Match("A.example", path); r != nil {
				got = r.Name
			}
			if got != want {
				t.Errorf("path %s: route %q, want %q", path, got, want)
			}
		}
		if c.Match("b.example", "/x/") != nil {
			t.Error("a route of another host matched")
		}
	})
}

func TestWorkspaceByKey(t *testing.T) {
	withCatalog(t, nil, func(c *Catalog) {
		if w := c.WorkspaceByKey("k2"); w == nil || w.Name != "lakes" {
			t.Errorf("workspace of key k2 is %v, want lakes", w)
		}
		if c.WorkspaceByKey("") != nil || c.WorkspaceByKey("k9") != nil {
			t.Error("an unknown key returned a workspace")
		}
	})
}

// Invalid configurations must be rejected even if the store delivers them, so that a host
// keeps its last valid one.
func TestInvalidConfig(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"unknown service":              func(c *Config) { c.Routes[0].Services[0].Service = "none" },
		"no service":                   func(c *Config) { c.Routes[0].Services = nil },
		"prefix without a final slash": func(c *Config) { c.Routes[0].Prefix = "/x" },
		"no timeout":                   func(c *Config) { c.Routes[0].Timeout = 0 },
		"no attempts":                  func(c *Config) { c.Routes[0].MaxAttempts = 0 },
		"shared key":                   func(c *Config) { c.Workspaces[1].Keys = []string{"k1"} },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := validConfig()
			modify(&cfg)
			if _, err := New(cfg); !errors.Is(err, ErrInvalidConfig) {
				t.Errorf("error %v, want ErrInvalid", err)
			}
		})
	}
}

// Empty lists of home regions must allow all regions; they once left none that could serve
// the request.
func TestAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, workspace, want []string
		all                    bool
	}{
		"none":             {all: true},
		"empty lists":      {route: []string{}, workspace: []string{}, all: true},
		"route":            {route: []string{"n"}, workspace: []string{}, want: []string{"n"}},
		"workspace":        {route: []string{}, workspace: []string{"s"}, want: []string{"s"}},
		"both":             {route: []string{"n", "s"}, workspace: []string{"s", "e"}, want: []string{"s"}},
		"no common region": {route: []string{"n"}, workspace: []string{"s"}, want: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := AllowedRegions(&Route{HomeRegions: c.route}, &Workspace{HomeRegions: c.workspace})
			if c.all != (got == nil) || !slices.Equal(got, c.want) {
				t.Errorf("allowed regions %v, want %v", got, c.want)
			}
		})
	}
}

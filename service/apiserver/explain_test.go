package apiserver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// TestExplain checks that explanations match what a host does with a request.
func TestExplain(t *testing.T) {
	in := snapshotter.Input{
		Self: snapshotter.Host{Name: "h", Region: "north"}, Plan: &schema.Plan{}, Drains: &schema.Drains{Regions: []string{"north"}},
		Keys: &schema.Keys{Keys: []*schema.Key{{Workspace: "lakes"}}}, RegionHealth: map[string]int{"north": 1000, "south": 1000},
		Config: &schema.Config{
			Services: []*schema.Service{{Name: "s", OpenRoutes: []string{"/s/open"}, BackendServers: []*schema.BackendServer{
				{Name: "b-n", Region: "north"}, {Name: "b-s", Region: "south"},
			}}},
			Workspaces: []*schema.Workspace{{Name: "lakes", RatePerS: 5}},
			Links:      []*schema.Link{{From: "north", To: "south", ShiftCapPerS: 7}},
		},
	}
	tests := []struct {
		name, query, want string
		status            int
	}{
		{"shifted", "service=s&workspace=lakes", "served in south", http.StatusOK},
		{"no_key", "service=s&workspace=nobody", "bad_key", http.StatusOK},
		{"open", "service=s&path=/s/open", "served in south", http.StatusOK},
		{"no_link", "service=s&path=/s/open&region=east", "no_server", http.StatusOK},
		{"unknown", "service=x", "", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			cfg := Config{Snapshot: func() *snapshotter.Snapshot { return snapshotter.Build(in) }, LocalTokens: func(string) float64 { return 1 }}
			NewOperatorHandler(cfg).ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/explain?"+tt.query, nil))
			var got Explanation
			if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if rec.Code != tt.status || got.Verdict != tt.want {
				t.Errorf("status %d verdict %q, want %d %q", rec.Code, got.Verdict, tt.status, tt.want)
			}
		})
	}
}

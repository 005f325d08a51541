package runner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkindyke/pkg/logger"
)

// TestVarsOfEachHost guards against an operator page with the metrics of another host in
// the same process.
func TestVarsOfEachHost(t *testing.T) {
	withFleet(t, 4, func(fl *fleet) {
		fl.waitFor("servers owned", 10*time.Second, fl.allOwned)
		fl.hosts["host-0"].Meter().Publish()
		fl.hosts["host-0"].Meter().Set("trial", 1)
		fl.hosts["host-1"].Meter().Set("trial", 2)
		for name, want := range map[string]int{"host-0": 1, "host-1": 2} {
			rec := httptest.NewRecorder()
			fl.hosts[name].OperatorHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/debug/vars", http.NoBody))
			var vars struct {
				Catkindyke map[string]int `json:"catkindyke"`
				Memstats   map[string]any `json:"memstats"`
			}
			assertNoError(t, json.Unmarshal(rec.Body.Bytes(), &vars), "decode")
			if vars.Catkindyke["trial"] != want || len(vars.Memstats) == 0 {
				t.Errorf("%s: trial %d, want %d; %d memory statistics", name, vars.Catkindyke["trial"], want, len(vars.Memstats))
			}
		}
	})
}

// TestServerErrorsAreEvents guards against messages of net/http that are not in the host's
// log, or that span several lines.
func TestServerErrorsAreEvents(t *testing.T) {
	var out bytes.Buffer
	f, err := logger.New(logger.Config{Output: &out, Level: "info"})
	assertNoError(t, err, "logger")
	newErrorLog(f.For(logger.Traffic)).Printf("http: panic serving: boom\ngoroutine 1\nmain.go:1")
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "http_server_error") || !strings.Contains(got, "boom") {
		t.Errorf("log %q, want one line", got)
	}
}

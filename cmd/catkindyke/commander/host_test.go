package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/platform"
	"catkindyke/platform/emulator"
)

// waitTimeout limits each wait of these tests, far above the expected time.
const waitTimeout = 30 * time.Second

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// slowPath is the path of requests to which a backend server never responds.
const slowPath = "/x/slow"

// newBackendServer starts backend server s1. It rejects requests for other servers.
func newBackendServer(t *testing.T) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := platform.Headers()
		if r.Header.Get(h.Key) != "" {
			t.Error("the key reached the backend server")
		}
		if r.Header.Get(h.ExpectedServer) != "s1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == slowPath {
			_, _ = io.Copy(io.Discard, r.Body) // a disconnection is noticed after the body
			<-r.Context().Done()
			return
		}
		w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
		_, _ = io.WriteString(w, r.Header.Get(h.Workspace)+" "+r.URL.Path)
	}))
}

func hostConfig(version int, keys string) string {
	return fmt.Sprintf(`{"Version":"r%d","Services":[{"Name":"desk","HealthPath":"/h","MaxConns":9,"ColdStartS":1,"ColdPerS":10}],
"Limits":{},"Tenants":[{"Name":"lakes","ApiKeys":[%s]}],"Hosts":[{"Host":"a.example","Paths":[{"Name":"p","PathPrefix":"/x/",
"Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,"Service":"desk","Attempts":2}]}]}`, version, keys)
}

// withHost runs a host against an emulated platform store. The function stop starts
// the host's planned stop.
func withHost(t *testing.T, test func(store *emulator.Store, settings platform.Settings, stop func())) {
	t.Helper()
	withStoppedHost(t, clock.Second, test)
}

// withStoppedHost is like withHost, with a grace period for the planned stop.
func withStoppedHost(t *testing.T, grace clock.Millis, test func(store *emulator.Store, settings platform.Settings, stop func())) {
	t.Helper()
	store := emulator.New(100)
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	backendServer := newBackendServer(t)
	defer func() { backendServer.CloseClientConnections(); backendServer.Close() }()
	store.Put("config", "main", hostConfig(1, `"k1","k2"`))
	store.Put("servers", "s1", fmt.Sprintf(
		`{"Service":"desk","Address":%q,"Zone":"z1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}`,
		strings.TrimPrefix(backendServer.URL, "http://")))
	settings := platform.Settings{
		Host: "h1", AvailabilityZone: "z1", Region: "r1", RegionOf: map[string]string{"z1": "r1"},
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), PeerAddress: freeAddress(t), LookupAddress: freeAddress(t),
		StoreAddress: strings.TrimPrefix(storeServer.URL, "http://"),
		StopGrace:    grace, MaxRevocationDelay: 5000, MaxLookupTTL: 5000, MaxShift: 0.15,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runHost(ctx, settings, zerolog.Nop()) }()
	test(store, settings, cancel)
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("host: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the host did not stop")
	}
	storeServer.CloseClientConnections()
}

// fetch sends a GET request and returns its status and body. The status is 0 if
// there is no response.
func fetch(url, key string) (int, string) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "a.example"
	r.Header.Set(platform.Headers().RequestID, "r1")
	r.Header.Set(platform.Headers().Key, key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// waitForStatus sends a request until the response has a given status.
func waitForStatus(t *testing.T, step, url, key string, want int) string {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		status, body := fetch(url, key)
		if status == want {
			return body
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: status %d, want %d", step, status, want)
		}
	}
}

// TestHostServes checks the whole path from a look-up to a response, with documents in
// the format of the platform's store.
func TestHostServes(t *testing.T) {
	withHost(t, func(store *emulator.Store, settings platform.Settings, _ func()) {
		caller := "http://" + settings.CallerAddress
		waitForStatus(t, "readiness", "http://"+settings.ReadinessAddress+"/readiness", "", http.StatusOK)
		lookupAnswer := waitForStatus(t, "look-up", "http://"+settings.LookupAddress+"/resolve?Name=a.example&Region=r1&Zone=z1", "", http.StatusOK)
		if !strings.Contains(lookupAnswer, settings.CallerAddress) {
			t.Errorf("look-up answer %s does not name %s", lookupAnswer, settings.CallerAddress)
		}
		if body := waitForStatus(t, "request", caller+"/x/1", "k1", http.StatusOK); body != "lakes /x/1" {
			t.Errorf("response body %q", body)
		}
		waitForStatus(t, "unknown key", caller+"/x/1", "k9", http.StatusUnauthorized)
		waitForStatus(t, "unknown route", caller+"/y/1", "k1", http.StatusNotFound)
		store.Put("config", "main", hostConfig(2, `"k2"`))
		waitForStatus(t, "revoked key", caller+"/x/1", "k1", http.StatusUnauthorized)
		waitForStatus(t, "remaining key", caller+"/x/1", "k2", http.StatusOK)
		store.Put("evacuations", "z1", "{}")
		waitForStatus(t, "evacuated zone", caller+"/x/1", "k2", http.StatusServiceUnavailable)
		store.Delete("evacuations", "z1")
		waitForStatus(t, "restored zone", caller+"/x/1", "k2", http.StatusOK)
	})
}

package runner

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
)

// startListening starts a host with listeners on the loopback interface.
func startListening(t *testing.T, platform *emulator.Platform, storeURL, name string) *Host {
	t.Helper()
	var listeners [3]net.Listener
	for i := range listeners {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		assertNoError(t, err, "listen")
	}
	h, err := Start(Config{
		Name: name, Region: "north", AvailabilityZone: "north-a", StoreURL: storeURL,
		CallerListener: listeners[0], OperatorListener: listeners[1], PeerListener: listeners[2], Loggers: logger.Discard(),
	})
	assertNoError(t, err, "start "+name)
	t.Cleanup(h.Kill)
	platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: "north", AvailabilityZone: "north-a",
		Address: h.CallerAddress(), PeerAddress: h.PeerAddress(),
	})
	return h
}

// eventually waits until a condition is met. The limit of 30 s only ends a test that hangs.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 6000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what + ": condition not met")
}

// startListeningPair starts two hosts of one region and a backend server with three slots.
// setLimit writes a configuration with another limit of connections.
func startListeningPair(t *testing.T, handler http.Handler, state func(net.Conn, http.ConnState), connections uint32) (remaining, stopping *Host, setLimit func(uint32)) {
	t.Helper()
	platform := emulator.NewPlatform(emulator.Budget{ReadsPerSecond: 2000, WritesPerSecond: 300})
	store := httptest.NewServer(platform)
	t.Cleanup(store.Close)
	backend := httptest.NewUnstartedServer(handler)
	backend.Config.ConnState = state
	backend.Start()
	t.Cleanup(backend.Close)
	version := uint64(0)
	setLimit = func(connections uint32) {
		t.Helper()
		cfg, err := proto.Marshal(&schema.Config{
			Regions: []*schema.Region{{Name: "north", AvailabilityZones: []string{"north-a"}}},
			Services: []*schema.Service{{
				Name: "dispatch", Slots: 3, Connections: connections, ServiceTimeMs: 10, DeadlineMs: 20000,
				ProgressTimeoutMs: 20000, OpenRoutes: []string{"/dispatch"},
				BackendServers: []*schema.BackendServer{{
					Name: "backend-0", Address: backend.Listener.Addr().String(), Region: "north", AvailabilityZone: "north-a",
				}},
			}},
			Settings: &schema.Settings{LookupAgeMs: 100},
		})
		assertNoError(t, err, "encode")
		client := storeclient.New(storeclient.Config{BaseURL: store.URL})
		head, err := publisher.New(client).Write(context.Background(), replicator.KindConfig, cfg, version, "test")
		assertNoError(t, err, "write")
		version = head.GetVersion()
	}
	setLimit(connections)
	remaining, stopping = startListening(t, platform, store.URL, "stays"), startListening(t, platform, store.URL, "goes")
	eventually(t, "server owned", func() bool {
		return remaining.Snapshot().Ready() && stopping.Snapshot().Ready() && len(remaining.Snapshot().Hosts()) == 2 &&
			len(stopping.Snapshot().Hosts()) == 2 && len(remaining.slots.grantableServers())+len(stopping.slots.grantableServers()) == 1
	})
	return remaining, stopping, setLimit
}

// TestPlannedStopListeners guards against a planned stop that cuts an upload, keeps
// callers' connections open, or no longer responds to peers while an upload is in flight.
func TestPlannedStopListeners(t *testing.T) {
	remaining, stopping, _ := startListeningPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}), nil, 0)
	get := func(h *Host) *http.Response {
		resp, err := http.Get("http://" + h.CallerAddress() + "/dispatch/x")
		assertNoError(t, err, "request")
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Logf("%s", text)
		}
		return resp
	}
	assertStatus(t, get(stopping), http.StatusOK, "before the stop")
	body, upload := io.Pipe()
	type result struct {
		text string
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+stopping.CallerAddress()+"/dispatch/upload", body)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- result{"", err}
			return
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		answered <- result{string(text), err}
	}()
	_, err := upload.Write([]byte("first,"))
	assertNoError(t, err, "upload")
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Stop(context.Background()) }()
	eventually(t, "connections close", stopping.pending.closing.Load)
	if resp := get(stopping); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v: want 200 and true, to serve a caller with a cached look-up answer and close its connection", resp.StatusCode, resp.Close)
	}
	eventually(t, "listener closed", func() bool {
		conn, err := net.Dial("tcp", stopping.CallerAddress())
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	report := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := remaining.cfg.DialPeer(ctx, stopping.PeerAddress()).ReportPermits(ctx, remaining.slots.buildReport("goes", "north"))
		return err
	}
	eventually(t, "share slots handed over", func() bool { return stopping.Lease().Slots == 0 })
	assertNoError(t, report(), "report to the host while its upload goes on")
	select {
	case err := <-stopped:
		t.Fatalf("stopped before the upload had ended: %v", err)
	default:
	}
	_, err = upload.Write([]byte("last"))
	assertNoError(t, err, "upload")
	assertNoError(t, upload.Close(), "end of the upload")
	r := <-answered
	assertNoError(t, r.err, "upload")
	if strings.TrimSpace(r.text) != "first,last" {
		t.Errorf("response %q, want the uploaded bytes", r.text)
	}
	assertNoError(t, <-stopped, "stop")
	eventually(t, "refusal of a connection", func() bool { return errors.Is(report(), syscall.ECONNREFUSED) })
	assertStatus(t, get(remaining), http.StatusOK, "after the stop")
}

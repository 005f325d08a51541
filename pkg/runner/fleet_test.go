package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/emulator"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
	"catkindyke/pkg/tracer"
)

// fleet is a deployment in memory that runs in the virtual time of a synctest bubble.
type fleet struct {
	t        *testing.T
	network  *emulator.Network
	platform *emulator.Platform
	backends map[string]*emulator.Backend
	hosts    map[string]*Host
	places   map[string]emulator.Place
	// tracing configures hosts that are started later.
	tracing tracer.Config
	store   *storeclient.Client
	pub     *publisher.Publisher
	// slowLeaving makes the slow server report that it is leaving. slowRequests counts its
	// requests, and lastSlowRequest is the time of the last one in nanoseconds.
	slowLeaving                   atomic.Bool
	slowRequests, lastSlowRequest atomic.Int64
}

const (
	testKey  = "test-key-of-lakes"
	storeURL = "http://store:1"
)

var storePlace = emulator.Place{Region: "north", AvailabilityZone: "north-store"}

// withFleet starts hosts in two regions with two zones each, runs f in virtual time and
// stops everything.
func withFleet(t *testing.T, hosts int, f func(*fleet)) {
	t.Helper()
	withTracedFleet(t, hosts, tracer.Config{}, f)
}

// withTracedFleet is like withFleet, with hosts that export spans.
func withTracedFleet(t *testing.T, hosts int, tracing tracer.Config, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t)
		fl.tracing = tracing
		defer synctest.Wait()
		defer fl.killAll()
		for n := range hosts {
			fl.start(fmt.Sprintf("host-%d", n), testPlaces[n%len(testPlaces)])
		}
		fl.waitFor("all hosts ready", 10*time.Second, fl.allReady)
		f(fl)
	})
}

var testPlaces = []emulator.Place{
	{Region: "north", AvailabilityZone: "north-a"},
	{Region: "south", AvailabilityZone: "south-a"},
	{Region: "north", AvailabilityZone: "north-b"},
	{Region: "south", AvailabilityZone: "south-b"},
}

func newFleet(t *testing.T) *fleet {
	fl := &fleet{
		t: t,
		network: emulator.NewNetwork(emulator.NetworkConfig{
			SameZoneDelay: 100 * time.Microsecond, SameRegionDelay: 500 * time.Microsecond, CrossRegionDelay: 20 * time.Millisecond,
		}),
		platform: emulator.NewPlatform(emulator.Budget{ReadsPerSecond: 2000, WritesPerSecond: 300}),
		backends: make(map[string]*emulator.Backend), hosts: make(map[string]*Host),
		places: make(map[string]emulator.Place),
	}
	fl.network.Listen("store:1", storePlace, fl.platform)
	fl.store = storeclient.New(storeclient.Config{BaseURL: storeURL, Transport: fl.network.Transport(storePlace)})
	fl.pub = publisher.New(fl.store)
	cfg := &schema.Config{
		Regions: []*schema.Region{
			{Name: "north", AvailabilityZones: []string{"north-a", "north-b"}},
			{Name: "south", AvailabilityZones: []string{"south-a", "south-b"}},
		},
		Services: []*schema.Service{{
			Name: "dispatch", Slots: 3, Connections: 100, ServiceTimeMs: 10, DeadlineMs: 2000,
			OpenRoutes: []string{"/dispatch/open"}, HealthPath: "/healthz",
		}},
		Workspaces: []*schema.Workspace{{Name: "lakes", RatePerS: 100, Burst: 240, Weight: 1}},
		Settings:   &schema.Settings{LookupAgeMs: 2000},
	}
	for n, place := range testPlaces {
		name, address := fmt.Sprintf("backend-%d", n), fmt.Sprintf("backend-%d:1", n)
		fl.backends[name] = emulator.NewBackend(emulator.BackendConfig{Name: name, Slots: 3, ServiceTime: 10 * time.Millisecond})
		fl.network.Listen(address, place, fl.backends[name])
		cfg.Services[0].BackendServers = append(cfg.Services[0].BackendServers, &schema.BackendServer{
			Name: name, Address: address, Region: place.Region, AvailabilityZone: place.AvailabilityZone,
		})
	}
	fl.write(replicator.KindConfig, cfg)
	fl.write(replicator.KindKeys, &schema.Keys{Keys: []*schema.Key{{Sha256: authenticator.Hash(testKey), Workspace: "lakes", Label: "a"}}})
	return fl
}

// start starts a host and adds it to the platform's list.
func (fl *fleet) start(name string, place emulator.Place) *Host {
	fl.t.Helper()
	return fl.startWithSeeds(name, place)
}

func (fl *fleet) startWithSeeds(name string, place emulator.Place, seeds ...string) *Host {
	fl.t.Helper()
	h, err := Start(Config{
		Name: name, Region: place.Region, AvailabilityZone: place.AvailabilityZone, StoreURL: storeURL, Seeds: seeds,
		CallerAddress: name + ":1", PeerAddress: name + ":2", Loggers: logger.Discard(), Tracing: fl.tracing,
		StoreTransport: fl.network.Transport(place), BackendTransport: fl.network.Transport(place), DialPeer: fl.network.PeerDialer(place),
	})
	assertNoError(fl.t, err, "start "+name)
	fl.hosts[name], fl.places[name] = h, place
	fl.network.ListenPeer(name+":2", place, h.PeerHandler())
	fl.platform.SetHost(storeclient.Host{
		Name: name, State: storeclient.HostLive, Region: place.Region, AvailabilityZone: place.AvailabilityZone,
		Address: name + ":1", PeerAddress: name + ":2",
	})
	return h
}

// kill ends a host at once, as a crash does.
func (fl *fleet) kill(name string) {
	fl.network.Close(name + ":2")
	fl.hosts[name].Kill()
	delete(fl.hosts, name)
}

func (fl *fleet) killAll() {
	for name := range fl.hosts {
		fl.kill(name)
	}
}

// write writes a document as the next version of the stored one and returns the version.
func (fl *fleet) write(kind string, msg proto.Message) uint64 {
	fl.t.Helper()
	head, _, err := fl.pub.Read(context.Background(), kind)
	assertNoError(fl.t, err, "read "+kind)
	value, err := proto.Marshal(msg)
	assertNoError(fl.t, err, "encode "+kind)
	written, err := fl.pub.Write(context.Background(), kind, value, head.GetVersion(), "test")
	assertNoError(fl.t, err, "write "+kind)
	return written.GetVersion()
}

func (fl *fleet) allReady() bool {
	for _, h := range fl.hosts {
		if s := h.Snapshot(); !s.Ready() || s.Versions()[replicator.KindKeys] == 0 || len(s.Hosts()) != len(fl.hosts) {
			return false
		}
	}
	return true
}

// inForce returns a condition: every host has at least the given version of a kind of
// document in force.
func (fl *fleet) inForce(kind string, version uint64) func() bool {
	return func() bool {
		for _, h := range fl.hosts {
			if h.Snapshot().Versions()[kind] < version {
				return false
			}
		}
		return true
	}
}

// waitFor waits until a condition is met and returns the virtual time that passed.
func (fl *fleet) waitFor(what string, limit time.Duration, condition func() bool) time.Duration {
	fl.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			fl.t.Fatalf("%s: condition not met within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// get sends a request to a host and returns the response.
func (fl *fleet) get(host, path, key string) *http.Response {
	h := make(http.Header)
	if key != "" {
		h.Set(authenticator.KeyHeader, key)
	}
	return fl.send(host, http.MethodGet, path, h, "")
}

func (fl *fleet) send(host, method, path string, h http.Header, body string) *http.Response {
	return sendTo(fl.hosts[host], method, path, h, body)
}

func sendTo(to *Host, method, path string, h http.Header, body string) *http.Response {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header = h
	rec := httptest.NewRecorder()
	to.CallerHandler().ServeHTTP(rec, req)
	return rec.Result()
}

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

func assertStatus(t *testing.T, resp *http.Response, want int, step string) {
	t.Helper()
	if resp.StatusCode != want {
		t.Fatalf("%s: status %d, want %d", step, resp.StatusCode, want)
	}
}

// Package runner assembles and runs a host: control state, forwarder, slots of the
// backend servers and listeners.
package runner

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"catkindyke/pkg/claimer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/controller"
	"catkindyke/pkg/dialer"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
	"catkindyke/pkg/storeclient"
	"catkindyke/pkg/tracer"
	"catkindyke/service/apiserver"
	"catkindyke/service/peerserver"
)

// Config holds the settings and dependencies of a host.
type Config struct {
	// Name is the host's name, unique in the fleet.
	Name string
	// Region is the host's region.
	Region string
	// AvailabilityZone is the host's availability zone.
	AvailabilityZone string
	// StoreURL is the address of the platform's object API.
	StoreURL string
	// Seeds are peer addresses of other hosts, for the time while the store is down.
	Seeds []string
	// CallerListener, OperatorListener and PeerListener are closed by the host. A host
	// without listeners is called through its handlers.
	CallerListener, OperatorListener, PeerListener net.Listener
	// CallerAddress, PeerAddress and OperatorAddress are announced to other hosts. The
	// default is the address of the listener.
	CallerAddress, PeerAddress, OperatorAddress string
	// StoreTransport and BackendTransport, if set, replace network connections.
	StoreTransport, BackendTransport http.RoundTripper
	// DialPeer, if set, replaces network connections to other hosts.
	DialPeer func(ctx context.Context, address string) schema.DRPCPeerClient
	// CallerTLS, if set, is used to serve callers with TLS.
	CallerTLS *tls.Config
	// PeerServerTLS and PeerClientTLS configure mutual TLS between hosts.
	PeerServerTLS, PeerClientTLS *tls.Config
	// OnAdmit, if set, is called for each request that its workspace's rate admits.
	OnAdmit func(workspace string)
	// Loggers creates the loggers of the subsystems.
	Loggers *logger.Factory
	// Tracing configures the export of spans.
	Tracing tracer.Config
}

// Host is a running host.
type Host struct {
	cfg            Config
	meter          *meter.Meter
	controller     *controller.Controller
	forwarder      *forwarder.Forwarder
	store          *storeclient.Client
	dialer         *dialer.Dialer
	tracing        *tracer.Provider
	callerServer   *http.Server
	operatorServer *http.Server
	peerServer     *peerserver.Server
	cancel         context.CancelFunc
	// ctx is canceled when the host ends.
	ctx             context.Context
	clock           clock.Clock
	log             zerolog.Logger
	slots           *slotState
	ownerStats      *ownerStats
	healthTransport http.RoundTripper
	routeCounters   *routeCounters
	pending         pendingWork
	// backendTransports hold the connections to backend servers. They are nil if
	// Config.BackendTransport is set.
	backendTransports *forwarder.Transports
}

// Limits that protect a host from callers with too large headers, slow headers or idle
// connections.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 120 * time.Second
)

// Start assembles a host and starts it.
func Start(cfg Config) (*Host, error) {
	healthTransport := cfg.BackendTransport
	if healthTransport == nil {
		healthTransport = forwarder.NewTransport(1)
	}
	var backendTransports *forwarder.Transports
	if cfg.BackendTransport == nil {
		backendTransports = forwarder.NewTransports()
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg: cfg, meter: meter.New(), cancel: cancel, ctx: ctx, ownerStats: newOwnerStats(), healthTransport: healthTransport,
		routeCounters: newRouteCounters(), backendTransports: backendTransports,
	}
	provider, err := tracer.New(ctx, cfg.Tracing)
	if err != nil {
		cancel()
		return nil, err
	}
	h.tracing = provider
	h.store = storeclient.New(storeclient.Config{BaseURL: cfg.StoreURL, Transport: cfg.StoreTransport})
	h.dialer = dialer.New(dialer.Config{TLS: cfg.PeerClientTLS})
	if h.cfg.DialPeer == nil {
		h.cfg.DialPeer = h.dialer.PeerClient
	}
	clk := clock.New()
	incarnation := uint64(time.Now().UnixNano())
	h.clock, h.log = clk, cfg.Loggers.For(logger.Traffic)
	h.slots = newSlotState(cfg.Name, incarnation, clk)
	h.controller = controller.New(controller.Config{
		Self: snapshotter.Host{
			Name: cfg.Name, Incarnation: incarnation, Region: cfg.Region,
			AvailabilityZone: cfg.AvailabilityZone, Address: cfg.CallerAddress,
			PeerAddress: cfg.PeerAddress, OperatorAddress: cfg.OperatorAddress,
		},
		Store: h.store, DialPeer: h.cfg.DialPeer, Seeds: cfg.Seeds, Clock: clk, PoolLoads: h.slots.poolLoads,
		Log: cfg.Loggers.For(logger.Control), Meter: h.meter,
	})
	h.forwarder = forwarder.New(forwarder.Config{
		Snapshot: h.controller.Snapshot, Admit: h.admit, Acquire: h.acquire,
		Clock: clk, Log: cfg.Loggers.For(logger.Traffic), Meter: h.meter, Tracer: provider.Tracer(),
		Transport: cfg.BackendTransport, Transports: backendTransports,
		Claims: claimer.New(claimer.Config{Store: h.store}),
	})
	api := apiserver.Config{
		Snapshot: h.controller.Snapshot, Meter: h.meter, Forwarder: h.forwarder, Clock: clk, StoreCalls: h.storeCallCounts, LocalTokens: h.bucketTokens,
		Share: h.shareStatus,
	}
	errorLog := newErrorLog(cfg.Loggers.For(logger.Traffic))
	h.callerServer = newHTTPServer(h.pending.track(apiserver.NewCallerHandler(api)), errorLog)
	h.operatorServer = newHTTPServer(apiserver.NewOperatorHandler(api), errorLog)
	if err := h.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	go h.controller.Run(ctx)
	go h.runSlots(ctx)
	go h.cleanClaims(ctx)
	return h, nil
}

// withDefaults sets empty addresses to those of the listeners.
func (cfg Config) withDefaults() Config {
	if cfg.CallerAddress == "" && cfg.CallerListener != nil {
		cfg.CallerAddress = cfg.CallerListener.Addr().String()
	}
	if cfg.PeerAddress == "" && cfg.PeerListener != nil {
		cfg.PeerAddress = cfg.PeerListener.Addr().String()
	}
	if cfg.OperatorAddress == "" && cfg.OperatorListener != nil {
		cfg.OperatorAddress = cfg.OperatorListener.Addr().String()
	}
	return cfg
}

// listen starts to serve the listeners, if the host has any.
func (h *Host) listen(ctx context.Context) error {
	if h.cfg.CallerListener == nil {
		return nil
	}
	peer, err := peerserver.New(peerserver.Config{Register: h.registerPeer, TLS: h.cfg.PeerServerTLS})
	if err != nil {
		return err
	}
	h.peerServer = peer
	go func() { _ = h.peerServer.Serve(ctx, h.cfg.PeerListener) }()
	go func() { _ = h.operatorServer.Serve(h.cfg.OperatorListener) }()
	listener := h.cfg.CallerListener
	if h.cfg.CallerTLS != nil {
		listener = tls.NewListener(listener, h.cfg.CallerTLS)
	}
	go func() { _ = h.callerServer.Serve(listener) }()
	return nil
}

func newHTTPServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ErrorLog: errorLog, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
}

// Snapshot returns the latest snapshot of the host's control state.
func (h *Host) Snapshot() *snapshotter.Snapshot { return h.controller.Snapshot() }

// shareStatus returns the host's share as the status page shows it. A remaining time of
// -1 means that the lease has no end.
func (h *Host) shareStatus() apiserver.StatusShare {
	lease, now := h.controller.Lease(), h.clock.Now()
	switch {
	case lease.Deadline >= leaser.Forever:
		return apiserver.StatusShare{Slots: lease.Slots, LeaseRemainingMs: -1, LedgerVersion: lease.LedgerVersion}
	case now >= lease.Deadline:
		return apiserver.StatusShare{LedgerVersion: lease.LedgerVersion}
	default:
		return apiserver.StatusShare{Slots: lease.Slots, LeaseRemainingMs: int64(lease.Deadline - now), LedgerVersion: lease.LedgerVersion}
	}
}

// Lease returns the host's lease on share slots of the fleet-wide rates.
func (h *Host) Lease() controller.Lease { return h.controller.Lease() }

// Meter returns the host's metrics.
func (h *Host) Meter() *meter.Meter { return h.meter }

// Store returns the host's client of the object API.
func (h *Host) Store() *storeclient.Client { return h.store }

func (h *Host) storeCallCounts() (reads, writes int64) { return h.store.Reads(), h.store.Writes() }

// CallerHandler returns the handler of callers' requests.
func (h *Host) CallerHandler() http.Handler { return h.callerServer.Handler }

// OperatorHandler returns the handler of operators' requests.
func (h *Host) OperatorHandler() http.Handler { return h.operatorServer.Handler }

// PeerHandler returns the handler of calls from other hosts.
func (h *Host) PeerHandler() schema.DRPCPeerServer { return &peerHandler{h} }

// CallerAddress returns the address for callers.
func (h *Host) CallerAddress() string { return h.cfg.CallerAddress }

// OperatorAddress returns the address for operators.
func (h *Host) OperatorAddress() string { return h.cfg.OperatorAddress }

// PeerAddress returns the address for other hosts.
func (h *Host) PeerAddress() string { return h.cfg.PeerAddress }

// Kill ends the host at once, without an announcement, as a crash does.
func (h *Host) Kill() {
	h.cancel()
	_ = h.callerServer.Close()
	_ = h.operatorServer.Close()
	if h.cfg.PeerListener != nil {
		_ = h.cfg.PeerListener.Close()
	}
	_ = h.dialer.Close()
	if h.backendTransports != nil {
		h.backendTransports.CloseIdleConnections()
	}
	if t, ok := h.healthTransport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// peerHandler handles the calls of other hosts.
type peerHandler struct {
	*Host
}

// Heartbeat implements schema.DRPCPeerServer.
func (p *peerHandler) Heartbeat(ctx context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	return p.controller.Heartbeat(ctx, req)
}

// FetchDocument implements schema.DRPCPeerServer.
func (p *peerHandler) FetchDocument(ctx context.Context, req *schema.FetchDocumentRequest) (*schema.FetchDocumentResponse, error) {
	return p.controller.FetchDocument(ctx, req)
}

// Borrow implements schema.DRPCPeerServer.
func (p *peerHandler) Borrow(ctx context.Context, req *schema.BorrowRequest) (*schema.BorrowResponse, error) {
	return p.controller.Borrow(ctx, req)
}

func (h *Host) registerPeer(mux drpc.Mux) error {
	return schema.DRPCRegisterPeer(mux, h.PeerHandler())
}

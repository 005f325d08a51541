package commander

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dialer"
	"catkindyke/pkg/hoster"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/reserver"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/screener"
	"catkindyke/platform"
	"catkindyke/service/peerserver"
)

const (
	// lookupTTL is the TTL of look-up answers. A shorter TTL moves callers away from a
	// failed host sooner, but each halving doubles the look-ups.
	lookupTTL = 2 * clock.Second
	// shiftShareFraction is the fraction of MaxShift, the share of requests that may
	// shift between regions within 2 s, that changes of shares may use. Random
	// variation and retries use the rest.
	shiftShareFraction = 0.3
	// coldSlackReserve is the part of the cold slack, in requests per second, left for
	// hosts that disagree on the number of live hosts.
	coldSlackReserve = 1
	// exitReserve is the part of the stop's grace period left for the process to exit.
	exitReserve = 500 * time.Millisecond
	// lameDuckPeriod is how long a stopping host still accepts new connections from
	// callers with cached look-up answers.
	lameDuckPeriod = 3 * time.Second
	// drainPollInterval is the interval at which a stopping host looks for open connections.
	drainPollInterval = 10 * time.Millisecond
	// memoryLimitFraction is the fraction of the memory limit that the Go runtime may
	// use. Kernel buffers need the rest.
	memoryLimitFraction = 0.7
	// gcPercent is lower than Go's default of 100 because hosts have little memory, and
	// collections of their heap of a few megabytes are cheap.
	gcPercent = 40
	// defaultHeaderTimeout and defaultIdleTimeout apply to callers until there is a
	// configuration, and always to the platform's calls.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes limits a request header, whatever is configured. ownHeaderBytes and
	// defaultHeaderTimeout limit those of look-ups, readiness checks and metrics if callers'
	// headers have no larger limits.
	maxHeaderBytes = 1 << 20
	ownHeaderBytes = 8 << 10
)

func (c *Commander) hostCommand() *ffcli.Command {
	fs := flag.NewFlagSet("host", flag.ContinueOnError)
	level := fs.String("log-level", "info", "lowest level logged: debug, info, warn or error")
	return c.buildCommand(ffcli.Command{
		Name: "host", ShortUsage: "catkindyke host [flags]",
		ShortHelp: "Runs one entry host on the platform until it is terminated.", FlagSet: fs,
		LongHelp: "The settings come from the file that " + platform.SettingsVariable + " names; see docs/platform.md. " +
			"An interrupt starts a planned stop, in which no request is cut.",
		Exec: func(ctx context.Context, args []string) error { return c.runHostCommand(ctx, *level, args) },
	})
}

func (c *Commander) runHostCommand(ctx context.Context, level string, args []string) error {
	if len(args) > 0 {
		return usageError("host takes no arguments, got %q", args[0])
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		return usageError("%v", err)
	}
	out := logger.NewAsync(c.stdout)
	defer out.Close()
	log, err := logger.New(logger.Config{Output: out, Level: level, Host: settings.Host})
	if err != nil {
		return usageError("%v", err)
	}
	setClientDefaults(&settings)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	return runHost(ctx, settings, log.For(logger.Traffic))
}

// runHost runs a host until the context ends, and then its planned stop.
func runHost(ctx context.Context, settings platform.Settings, log zerolog.Logger) error {
	hostCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	handleHangups(hostCtx, log)
	peerDialer := dialer.New(dialer.Config{})
	clk := clock.NewBootTime()
	metrics := meter.New()
	setClientDefaults(&settings)
	clients := newClientLimits(settings, metrics, log)
	h := hoster.New(hostCtx, hoster.Config{
		Name: settings.Host, Region: settings.Region, AvailabilityZone: settings.AvailabilityZone,
		CallerAddress: settings.CallerAddress, PeerAddress: settings.PeerAddress, SeedPeers: settings.SeedPeers,
		ObjectKinds: platform.WatchedKinds(), Headers: platform.Headers(), MaxRevocationDelay: settings.MaxRevocationDelay,
		RetryBudget: rationer.RetryConfig{Ratio: settings.RetryRatio, Window: settings.RetryWindow, Slack: settings.RetrySlack},
		RateSlack:   settings.RateSlack, RateOverage: settings.RateOverage, RateWindow: settings.RateWindow, ShiftRate: shiftShareFraction * settings.MaxShift / 2,
		ColdSenders: max(1, int(settings.ColdSlack-coldSlackReserve)),
		LookupTTL:   min(lookupTTL, settings.MaxLookupTTL), DialPeer: peerDialer.FleetClient,
		MaxIdleConns: int(idleDescriptors * float64(settings.MaxDescriptors)), Clock: clk, Log: log, Meter: metrics,
	})
	client := platform.NewClient(settings.StoreAddress)
	syncer := platform.NewSyncer(hostCtx, platform.SyncerConfig{
		Client: client, Self: platform.HostEntry{Name: settings.Host, PeerAddress: settings.PeerAddress, Region: settings.Region},
		FirstStart: settings.FirstStart, Feed: clients.watchHosts(h.Feed()), RegionOf: settings.RegionOf, Clock: clk, Log: log, Meter: metrics,
	})
	peerServer, err := peerserver.New(peerserver.Config{
		Register: func(mux drpc.Mux) error { return schema.DRPCRegisterFleet(mux, h) },
		LogError: func(err error) { log.Debug().Err(err).Msg("peer_connection_failed") },
	})
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := peerServer.Serve(hostCtx, clients.wrapPeers(peerListener)); err != nil && hostCtx.Err() == nil {
			log.Error().Err(err).Msg("peer_listener_failed")
		}
	}()
	go syncer.Run(hostCtx)
	callers, err := listenHTTP(settings, h, clients, metrics, log)
	if err != nil {
		return err
	}
	log.Info().Str("region", settings.Region).Str("zone", settings.AvailabilityZone).
		Str("caller_address", settings.CallerAddress).Msg("host_started")
	<-ctx.Done()
	stopHost(settings, h, callers, log)
	return nil
}

// handleHangups keeps SIGHUP from ending the process and logs whether the settings
// file is valid. Settings are only used at the start; later changes come from the
// store.
func handleHangups(ctx context.Context, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-hup:
				if _, err := platform.LoadSettings(); err != nil {
					log.Error().Err(err).Msg("settings_unusable")
					continue
				}
				log.Info().Msg("settings_read")
			case <-ctx.Done():
				return
			}
		}
	}()
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	server    *http.Server
	listener  net.Listener
	openConns atomic.Int64
}

// trackConn counts the open connections; it is a hook of http.Server.
func (s *callerServer) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// drain accepts no further connections and waits until the open ones have ended. Unlike
// http.Server.Shutdown, it leaves requests that are not read yet to the handler, which
// answers them. It reports whether no connection is left.
func (s *callerServer) drain(ctx context.Context) bool {
	_ = s.listener.Close()
	s.server.SetKeepAlivesEnabled(false)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for s.openConns.Load() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listenHTTP starts the servers for callers, look-ups, readiness and metrics, and returns the
// first one.
func listenHTTP(settings platform.Settings, h *hoster.Host, clients *clientLimits, metrics *meter.Meter, log zerolog.Logger) (*callerServer, error) {
	handlers := []struct {
		address string
		handler http.Handler
		budget  *reserver.Budget
		kind    string
	}{
		{settings.CallerAddress, h.Steerer(), clients.callers, "caller"},
		{settings.LookupAddress, platform.LookupHandler(func(_, region, zone string) ([]string, clock.Millis) { return h.Lookup(region, zone) }), clients.lookups, "lookup"},
		{settings.ReadinessAddress, platform.ReadinessHandler(h.Ready), clients.checks, "check"},
		{settings.MetricsAddress, platform.MetricsHandler(func(w io.Writer) {
			clients.recordUsage()
			metrics.WriteText(w)
		}), clients.checks, "check"},
	}
	onRefused := func(remote, reason string) {
		metrics.Add("headers_refused", 1)
		log.Warn().Str("caller", remote).Str("reason", reason).Msg("request_refused_by_header")
	}
	callerScreener := screener.New(screener.Config{Limits: callerLimits(h), OnRefused: onRefused})
	ownScreener := screener.New(screener.Config{Limits: ownLimits(h), OnRefused: onRefused, IgnoreBodies: true})
	var callers *callerServer
	for i, l := range handlers {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", l.address, err)
		}
		server := &http.Server{
			Handler: l.handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(httpErrorLog{log}, "", 0),
		}
		headerScreener := ownScreener
		if i == 0 {
			headerScreener = callerScreener
		}
		headerScreener.Install(server)
		listener = headerScreener.WrapListener(clients.wrapHTTP(listener, l.budget, l.kind))
		if i == 0 {
			callers = &callerServer{server: server, listener: listener}
			server.ConnState = callers.trackConn
		}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				log.Error().Str("address", l.address).Err(err).Msg("listener_failed")
			}
		}()
	}
	return callers, nil
}

// httpErrorLog forwards the error log of net/http at debug level.
type httpErrorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l httpErrorLog) Write(line []byte) (int, error) {
	l.log.Debug().Bytes("text", bytes.TrimSpace(line)).Msg("http_server")
	return len(line), nil
}

// ownLimits returns a function that returns the current limits for look-ups, readiness checks and
// metrics. A request that callers may send elsewhere is legal there too.
func ownLimits(h *hoster.Host) func() screener.Limits {
	callers := callerLimits(h)
	return func() screener.Limits {
		l := callers()
		return screener.Limits{
			HeaderBytes:   max(ownHeaderBytes, l.HeaderBytes),
			HeaderTimeout: max(clock.FromDuration(defaultHeaderTimeout), l.HeaderTimeout),
			IdleTimeout:   max(clock.FromDuration(defaultIdleTimeout), l.IdleTimeout),
		}
	}
}

// callerLimits returns a function that returns the current limits for callers.
func callerLimits(h *hoster.Host) func() screener.Limits {
	return func() screener.Limits {
		l, ok := h.CallerLimits()
		if !ok {
			return screener.Limits{
				HeaderTimeout: clock.FromDuration(defaultHeaderTimeout), IdleTimeout: clock.FromDuration(defaultIdleTimeout),
			}
		}
		return screener.Limits{HeaderBytes: l.MaxHeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	}
}

// stopHost removes the host from look-up answers and still serves requests that arrive
// during the lame-duck period. It returns when no request is in flight or the grace period
// ends; requests that arrive in between are refused, because they could be cut then.
func stopHost(settings platform.Settings, h *hoster.Host, callers *callerServer, log zerolog.Logger) {
	log.Info().Int64("grace_ms", int64(settings.StopGrace)).Msg("host_stopping")
	start := time.Now()
	grace := settings.StopGrace.Duration() - exitReserve
	lameDuck := min(lameDuckPeriod, grace/2)
	h.Leave(clock.FromDuration(lameDuck), clock.FromDuration(grace))
	time.Sleep(lameDuck)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace))
	defer cancel()
	if !callers.drain(ctx) {
		log.Warn().Int64("connections", callers.openConns.Load()).Msg("requests_cut")
	}
	log.Info().Int64("took_ms", time.Since(start).Milliseconds()).Msg("host_stopped")
}

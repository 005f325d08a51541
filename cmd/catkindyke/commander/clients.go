package commander

import (
	"net"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"catkindyke/pkg/accepter"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/hoster"
	"catkindyke/pkg/logger"
	"catkindyke/pkg/meter"
	"catkindyke/pkg/reserver"
	"catkindyke/platform"
)

const (
	// defaultMemoryBytes and defaultDescriptors apply if the settings hold no limit. The
	// process's own limit of descriptors is used if it is lower.
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 65_536

	// callerMemoryDivisor and peerMemoryDivisor give the parts of the machine's memory for
	// clients. With the host's own needs of up to 50 MB, and with as much again for two
	// fifths of garbage, the heap of the smallest machines stays below its limit.
	callerMemoryDivisor = 4
	peerMemoryDivisor   = 12
	// lookupMemoryDivisor and checkMemoryDivisor give the parts of the machine's memory for
	// look-ups, and for readiness checks and metrics. They are taken from that of callers, so
	// that callers' legal requests alone don't take a host out of use.
	lookupMemoryDivisor = 32
	checkMemoryDivisor  = 64
	// callerDescriptors is the part of the descriptors for callers and the connections to
	// servers that their requests use, lookupDescriptors and checkDescriptors those for
	// look-ups and for readiness checks and metrics, idleDescriptors that for idle connections to servers,
	// and peerDescriptors that for connections from other hosts. The rest is for
	// connections to other hosts and the store.
	callerDescriptors = 0.44
	lookupDescriptors = 0.04
	checkDescriptors  = 0.02
	idleDescriptors   = 0.2
	peerDescriptors   = 0.15
	// connMemoryDivisor gives the part of the clients' memory that connections may take, and
	// callerConnMemory that of callers, which keep many idle connections.
	connMemoryDivisor = 2
	callerConnMemory  = 0.66
	// callerConnBytes and peerConnBytes are the memory of a connection without a request.
	callerConnBytes = 16 << 10
	peerConnBytes   = 24 << 10
	// kernelMemoryFraction is the part of the machine's memory for the kernel's buffers,
	// and kernelConnBytes what a connection with a request takes of it; few fill both of their
	// buffers, and those of idle connections are empty.
	kernelMemoryFraction = 0.3
	kernelConnBytes      = 64 << 10

	// receiveBuffer holds a usual request. largeReceiveBuffer lets a large body arrive at
	// 16 MB/s over a round trip of 16 ms.
	receiveBuffer      = 32 << 10
	largeReceiveBuffer = 256 << 10
	sendBuffer         = 64 << 10
	// writeTimeout is the time in which a client must take some bytes of a response.
	writeTimeout = 30 * clock.Second
)

// setClientDefaults sets the limits of the machine that the settings leave out.
func setClientDefaults(s *platform.Settings) {
	if s.MemoryBytes <= 0 {
		s.MemoryBytes = defaultMemoryBytes
	}
	if s.MaxDescriptors <= 0 {
		s.MaxDescriptors = defaultDescriptors
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < defaultDescriptors {
			s.MaxDescriptors = int(limit.Cur)
		}
	}
}

// callerBudget returns the limits for callers.
func callerBudget(s platform.Settings) reserver.Config {
	bytes := s.MemoryBytes/callerMemoryDivisor - s.MemoryBytes/lookupMemoryDivisor - s.MemoryBytes/checkMemoryDivisor
	cfg := ownBudget(s, bytes, callerDescriptors)
	cfg.Conns = max(1, int(callerConnMemory*float64(bytes)/callerConnBytes))
	cfg.Active = max(1, int(kernelMemoryFraction*float64(s.MemoryBytes)/kernelConnBytes))
	return cfg
}

// lookupBudget returns the limits for look-ups, and checkBudget those for readiness checks and
// metrics.
func lookupBudget(s platform.Settings) reserver.Config {
	return ownBudget(s, s.MemoryBytes/lookupMemoryDivisor, lookupDescriptors)
}

func checkBudget(s platform.Settings) reserver.Config {
	return ownBudget(s, s.MemoryBytes/checkMemoryDivisor, checkDescriptors)
}

func ownBudget(s platform.Settings, bytes int64, descriptors float64) reserver.Config {
	return reserver.Config{
		Bytes: bytes, ConnBytes: callerConnBytes, Descriptors: max(2, int(descriptors*float64(s.MaxDescriptors))),
		Conns: max(1, int(bytes/connMemoryDivisor/callerConnBytes)),
	}
}

// peerBudget returns the limits for connections of other hosts.
func peerBudget(s platform.Settings) reserver.Config {
	bytes := s.MemoryBytes / peerMemoryDivisor
	return reserver.Config{
		Bytes: bytes, ConnBytes: peerConnBytes, Descriptors: max(1, int(peerDescriptors*float64(s.MaxDescriptors))),
		Conns: max(1, int(bytes/connMemoryDivisor/peerConnBytes)),
	}
}

// clientLimits holds what clients may take. Callers can't take the room of look-ups, readiness
// checks, metrics and other hosts.
type clientLimits struct {
	callers, lookups, checks, peers *reserver.Budget
	// hosts holds the IP addresses of all hosts that had an entry in the store.
	hosts sync.Map
	// clk is read several times for each request. Unlike the clock of the start of the
	// machine, it takes no system call, and clients do not seem slow after a suspension.
	clk     clock.Clock
	metrics *meter.Meter
	log     zerolog.Logger
}

func newClientLimits(s platform.Settings, metrics *meter.Meter, log zerolog.Logger) *clientLimits {
	callers, peers := callerBudget(s), peerBudget(s)
	log.Info().Int64("caller_bytes", callers.Bytes).Int("caller_connections", min(callers.Conns, callers.Descriptors)).
		Int64("host_bytes", peers.Bytes).Int("host_connections", min(peers.Conns, peers.Descriptors)).Msg("client_limits")
	return &clientLimits{
		callers: reserver.New(callers), lookups: reserver.New(lookupBudget(s)), checks: reserver.New(checkBudget(s)), peers: reserver.New(peers),
		clk: clock.New(), metrics: metrics, log: log,
	}
}

// wrapHTTP bounds the connections of a listener for HTTP by a budget. kind names its clients in
// metrics and the log.
func (l *clientLimits) wrapHTTP(inner net.Listener, budget *reserver.Budget, kind string) net.Listener {
	return accepter.Wrap(inner, accepter.Config{
		Budget: budget, Clock: l.clk, ReceiveBuffer: receiveBuffer, LargeReceiveBuffer: largeReceiveBuffer, SendBuffer: sendBuffer,
		WriteTimeout: writeTimeout, OnCut: l.onCut(kind),
	})
}

// wrapPeers bounds the connections of the listener for other hosts.
func (l *clientLimits) wrapPeers(inner net.Listener) net.Listener {
	return accepter.Wrap(inner, accepter.Config{
		Budget: l.peers, Clock: l.clk, ReceiveBuffer: sendBuffer, SendBuffer: sendBuffer, WriteTimeout: writeTimeout,
		Messages: true, IsTrusted: l.isHost, OnCut: l.onCut("host"),
	})
}

// addHost records the address of another host.
func (l *clientLimits) addHost(peerAddress string) {
	if ip, _, err := net.SplitHostPort(peerAddress); err == nil {
		l.hosts.Store(ip, true)
	}
}

// watchHosts returns a feed that also records the addresses of hosts.
func (l *clientLimits) watchHosts(feed hoster.Feed) hoster.Feed {
	setHost := feed.SetHost
	feed.SetHost = func(name, region, peerAddress string) {
		l.addHost(peerAddress)
		setHost(name, region, peerAddress)
	}
	return feed
}

func (l *clientLimits) isHost(ip string) bool {
	_, ok := l.hosts.Load(ip)
	return ok
}

// onCut returns a function that counts and logs a client for which there was no room.
func (l *clientLimits) onCut(kind string) func(remote, reason string) {
	// A crowd of clients must not fill the log.
	log := logger.RateLimited(l.log, func() { l.metrics.Add("log_lines_left_out", 1) })
	return func(remote, reason string) {
		l.metrics.Add("clients_cut_"+kind+"_"+reason, 1)
		log.Warn().Str("client", remote).Str("kind", kind).Str("reason", reason).Msg("client_cut")
	}
}

// recordUsage sets the gauges of what is reserved.
func (l *clientLimits) recordUsage() {
	for kind, budget := range map[string]*reserver.Budget{"caller": l.callers, "lookup": l.lookups, "check": l.checks, "host": l.peers} {
		usage := budget.Usage()
		l.metrics.Set("clients_connections_"+kind, int64(usage.Conns))
		for use, n := range usage.Bytes {
			l.metrics.Set("clients_reserved_"+kind+"_"+use.String(), n)
		}
	}
}

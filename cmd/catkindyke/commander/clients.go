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
	// callerDescriptors is the part of the descriptors for callers and the connections to
	// servers that their requests use, idleDescriptors that for idle connections to servers,
	// and peerDescriptors that for connections from other hosts. The rest is for
	// connections to other hosts and the store.
	callerDescriptors = 0.5
	idleDescriptors   = 0.2
	peerDescriptors   = 0.15
	// connMemoryDivisor gives the part of the clients' memory that connections may take.
	connMemoryDivisor = 2
	// callerConnBytes and peerConnBytes are the memory of a connection without a request.
	callerConnBytes = 16 << 10
	peerConnBytes   = 24 << 10
	// kernelMemoryFraction is the part of the machine's memory for the kernel's buffers,
	// and kernelConnBytes what a connection takes of it; few fill both of their buffers.
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

// callerBudget returns the limits for callers, look-ups, readiness checks and metrics together.
func callerBudget(s platform.Settings) reserver.Config {
	bytes := s.MemoryBytes / callerMemoryDivisor
	return reserver.Config{
		Bytes: bytes, ConnBytes: callerConnBytes, Descriptors: max(2, int(callerDescriptors*float64(s.MaxDescriptors))),
		Conns: max(1, min(int(bytes/connMemoryDivisor/callerConnBytes), int(kernelMemoryFraction*float64(s.MemoryBytes)/kernelConnBytes))),
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

// clientLimits holds what clients may take. Callers can't take the room of other hosts.
type clientLimits struct {
	callers, peers *reserver.Budget
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
	return &clientLimits{callers: reserver.New(callers), peers: reserver.New(peers), clk: clock.New(), metrics: metrics, log: log}
}

// wrapCallers bounds the connections of a listener for HTTP.
func (l *clientLimits) wrapCallers(inner net.Listener) net.Listener {
	return accepter.Wrap(inner, accepter.Config{
		Budget: l.callers, Clock: l.clk, ReceiveBuffer: receiveBuffer, LargeReceiveBuffer: largeReceiveBuffer, SendBuffer: sendBuffer,
		WriteTimeout: writeTimeout, OnCut: l.onCut("caller"),
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
	for kind, budget := range map[string]*reserver.Budget{"caller": l.callers, "host": l.peers} {
		usage := budget.Usage()
		l.metrics.Set("clients_connections_"+kind, int64(usage.Conns))
		for use, n := range usage.Bytes {
			l.metrics.Set("clients_reserved_"+kind+"_"+use.String(), n)
		}
	}
}

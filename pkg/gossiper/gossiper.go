// Package gossiper keeps hosts informed about each other: each host regularly exchanges
// reports with the others.
//
// One host of each pair calls the other and gets its report in the response. The
// called host calls too when it has received no report for a while.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

const (
	// callTimeout is several round-trip times between regions. A connection without
	// a response is closed after it.
	callTimeout = 500 * time.Millisecond
	// minSilenceLimit is the shortest silence after which the called host of a pair calls too.
	minSilenceLimit clock.Millis = 700
	// silentIntervals is the number of exchange intervals that it waits in a large fleet.
	silentIntervals = 3
	// localExchangesPerSecond and remoteExchangesPerSecond bound a host's exchanges
	// with hosts of its own and of other regions. Both together take about 1 % of a
	// core. In a larger fleet the exchange intervals grow to keep to these rates.
	localExchangesPerSecond, remoteExchangesPerSecond = 40, 36
	// intervalJitter is the fraction by which intervals vary. Without it, hosts that
	// start together exchange with all others at the same moments: each hop of a
	// change then takes a whole interval, and the exchanges delay requests.
	intervalJitter = 0.3
	// maxBackoff is the longest interval between calls to a host that does not answer.
	maxBackoff = 2 * time.Second
)

// Config configures a gossiper.
type Config struct {
	// Name is this host's name and Address its peer address.
	Name, Address string
	// LocalInterval and RemoteInterval are the intervals between exchanges with a host
	// of the same region and with a host of another region.
	LocalInterval, RemoteInterval time.Duration
	// Region is this host's region.
	Region string
	// BuildReport returns the report for a host; to is empty while the host's name is
	// unknown.
	BuildReport func(to string) *schema.HostReport
	// HandleReport processes the report of another host. rtt is the measured
	// round-trip time, 0 if the other host made the call.
	HandleReport func(report *schema.HostReport, rtt clock.Millis)
	// Dial returns a client for the host at a peer address.
	Dial func(ctx context.Context, address string) schema.DRPCFleetClient
	// Random returns numbers in [0, 1); rand.Float64 if nil.
	Random func() float64
	// Clock measures round-trip times and silence.
	Clock clock.Clock
	// Log receives an event when a host is lost or regained.
	Log zerolog.Logger
}

// Gossiper exchanges reports with all known hosts.
type Gossiper struct {
	cfg   Config
	ctx   context.Context
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the state of another host.
type peer struct {
	name, region string
	// reportedAt is the time of the last report, or of AddPeer if there was none.
	reportedAt clock.Millis
	lost       bool
	cancel     context.CancelFunc
	// wake ends the wait for the next exchange.
	wake chan struct{}
}

// New returns a gossiper that runs until ctx ends.
func New(ctx context.Context, cfg Config) *Gossiper {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Gossiper{cfg: cfg, ctx: ctx, peers: make(map[string]*peer)}
}

// AddPeer starts to exchange reports with the host at a peer address.
func (g *Gossiper) AddPeer(address string) {
	if address == "" || address == g.cfg.Address {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peers[address] != nil {
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	p := &peer{reportedAt: g.cfg.Clock.Now(), cancel: cancel, wake: make(chan struct{}, 1)}
	g.peers[address] = p
	go g.exchangeLoop(ctx, address, p)
}

// RemovePeer stops the exchange with the host at a peer address.
func (g *Gossiper) RemovePeer(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		p.cancel()
		delete(g.peers, address)
	}
}

// Wake ends the current intervals, so that the hosts that this one calls get a
// report at once. Hosts that call this one get it with their next call.
func (g *Gossiper) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Exchange handles the call of another host.
func (g *Gossiper) Exchange(_ context.Context, report *schema.HostReport) (*schema.HostReport, error) {
	address := report.GetPeerAddress()
	if report.GetPartial() {
		address = g.addressOf(report.GetName())
	}
	g.AddPeer(address)
	g.handleReport(address, report, 0)
	return g.cfg.BuildReport(report.GetName()), nil
}

// addressOf returns the peer address of the host that last reported under a name, which
// partial reports leave out, or an empty string if there is none.
func (g *Gossiper) addressOf(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, p := range g.peers {
		if p.name == name {
			return address
		}
	}
	return ""
}

func (g *Gossiper) handleReport(address string, report *schema.HostReport, rtt clock.Millis) {
	g.mu.Lock()
	regained := false
	if p := g.peers[address]; p != nil {
		p.reportedAt, p.name = g.cfg.Clock.Now(), report.GetName()
		if !report.GetPartial() {
			p.region = report.GetRegion()
		}
		regained, p.lost = p.lost, false
	}
	g.mu.Unlock()
	if regained {
		g.cfg.Log.Info().Str("host", report.GetName()).Str("address", address).Msg("host_regained")
	}
	g.cfg.HandleReport(report, rtt)
}

// exchangeLoop exchanges reports with one host until ctx ends.
func (g *Gossiper) exchangeLoop(ctx context.Context, address string, p *peer) {
	failures := 0
	for ctx.Err() == nil {
		if g.shouldCall(p) {
			if g.call(ctx, address, p) {
				failures = 0
			} else {
				failures++
				g.checkLost(address, p)
			}
		}
		g.wait(ctx, g.backoff(p, failures), p)
	}
}

// shouldCall reports whether this host makes the next call to a peer: it initiates
// the calls of the pair, does not know the peer yet, or has not had a report for
// too long.
func (g *Gossiper) shouldCall(p *peer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := max(minSilenceLimit, clock.FromDuration(silentIntervals*g.interval(p)))
	return p.name == "" || initiates(g.cfg.Name, p.name) || g.cfg.Clock.Now()-p.reportedAt > limit
}

// initiates reports whether the host called name makes the calls to other. Each
// host does so for about half of its peers. The calling host gets a current
// report, while the called one can only rely on what the calling host knew one
// interval ago: if low names always called high ones, changes would spread slowly
// from low to high names.
func initiates(name, other string) bool {
	low, high := min(name, other), max(name, other)
	return (xxhash.Sum64String(low+"\x00"+high)&1 == 0) == (name == low)
}

// backoff returns the interval until the next call after a number of failed calls,
// with jitter.
func (g *Gossiper) backoff(p *peer, failures int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := min(g.interval(p)<<min(failures, 5), maxBackoff)
	return time.Duration(float64(interval) * (1 + intervalJitter*(2*g.cfg.Random()-1)))
}

// interval returns the interval between exchanges with a peer. The caller holds
// g.mu.
func (g *Gossiper) interval(p *peer) time.Duration {
	count := 0
	local := p.region == g.cfg.Region
	for _, other := range g.peers {
		if (other.region == g.cfg.Region) == local {
			count++
		}
	}
	if local {
		return max(g.cfg.LocalInterval, time.Duration(count)*time.Second/localExchangesPerSecond)
	}
	return max(g.cfg.RemoteInterval, time.Duration(count)*time.Second/remoteExchangesPerSecond)
}

// call exchanges reports with a peer and reports whether it answered. A peer that has
// restarted can't use a partial report and gets a complete one at once.
func (g *Gossiper) call(ctx context.Context, address string, p *peer) bool {
	sent, answer := g.callOnce(ctx, address, p)
	if answer != nil && sent.GetPartial() && answer.GetEchoSequence() == 0 {
		_, answer = g.callOnce(ctx, address, p)
	}
	return answer != nil
}

// callOnce makes one call and returns both reports, a nil answer if there was none.
func (g *Gossiper) callOnce(ctx context.Context, address string, p *peer) (sent, answer *schema.HostReport) {
	g.mu.Lock()
	name := p.name
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := g.cfg.Clock.Now()
	sent = g.cfg.BuildReport(name)
	answer, err := g.cfg.Dial(ctx, address).Exchange(ctx, sent)
	if err != nil {
		g.cfg.Log.Debug().Str("address", address).Err(err).Msg("exchange_failed")
		return sent, nil
	}
	g.handleReport(address, answer, max(1, g.cfg.Clock.Now()-sentAt))
	return sent, answer
}

// checkLost marks a peer as lost, and logs it once, when its reports have stopped
// for longer than minSilenceLimit.
func (g *Gossiper) checkLost(address string, p *peer) {
	g.mu.Lock()
	silent := g.cfg.Clock.Now() - p.reportedAt
	lost := !p.lost && silent > minSilenceLimit
	p.lost = p.lost || lost
	name := p.name
	g.mu.Unlock()
	if lost {
		g.cfg.Log.Warn().Str("host", name).Str("address", address).Int64("silent_ms", int64(silent)).Msg("host_lost")
	}
}

// WakeLost ends the current intervals of up to most hosts that do not answer. The network
// may just have recovered, and the interval until the next call has grown to seconds.
func (g *Gossiper) WakeLost(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if most <= 0 {
			return
		}
		if p.lost {
			most--
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
	}
}

func (g *Gossiper) wait(ctx context.Context, d time.Duration, p *peer) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

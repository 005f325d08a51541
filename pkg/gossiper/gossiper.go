// Package gossiper exchanges reports with the other hosts.
//
// Each pair of hosts exchanges over one call, which one of them makes; the other
// calls too when it has not heard anything for a while.
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
	// callTimeout is several round trips between regions. A connection that went
	// silent is closed after it.
	callTimeout = 500 * time.Millisecond
	// minSilenceLimit is the shortest time after which the called host of a pair calls too.
	minSilenceLimit clock.Millis = 700
	// silentIntervals is the number of pauses that it waits in a large fleet.
	silentIntervals = 3
	// localExchangesPerSecond and remoteExchangesPerSecond are the exchanges a second that a host takes part in
	// with hosts of its region and of others. Both together take about 1 % of a
	// core; in a fleet in which the pauses would need more, they grow with it.
	localExchangesPerSecond, remoteExchangesPerSecond = 40, 36
	// intervalJitter is the part by which pauses vary. Hosts that start together would
	// exchange with all others at the same moments, so that news took a whole pause
	// for each step and the exchanges held up requests.
	intervalJitter = 0.3
	// maxBackoff is the longest pause between calls to a host that does not answer.
	maxBackoff = 2 * time.Second
)

// Config configures a gossiper.
type Config struct {
	// Name and Address are those of this host; Address is its peer address.
	Name, Address string
	// LocalInterval and RemoteInterval are the pauses between exchanges with hosts of the same region
	// and with hosts of other regions.
	LocalInterval, RemoteInterval time.Duration
	// Region is this host's.
	Region string
	// BuildReport makes the report that is sent to a host; its name is empty when it is
	// not known yet.
	BuildReport func(to string) *schema.HostReport
	// HandleReport takes the report of another host. trip is the measured round trip,
	// 0 when the other host made the call.
	HandleReport func(report *schema.HostReport, rtt clock.Millis)
	// Dial returns a client of the host at a peer address.
	Dial func(ctx context.Context, address string) schema.DRPCFleetClient
	// Random returns numbers from 0 up to 1; those of math/rand when nil.
	Random func() float64
	// Clock measures silence.
	Clock clock.Clock
	// Log receives a line for each host that is lost or found.
	Log zerolog.Logger
}

// Gossiper talks to all known hosts.
type Gossiper struct {
	cfg   Config
	ctx   context.Context
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is a host by its peer address.
type peer struct {
	name, region string
	reportedAt   clock.Millis
	lost         bool
	cancel       context.CancelFunc
	// wake ends a pause early.
	wake chan struct{}
}

// New returns a gossiper that runs until the context ends.
func New(ctx context.Context, cfg Config) *Gossiper {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Gossiper{cfg: cfg, ctx: ctx, peers: make(map[string]*peer)}
}

// AddPeer begins to exchange reports with the host at a peer address.
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

// RemovePeer ends the exchange with the host at a peer address.
func (g *Gossiper) RemovePeer(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		p.cancel()
		delete(g.peers, address)
	}
}

// Wake makes all hosts hear from this one at once.
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

// Exchange answers the call of another host.
func (g *Gossiper) Exchange(_ context.Context, report *schema.HostReport) (*schema.HostReport, error) {
	g.AddPeer(report.GetPeerAddress())
	g.handleReport(report.GetPeerAddress(), report, 0)
	return g.cfg.BuildReport(report.GetName()), nil
}

func (g *Gossiper) handleReport(address string, report *schema.HostReport, rtt clock.Millis) {
	g.mu.Lock()
	regained := false
	if p := g.peers[address]; p != nil {
		p.reportedAt, p.name, p.region = g.cfg.Clock.Now(), report.GetName(), report.GetRegion()
		regained, p.lost = p.lost, false
	}
	g.mu.Unlock()
	if regained {
		g.cfg.Log.Info().Str("host", report.GetName()).Str("address", address).Msg("host_regained")
	}
	g.cfg.HandleReport(report, rtt)
}

// exchangeLoop exchanges reports with one host until the context ends.
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

func (g *Gossiper) shouldCall(p *peer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := max(minSilenceLimit, clock.FromDuration(silentIntervals*g.interval(p)))
	return p.name == "" || initiates(g.cfg.Name, p.name) || g.cfg.Clock.Now()-p.reportedAt > limit
}

// initiates reports whether the first host of a pair makes the calls. Each host
// does for about half of the others: the caller learns what the other one knows
// now, and the other one only what the caller knew one pause ago for certain, so
// that knowledge would spread from low to high names slowly.
func initiates(name, other string) bool {
	low, high := min(name, other), max(name, other)
	return (xxhash.Sum64String(low+"\x00"+high)&1 == 0) == (name == low)
}

// backoff is the pause after a number of failed calls; it varies.
func (g *Gossiper) backoff(p *peer, failures int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := min(g.interval(p)<<min(failures, 5), maxBackoff)
	return time.Duration(float64(interval) * (1 + intervalJitter*(2*g.cfg.Random()-1)))
}

// interval is the pause between exchanges with a peer; the caller holds the lock.
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

func (g *Gossiper) call(ctx context.Context, address string, p *peer) bool {
	g.mu.Lock()
	name := p.name
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := g.cfg.Clock.Now()
	report, err := g.cfg.Dial(ctx, address).Exchange(ctx, g.cfg.BuildReport(name))
	if err != nil {
		g.cfg.Log.Debug().Str("address", address).Err(err).Msg("exchange_failed")
		return false
	}
	g.handleReport(address, report, max(1, g.cfg.Clock.Now()-sentAt))
	return true
}

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

func (g *Gossiper) wait(ctx context.Context, d time.Duration, p *peer) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

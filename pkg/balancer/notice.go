package balancer

import (
	"math"
	"slices"

	"catkindyke/pkg/clock"
)

const (
	// minRateLimit is the rate at which a server with a lower limit gets requests. Only
	// their responses show that the limit has ended.
	minRateLimit = 0.25
	// minLimitSenders is the number of hosts that send requests to a server with a limit
	// of 0. There is one more for each request per second. Each may send one request at
	// once, so that their number bounds what the server gets beyond its limit.
	minLimitSenders = 3
	// localSenderFraction is the fraction of them that are in the server's region.
	localSenderFraction = 0.75
	// limitBurst is the time in s in which a host saves up its share of a limit.
	limitBurst = 0.25
	// noticeTTL is the time after which a notice that no host has heard again is doubted,
	// at the first host; each further one waits noticeTTLStep longer, up to maxNoticeTTL.
	noticeTTL, noticeTTLStep, maxNoticeTTL = 10 * clock.Second, 2 * clock.Second, 60 * clock.Second
	// noticeInterval is the time after which hosts are told again of a notice that has not
	// changed.
	noticeInterval = noticeTTL / 4
	// hostCountHold is the time for which hosts that are no longer live still count for
	// the shares of a limit. They may be partitioned and still send.
	hostCountHold = 10 * clock.Second
	// maxBackoff bounds the time for which a server gets no requests because of one response.
	maxBackoff = 300 * clock.Second
	// noticeRetention is the time for which the notices of a server that is not in use are
	// kept. It is longer than an evacuation or an outage of the store.
	noticeRetention = 600 * clock.Second
)

// Notice is what a backend server says about itself in a response.
type Notice struct {
	// Draining is set if the server is about to stop and takes no more requests.
	Draining bool
	// Backoff is the time for which the server wants no requests from this host, 0 if it
	// does not say so.
	Backoff clock.Millis
	Limit   RateLimit
}

// RateLimit is what a response says about a rate limit of its server.
type RateLimit struct {
	// Known is set if the response shows whether there is a limit.
	Known bool
	// Limited is set if the server advertises a limit: PerSecond requests per second from all
	// hosts together, for as long as it says so.
	Limited   bool
	PerSecond float64
}

// ServerNotice is a notice that a host reports to another.
type ServerNotice struct {
	Server string
	// StartUnixMs is the time of the server's start; a notice does not hold after a restart.
	StartUnixMs int64
	Notice
	// Age is the time since the response with the limit.
	Age clock.Millis
}

// observation is a rate limit and the time of the response with it.
type observation struct {
	RateLimit
	at clock.Millis
}

// notices is what a host knows of the notices of one run of a server.
type notices struct {
	startUnixMs int64
	// usedAt is the last time at which the server was among those that may get requests.
	usedAt clock.Millis
	// draining is set once the server has said so. It stays set: responses that do not say
	// so may have been under way.
	draining bool
	// backoffUntil is the time until which the server wants no requests from this host.
	// needsProbe is set until it has answered a request after that time.
	backoffUntil clock.Millis
	needsProbe   bool
	// direct is the last limit that this host has received itself, and latest the last one
	// that any host has.
	direct, latest observation
	// announcedAt is the time from which the notices are reported to other hosts, and
	// heardAt the time at which any host last reported the limit.
	announcedAt, heardAt clock.Millis
	// tokens are the requests that this host may send now under a rate limit.
	tokens   float64
	tokensAt clock.Millis
}

// record records a notice in a response and reports whether this host's knowledge of the
// server has changed.
func (k *notices) record(n Notice, now clock.Millis) (changed bool) {
	changed = n.Draining && !k.draining
	k.draining = k.draining || n.Draining
	if n.Limit.Known {
		changed = changed || k.latest.RateLimit != n.Limit && (n.Limit.Limited || k.latest.Limited)
		k.direct = observation{n.Limit, now}
		k.update(k.direct)
	}
	if changed || n.Limit.Limited && now-k.heardAt >= noticeInterval {
		k.announcedAt, k.heardAt = now, now
	}
	if n.Backoff > 0 {
		changed = changed || now >= k.backoffUntil
		k.backoffUntil, k.needsProbe = max(k.backoffUntil, now+min(n.Backoff, maxBackoff)), true
	}
	return changed
}

// recordAnswer records that the server has answered a request.
func (k *notices) recordAnswer(now clock.Millis) {
	if now >= k.backoffUntil {
		k.needsProbe = false
	}
}

// isBackingOff reports whether the server wants no requests from this host, or has just one
// that shows whether it takes requests again.
func (s *server) isBackingOff(now clock.Millis) bool {
	return now < s.notices.backoffUntil || s.notices.needsProbe && s.localInFlight > 0
}

// update replaces the latest observation by a later one.
func (k *notices) update(o observation) {
	if o.at < k.latest.at {
		return
	}
	if o.Limited && !k.latest.Limited {
		k.tokens, k.tokensAt = 0, o.at
	}
	k.latest = o
}

// noticesOf returns the notices of a server. They are kept for noticeRetention while the
// server is not in use, as in an evacuation of its zone.
func (b *Balancer) noticesOf(info Server) *notices {
	k := b.notices[info.ID]
	if k == nil || k.startUnixMs != info.StartUnixMs {
		k = &notices{startUnixMs: info.StartUnixMs}
		b.notices[info.ID] = k
	}
	return k
}

// purgeNotices forgets the notices of servers that have been out of use for long.
func (b *Balancer) purgeNotices(now clock.Millis) {
	for id, k := range b.notices {
		if b.servers[id] != nil {
			k.usedAt = now
		} else if now-k.usedAt > noticeRetention {
			delete(b.notices, id)
		}
	}
}

// NoticesSince returns the notices that this host has announced since a point in time.
func (b *Balancer) NoticesSince(since, now clock.Millis) []ServerNotice {
	var out []ServerNotice
	for id, k := range b.notices {
		if k.announcedAt > 0 && k.announcedAt >= since {
			out = append(out, ServerNotice{
				Server: id, StartUnixMs: k.startUnixMs, Notice: Notice{Draining: k.draining, Limit: k.direct.RateLimit}, Age: now - k.direct.at,
			})
		}
	}
	return out
}

// ApplyNotices applies the notices in the report of another host.
func (b *Balancer) ApplyNotices(list []ServerNotice, now clock.Millis) {
	for _, n := range list {
		k := b.notices[n.Server]
		if k == nil || k.startUnixMs != n.StartUnixMs {
			continue
		}
		k.draining = k.draining || n.Draining
		if n.Limit.Known {
			k.update(observation{n.Limit, now - n.Age})
			k.heardAt = now
		}
	}
}

// holdHostCount updates the number of hosts among which rate limits are divided.
func (b *Balancer) holdHostCount(now clock.Millis) {
	if n := b.liveHosts.total(); n >= b.hostCount || now-b.hostCountAt > hostCountHold {
		b.hostCount, b.hostCountAt = n, now
	}
}

// limitShare returns the number of requests per second that this host may send to a
// server with a rate limit, 0 if that is left to others.
func (b *Balancer) limitShare(s *server) float64 {
	limit := math.Max(s.notices.latest.PerSecond, minRateLimit)
	live := b.liveHosts.total()
	total := max(b.hostCount, live)
	if limit >= float64(total-minLimitSenders) {
		return limit / float64(total)
	}
	senders := minLimitSenders + int(limit)
	local := b.liveHosts.ByRegion[s.Region]
	quota := min(local, int(math.Ceil(localSenderFraction*float64(senders))))
	index, count := b.liveHosts.RegionIndex, local
	if s.Region != b.cfg.Region {
		index, count, quota = b.liveHosts.FleetIndex-b.liveHosts.Preceding[s.Region], live-local, senders-quota
	}
	if (uint64(index)+s.hash())%uint64(max(1, count)) >= uint64(quota) {
		return 0
	}
	// Silent hosts may select as many senders among themselves.
	return limit / float64(senders) * float64(live) / float64(total)
}

// isWithinRateLimit reports whether this host may send a request to a server now.
func (s *server) isWithinRateLimit(b *Balancer, now clock.Millis) bool {
	k := s.notices
	if !k.latest.Limited {
		return true
	}
	ttl := min(maxNoticeTTL, noticeTTL+clock.Millis(b.liveHosts.FleetIndex)*noticeTTLStep)
	if now-k.latest.at > ttl {
		// One response shows whether the limit still holds.
		return s.localInFlight == 0
	}
	share := b.limitShare(s)
	if share == 0 {
		k.tokens, k.tokensAt = 0, now
		return false
	}
	k.tokens = math.Min(math.Max(1, share*limitBurst), k.tokens+share*float64(max(0, now-k.tokensAt))/1000)
	k.tokensAt = now
	return k.tokens >= 1
}

// noticeDelay returns the time in ms until a server that backs off or has a rate limit takes
// a request again. For a limit of which other hosts have all parts it is an estimate.
func (b *Balancer) noticeDelay(ranked []*server, req Request, now clock.Millis) float64 {
	delay := math.Inf(1)
	for _, s := range ranked {
		k := s.notices
		if s.isUnavailable(now) || slices.Contains(req.AttemptedServers, s.ID) {
			continue
		}
		backoff := math.Max(float64(k.backoffUntil-now), 0)
		if !k.latest.Limited {
			delay = math.Min(delay, backoff)
			continue
		}
		needed, rate := 1-k.tokens, b.limitShare(s)
		if rate == 0 {
			needed, rate = 1, math.Max(k.latest.PerSecond, minRateLimit)
		}
		delay = math.Min(delay, math.Max(backoff, 1000*needed/rate))
	}
	return math.Min(delay, float64(maxBackoff))
}

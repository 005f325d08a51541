package resolver

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"

	"catkindyke/pkg/clock"
)

// Errors of Resolve, for use with errors.Is.
var (
	// ErrUnknownService is returned for a service that the configuration lacks.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoHost is returned when every known host is leaving or drained.
	ErrNoHost = errors.New("no host is in service")
)

const (
	// MaxHosts limits the hosts of an answer. In fleets of up to 12 hosts, an answer
	// contains all of them.
	MaxHosts = 12
	// maxHostsInZone and maxHostsInOtherZones limit the hosts from the first
	// availability zone and from the other zones of its region, so that an answer
	// of a large fleet covers several zones and regions.
	maxHostsInZone       = 3
	maxHostsInOtherZones = 3
)

// Answer is the result of a look-up: an ordered list of hosts and its TTL, after
// which the caller should look up again.
type Answer struct {
	Service string
	// HomeRegion is the region of the caller's site.
	HomeRegion string
	// ServingRegion is the region to which the answer sends the caller first.
	ServingRegion string
	// BlockMatched is set if the caller's address is in a block of a site with a
	// region. Otherwise HomeRegion is the region of the answering host.
	BlockMatched bool
	TTL          clock.Millis

	hosts [MaxHosts]*Host
	count int
}

// Hosts returns the hosts in order of preference.
func (a *Answer) Hosts() []*Host { return a.hosts[:a.count] }

// Resolve returns the hosts that the caller at an address should use for a service.
func (x *Index) Resolve(service string, addr netip.Addr) (Answer, error) {
	if _, ok := x.snap.Service(service); !ok {
		return Answer{}, ErrUnknownService
	}
	if len(x.hosts) == 0 {
		return Answer{}, ErrNoHost
	}
	a := Answer{Service: service, HomeRegion: x.snap.Self().Region, TTL: x.ttl}
	addr = addr.Unmap()
	if site, ok := x.snap.Site(addr); ok && site.GetRegion() != "" {
		a.HomeRegion, a.BlockMatched = site.GetRegion(), true
	}
	block := blockHash(addr)
	order := x.regionOrder(service, a.HomeRegion, block)
	a.ServingRegion = order[0].name
	x.addHosts(&a, order, block)
	return a, nil
}

// regionOrder returns all regions that have hosts, in order of preference: the
// regions of the plan, ordered by weighted rendezvous hashing, then the home
// region, then the others. The first one is the serving region, so without a plan
// it is the home region while that has hosts.
func (x *Index) regionOrder(service, homeRegion string, block uint64) []*region {
	type scoredRegion struct {
		region *region
		tier   int
		score  float64
	}
	list := make([]scoredRegion, 0, len(x.regions))
	weighted := x.routes[routeKey{service, homeRegion}]
	for _, r := range x.regions {
		e := scoredRegion{r, 2, rendezvousScore(r.hash, block, 1)}
		for _, w := range weighted {
			if w.region == r {
				e.tier, e.score = 0, rendezvousScore(r.hash, block, w.weight)
			}
		}
		if e.tier == 2 && r.name == homeRegion {
			e.tier = 1
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b scoredRegion) int { return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.score, b.score)) })
	out := make([]*region, len(list))
	for i, e := range list {
		out[i] = e.region
	}
	return out
}

// addHosts fills an answer with hosts of the serving region, starting with the
// availability zone of the best host, and then with hosts of the other regions.
func (x *Index) addHosts(a *Answer, order []*region, block uint64) {
	zoneLimit, otherZonesLimit := maxHostsInZone, maxHostsInOtherZones
	if len(x.hosts) <= MaxHosts {
		zoneLimit, otherZonesLimit = MaxHosts, MaxHosts
	}
	serving := order[0]
	var buf [256]float64
	scores := buf[:0]
	if len(serving.hosts) > len(buf) {
		scores = make([]float64, 0, len(serving.hosts))
	}
	bestHost := 0
	for i, h := range serving.hashes {
		if serving.equalWeights {
			scores = append(scores, -float64(mixHashes(h, block)))
		} else {
			scores = append(scores, rendezvousScore(h, block, serving.weights[i]))
		}
		if scores[i] < scores[bestHost] {
			bestHost = i
		}
	}
	zone := serving.zones[bestHost]
	a.addServing(serving, zoneLimit, scores, func(i int) bool { return serving.zones[i] == zone })
	a.addServing(serving, otherZonesLimit, scores, func(i int) bool { return serving.zones[i] != zone })
	for i, r := range order[1:] {
		regionsLeft := len(order) - 1 - i
		a.addRemote(r, (MaxHosts-a.count+regionsLeft-1)/regionsLeft, block)
	}
}

// addServing appends up to n hosts of a region that accept selects, in ascending
// order of score.
func (a *Answer) addServing(r *region, n int, scores []float64, accept func(i int) bool) {
	var best [MaxHosts]float64
	n = min(n, MaxHosts-a.count)
	list, count := a.hosts[a.count:], 0
	for i, v := range scores {
		if count == n && (n == 0 || v >= best[n-1]) || !accept(i) {
			continue
		}
		pos := min(count, n-1)
		for ; pos > 0 && v < best[pos-1]; pos-- {
			list[pos], best[pos] = list[pos-1], best[pos-1]
		}
		list[pos], best[pos] = r.hosts[i], v
		count = min(count+1, n)
	}
	a.count += count
}

// addRemote appends up to n hosts of a region by unweighted rendezvous hashing, in
// descending order of hash.
func (a *Answer) addRemote(r *region, n int, block uint64) {
	var best [MaxHosts]uint64
	n = min(n, MaxHosts-a.count)
	list, count := a.hosts[a.count:], 0
	for i, h := range r.hashes {
		v := mixHashes(h, block)
		if count == n && (n == 0 || v <= best[n-1]) {
			continue
		}
		pos := min(count, n-1)
		for ; pos > 0 && v > best[pos-1]; pos-- {
			list[pos], best[pos] = list[pos-1], best[pos-1]
		}
		list[pos], best[pos] = r.hosts[i], v
		count = min(count+1, n)
	}
	a.count += count
}

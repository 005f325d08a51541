package resolver

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"

	"catkindyke/pkg/clock"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnknownService says that no service has the name.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoHost says that every known host leaves or is drained.
	ErrNoHost = errors.New("no host is in service")
)

const (
	// MaxHosts bounds the hosts of an answer. It names all hosts of a fleet of 12.
	MaxHosts = 12
	// maxHostsInZone and maxHostsInOtherZones bound the hosts of the first availability zone and
	// of the others in its region, so that an answer of a large fleet reaches
	// other zones and regions too.
	maxHostsInZone       = 3
	maxHostsInOtherZones = 3
)

// Answer is an ordered list of hosts with the time after which to ask again.
type Answer struct {
	Service string
	// HomeRegion is the region of the caller's site.
	HomeRegion string
	// ServingRegion is the serving region.
	ServingRegion string
	// BlockMatched says that a block matched; otherwise Home is the answering host's region.
	BlockMatched bool
	TTL          clock.Millis

	hosts [MaxHosts]*Host
	count int
}

// Hosts returns the hosts in order of preference.
func (a *Answer) Hosts() []*Host { return a.hosts[:a.count] }

// Resolve answers a look-up for the caller at an address.
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

// regionOrder returns the regions in order of preference: the serving region by
// the plan's weights first, then the others of the plan, then all with hosts.
// Without a plan the home region serves while it has hosts.
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

// addHosts adds the hosts of the serving region, own availability zone first, and
// then hosts of the other regions.
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

// addServing appends up to n hosts of a region that the filter takes, those with the lowest rank first.
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

// addRemote appends up to n hosts of a region by plain rendezvous hashing; the
// highest hash comes first.
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

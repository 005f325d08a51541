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
	// maxInZone and maxInRegion bound the hosts of the first availability zone and
	// of the others in its region, so that an answer of a large fleet reaches
	// other zones and regions too.
	maxInZone   = 3
	maxInRegion = 3
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
	a := Answer{Service: service, HomeRegion: x.snap.Self().Region, TTL: x.age}
	addr = addr.Unmap()
	if site, ok := x.snap.Site(addr); ok && site.GetRegion() != "" {
		a.HomeRegion, a.BlockMatched = site.GetRegion(), true
	}
	block := blockHash(addr)
	order := x.regionOrder(service, a.HomeRegion, block)
	a.ServingRegion = order[0].name
	x.fill(&a, order, block)
	return a, nil
}

// regionOrder returns the regions in order of preference: the serving region by
// the plan's weights first, then the others of the plan, then all with hosts.
// Without a plan the home region serves while it has hosts.
func (x *Index) regionOrder(service, home string, block uint64) []*region {
	type ranked struct {
		region *region
		tier   int
		value  float64
	}
	list := make([]ranked, 0, len(x.regions))
	planned := x.routes[routeKey{service, home}]
	for _, r := range x.regions {
		e := ranked{r, 2, rank(r.hash, block, 1)}
		for _, c := range planned {
			if c.region == r {
				e.tier, e.value = 0, rank(r.hash, block, c.weight)
			}
		}
		if e.tier == 2 && r.name == home {
			e.tier = 1
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.value, b.value)) })
	out := make([]*region, len(list))
	for i, e := range list {
		out[i] = e.region
	}
	return out
}

// fill adds the hosts of the serving region, own availability zone first, and
// then hosts of the other regions.
func (x *Index) fill(a *Answer, order []*region, block uint64) {
	inZone, inRegion := maxInZone, maxInRegion
	if len(x.hosts) <= MaxHosts {
		inZone, inRegion = MaxHosts, MaxHosts
	}
	serving := order[0]
	var buf [256]float64
	ranks := buf[:0]
	if len(serving.hosts) > len(buf) {
		ranks = make([]float64, 0, len(serving.hosts))
	}
	first := 0
	for i, h := range serving.hashes {
		if serving.uniform {
			ranks = append(ranks, -float64(mix(h, block)))
		} else {
			ranks = append(ranks, rank(h, block, serving.weights[i]))
		}
		if ranks[i] < ranks[first] {
			first = i
		}
	}
	zone := serving.zones[first]
	a.add(serving, inZone, ranks, func(i int) bool { return serving.zones[i] == zone })
	a.add(serving, inRegion, ranks, func(i int) bool { return serving.zones[i] != zone })
	for i, r := range order[1:] {
		others := len(order) - 1 - i
		a.addAbroad(r, (MaxHosts-a.count+others-1)/others, block)
	}
}

// add appends up to n hosts of a region that the filter takes, those with the lowest rank first.
func (a *Answer) add(r *region, n int, ranks []float64, filter func(i int) bool) {
	var best [MaxHosts]float64
	n = min(n, MaxHosts-a.count)
	list, count := a.hosts[a.count:], 0
	for i, v := range ranks {
		if count == n && (n == 0 || v >= best[n-1]) || !filter(i) {
			continue
		}
		at := min(count, n-1)
		for ; at > 0 && v < best[at-1]; at-- {
			list[at], best[at] = list[at-1], best[at-1]
		}
		list[at], best[at] = r.hosts[i], v
		count = min(count+1, n)
	}
	a.count += count
}

// addAbroad appends up to n hosts of a region by plain rendezvous hashing; the
// highest hash comes first.
func (a *Answer) addAbroad(r *region, n int, block uint64) {
	var best [MaxHosts]uint64
	n = min(n, MaxHosts-a.count)
	list, count := a.hosts[a.count:], 0
	for i, h := range r.hashes {
		v := mix(h, block)
		if count == n && (n == 0 || v <= best[n-1]) {
			continue
		}
		at := min(count, n-1)
		for ; at > 0 && v > best[at-1]; at-- {
			list[at], best[at] = list[at-1], best[at-1]
		}
		list[at], best[at] = r.hosts[i], v
		count = min(count+1, n)
	}
	a.count += count
}

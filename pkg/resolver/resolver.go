// Package resolver answers look-ups: which entry hosts a caller should use.
package resolver

import (
	"cmp"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/snapshotter"
)

// ErrUnknownService says that no service has the name.
var ErrUnknownService = errors.New("unknown service")

// DefaultAge is the age of an answer when the configuration names none.
const DefaultAge = 5 * clock.Second

// Answer is an ordered list of hosts with the time after which to ask again.
type Answer struct {
	Service string
	Region  string
	Age     clock.Millis
	Hosts   []snapshotter.Host
}

// Query is a look-up.
type Query struct {
	Service string
	// Block identifies the caller's block of addresses.
	Block string
	// Region is the region nearest to the caller.
	Region string
}

// Resolve orders the hosts by region, then by rendezvous hashing on the block,
// so that a change of one host moves few blocks.
func Resolve(snap *snapshotter.Snapshot, q Query) (Answer, error) {
	if _, ok := snap.Service(q.Service); !ok {
		return Answer{}, ErrUnknownService
	}
	type scored struct {
		host  snapshotter.Host
		rank  int
		score uint64
	}
	var list []scored
	for _, h := range snap.Hosts() {
		if h.Leaving {
			continue
		}
		rank := 1
		if h.Region == q.Region {
			rank = 0
		}
		list = append(list, scored{h, rank, xxhash.Sum64String(h.Name + "\x00" + q.Block)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	age := clock.Millis(snap.Config().GetSettings().GetLookupAgeMs())
	if age == 0 {
		age = DefaultAge
	}
	out := Answer{Service: q.Service, Region: q.Region, Age: age}
	for _, s := range list {
		out.Hosts = append(out.Hosts, s.host)
	}
	return out, nil
}

package hoster

import (
	"maps"
	"slices"
	"sync"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// behindTime is the time for which another host may know more before this one
// asks the store. Its own watch brings most changes sooner, also when it pauses
// after a change; without a watch, a server that leaves must be known in 2.5 s.
const behindTime clock.Millis = 400

// knowledge is how current the host's view of each kind of objects is.
type knowledge struct {
	mu    sync.Mutex
	known map[string]*revision
}

// revision is the state of one kind.
type revision struct {
	// upTo is the revision up to which all changes are known, and changed the one
	// at the last answer that brought a change.
	upTo, changed uint64
	// newest is the highest revision of a change that another host has told of,
	// first told at newestAt while it was not known here.
	newest   uint64
	newestAt clock.Millis
}

func newKnowledge() *knowledge { return &knowledge{known: make(map[string]*revision)} }

// note takes what a call to the store has brought.
func (k *knowledge) note(kind string, upTo uint64, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.known[kind]
	if r == nil {
		r = &revision{}
		k.known[kind] = r
	}
	r.upTo = max(r.upTo, upTo)
	if changed {
		r.changed = max(r.changed, upTo)
	}
}

// hear takes what another host knows.
func (k *knowledge) hear(list []*schema.Revision, now clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, told := range list {
		r := k.known[told.GetKind()]
		if r == nil || told.GetChanged() <= r.upTo {
			continue
		}
		if r.newest <= r.upTo {
			r.newestAt = now
		}
		r.newest = max(r.newest, told.GetChanged())
	}
}

// behind returns the kinds of which another host has known more for a while.
func (k *knowledge) behind(now clock.Millis) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for kind, r := range k.known {
		if r.newest > r.upTo && now-r.newestAt >= behindTime {
			out = append(out, kind)
		}
	}
	return out
}

// kinds returns all kinds by name.
func (k *knowledge) kinds() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.known))
}

// report is what other hosts are told.
func (k *knowledge) report() []*schema.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*schema.Revision
	for kind, r := range k.known {
		if r.changed > 0 {
			out = append(out, &schema.Revision{Kind: kind, Changed: r.changed})
		}
	}
	return out
}

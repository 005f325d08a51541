// Package relayer tracks how current a host's view of the store is, and which
// changes it passes on, so that a few hosts of a region watch the store for all
// others. It is pure but for its lock: the caller gives the time.
//
// Every change has a revision of the store. A host tells for each kind of objects
// up to which revision it knows all changes; a host that knows more answers with
// those that are missing. One that can't be helped so asks the store itself.
package relayer

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"catkindyke/pkg/clock"
)

const (
	// LagTolerance is the time for which another host may know more before this one
	// asks the store. Most changes come sooner from other hosts or the own watch; a
	// server that leaves must be known in 2.5 s also without them.
	LagTolerance clock.Millis = 400
	// changeLife is the time for which changes are kept for other hosts: several
	// exchanges of reports also in a large fleet.
	changeLife = 10 * clock.Second
	// maxBatchBytes bounds what one report passes on. A report to each of 20 hosts
	// then takes half a second on a link of 10 Mbit/s.
	maxBatchBytes = 32 << 10
	// changeOverhead is the number of bytes that a change takes besides its content.
	changeOverhead = 64
)

// Change is a new state of an object.
type Change struct {
	Name string
	// Revision is that of the change, 0 when the store did not tell.
	Revision uint64
	Deleted  bool
	// Content is the object as the store holds it.
	Content []byte
}

// Batch holds all changes of a kind after a revision up to another one, the
// last for each object.
type Batch struct {
	Kind        string
	After, UpTo uint64
	Changes     []Change
}

// Revision tells how current a host's view of a kind is.
type Revision struct {
	Kind string
	// LastChange is the revision of the last change that the host knows of, and UpTo
	// the one up to which it knows all changes.
	LastChange, UpTo uint64
}

// Relayer holds the state of all kinds.
type Relayer struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	changed, upTo uint64
	// recent are the last changes by object; all after the revision of first are there.
	recent map[string]recentChange
	first  uint64
	// newest is the highest revision of a change that another host has told of,
	// first told at newestAt while it was not known here.
	newest   uint64
	newestAt clock.Millis
}

type recentChange struct {
	Change
	// upTo is the last revision that the change can have.
	upTo uint64
	at   clock.Millis
}

// New returns a relayer of some kinds of objects.
func New(kinds ...string) *Relayer {
	r := &Relayer{kinds: make(map[string]*kind)}
	for _, name := range kinds {
		r.kinds[name] = &kind{recent: make(map[string]recentChange)}
	}
	return r
}

// RecordList notes that all objects of a kind were read at a revision; changed is
// the highest revision among them.
func (r *Relayer) RecordList(name string, changed, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	if k == nil || upTo <= k.upTo {
		return
	}
	// What was deleted before the list is not known.
	clear(k.recent)
	k.first, k.upTo, k.changed = upTo, upTo, max(k.changed, changed)
}

// RecordBatch notes that the changes of a batch were applied.
func (r *Relayer) RecordBatch(b Batch, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[b.Kind]
	if k == nil || b.UpTo <= k.upTo {
		return
	}
	for _, c := range b.Changes {
		upTo := cmp.Or(c.Revision, b.UpTo)
		if c.Deleted {
			// The store may give a deleted object the revision of its last change.
			// Without content, all deletions of an answer fit into a report together.
			upTo, c.Content = b.UpTo, nil
		}
		if upTo <= k.upTo {
			continue
		}
		k.recent[c.Name] = recentChange{Change: c, upTo: upTo, at: now}
		k.changed = max(k.changed, upTo)
	}
	k.upTo = b.UpTo
	k.forget(now)
}

// forget drops old changes.
func (k *kind) forget(now clock.Millis) {
	for name, c := range k.recent {
		if now-c.at > changeLife {
			k.first = max(k.first, c.upTo)
			delete(k.recent, name)
		}
	}
}

// ObserveRevisions takes how current another host's view is.
func (r *Relayer) ObserveRevisions(told []Revision, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range told {
		k := r.kinds[t.Kind]
		if k == nil || t.LastChange <= k.upTo {
			continue
		}
		if k.newest <= k.upTo {
			k.newestAt = now
		}
		k.newest = max(k.newest, t.LastChange)
	}
}

// LaggingKinds returns the kinds of which another host has known more for a while.
func (r *Relayer) LaggingKinds(now clock.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, k := range r.kinds {
		if k.newest > k.upTo && now-k.newestAt >= LagTolerance {
			out = append(out, name)
		}
	}
	return out
}

// Kinds returns all kinds in order.
func (r *Relayer) Kinds() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.kinds))
}

// Revisions tells how current the own view is.
func (r *Relayer) Revisions() []Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Revision
	for name, k := range r.kinds {
		if k.upTo > 0 {
			out = append(out, Revision{Kind: name, LastChange: k.changed, UpTo: k.upTo})
		}
	}
	return out
}

// MissingBatches returns the changes that a host with some revisions lacks, as many as
// fit into a report.
func (r *Relayer) MissingBatches(told []Revision) []Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Batch
	room := maxBatchBytes
	for _, t := range told {
		k := r.kinds[t.Kind]
		if k == nil || k.changed <= t.UpTo || t.UpTo < k.first {
			continue
		}
		b := k.after(t, &room)
		if len(b.Changes) > 0 {
			out = append(out, b)
		}
	}
	return out
}

// after returns the oldest changes after a revision that fit into the room.
func (k *kind) after(t Revision, room *int) Batch {
	var list []recentChange
	for _, c := range k.recent {
		if c.upTo > t.UpTo {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b recentChange) int { return cmp.Compare(a.upTo, b.upTo) })
	out := Batch{Kind: t.Kind, After: t.UpTo, UpTo: k.upTo}
	for i, c := range list {
		size := len(c.Content) + changeOverhead
		if size > *room {
			// Changes of one revision belong together.
			for i > 0 && list[i-1].upTo == c.upTo {
				i--
			}
			out.Changes = out.Changes[:i]
			out.UpTo = t.UpTo
			if i > 0 {
				out.UpTo = list[i-1].upTo
			}
			break
		}
		*room -= size
		out.Changes = append(out.Changes, c.Change)
	}
	return out
}

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
	// changeTTL is the time for which changes are kept for other hosts: several
	// exchanges of reports also in a large fleet.
	changeTTL = 10 * clock.Second
	// maxBatchBytes bounds what one report passes on. A report to each of 20 hosts
	// then takes half a second on a link of 10 Mbit/s.
	maxBatchBytes = 32 << 10
	// changeOverheadBytes is the number of bytes that a change takes besides its content.
	changeOverheadBytes = 64
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
	kinds map[string]*kindState
}

type kindState struct {
	lastChange, upTo uint64
	// recentChanges are the last changes by object; all after the revision of first are there.
	recentChanges map[string]recentChange
	recentAfter   uint64
	// remoteLastChange is the highest revision of a change that another host has told of,
	// first told at newestAt while it was not known here.
	remoteLastChange uint64
	laggingSince     clock.Millis
}

type recentChange struct {
	Change
	// maxRevision is the last revision that the change can have.
	maxRevision uint64
	appliedAt   clock.Millis
}

// New returns a relayer of some kinds of objects.
func New(kinds ...string) *Relayer {
	r := &Relayer{kinds: make(map[string]*kindState)}
	for _, name := range kinds {
		r.kinds[name] = &kindState{recentChanges: make(map[string]recentChange)}
	}
	return r
}

// RecordList notes that all objects of a kind were read at a revision; changed is
// the highest revision among them.
func (r *Relayer) RecordList(kind string, lastChange, upTo uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if k == nil || upTo <= k.upTo {
		return
	}
	// What was deleted before the list is not known.
	clear(k.recentChanges)
	k.recentAfter, k.upTo, k.lastChange = upTo, upTo, max(k.lastChange, lastChange)
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
		maxRevision := cmp.Or(c.Revision, b.UpTo)
		if c.Deleted {
			// The store may give a deleted object the revision of its last change.
			// Without content, all deletions of an answer fit into a report together.
			maxRevision, c.Content = b.UpTo, nil
		}
		if maxRevision <= k.upTo {
			continue
		}
		k.recentChanges[c.Name] = recentChange{Change: c, maxRevision: maxRevision, appliedAt: now}
		k.lastChange = max(k.lastChange, maxRevision)
	}
	k.upTo = b.UpTo
	k.expireChanges(now)
}

// expireChanges drops old changes.
func (k *kindState) expireChanges(now clock.Millis) {
	for name, c := range k.recentChanges {
		if now-c.appliedAt > changeTTL {
			k.recentAfter = max(k.recentAfter, c.maxRevision)
			delete(k.recentChanges, name)
		}
	}
}

// ObserveRevisions takes how current another host's view is.
func (r *Relayer) ObserveRevisions(revisions []Revision, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rev := range revisions {
		k := r.kinds[rev.Kind]
		if k == nil || rev.LastChange <= k.upTo {
			continue
		}
		if k.remoteLastChange <= k.upTo {
			k.laggingSince = now
		}
		k.remoteLastChange = max(k.remoteLastChange, rev.LastChange)
	}
}

// LaggingKinds returns the kinds of which another host has known more for a while.
func (r *Relayer) LaggingKinds(now clock.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, k := range r.kinds {
		if k.remoteLastChange > k.upTo && now-k.laggingSince >= LagTolerance {
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
			out = append(out, Revision{Kind: name, LastChange: k.lastChange, UpTo: k.upTo})
		}
	}
	return out
}

// MissingBatches returns the changes that a host with some revisions lacks, as many as
// fit into a report.
func (r *Relayer) MissingBatches(revisions []Revision) []Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Batch
	bytesLeft := maxBatchBytes
	for _, rev := range revisions {
		k := r.kinds[rev.Kind]
		if k == nil || k.lastChange <= rev.UpTo || rev.UpTo < k.recentAfter {
			continue
		}
		b := k.batchAfter(rev, &bytesLeft)
		if len(b.Changes) > 0 {
			out = append(out, b)
		}
	}
	return out
}

// batchAfter returns the oldest changes batchAfter a revision that fit into the room.
func (k *kindState) batchAfter(rev Revision, bytesLeft *int) Batch {
	var changes []recentChange
	for _, c := range k.recentChanges {
		if c.maxRevision > rev.UpTo {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b recentChange) int { return cmp.Compare(a.maxRevision, b.maxRevision) })
	out := Batch{Kind: rev.Kind, After: rev.UpTo, UpTo: k.upTo}
	for i, c := range changes {
		size := len(c.Content) + changeOverheadBytes
		if size > *bytesLeft {
			// Changes of one revision belong together.
			for i > 0 && changes[i-1].maxRevision == c.maxRevision {
				i--
			}
			out.Changes = out.Changes[:i]
			out.UpTo = rev.UpTo
			if i > 0 {
				out.UpTo = changes[i-1].maxRevision
			}
			break
		}
		*bytesLeft -= size
		out.Changes = append(out.Changes, c.Change)
	}
	return out
}

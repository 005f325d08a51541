// Package relayer lets hosts relay changes of the store to each other. It tracks how
// current a host's view of the store is and which changes the host can pass on, so
// that a few hosts of a region watch the store for all others. It has no clock: the
// caller passes the time.
//
// Every change has a revision of the store. When the store is restored from a backup,
// a new epoch of its history begins, in which revisions are given out again; so
// revisions are compared and changes relayed only within an epoch. For each kind of
// object, a host reports the revision up to which it has all changes, and hosts that
// are ahead answer with the missing ones. A host that can't be helped this way reads
// from the store itself.
package relayer

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"catkindyke/pkg/clock"
)

const (
	// LagTolerance is the time for which another host may be ahead before this one
	// reads from the store. Most changes arrive sooner, from other hosts or this
	// host's own watch; without either, a server that leaves must be known in 2.5 s.
	LagTolerance clock.Millis = 400
	// changeTTL is the time for which changes are kept for other hosts: several
	// exchanges of reports, even in a large fleet.
	changeTTL = 10 * clock.Second
	// maxBatchBytes bounds the changes in one report. A report to each of 20 hosts
	// then takes half a second on a link of 10 Mbit/s.
	maxBatchBytes = 32 << 10
	// changeOverheadBytes is the size of a change without its content.
	changeOverheadBytes = 64
)

// Change is the new state of an object.
type Change struct {
	Name string
	// Revision is the store's revision of the change, 0 if the store did not send one.
	Revision uint64
	Deleted  bool
	// Content is the object as the store holds it.
	Content []byte
}

// Batch holds all changes of a kind after one revision up to another, only the
// last change of each object.
type Batch struct {
	Kind string
	// Epoch is that of all revisions in the batch.
	Epoch       uint64
	After, UpTo uint64
	Changes     []Change
	// Gap is that of the lists from which the batch was made.
	Gap Gap
}

// Gap holds the revisions between two lists of a kind. Objects that were created after the first
// list and deleted up to the second one are in neither. A host that knows of them, because its
// revision lies in between, must not take the difference of the lists for all changes.
type Gap struct{ After, UpTo uint64 }

func (g Gap) contains(revision uint64) bool { return g.After < revision && revision < g.UpTo }

// union returns the smallest gap that holds both.
func (g Gap) union(other Gap) Gap {
	if g == (Gap{}) || other == (Gap{}) {
		return Gap{max(g.After, other.After), max(g.UpTo, other.UpTo)}
	}
	return Gap{min(g.After, other.After), max(g.UpTo, other.UpTo)}
}

// IsCompleteFor reports whether the batch has all changes that a host lacks which has those up to
// a revision. cut is the gap of which the host has the first part, or an empty one.
func (b Batch) IsCompleteFor(revision uint64, cut Gap) bool {
	return b.After <= revision && (!b.Gap.contains(revision) || b.Gap == cut)
}

// CutGap returns the gap of the batch if it has only the first part of the changes in it, or an
// empty one. The rest may follow from any host with the same gap, since the difference of two
// lists is the same everywhere.
func (b Batch) CutGap() Gap {
	if b.Gap.contains(b.UpTo) {
		return b.Gap
	}
	return Gap{}
}

// Revision is how current a host's view of a kind is.
type Revision struct {
	Kind  string
	Epoch uint64
	// LastChange is the revision of the last change that the host has, and UpTo the
	// revision up to which it has all changes.
	LastChange, UpTo uint64
	// Fingerprint is that of the host's list, if it has applied no change since.
	Fingerprint uint64
	// Cut is the gap of which the host has the first part, up to UpTo, and nothing else.
	Cut Gap
}

// List describes a list of all objects of a kind.
type List struct {
	Kind  string
	Epoch uint64
	// LastChange is the highest revision among the objects, and UpTo the revision of the
	// store as of which they were read.
	LastChange, UpTo uint64
	// Fingerprint is the same for lists of the same objects at the same revisions, and
	// never 0.
	Fingerprint uint64
}

// Relayer holds the state of all kinds. It is safe for concurrent use.
type Relayer struct {
	mu    sync.Mutex
	kinds map[string]*kindState
}

// position is a revision of the store in an epoch of its history.
type position struct{ epoch, revision uint64 }

func (p position) isBefore(q position) bool {
	return p.epoch < q.epoch || p.epoch == q.epoch && p.revision < q.revision
}

// kindState is this host's view of a kind.
type kindState struct {
	// epoch is that of all revisions of this host.
	epoch            uint64
	lastChange, upTo uint64
	// recentChanges holds the last change of each object; it is complete for all
	// revisions after recentAfter.
	recentChanges map[string]recentChange
	recentAfter   uint64
	// fingerprint is that of the list as of recentAfter, 0 if there is none.
	fingerprint uint64
	// gap holds the revisions after which recentChanges may lack deletions, since gapAt.
	gap   Gap
	gapAt clock.Millis
	// cut is the gap of the last batch if that had only the first part of it.
	cut Gap
	// remoteLastChange is the latest LastChange that another host reported, and
	// laggingSince the time since which this host has been behind it.
	remoteLastChange position
	laggingSince     clock.Millis
}

func (k *kindState) isLagging() bool {
	return position{k.epoch, k.upTo}.isBefore(k.remoteLastChange)
}

type recentChange struct {
	Change
	// minRevision and maxRevision are the lowest and the highest revision that the
	// change can have. They differ for deletions, to which the store gives the revision
	// of the object's last change.
	minRevision, maxRevision uint64
	appliedAt                clock.Millis
}

// New returns a relayer for the given kinds of objects.
func New(kinds ...string) *Relayer {
	r := &Relayer{kinds: make(map[string]*kindState)}
	for _, name := range kinds {
		r.kinds[name] = &kindState{recentChanges: make(map[string]recentChange)}
	}
	return r
}

// RecordList records that all objects of a kind were read.
func (r *Relayer) RecordList(l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[l.Kind]
	if k == nil || !(position{k.epoch, k.upTo}).isBefore(position{l.Epoch, l.UpTo}) {
		return
	}
	if l.Epoch != k.epoch {
		k.epoch, k.lastChange = l.Epoch, 0
	}
	// A list does not show which objects were deleted before it.
	clear(k.recentChanges)
	k.gap, k.cut = Gap{}, Gap{}
	k.recentAfter, k.upTo, k.lastChange, k.fingerprint = l.UpTo, l.UpTo, max(k.lastChange, l.LastChange), l.Fingerprint
}

// RecordBatch records that the changes of a batch were applied.
func (r *Relayer) RecordBatch(b Batch, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[b.Kind]
	if k == nil || b.Epoch != k.epoch || b.UpTo <= k.upTo {
		return
	}
	for _, c := range b.Changes {
		recent := recentChange{Change: c, minRevision: c.Revision, maxRevision: c.Revision, appliedAt: now}
		if c.Deleted || c.Revision == 0 {
			recent.minRevision, recent.maxRevision = b.After+1, b.UpTo
		}
		if recent.maxRevision <= k.upTo {
			continue
		}
		if c.Deleted {
			// Without content, all deletions of one store response fit into a report.
			recent.Content = nil
			if old, ok := k.recentChanges[c.Name]; ok && old.Deleted {
				recent.minRevision = min(recent.minRevision, old.minRevision)
			}
		}
		k.recentChanges[c.Name] = recent
		k.lastChange = max(k.lastChange, recent.maxRevision)
	}
	if b.Gap != (Gap{}) {
		k.gap, k.gapAt = k.gap.union(b.Gap), now
	}
	k.upTo, k.cut = b.UpTo, b.CutGap()
	k.expireChanges(now)
}

// expireChanges removes the changes that are older than changeTTL.
func (k *kindState) expireChanges(now clock.Millis) {
	for name, c := range k.recentChanges {
		if now-c.appliedAt > changeTTL {
			k.recentAfter, k.fingerprint = max(k.recentAfter, c.maxRevision), 0
			delete(k.recentChanges, name)
		}
	}
	if k.gap != (Gap{}) && now-k.gapAt > changeTTL {
		k.recentAfter, k.fingerprint = max(k.recentAfter, min(k.gap.UpTo, k.upTo)), 0
	}
	if k.recentAfter >= k.gap.UpTo {
		k.gap = Gap{}
	}
}

// ObserveRevisions compares this host's view with the revisions of another host.
func (r *Relayer) ObserveRevisions(revisions []Revision, now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rev := range revisions {
		k := r.kinds[rev.Kind]
		if k == nil {
			continue
		}
		remote := position{rev.Epoch, rev.LastChange}
		if remote.epoch == 0 {
			// Hosts of earlier versions report no epoch. A poll of the store shows what it is.
			remote.epoch = k.epoch
		}
		if !(position{k.epoch, k.upTo}).isBefore(remote) {
			continue
		}
		if !k.isLagging() {
			k.laggingSince = now
		}
		if k.remoteLastChange.isBefore(remote) {
			k.remoteLastChange = remote
		}
	}
}

// LaggingKinds returns the kinds in which another host has been ahead for at least
// LagTolerance.
func (r *Relayer) LaggingKinds(now clock.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, k := range r.kinds {
		if k.isLagging() && now-k.laggingSince >= LagTolerance {
			out = append(out, name)
		}
	}
	return out
}

// IsInEarlierEpoch reports whether another host has known a later epoch of the store for at
// least LagTolerance.
func (r *Relayer) IsInEarlierEpoch(now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.kinds {
		if k.epoch < k.remoteLastChange.epoch && now-k.laggingSince >= LagTolerance {
			return true
		}
	}
	return false
}

// Kinds returns all kinds in alphabetical order.
func (r *Relayer) Kinds() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.kinds))
}

// Revisions returns how current this host's view is, for each kind that it has read.
func (r *Relayer) Revisions() []Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Revision
	for name, k := range r.kinds {
		if k.upTo > 0 {
			rev := Revision{Kind: name, Epoch: k.epoch, LastChange: k.lastChange, UpTo: k.upTo, Cut: k.cut}
			if k.upTo == k.recentAfter {
				rev.Fingerprint = k.fingerprint
			}
			out = append(out, rev)
		}
	}
	return out
}

// MissingBatches returns the changes that a host at the given revisions lacks, as
// many as fit into a report.
func (r *Relayer) MissingBatches(revisions []Revision) []Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Batch
	bytesLeft := maxBatchBytes
	for _, rev := range revisions {
		k := r.kinds[rev.Kind]
		if k == nil || k.epoch != rev.Epoch || k.lastChange <= rev.UpTo || !k.hasAllAfter(rev) || !k.coversGapFor(rev) {
			continue
		}
		b := k.batchAfter(rev, &bytesLeft)
		if len(b.Changes) > 0 {
			out = append(out, b)
		}
	}
	return out
}

// hasAllAfter reports whether all changes after a host's revision are known. They are also
// if the host has an earlier list of the same objects: nothing has changed between the two.
func (k *kindState) hasAllAfter(rev Revision) bool {
	return rev.UpTo >= k.recentAfter || rev.Fingerprint != 0 && rev.Fingerprint == k.fingerprint
}

// coversGapFor reports whether the changes are complete for a host although deletions in the gap
// may be unknown. A host inside the gap may know of objects that they concern, unless it has
// just the first part of the same difference.
func (k *kindState) coversGapFor(rev Revision) bool {
	if k.gap.contains(k.upTo) && k.cut != k.gap {
		// Further batches would pass for parts of the same difference.
		return false
	}
	return !k.gap.contains(rev.UpTo) || rev.Cut == k.gap
}

// batchAfter returns the oldest changes after a revision that fit into bytesLeft,
// and reduces bytesLeft by their size. A batch that is cut ends before the lowest
// revision that any of the changes left out can have.
func (k *kindState) batchAfter(rev Revision, bytesLeft *int) Batch {
	var changes []recentChange
	for _, c := range k.recentChanges {
		if c.maxRevision > rev.UpTo {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b recentChange) int { return cmp.Compare(a.minRevision, b.minRevision) })
	out := Batch{Kind: rev.Kind, Epoch: k.epoch, After: rev.UpTo, UpTo: k.upTo, Gap: k.gap}
	for _, c := range changes {
		size := len(c.Content) + changeOverheadBytes
		if size > *bytesLeft {
			return out.cutBefore(c.minRevision, changes)
		}
		*bytesLeft -= size
		out.Changes = append(out.Changes, c.Change)
	}
	return out
}

// cutBefore returns the batch without the changes that can have the given revision
// or a later one only. sorted holds all changes of the batch, in order. The batch is
// empty if it would not be complete beyond its start.
func (b Batch) cutBefore(revision uint64, sorted []recentChange) Batch {
	b.UpTo = revision - 1
	if b.UpTo <= b.After {
		b.UpTo, b.Changes = b.After, nil
		return b
	}
	for len(b.Changes) > 0 && sorted[len(b.Changes)-1].minRevision >= revision {
		b.Changes = b.Changes[:len(b.Changes)-1]
	}
	return b
}

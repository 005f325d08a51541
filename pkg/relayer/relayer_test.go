package relayer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

func batch(after, upTo uint64, changes ...Change) Batch {
	return Batch{Kind: "servers", After: after, UpTo: upTo, Changes: changes}
}

func put(name string, revision uint64) Change { return Change{Name: name, Revision: revision} }

func revisions(lastChange, upTo uint64) []Revision {
	return []Revision{{Kind: "servers", LastChange: lastChange, UpTo: upTo}}
}

// names returns the object names of the batches in order.
func names(batches []Batch) []string {
	var out []string
	for _, b := range batches {
		for _, c := range b.Changes {
			out = append(out, c.Name)
		}
	}
	return out
}

func assertNames(t *testing.T, host string, batches []Batch, want ...string) {
	t.Helper()
	if got := names(batches); !slices.Equal(got, want) {
		t.Errorf("%s: passes on %q, want %q", host, got, want)
	}
}

func assertLagging(t *testing.T, step string, r *Relayer, now clock.Millis, want bool) {
	t.Helper()
	if got := len(r.LaggingKinds(now)) > 0; got != want {
		t.Errorf("%s: lagging is %v, want %v", step, got, want)
	}
}

// A host that is slightly behind gets exactly the changes that it lacks.
func TestMissingBatches(t *testing.T) {
	r := New("servers")
	r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	r.RecordBatch(batch(10, 12, put("a", 11), put("b", 12)), 1000)
	r.RecordBatch(batch(12, 20, put("c", 13)), 1100)
	assertNames(t, "host at the list's revision", r.MissingBatches(revisions(7, 10)), "a", "b", "c")
	assertNames(t, "host one change behind", r.MissingBatches(revisions(12, 12)), "c")
	assertNames(t, "host with all changes", r.MissingBatches(revisions(13, 13)))
	assertNames(t, "host before the list's revision", r.MissingBatches(revisions(7, 9)))
	if got := r.MissingBatches(revisions(12, 12))[0]; got.After != 12 || got.UpTo != 20 {
		t.Errorf("batch covers revisions after %d up to %d, want after 12 up to 20", got.After, got.UpTo)
	}
}

// Changes recorded before a list are not passed on: they may lack deletions.
func TestListDropsChanges(t *testing.T) {
	r := New("servers")
	r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	r.RecordBatch(batch(10, 12, put("a", 11)), 1000)
	r.RecordList(List{Kind: "servers", LastChange: 11, UpTo: 15})
	assertNames(t, "host before the second list", r.MissingBatches(revisions(7, 10)))
}

// The store may give a deletion the revision of the object's last change.
func TestDeletionWithOldRevision(t *testing.T) {
	r := New("servers")
	r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	r.RecordBatch(batch(10, 12, put("b", 12)), 1000)
	r.RecordBatch(batch(12, 14, Change{Name: "a", Revision: 5, Deleted: true}), 1000)
	assertNames(t, "host that lacks the deletion", r.MissingBatches(revisions(12, 12)), "a")
}

// Old changes expire, and a host that lacks them must read from the store.
func TestExpiredChanges(t *testing.T) {
	r := New("servers")
	r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	r.RecordBatch(batch(10, 12, put("a", 11)), 1000)
	r.RecordBatch(batch(12, 13, put("b", 13)), 1001+changeTTL)
	assertNames(t, "host that lacks the expired change", r.MissingBatches(revisions(7, 10)))
	assertNames(t, "host that lacks the recent change", r.MissingBatches(revisions(11, 12)), "b")
}

// A change that is too large for a report holds back later changes of its kind,
// but not those of other kinds.
func TestLargeChange(t *testing.T) {
	r := New("config", "servers")
	r.RecordList(List{Kind: "config", LastChange: 1, UpTo: 1})
	r.RecordList(List{Kind: "servers", LastChange: 1, UpTo: 1})
	r.RecordBatch(Batch{Kind: "config", After: 1, UpTo: 2, Changes: []Change{{Name: "main", Revision: 2, Content: make([]byte, maxBatchBytes+1)}}}, 0)
	r.RecordBatch(batch(1, 3, put("a", 3)), 0)
	assertNames(t, "both kinds", r.MissingBatches([]Revision{{Kind: "config", UpTo: 1}, {Kind: "servers", UpTo: 1}}), "a")
}

// A host that is behind another one reads from the store if no host sends it the
// change.
func TestLaggingKinds(t *testing.T) {
	r := New("servers")
	r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	r.ObserveRevisions(revisions(9, 30), 1000)
	assertLagging(t, "newer UpTo without a newer change", r, 2000, false)
	r.ObserveRevisions(revisions(12, 12), 1000)
	assertLagging(t, "before LagTolerance", r, 1000+LagTolerance-1, false)
	assertLagging(t, "after LagTolerance", r, 1000+LagTolerance, true)
	r.RecordBatch(batch(10, 12, put("a", 12)), 2000)
	assertLagging(t, "after applying the change", r, 3000, false)
}

// Hosts that learn changes only from one another, in any order and with batches
// cut at any size, end with the objects of the store.
func TestRelayedChangesAreComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 4
		var relayers [hosts]*Relayer
		var views [hosts]map[string]uint64
		var upTo [hosts]uint64
		for i := range hosts {
			relayers[i] = New("servers")
			relayers[i].RecordList(List{Kind: "servers", LastChange: 1, UpTo: 1})
			views[i], upTo[i] = make(map[string]uint64), 1
		}
		apply := func(i int, b Batch, now clock.Millis) {
			if b.UpTo <= upTo[i] || b.After > upTo[i] {
				return
			}
			for _, c := range b.Changes {
				if c.Deleted {
					delete(views[i], c.Name)
				} else if c.Revision > upTo[i] {
					views[i][c.Name] = c.Revision
				}
			}
			upTo[i] = b.UpTo
			relayers[i].RecordBatch(b, now)
		}
		store := make(map[string]uint64)
		rev, now := uint64(1), clock.Millis(0)
		content := make([]byte, rapid.IntRange(0, maxBatchBytes/2).Draw(rt, "bytes"))
		for range rapid.IntRange(1, 40).Draw(rt, "rounds") {
			now += 100
			b := Batch{Kind: "servers", After: rev}
			changed := make(map[string]bool)
			for range rapid.IntRange(0, 4).Draw(rt, "changes") {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "object"))
				if changed[name] {
					continue
				}
				changed[name] = true
				rev++
				c := Change{Name: name, Revision: rev, Content: content}
				if old, ok := store[name]; ok && rapid.Bool().Draw(rt, "delete") {
					c.Deleted, c.Revision = true, old
					delete(store, name)
				} else {
					store[name] = rev
				}
				b.Changes = append(b.Changes, c)
			}
			b.UpTo = rev
			apply(0, b, now) // host 0 watches the store
			for range 6 {
				from, to := rapid.IntRange(0, hosts-1).Draw(rt, "from"), rapid.IntRange(0, hosts-1).Draw(rt, "to")
				for _, missing := range relayers[from].MissingBatches(relayers[to].Revisions()) {
					apply(to, missing, now)
				}
			}
		}
		for range 200 {
			for i := 1; i < hosts; i++ {
				for _, missing := range relayers[0].MissingBatches(relayers[i].Revisions()) {
					apply(i, missing, now)
				}
			}
		}
		for i := range hosts {
			if fmt.Sprint(views[i]) != fmt.Sprint(store) {
				rt.Errorf("host %d has objects %v, want %v", i, views[i], store)
			}
		}
	})
}

// relay passes the changes that one host has and the other lacks, and returns the
// receiver's revisions.
func relay(from, to *Relayer, now clock.Millis) []Revision {
	for _, b := range from.MissingBatches(to.Revisions()) {
		to.RecordBatch(b, now)
	}
	return to.Revisions()
}

// A deletion that was relayed must not count as a later one, before which a batch to the
// next host could end.
func TestRelayedDeletionInCutBatch(t *testing.T) {
	first, second, third := New("servers"), New("servers"), New("servers")
	for _, r := range []*Relayer{first, second, third} {
		r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: 10})
	}
	change := func(name string, rev uint64) {
		first.RecordBatch(batch(rev-1, rev, Change{Name: name, Revision: rev, Content: make([]byte, maxBatchBytes/4)}), 1000)
	}
	change("b", 11)
	change("c", 12)
	relay(first, second, 1100)
	first.RecordBatch(batch(12, 13, Change{Name: "a", Revision: 5, Deleted: true}), 1000)
	change("d", 14)
	change("e", 15)
	relay(first, second, 1200)
	got := second.MissingBatches(third.Revisions())
	assertNames(t, "second host", got, "b", "c", "a", "d")
	if rev := relay(second, third, 1300)[0]; rev.UpTo != 14 {
		t.Errorf("third host is complete up to %d, want 14", rev.UpTo)
	}
	assertNames(t, "first host to the third", first.MissingBatches(third.Revisions()), "e")
}

// TestListsAtDifferentRevisions guards against hosts that can't get the next change from
// others because they listed the store before them.
func TestListsAtDifferentRevisions(t *testing.T) {
	list := func(upTo, fingerprint uint64) *Relayer {
		r := New("servers")
		r.RecordList(List{Kind: "servers", LastChange: 7, UpTo: upTo, Fingerprint: fingerprint})
		return r
	}
	first, second, other := list(10, 1), list(12, 1), list(12, 2)
	for _, r := range []*Relayer{second, other} {
		r.RecordBatch(batch(12, 13, put("a", 13)), 1000)
	}
	assertNames(t, "host with a later list of the same objects", second.MissingBatches(first.Revisions()), "a")
	assertNames(t, "host with a later list of others", other.MissingBatches(first.Revisions()))
	if got := relay(second, first, 1100)[0]; got.UpTo != 13 || got.Fingerprint != 0 {
		t.Errorf("after the change: %+v, want revision 13 without a fingerprint", got)
	}
	assertNames(t, "host with no fingerprint", list(12, 0).MissingBatches(list(10, 0).Revisions()))
}

// After the store was restored from a backup, revisions stand for something else. Changes of one
// epoch must not reach a host in another.
func TestEpochs(t *testing.T) {
	withEpochs := func() (earlier, later *Relayer) {
		earlier, later = New("servers"), New("servers")
		for _, r := range []*Relayer{earlier, later} {
			r.RecordList(List{Kind: "servers", Epoch: 1, LastChange: 10, UpTo: 10, Fingerprint: 7})
			r.RecordBatch(Batch{Kind: "servers", Epoch: 1, After: 10, UpTo: 30, Changes: []Change{put("lost", 30)}}, 1000)
		}
		later.RecordList(List{Kind: "servers", Epoch: 2, LastChange: 5, UpTo: 12, Fingerprint: 7})
		later.RecordBatch(Batch{Kind: "servers", Epoch: 2, After: 12, UpTo: 14, Changes: []Change{put("new", 14)}}, 2000)
		return earlier, later
	}
	t.Run("nothing is passed on", func(t *testing.T) {
		earlier, later := withEpochs()
		assertNames(t, "from the later epoch", later.MissingBatches(earlier.Revisions()))
		assertNames(t, "from the earlier epoch", earlier.MissingBatches(later.Revisions()))
		assertNames(t, "same revision of the earlier epoch", later.MissingBatches([]Revision{{Kind: "servers", Epoch: 1, LastChange: 12, UpTo: 12, Fingerprint: 7}}))
		assertNames(t, "same revision of the later epoch", later.MissingBatches([]Revision{{Kind: "servers", Epoch: 2, LastChange: 5, UpTo: 12}}), "new")
	})
	t.Run("only the host in the earlier epoch lags", func(t *testing.T) {
		earlier, later := withEpochs()
		later.ObserveRevisions(earlier.Revisions(), 2000)
		earlier.ObserveRevisions(later.Revisions(), 2000)
		assertLagging(t, "host in the later epoch", later, 2000+LagTolerance, false)
		assertLagging(t, "host in the earlier epoch", earlier, 2000+LagTolerance, true)
		if earlier.IsInEarlierEpoch(2000+LagTolerance-1) || !earlier.IsInEarlierEpoch(2000+LagTolerance) || later.IsInEarlierEpoch(2000+LagTolerance) {
			t.Error("a host counts as being in an earlier epoch too soon, not at all, or wrongly")
		}
		earlier.RecordList(List{Kind: "servers", Epoch: 2, LastChange: 14, UpTo: 14})
		assertLagging(t, "after its list", earlier, 2000+LagTolerance, false)
		later.ObserveRevisions(earlier.Revisions(), 3000)
		assertLagging(t, "both in the later epoch", later, 3000+LagTolerance, false)
	})
	t.Run("batches and lists of the earlier epoch change nothing", func(t *testing.T) {
		_, later := withEpochs()
		later.RecordBatch(Batch{Kind: "servers", Epoch: 1, After: 14, UpTo: 40, Changes: []Change{put("lost", 40)}}, 3000)
		later.RecordList(List{Kind: "servers", Epoch: 1, LastChange: 40, UpTo: 40})
		if got := later.Revisions()[0]; got.Epoch != 2 || got.UpTo != 14 {
			t.Errorf("revision %d of epoch %d, want 14 of 2", got.UpTo, got.Epoch)
		}
	})
	// During an upgrade, the hosts that watch the store may be of an earlier version.
	t.Run("a report without epochs", func(t *testing.T) {
		_, later := withEpochs()
		later.ObserveRevisions(revisions(20, 20), 3000)
		assertLagging(t, "a later change", later, 3000+LagTolerance, true)
		later.RecordBatch(batch(14, 20, put("x", 20)), 3000)
		assertLagging(t, "a batch without an epoch", later, 3000+LagTolerance, true)
	})
}

// withCutDifference runs a test with a host that has found more changes by a list than fit into
// a report.
func withCutDifference(test func(sender *Relayer)) {
	sender := New("k")
	sender.RecordList(List{Kind: "k", Epoch: 1, UpTo: 100, LastChange: 100, Fingerprint: 1})
	b := Batch{Kind: "k", Epoch: 1, After: 100, UpTo: 400, Gap: Gap{100, 400}}
	for i := range 200 {
		b.Changes = append(b.Changes, Change{Name: fmt.Sprint(i), Revision: uint64(101 + i), Content: make([]byte, 300)})
	}
	sender.RecordBatch(b, 1000)
	test(sender)
}

// receive applies what the sender has for the receiver and returns the number of changes.
func receive(t *testing.T, sender, receiver *Relayer) int {
	t.Helper()
	changes := 0
	for _, b := range sender.MissingBatches(receiver.Revisions()) {
		rev := receiver.Revisions()[0]
		if !b.IsCompleteFor(rev.UpTo, rev.Cut) {
			t.Errorf("batch up to %d is not complete for a receiver at %d", b.UpTo, rev.UpTo)
		}
		receiver.RecordBatch(b, 1000)
		changes += len(b.Changes)
	}
	return changes
}

// A receiver of the first part of a long difference must get the rest without a poll of the
// store, which all hosts of a region would make.
func TestCutDifferenceContinues(t *testing.T) {
	withCutDifference(func(sender *Relayer) {
		receiver, changes := New("k"), 0
		receiver.RecordList(List{Kind: "k", Epoch: 1, UpTo: 100, LastChange: 100})
		for range 4 {
			changes += receive(t, sender, receiver)
		}
		if rev := receiver.Revisions()[0]; rev.UpTo != 400 || rev.Cut != (Gap{}) || changes != 200 {
			t.Errorf("receiver at %d with %d changes and cut %v, want 400 with 200 changes and none", rev.UpTo, changes, rev.Cut)
		}
	})
}

// A host that has learned more inside the gap may know of objects whose deletion is in no
// part of the difference.
func TestCutDifferenceEndsWithOtherChanges(t *testing.T) {
	for name, other := range map[string]Batch{
		"watch": {Kind: "k", Epoch: 1, UpTo: 350, Changes: []Change{{Name: "short", Revision: 350}}},
		"list":  {Kind: "k", Epoch: 1, UpTo: 350, Gap: Gap{200, 350}, Changes: []Change{{Name: "short", Revision: 350}}},
	} {
		t.Run(name, func(t *testing.T) {
			withCutDifference(func(sender *Relayer) {
				receiver, next := New("k"), New("k")
				receiver.RecordList(List{Kind: "k", Epoch: 1, UpTo: 100, LastChange: 100})
				next.RecordList(List{Kind: "k", Epoch: 1, UpTo: 100, LastChange: 100})
				receive(t, sender, receiver)
				receive(t, receiver, next)
				other.After = receiver.Revisions()[0].UpTo
				receiver.RecordBatch(other, 1000)
				if n := receive(t, sender, receiver); n != 0 {
					t.Errorf("%d changes sent to a host inside the gap, want none", n)
				}
				if n := receive(t, receiver, next); n != 0 {
					t.Errorf("%d changes sent by a host inside the gap, want none", n)
				}
			})
		})
	}
}

//go:build known_red

package relayer

import "testing"

// TestListsAtDifferentRevisions guards against hosts that can't get the next change from
// others because they listed the store before them.
func TestListsAtDifferentRevisions(t *testing.T) {
	first, second := New("servers"), New("servers")
	first.RecordList("servers", 7, 10)
	second.RecordList("servers", 7, 12)
	second.RecordBatch(batch(12, 13, put("a", 13)), 1000)
	assertNames(t, "host with the later list", second.MissingBatches(first.Revisions()), "a")
}

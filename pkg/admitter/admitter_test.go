package admitter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

var (
	urgent   = Request{Priority: 0, Workspace: "a", Limit: 100}
	patient  = Request{Priority: 1, Workspace: "a", Limit: 800}
	startsAt = 10 * clock.Second
)

// ask asks for a request n times.
func ask(a *Admitter, req Request, admitted bool, n int, now clock.Millis) {
	for range n {
		a.Limit(req, now)
		a.Record(req, admitted, now)
	}
}

func assertLimit(t *testing.T, step string, a *Admitter, req Request, low, high float64, now clock.Millis) {
	t.Helper()
	if got := a.Limit(req, now); got < low || got > high {
		t.Errorf("%s: limit of %.0f ms, want %.0f to %.0f", step, got, low, high)
	}
}

// While nothing is refused, all requests must be treated as before.
func TestNothingRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := New()
		for i := range rapid.IntRange(1, 50).Draw(rt, "requests") {
			req := Request{
				Priority: rapid.SampledFrom([]float64{0, 0.1, 1, 2}).Draw(rt, "priority"), Workspace: rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "workspace"),
				Limit: rapid.Float64Range(0, 1000).Draw(rt, "limit"),
			}
			now := startsAt + clock.Millis(i)
			if got := a.Limit(req, now); got != req.Limit {
				rt.Fatalf("limit of %f, want %f", got, req.Limit)
			}
			a.Record(req, true, now)
		}
	})
}

// Requests that may wait long must not fill the queues while urgent ones are refused, and
// may wait again once these are served more often, or no longer come.
func TestUrgentFirst(t *testing.T) {
	a := New()
	ask(a, patient, true, 20, startsAt)
	ask(a, urgent, false, 20, startsAt)
	assertLimit(t, "urgent ones are refused", a, patient, 40, 100, startsAt)
	assertLimit(t, "the more urgent class", a, urgent, 100, 200, startsAt)
	assertLimit(t, "no urgent ones for 2 s, and nothing refused", a, patient, 800, 800, startsAt+2*clock.Second)
	ask(a, patient, false, 60, startsAt+2*clock.Second)
	ask(a, urgent, true, 60, startsAt+2*clock.Second)
	assertLimit(t, "urgent ones are served", a, patient, 700, 1600, startsAt+2*clock.Second)
}

// A workspace that got less than the others must be let wait longer, within bounds.
func TestEqualShares(t *testing.T) {
	a := New()
	less := urgent
	less.Workspace = "b"
	ask(a, urgent, true, 40, startsAt)
	ask(a, less, false, 20, startsAt)
	assertLimit(t, "got nothing", a, less, 150, 200, startsAt)
	assertLimit(t, "got all", a, urgent, 50, 80, startsAt)
	unknown := urgent
	unknown.Workspace = "c"
	assertLimit(t, "has not asked yet", a, unknown, 100, 100, startsAt)
}

// A host that has started knows nothing of what others got, and must not refuse for it.
func TestStartedHost(t *testing.T) {
	a := New()
	a.Record(urgent, false, startsAt)
	assertLimit(t, "first request", a, patient, 800, 800, startsAt)
}

// A host that runs for long sees many workspaces, and must not keep the counts of all.
func TestWorkspacesAreBounded(t *testing.T) {
	a := New()
	add := func(prefix string, now clock.Millis) {
		for i := range 2 * maxWorkspaces {
			a.Record(Request{Workspace: fmt.Sprint(prefix, i)}, true, now)
		}
		if got := len(a.workspaces); got > maxWorkspaces {
			t.Errorf("%d workspaces are kept, want at most %d", got, maxWorkspaces)
		}
	}
	add("a", startsAt)
	add("b", startsAt+2*workspaceTTL)
	if a.workspaces["b0"] == nil || a.workspaces["a0"] != nil {
		t.Error("a new workspace does not take the place of one that no longer asks")
	}
}

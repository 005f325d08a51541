package dispatcher

import (
	"slices"

	"catkindyke/pkg/clock"
)

// Request asks for a slot on any server of a service.
type Request struct {
	// Host and Incarnation identify the entry host.
	Host        string
	Incarnation uint64
	// ID is unique for each request.
	ID                 string
	Service, Workspace string
	// Deadline is a time on the owner's clock.
	Deadline clock.Millis
	// Exclude lists servers that the request has already tried.
	Exclude []string
}

// flow holds the queued requests of one workspace.
type flow struct {
	requests  []Request
	finishTag float64
	weight    float64
}

// fairQueue implements start-time fair queuing: the workspace with the lowest start
// tag is next, and each grant advances its tag by 1/weight.
type fairQueue struct {
	flows       map[string]*flow
	virtualTime float64
	length      int
}

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// push adds a request. While the queue is longer than maxLength, it drops the newest
// request of the workspace with the most queued requests for its weight, and
// returns the dropped requests.
func (q *fairQueue) push(r Request, weight float64, maxLength int) []Request {
	f := q.flows[r.Workspace]
	if f == nil {
		f = &flow{finishTag: q.virtualTime}
		q.flows[r.Workspace] = f
	}
	f.weight = weight
	if len(f.requests) == 0 {
		f.finishTag = max(f.finishTag, q.virtualTime)
	}
	f.requests = append(f.requests, r)
	q.length++
	var dropped []Request
	for q.length > maxLength {
		f := q.flows[q.mostOverShare()]
		last := len(f.requests) - 1
		dropped = append(dropped, f.requests[last])
		f.requests = f.requests[:last]
		q.length--
	}
	return dropped
}

// queuedWorkspaces returns the workspaces with queued requests, sorted by start tag.
func (q *fairQueue) queuedWorkspaces() []string {
	var out []string
	for name, f := range q.flows {
		if len(f.requests) > 0 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		fa, fb := q.flows[a].finishTag, q.flows[b].finishTag
		if fa < fb || fa == fb && a < b {
			return -1
		}
		return 1
	})
	return out
}

func (q *fairQueue) mostOverShare() string {
	worst, highest := "", -1.0
	for _, name := range q.queuedWorkspaces() {
		f := q.flows[name]
		if n := float64(len(f.requests)) / f.weight; n > highest {
			worst, highest = name, n
		}
	}
	return worst
}

// pop removes and returns the first request of a workspace, and charges the workspace for it.
func (q *fairQueue) pop(workspace string) Request {
	f := q.flows[workspace]
	r := f.requests[0]
	f.requests = f.requests[1:]
	q.length--
	q.charge(workspace, f.weight)
	return r
}

// charge advances a workspace's tag by one grant.
func (q *fairQueue) charge(workspace string, weight float64) {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{weight: weight}
		q.flows[workspace] = f
	}
	start := max(f.finishTag, q.virtualTime)
	q.virtualTime = start
	f.finishTag = start + 1/weight
}

// remove removes and returns the queued requests for which drop returns true.
func (q *fairQueue) remove(drop func(Request) bool) []Request {
	var removed []Request
	for name, f := range q.flows {
		kept := f.requests[:0:0]
		for _, r := range f.requests {
			if drop(r) {
				removed = append(removed, r)
			} else {
				kept = append(kept, r)
			}
		}
		f.requests = kept
		if len(kept) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.length -= len(removed)
	slices.SortFunc(removed, func(a, b Request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return removed
}

// grantsAhead estimates how many grants precede that of a new request of a workspace.
func (q *fairQueue) grantsAhead(workspace string, weight float64) float64 {
	total := weight
	for name, f := range q.flows {
		if name != workspace && len(f.requests) > 0 {
			total += f.weight
		}
	}
	own := 0
	if f := q.flows[workspace]; f != nil {
		own = len(f.requests)
	}
	return min(float64(q.length), float64(own+1)*total/weight)
}

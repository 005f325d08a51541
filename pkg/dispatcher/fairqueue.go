package dispatcher

import (
	"slices"

	"catkindyke/pkg/clock"
)

// Request asks for a slot of any server of a service.
type Request struct {
	// Host and Incarnation name the entry host.
	Host        string
	Incarnation uint64
	// ID is unique for each request.
	ID string
	// Service and Workspace of the request.
	Service, Workspace string
	// Deadline is on the owner's clock.
	Deadline clock.Millis
	// Exclude names servers that the request has tried.
	Exclude []string
}

// flow holds the waiting requests of one workspace.
type flow struct {
	items  []Request
	finish float64
	weight float64
}

// fairQueue is a start-time fair queue: the head with the lowest start tag is
// next, and each grant moves its workspace's tag by 1/weight.
type fairQueue struct {
	flows   map[string]*flow
	virtual float64
	length  int
}

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// push adds a request and returns the requests that a bounded queue drops: the
// newest of the workspace that is most over its share.
func (q *fairQueue) push(r Request, weight float64, limit int) []Request {
	f := q.flows[r.Workspace]
	if f == nil {
		f = &flow{finish: q.virtual}
		q.flows[r.Workspace] = f
	}
	f.weight = weight
	if len(f.items) == 0 {
		f.finish = max(f.finish, q.virtual)
	}
	f.items = append(f.items, r)
	q.length++
	var dropped []Request
	for q.length > limit {
		f := q.flows[q.worst()]
		last := len(f.items) - 1
		dropped = append(dropped, f.items[last])
		f.items = f.items[:last]
		q.length--
	}
	return dropped
}

// names returns the workspaces that have requests waiting, in order of start tags.
func (q *fairQueue) names() []string {
	var out []string
	for name, f := range q.flows {
		if len(f.items) > 0 {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		fa, fb := q.flows[a].finish, q.flows[b].finish
		if fa < fb || fa == fb && a < b {
			return -1
		}
		return 1
	})
	return out
}

func (q *fairQueue) worst() string {
	worst, over := "", -1.0
	for _, name := range q.names() {
		f := q.flows[name]
		if n := float64(len(f.items)) / f.weight; n > over {
			worst, over = name, n
		}
	}
	return worst
}

// take removes the head of a workspace and charges the workspace for it.
func (q *fairQueue) take(workspace string) Request {
	f := q.flows[workspace]
	r := f.items[0]
	f.items = f.items[1:]
	q.length--
	q.charge(workspace, f.weight)
	return r
}

// charge moves a workspace's tag for one grant.
func (q *fairQueue) charge(workspace string, weight float64) {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{weight: weight}
		q.flows[workspace] = f
	}
	start := max(f.finish, q.virtual)
	q.virtual = start
	f.finish = start + 1/weight
}

// remove takes waiting requests out for which drop is true.
func (q *fairQueue) remove(drop func(Request) bool) []Request {
	var out []Request
	for name, f := range q.flows {
		kept := f.items[:0:0]
		for _, r := range f.items {
			if drop(r) {
				out = append(out, r)
			} else {
				kept = append(kept, r)
			}
		}
		f.items = kept
		if len(kept) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
	q.length -= len(out)
	slices.SortFunc(out, func(a, b Request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// ahead estimates how many grants come before a new request of a workspace.
func (q *fairQueue) ahead(workspace string, weight float64) float64 {
	total := weight
	for name, f := range q.flows {
		if name != workspace && len(f.items) > 0 {
			total += f.weight
		}
	}
	own := 0
	if f := q.flows[workspace]; f != nil {
		own = len(f.items)
	}
	return min(float64(q.length), float64(own+1)*total/weight)
}

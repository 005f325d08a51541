// Package reserver decides how much memory and how many connections clients may take.
// It does no I/O: callers reserve before they take memory, give back what is free, and
// end the holders that a decision names.
package reserver

import (
	"sync"

	"catkindyke/pkg/clock"
)

// Use is what reserved bytes are for.
type Use int

// Connection is the fixed cost of an open connection, and Request that of a request. Message
// stands for the buffers of a reader of messages, which live as long as the connection.
const (
	Connection Use = iota
	Request
	Header
	Body
	Answer
	Message
	useCount
)

// String returns the name of the use in metrics.
func (u Use) String() string {
	return [useCount]string{"connection", "request", "header", "body", "answer", "message"}[u]
}

// isSmall reports whether the use may take the part of the budget that is kept for small requests.
func (u Use) isSmall() bool { return u == Connection || u == Request }

// Phase is what a connection does.
type Phase int

const (
	// Idle means that no request has begun.
	Idle Phase = iota
	// Receiving means that a request arrives of which nothing has been passed on.
	Receiving
	// Serving means that a request is handled.
	Serving
	// Streaming means that a request arrives while it is passed on.
	Streaming
	// Answering means that a response is written.
	Answering
)

// Decision is the answer to a request for room.
type Decision int

const (
	// Granted means that the room is reserved.
	Granted Decision = iota
	// Wait means that room may come free shortly.
	Wait
	// Denied means that the holder itself is the first to end.
	Denied
)

const (
	// progressStep is the number of bytes that count as progress. Single bytes sent now
	// and then don't.
	progressStep = 4 << 10
	// smallDivisor and clientDivisor give the parts of the budget that are kept for
	// small requests, and that one client address may hold when room is short.
	smallDivisor  = 4
	clientDivisor = 4
	// halfOpenAge is the time in which a new connection is expected to send a request.
	halfOpenAge = clock.Second
	// receiveStall and transferStall are the times without progress after which a
	// request that arrives, and one that is passed on or answered, may end for others.
	// A backend server may hold up the latter.
	receiveStall  clock.Millis = 250
	transferStall              = 2 * clock.Second
	// noConnStall replaces transferStall when a new connection finds no other room.
	noConnStall clock.Millis = 500
	// searchInterval is the time for which victims aren't searched again for bytes when
	// there were none. Each search visits all holders, and many requests may wait.
	searchInterval clock.Millis = 20
)

// Config configures a budget.
type Config struct {
	// Bytes and Conns are the limits of bytes and of open connections. Descriptors limits
	// connections and the forwarded requests, which take a connection to a server each.
	// ConnBytes is the cost of a connection.
	Bytes       int64
	Conns       int
	Descriptors int
	ConnBytes   int64
	// Active limits the connections with a request that is served, whose kernel buffers may be
	// full. 0 sets no limit.
	Active int
}

// Budget holds what clients may take together. Its methods may be called by several goroutines.
type Budget struct {
	cfg Config

	mu sync.Mutex
	// used is what is reserved, and ending the part of it whose holders have to end.
	used   [useCount]int64
	total  int64
	ending int64
	conns  int
	// forwarded is the number of connections to servers that requests take.
	forwarded int
	// active is the number of holders with a request, and activeEnding that of those which end.
	active, activeEnding int
	holders              map[*Holder]struct{}
	clients              map[string]*client
	// opened counts the holders that were opened.
	opened int64
	// searchAgain is the time before which no victims are searched for bytes.
	searchAgain clock.Millis
	// changed is closed when bytes come free, nil if nobody waits for that.
	changed chan struct{}
}

// client is what one client address holds.
type client struct {
	conns, holders int
	bytes          int64
}

// Holder is an open connection.
type Holder struct {
	// number orders the holders by age.
	number int64
	Client
	client *client
	held   [useCount]int64
	sum    int64
	// ending is set once the holder must end, and closed once it holds no connection.
	ending, closed bool
	phase          Phase
	// forwards is the number of connections to servers that the request takes.
	forwards int
	// isActive is set from the reservation of a request to its end.
	isActive bool
	// hasServed is set after the first complete request.
	hasServed bool
	// since is the time of the last progress or change of the phase, and partial the number
	// of bytes since then.
	since   clock.Millis
	partial int
	// reads is set while the host reads from the client, which began at readSince, and stalled
	// is the duration of earlier reads without progress.
	reads              bool
	readSince, stalled clock.Millis
}

// stall returns the time for which the host has waited for the client without progress. The time
// that the host itself or a server takes doesn't count.
func (h *Holder) stall(now clock.Millis) clock.Millis {
	switch {
	case h.phase == Answering:
		return now - h.since
	case h.reads:
		return h.stalled + now - h.readSince
	}
	return h.stalled
}

// New returns an empty budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, holders: map[*Holder]struct{}{}, clients: map[string]*client{}}
}

// Client is the peer of a connection.
type Client struct {
	Address string
	// IsTrusted marks other hosts of the fleet. Their connections never end for those of
	// other clients, and last for each other's.
	IsTrusted bool
	// Stop ends the connection, either at once or after a refusal. The budget doesn't call it.
	Stop func(atOnce bool)
}

// Open reserves a connection for a client. The victims must be stopped at once by the caller,
// whatever the decision, which is Wait if there may be room once they have ended.
func (b *Budget) Open(from Client, now clock.Millis) (h *Holder, victims []*Holder, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.clients[from.Address]
	if c == nil {
		c = &client{}
	}
	forOthers := search{client: c, isTrusted: from.IsTrusted, now: now}
	if b.conns >= b.cfg.Conns || b.conns+b.forwarded >= b.cfg.Descriptors {
		forConn := forOthers
		forConn.conn = true
		v := b.victim(forConn)
		if v == nil {
			return nil, nil, Denied
		}
		victims = append(victims, v)
		b.end(v)
		b.closeConn(v)
	}
	if !b.fits(Connection, b.cfg.ConnBytes) {
		more, d := b.makeRoom(forOthers, Connection, b.cfg.ConnBytes)
		return nil, append(victims, more...), d
	}
	b.opened++
	h = &Holder{number: b.opened, Client: from, client: c, reads: true, readSince: now}
	b.clients[from.Address] = c
	c.conns++
	c.holders++
	b.conns++
	b.holders[h] = struct{}{}
	b.add(h, Connection, b.cfg.ConnBytes)
	return h, victims, Granted
}

// Forward reserves a connection to a server for the request of a holder. The victims must be
// stopped at once.
func (b *Budget) Forward(h *Holder, now clock.Millis) (victims []*Holder, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ending || h.forwards > 0 || !b.isOpen(h) {
		return nil, Denied
	}
	if b.conns+b.forwarded >= b.cfg.Descriptors {
		v := b.victim(search{holder: h, client: h.client, isTrusted: h.IsTrusted, conn: true, now: now})
		if v == nil || v == h {
			return nil, Denied
		}
		victims = append(victims, v)
		b.end(v)
		b.closeConn(v)
	}
	h.forwards = 1
	b.forwarded++
	return victims, Granted
}

// TryForward reserves one more connection to a server for a request that has one, if there is
// room, and ends no other holder.
func (b *Budget) TryForward(h *Holder) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ending || h.forwards == 0 || b.conns+b.forwarded >= b.cfg.Descriptors {
		return false
	}
	h.forwards++
	b.forwarded++
	return true
}

// ReleaseForward gives back a connection that TryForward has reserved. EndRequest does so, too.
func (b *Budget) ReleaseForward(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.forwards > 1 {
		h.forwards--
		b.forwarded--
	}
}

func (b *Budget) endForward(h *Holder) {
	b.forwarded -= h.forwards
	h.forwards = 0
}

// Reserve reserves bytes for a holder, as Open does for a connection. The victims are given time
// for a refusal; they keep what they hold until they release it.
func (b *Budget) Reserve(h *Holder, use Use, n int64, now clock.Millis) (victims []*Holder, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ending || !b.isOpen(h) {
		return nil, Denied
	}
	isNew := use == Request && !h.isActive
	if isNew && b.cfg.Active > 0 && b.active >= b.cfg.Active {
		return b.endActive(h, now), Wait
	}
	if b.fits(use, n) {
		b.add(h, use, n)
		if isNew {
			h.isActive = true
			b.active++
		}
		return nil, Granted
	}
	return b.makeRoom(search{holder: h, client: h.client, isTrusted: h.IsTrusted, large: !use.isSmall(), now: now}, use, n)
}

// endActive chooses a request that ends for that of h, unless one ends already.
func (b *Budget) endActive(h *Holder, now clock.Millis) (victims []*Holder) {
	if b.active-b.activeEnding < b.cfg.Active || now < b.searchAgain {
		return nil
	}
	v := b.victim(search{holder: h, client: h.client, isTrusted: h.IsTrusted, conn: true, active: true, now: now})
	if v == nil {
		b.searchAgain = now + searchInterval
		return nil
	}
	b.end(v)
	return []*Holder{v}
}

// deactivate records that a holder has no request.
func (b *Budget) deactivate(h *Holder) {
	if h.isActive {
		h.isActive = false
		b.active--
		if h.ending {
			b.activeEnding--
		}
	}
}

// TryReserve reserves bytes for a holder if there is room, and ends no other holder.
func (b *Budget) TryReserve(h *Holder, use Use, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ending || !b.isOpen(h) || !b.fits(use, n) {
		return false
	}
	b.add(h, use, n)
	return true
}

func (b *Budget) isOpen(h *Holder) bool {
	_, ok := b.holders[h]
	return ok
}

// limit returns the bytes that may be reserved in all after a reservation for a use.
func (b *Budget) limit(use Use) int64 {
	if use.isSmall() {
		return b.cfg.Bytes
	}
	return b.cfg.Bytes - b.cfg.Bytes/smallDivisor
}

func (b *Budget) fits(use Use, n int64) bool { return b.total+n <= b.limit(use) }

// makeRoom chooses holders that end, so that n bytes come free.
func (b *Budget) makeRoom(s search, use Use, n int64) (victims []*Holder, d Decision) {
	if n > b.limit(use) {
		return nil, Denied
	}
	for b.total-b.ending+n > b.limit(use) {
		if s.holder != nil && s.now < b.searchAgain {
			break
		}
		v := b.victim(s)
		if v == nil && s.holder != nil {
			b.searchAgain = s.now + searchInterval
			break // others may end by themselves
		}
		if v == nil || v == s.holder {
			return victims, Denied
		}
		b.end(v)
		victims = append(victims, v)
	}
	return victims, Wait
}

func (b *Budget) end(h *Holder) {
	if h.ending {
		return
	}
	h.ending = true
	b.ending += h.sum
	if h.isActive {
		b.activeEnding++
	}
}

func (b *Budget) add(h *Holder, use Use, n int64) {
	b.used[use] += n
	b.total += n
	h.held[use] += n
	h.sum += n
	h.client.bytes += n
	if h.ending {
		b.ending += n
	}
}

func (b *Budget) closeConn(h *Holder) {
	if !h.closed {
		h.closed = true
		b.conns--
		h.client.conns--
	}
}

// Release gives bytes back, at most what the holder has reserved for the use.
func (b *Budget) Release(h *Holder, use Use, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(h, use, n)
}

func (b *Budget) release(h *Holder, use Use, n int64) {
	n = min(n, h.held[use])
	if n <= 0 {
		return
	}
	b.add(h, use, -n)
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// EndRequest gives back all that a request took, and makes the connection idle. Room for
// messages stays reserved until the connection closes.
func (b *Budget) EndRequest(h *Holder, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for use := Request; use < Message; use++ {
		b.release(h, use, h.held[use])
	}
	b.endForward(h)
	b.deactivate(h)
	h.hasServed = true
	h.setPhase(Idle, now)
}

// Close gives back all that a holder has reserved. Further calls do nothing.
func (b *Budget) Close(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isOpen(h) {
		return
	}
	for use := range useCount {
		b.release(h, use, h.held[use])
	}
	b.endForward(h)
	b.deactivate(h)
	b.closeConn(h)
	delete(b.holders, h)
	if h.client.holders--; h.client.holders == 0 {
		delete(b.clients, h.Address)
	}
}

// SetPhase sets what a connection does, and returns what it did before.
func (b *Budget) SetPhase(h *Holder, phase Phase, now clock.Millis) (before Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before = h.phase
	h.setPhase(phase, now)
	return before
}

func (h *Holder) setPhase(phase Phase, now clock.Millis) {
	if h.phase != phase {
		h.phase = phase
		h.restart(now)
	}
}

// BeginRead records that the host begins to read from a client. Receive or EndRead follows.
func (b *Budget) BeginRead(h *Holder, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.reads {
		h.reads, h.readSince = true, now
	}
}

// EndRead records that a read has returned nothing.
func (b *Budget) EndRead(h *Holder, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.endRead(now)
}

func (h *Holder) endRead(now clock.Millis) {
	if h.reads {
		h.stalled += now - h.readSince
		h.reads = false
	}
}

// Receive records that n bytes have arrived, which ends the read. A request begins with
// them if the connection was idle.
func (b *Budget) Receive(h *Holder, n int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == Idle {
		h.setPhase(Receiving, now)
	}
	h.endRead(now)
	h.progress(n, now)
}

// Progress records that n bytes were transferred.
func (b *Budget) Progress(h *Holder, n int, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress(n, now)
}

func (h *Holder) progress(n int, now clock.Millis) {
	if h.partial += n; h.partial >= progressStep {
		h.restart(now)
	}
}

func (h *Holder) restart(now clock.Millis) {
	h.since, h.readSince, h.stalled, h.partial = now, now, 0, 0
}

// Changed returns a channel that is closed when bytes come free.
func (b *Budget) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Usage is what is reserved.
type Usage struct {
	Conns int
	Bytes map[Use]int64
}

// Usage returns what is reserved.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Conns: b.conns, Bytes: map[Use]int64{}}
	for use, n := range b.used {
		u.Bytes[Use(use)] = n
	}
	return u
}

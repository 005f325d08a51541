package reserver

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

const connBytes = 1000

// fixture is a budget with the connections that are open, and a clock.
type fixture struct {
	*Budget
	t    rapid.TB
	now  clock.Millis
	open []*Holder
}

func newFixture(t rapid.TB, bytes int64, conns int) *fixture {
	return &fixture{Budget: New(Config{Bytes: bytes, Conns: conns, Descriptors: conns + conns/2, ConnBytes: connBytes}), t: t}
}

// connect opens a connection, and closes those that end for it.
func (f *fixture) connect(address string) *Holder {
	h, victims, d := f.Open(Client{Address: address}, f.now)
	f.closeAll(victims)
	if d != Granted {
		return nil
	}
	f.open = append(f.open, h)
	return h
}

func (f *fixture) closeAll(victims []*Holder) {
	for _, v := range victims {
		f.Close(v)
		f.open = slices.DeleteFunc(f.open, func(h *Holder) bool { return h == v })
	}
}

// hold opens a connection that receives a request and holds n bytes of its body.
func (f *fixture) hold(address string, n int64) *Holder {
	h := f.connect(address)
	if h == nil {
		f.t.Fatalf("no connection for %s", address)
	}
	f.receive(h, 1)
	if _, d := f.Reserve(h, Body, n, f.now); d != Granted {
		f.t.Fatalf("%d bytes for %s: decision %d", n, address, d)
	}
	return h
}

// receive lets n bytes arrive at a connection that the host reads all the time.
func (f *fixture) receive(h *Holder, n int) {
	f.Receive(h, n, f.now)
	f.BeginRead(h, f.now)
}

// assertSound checks that no limit is exceeded and that the sums are those of the holders.
func (f *fixture) assertSound() {
	var total, ending int64
	conns, forwarded, active, activeEnding := 0, 0, 0, 0
	for h := range f.holders {
		total += h.sum
		if h.ending {
			ending += h.sum
		}
		if !h.closed {
			conns++
		}
		forwarded += h.forwards
		if h.isActive {
			active++
		}
		if h.isActive && h.ending {
			activeEnding++
		}
	}
	if total != f.total || ending != f.ending || conns != f.conns || forwarded != f.forwarded {
		f.t.Fatalf("sums %d, %d, %d, %d; holders have %d, %d, %d, %d", f.total, f.ending, f.conns, f.forwarded, total, ending, conns, forwarded)
	}
	if active != f.active || activeEnding != f.activeEnding || (f.cfg.Active > 0 && active > f.cfg.Active) {
		f.t.Fatalf("%d requests, %d of them end, holders have %d and %d", f.active, f.activeEnding, active, activeEnding)
	}
	if total > f.cfg.Bytes || conns > f.cfg.Conns || conns+forwarded > f.cfg.Descriptors {
		f.t.Fatalf("%d bytes, %d connections and %d forwarded requests exceed %+v", total, conns, forwarded, f.cfg)
	}
}

// Guards against sums that exceed the budget and reservations that are never given back, whatever
// the order of calls and also for holders that ignore that they must end.
func TestNoLimitExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, rapid.Int64Range(5*connBytes, 60*connBytes).Draw(t, "bytes"), rapid.IntRange(2, 12).Draw(t, "conns"))
		f.cfg.Active = rapid.IntRange(0, 4).Draw(t, "active")
		holder := func(t *rapid.T) *Holder {
			if len(f.open) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(f.open).Draw(t, "holder")
		}
		use := rapid.SampledFrom([]Use{Request, Header, Body, Answer, Message})
		bytes := rapid.Int64Range(1, 20*connBytes)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.assertSound() },
			"open": func(t *rapid.T) {
				h, victims, d := f.Open(Client{Address: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address")}, f.now)
				if rapid.Bool().Draw(t, "prompt") {
					f.closeAll(victims)
				}
				if d == Granted {
					f.open = append(f.open, h)
				}
			},
			"reserve": func(t *rapid.T) {
				victims, _ := f.Reserve(holder(t), use.Draw(t, "use"), bytes.Draw(t, "bytes"), f.now)
				if rapid.Bool().Draw(t, "prompt") {
					f.closeAll(victims)
				}
			},
			"forward":  func(t *rapid.T) { _, _ = f.Forward(holder(t), f.now) },
			"second":   func(t *rapid.T) { f.TryForward(holder(t)) },
			"one less": func(t *rapid.T) { f.ReleaseForward(holder(t)) },
			"release":  func(t *rapid.T) { f.Release(holder(t), use.Draw(t, "use"), bytes.Draw(t, "bytes")) },
			"end":      func(t *rapid.T) { f.EndRequest(holder(t), f.now) },
			"close":    func(t *rapid.T) { f.closeAll([]*Holder{holder(t)}) },
			"receive":  func(t *rapid.T) { f.Receive(holder(t), int(bytes.Draw(t, "bytes")), f.now) },
			"reads":    func(t *rapid.T) { f.BeginRead(holder(t), f.now) },
			"try":      func(t *rapid.T) { f.TryReserve(holder(t), use.Draw(t, "use"), bytes.Draw(t, "bytes")) },
			"phase":    func(t *rapid.T) { f.SetPhase(holder(t), Phase(rapid.IntRange(0, 4).Draw(t, "phase")), f.now) },
			"progress": func(t *rapid.T) { f.Progress(holder(t), int(bytes.Draw(t, "bytes")), f.now) },
			"wait":     func(t *rapid.T) { f.now += clock.Millis(rapid.IntRange(1, 3000).Draw(t, "ms")) },
		})
		for h := range f.holders {
			f.Close(h)
		}
		f.assertSound()
		if f.total != 0 || f.conns != 0 || f.forwarded != 0 || len(f.clients) != 0 {
			t.Fatalf("%d bytes, %d connections, %d clients are left", f.total, f.conns, len(f.clients))
		}
	})
}

// Guards against crowds of bodies that leave no room for small requests.
func TestSmallRequestsFitBesideBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, 100*connBytes, 50)
		for range rapid.IntRange(0, 20).Draw(t, "bodies") {
			h := f.connect(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "address"))
			f.Receive(h, 1, f.now)
			_, _ = f.Reserve(h, Body, rapid.Int64Range(1, 30*connBytes).Draw(t, "bytes"), f.now)
		}
		h := f.connect("caller")
		if h == nil {
			t.Fatal("no connection")
		}
		if _, d := f.Reserve(h, Request, connBytes, f.now); d != Granted {
			t.Fatalf("decision %d for a small request", d)
		}
	})
}

func assertVictims(t *testing.T, step string, got []*Holder, d, wantDecision Decision, want ...*Holder) {
	t.Helper()
	if !slices.Equal(got, want) || d != wantDecision {
		t.Errorf("%s: decision %d with %d victims, want %d with %d others", step, d, len(got), wantDecision, len(want))
	}
}

// Guards against one address that keeps others out.
func TestClientAddresses(t *testing.T) {
	f := newFixture(t, 100*connBytes, 8)
	others := f.connect("b")
	f.EndRequest(others, f.now)
	f.now += 10 * clock.Second
	own := []*Holder{f.connect("a"), f.connect("a"), f.connect("a")}
	f.now += clock.Second
	for range 4 {
		f.connect("a")
	}
	_, victims, d := f.Open(Client{Address: "a"}, f.now)
	assertVictims(t, "an address over its part", victims, d, Granted, own[0])
	_, victims, d = f.Open(Client{Address: "c"}, f.now)
	assertVictims(t, "another address", victims, d, Granted, own[1])
	if others.ending {
		t.Error("the connection of an address with one connection ended")
	}
}

// Guards against slow bodies that outlast others, and against bodies that end although there is room.
func TestLeastProgressEndsFirst(t *testing.T) {
	f := newFixture(t, 100*connBytes, 50)
	stopped, dripping, fast, other := f.hold("a", 15*connBytes), f.hold("b", 15*connBytes), f.hold("c", 15*connBytes), f.hold("d", 15*connBytes)
	for range 300 {
		f.now += 100
		f.receive(dripping, 1)
		f.receive(fast, progressStep)
		f.receive(other, progressStep)
	}
	f.now -= 5 * clock.Second
	f.receive(stopped, progressStep)
	f.now += 5 * clock.Second
	victims, d := f.Reserve(fast, Body, 8*connBytes, f.now)
	assertVictims(t, "with room left", victims, d, Granted)
	victims, d = f.Reserve(fast, Body, 5*connBytes, f.now)
	assertVictims(t, "short of room", victims, d, Wait, dripping)
	f.closeAll(victims)
	victims, d = f.Reserve(fast, Body, 5*connBytes, f.now)
	assertVictims(t, "room of the body that ended", victims, d, Granted)
	victims, d = f.Reserve(other, Body, 15*connBytes, f.now)
	assertVictims(t, "short again", victims, d, Wait, stopped)
}

// Guards against half-open connections that keep new callers out, and against requests at servers
// that end for them.
func TestConnectionsThatEnd(t *testing.T) {
	f := newFixture(t, 100*connBytes, 4)
	serving := f.connect("a")
	f.SetPhase(serving, Serving, f.now)
	idle := f.connect("b")
	f.EndRequest(idle, f.now)
	f.now += 5 * clock.Second
	halfOpen := f.connect("c")
	f.receive(halfOpen, 1)
	f.now += clock.Second
	recent := f.connect("d")
	for i, want := range []*Holder{halfOpen, idle} {
		h, victims, d := f.Open(Client{Address: []string{"e", "f"}[i]}, f.now)
		f.SetPhase(h, Serving, f.now)
		assertVictims(t, []string{"half-open", "idle"}[i], victims, d, Granted, want)
	}
	_, victims, d := f.Open(Client{Address: "g"}, f.now)
	assertVictims(t, "beside a connection that has just been opened", victims, d, Denied)
	f.SetPhase(recent, Serving, f.now)
	f.now += 10 * clock.Second
	_, victims, d = f.Open(Client{Address: "h"}, f.now)
	assertVictims(t, "only served requests", victims, d, Denied)
}

// Guards against a crowd of slow readers whose requests take all descriptors.
func TestForwardedRequests(t *testing.T) {
	f := newFixture(t, 100*connBytes, 4) // with 6 descriptors
	var readers []*Holder
	for _, address := range []string{"a", "b", "c"} {
		h := f.connect(address)
		f.SetPhase(h, Serving, f.now)
		victims, d := f.Forward(h, f.now)
		assertVictims(t, "room", victims, d, Granted)
		f.SetPhase(h, Answering, f.now)
		readers = append(readers, h)
	}
	_, _, d := f.Open(Client{Address: "d"}, f.now)
	assertVictims(t, "all read", nil, d, Denied)
	f.now += noConnStall
	h, victims, d := f.Open(Client{Address: "d"}, f.now)
	if len(victims) != 1 || !slices.Contains(readers, victims[0]) || d != Granted {
		t.Errorf("stopped readers: decision %d with %d victims", d, len(victims))
	}
	f.closeAll(victims)
	victims, d = f.Forward(h, f.now)
	assertVictims(t, "descriptor of the reader that ended", victims, d, Granted)
}

// Guards against second attempts that take descriptors beyond the limit.
func TestSecondForward(t *testing.T) {
	f := newFixture(t, 100*connBytes, 3) // with 4 descriptors
	h := f.connect("a")
	if f.TryForward(h) {
		t.Error("a second connection without a first one")
	}
	_, d := f.Forward(h, f.now)
	assertVictims(t, "first", nil, d, Granted)
	if !f.TryForward(h) {
		t.Error("no second connection with 2 of 4 descriptors in use")
	}
	f.connect("b")
	if f.TryForward(h) {
		t.Error("a connection beyond the descriptors")
	}
	f.ReleaseForward(h)
	if !f.TryForward(h) {
		t.Error("no connection after one was given back")
	}
	f.EndRequest(h, f.now)
	f.assertSound()
}

// Guards against strangers that keep other hosts out.
func TestTrustedClients(t *testing.T) {
	f := newFixture(t, 100*connBytes, 2)
	open := func(isTrusted bool) (*Holder, []*Holder, Decision) {
		f.now += 10 * clock.Second
		return f.Open(Client{Address: "a", IsTrusted: isTrusted}, f.now)
	}
	host, _, _ := open(true)
	stranger, _, _ := open(false)
	second, victims, d := open(true)
	assertVictims(t, "a second host", victims, d, Granted, stranger)
	_, victims, d = open(false)
	assertVictims(t, "a stranger", victims, d, Denied)
	f.EndRequest(second, f.now)
	_, victims, d = open(true)
	assertVictims(t, "a third host", victims, d, Granted, host)
}

// Guards against ends for delays of the host or of a server, and for room that nobody must have.
func TestHostDelaysAreNoStall(t *testing.T) {
	f := newFixture(t, 100*connBytes, 50)
	delayed, streamed, reader := f.hold("a", 20*connBytes), f.hold("b", 20*connBytes), f.hold("c", 20*connBytes)
	f.SetPhase(streamed, Streaming, f.now)
	for _, h := range []*Holder{delayed, streamed, reader} {
		f.Receive(h, 1, f.now)
	}
	f.now += 10 * clock.Second
	victims, d := f.Reserve(f.connect("d"), Body, 40*connBytes, f.now)
	assertVictims(t, "delays of the host", victims, d, Wait)
	f.BeginRead(delayed, f.now)
	f.now += receiveStall
	if f.TryReserve(reader, Answer, 40*connBytes) || delayed.ending {
		t.Error("room that is only tried for ends others")
	}
	victims, d = f.Reserve(f.connect("d"), Body, 40*connBytes, f.now)
	assertVictims(t, "stall of the client", victims, d, Wait, delayed)
}

// Guards against half-open connections of others that keep out an address above its part.
func TestHalfOpenEndsForAnyAddress(t *testing.T) {
	f := newFixture(t, 100*connBytes, 4)
	for range 2 {
		f.SetPhase(f.connect("a"), Serving, f.now)
	}
	halfOpen, served := f.connect("b"), f.connect("c")
	f.EndRequest(served, f.now)
	f.now += halfOpenAge
	h, victims, d := f.Open(Client{Address: "a"}, f.now)
	assertVictims(t, "half-open connection of another address", victims, d, Granted, halfOpen)
	f.SetPhase(h, Serving, f.now)
	_, victims, d = f.Open(Client{Address: "a"}, f.now)
	assertVictims(t, "idle connection of another address", victims, d, Denied)
}

// Guards against requests whose kernel buffers take more memory than there is, and against idle
// connections that take their place.
func TestActiveConnections(t *testing.T) {
	f := newFixture(t, 100*connBytes, 50)
	f.cfg.Active = 2
	reserve := func(h *Holder) ([]*Holder, Decision) { return f.Reserve(h, Request, 1, f.now) }
	for range 10 {
		f.EndRequest(f.connect("idle"), f.now)
	}
	slow, served, waiting := f.connect("a"), f.connect("b"), f.connect("c")
	for _, h := range []*Holder{slow, served} {
		victims, d := reserve(h)
		assertVictims(t, "room", victims, d, Granted)
		f.SetPhase(h, Serving, f.now)
	}
	f.SetPhase(slow, Answering, f.now)
	victims, d := reserve(waiting)
	assertVictims(t, "all active", victims, d, Wait)
	f.now += noConnStall
	victims, d = reserve(waiting)
	assertVictims(t, "a slow reader", victims, d, Wait, slow)
	victims, d = reserve(waiting)
	assertVictims(t, "while it ends", victims, d, Wait)
	f.Close(slow)
	victims, d = reserve(waiting)
	assertVictims(t, "after its end", victims, d, Granted)
}

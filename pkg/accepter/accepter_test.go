package accepter

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/reserver"
)

// fixture is a listener and the connections that it has accepted.
type fixture struct {
	t        *testing.T
	clk      *clock.Manual
	budget   *reserver.Budget
	listener *Listener
	cuts     chan string
	accepted chan *Conn
}

func withListener(t *testing.T, budget reserver.Config, cfg Config, test func(f *fixture)) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget.Descriptors = 10
	f := &fixture{t: t, clk: &clock.Manual{}, budget: reserver.New(budget), cuts: make(chan string, 100), accepted: make(chan *Conn)}
	cfg.Budget, cfg.Clock = f.budget, f.clk.Clock()
	cfg.OnCut = func(_, reason string) { f.cuts <- reason }
	f.listener = Wrap(inner, cfg)
	go func() {
		for {
			c, err := f.listener.Accept()
			if err != nil {
				return
			}
			f.accepted <- c.(*Conn)
		}
	}()
	defer f.listener.Close()
	test(f)
}

// dial returns a client's end of a connection.
func (f *fixture) dial() *net.TCPConn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}

// connect returns both ends of a connection.
func (f *fixture) connect() (*net.TCPConn, *Conn) {
	f.t.Helper()
	client := f.dial()
	server := <-f.accepted
	f.t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// advanceUntil lets time pass until a call has returned, and returns its error. Only the time of
// reads that are pending counts as a stall.
func (f *fixture) advanceUntil(done chan error) error {
	f.t.Helper()
	for range 500 {
		select {
		case err := <-done:
			return err
		case <-time.After(2 * time.Millisecond):
			f.clk.Advance(100)
		}
	}
	f.t.Fatal("the call doesn't return")
	return nil
}

func (f *fixture) assertUsage(step string, conns int, bytes int64) {
	f.t.Helper()
	u := f.budget.Usage()
	var sum int64
	for _, n := range u.Bytes {
		sum += n
	}
	if u.Conns != conns || sum != bytes {
		f.t.Errorf("%s: %d connections and %d bytes are reserved, want %d and %d", step, u.Conns, sum, conns, bytes)
	}
}

func assertError(t *testing.T, step string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: error %v, want %v", step, err, want)
	}
}

// Guards against half-open connections that keep new callers out, against connections above the
// limit, and against connections whose room isn't given back.
func TestConnectionLimit(t *testing.T) {
	withListener(t, reserver.Config{Bytes: 1000, Conns: 2, ConnBytes: 10}, Config{}, func(f *fixture) {
		halfOpen, _ := f.connect()
		f.clk.Advance(clock.Second)
		_, second := f.connect()
		_, third := f.connect()
		_, err := halfOpen.Read(make([]byte, 1))
		assertError(t, "half-open connection", err, io.EOF)
		second.SetPhase(reserver.Serving)
		third.SetPhase(reserver.Serving)
		_, err = f.dial().Read(make([]byte, 1))
		assertError(t, "connection beside served requests", err, io.EOF)
		f.assertUsage("full", 2, 30)
		_ = second.Close()
		_ = second.Close()
		f.assertUsage("after a second close", 1, 20)
		if cut, refused := <-f.cuts, <-f.cuts; cut != "no_room" || refused != "connections" {
			t.Errorf("reasons %q and %q, want no_room and connections", cut, refused)
		}
	})
}

// Guards against clients that stop half-way and hold the room that others need, and against ends
// without a refusal.
func TestStoppedRequestEnds(t *testing.T) {
	withListener(t, reserver.Config{Bytes: 100, Conns: 5, ConnBytes: 1}, Config{}, func(f *fixture) {
		client, stopped := f.connect()
		_, _ = io.WriteString(client, "x")
		_, err := stopped.Read(make([]byte, 10))
		assertError(t, "first byte", err, nil)
		assertError(t, "stopped request", stopped.Reserve(reserver.Body, 60), nil)
		_, other := f.connect()
		done, read := make(chan error), make(chan error)
		go func() {
			_, err := stopped.Read(make([]byte, 10))
			read <- err
		}()
		go func() { done <- other.Reserve(reserver.Body, 50) }()
		err = f.advanceUntil(read)
		assertError(t, "read of the stopped request", err, os.ErrDeadlineExceeded)
		_ = stopped.SetReadDeadline(time.Time{})
		_, err = stopped.Read(make([]byte, 10))
		assertError(t, "read with a new deadline", err, os.ErrDeadlineExceeded)
		assertError(t, "more room", stopped.Reserve(reserver.Body, 1), ErrNoRoom)
		_, err = io.WriteString(stopped, "refused")
		assertError(t, "refusal", err, nil)
		_ = stopped.Close()
		assertError(t, "other request", <-done, nil)
		got, _ := io.ReadAll(client)
		if string(got) != "refused" {
			t.Errorf("the client reads %q, want the refusal", got)
		}
		other.EndRequest()
		f.assertUsage("after both requests", 1, 1)
	})
}

// Guards against clients that don't read and against ends of clients that read all the time.
func TestReaders(t *testing.T) {
	withListener(t, reserver.Config{Bytes: 1 << 30, Conns: 5, ConnBytes: 1}, Config{WriteTimeout: 100, SendBuffer: 32 << 10}, func(f *fixture) {
		text := strings.Repeat("x", 1<<20)
		_, server := f.connect()
		_, err := io.WriteString(server, text)
		assertError(t, "client that doesn't read", err, os.ErrDeadlineExceeded)
		client, server := f.connect()
		go func() {
			_, _ = io.WriteString(server, text)
			_ = server.Close()
		}()
		if n, err := io.Copy(io.Discard, client); n != int64(len(text)) || err != nil {
			t.Errorf("the client reads %d of %d bytes, error %v", n, len(text), err)
		}
	})
}

// Guards against messages between hosts that never end, against the refusal of many short ones, and
// against buffers of readers that keep their size after a message and aren't counted.
func TestMessages(t *testing.T) {
	withListener(t, reserver.Config{Bytes: 100_000, Conns: 5, ConnBytes: 1}, Config{Messages: true}, func(f *fixture) {
		client, server := f.connect()
		piece := make([]byte, 15_000)
		for range 10 {
			_, _ = client.Write(piece)
			_, err := io.ReadFull(server, piece)
			assertError(t, "short message", err, nil)
			_, err = io.WriteString(server, "x")
			assertError(t, "response", err, nil)
		}
		f.assertUsage("between messages", 1, 1+messageFactor*15_000-freeBytes)
		go func() { _, _ = client.Write(make([]byte, 60_000)) }()
		_, err := io.Copy(io.Discard, server)
		assertError(t, "long message", err, ErrNoRoom)
	})
}

// Package accepter accepts connections of clients within a budget of bytes and connections.
// A connection that must end for others is closed, or its read fails so that a request that
// has been read in part can be refused.
package accepter

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/reserver"
)

// ErrNoRoom means that there is no room for a request.
var ErrNoRoom = errors.New("no room")

const (
	// maxWait and maxAcceptWait are the longest waits for room. The latter holds up all
	// new connections.
	maxWait       = time.Second
	maxAcceptWait = 20 * time.Millisecond
	// acceptTries is the number of times that room is sought for a new connection.
	acceptTries = 4
	// retryInterval is the time after which room is sought again for a request. All waiters
	// are not woken for each byte that comes free.
	retryInterval = 20 * time.Millisecond
	// stopGrace is the time for a refusal to a client that must end.
	stopGrace = 250 * time.Millisecond
	// boundedAfter is the number of received bytes after which the receive buffer is
	// bounded. It is what the kernel's buffer holds at first.
	boundedAfter = 64 << 10
	// noRoomWriteTimeout is the write timeout of a response for which there is no room.
	noRoomWriteTimeout = clock.Second
	// messageFactor is the memory that a message between hosts takes for each byte: the
	// buffers of the reader double when they are full, and the message is copied from them.
	messageFactor = 4
	// freeBytes is the part of a message that the cost of its connection covers.
	freeBytes = 4 << 10
)

// Config configures a listener.
type Config struct {
	Budget *reserver.Budget
	Clock  clock.Clock
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers for a connection.
	// 0 leaves a size to the kernel. The receive buffer is set once boundedAfter bytes have
	// arrived: before that, the kernel has no cause to enlarge its own.
	ReceiveBuffer, SendBuffer int
	// LargeReceiveBuffer is the size of the receive buffer while a large body arrives and
	// there is room for it, so that uploads over long round trips are not slowed down.
	LargeReceiveBuffer int
	// WriteTimeout is the time in which a client must take some bytes of a response.
	WriteTimeout clock.Millis
	// Messages means that unary calls arrive: what has been read since the last write
	// is held in memory.
	Messages bool
	// IsTrusted reports whether an IP address is that of another host of the fleet; nil
	// means that none is.
	IsTrusted func(address string) bool
	// OnCut is called for each connection that is refused or ended for lack of room.
	OnCut func(remote, reason string)
}

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	cfg Config
}

// Wrap returns a listener that accepts connections within a budget.
func Wrap(l net.Listener, cfg Config) *Listener {
	if sc, ok := l.(syscall.Conn); ok && cfg.SendBuffer > 0 {
		if raw, err := sc.SyscallConn(); err == nil {
			// Accepted connections inherit the size, which saves a system call for each.
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, cfg.SendBuffer)
			})
		}
	}
	return &Listener{l, cfg}
}

// Accept implements net.Listener. It accepts and closes connections for which there is no room,
// so that they don't wait in the kernel.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, cfg: &l.cfg}
		if !conn.open() {
			l.cfg.OnCut(c.RemoteAddr().String(), "connections")
			_ = c.Close()
			continue
		}
		return conn, nil
	}
}

// Conn is a connection that holds a part of a budget. The methods for requests do nothing on a
// nil Conn.
type Conn struct {
	net.Conn
	cfg    *Config
	holder *reserver.Holder
	// stopped is set once the connection must end.
	stopped atomic.Bool
	// received is the number of bytes read until the receive buffer was bounded. Only the
	// goroutine that reads uses it.
	received int
	// hasLargeBuffer is set while the receive buffer has its large size.
	hasLargeBuffer atomic.Bool
	// writeDeadline is the deadline of writes. Only the goroutine that writes uses it.
	writeDeadline time.Time

	mu sync.Mutex
	// unanswered is the number of bytes read since the last write.
	unanswered int64
	// reserved is what is reserved for messages. It stays until the connection closes,
	// because the reader's buffers never shrink. Only the goroutine that reads uses it.
	reserved int64
}

// open reserves the connection.
func (c *Conn) open() bool {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	from := reserver.Client{Address: address, IsTrusted: c.cfg.IsTrusted != nil && c.cfg.IsTrusted(address), Stop: c.stop}
	var changed <-chan struct{}
	for try := 1; ; try++ {
		h, victims, d := c.cfg.Budget.Open(from, c.cfg.Clock.Now())
		stopAll(victims, true)
		c.holder = h
		if d != reserver.Wait {
			return d == reserver.Granted
		}
		// The first wait is skipped: room may have come free before changed was set.
		if try == acceptTries || changed != nil && !waitFor(changed, maxAcceptWait) {
			return false
		}
		changed = c.cfg.Budget.Changed()
	}
}

func stopAll(victims []*reserver.Holder, atOnce bool) {
	for _, v := range victims {
		v.Stop(atOnce)
	}
}

// waitFor reports whether something changed before the timeout.
func waitFor(changed <-chan struct{}, timeout time.Duration) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	}
}

// stop ends the connection for lack of room.
func (c *Conn) stop(atOnce bool) {
	if !c.stopped.Swap(true) {
		c.cfg.OnCut(c.RemoteAddr().String(), "no_room")
	}
	if atOnce {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(stopGrace))
	time.AfterFunc(2*stopGrace, func() { _ = c.Conn.Close() })
}

// Reserve reserves bytes for the current request. The error is ErrNoRoom.
func (c *Conn) Reserve(use reserver.Use, n int) error {
	if c == nil || n <= 0 {
		return nil
	}
	for waited := time.Duration(0); ; waited += retryInterval {
		victims, d := c.cfg.Budget.Reserve(c.holder, use, int64(n), c.cfg.Clock.Now())
		stopAll(victims, false)
		if d == reserver.Granted {
			return nil
		}
		if d == reserver.Denied || waited >= maxWait {
			c.cfg.OnCut(c.RemoteAddr().String(), use.String())
			return ErrNoRoom
		}
		time.Sleep(retryInterval)
	}
}

// Forward reserves a connection to a server for the current request. The error is ErrNoRoom.
func (c *Conn) Forward() error {
	if c == nil {
		return nil
	}
	victims, d := c.cfg.Budget.Forward(c.holder, c.cfg.Clock.Now())
	stopAll(victims, true)
	if d != reserver.Granted {
		c.cfg.OnCut(c.RemoteAddr().String(), "connections")
		return ErrNoRoom
	}
	return nil
}

// TryForward reserves a second connection to a server for the current request, and reports
// whether there is room. ReleaseForward gives it back before the request ends.
func (c *Conn) TryForward() bool { return c == nil || c.cfg.Budget.TryForward(c.holder) }

// ReleaseForward gives back what TryForward has reserved.
func (c *Conn) ReleaseForward() {
	if c != nil {
		c.cfg.Budget.ReleaseForward(c.holder)
	}
}

// GrowReceiveBuffer gives the connection its large receive buffer for the current request, if
// there is room.
func (c *Conn) GrowReceiveBuffer() {
	if c == nil || c.cfg.LargeReceiveBuffer <= 0 || c.hasLargeBuffer.Load() {
		return
	}
	if c.cfg.Budget.TryReserve(c.holder, reserver.Body, int64(c.cfg.LargeReceiveBuffer)) {
		c.hasLargeBuffer.Store(true)
		c.setReceiveBuffer(c.cfg.LargeReceiveBuffer)
	}
}

// boundReceiveBuffer bounds the receive buffer once a connection has received many bytes.
func (c *Conn) boundReceiveBuffer(n int) {
	if c.cfg.ReceiveBuffer <= 0 || c.received > boundedAfter {
		return
	}
	if c.received += n; c.received > boundedAfter && !c.hasLargeBuffer.Load() {
		c.setReceiveBuffer(c.cfg.ReceiveBuffer)
	}
}

func (c *Conn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without this option, the buffer only has another size.
		_ = tcp.SetReadBuffer(size)
	}
}

// Release gives back bytes that the current request reserved.
func (c *Conn) Release(use reserver.Use, n int) {
	if c != nil {
		c.cfg.Budget.Release(c.holder, use, int64(n))
	}
}

// SetPhase sets what the connection does.
func (c *Conn) SetPhase(phase reserver.Phase) {
	if c != nil {
		c.cfg.Budget.SetPhase(c.holder, phase, c.cfg.Clock.Now())
	}
}

// EndRequest gives back what the current request reserved.
func (c *Conn) EndRequest() {
	if c != nil {
		if c.hasLargeBuffer.Swap(false) {
			c.setReceiveBuffer(c.cfg.ReceiveBuffer)
		}
		c.cfg.Budget.EndRequest(c.holder, c.cfg.Clock.Now())
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.cfg.Budget.BeginRead(c.holder, c.cfg.Clock.Now())
	n, err := c.Conn.Read(p)
	if n == 0 {
		c.cfg.Budget.EndRead(c.holder, c.cfg.Clock.Now())
	} else {
		c.cfg.Budget.Receive(c.holder, n, c.cfg.Clock.Now())
		c.boundReceiveBuffer(n)
		if c.cfg.Messages && c.holdMessage(n) != nil {
			return 0, ErrNoRoom
		}
	}
	return n, err
}

// holdMessage reserves the memory of a message of which n more bytes were read.
func (c *Conn) holdMessage(n int) error {
	c.mu.Lock()
	c.unanswered += int64(n)
	more := messageFactor*c.unanswered - freeBytes - c.reserved
	c.mu.Unlock()
	if more <= 0 {
		return nil
	}
	if err := c.Reserve(reserver.Message, int(more)); err != nil {
		return err
	}
	c.reserved += more
	return nil
}

// Write implements net.Conn. It fails if the client takes no byte for WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.cfg.Messages {
		c.mu.Lock()
		answered := c.unanswered
		c.mu.Unlock()
		defer c.endCall(answered)
	}
	before := c.cfg.Budget.SetPhase(c.holder, reserver.Answering, c.cfg.Clock.Now())
	defer c.SetPhase(before)
	timeout := c.cfg.WriteTimeout
	if extra := len(p) - freeBytes; extra > 0 {
		if c.cfg.Budget.TryReserve(c.holder, reserver.Answer, int64(extra)) {
			defer c.Release(reserver.Answer, extra)
		} else {
			// The response exists, and most clients take it at once.
			timeout = noRoomWriteTimeout
		}
	}
	written := 0
	for {
		c.extendWriteDeadline(timeout)
		n, err := c.Conn.Write(p[written:])
		written += n
		c.cfg.Budget.Progress(c.holder, n, c.cfg.Clock.Now())
		if n == 0 || written == len(p) || c.stopped.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// endCall records that a call was answered, for which n bytes had been read.
func (c *Conn) endCall(n int64) {
	c.mu.Lock()
	c.unanswered -= n
	c.mu.Unlock()
	c.EndRequest()
}

// extendWriteDeadline sets the deadline of writes if it isn't between half of the timeout and
// the timeout from now, so that most writes need no new one.
func (c *Conn) extendWriteDeadline(timeout clock.Millis) {
	now := time.Now()
	left := c.writeDeadline.Sub(now)
	if timeout <= 0 || c.stopped.Load() || (left > timeout.Duration()/2 && left <= timeout.Duration()) {
		return
	}
	c.writeDeadline = now.Add(timeout.Duration())
	_ = c.Conn.SetWriteDeadline(c.writeDeadline)
}

// SetReadDeadline implements net.Conn. The deadline of a connection that must end stays.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.stopped.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. Without a deadline, that for progress holds.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() || c.stopped.Load() {
		return nil
	}
	c.writeDeadline = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the direction to the client.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as that of
// net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.cfg.Budget.Close(c.holder)
	return err
}

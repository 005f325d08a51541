// Package peeker looks at what has arrived on a connection without reading it.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Input is what has arrived on a connection and has not been read.
type Input int

const (
	// None means that the connection is open and nothing waits to be read. It also stands
	// for connections without a socket.
	None Input = iota
	// Data means that bytes wait to be read.
	Data
	// Closed means that the peer has closed or reset the connection and nothing is left to
	// be read.
	Closed
)

// Peek returns what waits on a connection. It does not block.
func Peek(c net.Conn) Input {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return None
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	input := Closed
	err = raw.Control(func(fd uintptr) {
		n, err := peekByte(int(fd))
		switch {
		case errors.Is(err, unix.EAGAIN):
			input = None
		case err == nil && n > 0:
			input = Data
		}
	})
	if err != nil {
		return Closed
	}
	return input
}

func peekByte(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

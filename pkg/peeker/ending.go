package peeker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a connection that was reset, TCP_CLOSE in linux/tcp_states.h. One
// that the peer has closed in order is in another state until this side closes it, too.
const tcpClosed = 7

// HasEndedInOrder reports, after the end of the input was read, whether the peer has closed the
// connection in order: it was not reset, also if a read or write has reported that before, and
// the peer has acknowledged all that was sent. It returns true for connections without a
// socket, and if the system does not tell.
func HasEndedInOrder(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := true
	err = raw.Control(func(fd uintptr) {
		if pending, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && pending != 0 {
			inOrder = false
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && (info.State == tcpClosed || info.Unacked > 0 || info.Notsent_bytes > 0) {
			inOrder = false
		}
	})
	return inOrder && err == nil
}

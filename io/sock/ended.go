package sock

import (
	"net"

	"golang.org/x/sys/unix"
)

// EndedInOrder reports whether a connection whose end was read was ended by a peer that had received all that was written and has not
// reset it. A peer that closes a connection while bytes are on their way to it ends it in order, and resets it once they arrive; the
// write of these bytes has ended without an error if the sockets of this host hold them.
//
// A connection other than a TCP socket knows itself: it has a method EndedInOrder. For any other one, and for one that this host has closed
// meanwhile, nothing is proven.
func EndedInOrder(conn net.Conn) bool {
	if known, ok := conn.(interface{ EndedInOrder() bool }); ok {
		return known.EndedInOrder()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	ordered := false
	err = raw.Control(func(fd uintptr) {
		pending, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		ordered = HasReceivedAll(fd) && err == nil && pending == 0
	})
	return err == nil && ordered
}

// HasReceivedAll reports whether the other side of a socket has acknowledged all that was written. Where the system does not tell, it
// counts as acknowledged.
func HasReceivedAll(fd uintptr) bool {
	unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	return err != nil || unacknowledged == 0
}

package sock

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout limits how long sent bytes may stay unacknowledged. It allows for several retransmissions on a
	// link that loses packets. It also decides when keep-alive probes give up, so that it exceeds the time of the second one.
	unackedTimeout = 2500 * time.Millisecond
	// The keep-alive settings detect an unresponsive peer on an idle connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

var (
	keepAlive   = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	errNoSocket = errors.New("the connection is not a TCP socket")
)

// Dialer returns a dialer that connects from an IP, or from any if it is nil, and cancels a connection attempt after
// the timeout.
func Dialer(from net.IP, timeout time.Duration) net.Dialer {
	return net.Dialer{
		LocalAddr: &net.TCPAddr{IP: from}, Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: keepAlive,
	}
}

// DetectLoss makes an accepted connection fail as soon as one of a Dialer does once the other side is lost.
func DetectLoss(conn net.Conn) error {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errNoSocket
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return errors.Join(tcp.SetKeepAliveConfig(keepAlive), setUserTimeout("", "", raw))
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(controlErr, err)
}

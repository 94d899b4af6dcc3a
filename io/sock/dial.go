package sock

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silentTimeout bounds how long sent bytes may stay unacknowledged: several retransmissions on a link that loses packets.
	silentTimeout = 1500 * time.Millisecond
	// probeIdle and probeEvery find a silent peer on a connection that carries nothing.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// Dialer returns a dialer that calls from an IP, any if nil, and gives a connection attempt up after the timeout.
func Dialer(from net.IP, timeout time.Duration) net.Dialer {
	return net.Dialer{
		LocalAddr: &net.TCPAddr{IP: from}, Timeout: timeout, Control: control,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	}
}

func control(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout/time.Millisecond))
	})
	return errors.Join(controlErr, err)
}

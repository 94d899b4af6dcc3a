package carry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"cyclamenford/io/meter"
)

// dropAll makes a connection drop all packets that it receives.
func dropAll(conn net.Conn) error {
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return setErr
}

// TestACarrierGivesUpOnAHostThatIsLost guards against connections that are carried on, and hold a stop up, for a host without a link to their carrier.
func TestACarrierGivesUpOnAHostThatIsLost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := NewCarrier(nil, func() bool { return false }, meter.New(), slog.New(slog.DiscardHandler))
	accepted := make(chan net.Conn, 1)
	host := startServing(t, func(conn net.Conn) {
		accepted <- conn
		c.Serve(conn)
	})
	conn, _, err := dialerWith(refuse, host).Dial(context.Background(), l.Addr().String())
	must.NoError(t, err)
	endpoint, err := l.Accept()
	must.NoError(t, err)
	defer func() { _ = endpoint.Close() }()
	must.NoError(t, dropAll(<-accepted))
	must.NoError(t, dropAll(conn.(*markedConn).Conn))
	go func() {
		for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = io.WriteString(endpoint, strings.Repeat("part", 256))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Wait(ctx)
	must.Zero(t, c.carried.Load())
}

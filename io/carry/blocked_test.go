package carry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startNotReading starts an endpoint that reads nothing of its connections.
func startNotReading(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// writeUntilBlocked writes until neither side takes any more.
func writeUntilBlocked(t *testing.T, conn net.Conn) {
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err := conn.Write(make([]byte, 64<<20))
	must.Error(t, err)
}

// TestACarrierEndsWithItsHostWhileTheEndpointReadsNothing guards against a connection that is carried on, and work that goes on, for a host that has left.
func TestACarrierEndsWithItsHostWhileTheEndpointReadsNothing(t *testing.T) {
	host := startCarrier(t, nil, false)
	conn, _, err := dialerWith(refuse, host).Dial(context.Background(), startNotReading(t))
	must.NoError(t, err)
	writeUntilBlocked(t, conn)
	must.NoError(t, conn.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	host.carrier.Wait(ctx)
	must.Zero(t, host.carrier.carried.Load())
}

// TestAStopResetsAConnectionWhoseEndpointReadsNothing guards against a stop that does not end in its time, and an endpoint that works on.
func TestAStopResetsAConnectionWhoseEndpointReadsNothing(t *testing.T) {
	host := startCarrier(t, nil, false)
	conn, _, err := dialerWith(refuse, host).Dial(context.Background(), startNotReading(t))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	writeUntilBlocked(t, conn)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	must.NoError(t, host.server.Stop(ctx))
	must.Zero(t, host.carrier.carried.Load())
}

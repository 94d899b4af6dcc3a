package sock

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// wrappedConn hides the socket of a connection.
type wrappedConn struct{ net.Conn }

// knownConn is a connection that knows how it ended.
type knownConn struct {
	net.Conn
	inOrder bool
}

func (c knownConn) EndedInOrder() bool { return c.inOrder }

// TestAnEndThatCannotBeAskedForProvesNothing guards against the end of a wrapped or closed connection that is taken for an end in order.
func TestAnEndThatCannotBeAskedForProvesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_ = conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	must.Error(t, err)
	must.True(t, EndedInOrder(conn))
	must.False(t, EndedInOrder(wrappedConn{conn}))
	must.True(t, EndedInOrder(knownConn{conn, true}))
	must.False(t, EndedInOrder(knownConn{conn, false}))
	must.NoError(t, conn.Close())
	must.False(t, EndedInOrder(conn))
}

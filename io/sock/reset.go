package sock

import (
	"crypto/tls"
	"net"
)

// Reset closes a connection so that the other side does not take its end for an orderly one.
func Reset(conn net.Conn) {
	if secured, ok := conn.(*tls.Conn); ok {
		// Its Close would tell the other side of an orderly end.
		conn = secured.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

package front

import (
	"bytes"
	"net"

	"cyclamenford/core"
	"cyclamenford/io/meter"
)

// headerTooLarge is how net/http answers a header over the limit before any handler runs.
var headerTooLarge = []byte("HTTP/1.1 431 ")

// countingListener counts the requests that net/http refuses by itself.
type countingListener struct {
	net.Listener
	meter *meter.Meter
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, meter: l.meter}, nil
}

type countingConn struct {
	net.Conn
	meter *meter.Meter
}

// Write passes data on and counts a refused header.
func (c countingConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, headerTooLarge) {
		c.meter.Count("requests_total", 1, "outcome", string(core.NotRun), "reason", string(core.ReasonBadHeader))
	}
	return c.Conn.Write(p)
}

package front

import (
	"bytes"
	"net"

	"cyclamenford/core"
	"cyclamenford/io/meter"
)

// headerTooLargePrefix is the start of the response that net/http sends, without calling a handler, if the request
// header exceeds the limit.
var headerTooLargePrefix = []byte("HTTP/1.1 431 ")

// countingListener counts the requests that net/http rejects before a handler runs.
type countingListener struct {
	net.Listener
	meter *meter.Meter
}

// Accept returns the next connection, wrapped in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, meter: l.meter}, nil
}

// countingConn detects the responses that net/http sends without calling a handler.
type countingConn struct {
	net.Conn
	meter *meter.Meter
}

// Write forwards the data and counts a response to an oversized header.
func (c countingConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, headerTooLargePrefix) {
		c.meter.Count("requests_total", 1, "outcome", string(core.NotRun), "reason", string(core.ReasonBadHeader))
	}
	return c.Conn.Write(p)
}

package carry

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/proxy"
	"cyclamenford/core"
	"cyclamenford/io/dial"
	"cyclamenford/io/meter"
	"cyclamenford/io/sock"
	"cyclamenford/io/trace"
)

// startEnding starts an endpoint that reads of each connection, and then resets or closes it.
func startEnding(t *testing.T, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			readAndEnd(conn, reset)
		}
	}()
	return l.Addr().String()
}

func readAndEnd(conn net.Conn, reset bool) {
	_, _ = conn.Read(make([]byte, 4096))
	if reset {
		sock.Reset(conn)
	}
	_ = conn.Close()
}

// TestOnlyTheResetOfAnEndpointPassesThroughItsCarrier guards against a crashed endpoint that is taken for alive since its connections are carried, and
// against a sound one that is taken for ended since its carrier is.
func TestOnlyTheResetOfAnEndpointPassesThroughItsCarrier(t *testing.T) {
	sound := startCarrier(t, nil, false)
	links := proxy.New(func(string) string { return "" })
	t.Cleanup(links.Close)
	// The proxy passes no reset on.
	proxied, err := links.Listen("carrier", sound.address)
	must.NoError(t, err)
	ending := func(reset bool) carrierHost {
		return startServing(t, func(conn net.Conn) {
			if _, _, err := readRequest(conn); err == nil {
				_, _ = conn.Write([]byte{byte(connected)})
				readAndEnd(conn, reset)
			}
		})
	}
	resetting, closing := startEnding(t, true), startEnding(t, false)
	for name, row := range map[string]struct {
		carrier  carrierHost
		endpoint string
		ended    bool
	}{
		"the endpoint resets the connection":                        {sound, resetting, true},
		"the endpoint resets the connection, the link hides resets": {carrierHost{address: proxied}, resetting, true},
		"the endpoint closes the connection":                        {sound, closing, false},
		"the carrier resets the connection":                         {ending(true), resetting, false},
		"the carrier closes the connection":                         {ending(false), resetting, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial.New(nil, dialerWith(refuse, row.carrier).DialContext, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, meter.New(), slog.New(slog.DiscardHandler))
			_, ended, err := c.Probe(context.Background(), core.Target{Address: row.endpoint})
			must.Error(t, err)
			must.Eq(t, row.ended, ended, must.Sprint(err))
		})
	}
}

package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHeldDataCountsByWhenItWasSent checks that SentAt reports when data left its sender, not when the proxy released it.
// Otherwise work that was sent before an endpoint left, and was held back, would count as sent afterwards.
func TestHeldDataCountsByWhenItWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	n := New(func(string) string { return "host" })
	defer n.Close()
	address, err := n.Listen("endpoint", l.Addr().String())
	must.NoError(t, err)
	client, err := net.Dial("tcp", address)
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	defer func() { must.NoError(t, server.Close()) }()

	sentAt := func(hold time.Duration) time.Time {
		n.SetRule(Link{From: "host"}, Rule{Hold: true})
		_, err := client.Write([]byte("x"))
		must.NoError(t, err)
		time.Sleep(hold)
		n.RemoveRule(Link{From: "host"})
		_, err = io.ReadFull(server, make([]byte, 1))
		must.NoError(t, err)
		return n.SentAt(server.RemoteAddr().String())
	}
	before := time.Now()
	first := sentAt(200 * time.Millisecond)
	must.Less(t, 150*time.Millisecond, first.Sub(before))
	must.Greater(t, 150*time.Millisecond, time.Since(first))
	second := sentAt(0)
	must.Greater(t, 150*time.Millisecond, second.Sub(first))

	// SentAt must also work if the sender closes its connection before the proxy releases the data.
	n.SetRule(Link{From: "host"}, Rule{Hold: true})
	_, err = client.Write([]byte("x"))
	must.NoError(t, err)
	must.NoError(t, client.Close())
	time.Sleep(200 * time.Millisecond)
	n.RemoveRule(Link{From: "host"})
	all, err := io.ReadAll(server)
	must.NoError(t, err)
	must.Eq(t, "x", string(all))
	must.Less(t, 150*time.Millisecond, n.SentAt(server.RemoteAddr().String()).Sub(second))
}

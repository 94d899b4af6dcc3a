package proxy

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// childArg makes the test's binary run as the process of a child network.
const childArg = "child"

func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == childArg {
		if err := ServeChild(os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestANetworkApartHasTheRulesOfTheTest guards against hosts that a test isolates or cuts off, and that go on talking over the network's
// other process.
func TestANetworkApartHasTheRulesOfTheTest(t *testing.T) {
	child, err := StartChild(map[string]string{"127.0.0.1": "host"}, os.Args[0], childArg)
	must.NoError(t, err)
	n := New(func(string) string { return "" })
	n.UseChild(child)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	address, err := n.ListenApart("peer", l.Addr().String())
	must.NoError(t, err)
	client, err := net.Dial("tcp", address)
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	send := func(text string) {
		_, err := client.Write([]byte(text))
		must.NoError(t, err)
	}
	read := func(wait time.Duration) (string, error) {
		must.NoError(t, server.SetReadDeadline(time.Now().Add(wait)))
		buffer := make([]byte, 1)
		_, err := io.ReadFull(server, buffer)
		return string(buffer), err
	}
	receives := func(text string) {
		got, err := read(10 * time.Second)
		must.NoError(t, err)
		must.Eq(t, text, got)
	}
	send("a")
	receives("a")

	links := []Link{{From: "host", To: "peer"}, {From: "peer", To: "host"}}
	n.SetRules(Rule{Hold: true}, links...)
	send("b")
	_, err = read(200 * time.Millisecond)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n.RemoveRule(links...)
	receives("b")

	n.SetRules(Rule{Hold: true}, Link{To: "peer"})
	send("c")
	n.RemoveAllRules()
	receives("c")

	n.CloseConnections("host", "peer")
	_, err = read(10 * time.Second)
	must.ErrorIs(t, err, io.EOF)
	n.Close()
	must.True(t, child.cmd.ProcessState.Exited())
	_, err = net.Dial("tcp", address)
	must.Error(t, err)
}

package buffer

import (
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkQuickClient compares the cost of an event to a client that keeps up, written to the connection and through a buffer.
func BenchmarkQuickClient(b *testing.B) {
	event := []byte(eventOf(1, 100))
	for _, buffered := range []bool{false, true} {
		name := "Connection"
		if buffered {
			name = "Buffer"
		}
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp", l.Addr().String())
			must.NoError(b, err)
			host, err := l.Accept()
			must.NoError(b, err)
			defer func() { _ = host.Close() }()
			go func() { _, _ = io.Copy(io.Discard, client) }()
			var out io.Writer = host
			var a *Answer
			if buffered {
				a = newPool(1<<20).Answer(host, true, func() {})
				out = a
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := out.Write(event)
				must.NoError(b, err)
				a.Mark()
			}
			a.Close()
		})
	}
}

package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const brokenHTTPAnswer = "HTTP/1.1 000 None\r\nX Other: x\r\nContent-Length : 5\r\n\r\nhello"

// serveBytes accepts connections, sends each the same bytes once a call has come, and resets it. Without a key it makes no handshake.
func serveBytes(t *testing.T, key string, raw []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if key == "" || authenticateClient(c, []byte(key)) == nil {
				_, _ = c.Read(make([]byte, 1<<10))
				_, _ = c.Write(raw)
			}
			time.Sleep(time.Millisecond)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestABrokenAnswerOfAHostIsNoReply guards against replies that a host takes from something that is no host, or from a part of an answer.
func TestABrokenAnswerOfAHostIsNoReply(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func(address string) (string, error) {
		c := NewClient([]byte("key"), nil, nil)
		defer func() { must.NoError(t, c.Stop(ctx)) }()
		var reply string
		err := c.Call(ctx, address, "Echo.Say", "hello", &reply)
		return reply, err
	}
	for _, key := range []string{"", "key"} {
		_, err := call(serveBytes(t, key, []byte(brokenHTTPAnswer)))
		must.Error(t, err)
	}
	var whole bytes.Buffer
	encoder := gob.NewEncoder(&whole)
	must.NoError(t, encoder.Encode(rpc.Response{ServiceMethod: "Echo.Say"}))
	must.NoError(t, encoder.Encode("hello"))
	reply, err := call(serveBytes(t, "key", whole.Bytes()))
	must.NoError(t, err)
	must.Eq(t, "hello", reply)
	for n := range whole.Len() {
		_, err := call(serveBytes(t, "key", whole.Bytes()[:n]))
		must.Error(t, err, must.Sprintf("%d of %d bytes", n, whole.Len()))
	}
}

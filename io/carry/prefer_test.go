package carry

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestACarrierWithMarksIsPreferred guards against answers that are cut at a carrier of an earlier release though another one marks ends.
func TestACarrierWithMarksIsPreferred(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	former := startServing(t, formerCarrier)
	former.domain = "a"
	d := dialerWith(refuse, former, startCarrierIn(t, "b", nil, false))
	whole := 0
	for range 10 {
		go answerOnce(l, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
		if _, _, err := get(d, l.Addr().String()); err == nil {
			whole++
		}
	}
	must.Greater(t, 7, whole)
}

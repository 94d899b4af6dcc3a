package carry

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/io/dial"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

// TestAResetThatNoOtherHostConfirmsProvesNothing guards against a sound endpoint that is taken for ended by a host whose link to it resets connections.
func TestAResetThatNoOtherHostConfirmsProvesNothing(t *testing.T) {
	cut := startEnding(t, true)
	direct := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, cut)
	}
	// The endpoint itself is sound, and the other host reaches it.
	sound, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, sound.Close()) }()
	d := dialerWith(direct, startCarrier(t, nil, false))
	c := dial.New(nil, d.DialContext, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, meter.New(), slog.New(slog.DiscardHandler))
	_, ended, err := c.Probe(context.Background(), core.Target{Address: sound.Addr().String()})
	must.Error(t, err)
	must.False(t, ended, must.Sprint(err))
}

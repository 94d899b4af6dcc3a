package dial

import (
	"log/slog"

	"cyclamenford/core"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

// newClient returns a client that passes what endpoints report about themselves to onState, and asks permit before its calls.
func newClient(onState StateHandler, permit PermitFunc) *Client {
	return New(nil, nil, trace.New(trace.Options{}), onState, permit, meter.New(), slog.New(slog.DiscardHandler))
}

func ignoreState(core.Life, EndpointState) {}

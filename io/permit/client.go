package permit

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/limit"
)

const (
	// Validity is how long after its issue a permit may be used. A later request needs another one.
	Validity = core.Second
	// NoIssuerHold is how long an endpoint that needs permits is avoided while no keeper issues any.
	NoIssuerHold = core.Millis(100)
	// takeGrace is how long a call may outlast the time for which it may wait, so that its answer can still arrive.
	takeGrace = 300 * time.Millisecond
)

// ErrNoIssuer means that no leading keeper could be asked for a permit.
var ErrNoIssuer = errors.New("no keeper issues permits")

// Caller calls RPC methods of keepers.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Limits is what a host knows of the limits that endpoints name.
type Limits interface {
	NeedsPermit(l core.Life) bool
	LimitReport(l core.Life) limit.Report
	RecordLimit(l core.Life, stated limit.Statement, sentAge core.Millis)
}

// Client asks for permits on behalf of one host.
type Client struct {
	host   core.HostID
	limits Limits
	caller Caller
	leader func() string
	log    *slog.Logger
}

// NewClient returns a client that asks the keeper at the address that leader returns.
func NewClient(host core.HostID, l Limits, c Caller, leader func() string, log *slog.Logger) *Client {
	return &Client{host: host, limits: l, caller: c, leader: leader, log: log}
}

// Start does nothing: permits are asked for on demand.
func (c *Client) Start(context.Context) error { return nil }

// Stop does nothing.
func (c *Client) Stop(context.Context) error { return nil }

// Ask asks for the permit to send a request to an endpoint, if it needs one, and waits for it up to the given time. Without a
// permit, it returns the time after which to ask again.
func (c *Client) Ask(ctx context.Context, l core.Life, request core.RequestID, priority int, wait core.Millis) (permitted bool, hold core.Millis) {
	if !c.limits.NeedsPermit(l) {
		return true, 0
	}
	reply, err := Take(ctx, c.caller, c.leader(), TakeArgs{
		Report: c.limits.LimitReport(l), Host: c.host, Request: request, Priority: priority, Aim: wait, Left: wait, Wait: wait > 0,
	})
	switch {
	case err != nil:
		hold = NoIssuerHold
	case reply.Permitted && !reply.Limited:
		c.limits.RecordLimit(l, limit.Unlimited(), 0)
		return true, 0
	case reply.Permitted:
		c.log.Info("sent to a limited endpoint", "request", request, "endpoint", l.Endpoint, "incarnation", l.Incarnation)
		return true, 0
	default:
		hold = reply.RetryAfter
	}
	c.log.Info("no permit", "request", request, "endpoint", l.Endpoint, "retry_after_ms", hold, "err", err)
	return false, hold
}

// Take asks the keeper at an address for a permit. If that one does not lead and names another one, it asks that one, once.
func Take(ctx context.Context, c Caller, address string, args TakeArgs) (TakeReply, error) {
	wait := takeGrace
	if args.Wait {
		wait += max(core.Millis(0), args.Left).Duration()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for range 2 {
		if address == "" {
			break
		}
		var reply TakeReply
		if err := c.Call(ctx, address, Service+".Take", args, &reply); err != nil {
			return TakeReply{}, fmt.Errorf("ask for a permit: %w", err)
		}
		if reply.Leading {
			return reply, nil
		}
		if reply.LeaderAddress == address {
			break
		}
		address = reply.LeaderAddress
	}
	return TakeReply{}, ErrNoIssuer
}

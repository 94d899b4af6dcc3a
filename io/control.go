package io

import (
	"context"
	"errors"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
)

// ErrNoQuorum reports that no quorum of keepers committed the command in time. The command may still be committed later.
var ErrNoQuorum = errors.New("the control state has no quorum in reach")

// Control gives a host access to the replicated control state: its local copy, writes, and reads from the leader.
type Control interface {
	// Image returns the latest snapshot of the published state that this host has applied.
	Image() state.Image
	// Changed returns a channel that is closed when the image next changes.
	Changed() <-chan struct{}
	// Propose commits a command to the replicated log and returns its result, or an error that wraps ErrNoQuorum.
	Propose(ctx context.Context, c state.Command) (state.Reply, error)
	// Query performs a linearizable read of the control state.
	Query(ctx context.Context, q Query) (Answer, error)
	// Serving reports whether this host holds its serving lease.
	Serving() bool
	// Holder returns this host's ID and incarnation, which own the reservations that it makes.
	Holder() ledger.Holder
}

// Query selects one part of the control state to read. Exactly one field is set.
type Query struct {
	Path   string
	Orders bool
	Call   *ledger.Key
	Status bool
	// AppliedBy queries whether every serving host has applied this revision.
	AppliedBy uint64
	// Config requests the complete operator configuration.
	Config bool
}

// Answer is the result of a Query. Only the fields for the queried part are set.
type Answer struct {
	History []state.Subtree
	Orders  []state.Order
	Call    *ledger.Entry
	Status  *Status
	// InForce is true if every serving host has applied the revision. Behind lists the hosts that have not.
	InForce bool
	Behind  []core.HostID
	Config  *state.Config
}

// Status describes the keepers' consensus group and the serving leases, as reported by the leader.
type Status struct {
	Leader   quorum.Member
	Term     uint64
	Commit   uint64
	Revision uint64
	Config   quorum.Config
	Calls    int
	Leases   []Lease
}

// Lease is a host's serving lease as recorded by the leader.
type Lease struct {
	Host     core.HostID
	Revision uint64
	// LeftMs is the remaining time of the lease in milliseconds.
	LeftMs core.Millis
}

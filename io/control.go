package io

import (
	"context"
	"errors"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
)

// ErrNoQuorum means that no keeper could take the command in time; it may still take effect.
var ErrNoQuorum = errors.New("the control state has no quorum in reach")

// Control is the control state as one host sees it.
type Control interface {
	// Image returns the newest published image that this host has applied.
	Image() state.Image
	// Changed returns a channel that is closed at the next change of the image.
	Changed() <-chan struct{}
	// Propose commits a command and returns its reply, or an error that wraps ErrNoQuorum.
	Propose(ctx context.Context, c state.Command) (state.Reply, error)
	// Query reads the control state as of now.
	Query(ctx context.Context, q Query) (Answer, error)
	// Serving reports whether this host holds its serving lease.
	Serving() bool
	// Holder returns this life of the host, for reservations.
	Holder() ledger.Holder
}

// Query asks for one part of the control state; exactly one field is set.
type Query struct {
	Path   string
	Orders bool
	Call   *ledger.Key
	Status bool
	// AppliedBy asks whether every serving host has applied the revision.
	AppliedBy uint64
	// Config asks for the operator's whole configuration.
	Config bool
}

// Answer is the reply to a query.
type Answer struct {
	History []state.Subtree
	Orders  []state.Order
	Call    *ledger.Entry
	Status  *Status
	// InForce tells that every serving host has applied the revision; Behind lists the others.
	InForce bool
	Behind  []core.HostID
	Config  *state.Config
}

// Status describes the keepers as their leader sees them.
type Status struct {
	Leader   quorum.Member
	Term     uint64
	Commit   uint64
	Revision uint64
	Config   quorum.Config
	Calls    int
	Leases   []Lease
}

// Lease is a host's serving lease as the leader knows it.
type Lease struct {
	Host     core.HostID
	Revision uint64
	// LeftMs is the time that remains of the lease.
	LeftMs core.Millis
}

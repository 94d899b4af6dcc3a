package keeper

import (
	"errors"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io"
)

// The names of the keepers' RPC services.
const (
	QuorumService  = "Quorum"
	ControlService = "Control"
)

// ErrNoLeader means that the caller knows no keeper that leads.
var ErrNoLeader = errors.New("no keeper is known to lead")

// Batch carries messages of the replicated log, with the sender's member name and peer address.
type Batch struct {
	From     quorum.Member
	Address  string
	Messages []quorum.Message
}

// Located reports whether the answering keeper leads, and otherwise redirects the caller to the leader.
type Located struct {
	// Leading is true if the answering host leads. The rest of the reply is valid only then.
	Leading bool
	// LeaderAddress is the leader's peer address, empty if it is not known or the answering host leads.
	LeaderAddress string
}

// LeaderInfo returns the part of a reply that locates the leader.
func (l Located) LeaderInfo() Located { return l }

// LocateArgs is the empty argument of Locate.
type LocateArgs struct{}

// ProposeArgs carries a command to the leader.
type ProposeArgs struct {
	Command []byte
	// Trace carries the caller's trace context.
	Trace http.Header
}

// ProposeReply is the answer to ProposeArgs.
type ProposeReply struct {
	Located
	Reply state.Reply
}

// FollowArgs asks for the published changes after a revision and for the renewal of the host's serving lease.
type FollowArgs struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Revision    uint64
	// WaitMs is how long the leader may wait for a change before it replies.
	WaitMs core.Millis
}

// FollowReply is the answer to FollowArgs.
type FollowReply struct {
	Located
	// Whole is true if Deltas build the whole image from an empty one, not from the caller's revision.
	Whole    bool
	Deltas   []state.Delta
	Revision uint64
	// LeaseMs is the length of the serving lease, counted from the sending of the call; 0 means no lease.
	LeaseMs core.Millis
	// Ended is true if a later incarnation of the host has joined.
	Ended bool
}

// QueryArgs carries a query to the leader.
type QueryArgs struct{ Query io.Query }

// QueryReply is the answer to QueryArgs.
type QueryReply struct {
	Located
	Answer io.Answer
}

// LeaveArgs announces to the leader that a member's process ends.
type LeaveArgs struct{ Member quorum.Member }

// LeaveReply is the answer to LeaveArgs.
type LeaveReply struct {
	Located
	// Votes is true while the member is a voter.
	Votes bool
	// Pending is true while the member should wait for a change of the membership.
	Pending bool
}

// MeetArgs carries a keeper's name and address and the addresses of the keepers that it knows.
type MeetArgs struct {
	Member  quorum.Member
	Address string
	// Empty is true if the sender's disk is empty and can become part of a new deployment.
	Empty bool
	Known map[quorum.Member]string
}

// MeetReply carries the answering keeper's name, whether its disk belongs to a replicated log, and the addresses of the
// keepers that it knows.
type MeetReply struct {
	Member  quorum.Member
	Founded bool
	Known   map[quorum.Member]string
}

package keeper

import (
	"errors"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io"
)

// The names under which keepers answer calls.
const (
	QuorumService  = "Quorum"
	ControlService = "Control"
)

// ErrNoLeader means that no leading keeper is known.
var ErrNoLeader = errors.New("no keeper is known to lead")

// Batch carries messages of the replicated log, and where their sender answers.
type Batch struct {
	From     quorum.Member
	Address  string
	Messages []quorum.Message
}

// Located tells a caller where the leader may be.
type Located struct {
	// Leading tells that the answering host leads and the rest of the reply counts.
	Leading bool
	// LeaderAddress is where the leader answers, empty when it is not known.
	LeaderAddress string
}

// Where returns the located part of a reply.
func (l Located) Where() Located { return l }

// LocateArgs asks for the leader.
type LocateArgs struct{}

// ProposeArgs carries a command to the leader.
type ProposeArgs struct {
	Command []byte
	// Trace carries the caller's span.
	Trace http.Header
}

// ProposeReply is the answer to ProposeArgs.
type ProposeReply struct {
	Located
	Reply state.Reply
}

// FollowArgs asks for the published changes after a revision and for a serving lease.
type FollowArgs struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Revision    uint64
	// WaitMs is how long the leader may hold the call while nothing changes.
	WaitMs core.Millis
}

// FollowReply is the answer to FollowArgs.
type FollowReply struct {
	Located
	// Whole tells that the changes make the image from an empty one.
	Whole    bool
	Deltas   []state.Delta
	Revision uint64
	// LeaseMs is the length of the serving lease, counted from when the host sent the call; 0 means none.
	LeaseMs core.Millis
	// Ended tells that a later life of the host has joined.
	Ended bool
}

// QueryArgs carries a query to the leader.
type QueryArgs struct{ Query io.Query }

// QueryReply is the answer to QueryArgs.
type QueryReply struct {
	Located
	Answer io.Answer
}

// MeetArgs introduces a keeper and the keepers that it knows.
type MeetArgs struct {
	Member  quorum.Member
	Address string
	// Empty tells that the disk waits for the first founding.
	Empty bool
	Known map[quorum.Member]string
}

// MeetReply names the answering disk, the keepers that it knows, and tells whether it belongs to a replicated log.
type MeetReply struct {
	Member  quorum.Member
	Founded bool
	Known   map[quorum.Member]string
}

package quorum

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"cyclamenford/core"
)

// Member is one life of a keeper's disk: its host and the incarnation that was written to the disk.
type Member string

// NewMember returns the member for a host and the incarnation of its disk.
func NewMember(host core.HostID, incarnation core.Incarnation) Member {
	return Member(string(host) + "/" + strconv.FormatUint(uint64(incarnation), 10))
}

// Host returns the member's host.
func (m Member) Host() core.HostID {
	host, _, _ := strings.Cut(string(m), "/")
	return core.HostID(host)
}

// Config is the membership of the log; both lists are sorted.
type Config struct {
	Voters   []Member
	Learners []Member
}

// IsVoter reports whether the member votes.
func (c Config) IsVoter(m Member) bool {
	return slices.Contains(c.Voters, m)
}

// Contains reports whether the member votes or learns.
func (c Config) Contains(m Member) bool {
	return c.IsVoter(m) || slices.Contains(c.Learners, m)
}

// Members returns voters and learners.
func (c Config) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// WithLearner returns a copy in which the member learns.
func (c Config) WithLearner(m Member) Config {
	return Config{Voters: without(c.Voters, m), Learners: with(c.Learners, m)}
}

// WithVoter returns a copy in which the member votes.
func (c Config) WithVoter(m Member) Config {
	return Config{Voters: with(c.Voters, m), Learners: without(c.Learners, m)}
}

// Without returns a copy that lacks the member.
func (c Config) Without(m Member) Config {
	return Config{Voters: without(c.Voters, m), Learners: without(c.Learners, m)}
}

func with(list []Member, m Member) []Member {
	out := append(without(list, m), m)
	slices.Sort(out)
	return out
}

func without(list []Member, m Member) []Member {
	out := make([]Member, 0, len(list)+1)
	for _, x := range list {
		if x != m {
			out = append(out, x)
		}
	}
	return out
}

// EntryKind says what a log entry carries.
type EntryKind uint8

// The kinds of log entry.
const (
	// Normal carries a command of the state machine; an empty one marks a leader's start.
	Normal EntryKind = iota
	// Configure carries a membership.
	Configure
)

// Entry is one position of the log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte  `cbor:",omitempty"`
	Config *Config `cbor:",omitempty"`
}

// HardState is what a member must have on disk before it answers.
type HardState struct {
	Term uint64
	Vote Member
}

// Snapshot stands for all entries up to and including its index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Piece
	PieceReply
	Handover
)

// Message travels from one member to another.
type Message struct {
	Kind MessageKind
	From Member
	To   Member
	Term uint64
	// Index and LogTerm are the position before the entries, or the candidate's last one.
	Index   uint64
	LogTerm uint64
	Entries []Entry `cbor:",omitempty"`
	Commit  uint64
	Reject  bool
	// Round numbers the leader's broadcasts; replies echo it with the leader's time of sending.
	Round  uint64
	SentAt core.Millis
	// Snapshot describes the snapshot of which Data is the piece at Offset.
	Snapshot *Snapshot `cbor:",omitempty"`
	Offset   int
	Total    int
	Data     []byte `cbor:",omitempty"`
	// Forced marks a vote that the leader itself has asked for.
	Forced bool
}

// Read is the answer to a read request: state at Index or later is current.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Output is what the shell must do, in this order: save, send, apply.
type Output struct {
	HardState *HardState
	// Snapshot replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries replace everything on disk from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty reports whether there is nothing to do.
func (o Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil &&
		len(o.Entries)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// Role is the part that a member plays in its term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	Candidate
	Leader
)

// The errors of proposals.
var (
	ErrNotLeader     = errors.New("this member does not lead")
	ErrChangePending = errors.New("another change of membership is under way")
	ErrNotReady      = errors.New("the leader has not committed an entry of its term")
	ErrChangeTooBig  = errors.New("a change may add or remove one member")
	ErrNotCaughtUp   = errors.New("the new voter has not caught up")
	ErrQuorumAtRisk  = errors.New("too few members of the new configuration answer")
)

// Settings are the times and sizes of the protocol.
type Settings struct {
	// ElectionTimeout is the shortest silence after which a follower stands for election.
	ElectionTimeout core.Millis
	Heartbeat       core.Millis
	// LeasePercent is the part of ElectionTimeout for which a leader trusts its last answers.
	LeasePercent int
	MaxBatch     int
	MaxInflight  int
	PieceBytes   int
}

// Defaults returns the settings for hosts a few milliseconds apart.
func Defaults() Settings {
	return Settings{
		ElectionTimeout: 600, Heartbeat: 100, LeasePercent: 75,
		MaxBatch: 256, MaxInflight: 8, PieceBytes: 256 << 10,
	}
}

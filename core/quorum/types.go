package quorum

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"cyclamenford/core"
)

// Member identifies a keeper by its host and the incarnation written to its disk, in the form "host/incarnation". A host
// with a new disk is a new member.
type Member string

// NewMember returns the identifier for a host and the incarnation of its disk.
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

// IsVoter reports whether the member is a voter.
func (c Config) IsVoter(m Member) bool {
	return slices.Contains(c.Voters, m)
}

// Contains reports whether the member is a voter or a learner.
func (c Config) Contains(m Member) bool {
	return c.IsVoter(m) || slices.Contains(c.Learners, m)
}

// Members returns the voters followed by the learners.
func (c Config) Members() []Member {
	return slices.Concat(c.Voters, c.Learners)
}

// WithLearner returns a copy in which the member is a learner.
func (c Config) WithLearner(m Member) Config {
	return Config{Voters: without(c.Voters, m), Learners: with(c.Learners, m)}
}

// WithVoter returns a copy in which the member is a voter.
func (c Config) WithVoter(m Member) Config {
	return Config{Voters: with(c.Voters, m), Learners: without(c.Learners, m)}
}

// Without returns a copy without the member.
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

// EntryKind is the type of a log entry's content.
type EntryKind uint8

// The kinds of log entry.
const (
	// CommandEntry carries a state machine command. A new leader appends an empty one at the start of its term.
	CommandEntry EntryKind = iota
	// ConfigEntry carries a new membership configuration.
	ConfigEntry
)

// Entry is one log entry.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte  `cbor:",omitempty"`
	Config *Config `cbor:",omitempty"`
}

// HardState is the state that must be on disk before a member sends its messages.
type HardState struct {
	Term uint64
	Vote Member
}

// Snapshot replaces all entries up to and including its index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// MessageKind is the type of a request or reply between members.
type MessageKind uint8

// The kinds of message.
const (
	// PreVote asks whether the receiver would vote for the sender in the next term.
	PreVote MessageKind = iota + 1
	PreVoteReply
	// Vote requests a vote in the sender's term.
	Vote
	VoteReply
	// Append sends log entries, or a heartbeat if it has none.
	Append
	AppendReply
	// SnapshotChunk sends one chunk of a snapshot.
	SnapshotChunk
	SnapshotChunkReply
	// TimeoutNow tells the receiver to start an election at once, in order to take over the leadership.
	TimeoutNow
)

// Message is a request or reply from one member to another.
type Message struct {
	Kind MessageKind
	From Member
	To   Member
	Term uint64
	// Index and LogTerm are the log position before Entries, or a candidate's last position. In a reply to Append, Index
	// is the last matching index, or after a rejection the last one that may match.
	Index   uint64
	LogTerm uint64
	Entries []Entry `cbor:",omitempty"`
	Commit  uint64
	Reject  bool
	// Round is the number of the leader's heartbeat round and SentAt the leader's time of sending. Replies echo both.
	Round  uint64
	SentAt core.Millis
	// Snapshot describes, without its data, the snapshot of which Data is the chunk at Offset; Total is its size in
	// bytes.
	Snapshot *Snapshot `cbor:",omitempty"`
	Offset   int
	Total    int
	Data     []byte `cbor:",omitempty"`
	// Forced marks a vote request after a leadership transfer. It is not rejected because the former leader was heard
	// recently.
	Forced bool
}

// Read is the result of ReadIndex: once Index is applied, the state is current for the read. OK is false if the read
// failed.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Output is the work for the caller, in this order: save HardState, Snapshot and Entries, send Messages, apply Committed,
// answer Reads.
type Output struct {
	HardState *HardState
	// Snapshot replaces the log and the state of the state machine.
	Snapshot *Snapshot
	// Entries replace all log entries on disk from the first one's index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []Read
}

// Empty reports whether the output contains no work.
func (o Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil &&
		len(o.Entries)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// Role is a member's role in the current term.
type Role uint8

// The roles of a member.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Errors of Propose and ChangeConfig.
var (
	ErrNotLeader     = errors.New("this member does not lead")
	ErrChangePending = errors.New("another membership change is not yet committed")
	ErrNotReady      = errors.New("the leader has not yet committed an entry of its term")
	ErrChangeTooBig  = errors.New("a membership change may add or remove only one voter and must keep at least one")
	ErrNotCaughtUp   = errors.New("the new voter does not hold all committed entries")
	ErrQuorumAtRisk  = errors.New("fewer than a majority of the new configuration's voters replied within the election timeout")
)

// Settings are the timeouts and limits of the protocol.
type Settings struct {
	// ElectionTimeout is the shortest time without a message of the leader after which a voter starts a pre-vote; the
	// actual time is random, up to twice as long.
	ElectionTimeout core.Millis
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat core.Millis
	// LeasePercent is the length of the leader's lease as a percentage of ElectionTimeout.
	LeasePercent int
	// MaxBatch and MaxBatchBytes are the number and the size of the entries in one message. An entry above the size is sent alone.
	MaxBatch      int
	MaxBatchBytes int
	// MaxInflight is the number of unacknowledged messages with entries per member, and MaxInflightBytes the size of those entries. At
	// least one entry may be unacknowledged, whatever its size.
	MaxInflight      int
	MaxInflightBytes int
	// RetainedEntries and RetainedBytes are the number and the size of the entries retained before a snapshot, so that a slow member can
	// catch up without the snapshot. A member that needs an older entry gets the snapshot.
	RetainedEntries int
	RetainedBytes   int
	// SnapshotChunkBytes is the size of a snapshot chunk.
	SnapshotChunkBytes int
}

// Defaults returns settings for hosts with a network latency of a few milliseconds.
func Defaults() Settings {
	return Settings{
		ElectionTimeout: 600, Heartbeat: 100, LeasePercent: 75,
		MaxBatch: 256, MaxBatchBytes: 1 << 20, MaxInflight: 8, MaxInflightBytes: 4 << 20,
		RetainedEntries: 512, RetainedBytes: 8 << 20, SnapshotChunkBytes: 256 << 10,
	}
}

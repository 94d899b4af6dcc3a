package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

const (
	// changeBytes is the size of a configuration with some hundred routes, and changeInterval the time between two of them.
	changeBytes    = 160 << 10
	changeInterval = 80
	// maxMessageBytes bounds one message that carries several entries, and maxTransitBytes all that are on their way to one member.
	maxMessageBytes = 1 << 20
	maxTransitBytes = 4<<20 + maxMessageBytes
	// compactionBytes is the size of the log's data at which the keepers take a snapshot, and maxLogBytes bounds the data that the log then
	// holds until the next one.
	compactionBytes = 4 << 20
	maxLogBytes     = 8<<20 + compactionBytes + changeBytes
	catchUpMillis   = 2000
)

// lossKind says what becomes of the messages to a frozen member: they wait until it continues, as in the buffers of a connection, or all or
// those with entries or pieces of a snapshot are lost.
type lossKind string

const (
	noneLost    lossKind = "none"
	allLost     lossKind = "all"
	entriesLost lossKind = "those with entries"
)

// delayed are members on a network that delivers each message 10 ms after it was sent.
type delayed struct {
	now     core.Millis
	nodes   []*quorum.Node
	packets []packet
	frozen  quorum.Member
	lost    lossKind
	// unsaved are the bytes of each member's entries since its last snapshot.
	unsaved map[quorum.Member]int
	// watched is the member whose messages are counted: largest is the size of the largest, mostTransit the most that were on their way at
	// once, and sent their sum, in bytes of entries and of pieces of snapshots.
	watched                    quorum.Member
	largest, mostTransit, sent int
}

func newDelayed() *delayed {
	d := &delayed{now: 1000, unsaved: map[quorum.Member]int{}}
	config := quorum.Config{}
	for i := range 3 {
		config.Voters = append(config.Voters, quorum.NewMember(hostName(i), 1))
	}
	base := quorum.Snapshot{Index: 1, Term: 1, Config: config}
	for i, m := range config.Voters {
		rng := rand.New(rand.NewPCG(uint64(i), 7))
		d.nodes = append(d.nodes, quorum.New(d.now, m, quorum.Defaults(), quorum.HardState{Term: 1}, base, nil, rng))
	}
	return d
}

func payload(m quorum.Message) int {
	bytes := len(m.Data)
	for _, e := range m.Entries {
		bytes += len(e.Data)
	}
	return bytes
}

func (d *delayed) step() {
	d.now += stepMillis
	due := d.packets
	d.packets = nil
	for _, p := range due {
		if p.at > d.now || p.message.To == d.frozen {
			d.packets = append(d.packets, p)
			continue
		}
		for _, n := range d.nodes {
			n.Step(d.now, p.message)
			d.takeOutput(n)
		}
	}
	for _, n := range d.nodes {
		if n.ID() != d.frozen {
			n.Tick(d.now)
			d.takeOutput(n)
		}
	}
	transit := 0
	for _, p := range d.packets {
		if p.message.To == d.watched {
			transit += payload(p.message)
		}
	}
	d.mostTransit = max(d.mostTransit, transit)
}

func (d *delayed) takeOutput(n *quorum.Node) {
	for out := n.TakeOutput(); !out.Empty(); out = n.TakeOutput() {
		for _, m := range out.Messages {
			if m.To == d.watched {
				d.sent += payload(m)
				d.largest = max(d.largest, payload(m))
			}
			if m.To != d.frozen || d.lost == noneLost || d.lost == entriesLost && payload(m) == 0 {
				d.packets = append(d.packets, packet{at: d.now + stepMillis, message: m})
			}
		}
		for _, e := range out.Committed {
			d.unsaved[n.ID()] += len(e.Data)
		}
	}
	if d.unsaved[n.ID()] >= compactionBytes {
		n.Compact(n.Commit(), make([]byte, 2*changeBytes))
		d.unsaved[n.ID()] = 0
	}
}

// run goes on for the given time, with a change each interval that the leader has room for.
func (d *delayed) run(leader *quorum.Node, length core.Millis) {
	change := make([]byte, changeBytes)
	for end := d.now + length; d.now < end; d.step() {
		if (end-d.now)%changeInterval == 0 && leader != nil {
			if _, err := leader.Propose(change); err == nil {
				leader.Flush()
				d.takeOutput(leader)
			}
		}
	}
}

func (d *delayed) leader() *quorum.Node {
	for _, n := range d.nodes {
		if n.Ready() && n.ID() != d.frozen {
			return n
		}
	}
	return nil
}

// logBytes returns the size of the data that a member's log holds.
func logBytes(n *quorum.Node) int {
	for index := range n.LastIndex() {
		if entries := n.EntriesAfter(index); len(entries) > 0 {
			return payload(quorum.Message{Entries: entries})
		}
	}
	return 0
}

// TestAMemberThatWasAwayCostsItsLeaderBoundedMemory guards against a leader that runs out of memory when a member returns that was frozen, or
// whose messages were lost, while large configurations came in quick succession: by what it sends to the member and by what it keeps for it.
func TestAMemberThatWasAwayCostsItsLeaderBoundedMemory(t *testing.T) {
	for _, lost := range []lossKind{noneLost, allLost, entriesLost} {
		for _, away := range []struct {
			changing, quiet core.Millis
			newLeader       bool
		}{{6500, 0, false}, {3500, 3000, false}, {12000, 0, false}, {12000, 3000, false}, {3500, 0, true}, {12000, 0, true}} {
			t.Run(fmt.Sprintf("messages lost: %s, changes for %d ms, %d ms without, new leader %t", lost, away.changing, away.quiet, away.newLeader), func(t *testing.T) {
				d := newDelayed()
				for d.leader() == nil {
					d.step()
				}
				leader := d.leader()
				d.run(leader, core.Second)
				member := d.nodes[slices.IndexFunc(d.nodes, func(n *quorum.Node) bool { return n != leader })]
				d.frozen, d.watched, d.lost = member.ID(), member.ID(), lost
				if away.newLeader {
					// A member that has replied lately may be the one that takes over.
					d.run(nil, core.Second)
					leader.TransferLeadership()
					d.takeOutput(leader)
					d.run(nil, core.Second)
					former := leader
					leader = d.leader()
					must.True(t, leader != nil && leader != former)
				}
				d.run(leader, away.changing)
				d.run(nil, away.quiet)
				must.True(t, leader.Ready(), must.Sprint("the leader lost its office"))
				must.LessEq(t, maxLogBytes, logBytes(leader))
				must.LessEq(t, maxTransitBytes, d.sent, must.Sprint("bytes sent to a member that is away"))
				lacking := int(leader.LastIndex()-member.LastIndex()) * changeBytes
				d.frozen, d.sent = "", 0
				d.run(leader, catchUpMillis)
				d.run(nil, core.Second/5)
				must.Eq(t, leader.LastIndex(), member.LastIndex(), must.Sprint("the member has not caught up"))
				changes := catchUpMillis / changeInterval * changeBytes
				must.LessEq(t, lacking+changes+maxTransitBytes, d.sent, must.Sprint("entries were sent again and again"))
				must.LessEq(t, maxMessageBytes, d.largest)
				must.LessEq(t, maxTransitBytes, d.mostTransit)
				must.LessEq(t, maxLogBytes, logBytes(leader))
			})
		}
	}
}

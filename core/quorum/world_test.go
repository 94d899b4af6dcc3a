package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/repair"
	"cyclamenford/core/state"
)

// schedule sets the duration of a simulation and its fault rates. Cut, Crash, Wipe, Jump, LeaderCrash, PowerLoss and Lose are
// probabilities per step in thousandths.
type schedule struct {
	Name      string
	Steps     int
	Nodes     int
	Drop      int // percent of messages
	Duplicate int // percent of messages
	MaxDelay  core.Millis
	Cut       int
	Crash     int
	Wipe      int
	Jump      int
	// MaxBatch bounds the entries in one message; 0 means 8.
	MaxBatch int
	// MaxBytes bounds the bytes of entries in one message, three times as many those that are unacknowledged, and ten times as many those
	// that are retained; 0 means the defaults.
	MaxBytes int
	// SlowLinks is the percentage of one-way links on which messages take SlowDelay.
	SlowLinks int
	SlowDelay core.Millis
	// LeaderCrash is the probability that a leader crashes before it has committed an entry of its term.
	LeaderCrash int
	// PowerLoss is the probability that all keepers crash at the same moment, and one of them loses its disk if that is
	// allowed.
	PowerLoss int
	// Lose is the probability that a keeper is lost for good or loses its disk, as often as Nodes tolerates. The schedule
	// ends with as many lost disks as are tolerated then, and a loss of power, after which a leader must be elected.
	Lose int
}

// injectedBugs are bugs injected into the node or its caller that the checks must detect.
type injectedBugs struct {
	skipVoteSync     bool
	skipEntrySync    bool
	commitOldTerms   bool
	reuseIncarnation bool
	longLease        bool
	dropOpID         bool
	readLocally      bool
	replaceLate      bool
}

// keeperDisk is the state that survives a keeper's crash.
type keeperDisk struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

// keeperHost is one simulated keeper; its node is nil while it is down.
type keeperHost struct {
	host        core.HostID
	member      quorum.Member
	incarnation core.Incarnation
	node        *quorum.Node
	machine     *state.Machine
	disk        keeperDisk
	skew        core.Millis
	downUntil   core.Millis
	// gone means that the host never comes back.
	gone  bool
	reads map[uint64]*operation
}

// packet is a message in transit and its time of arrival.
type packet struct {
	at      core.Millis
	message quorum.Message
}

type link struct{ from, to core.HostID }

// world simulates keepers on a faulty network in virtual time and checks invariants after every event.
type world struct {
	schedule  schedule
	bugs      injectedBugs
	rng       *rand.Rand
	now       core.Millis
	hosts     []*keeperHost
	packets   []packet
	cutUntil  map[link]core.Millis
	slowLinks map[link]bool
	// clockJumped means that a clock has jumped, after which leases may overlap and are no longer checked.
	clockJumped bool
	wipedAt     core.Millis
	// losses holds until when each lost keeper counts as lost.
	losses []core.Millis

	// leaders holds the leader of each term, committed the hash of each committed entry by index, and images the hash of
	// each published image by revision.
	leaders   map[uint64]quorum.Member
	committed map[uint64]uint64
	images    map[uint64]uint64
	follower  state.Image
	clients   []*client
	history   []*operation
	waiting   map[string]*operation
	readID    uint64
	// violation describes a violated invariant, or is empty.
	violation string
}

const (
	stepMillis = 10
	// catchUp is how long a keeper with an empty disk counts as lost after its start, and relayElectionTimeout the election
	// timeout of the relay, whose users name that time.
	catchUp              = 4 * core.Second
	relayElectionTimeout = 300
	// recoverySteps is the length of the time within which a leader must be elected after the final loss.
	recoverySteps = 500
)

// newWorld starts all keepers as voters, chooses the slow links and creates the clients.
func newWorld(s schedule, bugs injectedBugs, seed uint64) *world {
	w := &world{
		schedule: s, bugs: bugs, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000, cutUntil: map[link]core.Millis{}, slowLinks: map[link]bool{},
		leaders: map[uint64]quorum.Member{}, committed: map[uint64]uint64{}, images: map[uint64]uint64{},
		follower: state.EmptyImage(), waiting: map[string]*operation{},
	}
	config := quorum.Config{}
	for i := range s.Nodes {
		config.Voters = append(config.Voters, quorum.NewMember(hostName(i), 1))
	}
	base := quorum.Snapshot{Index: 1, Term: 1, Config: config}
	for i := range s.Nodes {
		h := &keeperHost{host: hostName(i), incarnation: 1, disk: keeperDisk{hard: quorum.HardState{Term: 1}, snap: base}}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			w.slowLinks[link{a.host, b.host}] = w.rng.IntN(100) < s.SlowLinks
		}
	}
	for i := range 3 {
		w.clients = append(w.clients, &client{name: fmt.Sprintf("client-%d", i)})
	}
	return w
}

func hostName(i int) core.HostID { return core.HostID(fmt.Sprintf("k%d", i)) }

// settings returns the settings of every keeper.
func (w *world) settings() quorum.Settings {
	s := quorum.Defaults()
	s.MaxBatch, s.SnapshotChunkBytes = 8, 256
	if w.schedule.MaxBatch > 0 {
		s.MaxBatch = w.schedule.MaxBatch
	}
	if w.schedule.MaxBytes > 0 {
		s.MaxBatchBytes, s.MaxInflightBytes, s.RetainedBytes = w.schedule.MaxBytes, 3*w.schedule.MaxBytes, 10*w.schedule.MaxBytes
	}
	if w.bugs.longLease {
		s.LeasePercent = 600
	}
	if w.schedule.Lose > 0 {
		s.ElectionTimeout, s.Heartbeat = relayElectionTimeout, relayElectionTimeout/6
		s.MaxBatch, s.SnapshotChunkBytes = quorum.Defaults().MaxBatch, quorum.Defaults().SnapshotChunkBytes
	}
	return s
}

// boot starts a keeper with the state on its disk.
func (w *world) boot(h *keeperHost) {
	s := w.settings()
	h.member = quorum.NewMember(h.host, h.incarnation)
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
	h.node = quorum.New(w.now+h.skew, h.member, s, h.disk.hard, h.disk.snap, slices.Clone(h.disk.entries), rng)
	if w.bugs.commitOldTerms {
		h.node.CommitOlderTerms()
	}
	h.machine = restore(h.disk.snap.Data)
	h.reads = map[uint64]*operation{}
}

func restore(data []byte) *state.Machine {
	if len(data) == 0 {
		return state.New()
	}
	m, err := state.Restore(data)
	if err != nil {
		panic(err)
	}
	return m
}

// run executes the schedule and returns the violated invariant, or an empty string if there is none.
func (w *world) run() string {
	for range w.schedule.Steps {
		w.now += stepMillis
		w.injectFaults()
		w.advance()
		w.runClients()
		if w.violation != "" {
			return w.violation
		}
	}
	if w.schedule.Lose > 0 {
		if violation := w.checkFinalLoss(); violation != "" {
			return violation
		}
	}
	return w.checkHistory()
}

// advance delivers the messages that are due, runs the timers and starts the keepers whose time has come.
func (w *world) advance() {
	w.deliver()
	for _, h := range w.hosts {
		if h.node != nil {
			h.node.Tick(w.now + h.skew)
			w.processOutput(h)
		} else if w.now >= h.downUntil && !h.gone {
			w.boot(h)
		}
	}
}

func (w *world) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

// injectFaults injects the random faults of one step.
func (w *world) injectFaults() {
	if w.chance(w.schedule.Cut) {
		w.cutRandomLinks()
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if w.chance(w.schedule.Crash) && h.node != nil {
		w.crash(h)
	}
	for _, l := range w.hosts {
		if l.node != nil && l.node.Role() == quorum.Leader && !l.node.Ready() && w.chance(w.schedule.LeaderCrash) {
			w.crash(l)
		}
	}
	if w.chance(w.schedule.Wipe) && w.wipeAllowed() {
		w.crash(h)
		w.wipe(h)
	}
	// The condition keeps the random numbers of schedules without power losses.
	if w.schedule.PowerLoss > 0 && w.chance(w.schedule.PowerLoss) {
		w.losePower()
	}
	if w.schedule.Lose > 0 && w.chance(w.schedule.Lose) && w.lossesLeft() > 0 {
		w.lose()
	}
	if w.chance(w.schedule.Jump) {
		h.skew += core.Millis(w.rng.IntN(4000))
		w.clockJumped = true
	}
}

// cutRandomLinks cuts about a third of the links for 0.2 to 4.2 s, in one or both directions.
func (w *world) cutRandomLinks() {
	until := w.now + core.Millis(200+w.rng.IntN(4000))
	oneWay := w.rng.IntN(2) == 0
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a == b || w.rng.IntN(3) > 0 {
				continue
			}
			w.cutUntil[link{a.host, b.host}] = until
			if !oneWay {
				w.cutUntil[link{b.host, a.host}] = until
			}
		}
	}
}

// crash stops a keeper, which loses all state that is not on its disk.
func (w *world) crash(h *keeperHost) {
	h.node = nil
	h.downUntil = w.now + core.Millis(50+w.rng.IntN(1500))
}

// losePower crashes all keepers, loses the messages in transit, and wipes one keeper's disk if that is allowed.
func (w *world) losePower() {
	for _, h := range w.hosts {
		w.crash(h)
	}
	w.packets = nil
	if w.wipeAllowed() {
		w.wipe(w.hosts[w.rng.IntN(len(w.hosts))])
	}
}

// wipeAllowed allows a disk to be wiped only 6 s after the last one, which leaves time for a membership repair; otherwise
// a majority of the disks could be lost.
func (w *world) wipeAllowed() bool {
	return w.now-w.wipedAt > 6000
}

// wipe replaces a keeper's disk by an empty one, which has a new incarnation.
func (w *world) wipe(h *keeperHost) {
	w.wipedAt = w.now
	if !w.bugs.reuseIncarnation {
		h.incarnation++
	}
	h.disk = keeperDisk{}
}

// deliver passes the packets that are due to their receivers, unless the link is cut or the receiver is down.
func (w *world) deliver() {
	var later []packet
	due := w.packets
	w.packets = nil
	for _, p := range due {
		if p.at > w.now {
			later = append(later, p)
			continue
		}
		for _, h := range w.hosts {
			if h.node != nil && h.member == p.message.To && w.cutUntil[link{p.message.From.Host(), h.host}] < w.now {
				h.node.Step(w.now+h.skew, p.message)
				w.processOutput(h)
			}
		}
	}
	w.packets = append(w.packets, later...)
}

// sendMessages queues messages with random loss, duplication and delay.
func (w *world) sendMessages(messages []quorum.Message) {
	for _, m := range messages {
		copies := 1
		if w.rng.IntN(100) < w.schedule.Drop {
			copies = 0
		}
		if w.rng.IntN(100) < w.schedule.Duplicate {
			copies++
		}
		for range copies {
			delay := core.Millis(w.rng.Int64N(int64(w.schedule.MaxDelay)))
			if w.slowLinks[link{m.From.Host(), m.To.Host()}] {
				delay = w.schedule.SlowDelay
			}
			w.packets = append(w.packets, packet{at: w.now + delay, message: m})
		}
	}
}

// processOutput carries out a node's output as the product does: it saves, sends and applies. The keeper may crash before
// a save.
func (w *world) processOutput(h *keeperHost) {
	for {
		out := h.node.TakeOutput()
		if out.Empty() {
			break
		}
		if w.chance(w.schedule.Crash/4) && len(out.Entries) > 0 {
			w.crash(h)
			return
		}
		w.saveOutput(h, out)
		w.sendMessages(out.Messages)
		w.applyEntries(h, out.Committed)
		w.finishReads(h, out.Reads)
	}
	w.checkNode(h)
	w.compact(h)
}

// saveOutput writes the output to the disk, except for what an injected bug omits.
func (w *world) saveOutput(h *keeperHost, out quorum.Output) {
	if out.HardState != nil && !w.bugs.skipVoteSync {
		h.disk.hard = *out.HardState
	}
	if out.Snapshot != nil {
		h.disk.snap = *out.Snapshot
		h.disk.entries = nil
		h.machine = restore(out.Snapshot.Data)
	}
	if w.bugs.skipEntrySync && w.rng.IntN(2) == 0 {
		return
	}
	for _, e := range out.Entries {
		h.disk.entries = slices.DeleteFunc(h.disk.entries, func(old quorum.Entry) bool { return old.Index >= e.Index })
		h.disk.entries = append(h.disk.entries, e)
	}
}

// applyEntries applies committed entries to the state machine and checks that every host commits the same entry at an
// index.
func (w *world) applyEntries(h *keeperHost, entries []quorum.Entry) {
	for _, e := range entries {
		sum := xxhash.Sum64(e.Data) ^ e.Term<<48
		if known, ok := w.committed[e.Index]; ok && known != sum {
			w.violation = fmt.Sprintf("entry %d was committed with two different contents", e.Index)
		}
		w.committed[e.Index] = sum
		if e.Kind != quorum.CommandEntry || len(e.Data) == 0 {
			continue
		}
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			w.violation = err.Error()
			return
		}
		reply := h.machine.Apply(e.Index, c)
		w.checkImage(h.machine.Image())
		w.answerClient(c, reply, h)
	}
}

// compact takes a snapshot after every 40 applied entries.
func (w *world) compact(h *keeperHost) {
	if h.node == nil || h.machine.Applied() < h.disk.snap.Index+40 {
		return
	}
	data, err := h.machine.Snapshot()
	if err != nil {
		w.violation = err.Error()
		return
	}
	h.disk.snap = h.node.Compact(h.machine.Applied(), data)
	h.disk.entries = h.node.EntriesAfter(h.disk.snap.Index)
}

// checkNode checks that a term has one leader and that no two leaders hold a lease at the same time.
func (w *world) checkNode(h *keeperHost) {
	if h.node.Role() != quorum.Leader {
		return
	}
	if other, ok := w.leaders[h.node.Term()]; ok && other != h.member {
		w.violation = fmt.Sprintf("term %d has leaders %s and %s", h.node.Term(), other, h.member)
	}
	w.leaders[h.node.Term()] = h.member
	if w.clockJumped {
		return
	}
	for _, o := range w.hosts {
		if o != h && o.node != nil && o.node.Role() == quorum.Leader && o.node.LeaseExpiry() > w.now && h.node.LeaseExpiry() > w.now {
			w.violation = fmt.Sprintf("%s and %s hold a leader lease at the same time", h.member, o.member)
		}
	}
}

// checkImage checks that every image with the same revision has the same content.
func (w *world) checkImage(i state.Image) {
	h := xxhash.New()
	for _, d := range i.Deltas() {
		_, _ = h.WriteString(d.Key)
		_, _ = h.Write(d.Value)
	}
	if known, ok := w.images[i.Revision]; ok && known != h.Sum64() {
		w.violation = fmt.Sprintf("revision %d has two different contents", i.Revision)
	}
	w.images[i.Revision] = h.Sum64()
}

// updateFollower updates the follower, a host without a disk, from a leader's published changes.
func (w *world) updateFollower(h *keeperHost) {
	if !h.node.Ready() || h.machine.Image().Revision < w.follower.Revision {
		return
	}
	deltas, kept := h.machine.DeltasSince(w.follower.Revision)
	base := w.follower
	if !kept {
		base, deltas = state.EmptyImage(), h.machine.Image().Deltas()
	}
	next, err := base.With(deltas)
	if err != nil {
		w.violation = err.Error()
		return
	}
	if next.Revision < w.follower.Revision {
		w.violation = "the follower's revision decreased"
	}
	w.follower = next
	w.checkImage(next)
}

// repairMembership has a leader make the next due membership change, with the product's repair logic.
func (w *world) repairMembership(h *keeperHost) {
	v := repair.View{
		Now: w.now + h.skew, Leader: h.member, Config: h.node.Config(), Target: w.schedule.Nodes,
		Patience: repair.Patience(catchUp, w.settings().ElectionTimeout), Commit: h.node.Commit(),
	}
	for _, m := range v.Config.Members() {
		v.Members = append(v.Members, repair.MemberState{Member: m, LastReply: h.node.LastReply(m), Match: h.node.MatchIndex(m)})
	}
	for _, o := range w.hosts {
		if o.node != nil {
			v.Disks = append(v.Disks, repair.Disk{Member: o.member, FailureDomain: core.FailureDomain(o.host), LastSeen: v.Now})
		}
	}
	if w.bugs.replaceLate {
		v.Patience = 10 * core.Second
	}
	if change, due := repair.Next(v); due {
		// An error means that the change is not possible yet; the next call tries again.
		_ = h.node.ChangeConfig(change.Config)
		w.processOutput(h)
	}
}

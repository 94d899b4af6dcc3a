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

// schedule gives the chances, in thousandths a step unless a percentage of messages, of what goes wrong.
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
	// SlowLinks is the percentage of one-way links on which messages take SlowDelay.
	SlowLinks int
	SlowDelay core.Millis
	// LeaderCrash is the chance of a crash for a leader that has not committed in its term.
	LeaderCrash int
}

// faults are deliberate errors of the shell or the node that the checks must catch.
type faults struct {
	forgetVote     bool
	forgetEntries  bool
	commitOldTerms bool
	sameMember     bool
	longLease      bool
	forgetOpID     bool
	readAnywhere   bool
}

// keeperDisk is what a keeper finds after a crash.
type keeperDisk struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

type keeperHost struct {
	host    core.HostID
	member  quorum.Member
	life    core.Incarnation
	node    *quorum.Node
	machine *state.Machine
	disk    keeperDisk
	skew    core.Millis
	downTo  core.Millis
	reads   map[uint64]*operation
}

type packet struct {
	at      core.Millis
	message quorum.Message
}

type link struct{ from, to core.HostID }

// world runs keepers over a faulty network in virtual time and checks them after every event.
type world struct {
	schedule schedule
	faults   faults
	rng      *rand.Rand
	now      core.Millis
	hosts    []*keeperHost
	packets  []packet
	cuts     map[link]core.Millis
	slow     map[link]bool
	jumped   bool
	wipedAt  core.Millis

	leaders   map[uint64]quorum.Member
	committed map[uint64]uint64
	images    map[uint64]uint64
	follower  state.Image
	clients   []*client
	history   []*operation
	waiting   map[string]*operation
	readID    uint64
	fault     string
}

const stepMillis = 10

func newWorld(s schedule, f faults, seed uint64) *world {
	w := &world{
		schedule: s, faults: f, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000, cuts: map[link]core.Millis{}, slow: map[link]bool{},
		leaders: map[uint64]quorum.Member{}, committed: map[uint64]uint64{}, images: map[uint64]uint64{},
		follower: state.EmptyImage(), waiting: map[string]*operation{},
	}
	config := quorum.Config{}
	for i := range s.Nodes {
		config.Voters = append(config.Voters, quorum.NewMember(hostName(i), 1))
	}
	base := quorum.Snapshot{Index: 1, Term: 1, Config: config}
	for i := range s.Nodes {
		h := &keeperHost{host: hostName(i), life: 1, disk: keeperDisk{hard: quorum.HardState{Term: 1}, snap: base}}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			w.slow[link{a.host, b.host}] = w.rng.IntN(100) < s.SlowLinks
		}
	}
	for i := range 3 {
		w.clients = append(w.clients, &client{name: fmt.Sprintf("client-%d", i)})
	}
	return w
}

func hostName(i int) core.HostID { return core.HostID(fmt.Sprintf("k%d", i)) }

func (w *world) boot(h *keeperHost) {
	s := quorum.Defaults()
	s.MaxBatch, s.PieceBytes = 8, 256
	if w.schedule.MaxBatch > 0 {
		s.MaxBatch = w.schedule.MaxBatch
	}
	if w.faults.longLease {
		s.LeasePercent = 600
	}
	h.member = quorum.NewMember(h.host, h.life)
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
	h.node = quorum.New(w.now+h.skew, h.member, s, h.disk.hard, h.disk.snap, slices.Clone(h.disk.entries), rng)
	if w.faults.commitOldTerms {
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

// run returns the first broken rule, or an empty text.
func (w *world) run() string {
	for range w.schedule.Steps {
		w.now += stepMillis
		w.disturb()
		w.deliver()
		for _, h := range w.hosts {
			if h.node != nil {
				h.node.Tick(w.now + h.skew)
				w.process(h)
			} else if w.now >= h.downTo {
				w.boot(h)
			}
		}
		w.act()
		if w.fault != "" {
			return w.fault
		}
	}
	return w.checkHistory()
}

func (w *world) chance(perMille int) bool { return w.rng.IntN(1000) < perMille }

func (w *world) disturb() {
	if w.chance(w.schedule.Cut) {
		w.cutSomething()
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
	if w.chance(w.schedule.Wipe) && w.mayWipe() {
		w.crash(h)
		w.wipe(h)
	}
	if w.chance(w.schedule.Jump) {
		h.skew += core.Millis(w.rng.IntN(4000))
		w.jumped = true
	}
}

// cutSomething cuts a random set of links for a while, one-way or two-way.
func (w *world) cutSomething() {
	until := w.now + core.Millis(200+w.rng.IntN(4000))
	oneWay := w.rng.IntN(2) == 0
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a == b || w.rng.IntN(3) > 0 {
				continue
			}
			w.cuts[link{a.host, b.host}] = until
			if !oneWay {
				w.cuts[link{b.host, a.host}] = until
			}
		}
	}
}

func (w *world) crash(h *keeperHost) {
	h.node = nil
	h.downTo = w.now + core.Millis(50+w.rng.IntN(1500))
}

// mayWipe keeps lost disks a repair apart, so that a majority of disks survives.
func (w *world) mayWipe() bool {
	return w.now-w.wipedAt > 6000
}

func (w *world) wipe(h *keeperHost) {
	w.wipedAt = w.now
	if !w.faults.sameMember {
		h.life++
	}
	h.disk = keeperDisk{}
}

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
			if h.node != nil && h.member == p.message.To && w.cuts[link{p.message.From.Host(), h.host}] < w.now {
				h.node.Step(w.now+h.skew, p.message)
				w.process(h)
			}
		}
	}
	w.packets = append(w.packets, later...)
}

func (w *world) post(messages []quorum.Message) {
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
			if w.slow[link{m.From.Host(), m.To.Host()}] {
				delay = w.schedule.SlowDelay
			}
			w.packets = append(w.packets, packet{at: w.now + delay, message: m})
		}
	}
}

// process is the shell: it saves, sends and applies; a crash may come before the save.
func (w *world) process(h *keeperHost) {
	for {
		out := h.node.Take()
		if out.Empty() {
			break
		}
		if w.chance(w.schedule.Crash/4) && len(out.Entries) > 0 {
			w.crash(h)
			return
		}
		w.save(h, out)
		w.post(out.Messages)
		w.apply(h, out.Committed)
		w.finishReads(h, out.Reads)
	}
	w.checkNode(h)
	w.compact(h)
}

func (w *world) save(h *keeperHost, out quorum.Output) {
	if out.HardState != nil && !w.faults.forgetVote {
		h.disk.hard = *out.HardState
	}
	if out.Snapshot != nil {
		h.disk.snap = *out.Snapshot
		h.disk.entries = nil
		h.machine = restore(out.Snapshot.Data)
	}
	if w.faults.forgetEntries && w.rng.IntN(2) == 0 {
		return
	}
	for _, e := range out.Entries {
		h.disk.entries = slices.DeleteFunc(h.disk.entries, func(old quorum.Entry) bool { return old.Index >= e.Index })
		h.disk.entries = append(h.disk.entries, e)
	}
}

func (w *world) apply(h *keeperHost, entries []quorum.Entry) {
	for _, e := range entries {
		sum := xxhash.Sum64(e.Data) ^ e.Term<<48
		if known, ok := w.committed[e.Index]; ok && known != sum {
			w.fault = fmt.Sprintf("entry %d was committed with two contents", e.Index)
		}
		w.committed[e.Index] = sum
		if e.Kind != quorum.Normal || len(e.Data) == 0 {
			continue
		}
		c, err := state.DecodeCommand(e.Data)
		if err != nil {
			w.fault = err.Error()
			return
		}
		reply := h.machine.Apply(e.Index, c)
		w.checkImage(h.machine.Image())
		w.answer(c, reply, h)
	}
}

func (w *world) compact(h *keeperHost) {
	if h.node == nil || h.machine.Applied() < h.disk.snap.Index+40 {
		return
	}
	data, err := h.machine.Snapshot()
	if err != nil {
		w.fault = err.Error()
		return
	}
	h.disk.snap = h.node.Compact(h.machine.Applied(), data)
	h.disk.entries = h.node.EntriesAfter(h.disk.snap.Index)
}

func (w *world) checkNode(h *keeperHost) {
	if h.node.Role() != quorum.Leader {
		return
	}
	if other, ok := w.leaders[h.node.Term()]; ok && other != h.member {
		w.fault = fmt.Sprintf("term %d has leaders %s and %s", h.node.Term(), other, h.member)
	}
	w.leaders[h.node.Term()] = h.member
	if w.jumped {
		return
	}
	for _, o := range w.hosts {
		if o != h && o.node != nil && o.node.Role() == quorum.Leader && o.node.Lease() > w.now && h.node.Lease() > w.now {
			w.fault = fmt.Sprintf("%s and %s hold the leader's lease at once", h.member, o.member)
		}
	}
}

// checkImage holds that a revision means the same everywhere.
func (w *world) checkImage(i state.Image) {
	h := xxhash.New()
	for _, d := range i.Deltas() {
		_, _ = h.WriteString(d.Key)
		_, _ = h.Write(d.Value)
	}
	if known, ok := w.images[i.Revision]; ok && known != h.Sum64() {
		w.fault = fmt.Sprintf("revision %d has two contents", i.Revision)
	}
	w.images[i.Revision] = h.Sum64()
}

// follow lets the follower take published changes from a leader, as a host without a disk does.
func (w *world) follow(h *keeperHost) {
	if !h.node.Ready() || h.machine.Image().Revision < w.follower.Revision {
		return
	}
	deltas, kept := h.machine.Since(w.follower.Revision)
	base := w.follower
	if !kept {
		base, deltas = state.EmptyImage(), h.machine.Image().Deltas()
	}
	next, err := base.With(deltas)
	if err != nil {
		w.fault = err.Error()
		return
	}
	if next.Revision < w.follower.Revision {
		w.fault = "the follower's revision fell"
	}
	w.follower = next
	w.checkImage(next)
}

// repair lets a leader mend the membership as the product does.
func (w *world) repair(h *keeperHost) {
	v := repair.View{
		Now: w.now + h.skew, Leader: h.member, Config: h.node.Config(), Target: w.schedule.Nodes,
		Patience: 3000, Commit: h.node.Commit(),
	}
	for _, m := range v.Config.Members() {
		v.Members = append(v.Members, repair.State{Member: m, Heard: h.node.Heard(m), Match: h.node.Match(m)})
	}
	for _, o := range w.hosts {
		if o.node != nil {
			v.Disks = append(v.Disks, repair.Disk{Member: o.member, FailureDomain: core.FailureDomain(o.host)})
		}
	}
	if change, due := repair.Next(v); due {
		_ = h.node.ChangeConfig(change.Config)
		w.process(h)
	}
}

package state

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/origin"
	"cyclamenford/core/poison"
)

const (
	// MaxOpReplies is the number of operators' changes whose replies are kept, so that a resent change gets its first
	// reply.
	MaxOpReplies = 10_000
	// maxVersions is the number of versions retained per subtree, including the present one.
	maxVersions = 100
	// maxDeltas is the maximum number of deltas retained for followers. A follower further behind gets the whole image.
	maxDeltas = 4096
)

// Machine is the state machine of the control state. It is deterministic: the same commands in the same order give the
// same state on every keeper.
type Machine struct {
	// applied is the log index of the last command applied, and unix the latest time of the commands so far.
	applied uint64
	unix    core.Millis
	image   Image
	deltas  []Delta
	history map[string][]Subtree
	// opReplies holds the replies to operators' changes by OpID; opOrder lists the IDs, oldest first.
	opReplies  map[string]Reply
	opOrder    []string
	callLedger *ledger.Ledger
	quarantine *poison.Quarantine
	parts      *poison.Parts
	origins    *origin.Book
	orders     map[uint64]Order
}

// New returns a machine with empty state.
func New() *Machine {
	return &Machine{
		image: EmptyImage(), history: map[string][]Subtree{}, opReplies: map[string]Reply{},
		callLedger: ledger.New(), quarantine: poison.New(), parts: poison.NewParts(), origins: origin.New(), orders: map[uint64]Order{},
	}
}

// Applied returns the log index of the last command applied.
func (m *Machine) Applied() uint64 {
	return m.applied
}

// Image returns the current published image.
func (m *Machine) Image() Image {
	return m.image
}

// DeltasSince returns the deltas after a revision, or false if some of them are no longer retained.
func (m *Machine) DeltasSince(revision uint64) ([]Delta, bool) {
	if revision >= m.image.Revision {
		return nil, true
	}
	i, _ := slices.BinarySearchFunc(m.deltas, revision+1, func(d Delta, r uint64) int {
		return int(int64(d.Revision) - int64(r))
	})
	if i == len(m.deltas) || m.deltas[i].Revision != revision+1 {
		return nil, false
	}
	return m.deltas[i:], true
}

// History returns the retained versions of a subtree including the present one, oldest first.
func (m *Machine) History(path string) []Subtree {
	return slices.Clone(m.history[path])
}

// LedgerEntry returns the ledger's entry of a non-repeatable call.
func (m *Machine) LedgerEntry(k ledger.Key) (ledger.Entry, bool) {
	return m.callLedger.Get(k)
}

// LedgerLen returns the number of non-repeatable calls in the ledger.
func (m *Machine) LedgerLen() int {
	return m.callLedger.Len()
}

// Apply applies the command at a log index and returns the reply for its proposer. A change whose OpID was applied before
// gets the earlier reply and has no effect.
func (m *Machine) Apply(index uint64, c Command) Reply {
	m.applied = index
	m.unix = max(m.unix, c.Unix)
	if c.OpID != "" {
		if earlier, ok := m.opReplies[c.OpID]; ok {
			return earlier
		}
	}
	reply := m.dispatch(c)
	if reply.Revision == 0 {
		reply.Revision = m.image.Revision
	}
	if c.OpID != "" {
		m.recordReply(c.OpID, reply)
	}
	return reply
}

// dispatch calls the handler of the part that is set.
func (m *Machine) dispatch(c Command) Reply {
	switch {
	case c.SetSettings != nil:
		return m.setSettings(*c.SetSettings)
	case c.JoinHost != nil:
		return m.joinHost(c.JoinHost.Host)
	case c.ExpireHost != nil:
		return m.expireHost(c.ExpireHost.Holder)
	case c.Drain != nil:
		return m.drain(*c.Drain)
	case c.Reserve != nil:
		return m.reserve(*c.Reserve)
	case c.Finish != nil:
		return acceptedIf(m.callLedger.Finish(c.Finish.Key, c.Finish.Holder, c.Finish.Answer))
	case c.Release != nil:
		return acceptedIf(m.callLedger.Release(c.Release.Key, c.Release.Holder))
	case c.Resolve != nil:
		return acceptedIf(m.callLedger.Resolve(c.Resolve.Key, c.Resolve.Answer))
	case c.Suspect != nil:
		return m.suspect(*c.Suspect)
	case c.PartCrashes != nil:
		return m.countPartCrashes(*c.PartCrashes)
	case c.PartTrial != nil:
		return m.partTrial(*c.PartTrial)
	case c.ClearParts != nil:
		if !m.parts.Clear(c.ClearParts.Parts) {
			return Reply{Result: Refused, Detail: "no crash of these parts is on record"}
		}
		return m.publishParts(Reply{Result: Accepted})
	case c.BeginTrial != nil:
		return m.beginTrial(*c.BeginTrial)
	case c.EndTrial != nil:
		return m.endTrial(*c.EndTrial)
	case c.Pardon != nil:
		return m.pardon(c.Pardon.Content)
	case c.PlaceOrder != nil:
		return m.placeOrder(*c.PlaceOrder)
	case c.FinishOrder != nil:
		return m.finishOrder(*c.FinishOrder)
	case c.ReplaceConfig != nil:
		return m.replaceConfig(*c.ReplaceConfig)
	case c.AddVersion != nil:
		m.origins.AddVersion(m.unix, c.AddVersion.Service, c.AddVersion.Version)
		return Reply{Result: Accepted}
	case c.SettleVersion != nil:
		return m.settleVersion(*c.SettleVersion)
	case c.BeginStreams != nil:
		return m.beginStreams(*c.BeginStreams)
	case c.RetireEndpoint != nil:
		return m.retireEndpoint(*c.RetireEndpoint)
	case c.SetEvacuation != nil:
		return m.setEvacuation(*c.SetEvacuation)
	case c.PurgeExpired != nil:
		m.callLedger.Purge(m.unix)
		m.quarantine.Purge(m.unix)
		m.parts.Purge(m.unix)
		m.purgeOrders()
		return m.publishParts(m.publishSuspects(m.purgeEvacuations()))
	}
	return Reply{Result: Refused, Detail: "the command has no part that this version knows"}
}

// acceptedIf returns an Accepted or Refused reply.
func acceptedIf(ok bool) Reply {
	if ok {
		return Reply{Result: Accepted}
	}
	return Reply{Result: Refused}
}

// recordReply stores the reply to an operator's change and discards the oldest one beyond the maximum.
func (m *Machine) recordReply(id string, r Reply) {
	m.opReplies[id] = r
	m.opOrder = append(m.opOrder, id)
	if len(m.opOrder) > MaxOpReplies {
		delete(m.opReplies, m.opOrder[0])
		m.opOrder = m.opOrder[1:]
	}
}

// change sets a key of the image to a new value; nil deletes the key.
type change struct {
	key   string
	value any
}

// publish applies one change to the image and appends its delta for followers.
func (m *Machine) publish(key string, value any) error {
	return m.publishAll([]change{{key: key, value: value}})
}

// publishAll publishes several changes together, since each call copies the image.
func (m *Machine) publishAll(changes []change) error {
	if len(changes) == 0 {
		return nil
	}
	list := make([]Delta, 0, len(changes))
	for i, c := range changes {
		d := Delta{Revision: m.image.Revision + 1 + uint64(i), Key: c.key}
		if c.value != nil {
			raw, err := cbor.Marshal(c.value)
			if err != nil {
				return fmt.Errorf("encode %s: %w", c.key, err)
			}
			d.Value = raw
		}
		list = append(list, d)
	}
	next, err := m.image.With(list)
	if err != nil {
		return err
	}
	m.image = next
	m.deltas = append(m.deltas, list...)
	if len(m.deltas) > maxDeltas {
		m.deltas = slices.Clone(m.deltas[len(m.deltas)-maxDeltas/2:])
	}
	return nil
}

// setSettings replaces a subtree if its version matches and the resulting tree is valid.
func (m *Machine) setSettings(c SetSettings) Reply {
	current, _ := m.image.Subtree(c.Path)
	if m.lastVersion(c.Path) != c.Version {
		return Reply{Result: Conflict, Version: m.lastVersion(c.Path), Detail: fmt.Sprintf(
			"%s: found version %d, expected %d", c.Path, m.lastVersion(c.Path), c.Version)}
	}
	next, err := m.image.Tree.With(c.Path, c.Doc)
	if err == nil {
		err = next.Check()
	}
	if err != nil {
		return Reply{Result: Invalid, Version: current.Version, Detail: err.Error()}
	}
	s := Subtree{Version: c.Version + 1, Revision: m.image.Revision + 1, Doc: c.Doc, Author: c.Author, Unix: m.unix}
	if len(c.Doc) == 0 {
		err = m.publish(settingsPrefix+c.Path, nil)
	} else {
		err = m.publish(settingsPrefix+c.Path, s)
	}
	if err != nil {
		return Reply{Result: Invalid, Detail: err.Error()}
	}
	m.addHistory(c.Path, s)
	return Reply{Result: Accepted, Version: s.Version}
}

// lastVersion returns the last version of a subtree, also after its removal, so that versions do not restart at 0.
func (m *Machine) lastVersion(path string) uint64 {
	h := m.history[path]
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

func (m *Machine) addHistory(path string, s Subtree) {
	h := append(m.history[path], s)
	if len(h) > maxVersions {
		h = slices.Clone(h[len(h)-maxVersions:])
	}
	m.history[path] = h
}

// joinHost publishes a host and, if its incarnation is new, marks the calls reserved by earlier incarnations as lost. It
// refuses an incarnation older than the known one.
func (m *Machine) joinHost(h Host) Reply {
	known, ok := m.image.Hosts[h.ID]
	if ok && known.Incarnation > h.Incarnation {
		return Reply{Result: Refused, Version: uint64(known.Incarnation), Detail: "a later life of the host has joined"}
	}
	if ok && known == h {
		return Reply{Result: Accepted}
	}
	lost := 0
	if ok && known.Incarnation < h.Incarnation {
		lost = m.callLedger.MarkHostLost(h.ID, h.Incarnation-1)
	}
	h.Expired = false
	if err := m.publish(hostPrefix+string(h.ID), h); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted, Lost: lost}
}

// expireHost marks a host as expired and its reserved calls as lost, unless the incarnation is not the present one.
func (m *Machine) expireHost(holder ledger.Holder) Reply {
	h, ok := m.image.Hosts[holder.Host]
	if !ok || h.Incarnation != holder.Incarnation || h.Expired {
		return Reply{Result: Refused}
	}
	h.Expired = true
	if err := m.publish(hostPrefix+string(h.ID), h); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted, Lost: m.callLedger.MarkHostLost(h.ID, h.Incarnation)}
}

func (m *Machine) drain(c Drain) Reply {
	var value any
	if c.On {
		value = true
	}
	if m.image.Drained[c.Endpoint] == c.On {
		return Reply{Result: Accepted}
	}
	if err := m.publish(drainPrefix+string(c.Endpoint), value); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return Reply{Result: Accepted}
}

// reserve reserves a call in the ledger. An attempt of a host that has expired or restarted since is refused.
func (m *Machine) reserve(c Reserve) Reply {
	if h, ok := m.image.Hosts[c.Holder.Host]; !ok || h.Incarnation != c.Holder.Incarnation || h.Expired {
		return Reply{Result: Refused, Detail: "the host's life has ended"}
	}
	verdict, e := m.callLedger.Reserve(m.unix, c.Key, c.IssuedAt, c.BodyHash, c.Holder)
	return Reply{Result: Accepted, Verdict: verdict, Entry: &e}
}

func poisonKey(c poison.Content) string {
	return poisonPrefix + c.String()
}

func (m *Machine) suspect(c Suspect) Reply {
	reply := Reply{Result: Accepted}
	for i, content := range c.Contents {
		e := m.quarantine.RecordCrash(m.unix, poison.Crash{
			Content: content, Organisation: c.Organisation[i],
			Life: core.Life{Endpoint: c.Endpoint, Incarnation: c.Incarnation}, SuspectAfter: c.Patience, Alone: c.Alone,
		})
		reply.Suspect = append(reply.Suspect, e)
	}
	return m.publishSuspects(reply)
}

func (m *Machine) beginTrial(c BeginTrial) Reply {
	reply := Reply{Result: Refused}
	if m.quarantine.BeginTrial(m.unix, c.Content, c.Endpoint, c.Most) {
		reply.Result = Accepted
	}
	reply.Suspect = []poison.Entry{m.quarantine.Get(c.Content)}
	return m.publishSuspects(reply)
}

func (m *Machine) endTrial(c EndTrial) Reply {
	m.quarantine.EndTrial(c.Content, c.Endpoint, c.Well)
	return m.publishSuspects(Reply{Result: Accepted, Suspect: []poison.Entry{m.quarantine.Get(c.Content)}})
}

func (m *Machine) pardon(c poison.Content) Reply {
	if m.parts.Clear([]poison.Content{c}) {
		return m.publishParts(Reply{Result: Accepted})
	}
	if !m.quarantine.Release(c) {
		return Reply{Result: Refused, Detail: "the request is not in quarantine"}
	}
	return m.publishSuspects(Reply{Result: Accepted, Suspect: []poison.Entry{m.quarantine.Get(c)}})
}

// publishSuspects publishes the quarantine entries that changed and that hosts need, removes those that they need no
// longer, and returns the reply.
func (m *Machine) publishSuspects(reply Reply) Reply {
	var changes []change
	for _, c := range m.quarantine.TakeChanges() {
		e := m.quarantine.Get(c)
		_, known := m.image.Poison[c]
		switch {
		case e.Published():
			changes = append(changes, change{key: poisonKey(c), value: e})
		case known:
			changes = append(changes, change{key: poisonKey(c)})
		}
	}
	if err := m.publishAll(changes); err != nil {
		return Reply{Result: Refused, Detail: err.Error()}
	}
	return reply
}

func sortedKeys[K interface{ ~uint64 | ~string }, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

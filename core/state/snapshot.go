package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/origin"
	"cyclamenford/core/poison"
)

// formatVersion is the version of the snapshot encoding; Restore accepts no other.
const formatVersion = 1

// pathHistory holds the retained versions of one subtree.
type pathHistory struct {
	Path     string
	Versions []Subtree
}

// opReply is the stored reply to an operator's change.
type opReply struct {
	ID    string
	Reply Reply
}

// snapshot is the encoded form of the whole state.
type snapshot struct {
	Format   int
	Applied  uint64
	Unix     core.Millis
	Revision uint64
	Image    []Delta
	Deltas   []Delta
	History  []pathHistory
	Ops      []opReply
	Calls    []ledger.Record
	Suspects []poison.Entry
	Parts    []poison.PartEntry
	Orders   []Order
	Versions []origin.Service `cbor:",omitempty"`
	Streams  []origin.Record  `cbor:",omitempty"`
}

// Snapshot returns the whole state as CBOR. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{
		Format: formatVersion, Applied: m.applied, Unix: m.unix, Revision: m.image.Revision,
		Image: m.image.Deltas(), Deltas: m.deltas, Calls: m.callLedger.Records(),
		Suspects: m.quarantine.Entries(), Parts: m.parts.Entries(), Orders: m.Orders(),
		Versions: m.origins.Services(), Streams: m.origins.Records(),
	}
	for _, path := range sortedKeys(m.history) {
		s.History = append(s.History, pathHistory{Path: path, Versions: m.history[path]})
	}
	for _, id := range m.opOrder {
		s.Ops = append(s.Ops, opReply{ID: id, Reply: m.opReplies[id]})
	}
	raw, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return raw, nil
}

// Restore returns a machine with the state of a snapshot.
func Restore(raw []byte) (*Machine, error) {
	var s snapshot
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Format != formatVersion {
		return nil, core.NewFieldError("snapshot Format", s.Format, formatVersion)
	}
	m := New()
	image, err := EmptyImage().With(s.Image)
	if err != nil {
		return nil, fmt.Errorf("restore image: %w", err)
	}
	image.Revision = s.Revision
	m.image = image
	m.applied, m.unix, m.deltas = s.Applied, s.Unix, s.Deltas
	for _, h := range s.History {
		m.history[h.Path] = h.Versions
	}
	for _, o := range s.Ops {
		m.recordReply(o.ID, o.Reply)
	}
	m.callLedger = ledger.Restore(s.Calls)
	m.quarantine = poison.Restore(s.Suspects)
	m.parts = poison.RestoreParts(s.Parts)
	m.origins = origin.Restore(s.Versions, s.Streams)
	for _, o := range s.Orders {
		m.orders[o.Fence] = o
	}
	return m, nil
}

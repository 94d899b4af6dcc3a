package quorum

import "slices"

// log holds the entries after the last snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
	// configs lists the positions of configurations, oldest first, starting with the snapshot's.
	configs []configAt
	// base is the position before the first entry; it may lie before the snapshot.
	baseIndex, baseTerm uint64
}

type configAt struct {
	index  uint64
	config Config
}

func newLog(s Snapshot, entries []Entry) *log {
	l := &log{
		snapshot: s, baseIndex: s.Index, baseTerm: s.Term,
		configs: []configAt{{index: s.Index, config: s.Config}},
	}
	for _, e := range entries {
		if e.Index > s.Index {
			l.push(e)
		}
	}
	return l
}

func (l *log) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == Configure && e.Config != nil {
		l.configs = append(l.configs, configAt{index: e.Index, config: *e.Config})
	}
}

func (l *log) config() Config {
	return l.configs[len(l.configs)-1].config
}

func (l *log) configIndex() uint64 {
	return l.configs[len(l.configs)-1].index
}

// configUpTo returns the configuration in force at an index.
func (l *log) configUpTo(index uint64) Config {
	for _, c := range slices.Backward(l.configs) {
		if c.index <= index {
			return c.config
		}
	}
	return l.configs[0].config
}

func (l *log) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at an index, or false outside the kept part.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns at most limit entries from an index on.
func (l *log) slice(from uint64, limit int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.baseIndex-1:]
	return slices.Clone(rest[:min(limit, len(rest))])
}

// truncate drops the entries from an index on.
func (l *log) truncate(from uint64) {
	l.entries = l.entries[:from-l.baseIndex-1]
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= from {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// compact adopts a snapshot and keeps at most the given number of entries before it.
func (l *log) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	first := uint64(0)
	if s.Index > keep {
		first = s.Index - keep
	}
	if first > l.baseIndex {
		term, _ := l.term(first)
		l.entries = slices.Clone(l.entries[first-l.baseIndex:])
		l.baseIndex, l.baseTerm = first, term
	}
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
}

// upToDate reports whether a candidate's last position is at least as new.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

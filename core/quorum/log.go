package quorum

import "slices"

// log holds the last snapshot, the entries after it and some of the entries before it.
type log struct {
	snapshot Snapshot
	entries  []Entry
	// sizes holds, for each entry, the bytes of data in it and in all entries pushed before it. baseSize is that sum before the first entry.
	sizes    []int
	baseSize int
	// configs lists the configurations in the log, oldest first, starting with the snapshot's.
	configs []indexedConfig
	// baseIndex and baseTerm are the position before the first entry, which may be older than the snapshot.
	baseIndex, baseTerm uint64
}

// indexedConfig is a configuration and the index of the entry that set it.
type indexedConfig struct {
	index  uint64
	config Config
}

// newLog returns a log with a snapshot and the given entries, without those that the snapshot covers.
func newLog(s Snapshot, entries []Entry) *log {
	l := &log{
		snapshot: s, baseIndex: s.Index, baseTerm: s.Term,
		configs: []indexedConfig{{index: s.Index, config: s.Config}},
	}
	for _, e := range entries {
		if e.Index > s.Index {
			l.push(e)
		}
	}
	return l
}

// push appends an entry and records its configuration, if it has one.
func (l *log) push(e Entry) {
	l.sizes = append(l.sizes, l.sizeUpTo(l.lastIndex())+len(e.Data))
	l.entries = append(l.entries, e)
	if e.Kind == ConfigEntry && e.Config != nil {
		l.configs = append(l.configs, indexedConfig{index: e.Index, config: *e.Config})
	}
}

// config returns the newest configuration, committed or not.
func (l *log) config() Config {
	return l.configs[len(l.configs)-1].config
}

// configIndex returns the index of the entry that set the newest configuration.
func (l *log) configIndex() uint64 {
	return l.configs[len(l.configs)-1].index
}

// configAsOf returns the newest configuration at or before an index.
func (l *log) configAsOf(index uint64) Config {
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

// term returns the term of the entry at an index, or false if the log does not hold the index.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesFrom returns at most limit entries, starting at the given index.
func (l *log) entriesFrom(from uint64, limit int) []Entry {
	if from <= l.baseIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.baseIndex-1:]
	return slices.Clone(rest[:min(limit, len(rest))])
}

// countWithin returns how many entries, starting at the given index, have at most maxBytes of data together.
func (l *log) countWithin(from uint64, maxBytes int) int {
	if from <= l.baseIndex || from > l.lastIndex() {
		return 0
	}
	rest := l.sizes[from-l.baseIndex-1:]
	count, _ := slices.BinarySearch(rest, l.sizeUpTo(from-1)+maxBytes+1)
	return count
}

// sizeUpTo returns the bytes of data in all entries up to an index, those that are no longer in the log included.
func (l *log) sizeUpTo(index uint64) int {
	if index <= l.baseIndex || len(l.sizes) == 0 {
		return l.baseSize
	}
	return l.sizes[min(index, l.lastIndex())-l.baseIndex-1]
}

// truncate removes the entry at an index and all later ones.
func (l *log) truncate(from uint64) {
	// Clears the entries that are cut off, which hold their data otherwise.
	clear(l.entries[from-l.baseIndex-1:])
	l.entries = l.entries[:from-l.baseIndex-1]
	l.sizes = l.sizes[:from-l.baseIndex-1]
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= from {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// compact replaces the snapshot by a newer one and retains at most the given number and bytes of the entries that it covers.
func (l *log) compact(s Snapshot, retained, retainedBytes int) {
	l.snapshot = s
	first := l.baseIndex
	if s.Index > uint64(retained) {
		first = max(first, s.Index-uint64(retained))
	}
	for first < s.Index && l.sizeUpTo(s.Index)-l.sizeUpTo(first) > retainedBytes {
		first++
	}
	if first > l.baseIndex {
		term, _ := l.term(first)
		size := l.sizeUpTo(first)
		l.entries = slices.Clone(l.entries[first-l.baseIndex:])
		l.sizes = slices.Clone(l.sizes[first-l.baseIndex:])
		l.baseIndex, l.baseTerm, l.baseSize = first, term, size
	}
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
}

// isUpToDate reports whether a candidate's last position is at least as recent as this log's, as a vote requires.
func (l *log) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

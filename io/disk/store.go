package disk

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
)

const (
	// FormatVersion is the version of the files that this build reads and writes.
	FormatVersion = 1
	formatFile    = "format.cbor"
	segmentPrefix = "wal-"
	snapPrefix    = "snap-"
	segmentBytes  = 8 << 20
	indexDigits   = 20
)

// ErrFailed means that an earlier write failed and the store takes no more.
var ErrFailed = errors.New("the store has failed and must be opened anew")

// Identity is what the data folder says of itself.
type Identity struct {
	Format      int
	Host        core.HostID
	Incarnation core.Incarnation
	// Founded tells that the folder belongs to a replicated log.
	Founded bool
}

// Member returns the folder's name in the replicated log.
func (i Identity) Member() quorum.Member {
	return quorum.NewMember(i.Host, i.Incarnation)
}

// Contents is what the folder held when it was opened.
type Contents struct {
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
	// TornBytes is the length of the unfinished last write that was cut off.
	TornBytes int64
}

// Store writes the log of one keeper.
type Store struct {
	folder  Folder
	segment File
	name    string
	size    int64
	hard    quorum.HardState
	failed  error

	// mu guards identity, which the calls of other hosts read while the log's own goroutine writes.
	mu       sync.Mutex
	identity Identity
}

// Open reads the folder; fresh is the incarnation to write if the folder is empty.
func Open(folder Folder, host core.HostID, fresh core.Incarnation) (*Store, Contents, error) {
	s := &Store{folder: folder}
	names, err := folder.List()
	if err != nil {
		return nil, Contents{}, err
	}
	if !slices.Contains(names, formatFile) {
		return s.create(names, host, fresh)
	}
	if err := s.readIdentity(host); err != nil {
		return nil, Contents{}, err
	}
	c, err := s.load(names, true)
	return s, c, err
}

// Reopen reads the folder again after a failed write and writes what is kept of the log to a new file: a sync that failed
// leaves open which of the earlier writes are durable. An error other than a CorruptError may pass when it is tried again.
func (s *Store) Reopen() (Contents, error) {
	if s.segment != nil {
		// The file's writes are in doubt either way.
		_ = s.segment.Close()
	}
	s.segment, s.name, s.size = nil, "", 0
	names, err := s.folder.List()
	if err != nil {
		return Contents{}, err
	}
	if err := s.readIdentity(s.Identity().Host); err != nil {
		return Contents{}, err
	}
	c, err := s.load(names, true)
	if err != nil {
		return Contents{}, err
	}
	if err := s.rewrite(c.HardState, c.Entries); err != nil {
		return Contents{}, err
	}
	s.failed = nil
	return c, nil
}

func (s *Store) create(names []string, host core.HostID, fresh core.Incarnation) (*Store, Contents, error) {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapPrefix) {
			return nil, Contents{}, &CorruptError{File: formatFile, Detail: "missing beside " + name}
		}
	}
	s.identity = Identity{Format: FormatVersion, Host: host, Incarnation: fresh}
	return s, Contents{}, s.writeIdentity(s.identity)
}

func (s *Store) readIdentity(host core.HostID) error {
	raw, err := s.folder.Read(formatFile)
	if err != nil {
		return err
	}
	payload, _, ok := unframe(raw)
	if !ok {
		return &CorruptError{File: formatFile, Detail: "bad checksum"}
	}
	var i Identity
	if err := cbor.Unmarshal(payload, &i); err != nil {
		return &CorruptError{File: formatFile, Detail: err.Error()}
	}
	if i.Format != FormatVersion {
		return core.NewFieldError(formatFile+" Format", i.Format, FormatVersion)
	}
	if host != "" && i.Host != host {
		return core.NewFieldError(formatFile+" Host", i.Host, host)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity = i
	return nil
}

func (s *Store) writeIdentity(i Identity) error {
	raw, err := cbor.Marshal(i)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return s.folder.Replace(formatFile, frame(raw))
}

// Identity returns what the folder says of itself.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Found makes the folder part of a replicated log that starts with the snapshot.
func (s *Store) Found(base quorum.Snapshot) error {
	if err := s.SaveSnapshot(base); err != nil {
		return err
	}
	return s.MarkFounded()
}

// MarkFounded notes that the folder belongs to a replicated log.
func (s *Store) MarkFounded() error {
	i := s.Identity()
	if i.Founded {
		return nil
	}
	i.Founded = true
	if err := s.writeIdentity(i); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity = i
	return nil
}

func (s *Store) load(names []string, repair bool) (Contents, error) {
	var c Contents
	var segments, snaps []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, ".tmp"):
			continue
		case strings.HasPrefix(name, segmentPrefix):
			segments = append(segments, name)
		case strings.HasPrefix(name, snapPrefix):
			snaps = append(snaps, name)
		}
	}
	if len(snaps) > 0 {
		snap, err := s.readSnapshot(snaps[len(snaps)-1])
		if err != nil {
			return c, err
		}
		c.Snapshot = snap
	}
	for i, name := range segments {
		if err := s.loadSegment(&c, name, i == len(segments)-1, repair); err != nil {
			return c, err
		}
	}
	s.hard = c.HardState
	return c, checkEntries(&c)
}

func (s *Store) loadSegment(c *Contents, name string, last, repair bool) error {
	data, err := s.folder.Read(name)
	if err != nil {
		return err
	}
	records, good, err := readRecords(name, data, last)
	if err != nil {
		return err
	}
	if torn := int64(len(data)) - good; torn > 0 {
		c.TornBytes = torn
		if repair {
			if err := s.folder.Truncate(name, good); err != nil {
				return err
			}
		}
	}
	for _, r := range records {
		if r.HardState != nil {
			c.HardState = *r.HardState
		}
		for _, e := range r.Entries {
			c.Entries = appendEntry(c.Entries, e)
		}
	}
	if last {
		s.name, s.size = name, good
	}
	return nil
}

// appendEntry adds an entry and drops those that it replaces.
func appendEntry(entries []quorum.Entry, e quorum.Entry) []quorum.Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= e.Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries, e)
}

// checkEntries drops what the snapshot covers or contradicts, and refuses a gap.
func checkEntries(c *Contents) error {
	for len(c.Entries) > 0 && c.Entries[0].Index <= c.Snapshot.Index {
		e := c.Entries[0]
		if e.Index == c.Snapshot.Index && e.Term != c.Snapshot.Term {
			c.Entries = nil
			return nil
		}
		c.Entries = c.Entries[1:]
	}
	next := c.Snapshot.Index + 1
	for _, e := range c.Entries {
		if e.Index != next {
			return &CorruptError{File: segmentPrefix + "*", Detail: fmt.Sprintf("found entry %d, expected %d", e.Index, next)}
		}
		next++
	}
	return nil
}

// Save makes the hard state and the entries durable; after an error the store takes nothing more.
func (s *Store) Save(hard *quorum.HardState, entries []quorum.Entry) error {
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrFailed, s.failed)
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := s.save(hard, entries); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) save(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard != nil {
		s.hard = *hard
	}
	if err := s.openSegment(); err != nil {
		return err
	}
	raw, err := cbor.Marshal(record{HardState: hard, Entries: entries})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	framed := frame(raw)
	if _, err := s.segment.Write(framed); err != nil {
		return fmt.Errorf("write %s: %w", s.name, err)
	}
	if err := s.segment.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.name, err)
	}
	s.size += int64(len(framed))
	return nil
}

// openSegment opens the last segment, or a new one that starts with the hard state.
func (s *Store) openSegment() error {
	if s.segment != nil && s.size < segmentBytes {
		return nil
	}
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return fmt.Errorf("close %s: %w", s.name, err)
		}
	}
	isNew := s.name == "" || s.size >= segmentBytes
	if isNew {
		s.name = s.nextSegment()
		s.size = 0
	}
	file, err := s.folder.Append(s.name)
	if err != nil {
		return err
	}
	s.segment = file
	if !isNew {
		return nil
	}
	raw, err := cbor.Marshal(record{HardState: &s.hard})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	framed := frame(raw)
	if _, err := s.segment.Write(framed); err != nil {
		return fmt.Errorf("write %s: %w", s.name, err)
	}
	s.size = int64(len(framed))
	return nil
}

// nextSegment names the new segment after a sequence number that grows.
func (s *Store) nextSegment() string {
	number := uint64(1)
	if s.name != "" {
		last, _ := strconv.ParseUint(strings.TrimPrefix(s.name, segmentPrefix), 10, 64)
		number = last + 1
	}
	return numbered(segmentPrefix, number)
}

func numbered(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, indexDigits, number)
}

// Close closes the open segment.
func (s *Store) Close() error {
	if s.segment == nil {
		return nil
	}
	err := s.segment.Close()
	s.segment = nil
	if err != nil {
		return fmt.Errorf("close %s: %w", s.name, err)
	}
	return nil
}

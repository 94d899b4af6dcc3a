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
	// FormatVersion is the version of the file format that this build reads and writes.
	FormatVersion   = 1
	formatFile      = "format.cbor"
	segmentPrefix   = "wal-"
	snapshotPrefix  = "snap-"
	maxSegmentBytes = 8 << 20
	numberDigits    = 20
)

// ErrStoreFailed means that an earlier write failed and that the store accepts no more writes until Reopen succeeds.
var ErrStoreFailed = errors.New("the store rejects writes after an earlier error until it is reopened")

// Identity is the content of the format file: the file format and the keeper to which the folder belongs.
type Identity struct {
	Format      int
	Host        core.HostID
	Incarnation core.Incarnation
	// Founded is true once the folder belongs to a replicated log.
	Founded bool
}

// Member returns the name under which the folder's keeper is a member of the replicated log.
func (i Identity) Member() quorum.Member {
	return quorum.NewMember(i.Host, i.Incarnation)
}

// Contents is the state read from the folder when it was opened.
type Contents struct {
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
	// TornBytes is the length of an incomplete last write, which Open and Reopen cut off.
	TornBytes int64
}

// Store writes one keeper's write-ahead log, snapshots and identity.
type Store struct {
	folder      Folder
	segment     File
	segmentName string
	segmentSize int64
	hardState   quorum.HardState
	failed      error

	// mu guards identity, which RPC handlers read while the goroutine of the keeper's loop writes it.
	mu       sync.Mutex
	identity Identity
}

// Open opens the store and returns its contents. In an empty folder it creates an identity with the given incarnation.
func Open(folder Folder, host core.HostID, incarnation core.Incarnation) (*Store, Contents, error) {
	s := &Store{folder: folder}
	names, err := folder.List()
	if err != nil {
		return nil, Contents{}, err
	}
	if !slices.Contains(names, formatFile) {
		return s.create(names, host, incarnation)
	}
	if err := s.readIdentity(host); err != nil {
		return nil, Contents{}, err
	}
	c, err := s.load(names, true)
	return s, c, err
}

// Reopen reads the folder again after a failed write and rewrites the log to a new segment, because a failed sync leaves it
// unknown which of the earlier writes are durable. Errors other than a CorruptError may be temporary and can be retried.
func (s *Store) Reopen() (Contents, error) {
	if s.segment != nil {
		// Ignores the error: the durability of the file's last writes is unknown in any case.
		_ = s.segment.Close()
	}
	s.segment, s.segmentName, s.segmentSize = nil, "", 0
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

// create writes the identity of a new store. It fails if the folder has log or snapshot files but no identity.
func (s *Store) create(names []string, host core.HostID, incarnation core.Incarnation) (*Store, Contents, error) {
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return nil, Contents{}, &CorruptError{File: formatFile, Detail: "missing in a folder that contains " + name}
		}
	}
	s.identity = Identity{Format: FormatVersion, Host: host, Incarnation: incarnation}
	return s, Contents{}, s.writeIdentity(s.identity)
}

// readIdentity reads the format file and checks its version and, if host is not empty, its host.
func (s *Store) readIdentity(host core.HostID) error {
	raw, err := s.folder.Read(formatFile)
	if err != nil {
		return err
	}
	payload, _, ok := decodeFrame(raw)
	if !ok {
		return &CorruptError{File: formatFile, Detail: "wrong checksum"}
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
	return s.folder.Replace(formatFile, encodeFrame(raw))
}

// Identity returns the identity of the folder.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Bootstrap initializes a new replicated log that starts with the snapshot.
func (s *Store) Bootstrap(base quorum.Snapshot) error {
	if err := s.SaveSnapshot(base); err != nil {
		return err
	}
	return s.MarkFounded()
}

// MarkFounded records in the identity that the folder belongs to a replicated log.
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

// load reads the last snapshot and all segments; repair cuts a torn end off the last segment.
func (s *Store) load(names []string, repair bool) (Contents, error) {
	var c Contents
	var segments, snaps []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, ".tmp"):
			continue
		case strings.HasPrefix(name, segmentPrefix):
			segments = append(segments, name)
		case strings.HasPrefix(name, snapshotPrefix):
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
	s.hardState = c.HardState
	return c, trimEntries(&c)
}

// loadSegment adds the records of a segment to the contents.
func (s *Store) loadSegment(c *Contents, name string, last, repair bool) error {
	data, err := s.folder.Read(name)
	if err != nil {
		return err
	}
	records, validBytes, err := readRecords(name, data, last)
	if err != nil {
		return err
	}
	if torn := int64(len(data)) - validBytes; torn > 0 {
		c.TornBytes = torn
		if repair {
			if err := s.folder.Truncate(name, validBytes); err != nil {
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
		s.segmentName, s.segmentSize = name, validBytes
	}
	return nil
}

// appendEntry appends an entry and drops the entries with the same or a higher index, which it replaces.
func appendEntry(entries []quorum.Entry, e quorum.Entry) []quorum.Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= e.Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries, e)
}

// trimEntries drops the entries that the snapshot covers, or all of them if they conflict with it, and rejects a gap
// between indexes.
func trimEntries(c *Contents) error {
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

// Save makes the hard state and the entries durable. After an error the store accepts no more writes.
func (s *Store) Save(hard *quorum.HardState, entries []quorum.Entry) error {
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrStoreFailed, s.failed)
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
		s.hardState = *hard
	}
	if err := s.openSegment(); err != nil {
		return err
	}
	raw, err := cbor.Marshal(record{HardState: hard, Entries: entries})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	framed := encodeFrame(raw)
	if _, err := s.segment.Write(framed); err != nil {
		return fmt.Errorf("write %s: %w", s.segmentName, err)
	}
	if err := s.segment.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.segmentName, err)
	}
	s.segmentSize += int64(len(framed))
	return nil
}

// openSegment opens the last segment for appending, or a new one with the hard state as its first record if the last
// one is full.
func (s *Store) openSegment() error {
	if s.segment != nil && s.segmentSize < maxSegmentBytes {
		return nil
	}
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return fmt.Errorf("close %s: %w", s.segmentName, err)
		}
	}
	isNew := s.segmentName == "" || s.segmentSize >= maxSegmentBytes
	if isNew {
		s.segmentName = s.nextSegment()
		s.segmentSize = 0
	}
	file, err := s.folder.Append(s.segmentName)
	if err != nil {
		return err
	}
	s.segment = file
	if !isNew {
		return nil
	}
	raw, err := cbor.Marshal(record{HardState: &s.hardState})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	framed := encodeFrame(raw)
	if _, err := s.segment.Write(framed); err != nil {
		return fmt.Errorf("write %s: %w", s.segmentName, err)
	}
	s.segmentSize = int64(len(framed))
	return nil
}

// nextSegment returns the name of the next segment, which contains an ascending sequence number.
func (s *Store) nextSegment() string {
	number := uint64(1)
	if s.segmentName != "" {
		last, _ := strconv.ParseUint(strings.TrimPrefix(s.segmentName, segmentPrefix), 10, 64)
		number = last + 1
	}
	return fileName(segmentPrefix, number)
}

// fileName pads the number with zeros, so that the names sort by number.
func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*d", prefix, numberDigits, number)
}

// Close closes the open segment.
func (s *Store) Close() error {
	if s.segment == nil {
		return nil
	}
	err := s.segment.Close()
	s.segment = nil
	if err != nil {
		return fmt.Errorf("close %s: %w", s.segmentName, err)
	}
	return nil
}

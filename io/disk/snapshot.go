package disk

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core/quorum"
)

// SaveSnapshot makes a snapshot durable and removes the older snapshots. After an error the store accepts no more writes.
func (s *Store) SaveSnapshot(snap quorum.Snapshot) error {
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrStoreFailed, s.failed)
	}
	if err := s.saveSnapshot(snap); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) saveSnapshot(snap quorum.Snapshot) error {
	raw, err := cbor.Marshal(snap)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	name := fileName(snapshotPrefix, snap.Index)
	if err := s.folder.Replace(name, encodeFrame(raw)); err != nil {
		return err
	}
	return s.removeSnapshotsBefore(name)
}

// RewriteLog starts a new segment with the hard state and the entries after a snapshot, and removes the older segments.
// After an error the store accepts no more writes.
func (s *Store) RewriteLog(hard quorum.HardState, entries []quorum.Entry) error {
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrStoreFailed, s.failed)
	}
	if err := s.rewrite(hard, entries); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) rewrite(hard quorum.HardState, entries []quorum.Entry) error {
	if err := s.Close(); err != nil {
		return err
	}
	s.hardState = hard
	name := s.nextSegment()
	raw, err := cbor.Marshal(record{HardState: &hard, Entries: entries})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	framed := encodeFrame(raw)
	if err := s.folder.Replace(name, framed); err != nil {
		return err
	}
	s.segmentName, s.segmentSize = name, int64(len(framed))
	return s.removeSegmentsBefore(name)
}

func (s *Store) removeSnapshotsBefore(keep string) error {
	return s.removeBefore(snapshotPrefix, keep)
}

func (s *Store) removeSegmentsBefore(keep string) error {
	return s.removeBefore(segmentPrefix, keep)
}

// removeBefore removes the files with the prefix whose names sort before keep, durably: a former segment that came back could
// hold entries that conflict with those written since.
func (s *Store) removeBefore(prefix, keep string) error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	var errs []error
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && name < keep {
			errs = append(errs, s.folder.Remove(name))
		}
	}
	if len(errs) > 0 {
		errs = append(errs, s.folder.Sync())
	}
	return errors.Join(errs...)
}

func (s *Store) readSnapshot(name string) (quorum.Snapshot, error) {
	var snap quorum.Snapshot
	raw, err := s.folder.Read(name)
	if err != nil {
		return snap, err
	}
	payload, n, ok := decodeFrame(raw)
	if !ok || n != len(raw) {
		return snap, &CorruptError{File: name, Detail: "wrong checksum or length"}
	}
	if err := cbor.Unmarshal(payload, &snap); err != nil {
		return snap, &CorruptError{File: name, Detail: err.Error()}
	}
	return snap, nil
}

// Inspect reads the identity and the contents of a folder without changing it.
func Inspect(folder Folder) (Identity, Contents, error) {
	s := &Store{folder: folder}
	if err := s.readIdentity(""); err != nil {
		return Identity{}, Contents{}, err
	}
	names, err := folder.List()
	if err != nil {
		return Identity{}, Contents{}, err
	}
	c, err := s.load(names, false)
	return s.identity, c, err
}

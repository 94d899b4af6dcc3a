package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core/quorum"
)

// damage is one row of testdata/damage.json: how the files are damaged and the expected result of Open.
type damage struct {
	Name string
	// File is the file to damage: first, last, snapshot or format.
	File string
	// FlipAt flips a bit at this offset, counted from the end when negative.
	FlipAt *int
	// CutBytes removes that many bytes from the end.
	CutBytes int
	// AppendBytes adds that many zero bytes.
	AppendBytes int
	// Want is Opens, TornTail or Corrupt; Lost is how many entries must be missing after Open.
	Want string
	Lost int
}

func entry(i uint64) quorum.Entry {
	return quorum.Entry{Index: i, Term: 1, Data: []byte("command of some length")}
}

// writeStore creates a folder with a snapshot at index 1 and the entries 2 to 21, one record each, in two segments.
func writeStore(t *testing.T, path string) {
	t.Helper()
	folder, err := OpenFolder(path)
	must.NoError(t, err)
	s, _, err := Open(folder, "h", 7)
	must.NoError(t, err)
	must.NoError(t, s.Bootstrap(quorum.Snapshot{Index: 1, Term: 1, Data: []byte("state")}))
	for i := uint64(2); i <= 21; i++ {
		must.NoError(t, s.Save(&quorum.HardState{Term: i, Vote: "h/7"}, []quorum.Entry{entry(i)}))
		if i == 11 {
			s.segmentSize = maxSegmentBytes
		}
	}
	must.NoError(t, s.Close())
}

func (d damage) apply(t *testing.T, path string) {
	t.Helper()
	names := map[string]string{
		"first": fileName(segmentPrefix, 1), "last": fileName(segmentPrefix, 2),
		"snapshot": fileName(snapshotPrefix, 1), "format": formatFile,
	}
	file := filepath.Join(path, names[d.File])
	raw, err := os.ReadFile(file)
	must.NoError(t, err)
	if d.FlipAt != nil {
		at := *d.FlipAt
		if at < 0 {
			at += len(raw)
		}
		raw[at] ^= 0x10
	}
	raw = raw[:len(raw)-d.CutBytes]
	raw = append(raw, make([]byte, d.AppendBytes)...)
	must.NoError(t, os.WriteFile(file, raw, fileMode))
}

// TestDamagedFilesAreCutOrRefused guards against a store that opens corrupt files, or fails on the torn end of a last
// write.
func TestDamagedFilesAreCutOrRefused(t *testing.T) {
	raw, err := os.ReadFile("testdata/damage.json")
	must.NoError(t, err)
	var rows []damage
	must.NoError(t, strict.Decode(raw, &rows))
	for _, d := range rows {
		t.Run(d.Name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "data")
			writeStore(t, path)
			d.apply(t, path)
			folder, err := OpenFolder(path)
			must.NoError(t, err)
			_, contents, err := Open(folder, "h", 8)
			if d.Want == "Corrupt" {
				var corrupt *CorruptError
				must.True(t, errors.As(err, &corrupt), must.Sprint(err))
				must.StrContains(t, err.Error(), "offset")
				return
			}
			must.NoError(t, err)
			must.SliceLen(t, 20-d.Lost, contents.Entries)
			must.Eq(t, d.Want == "TornTail", contents.TornBytes > 0)
			must.Eq(t, uint64(21-d.Lost), contents.HardState.Term)
		})
	}
}

// TestATornTailStaysCutAfterFurtherWrites guards against writes behind a torn record, which would make the segment corrupt.
func TestATornTailStaysCutAfterFurtherWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	writeStore(t, path)
	damage{File: "last", CutBytes: 3}.apply(t, path)
	folder, err := OpenFolder(path)
	must.NoError(t, err)
	s, contents, err := Open(folder, "h", 8)
	must.NoError(t, err)
	must.SliceLen(t, 19, contents.Entries)
	must.NoError(t, s.Save(nil, []quorum.Entry{entry(21), entry(22)}))
	must.NoError(t, s.Close())
	_, contents, err = Open(folder, "h", 9)
	must.NoError(t, err)
	must.SliceLen(t, 21, contents.Entries)
	must.Eq(t, quorum.NewMember("h", 7), s.Identity().Member())
}

// TestReplacedEntriesAndSnapshotsSurviveARestart guards against replaced entries that come back after a restart, and
// against a snapshot or a rewritten log that is lost.
func TestReplacedEntriesAndSnapshotsSurviveARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	writeStore(t, path)
	folder, err := OpenFolder(path)
	must.NoError(t, err)
	s, _, err := Open(folder, "h", 8)
	must.NoError(t, err)
	must.NoError(t, s.Save(nil, []quorum.Entry{{Index: 15, Term: 30}}))
	_, contents, err := Inspect(folder)
	must.NoError(t, err)
	must.SliceLen(t, 14, contents.Entries)
	must.Eq(t, 30, contents.Entries[13].Term)
	must.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 14, Term: 1, Data: []byte("later")}))
	must.NoError(t, s.RewriteLog(quorum.HardState{Term: 30}, []quorum.Entry{{Index: 15, Term: 30}}))
	must.NoError(t, s.Close())
	_, contents, err = Inspect(folder)
	must.NoError(t, err)
	must.Eq(t, "later", string(contents.Snapshot.Data))
	must.SliceLen(t, 1, contents.Entries)
	must.Eq(t, 30, contents.HardState.Term)
}

// failingFolder is a folder whose writes, or whose syncs if syncFails is set, fail after writesLeft more writes.
type failingFolder struct {
	Folder
	writesLeft int
	syncFails  bool
}

type failingFile struct {
	File
	folder *failingFolder
}

var errDisk = errors.New("no space left on device")

func (f *failingFolder) Append(name string) (File, error) {
	file, err := f.Folder.Append(name)
	return failingFile{file, f}, err
}

func (f failingFile) Write(p []byte) (int, error) {
	f.folder.writesLeft--
	if f.folder.writesLeft < 0 && !f.folder.syncFails {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, errDisk
	}
	return f.File.Write(p)
}

func (f failingFile) Sync() error {
	if f.folder.writesLeft < 0 && f.folder.syncFails {
		return errDisk
	}
	return f.File.Sync()
}

// TestAfterAFailedWriteOrSyncTheStoreTakesNoMore guards against writes after a failed one: the failed write may have
// left a torn record, and after a failed sync it is unknown which writes are durable.
func TestAfterAFailedWriteOrSyncTheStoreTakesNoMore(t *testing.T) {
	for _, syncFails := range []bool{false, true} {
		path := filepath.Join(t.TempDir(), "data")
		writeStore(t, path)
		folder, err := OpenFolder(path)
		must.NoError(t, err)
		bad := &failingFolder{Folder: folder, writesLeft: 2, syncFails: syncFails}
		s, _, err := Open(bad, "h", 8)
		must.NoError(t, err)
		must.NoError(t, s.Save(nil, []quorum.Entry{entry(22)}))
		must.NoError(t, s.Save(nil, []quorum.Entry{entry(23)}))
		must.ErrorIs(t, s.Save(nil, []quorum.Entry{entry(24)}), errDisk)
		bad.writesLeft = 100
		must.ErrorIs(t, s.Save(nil, []quorum.Entry{entry(24)}), ErrStoreFailed)
		must.ErrorIs(t, s.SaveSnapshot(quorum.Snapshot{Index: 24}), ErrStoreFailed)
	}
}

// unsyncedFolder keeps copies of the files that were removed since the last Sync.
type unsyncedFolder struct {
	Folder
	path    string
	removed map[string][]byte
}

func (f *unsyncedFolder) Remove(name string) error {
	raw, err := f.Folder.Read(name)
	if err != nil {
		return err
	}
	f.removed[name] = raw
	return f.Folder.Remove(name)
}

func (f *unsyncedFolder) Sync() error {
	clear(f.removed)
	return f.Folder.Sync()
}

// losePower brings the files back whose removal was not synced.
func (f *unsyncedFolder) losePower(t *testing.T) {
	for name, raw := range f.removed {
		must.NoError(t, os.WriteFile(filepath.Join(f.path, name), raw, fileMode))
	}
}

// TestEntriesAfterASnapshotSurviveALossOfPower guards against a removed segment that comes back with an entry that conflicts with
// the snapshot, upon which all later entries were dropped.
func TestEntriesAfterASnapshotSurviveALossOfPower(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	writeStore(t, path)
	folder, err := OpenFolder(path)
	must.NoError(t, err)
	f := &unsyncedFolder{Folder: folder, path: path, removed: map[string][]byte{}}
	s, _, err := Open(f, "h", 8)
	must.NoError(t, err)
	must.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 21, Term: 30, Data: []byte("of another leader")}))
	must.NoError(t, s.RewriteLog(quorum.HardState{Term: 30}, nil))
	must.NoError(t, s.Save(nil, []quorum.Entry{{Index: 22, Term: 30}}))
	f.losePower(t)
	_, contents, err := Open(folder, "h", 9)
	must.NoError(t, err)
	must.SliceLen(t, 1, contents.Entries)
	must.Eq(t, 22, contents.Entries[0].Index)
}

// FuzzReadRecords guards against panics and impossible lengths when a corrupt segment is decoded.
func FuzzReadRecords(f *testing.F) {
	f.Add(encodeFrame([]byte{0xa0}), true)
	f.Add([]byte{1, 2, 3}, false)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		_, validBytes, err := readRecords("f", data, last)
		if err == nil && (validBytes < 0 || validBytes > int64(len(data))) {
			t.Fatal("the length of the valid part is outside the data")
		}
	})
}

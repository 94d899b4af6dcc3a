package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core/quorum"
)

// record is one unit of the write-ahead log: a hard state or some entries.
type record struct {
	HardState *quorum.HardState `cbor:",omitempty"`
	Entries   []quorum.Entry    `cbor:",omitempty"`
}

const (
	headerBytes = 8
	// maxRecordBytes bounds one record; a larger length in a header is damage.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError says that a file is damaged in a place that a crash cannot explain.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

// Error returns the file, the offset and what is wrong there.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Detail)
}

// frame puts a length and a checksum before the payload.
func frame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], checksum(payload))
	return append(out, payload...)
}

// checksum covers the length too, so that a run of zero bytes is no valid record.
func checksum(payload []byte) uint32 {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(length[:], castagnoli), castagnoli, payload)
}

// unframe returns the payload at the start of data and the bytes that it took, or false.
func unframe(data []byte) ([]byte, int, bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > maxRecordBytes || headerBytes+n > len(data) {
		return nil, 0, false
	}
	payload := data[headerBytes : headerBytes+n]
	if checksum(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + n, true
}

// readRecords decodes a segment; it returns the length of the good part, which is shorter only by a torn tail.
func readRecords(name string, data []byte, last bool) ([]record, int64, error) {
	var records []record
	at := 0
	for at < len(data) {
		payload, n, ok := unframe(data[at:])
		if !ok {
			return records, int64(at), tailError(name, data, at, last)
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, &CorruptError{File: name, Offset: int64(at), Detail: err.Error()}
		}
		records = append(records, r)
		at += n
	}
	return records, int64(at), nil
}

// tailError returns nil when the bad bytes can be the torn end of the last write.
func tailError(name string, data []byte, at int, last bool) error {
	if !last {
		return &CorruptError{File: name, Offset: int64(at), Detail: "a bad record in a finished segment"}
	}
	for next := at + 1; next+headerBytes <= len(data); next++ {
		if _, _, ok := unframe(data[next:]); ok {
			return &CorruptError{File: name, Offset: int64(at), Detail: "a bad record before good ones"}
		}
	}
	return nil
}

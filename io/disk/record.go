package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core/quorum"
)

// record is one record of the write-ahead log: a hard state, entries or both.
type record struct {
	HardState *quorum.HardState `cbor:",omitempty"`
	Entries   []quorum.Entry    `cbor:",omitempty"`
}

const (
	headerBytes = 8
	// maxRecordBytes limits the payload of one record; a header with a larger length is invalid.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage to a file that a crash during a write cannot have caused.
type CorruptError struct {
	File   string
	Offset int64
	Detail string
}

// Error returns the file, the offset and the kind of damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Detail)
}

// encodeFrame returns the payload with a header of its length and checksum.
func encodeFrame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], checksum(payload))
	return append(out, payload...)
}

// checksum covers the length as well, so that a run of zero bytes is not a valid record.
func checksum(payload []byte) uint32 {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(length[:], castagnoli), castagnoli, payload)
}

// decodeFrame returns the payload of the frame at the start of data and the size of the frame, or false if the frame is
// invalid.
func decodeFrame(data []byte) ([]byte, int, bool) {
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

// readRecords decodes a segment. It returns the records and the length of the valid part, which is shorter than data
// only if the last write is torn.
func readRecords(name string, data []byte, last bool) ([]record, int64, error) {
	var records []record
	at := 0
	for at < len(data) {
		payload, n, ok := decodeFrame(data[at:])
		if !ok {
			return records, int64(at), checkTornTail(name, data, at, last)
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

// checkTornTail returns nil if the invalid bytes at an offset can be the torn end of the last write, and a CorruptError
// otherwise.
func checkTornTail(name string, data []byte, at int, last bool) error {
	if !last {
		return &CorruptError{File: name, Offset: int64(at), Detail: "invalid record in a segment that is not the last one"}
	}
	for next := at + 1; next+headerBytes <= len(data); next++ {
		if _, _, ok := decodeFrame(data[next:]); ok {
			return &CorruptError{File: name, Offset: int64(at), Detail: "invalid record before valid ones"}
		}
	}
	return nil
}

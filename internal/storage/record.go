package storage

import (
	"encoding/binary"
	"hash/crc32"

	"parsleypulley/internal/wire"
)

// A record is a 24-byte header and a payload padded to a multiple of 8 bytes:
//
//	magic u32 | crc32c u32 | payload length u32 | kind u8 | flags u8 | 0 u16 | batch u64
//
// The checksum covers the rest of the header and the payload. A batch is the set of
// records made durable by one sync: they have the same batch number, and the last one
// has flagBatchEnd set.
const (
	recordMagic      = 0x314c5050 // "PPL1"
	recordHeaderSize = 24
	recordAlignment  = 8
)

// EntryOverhead is the size in bytes, beside its data, of an entry that is stored in a batch of its own: four
// headers (entry, hard state, sync marker, padding) and the fields of an entry and of a hard state.
const EntryOverhead = 4*recordHeaderSize + 7*8

// flagBatchEnd marks the last record of a batch.
const flagBatchEnd = 1

type recordKind uint8

const (
	// kindSegment is the header of a segment file.
	kindSegment recordKind = iota + 1
	// kindHardState holds a HardState.
	kindHardState
	// kindEntry holds a log entry. It replaces all earlier entries from its index on.
	kindEntry
	// kindReset empties the log. It holds the entry after which the log continues,
	// which is the last one that a snapshot covers.
	kindReset
	// kindSyncMarker is written after a sync has finished and has no payload. It has
	// the number of the next batch, because a record proves that all batches before
	// its own were synced.
	kindSyncMarker
	// kindIdentity is the only record of the identity file.
	kindIdentity
)

type record struct {
	kind      recordKind
	endsBatch bool
	batch     uint64
	payload   []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf []byte, kind recordKind, batch uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, recordMagic)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, byte(kind), 0, 0, 0)
	buf = binary.LittleEndian.AppendUint64(buf, batch)
	buf = append(buf, payload...)
	writeChecksum(buf[start:])
	return append(buf, make([]byte, padding(len(payload)))...)
}

// writeChecksum sets the checksum of rec, a record without its padding.
func writeChecksum(rec []byte) {
	binary.LittleEndian.PutUint32(rec[4:], crc32.Checksum(rec[8:], castagnoli))
}

// markBatchEnd sets flagBatchEnd on the record at offset last of buf.
func markBatchEnd(buf []byte, last int) {
	length := int(binary.LittleEndian.Uint32(buf[last+8:]))
	rec := buf[last : last+recordHeaderSize+length]
	rec[13] |= flagBatchEnd
	writeChecksum(rec)
}

func padding(length int) int {
	return (recordAlignment - length%recordAlignment) % recordAlignment
}

// parseRecord decodes the record at the start of data. It returns the length of the
// record with padding, or 0 if there is no complete record with a correct checksum.
func parseRecord(data []byte) (record, int) {
	if len(data) < recordHeaderSize || binary.LittleEndian.Uint32(data) != recordMagic {
		return record{}, 0
	}
	length := int(binary.LittleEndian.Uint32(data[8:]))
	size := recordHeaderSize + length + padding(length)
	if size > len(data) {
		return record{}, 0
	}
	if crc32.Checksum(data[8:recordHeaderSize+length], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, 0
	}
	return record{
		kind:      recordKind(data[12]),
		endsBatch: data[13]&flagBatchEnd != 0,
		batch:     binary.LittleEndian.Uint64(data[16:]),
		payload:   data[recordHeaderSize : recordHeaderSize+length],
	}, size
}

// newestBatch returns the highest batch number of the complete records in data. Data
// between the records may be damaged.
func newestBatch(data []byte) uint64 {
	var newest uint64
	for len(data) >= recordHeaderSize {
		rec, size := parseRecord(data)
		if size == 0 {
			size = recordAlignment
		} else {
			newest = max(newest, rec.batch)
		}
		data = data[size:]
	}
	return newest
}

func encodeUint64s(numbers ...uint64) []byte {
	buf := make([]byte, 0, 8*len(numbers))
	for _, n := range numbers {
		buf = binary.LittleEndian.AppendUint64(buf, n)
	}
	return buf
}

// decodeUint64s decodes payload into numbers. It returns false if the length of
// payload doesn't match.
func decodeUint64s(payload []byte, numbers ...*uint64) bool {
	if len(payload) != 8*len(numbers) {
		return false
	}
	for i, n := range numbers {
		*n = binary.LittleEndian.Uint64(payload[8*i:])
	}
	return true
}

// entryHeaderSize is the size of the index, term and kind that precede an entry's
// data.
const entryHeaderSize = 24

func encodeEntry(e *wire.LogEntry) []byte {
	buf := make([]byte, 0, entryHeaderSize+len(e.Data))
	buf = binary.LittleEndian.AppendUint64(buf, e.Index)
	buf = binary.LittleEndian.AppendUint64(buf, e.Term)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(e.Kind))
	return append(buf, e.Data...)
}

// decodeEntry decodes an entry. It copies the data, so that payload can be freed.
func decodeEntry(payload []byte) (*wire.LogEntry, bool) {
	if len(payload) < entryHeaderSize {
		return nil, false
	}
	return &wire.LogEntry{
		Index: binary.LittleEndian.Uint64(payload),
		Term:  binary.LittleEndian.Uint64(payload[8:]),
		Kind:  wire.LogEntry_Kind(binary.LittleEndian.Uint64(payload[16:])),
		Data:  append([]byte(nil), payload[entryHeaderSize:]...),
	}, true
}

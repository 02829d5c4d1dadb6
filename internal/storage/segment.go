package storage

import (
	"fmt"
	"path/filepath"
	"strings"
)

const segmentSuffix = ".log"

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

// segment describes one segment file. The sequence numbers of the segments in a folder
// have no gaps.
type segment struct {
	sequence uint64
	// size is the length in bytes up to the end of the last complete batch, plus sync
	// markers written since.
	size int64
	// maxIndex is the highest entry index written to the segment, or 0 if the log was emptied since.
	maxIndex uint64
}

// forgetEntries marks the segments as holding no entry that counts, since the log was emptied after them.
func forgetEntries(segments []segment) {
	for i := range segments {
		segments[i].maxIndex = 0
	}
}

// segmentHeader is the payload of a kindSegment record.
type segmentHeader struct {
	sequence  uint64
	identity  uint64
	hardState HardState
	// last is the last entry of the log when the segment was created.
	last EntryID
}

func (h *segmentHeader) encode() []byte {
	return encodeUint64s(h.sequence, h.identity,
		h.hardState.Term, h.hardState.Vote, h.hardState.Commit, h.last.Index, h.last.Term)
}

func (h *segmentHeader) decode(payload []byte) bool {
	return decodeUint64s(payload, &h.sequence, &h.identity,
		&h.hardState.Term, &h.hardState.Vote, &h.hardState.Commit, &h.last.Index, &h.last.Term)
}

// scanBatches decodes the complete batches at the start of data. The first must have
// the number after previousBatch. It returns their records and their length in bytes.
// An incomplete batch after them was torn by a crash and is ignored. But if a record
// with a higher batch number follows, the incomplete batch had been synced, and
// scanBatches reports damage.
func scanBatches(data []byte, previousBatch uint64) (records []record, size int, err error) {
	next := previousBatch + 1
	position := 0
	completeRecords := 0
	for position < len(data) {
		rec, length := parseRecord(data[position:])
		if length == 0 || rec.batch != next {
			break
		}
		position += length
		records = append(records, rec)
		if rec.endsBatch {
			completeRecords = len(records)
			size = position
			next++
		}
	}
	if newestBatch(data[position:]) > next {
		return nil, 0, damagedError("record at offset %d, before whole later batches", position)
	}
	return records[:completeRecords], size, nil
}

// replay rebuilds a State from the segments of a folder.
type replay struct {
	fs       FS
	dir      string
	state    *State
	segments []segment
	// batch is the number of the last complete batch.
	batch uint64
}

// readSegments replays all segment files among names, which must be sorted.
func (r *replay) readSegments(names []string) error {
	var files []string
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			files = append(files, name)
		}
	}
	for i, name := range files {
		if err := r.readSegment(name, i == 0, i == len(files)-1); err != nil {
			return fmt.Errorf("segment %s: %w", name, err)
		}
	}
	if len(r.segments) == 0 {
		return damagedError("no segment")
	}
	return nil
}

func (r *replay) readSegment(name string, first, last bool) error {
	path := filepath.Join(r.dir, name)
	data, err := readFile(r.fs, path)
	if err != nil {
		return err
	}
	if first {
		r.batch = batchBefore(data)
	}
	records, size, err := scanBatches(data, r.batch)
	if err != nil {
		return err
	}
	if size < len(data) && !last {
		return damagedError("torn batch at offset %d of an older segment", size)
	}
	if len(records) == 0 {
		return r.removeIncompleteSegment(path, first)
	}
	seg := segment{size: int64(size)}
	for i, rec := range records {
		if (rec.kind == kindSegment) != (i == 0) {
			return damagedError("record %d has kind %d", i, rec.kind)
		}
		if err := r.apply(&seg, rec, first); err != nil {
			return err
		}
	}
	if segmentName(seg.sequence) != name {
		return damagedError("wrong sequence number %d", seg.sequence)
	}
	r.batch = records[len(records)-1].batch
	r.segments = append(r.segments, seg)
	if size == len(data) {
		return nil
	}
	return r.fs.Truncate(path, int64(size))
}

// batchBefore returns the number of the batch before the first one in data. It returns
// 0 if data doesn't start with a complete record.
func batchBefore(data []byte) uint64 {
	rec, size := parseRecord(data)
	if size == 0 {
		return 0
	}
	return rec.batch - 1
}

// removeIncompleteSegment removes the last segment if a crash interrupted its
// creation. For the first segment of a folder this is damage.
func (r *replay) removeIncompleteSegment(path string, first bool) error {
	if first {
		return damagedError("no segment header")
	}
	if err := r.fs.Remove(path); err != nil {
		return err
	}
	return r.fs.SyncDir(r.dir)
}

func (r *replay) apply(seg *segment, rec record, first bool) error {
	ok := true
	switch rec.kind {
	case kindSegment:
		return r.applyHeader(seg, rec.payload, first)
	case kindHardState:
		hs := &r.state.HardState
		ok = decodeUint64s(rec.payload, &hs.Term, &hs.Vote, &hs.Commit)
	case kindEntry:
		return r.applyEntry(seg, rec.payload)
	case kindReset:
		var base EntryID
		ok = decodeUint64s(rec.payload, &base.Index, &base.Term)
		r.state.Base = base
		r.state.Entries = nil
		seg.maxIndex = 0
		forgetEntries(r.segments)
	case kindSyncMarker:
	default:
		return damagedError("unknown record kind %d", rec.kind)
	}
	if !ok {
		return damagedError("short record of kind %d", rec.kind)
	}
	return nil
}

func (r *replay) applyHeader(seg *segment, payload []byte, first bool) error {
	var h segmentHeader
	if !h.decode(payload) {
		return damagedError("short segment header")
	}
	if h.identity != r.state.Identity {
		return damagedError("segment of replica %x in the folder of %x", h.identity, r.state.Identity)
	}
	seg.sequence = h.sequence
	if first {
		r.state.HardState = h.hardState
		r.state.Base = h.last
		return nil
	}
	if before := r.segments[len(r.segments)-1].sequence; h.sequence != before+1 {
		return damagedError("segment %d follows %d", h.sequence, before)
	}
	if h.last.Index != r.state.LastIndex() {
		return damagedError("segment follows entry %d, log ends at %d", h.last.Index, r.state.LastIndex())
	}
	return nil
}

// applyEntry appends an entry. If its index is already in the log, it replaces that
// entry and all later ones.
func (r *replay) applyEntry(seg *segment, payload []byte) error {
	e, ok := decodeEntry(payload)
	if !ok {
		return damagedError("short entry")
	}
	s := r.state
	switch {
	case e.Index == 0 || e.Index > s.LastIndex()+1:
		return damagedError("entry %d follows %d", e.Index, s.LastIndex())
	case e.Index <= s.Base.Index:
		// The replaced entries were in a segment that compaction has removed, so the
		// term of the new base is unknown.
		s.Base = EntryID{Index: e.Index - 1}
		s.Entries = nil
	default:
		s.Entries = s.Entries[:e.Index-s.Base.Index-1]
	}
	s.Entries = append(s.Entries, e)
	seg.maxIndex = max(seg.maxIndex, e.Index)
	return nil
}

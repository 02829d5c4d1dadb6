package storage

// DefaultDiskBytes is the size of the disk if none is declared.
const DefaultDiskBytes = 256 << 20

// Budget bounds what a replica stores, in bytes. Its parts add up to the declared disk at most:
//
//	1/2   the log, with the entries that a snapshot being written will cover
//	7/16  snapshots: two small ones, or the newest one beside one that is being written or was received
//	1/16  reserve for the identity file and for test writes
//
// The log stays in memory for followers as long as on disk, so its part is also no more than a quarter of
// the declared memory.
type Budget struct {
	// LogBytes bounds the segments of the log.
	LogBytes int64
	// SnapshotInterval is the size of the applied entries after which a snapshot is due. The log is kept
	// from the older of two snapshots on, so it usually takes two to three intervals.
	SnapshotInterval int64
	// SegmentBytes is the size that a segment must reach before the next one is started.
	SegmentBytes int64
	// SnapshotBytes bounds the snapshot files together while one is written. The newest complete one is
	// kept in any case.
	SnapshotBytes int64
}

// NewBudget returns the budget of a replica with a disk and a memory limit of the given sizes. 0 stands for
// DefaultDiskBytes and for no memory limit.
func NewBudget(diskBytes, memoryBytes int64) Budget {
	if diskBytes <= 0 {
		diskBytes = DefaultDiskBytes
	}
	b := Budget{LogBytes: diskBytes / 2, SnapshotBytes: diskBytes / 16 * 7}
	if memoryBytes > 0 {
		b.LogBytes = min(b.LogBytes, memoryBytes/4)
	}
	b.SnapshotInterval = b.LogBytes / 4
	b.SegmentBytes = b.LogBytes / 16
	return b
}

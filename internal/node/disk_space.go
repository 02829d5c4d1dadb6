package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/storage"
)

const (
	// probeBytes is the size of a test write. It exceeds most batches of the log.
	probeBytes = 64 << 10
	// probeInterval is the time between two tests.
	probeInterval = 500 * time.Millisecond
)

// isDiskFull reports whether err is caused by a full disk or an exceeded quota.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// awaitDiskSpace waits until the disk of a data folder accepts writes or ctx ends. It
// keeps a replica with a full disk from restarting and failing in a loop. On a full disk
// it first removes the replica's own files that are no longer needed.
func awaitDiskSpace(ctx context.Context, data string, files storage.Options) {
	reported := false
	for ctx.Err() == nil {
		err := storage.Probe(data, files, probeBytes)
		if !isDiskFull(err) {
			if reported {
				event.DiskWritable(data)
			}
			return // other errors are reported by the store
		}
		if !reported {
			reported = true
			reclaimSpace(data, files, err)
			continue
		}
		backoff.Sleep(ctx, probeInterval)
	}
}

// reclaimSpace removes what the replica can do without from a disk that refused a write with cause.
func reclaimSpace(data string, files storage.Options, cause error) {
	event.DiskFull(data, cause)
	event.DiskSpaceReclaimed(data, storage.Reclaim(data, files))
}

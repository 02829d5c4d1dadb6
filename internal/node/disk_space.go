package node

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
)

const (
	// probeFileName is the name of the file that is written to test for free space.
	// probeBytes is the length of that file. It exceeds most batches of the log.
	probeFileName = ".space"
	probeBytes    = 64 << 10
	// probeInterval is the time between two tests.
	probeInterval = 500 * time.Millisecond
)

// isDiskFull reports whether err is caused by a full disk or an exceeded quota.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// awaitDiskSpace waits until the disk of a data folder accepts writes or ctx ends. It
// keeps a replica with a full disk from restarting and failing in a loop.
func awaitDiskSpace(ctx context.Context, data string) {
	reported := false
	for ctx.Err() == nil {
		err := probeSpace(data)
		if !isDiskFull(err) {
			if reported {
				event.DiskWritable(data)
			}
			return // other errors are reported by the store
		}
		if !reported {
			reported = true
			event.DiskFull(data, err)
		}
		backoff.Sleep(ctx, probeInterval)
	}
}

// probeSpace writes a file of the size of a typical log write, and removes it.
func probeSpace(data string) error {
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	path := filepath.Join(data, probeFileName)
	err := os.WriteFile(path, make([]byte, probeBytes), 0o600)
	return errors.Join(err, ignoreMissing(os.Remove(path)))
}

func ignoreMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

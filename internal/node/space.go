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
	// spaceProbe is the name of the file by which room on the disk is looked for,
	// and spaceBytes its length: more than a batch of the log as a rule.
	spaceProbe = ".space"
	spaceBytes = 64 << 10
	// spacePoll is the time between two looks.
	spacePoll = 500 * time.Millisecond
)

// isFull reports whether err tells of a full disk.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// awaitSpace returns once the disk of a data folder takes writes, or ctx ends. A
// replica on a full disk waits so instead of ending over and over.
func awaitSpace(ctx context.Context, data string) {
	told := false
	for ctx.Err() == nil {
		err := probeSpace(data)
		if !isFull(err) {
			if told {
				event.DiskWritable(data)
			}
			return // other errors are met, and told, by the store
		}
		if !told {
			told = true
			event.DiskFull(data, err)
		}
		backoff.Sleep(ctx, spacePoll)
	}
}

// probeSpace writes a file as large as the next writes may be, and removes it.
func probeSpace(data string) error {
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	path := filepath.Join(data, spaceProbe)
	err := os.WriteFile(path, make([]byte, spaceBytes), 0o600)
	return errors.Join(err, ignoreMissing(os.Remove(path)))
}

func ignoreMissing(err error) error {
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

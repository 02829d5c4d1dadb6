package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrDamaged tells that durable data is damaged or missing, so that the replica
// can't serve under its identity any more. See Reset.
var ErrDamaged = errors.New("stored data is damaged")

// ErrFailed tells that an earlier write or sync failed. The store refuses all
// later work, because the state of the unsynced pages is not known.
var ErrFailed = errors.New("storage failed earlier")

// ErrFull tells that the disk is full. The write was not acknowledged; the
// store works again once space is made and it is reopened.
var ErrFull = errors.New("disk is full")

func damagedError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrDamaged, fmt.Sprintf(format, args...))
}

// classifyWriteError marks errors that mean a full disk.
func classifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// readFile reads a whole file; an I/O error of the disk counts as damage.
func readFile(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadFile(name)
	if errors.Is(err, syscall.EIO) {
		return nil, damagedError("read %s: %v", name, err)
	}
	return data, err
}

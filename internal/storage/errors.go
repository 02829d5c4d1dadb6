package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrDamaged is returned when durable data is damaged or missing. The replica may
// have lost entries or a vote that it acknowledged, so it must not continue under its
// identity. See Reset.
var ErrDamaged = errors.New("stored data is damaged")

// ErrFailed is returned by all later calls that write, after a write or a sync has
// failed, because the state of the unsynced pages is unknown. It is also returned
// after Close.
var ErrFailed = errors.New("storage failed earlier")

// ErrFull is returned when the disk is full. The write was not acknowledged. The store
// must be reopened once there is space again.
var ErrFull = errors.New("disk is full")

func damagedError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrDamaged, fmt.Sprintf(format, args...))
}

// classifyWriteError wraps errors that mean a full disk in ErrFull.
func classifyWriteError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// readFile reads a whole file. An I/O error of the disk counts as damage.
func readFile(fs FS, name string) ([]byte, error) {
	data, err := fs.ReadFile(name)
	if errors.Is(err, syscall.EIO) {
		return nil, damagedError("read %s: %v", name, err)
	}
	return data, err
}

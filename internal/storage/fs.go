// Package storage stores the durable state of one control replica in one data folder:
// its identity, a log in checksummed segments that also holds the hard state, and
// snapshots. Files and folders are synced before a call returns; only
// Store.MarkSynced doesn't sync.
package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file system operations that the store uses. Names are full paths.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on the file name. It is released by Close or
	// when the process ends.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all written data durable.
	Sync() error
}

// Disk implements FS with the file system of the operating system.
type Disk struct{}

// The permissions of files and folders give no access to other users.
const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

// MkdirAll implements FS. It syncs the parent of each folder that it creates.
func (d Disk) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if err := d.MkdirAll(parent); err != nil {
		return err
	}
	if err := os.Mkdir(dir, dirPermissions); err != nil {
		return err
	}
	return d.SyncDir(parent)
}

// ReadDir implements FS.
func (Disk) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
}

// Append implements FS.
func (Disk) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, filePermissions)
}

// Truncate implements FS. The new length is synced.
func (Disk) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS with flock(2).
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("data folder is in use by another process: %s", filepath.Dir(name))
	}
	return nil, err
}

package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// probeName is the name of the file that Probe writes.
const probeName = ".space"

// Probe reports whether the disk of a data folder takes a write of the given size. It creates the folder if there is
// none, and leaves no file.
func Probe(dir string, options Options, size int) error {
	fs := options.withDefaults().FS
	if err := fs.MkdirAll(dir); err != nil {
		return err
	}
	name := filepath.Join(dir, probeName)
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, size))
	err = errors.Join(err, f.Close(), fs.Remove(name))
	return classifyWriteError(err)
}

// Reclaim frees the space in a closed data folder that the replica can do without, so that one that starts on a
// full disk does not wait for room that only it can free. It removes temporary files, all but the newest usable
// snapshot and the segments that this covers, and empties files that were given up as damaged. It writes nothing.
func Reclaim(dir string, options Options) error {
	o := options.withDefaults()
	lock, err := o.FS.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer lock.Close()
	if err := reclaim(dir, &o); err != nil {
		return fmt.Errorf("reclaim space in %s: %w", dir, err)
	}
	return nil
}

func reclaim(dir string, o *Options) error {
	names, err := o.FS.ReadDir(dir)
	if err != nil {
		return err
	}
	if !slices.Contains(names, identityName) {
		return emptyDiscardedFiles(o.FS, dir)
	}
	if err := removeTemporaryFiles(o.FS, dir, names); err != nil {
		return err
	}
	c, err := readContents(o.FS, dir, names)
	if errors.Is(err, ErrDamaged) {
		err = discardAll(o.FS, dir) // as OpenOrReset would
	}
	if err := errors.Join(err, emptyDiscardedFiles(o.FS, dir)); err != nil || c == nil {
		return err
	}
	s := &Store{fs: o.FS, dir: dir, segments: c.segments}
	s.setSnapshots(c.snapshots)
	if c.reset {
		// The segments are needed until Open has recorded that the log is emptied.
		return s.removeSnapshotsBefore(len(s.snapshots) - 1)
	}
	_, err = s.compact(1)
	return err
}

// emptyDiscardedFiles empties the files in discardedDir. Their names stay: a folder with discarded files must not
// get a founder's identity (Options.NewIdentity).
func emptyDiscardedFiles(fs FS, dir string) error {
	discarded := filepath.Join(dir, discardedDir)
	names, err := fs.ReadDir(discarded)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	for _, name := range names {
		err = errors.Join(err, fs.Truncate(filepath.Join(discarded, name), 0))
	}
	return err
}

package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

var errCrashed = errors.New("crashed")

// memoryFS is an in-memory file system that distinguishes current from durable state.
// Only synced content under a synced name is durable.
type memoryFS struct {
	mu sync.Mutex
	// names holds the current files.
	names map[string]*inode
	// durable holds the files whose names are synced.
	durable map[string]*inode
	locked  bool
	// steps counts the modifying calls.
	steps int
	// crashAt is the number of the modifying call from which on all calls fail; 0
	// means no crash.
	crashAt int
	// freeBytes is the number of bytes that can still be written; negative is
	// unlimited.
	freeBytes int
	// syncError, if set, is returned by all syncs.
	syncError error
	// readError holds the errors of reads by the suffix of the file name.
	readError map[string]error
}

type inode struct {
	data   []byte
	synced []byte
}

func newMemoryFS() *memoryFS {
	return &memoryFS{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1, readError: map[string]error{}}
}

// tailSurvival returns what remains of the unsynced end of a file after a crash.
type tailSurvival func(unsynced []byte) []byte

var (
	nothing    tailSurvival = func([]byte) []byte { return nil }
	everything tailSurvival = func(unsynced []byte) []byte { return unsynced }
	firstHalf  tailSurvival = func(unsynced []byte) []byte { return unsynced[:len(unsynced)/2] }
	// lastHalf is for a later block that reached the disk before an earlier one.
	lastHalf tailSurvival = func(unsynced []byte) []byte {
		return append(make([]byte, len(unsynced)/2), unsynced[len(unsynced)/2:]...)
	}
)

// nameSurvival reports whether unsynced changes of a file name survive a crash.
type nameSurvival func(name string) bool

var (
	noNames  nameSurvival = func(string) bool { return false }
	allNames nameSurvival = func(string) bool { return true }
	// onlyIdentity, evenNames and oddNames are for changes that reached the disk out
	// of order.
	onlyIdentity nameSurvival = func(name string) bool { return filepath.Base(name) == identityName }
	evenNames    nameSurvival = func(name string) bool {
		digits, _, _ := strings.Cut(filepath.Base(name), ".")
		return strings.ContainsAny(digits[len(digits)-1:], "02468ace")
	}
	oddNames nameSurvival = func(name string) bool { return !evenNames(name) }
)

// crash drops everything that isn't durable, except for the unsynced changes that
// names and tails let survive.
func (m *memoryFS) crash(names nameSurvival, tails tailSurvival) {
	kept := map[string]*inode{}
	for name, n := range m.durable {
		if !names(name) {
			kept[name] = n
		}
	}
	for name, n := range m.names {
		if names(name) {
			kept[name] = n
		}
	}
	next := map[string]*inode{}
	for name, n := range kept {
		data := n.synced
		if tail, ok := bytes.CutPrefix(n.data, n.synced); ok {
			data = append(slices.Clone(data), tails(tail)...)
		}
		next[name] = &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	}
	m.names = next
	m.durable = maps.Clone(next)
	m.locked = false
	m.steps, m.crashAt = 0, 0
	m.freeBytes = -1
	m.syncError = nil
}

func (m *memoryFS) countStep() error {
	m.steps++
	if m.crashAt > 0 && m.steps >= m.crashAt {
		return errCrashed
	}
	return nil
}

func (m *memoryFS) get(name string) (*inode, error) {
	n := m.names[name]
	if n == nil {
		return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
	}
	return n, nil
}

func (m *memoryFS) MkdirAll(string) error { return nil }

func (m *memoryFS) ReadDir(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for suffix, err := range m.readError {
		if strings.HasSuffix(name, suffix) {
			return nil, err
		}
	}
	n, err := m.get(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(n.data), nil
}

func (m *memoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countStep(); err != nil {
		return nil, err
	}
	n := &inode{}
	m.names[name] = n
	return &handle{m, n}, nil
}

func (m *memoryFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := m.get(name)
	return &handle{m, n}, err
}

func (m *memoryFS) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countStep(); err != nil {
		return err
	}
	n, err := m.get(name)
	if err != nil {
		return err
	}
	n.data = n.data[:size]
	n.synced = slices.Clone(n.data)
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countStep(); err != nil {
		return err
	}
	n, err := m.get(from)
	if err != nil {
		return err
	}
	m.names[to] = n
	delete(m.names, from)
	return nil
}

func (m *memoryFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countStep(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memoryFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countStep(); err != nil {
		return err
	}
	inDir := func(name string, _ *inode) bool { return filepath.Dir(name) == dir }
	maps.DeleteFunc(m.durable, inDir)
	for name, n := range m.names {
		if inDir(name, n) {
			m.durable[name] = n
		}
	}
	return nil
}

func (m *memoryFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, errors.New("data folder is in use")
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ m *memoryFS }

func (u unlocker) Close() error {
	u.m.locked = false
	return nil
}

type handle struct {
	m *memoryFS
	n *inode
}

func (h *handle) Write(p []byte) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if err := h.m.countStep(); err != nil {
		// A crash during a write leaves a part of the data.
		h.n.data = append(h.n.data, p[:len(p)/2]...)
		return 0, err
	}
	if h.m.freeBytes >= 0 && len(p) > h.m.freeBytes {
		h.n.data = append(h.n.data, p[:h.m.freeBytes]...)
		h.m.freeBytes = 0
		return 0, syscall.ENOSPC
	}
	if h.m.freeBytes >= 0 {
		h.m.freeBytes -= len(p)
	}
	h.n.data = append(h.n.data, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if err := h.m.countStep(); err != nil {
		return err
	}
	if h.m.syncError != nil {
		return h.m.syncError
	}
	h.n.synced = slices.Clone(h.n.data)
	return nil
}

func (h *handle) Close() error { return nil }

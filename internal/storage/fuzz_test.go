package storage

import (
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// repairRecords sets the magic numbers and checksums of possible records in data, so that
// the fuzzer reaches the code that handles valid records.
func repairRecords(data []byte) []byte {
	data = append([]byte(nil), data...)
	for at := 0; at+recordHeaderSize <= len(data); {
		length := int(binary.LittleEndian.Uint32(data[at+8:]))
		if length > len(data)-at-recordHeaderSize {
			return data
		}
		binary.LittleEndian.PutUint32(data[at:], recordMagic)
		writeChecksum(data[at : at+recordHeaderSize+length])
		at += recordHeaderSize + length + padding(length)
	}
	return data
}

// FuzzSegment opens a folder whose only segment has arbitrary content. Either Open
// returns ErrDamaged, or opening it twice gives the same state, whose entries have no
// gap.
func FuzzSegment(f *testing.F) {
	whole := newFilledFS(is.New(f), 1<<20, 8)
	identity := whole.names[name(identityName)].data
	f.Add(whole.names[name(firstSegment)].data, false)
	f.Add(whole.names[name(firstSegment)].data, true)
	f.Add(whole.names[name(firstSegment)].data[:100], false)
	f.Add([]byte{}, false)
	f.Fuzz(func(t *testing.T, data []byte, repair bool) {
		if repair {
			data = repairRecords(data)
		}
		m := newMemoryFS()
		m.names[name(identityName)] = &inode{data: identity, synced: identity}
		m.names[name(firstSegment)] = &inode{data: data, synced: data}
		first, ok := openState(t, m)
		if !ok {
			return
		}
		second, ok := openState(t, m)
		if !ok || !reflect.DeepEqual(first, second) {
			t.Fatalf("opened as %+v, then as %+v", first, second)
		}
		for i, e := range first.Entries {
			if e.Index != first.Base.Index+uint64(i)+1 {
				t.Fatalf("entry %d has index %d after base %d", i, e.Index, first.Base.Index)
			}
		}
	})
}

func openState(t *testing.T, m *memoryFS) (*State, bool) {
	s, err := Open(dir, Options{FS: m})
	if err != nil {
		if !errors.Is(err, ErrDamaged) {
			t.Fatalf("unexpected error %v", err)
		}
		return nil, false
	}
	state := s.State()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return state, true
}

package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// A snapshot file has the format
//
//	magic u32 | crc32c u32 | index u64 | term u64 | replica set length u64 | replica set | data
//
// The checksum covers everything after it.
const (
	snapshotMagic      = 0x31535050 // "PPS1"
	snapshotHeaderSize = 32
	snapshotSuffix     = ".snapshot"
	tempSuffix         = ".tmp"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

func encodeSnapshot(s *Snapshot) ([]byte, error) {
	replicas, err := proto.Marshal(s.Replicas)
	if err != nil {
		return nil, fmt.Errorf("encode replica set: %w", err)
	}
	buf := make([]byte, 0, snapshotHeaderSize+len(replicas)+len(s.Data))
	buf = binary.LittleEndian.AppendUint32(buf, snapshotMagic)
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = append(buf, encodeUint64s(s.ID.Index, s.ID.Term, uint64(len(replicas)))...)
	buf = append(buf, replicas...)
	buf = append(buf, s.Data...)
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(buf[8:], castagnoli))
	return buf, nil
}

func decodeSnapshot(data []byte) (*Snapshot, error) {
	if len(data) < snapshotHeaderSize || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return nil, damagedError("snapshot header")
	}
	if crc32.Checksum(data[8:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, damagedError("snapshot checksum")
	}
	s := &Snapshot{Replicas: &wire.ReplicaSet{}}
	var length uint64
	decodeUint64s(data[8:snapshotHeaderSize], &s.ID.Index, &s.ID.Term, &length)
	body := data[snapshotHeaderSize:]
	if length > uint64(len(body)) {
		return nil, damagedError("snapshot replica set")
	}
	if err := proto.Unmarshal(body[:length], s.Replicas); err != nil {
		return nil, damagedError("snapshot replica set: %v", err)
	}
	s.Data = body[length:]
	return s, nil
}

// writeFileAtomically writes a file under a temporary name, syncs it, renames it and
// syncs the folder. So a crash leaves either no file of that name or a complete one.
func writeFileAtomically(fs FS, name string, data []byte) error {
	temp := name + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return err
	}
	err = writeInChunks(f, data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(temp, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

// syncChunkBytes is the number of bytes of a file that are written between two syncs.
// A large amount of unsynced data would delay concurrent syncs of the log.
const syncChunkBytes = 4 << 20

func writeInChunks(f File, data []byte) error {
	for {
		chunk := data[:min(len(data), syncChunkBytes)]
		data = data[len(chunk):]
		if _, err := f.Write(chunk); err != nil {
			return err
		}
		if err := f.Sync(); err != nil {
			return err
		}
		if len(data) == 0 {
			return nil
		}
	}
}

// readSnapshots returns the usable snapshots among the files names of dir, oldest
// first, and the names of the damaged ones.
func readSnapshots(fs FS, dir string, names []string) (usable []*Snapshot, damagedNames []string, err error) {
	for _, name := range names {
		if !strings.HasSuffix(name, snapshotSuffix) {
			continue
		}
		s, err := readSnapshot(fs, filepath.Join(dir, name))
		if err != nil && !errors.Is(err, ErrDamaged) {
			return nil, nil, err
		}
		if err != nil || snapshotName(s.ID.Index) != name {
			damagedNames = append(damagedNames, name)
			continue
		}
		usable = append(usable, s)
	}
	return usable, damagedNames, nil
}

func readSnapshot(fs FS, name string) (*Snapshot, error) {
	data, err := readFile(fs, name)
	if err != nil {
		return nil, err
	}
	return decodeSnapshot(data)
}

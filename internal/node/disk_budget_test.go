package node

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/link"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// The smallest disk and memory of any deployment, in bytes.
const (
	smallestDisk   = 64e6
	smallestMemory = 112e6
)

// smallDisk is a disk for the files of one folder. It refuses what exceeds its size.
type smallDisk struct {
	storage.Disk
	root string
	size int64
	// snapshotDelay is the time in nanoseconds that a sync of a snapshot file takes longer.
	snapshotDelay atomic.Int64

	mu sync.Mutex
	// peak is the most that was in use.
	peak int64
	// refused counts the refused writes.
	refused int
}

type smallDiskFile struct {
	storage.File
	disk *smallDisk
	name string
}

func (d *smallDisk) Create(name string) (storage.File, error) {
	f, err := d.Disk.Create(name)
	return &smallDiskFile{f, d, name}, err
}

func (d *smallDisk) Append(name string) (storage.File, error) {
	f, err := d.Disk.Append(name)
	return &smallDiskFile{f, d, name}, err
}

func (f *smallDiskFile) Write(p []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	free := d.size - folderBytes(d.root)
	n, err := f.File.Write(p[:max(0, min(int64(len(p)), free))])
	d.peak = max(d.peak, folderBytes(d.root))
	if err == nil && n < len(p) {
		d.refused++
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *smallDiskFile) Sync() error {
	if strings.Contains(f.name, ".snapshot") {
		time.Sleep(time.Duration(f.disk.snapshotDelay.Load()))
	}
	return f.File.Sync()
}

// folderBytes returns the size of all files in a folder.
func folderBytes(root string) int64 {
	var n int64
	_ = filepath.WalkDir(root, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // removed meanwhile
		}
		if info, err := entry.Info(); err == nil {
			n += info.Size()
		}
		return nil
	})
	return n
}

// diskHosts are control replicas on small disks.
type diskHosts struct {
	hosts []*replicaHost
	disks []*smallDisk
	ended chan error
}

// startDiskHosts starts control replicas, each with a disk of smallestDisk.
func startDiskHosts(t *testing.T, folders []string, budget storage.Budget) *diskHosts {
	is := is.New(t)
	links := freeAddresses(t, len(folders))
	d := &diskHosts{ended: make(chan error, len(folders))}
	for i, folder := range folders {
		settings := &daemon.Settings{Name: fmt.Sprint("vm", i), Domain: "d", Link: links[i], Control: links, LogLevel: "fatal", Trace: "off", StopDeadline: time.Second}
		p, err := daemon.NewProcess(settings, link.RoleControl)
		is.NoErr(err)
		disk := &smallDisk{root: folder, size: smallestDisk}
		h := &replicaHost{process: p, options: &ControlOptions{Settings: settings, Data: folder, Storage: storage.Options{FS: disk, Budget: budget}, Bootstrap: true,
			Control: control.Options{Leases: membership.DefaultLeaseConfig()}}}
		is.NoErr(h.start())
		is.NoErr(p.Serve(h, h.ready))
		go func() { d.ended <- h.run() }()
		d.hosts, d.disks = append(d.hosts, h), append(d.disks, disk)
	}
	return d
}

func (d *diskHosts) close(t *testing.T) {
	for _, h := range d.hosts {
		h.close()
		if err := <-d.ended; err != nil {
			t.Error(err)
		}
	}
}

// restart starts closed replicas anew from their folders.
func (d *diskHosts) restart(t *testing.T, budget storage.Budget) {
	for _, h := range d.hosts {
		h.options.Storage.Budget, h.options.Bootstrap, h.closed = budget, false, false
		is.New(t).NoErr(h.start())
		go func() { d.ended <- h.run() }()
	}
}

// put has a route table with a document of the given size acknowledged, within limit.
func (d *diskHosts) put(t *testing.T, version uint64, size int, limit time.Duration) bool {
	change := &wire.RouteTableChange{Table: &wire.RouteTable{Version: version}, Document: bytes.Repeat([]byte{byte(version)}, size)}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		attempt, cancel := context.WithTimeout(ctx, 2*time.Second)
		result, err := d.hosts[i%len(d.hosts)].PutRoutes(attempt, change)
		cancel()
		if err == nil && result.GetVersion() >= version {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Guards against a log that fills the disk of each control VM, because nothing was removed from it before
// it had reached sizes that did not depend on the disk: no change was acknowledged any more.
func TestChangesOfAnySizeAreTakenOnTheSmallestDisk(t *testing.T) {
	const (
		ackLimit = 4 * time.Second
		// perRoute is added to ackLimit for each route of a table.
		perRoute   = 3 * time.Millisecond
		routeBytes = 150
	)
	for _, test := range []struct {
		size, count int
		// slow is the snapshotDelay of one replica.
		slow time.Duration
	}{{300 << 10, 400, 0}, {12<<20 - 100, 16, 0}, {12<<20 - 100, 16, 200 * time.Millisecond}} {
		t.Run(fmt.Sprint(test.size, test.slow), func(t *testing.T) {
			size, count := test.size, test.count
			is := is.New(t)
			folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
			d := startDiskHosts(t, folders, storage.NewBudget(smallestDisk, smallestMemory))
			is.True(d.put(t, 1, 10, 20*time.Second))
			d.disks[2].snapshotDelay.Store(int64(test.slow))
			for version := uint64(2); version <= uint64(count); version++ {
				if !d.put(t, version, size, ackLimit+time.Duration(size/routeBytes)*perRoute) {
					t.Fatalf("version %d is not acknowledged", version)
				}
			}
			d.close(t)
			for _, disk := range d.disks {
				t.Logf("%d of %d bytes used at most", disk.peak, disk.size)
				is.Equal(disk.refused, 0)
			}
		})
	}
}

// Guards against control replicas that start on full disks and wait for room that only they could free: an earlier
// build left them so, and the whole installation was down for good.
func TestReplicasThatStartOnFullDisksServeAgain(t *testing.T) {
	is := is.New(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	// As in builds without a budget, the log goes on until the disk is full: the second snapshot is due only then.
	unbounded := storage.Budget{LogBytes: 1 << 30, SnapshotInterval: 60e6, SegmentBytes: 8 << 20, SnapshotBytes: 1 << 30}
	d := startDiskHosts(t, folders, unbounded)
	is.True(d.put(t, 1, 10, 20*time.Second))
	acknowledged := uint64(1)
	for d.put(t, acknowledged+1, 500<<10, time.Second) {
		acknowledged++
		is.True(acknowledged < 200) // more than the disk holds
	}
	d.close(t)
	is.True(acknowledged > 100)
	for _, folder := range folders {
		is.NoErr(os.WriteFile(filepath.Join(folder, "0.snapshot.tmp"), make([]byte, max(0, smallestDisk-folderBytes(folder))), 0o600))
	}

	d.restart(t, storage.NewBudget(smallestDisk, smallestMemory))
	for version := acknowledged + 1; version < acknowledged+100; version++ {
		if !d.put(t, version, 500<<10, 20*time.Second) {
			t.Fatalf("version %d is not acknowledged", version)
		}
	}
	d.close(t)
}

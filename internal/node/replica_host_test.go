package node

import (
	"context"
	"fmt"
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

// fillableDisk is a disk that refuses writes while it is full.
type fillableDisk struct {
	storage.Disk
	full atomic.Bool
}

type fillableFile struct {
	storage.File
	disk *fillableDisk
}

func (d *fillableDisk) Create(name string) (storage.File, error) {
	f, err := d.Disk.Create(name)
	return &fillableFile{f, d}, err
}

func (d *fillableDisk) Append(name string) (storage.File, error) {
	f, err := d.Disk.Append(name)
	return &fillableFile{f, d}, err
}

func (f *fillableFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// putWeights sets a weights version and retries until it is acknowledged.
func putWeights(t *testing.T, h *replicaHost, version uint64) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := h.PutWeights(ctx, &wire.WeightsTarget{Model: "m", Version: version})
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("version %d: %v", version, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A full disk stops the replica but not its process. Once the disk takes writes, the
// replica starts anew with everything it had acknowledged.
func TestReplicaRestartsAfterFullDisk(t *testing.T) {
	is := is.New(t)
	links := freeAddresses(t, 1)
	settings := &daemon.Settings{Name: "vm", Domain: "d", Link: links[0], Control: links, LogLevel: "error", Trace: "off", StopDeadline: time.Second}
	p, err := daemon.NewProcess(settings, link.RoleControl)
	is.NoErr(err)
	disk := &fillableDisk{}
	h := &replicaHost{process: p, options: &ControlOptions{Settings: settings, Data: t.TempDir(), Storage: storage.Options{FS: disk}, Bootstrap: true,
		Control: control.Options{Leases: membership.DefaultLeaseConfig()}}}
	is.NoErr(h.start())
	ended := make(chan error, 1)
	go func() { ended <- h.run() }()
	for version := uint64(1); version <= 6; version += 2 {
		putWeights(t, h, version)
		stopped := h.replica()
		disk.full.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		is.True(h.PutWeights(ctx, &wire.WeightsTarget{Model: "m", Version: version + 1}) != nil)
		cancel()
		<-stopped.Done()
		disk.full.Store(false)
		putWeights(t, h, version)
		is.True(h.replica() != stopped)
		is.Equal(h.Snapshot().WeightsTargets()[0].GetVersion(), version)
	}
	h.close()
	is.NoErr(<-ended)
}

// Guards against changes that are refused or not answered any more after the disks of the control VMs
// were full one after another, never two at once, while all processes ran.
func TestChangesAreTakenAfterFullDisksInTurn(t *testing.T) {
	is := is.New(t)
	const vms = 4
	links := freeAddresses(t, vms)
	var hosts []*replicaHost
	var disks []*fillableDisk
	ended := make(chan error, vms)
	for i, address := range links {
		settings := &daemon.Settings{Name: fmt.Sprint("vm", i), Domain: "d", Link: address, Control: links[:3], LogLevel: "fatal", Trace: "off", StopDeadline: time.Second}
		p, err := daemon.NewProcess(settings, link.RoleControl)
		is.NoErr(err)
		disk := &fillableDisk{}
		h := &replicaHost{process: p, options: &ControlOptions{Settings: settings, Data: t.TempDir(), Storage: storage.Options{FS: disk}, Bootstrap: true,
			Control: control.Options{Leases: membership.DefaultLeaseConfig()}}}
		is.NoErr(h.start())
		is.NoErr(p.Serve(h, h.ready))
		go func() { ended <- h.run() }()
		hosts, disks = append(hosts, h), append(disks, disk)
	}
	voters := func() int { return hosts[0].status().Voters() }
	for deadline := time.Now().Add(20 * time.Second); voters() < vms; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // all vote
	}
	var version uint64
	for turn := range 2 * vms {
		full := turn % vms
		disks[full].full.Store(true)
		stopped := hosts[full].replica()
		for began := time.Now(); time.Since(began) < 1500*time.Millisecond; {
			version++
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = hosts[turn*3%vms].PutWeights(ctx, &wire.WeightsTarget{Model: "m", Version: version})
			cancel()
		}
		<-stopped.Done()
		disks[full].full.Store(false) // the next one is full at once
	}
	const ackLimit = 4 * time.Second
	for i, h := range hosts {
		version++
		ctx, cancel := context.WithTimeout(context.Background(), ackLimit)
		for ctx.Err() == nil && h.PutWeights(ctx, &wire.WeightsTarget{Model: "m", Version: version}) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		if ctx.Err() != nil {
			t.Errorf("VM %d acknowledges no change within %v", i, ackLimit)
		}
		cancel()
	}
	for deadline := time.Now().Add(20 * time.Second); voters() < vms; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // all vote again
	}
	for _, h := range hosts {
		h.close()
		is.NoErr(<-ended)
	}
}

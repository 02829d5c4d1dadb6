//go:build faults

package e2e

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// killAndWipe kills a control process and removes its data folder.
func (in *installation) killAndWipe(name string) {
	in.processes[name].kill()
	if err := os.RemoveAll(filepath.Join(in.dir, name)); err != nil {
		in.t.Fatal(err)
	}
}

// TestDiskLossAfterRepair wipes the data of one of five control replicas and waits
// until it is a voter again. Then it wipes two others, so that the repaired replica
// belongs to the remaining quorum. Changes accepted and bookings answered before
// must not be lost.
func TestDiskLossAfterRepair(t *testing.T) {
	in := newInstallation(t, layout{controls: 5})
	l := startLoad(in)
	l.waitForProgress("requests before the faults")
	revision, _ := in.change("peak")
	const key, body = "booking-before", `{"sample":"before"}`
	status, first := l.resend(t, "router-0", key, body)
	if status != 200 {
		t.Fatalf("booking: %d %s", status, first)
	}
	leader := in.leader()
	in.killAndWipe(leader)
	in.processes[leader].start()
	in.waitFor("the empty replica is a voter", func() bool { return in.voters() == in.controls && in.metrics(leader).Confirmed })
	lost := []string{in.leader()}
	for _, name := range in.daemons() {
		if isControl(name) && name != leader && name != lost[0] && len(lost) < 2 {
			lost = append(lost, name)
		}
	}
	began := time.Now()
	for _, name := range lost {
		in.killAndWipe(name)
	}
	in.client = in.operator(in.operatorAddressesExcept(lost[0])...)
	next, accepted := in.change("ordinary")
	t.Logf("a change was accepted %v after the loss", accepted.Sub(began))
	if next <= revision {
		t.Errorf("revision %d was accepted after revision %d", next, revision)
	}
	if status, again := l.resend(t, "router-1", key, body); status != 200 || again != first {
		t.Errorf("the booking's record is lost: %d %s, want %s", status, again, first)
	}
	l.waitForProgress("requests after the loss")
	for _, name := range lost {
		in.processes[name].start()
	}
	in.waitFor("five voters again", func() bool {
		return in.voters() == in.controls && in.metrics(lost[0]).Confirmed && in.metrics(lost[1]).Confirmed
	})
	if now := in.status().Revision; now < next {
		t.Errorf("revision %d, want at least %d", now, next)
	}
	l.stopAndCheck(t)
}

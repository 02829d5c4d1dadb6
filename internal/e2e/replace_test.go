//go:build faults

package e2e

import (
	"fmt"
	"testing"
	"time"
)

// A cluster without a leader after each of its control VMs was replaced by one at another
// address.
func TestControlVMsReplacedOneAfterAnother(t *testing.T) {
	in := newInstallation(t, layout{})
	l := startLoad(in)
	l.waitForProgress("requests before the faults")
	first := in.controls
	newest := uint64(0)
	for i := range first {
		gone := in.linkAddress(fmt.Sprint("control-", i))
		in.processes[fmt.Sprint("control-", i)].kill()
		in.controls++
		// Its own address is one of those in --control, of which some are gone.
		in.addControl(in.controls-1, "--tolerated-losses", "1")
		in.client = in.operator(in.operatorAddresses()[i+1:]...)
		began := time.Now()
		in.waitFor("the successor votes, and who is gone does not", func() bool {
			s := in.status()
			if s == nil || in.voters() != first {
				return false
			}
			for _, r := range s.Replicas {
				if r.Address == gone && !r.Learner {
					return false
				}
			}
			return true
		})
		t.Logf("replaced %v after the successor's start", time.Since(began))
		revision, _ := in.change([]string{"peak", "ordinary"}[i%2])
		if revision <= newest {
			t.Errorf("revision %d was accepted after revision %d", revision, newest)
		}
		newest = revision
	}
	for i := first; i < in.controls; i++ {
		in.processes[fmt.Sprint("control-", i)].kill()
	}
	for i := first; i < in.controls; i++ {
		in.processes[fmt.Sprint("control-", i)].start()
	}
	in.waitFor("the newest revision is read back", func() bool {
		s := in.status()
		return s != nil && s.Confirmed && s.Revision >= newest
	})
	l.waitForProgress("requests after the replacements")
	l.stopAndCheck(t)
}

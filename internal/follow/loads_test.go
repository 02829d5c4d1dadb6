package follow

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// A watch must deliver each load digest once, and the control replicas together
// with updates of the view.
func TestWatchDeliversLoadDigestsAndControlAddresses(t *testing.T) {
	is := is.New(t)
	s := NewServer(view.NewLog(view.DefaultLogLimits()), confirmed, 1)
	var mu sync.Mutex
	digest, changed := (*wire.LoadDigest)(nil), make(chan struct{})
	s.Control = func() []string { return []string{"10.0.0.1:1", "10.0.0.4:1"} }
	s.Loads = func() (*wire.LoadDigest, <-chan struct{}) {
		mu.Lock()
		defer mu.Unlock()
		return digest, changed
	}
	address, _ := serveViews(t, s)
	stream, err := openWatch(t, address)
	is.NoErr(err)
	first, err := stream.Recv()
	is.NoErr(err)
	is.Equal(len(first.GetViewUpdate().GetControl()), 2)
	for number := range uint64(2) {
		mu.Lock()
		digest = &wire.LoadDigest{Term: 1, Number: number + 1}
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		for {
			resp, err := stream.Recv()
			is.NoErr(err)
			if loads := resp.GetViewUpdate().GetLoads(); loads != nil {
				is.Equal(loads.GetNumber(), number+1)
				break
			}
		}
	}
}

package crashreport

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// marshalling is a recorder that marshals commands, as links do.
type marshalling struct{ recorder }

func (m *marshalling) Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error) {
	if _, err := proto.Marshal(command); err != nil {
		return nil, err
	}
	return m.recorder.Propose(ctx, command)
}

// Guards against a request ID that no message can hold, and for which the crashes under all calls of
// the same batch were not counted. Callers choose the IDs; headers may hold any bytes from 0x80 on.
func TestReportWithAnInvalidRequestIDIsCounted(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &marshalling{}
		r := New(control, view.NewStore())
		var calls sync.WaitGroup
		for i := range 25 {
			calls.Go(func() {
				report := callReport(i)
				if i == 7 {
					report.RequestId = "odd\xff"
				}
				is.True(r.Report(time.Second, report) != nil) // counted
			})
		}
		calls.Wait()
		is.Equal(len(control.commands), 1)
	})
}

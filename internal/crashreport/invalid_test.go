package crashreport

import (
	"context"
	"errors"
	"strings"
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
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	if len(data) > 512<<10 {
		return nil, errors.New("the command is too large")
	}
	return m.recorder.Propose(ctx, command)
}

// Guards against request IDs that no message can hold, or that make the command too large, and for which
// the crashes under all calls of the same batch were not counted. Callers choose the IDs; headers may hold
// any bytes from 0x80 on, and up to 64 KiB.
func TestReportWithAnInvalidRequestIDIsCounted(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := &marshalling{}
		r := New(control, view.NewStore())
		invalid := []string{"odd\xff", strings.Repeat("i", 60<<10), strings.Repeat("\u20ac", 20<<10)}
		var calls sync.WaitGroup
		for i := range 25 {
			calls.Go(func() {
				report := callReport(i)
				report.RequestId = invalid[i%len(invalid)]
				is.True(r.Report(time.Second, report) != nil) // counted
			})
		}
		calls.Wait()
		is.Equal(len(control.commands), 1)
	})
}

package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop whose time a transfer of leadership uses up, so that nothing is left for the
// requests that run.
func TestTransferLeavesTimeForTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		err := transferWithin(ctx, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(began), 3500*time.Millisecond)
		is.NoErr(ctx.Err())
	})
}

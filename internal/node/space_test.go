package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/storage"
)

func TestFullDisksAreRecognized(t *testing.T) {
	is := is.New(t)
	is.True(isFull(fmt.Errorf("write: %w", syscall.ENOSPC)))
	is.True(isFull(fmt.Errorf("%w: %w", storage.ErrFull, syscall.ENOSPC)))
	is.True(!isFull(errors.New("other")))
	is.True(!isFull(nil))
}

func TestRoomIsLookedForAndLeftAsItWas(t *testing.T) {
	is := is.New(t)
	data := filepath.Join(t.TempDir(), "data")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	awaitSpace(ctx, data)
	is.NoErr(ctx.Err())
	left, err := os.ReadDir(data)
	is.NoErr(err)
	is.Equal(len(left), 0)
}

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
	is.True(isDiskFull(fmt.Errorf("write: %w", syscall.ENOSPC)))
	is.True(isDiskFull(fmt.Errorf("%w: %w", storage.ErrFull, syscall.ENOSPC)))
	is.True(!isDiskFull(errors.New("other")))
	is.True(!isDiskFull(nil))
}

func TestAwaitDiskSpaceLeavesNoFiles(t *testing.T) {
	is := is.New(t)
	data := filepath.Join(t.TempDir(), "data")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	awaitDiskSpace(ctx, data, storage.Options{})
	is.NoErr(ctx.Err())
	left, err := os.ReadDir(data)
	is.NoErr(err)
	is.Equal(len(left), 0)
}

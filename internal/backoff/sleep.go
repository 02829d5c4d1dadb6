// Package backoff provides helpers for clients that retry.
package backoff

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done. It reports whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

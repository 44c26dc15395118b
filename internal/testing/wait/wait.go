// Package wait has functions for waiting, and measures scheduling stalls. Test programs share it.
package wait

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx ends, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

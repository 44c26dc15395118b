// Package wait holds the waits that the test programs share.
package wait

import (
	"context"
	"time"
)

// Sleep waits, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

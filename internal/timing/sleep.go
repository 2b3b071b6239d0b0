// Package timing has waits that end with a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for the duration d. It returns false if the context ends first, else true.
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

// Package pause waits between retries.
package pause

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Package periodic runs functions at an interval and sleeps until a context is done.
package periodic

import (
	"context"
	"time"
)

// Run calls f after each interval until ctx is done. A call that takes longer than the interval delays the next one.
func Run(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Sleep waits for d or until ctx is done. It returns at once if d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

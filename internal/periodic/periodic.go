// Package periodic runs a function again and again, and waits.
package periodic

import (
	"context"
	"time"
)

// Run calls f after each interval until ctx ends. A call that takes longer than the interval delays the next.
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

// Sleep waits for d or until ctx ends. It returns at once when d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

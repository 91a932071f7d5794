package forward

import (
	"cmp"
	"time"
)

// countWindow is the minimum time for which a count of entries is kept after smaller ones are received. An agent that has just started
// knows few entries; within a second it knows all of them.
const countWindow = 2 * time.Second

// recentMax is the maximum of the values received recently. The zero value holds the zero value of T.
type recentMax[T cmp.Ordered] struct {
	// current is the maximum since windowStart, and previous the maximum of the window before.
	current, previous T
	windowStart       time.Time
}

// add records a value, which is kept for at least a window.
func (p *recentMax[T]) add(now time.Time, window time.Duration, n T) {
	if now.Sub(p.windowStart) >= window {
		var none T
		p.previous, p.current, p.windowStart = p.current, none, now
	}
	p.current = max(p.current, n)
}

// value returns the maximum of the recent values.
func (p *recentMax[T]) value() T { return max(p.current, p.previous) }

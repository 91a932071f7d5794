package forward

import "time"

// recentMaxWindow is the minimum time for which a count is kept after smaller ones are received. An agent that has just started
// knows few entries; within a second it knows all of them.
const recentMaxWindow = 2 * time.Second

// recentMax is the maximum of the counts received recently. The zero value is 0.
type recentMax struct {
	// current is the maximum since windowStart, and previous the maximum of the window before.
	current, previous int
	windowStart       time.Time
}

// add records a count.
func (p *recentMax) add(now time.Time, n int) {
	if now.Sub(p.windowStart) >= recentMaxWindow {
		p.previous, p.current, p.windowStart = p.current, 0, now
	}
	p.current = max(p.current, n)
}

// value returns the maximum of the recent counts.
func (p *recentMax) value() int { return max(p.current, p.previous) }

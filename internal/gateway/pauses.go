package gateway

import "time"

// pauses tells where a stream stood still.
type pauses struct {
	// events counts those that were read of it.
	events int
	last   time.Time
	// upstream is the longest time between two events as they were read, and caller the longest that a write to the caller took.
	upstream, caller time.Duration
}

// read notes that an event was read.
func (p *pauses) read(at time.Time) {
	if p.events > 0 {
		p.upstream = max(p.upstream, at.Sub(p.last))
	}
	p.events++
	p.last = at
}

// wrote notes how long a write to the caller took.
func (p *pauses) wrote(took time.Duration) { p.caller = max(p.caller, took) }

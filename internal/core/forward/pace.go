package forward

import (
	"math"
	"time"
)

const (
	// leastRate, in requests a second, is what an upstream that names a smaller limit is still given by all entries together: only an
	// answer tells that a limit has ended.
	leastRate = 0.2
	// slotKept is how long a moment for a request to an upstream at its limit stays of use. What is not used is lost: entries that were
	// idle would bring all that they saved at once.
	slotKept = time.Second
)

// pace spreads this entry's requests to an upstream that has named a limit for all entries together. Each entry has moments of its own at which
// it may send one, at random from entry to entry, so that together they keep to the limit without a word to one another. Its zero value
// is that of an upstream without a limit.
type pace struct {
	// heard is when a limit was named last.
	heard time.Time
	// interval is the time between two moments of this entry, 0 without a limit, and next the first one that was not used.
	interval time.Duration
	next     time.Time
	// kept is how long a moment stays of use; 0 stands for slotKept.
	kept time.Duration
}

// set takes a limit of which this entry has a part; draw is any random number.
func (p *pace) set(now time.Time, limit, part float64, draw uint64) {
	p.heard = now
	interval := intervalOf(limit, part)
	wait := float64(mix(draw)) / math.MaxUint64
	if p.interval > 0 { // What is left of the wait goes on: drawn anew with each answer it would be half as long on the whole.
		wait = float64(p.next.Sub(now)) / float64(p.interval)
	}
	p.interval = interval
	p.next = now.Add(time.Duration(wait * float64(interval)))
}

// intervalOf is the time between two requests of an entry that has a part of a limit.
func intervalOf(limit, part float64) time.Duration {
	return time.Duration(float64(time.Second) / (max(limit, leastRate) * part))
}

// lift ends the limit.
func (p *pace) lift() { *p = pace{} }

// allows tells whether a request may be sent now.
func (p *pace) allows(now time.Time) bool {
	if p.interval == 0 {
		return true
	}
	if missed := now.Add(-p.slotKept()).Sub(p.next); missed > 0 {
		p.next = p.next.Add((missed/p.interval + 1) * p.interval)
	}
	return !p.next.After(now)
}

func (p *pace) slotKept() time.Duration {
	if p.kept > 0 {
		return p.kept
	}
	return slotKept
}

// use notes that a request was sent.
func (p *pace) use() { p.next = p.next.Add(p.interval) }

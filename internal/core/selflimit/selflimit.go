// Package selflimit decides how many requests an entry may have in flight while its own process is late. Both paths use it: package request
// on the first product's path and package forward on the users' platform. The package is pure: see package step.
//
// A process can be late for two reasons. If its own work takes its processor time, then less work shortens the delay, and new requests over
// a limit are refused at once. If other processes take the processors, or the process was suspended, refusing callers would not help, and
// no request is refused for it.
package selflimit

import "time"

const (
	// LateDelay is the delay of a second from which a process counts as late. It is far above the delays of a busy process that keeps up
	// (some tens of milliseconds) and below the latency objectives of callers.
	LateDelay = 250 * time.Millisecond
	// OwnWorkShare is the share of its processor time that a process must have used itself for its delay to count as caused by its own
	// work. Below it, the processors were idle or others used them.
	OwnWorkShare = 0.7
	// MinRequests is the lowest value of the limit. An entry that is late for long still serves so many requests at a time.
	MinRequests = 16

	// shrinkFactor is applied to the limit in each second that is late by own work.
	shrinkFactor = 0.8
	// growStep is by which part the limit grows in the first second that is not late by own work. In the next one it grows by twice that
	// part, and so on. The first seconds keep the limit near the number of requests that the entry can serve on time, and the later ones
	// lift it soon after the cause has gone.
	growStep = 0.02
	// liftFactor is how many times as many requests as were in flight a limit must allow to be lifted.
	liftFactor = 2
)

// OwnDelay is the event that one more second of this process was measured; see package owndelay.
type OwnDelay struct {
	// Delay is how late this process was in that second.
	Delay time.Duration
	// OwnShare is the share of its processor time that this process used itself in that second, from 0 to 1.
	OwnShare float64
}

// Event marks the type as an event.
func (OwnDelay) Event() {}

// lateByOwnWork reports whether this process was late, and less own work would shorten the delay.
func (d OwnDelay) lateByOwnWork() bool { return d.Delay >= LateDelay && d.OwnShare >= OwnWorkShare }

// Limit is the limit on the requests in flight at one entry. The zero value allows any number.
type Limit struct {
	// limit is the maximum number of requests in flight; 0 for no limit. It is not an integer, so that factors close to 1 take effect.
	limit float64
	// peak is the highest number of requests in flight since the last OwnDelay, and refused is set if one was refused since.
	peak    int
	refused bool
	// calm counts the seconds in a row that were not late by own work.
	calm int
}

// Admit reports whether a new request may be accepted while inFlight others are in flight. Only new requests are limited: a retry or a
// continuation belongs to a request that was admitted and must not be passed to Admit.
func (l *Limit) Admit(inFlight int) bool {
	if l.limit > 0 && inFlight >= l.Max() {
		l.refused = true
		return false
	}
	l.peak = max(l.peak, inFlight+1)
	return true
}

// Max returns the maximum number of requests in flight; 0 for no limit.
func (l *Limit) Max() int { return int(l.limit) }

// Measured adjusts the limit to one more second of this process, at whose end inFlight requests are in flight. The limit shrinks if the
// second was late by own work. It grows in every other second, until it no longer binds and is lifted.
func (l *Limit) Measured(d OwnDelay, inFlight int) {
	peak := max(l.peak, inFlight)
	if d.lateByOwnWork() {
		l.shrink(peak)
	} else {
		l.grow(peak)
	}
	l.peak, l.refused = inFlight, false
}

func (l *Limit) shrink(peak int) {
	base := float64(peak)
	if l.limit > 0 {
		base = min(base, l.limit)
	}
	l.limit, l.calm = max(MinRequests, shrinkFactor*base), 0
}

func (l *Limit) grow(peak int) {
	l.calm++
	l.limit *= 1 + growStep*float64(l.calm)
	if !l.refused && l.limit >= liftFactor*float64(peak) {
		l.limit, l.calm = 0, 0
	}
}

package forward

import (
	"math"
	"time"
)

const (
	// minLimitRate, in requests per second, is what all entries together still send to an upstream with a smaller limit. Without any
	// requests, they would get no answer that shows that the limit has ended.
	minLimitRate = 0.2
	// defaultSlotLifetime is how long an unused send slot for an upstream at its limit stays valid. Unused slots expire, since
	// otherwise entries that were idle would use all their saved slots at once.
	defaultSlotLifetime = time.Second
)

// pacer spreads this entry's requests to an upstream that set a rate limit for all entries together. Each entry gets its own send
// slots, with a random offset, so that the entries together keep to the limit without coordination. The zero value is for an
// upstream without a limit.
type pacer struct {
	// limitAt is when a limit was last received.
	limitAt time.Time
	// interval is the time between two slots of this entry, 0 without a limit, and next the first unused slot.
	interval time.Duration
	next     time.Time
	// slotLifetime is how long a slot stays valid; 0 for defaultSlotLifetime.
	slotLifetime time.Duration
}

// setLimit sets the rate limit in requests per second, and the share of it that this entry may use. draw is a random number that
// sets the offset of the first slot.
func (p *pacer) setLimit(now time.Time, limit, share float64, draw uint64) {
	p.limitAt = now
	interval := slotInterval(limit, share)
	wait := float64(mix(draw)) / math.MaxUint64
	if p.interval > 0 { // Keep the remaining part of the current wait: a new draw with each answer would halve the mean wait.
		wait = float64(p.next.Sub(now)) / float64(p.interval)
	}
	p.interval = interval
	p.next = now.Add(time.Duration(wait * float64(interval)))
}

// slotInterval returns the time between two requests of an entry with a share of a limit.
func slotInterval(limit, share float64) time.Duration {
	return time.Duration(float64(time.Second) / (max(limit, minLimitRate) * share))
}

// reset ends the limit.
func (p *pacer) reset() { *p = pacer{} }

// allows reports whether a request may be sent now. It skips the slots that have expired.
func (p *pacer) allows(now time.Time) bool {
	if p.interval == 0 {
		return true
	}
	if missed := now.Add(-p.maxSlotAge()).Sub(p.next); missed > 0 {
		p.next = p.next.Add((missed/p.interval + 1) * p.interval)
	}
	return !p.next.After(now)
}

func (p *pacer) maxSlotAge() time.Duration {
	if p.slotLifetime > 0 {
		return p.slotLifetime
	}
	return defaultSlotLifetime
}

// used records that a request was sent in the first unused slot.
func (p *pacer) used() { p.next = p.next.Add(p.interval) }

package forward

import (
	"math"
	"time"
)

const (
	// plainFactor is how many requests for each slot an entry gives a plain upstream, which queues a few more.
	plainFactor = 2
	// usualReadRate is in tokens of prompts a second, for engines of which the manifest does not say it.
	usualReadRate = 30000.0
	// farMargin is how many places an entry leaves free at an engine of another data centre, of whose load it hears late: nearer
	// entries fill them meanwhile, and what comes on top waits at the engine.
	farMargin = 2
	// unheardSharers is how many entries an entry at least assumes to give an engine as much work as itself, that has no word on
	// the engine's load.
	unheardSharers = 2
)

// hasRoom tells whether this entry may give the upstream one more request.
func (t *target) hasRoom(now time.Time, r *request) bool {
	return t.occupied(now, r) < t.limit(r) && !t.crowded(r) && !t.spent(now, r) && t.paced(now) && t.holds(t.load.tokens+r.tokens)
}

// holds tells whether an engine's memory holds so many tokens. An engine that runs out of it takes a request off that has begun, or crashes.
func (t *target) holds(tokens int) bool {
	return t.engine == nil || t.engine.Tokens <= 0 || tokens <= t.engine.Tokens
}

// occupied is how many requests the upstream has, as far as this entry knows.
func (t *target) occupied(now time.Time, r *request) int {
	if r.model == "" {
		return t.load.inFlight
	}
	if t.load.heard(now) {
		return t.load.inFlight + t.load.others
	}
	return t.load.inFlight * max(unheardSharers, t.sharers)
}

// crowded tells whether an engine has as many prompts to read as this entry gives it at once. A request that was sent before does
// not wait for that.
func (t *target) crowded(r *request) bool {
	reading := t.load.reading
	return r.sends == 0 && reading > 0 && float64(reading+r.prompt) > t.readBound()
}

// readBound is how many tokens of prompts an entry has an engine read at once: its part of what entries give it together. The more entries
// there are, the more engines each has to choose from, so that prompts spread and none waits.
func (t *target) readBound() float64 {
	readers := t.load.told.Near
	if t.distance > 0 {
		readers = t.load.told.Entries
	}
	return t.readRate() * t.readAhead.Seconds() / float64(max(1, readers))
}

// readRate is how many tokens of prompts the engine reads in a second at its present pace.
func (t *target) readRate() float64 {
	if t.engine != nil && t.engine.ReadRate > 0 {
		return t.engine.ReadRate / t.slowdown()
	}
	return usualReadRate / t.slowdown()
}

// slowFrom is from which slowdown on an engine comes after the others.
const slowFrom = 1.5

// slowdown is how many times as long as its service says the engine takes, 1 at least.
func (t *target) slowdown() float64 {
	if told := t.load.told.Slowdown; told > 1 && !math.IsInf(told, 0) {
		return told
	}
	return 1
}

// slow tells whether the engine's requests are likely to be late.
func (t *target) slow() bool { return t.slowdown() >= slowFrom }

// limit is how many requests the upstream may have.
func (t *target) limit(r *request) int {
	switch {
	case r.model == "":
		return t.slots() * plainFactor
	case t.distance > 0 && r.sends == 0:
		return max(1, t.slots()-farMargin)
	}
	return t.slots()
}

// slots is how many requests the upstream works on at once. Its entry may come from another writer, and claims no more than its service
// says.
func (t *target) slots() int {
	if t.engine != nil && t.engine.Slots > 0 {
		return max(1, min(t.Slots, t.engine.Slots))
	}
	return max(1, t.Slots)
}

// share is how many requests this entry may give an engine until its agent's next word, beside those whose places it frees itself: its part
// of the free places, since all entries that hear of these fill them at once; see also readable. draw is any random number.
func (t *target) share(ev LoadTold, draw uint64) int {
	slots, sharers := t.slots(), ev.Near
	if t.distance > 0 {
		slots, sharers = max(1, slots-farMargin), ev.Entries-ev.Near
	}
	part := math.Min(float64(max(0, slots-ev.Occupied)), t.readable()) / float64(max(1, sharers))
	whole := math.Floor(part)
	if float64(mix(draw))/math.MaxUint64 < part-whole { // So that on the whole no part of a place is lost.
		whole++
	}
	return int(whole)
}

// readable is how many prompts of the usual length an engine reads in the time that entries let it read ahead; see Policy. They begin no more at
// once together, so that an
// engine that has come back empty is filled at the pace at which it reads.
func (t *target) readable() float64 {
	if t.engine == nil || t.engine.UsualPrompt <= 0 {
		return math.MaxInt
	}
	return math.Max(1, t.readRate()*t.readAhead.Seconds()/t.engine.UsualPrompt)
}

// spent tells whether this entry has used its share of an engine's free places.
func (t *target) spent(now time.Time, r *request) bool {
	return r.model != "" && r.sends == 0 && t.load.allowance <= 0 && t.load.heard(now)
}

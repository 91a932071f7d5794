package forward

import (
	"math"
	"time"
)

const (
	// plainQueueFactor is how many requests an entry sends to a plain upstream per slot; the upstream queues those beyond its
	// slots.
	plainQueueFactor = 2
	// defaultPrefillRate is the rate, in prompt tokens per second, of engines for which the manifest sets none.
	defaultPrefillRate = 30000.0
	// farReservedSlots is how many slots an entry leaves free at an engine of another data centre, whose load reports arrive late.
	// Nearer entries fill these slots in the meantime, and any further request would wait at the engine.
	farReservedSlots = 2
	// minAssumedEntries is how many entries at least are assumed to send an engine as many requests as this one, while its load
	// report is missing.
	minAssumedEntries = 2
)

// hasCapacity reports whether this entry may send the upstream one more request.
func (t *target) hasCapacity(now time.Time, r *request) bool {
	return t.occupied(now, r) < t.maxRequests(r) && !t.prefillFull(r) && !t.shareUsedUp(now, r) && t.rateAllowed(now) && t.fitsMemory(t.load.tokens+r.tokens)
}

// fitsMemory reports whether an engine's memory holds that many tokens. An engine that runs out of memory evicts a request that it
// has started, or crashes.
func (t *target) fitsMemory(tokens int) bool {
	return t.engine == nil || t.engine.MemoryTokens <= 0 || tokens <= t.engine.MemoryTokens
}

// occupied returns how many requests the upstream has, as far as this entry knows.
func (t *target) occupied(now time.Time, r *request) int {
	if r.model == "" {
		return t.load.inFlight
	}
	if t.load.hasReport(now) {
		return t.load.inFlight + t.load.otherRequests
	}
	return t.load.inFlight * max(minAssumedEntries, t.entries)
}

// prefillFull reports whether the engine has as many prompt tokens pending as this entry sends it at once. A request that was sent
// before does not wait for that.
func (t *target) prefillFull(r *request) bool {
	pending := t.load.pendingPromptTokens
	return r.attempts == 0 && pending > 0 && float64(pending+r.prompt) > t.maxPendingTokens()
}

// maxPendingTokens returns how many prompt tokens this entry may have pending at the engine: its share of what all entries may
// have. The more entries there are, the more engines each one can choose from, so that prompts spread out and none waits.
func (t *target) maxPendingTokens() float64 {
	entries := t.load.report.NearEntries
	if t.distance > 0 {
		entries = t.load.report.Entries
	}
	return t.prefillRate() * t.prefillAhead.Seconds() / float64(max(1, entries))
}

// prefillRate returns how many prompt tokens per second the engine processes at its present speed.
func (t *target) prefillRate() float64 {
	if t.engine != nil && t.engine.PromptTokensPerSecond > 0 {
		return t.engine.PromptTokensPerSecond / t.slowdown()
	}
	return defaultPrefillRate / t.slowdown()
}

// slowThreshold is the slowdown from which an engine is used only after the others.
const slowThreshold = 1.5

// slowdown returns the engine's reported processing time relative to what its service declares, as a factor of at least 1.
func (t *target) slowdown() float64 {
	if reported := t.load.report.Slowdown; reported > 1 && !math.IsInf(reported, 0) {
		return reported
	}
	return 1
}

// slow reports whether the engine's requests are likely to be late.
func (t *target) slow() bool { return t.slowdown() >= slowThreshold }

// maxRequests returns how many requests the upstream may have.
func (t *target) maxRequests(r *request) int {
	switch {
	case r.model == "":
		return t.slots() * plainQueueFactor
	case t.distance > 0 && r.attempts == 0:
		return max(1, t.slots()-farReservedSlots)
	}
	return t.slots()
}

// slots returns how many requests the upstream works on at once. Its registration may come from another writer, so the service's
// own number is an upper limit.
func (t *target) slots() int {
	if t.engine != nil && t.engine.Slots > 0 {
		return max(1, min(t.Slots, t.engine.Slots))
	}
	return max(1, t.Slots)
}

// shareOfFree returns how many requests this entry may send to the engine before its next load report, in addition to those whose
// slots it frees itself. It is this entry's share of the free slots, since all entries that receive the report fill them at the
// same time; see also prefillPrompts. The random number draw decides how the share is rounded.
func (t *target) shareOfFree(ev LoadReported, draw uint64) int {
	slots, entries := t.slots(), ev.NearEntries
	if t.distance > 0 {
		slots, entries = max(1, slots-farReservedSlots), ev.Entries-ev.NearEntries
	}
	share := math.Min(float64(max(0, slots-ev.RequestCount)), t.prefillPrompts()) / float64(max(1, entries))
	requests := math.Floor(share)
	if float64(mix(draw))/math.MaxUint64 < share-requests { // Round up at random, so that on average no fraction of a slot is lost.
		requests++
	}
	return int(requests)
}

// prefillPrompts returns how many prompts of the usual length the engine processes within Policy.PrefillAhead. The entries together
// send no more at once, so that an engine that returns empty is filled at the speed at which it processes prompts.
func (t *target) prefillPrompts() float64 {
	if t.engine == nil || t.engine.MeanPromptTokens <= 0 {
		return math.MaxInt
	}
	return math.Max(1, t.prefillRate()*t.prefillAhead.Seconds()/t.engine.MeanPromptTokens)
}

// shareUsedUp reports whether this entry has used its share of the engine's free slots.
func (t *target) shareUsedUp(now time.Time, r *request) bool {
	return r.model != "" && r.attempts == 0 && t.load.remainingShare <= 0 && t.load.hasReport(now)
}

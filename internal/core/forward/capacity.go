package forward

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

const (
	// plainQueueFactor bounds how many requests of an entry a plain upstream may have, per slot. With 2, at most as many of them
	// wait in the upstream's queue as it has slots.
	plainQueueFactor = 2
	// defaultPrefillRate is the rate, in prompt tokens per second, of engines for which the manifest sets none.
	defaultPrefillRate = 30000.0
	// farReservedSlots is how many slots an entry leaves free at an engine of another data centre. The engine's load reports arrive
	// late. Nearer entries fill these slots in the meantime, and any further request would wait at the engine.
	farReservedSlots = 2
	// minAssumedEntries bounds from below how many entries are assumed to use an engine whose load report is missing. Each of
	// them, this one included, is assumed to have as many requests there as this one.
	minAssumedEntries = 2
)

// hasCapacity reports whether this entry may send the upstream one more request.
func (v *upstreamView) hasCapacity(now time.Time, r *request) bool {
	return v.hasSlot(now, r) && !v.prefillFull(r) && v.fitsMemory(v.load.tokens+r.tokens)
}

// hasSlot reports whether the upstream has a slot that the request may take, disregarding its size.
func (v *upstreamView) hasSlot(now time.Time, r *request) bool {
	return v.occupied(now, r) < v.maxRequests(r) && !v.shareUsedUp(now, r) && v.rateAllowed(now) && !v.load.reserved.excludes(r) && !v.beyondLimit(now, r)
}

// fitsMemory reports whether an engine's memory holds that many tokens.
func (v *upstreamView) fitsMemory(tokens int) bool { return fitsMemory(v.engine, tokens) }

// fitsMemory reports whether the memory of an engine holds that many tokens; e is nil for an upstream of a plain service. An engine that
// runs out of memory evicts a request that it has started, or crashes.
func fitsMemory(e *catalog.Engine, tokens int) bool {
	return e == nil || e.MemoryTokens <= 0 || tokens <= e.MemoryTokens
}

// occupied returns how many requests the upstream has, as far as this entry knows. Of a plain upstream it knows only its own.
func (v *upstreamView) occupied(now time.Time, r *request) int {
	if r.model == "" {
		return v.load.inFlight
	}
	if v.load.hasReport(now) {
		return v.load.inFlight + v.load.otherRequests
	}
	return v.load.inFlight * max(minAssumedEntries, v.entries)
}

// prefillFull reports whether the request's prompt would exceed what this entry may have pending at the engine at once. It never does
// so if no prompt is pending, and never for a request that was attempted before.
func (v *upstreamView) prefillFull(r *request) bool {
	pending := v.load.pendingPromptTokens
	return r.attempts == 0 && pending > 0 && float64(pending+r.prompt) > v.maxPendingTokens()
}

// maxPendingTokens returns how many prompt tokens this entry may have pending at the engine: its share of what all entries may
// have. The more entries there are, the more engines each one can choose from, so that prompts spread out and none waits.
func (v *upstreamView) maxPendingTokens() float64 {
	entries := v.load.report.NearEntries
	if v.distance > 0 {
		entries = v.load.report.Entries
	}
	return v.prefillRate() * v.prefillAhead.Seconds() / float64(max(1, entries))
}

// prefillRate returns how many prompt tokens per second the engine processes at its present speed.
func (v *upstreamView) prefillRate() float64 {
	if v.engine != nil && v.engine.PromptTokensPerSecond > 0 {
		return v.engine.PromptTokensPerSecond / v.slowdown()
	}
	return defaultPrefillRate / v.slowdown()
}

// slowThreshold is the slowdown from which an engine is used only after the others.
const slowThreshold = 1.5

// slowdown returns the engine's reported processing time relative to what its service declares, as a factor of at least 1.
func (v *upstreamView) slowdown() float64 {
	if reported := v.load.report.Slowdown; reported > 1 && !math.IsInf(reported, 0) {
		return reported
	}
	return 1
}

// slow reports whether the engine's requests are likely to be late.
func (v *upstreamView) slow() bool { return v.slowdown() >= slowThreshold }

// maxRequests returns how many requests the upstream may have. The reserve for nearer entries does not apply to requests that the plan across
// data centres sends there; see sendsUntilNextReport.
func (v *upstreamView) maxRequests(r *request) int {
	switch {
	case r.model == "":
		return v.slots() * plainQueueFactor
	case r.rank(v) > 0 && r.attempts == 0:
		return max(1, v.slots()-farReservedSlots)
	}
	return v.slots()
}

// slots returns how many requests the upstream works on at once. Its registration may come from another writer, so the service's
// own number is an upper limit.
func (v *upstreamView) slots() int {
	if v.engine != nil && v.engine.Slots > 0 {
		return max(1, min(v.Slots, v.engine.Slots))
	}
	return max(1, v.Slots)
}

// shareOfFree returns how many requests this entry may send to the engine before its next load report. It is this entry's share of
// the free slots, since all entries that receive the report fill them at the same time; see also prefillPrompts. A slot that a
// request of this entry frees in the meantime is added; see release. draw is a random number that decides how the share is rounded.
func (v *upstreamView) shareOfFree(ev LoadReported, draw uint64) int {
	slots, entries := v.slots(), ev.NearEntries
	if v.distance > 0 {
		slots, entries = max(1, slots-farReservedSlots), ev.Entries-ev.NearEntries
	}
	share := math.Min(float64(max(0, slots-ev.RequestCount)), v.prefillPrompts()) / float64(max(1, entries))
	requests := math.Floor(share)
	if float64(mix(draw))/math.MaxUint64 < share-requests { // Round up at random, so that on average no fraction of a slot is lost.
		requests++
	}
	return int(requests)
}

// prefillPrompts returns how many prompts of the usual length the engine processes within Policy.PrefillAhead. The entries together
// send no more at once. An engine that returns without requests is therefore filled at the speed at which it processes prompts.
func (v *upstreamView) prefillPrompts() float64 {
	if v.engine == nil || v.engine.MeanPromptTokens <= 0 {
		return math.MaxInt
	}
	return math.Max(1, v.prefillRate()*v.prefillAhead.Seconds()/v.engine.MeanPromptTokens)
}

// shareUsedUp reports whether this entry has used its share of the engine's free slots.
func (v *upstreamView) shareUsedUp(now time.Time, r *request) bool {
	return r.model != "" && r.attempts == 0 && v.load.remainingSends <= 0 && v.load.hasReport(now)
}

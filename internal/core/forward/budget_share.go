package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	// baseShare is the part of a retry budget's base that the entries use. The rest covers startBaseShare, and retries that were decided
	// over a longer time and arrive together.
	baseShare = 0.7
	// startBaseShare is the part that an entry may use in the first window in which agents count it. What the process before it has used
	// is unknown; both together may use baseShare + startBaseShare within one window.
	startBaseShare = 0.25
	// countWindows is how long a count of entries is kept after smaller ones are received, in windows of the budget: an entry that agents
	// no longer count goes on with its share for one, and what it used then counts for another.
	countWindows = 2
	// defaultEntries is the assumed number of entries that share the budget until an agent has reported a count. It bounds this
	// entry to at most an eighth of the budget's base and of an upstream's rate limit.
	defaultEntries = 8
)

// budgetShare is what this entry knows about the entries among which the base of each retry budget is divided.
type budgetShare struct {
	// entries is the number of entries, as agents counted them.
	entries recentMax[int]
	// countedSince is when agents began to count this entry; before their first report, it is when the entry started. countedAt is when
	// one last reported a count.
	countedSince, countedAt time.Time
}

// started records the first input of this process.
func (b *budgetShare) started(now time.Time) {
	if b.countedSince.IsZero() {
		b.countedSince = now
	}
}

// counted records a count of entries, which includes this one.
func (b *budgetShare) counted(now time.Time, window time.Duration, entries int) {
	if b.uncounted(now, window) {
		b.countedSince = now
	}
	b.countedAt = now
	b.entries.add(now, countWindows*window, entries)
}

// uncounted reports whether no agent has reported for so long that the other entries may divide the budget without this one.
func (b *budgetShare) uncounted(now time.Time, window time.Duration) bool {
	return !b.countedAt.IsZero() && now.Sub(b.countedAt) >= window
}

// base returns how many retries this entry may send within a window beyond those that its requests allow. An entry that has just started
// gets them little by little: the process before it may have used its whole share a moment ago, and nothing lasts on the host that would
// tell. However often entries restart, all processes together thus stay within the base. The same holds for an entry that agents count
// again.
func (b *budgetShare) base(now time.Time, r hostconfig.RetryBudget) float64 {
	entries := b.entries.value()
	if entries <= 0 {
		entries = defaultEntries
	}
	return b.part(now, r.Window) * r.Base / float64(entries)
}

// part returns the part of the base that all entries together would use if each were in the state of this one.
func (b *budgetShare) part(now time.Time, window time.Duration) float64 {
	age := now.Sub(b.countedSince)
	switch {
	case b.uncounted(now, window):
		return 0
	case age < window:
		return startBaseShare * float64(age) / float64(window)
	case b.countedAt.IsZero(): // There may be more than defaultEntries.
		return startBaseShare
	}
	return baseShare
}

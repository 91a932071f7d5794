package attribution

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CrashThreshold is the number of crashes, of which a part was not cleared, that start its quarantine.
	CrashThreshold = 3
	// minSpread is the least time between the first and the last of these crashes. Upstreams that crash for a common reason, such as a
	// loss of power, crash at once; requests come one after the other.
	minSpread = 100 * time.Millisecond
	// reportTime is how long the suspects of a crash may take to be reported by all processes. A decision waits for them if another part
	// would be to blame with one crash more.
	reportTime = 300 * time.Millisecond
	// settleTime is how long a decision waits where the answers that speak for a part may still be reported: at a process that has just
	// started, and if several parts explain the same crashes. provenSettleTime is the same for a proven part; within it a request with
	// such a part is usually answered.
	settleTime       = time.Second
	provenSettleTime = 1500 * time.Millisecond
	// evidenceInterval and pendingInterval are the least times between two looks at the evidence, after new evidence and without any. Many
	// attempts break at the same moment.
	evidenceInterval = 10 * time.Millisecond
	pendingInterval  = 50 * time.Millisecond
	// establishedAfter and establishedAnswers are the time since its start, or the number of whole answers, after which a process knows
	// which parts are proven.
	establishedAfter   = 3 * time.Second
	establishedAnswers = 30
	// popularInFlight is how many more attempts with a part must be in progress than crashed for the part not to be limited: each attempt
	// with a part that crashes upstreams does so soon.
	popularInFlight = 5
)

// tally is the evidence against one part.
type tally struct {
	part Part
	// crashes are those of which the part was not cleared, the oldest first.
	crashes []*crash
	// links counts crashes that follow each other in the sense that the later one's attempt was sent after the earlier one.
	links int
	// proven is set if the part was answered completely before.
	proven bool
	// inFlight is the number of this process's attempts with the part that are in progress.
	inFlight int
	// evidentAt is when the evidence reached the threshold: at the third crash, or for a proven part at the third link.
	evidentAt time.Time
}

// tallies returns the evidence against each part that some crash counts against.
func (t *Table) tallies() []*tally {
	byPart := map[Part]*tally{}
	for _, c := range t.crashes {
		if t.explained(c) {
			continue
		}
		for p, s := range c.suspects {
			if s.cleared {
				continue
			}
			y := byPart[p]
			if y == nil {
				_, known := t.history[p]
				y = &tally{part: p, proven: known, inFlight: t.inFlight[p]}
				byPart[p] = y
			}
			y.crashes = append(y.crashes, c)
			y.proven = y.proven || s.proven
		}
	}
	list := make([]*tally, 0, len(byPart))
	for _, y := range byPart {
		y.finish()
		list = append(list, y)
	}
	slices.SortFunc(list, func(a, b *tally) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return list
}

// finish computes what follows from the crashes.
func (y *tally) finish() {
	slices.SortFunc(y.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if !y.byDifferentRequests() {
		return
	}
	var last time.Time
	for i, c := range y.crashes {
		if i == 0 || c.suspects[y.part].sentAt.After(last) {
			y.links++
			last = c.at
		}
		if y.evidentAt.IsZero() && y.reached(i+1) {
			y.evidentAt = c.at
		}
	}
}

// byDifferentRequests reports whether attempts of more than one request broke in the crashes.
func (y *tally) byDifferentRequests() bool {
	for _, c := range y.crashes {
		if c.suspects[y.part].request != y.crashes[0].suspects[y.part].request {
			return true
		}
	}
	return false
}

// mostlyCrashes reports whether no more attempts with the part are in progress than crashed an upstream. Each attempt with a part that
// crashes upstreams does so soon.
func (y *tally) mostlyCrashes() bool { return y.inFlight <= len(y.crashes) }

// reached reports whether the first n crashes reach the threshold. A proven part must have crashed upstreams one after the other: when
// many upstreams crash at once, each proven part is in flight at many of them.
func (y *tally) reached(n int) bool {
	if y.proven {
		return y.links >= CrashThreshold
	}
	return n >= CrashThreshold && (y.links > 1 || y.crashes[n-1].at.Sub(y.crashes[0].at) >= minSpread)
}

// explains reports whether each crash of another tally is also one of this one.
func (y *tally) explains(other *tally) bool {
	if len(other.crashes) > len(y.crashes) {
		return false
	}
	for _, c := range other.crashes {
		if !slices.Contains(y.crashes, c) {
			return false
		}
	}
	return true
}

// decide quarantines the parts to blame, the one that explains most crashes first. It looks again after each, since the crashes that a
// quarantined part explains count against no other.
func (t *Table) decide(now time.Time) []Change {
	if !t.observer.Decides || !t.undecided || now.Sub(t.decidedAt) < evidenceInterval {
		return nil
	}
	t.decidedAt = now
	var changes []Change
	for {
		blamed, pending := t.blame(now)
		t.undecided = pending
		if len(blamed) == 0 {
			return changes
		}
		for _, y := range blamed {
			changes = append(changes, t.start(now, y.part, len(y.crashes)))
		}
	}
}

// blame returns the parts to quarantine now: one, or several that explain the same crashes and can't be told apart. pending is set if time
// alone may lead to a decision.
func (t *Table) blame(now time.Time) (blamed []*tally, pending bool) {
	list := t.tallies()
	for _, y := range list {
		if y.evidentAt.IsZero() {
			continue
		}
		pending = true
		if !y.mostlyCrashes() {
			continue
		}
		equals, better := y.rivals(list)
		if better || y.proven && len(equals) > 0 {
			continue
		}
		if now.Sub(y.evidentAt) >= t.waitTime(now, y, list, len(equals) > 0) {
			return append(equals, y), true
		}
	}
	return nil, pending
}

// rivals returns the other parts that can't be told apart from y, and whether a part is better to blame than y. That is one that explains
// the crashes of y and more, or the same crashes while fewer attempts with it are in progress. A proven part is never better to blame than
// an unproven one that explains as much.
func (y *tally) rivals(list []*tally) (equals []*tally, better bool) {
	for _, other := range list {
		if other == y || other.evidentAt.IsZero() || other.proven && !y.proven || !other.mostlyCrashes() || !other.explains(y) {
			continue
		}
		switch {
		case len(other.crashes) > len(y.crashes), y.proven && !other.proven, other.inFlight < y.inFlight:
			return nil, true
		case other.inFlight == y.inFlight:
			equals = append(equals, other)
		}
	}
	return equals, false
}

// waitTime returns how long the evidence against a part must have been sufficient. What speaks for it, or against another part, is then known.
func (t *Table) waitTime(now time.Time, y *tally, list []*tally, tied bool) time.Duration {
	switch {
	case y.proven:
		return provenSettleTime
	case tied || now.Sub(t.since) < establishedAfter && t.answers < establishedAnswers:
		return settleTime
	case y.hasCloseRival(list):
		return reportTime
	}
	return 0
}

// hasCloseRival reports whether another part that is not proven has at most one crash less.
func (y *tally) hasCloseRival(list []*tally) bool {
	for _, other := range list {
		if other != y && !other.proven && len(other.crashes)+1 >= len(y.crashes) {
			return true
		}
	}
	return false
}

// MaySend reports whether this process may send one more attempt with a part that is not quarantined. While a part is suspected and not
// proven, no more of its attempts are in progress than crashes are missing for a decision, and at least one, so that each attempt adds to
// the evidence.
func (t *Table) MaySend(p Part) bool {
	allowed := t.allowance(p)
	return allowed < 0 || t.inFlight[p] < allowed
}

// allowance returns how many attempts with a part may be in progress at once; -1 for any number.
func (t *Table) allowance(p Part) int {
	if len(t.crashes) == 0 {
		return -1
	}
	if _, proven := t.history[p]; proven {
		return -1
	}
	for _, c := range t.crashes {
		if s := c.suspects[p]; s != nil && s.proven {
			return -1
		}
	}
	n := t.unclearedCrashes(p)
	if n == 0 || t.inFlight[p] >= n+popularInFlight {
		return -1
	}
	return max(1, CrashThreshold-n)
}

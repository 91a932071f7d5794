package attribution

import (
	"cmp"
	"slices"
	"time"
)

// Recorded is the quarantine of a part as the platform's store holds it. It outlasts all processes, and operators lift quarantines by it.
type Recorded struct {
	Part       Part
	Generation uint32
	Lifted     bool
	Owner      uint32
	StartedAt  time.Time
	Crashes    int
}

// MergeRecorded applies the quarantines that the store holds, and returns those that change with it. A record that is missing changes
// nothing: the store may have come back from a copy.
func (t *Table) MergeRecorded(now time.Time, list []Recorded) []Change {
	var changes []Change
	for _, r := range list {
		// The store does not know when the last request came, and its time of the start is by another process's clock.
		report := QuarantineReport{Part: r.Part, Generation: r.Generation, Lifted: r.Lifted, Owner: r.Owner, Crashes: r.Crashes}
		if q := t.quarantines[r.Part]; q != nil {
			report.AgeMS, report.SeenMS = now.Sub(q.startedAt).Milliseconds(), now.Sub(q.seenAt).Milliseconds()
		}
		changes = append(changes, t.mergeQuarantine(now, report)...)
	}
	return changes
}

// Unrecorded returns the quarantines that this process decided on and that are not, or differently, in the list that the store holds.
func (t *Table) Unrecorded(list []Recorded) []Recorded {
	var missing []Recorded
	for p, q := range t.quarantines {
		if q.owner != t.observer.ID {
			continue
		}
		held := slices.IndexFunc(list, func(r Recorded) bool {
			return r.Part == p && (r.Generation > q.generation || r.Generation == q.generation && (r.Lifted || !q.lifted))
		})
		if held < 0 {
			missing = append(missing, Recorded{Part: p, Generation: q.generation, Lifted: q.lifted, Owner: q.owner, StartedAt: q.startedAt, Crashes: q.crashes})
		}
	}
	slices.SortFunc(missing, func(a, b Recorded) int { return cmp.Compare(a.Part, b.Part) })
	return missing
}

// TakeExpired returns the parts whose quarantines have ended since the last call and whose records this process is to remove.
func (t *Table) TakeExpired() []Part {
	expired := t.expired
	t.expired = nil
	return expired
}

// HasQuarantines reports whether the table has any quarantine, or one whose record is to be removed.
func (t *Table) HasQuarantines() bool { return len(t.quarantines) > 0 || len(t.expired) > 0 }

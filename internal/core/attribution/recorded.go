package attribution

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

// removalDelay is how long after the end of a quarantine its record is removed. By then it has ended at all processes.
const removalDelay = time.Minute

// Recorded is the quarantine of a part as the platform's store holds it. It outlasts all processes, and operators lift quarantines by it.
type Recorded struct {
	Part       Part
	Generation uint32
	Lifted     bool
	Owner      uint32
	StartedAt  time.Time
	Crashes    int
	// Revision is the store's revision of the record that was read; zero for one that is not in the store.
	Revision storerev.Revision
}

// MergeRecorded applies the quarantines that the store holds, and returns those that change with it. starting is set for the first read of
// a process. Only that one starts quarantines: later ones would start those again that have ended. A record that is missing changes nothing:
// the store may have come back from a copy.
func (t *Table) MergeRecorded(now time.Time, list []Recorded, starting bool) []Change {
	var changes []Change
	for _, r := range list {
		// The store does not know when the last request came, and its time of the start is by another process's clock.
		report := QuarantineReport{Part: r.Part, Generation: r.Generation, Lifted: r.Lifted, Owner: r.Owner, Crashes: r.Crashes}
		q := t.quarantines[r.Part]
		if q == nil && !starting {
			continue
		}
		if q != nil {
			report.AgeMS, report.SeenMS = now.Sub(q.startedAt).Milliseconds(), now.Sub(q.seenAt).Milliseconds()
		}
		changes = append(changes, t.mergeQuarantine(now, report)...)
	}
	return changes
}

// RecordChanges returns the records to write to the store, and those to remove from it, given what it holds. The process that decided on a
// quarantine writes its record. Any process writes that it was lifted, and removes the record of one that ended, since the one that decided
// may be gone.
func (t *Table) RecordChanges(now time.Time, list []Recorded) (writes, removals []Recorded) {
	held := map[Part]Recorded{}
	for _, r := range list {
		held[r.Part] = r
	}
	for p, q := range t.quarantines {
		r, found := held[p]
		own := q.owner == t.observer.ID
		isNew := own && !q.lifted && !found || own && found && r.Generation < q.generation
		isLift := found && r.Generation == q.generation && q.lifted && !r.Lifted
		if isNew || isLift {
			writes = append(writes, Recorded{
				Part: p, Generation: q.generation, Lifted: q.lifted, Owner: q.owner, StartedAt: q.startedAt, Crashes: q.crashes, Revision: r.Revision,
			})
		}
	}
	for p, endedAt := range t.ended {
		r, found := held[p]
		switch {
		case !found || t.quarantines[p] != nil:
			delete(t.ended, p)
		case now.Sub(endedAt) >= removalDelay:
			removals = append(removals, r)
		}
	}
	byPart := func(a, b Recorded) int { return cmp.Compare(a.Part, b.Part) }
	slices.SortFunc(writes, byPart)
	slices.SortFunc(removals, byPart)
	return writes, removals
}

// HasRecords reports whether the store may have to be read or written: there is a quarantine, or one has ended whose record may be left.
func (t *Table) HasRecords() bool { return len(t.quarantines) > 0 || len(t.ended) > 0 }

package attribution

import (
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// quietTime is how long after the last request with the part a quarantine ends.
	quietTime = 10 * time.Minute
	// seenResolution is the least difference by which another process's time of the last request replaces the known one. Reports age on
	// their way, so without it processes would renew each other's times.
	seenResolution = 2 * time.Second
	// RetryAfter is the delay that refused callers are given. A trial comes no sooner.
	RetryAfter = time.Minute
)

// trialDelays are the times from the start of a quarantine until its trials: single requests that are sent although they have the part. An
// answer lifts the quarantine. Each trial of a part that does crash upstreams crashes one more, so there are few.
var trialDelays = [...]time.Duration{time.Minute, 10 * time.Minute}

// quarantine is that of one part. It is kept for quietTime after it was lifted, so that a report of it from elsewhere does not start it
// again.
type quarantine struct {
	// generation counts the quarantines of the part.
	generation uint32
	lifted     bool
	// owner is the process that makes the trials: the one with the smallest ID of those that decided at the same time.
	owner uint32
	// startedAt is when it was decided, and crashes how many crashes of the part were known then.
	startedAt time.Time
	crashes   int
	// seenAt is when a process last refused a request for it.
	seenAt time.Time
	// trials counts the trials.
	trials int
}

// ChangeKind is what changed about a quarantine.
type ChangeKind string

// The kinds of changes.
const (
	// Started: this process decided on the quarantine.
	Started ChangeKind = "started"
	// Reported: another process reported the quarantine.
	Reported ChangeKind = "reported"
	// Lifted: an answer showed that the part does not crash upstreams, or an operator lifted the quarantine.
	Lifted ChangeKind = "lifted"
	// Ended: no request with the part came for quietTime.
	Ended ChangeKind = "ended"
)

// Change is a change of a part's quarantine.
type Change struct {
	Part Part
	Kind ChangeKind
	// Crashes is the number of crashes of which the part was found to be the cause.
	Crashes int
}

// Quarantined reports whether a part is quarantined.
func (t *Table) Quarantined(p Part) bool {
	q := t.quarantines[p]
	return q != nil && !q.lifted
}

// FirstQuarantined returns the first of the parts that is quarantined.
func (t *Table) FirstQuarantined(parts []Part) (Part, bool) {
	if len(t.quarantines) == 0 {
		return 0, false
	}
	for _, p := range parts {
		if t.Quarantined(p) {
			return p, true
		}
	}
	return 0, false
}

// Active returns the number of parts that are quarantined.
func (t *Table) Active() int {
	n := 0
	for _, q := range t.quarantines {
		if !q.lifted {
			n++
		}
	}
	return n
}

// Quarantine starts the quarantine of a part that was found to crash upstreams by another rule than the one of this package.
func (t *Table) Quarantine(now time.Time, p Part, crashes int) []Change {
	if t.Quarantined(p) {
		return nil
	}
	return []Change{t.start(now, p, crashes)}
}

// start starts the quarantine of a part.
func (t *Table) start(now time.Time, p Part, crashes int) Change {
	q := &quarantine{generation: 1, owner: t.observer.ID, startedAt: now, crashes: crashes, seenAt: now}
	if before := t.quarantines[p]; before != nil {
		q.generation = before.generation + 1
	}
	t.quarantines[p] = q
	t.changes++
	t.dropOtherSuspects(p)
	return Change{Part: p, Kind: Started, Crashes: crashes}
}

// dropOtherSuspects drops the suspects of the crashes that a quarantined part explains.
func (t *Table) dropOtherSuspects(p Part) {
	for _, c := range t.crashes {
		s := c.suspects[p]
		if s == nil || s.cleared {
			continue
		}
		for other := range c.suspects {
			if !t.Quarantined(other) {
				delete(c.suspects, other)
			}
		}
	}
}

// Refused records that a request was refused because of a part: the quarantine goes on for as long as such requests come.
func (t *Table) Refused(now time.Time, p Part) {
	if q := t.quarantines[p]; q != nil {
		q.seenAt = now
	}
}

// TakeTrial reports whether a request with a quarantined part is to be sent as a trial, and counts it.
func (t *Table) TakeTrial(now time.Time, p Part) bool {
	q := t.quarantines[p]
	if q == nil || q.lifted || q.trials >= len(trialDelays) || now.Sub(q.startedAt) < t.trialDelay(p, q) {
		return false
	}
	q.trials++
	t.changes++
	return true
}

// trialDelay returns the time from the start of a quarantine until its next trial by this process. The owner is first. It may be gone, or get
// no such request, so others follow, each at a time of its own, so that one of them reports its trial before the next one is due.
func (t *Table) trialDelay(p Part, q *quarantine) time.Duration {
	const positions = 1024
	delay := trialDelays[q.trials]
	if q.owner == t.observer.ID {
		return delay
	}
	position := step.Score(p.String(), strconv.FormatUint(uint64(t.observer.ID), 10)) % positions
	return 2*delay + delay*time.Duration(position)/positions
}

// liftAnswered lifts the quarantine of a part if an answer shows that the part does not crash upstreams: the answer to a request that was
// sent after the quarantine began, or one that leaves too little evidence.
func (t *Table) liftAnswered(p Part, sentAt time.Time) []Change {
	q := t.quarantines[p]
	if q == nil || q.lifted || !sentAt.After(q.startedAt) && !t.evidenceGone(p) {
		return nil
	}
	return []Change{t.lift(p, q)}
}

// evidenceGone reports whether enough crashes to start a quarantine are known, and the part has been cleared of so many of them that too
// few are left.
func (t *Table) evidenceGone(p Part) bool {
	all, left := 0, 0
	for _, c := range t.crashes {
		if s := c.suspects[p]; s != nil {
			all++
			if !s.cleared {
				left++
			}
		}
	}
	return all >= CrashThreshold && left < CrashThreshold
}

func (t *Table) lift(p Part, q *quarantine) Change {
	q.lifted = true
	t.changes++
	for _, c := range t.crashes {
		if s := c.suspects[p]; s != nil {
			s.cleared = true
		}
	}
	return Change{Part: p, Kind: Lifted, Crashes: q.crashes}
}

// expireQuarantines removes the quarantines whose part no request had for quietTime.
func (t *Table) expireQuarantines(now time.Time) []Change {
	var changes []Change
	for p, q := range t.quarantines {
		if now.Sub(q.seenAt) <= quietTime {
			continue
		}
		delete(t.quarantines, p)
		if t.observer.Decides {
			t.ended[p] = now
		}
		for _, c := range t.crashes {
			delete(c.suspects, p)
		}
		if !q.lifted {
			changes = append(changes, Change{Part: p, Kind: Ended, Crashes: q.crashes})
		}
	}
	return changes
}

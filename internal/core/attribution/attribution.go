// Package attribution finds out which part of a prompt crashes upstreams, from the crashes that all processes observe, and quarantines
// that part.
//
// A crash has suspects: the shared parts of all prompts whose attempts broke when the upstream crashed. A process that observes the break
// knows only the parts of its own requests, so the processes report suspects to each other. The sound requests that were at the upstream
// are among the suspects too, and requests that crash upstreams share parts with sound ones. Three rules tell them apart:
//
//   - A part is cleared of a crash by one whole answer to a request with it that was sent no earlier than the request that makes it a
//     suspect. A part that many callers share is cleared of each crash soon.
//   - A part that crashes upstreams explains their crashes: once it is quarantined, these crashes count against no other part.
//   - A part that explains more crashes than another one is to blame rather than that one; see rivals.
//
// A request that crashes upstreams by itself is the task of package quarantine; a part needs crashes by different requests.
//
// Suspects and clearings are only ever added, so processes that receive the same ones in any order hold the same evidence.
//
// The package is pure: the current time is a parameter of each call.
package attribution

import (
	"fmt"
	"time"
)

const (
	// crashRetention is how long a crash counts. Requests with the part may come seldom.
	crashRetention = 10 * time.Minute
	// maxCrashes and maxSuspects bound the crashes that are kept and the suspects of each. A suspect takes about 60 bytes.
	maxCrashes  = 64
	maxSuspects = 96
	// historyRetention is how long a part that was answered completely counts as proven, and maxHistory bounds the parts.
	historyRetention = 10 * time.Minute
	maxHistory       = 8192
)

// Part identifies a part of a prompt, such as a document, that several requests may share. It is the same for all callers.
type Part uint64

// String returns the identifier in hexadecimal, as callers send it.
func (p Part) String() string { return fmt.Sprintf("%08x", uint64(p)) }

// Attempt is an attempt to have an upstream run a request.
type Attempt struct {
	// Parts are the shared parts of the prompt.
	Parts []Part
	// Request is a hash that tells different requests apart.
	Request uint16
	// SentAt is when the request was sent to the upstream.
	SentAt time.Time
}

// Observer is the process that holds a table.
type Observer struct {
	// ID identifies the process; see quarantine.owner.
	ID uint32
	// Decides is set for a process that sends requests itself. Others only pass on what they are told: they know no answers, which
	// speak for a part.
	Decides bool
}

// suspicion is what connects a part with a crash.
type suspicion struct {
	// sentAt is when the first attempt with the part that broke in the crash was sent.
	sentAt time.Time
	// request is the smallest hash of the requests with the part whose attempts broke.
	request uint16
	// cleared is set once an answer has shown that the part did not cause the crash.
	cleared bool
	// proven is set if the process that observed the break had seen whole answers to requests with the part before.
	proven bool
}

// crash is the crash of one upstream instance.
type crash struct {
	// at is when the first attempt broke.
	at       time.Time
	suspects map[Part]*suspicion
	// reported is the position of the next suspects to report, if there are more than fit.
	reported int
}

// answer is the last whole answer to a request with a part.
type answer struct {
	// sentAt is when that request was sent, and at when its answer was complete.
	sentAt, at time.Time
}

// Table holds what a process knows of crashes and of the parts that may have caused them. It is not safe for concurrent use.
type Table struct {
	observer Observer
	// since is when the table was first used, and answers counts the whole answers since then.
	since   time.Time
	answers int
	// crashes are the crashes by the hash of the upstream instance.
	crashes map[uint32]*crash
	// history are the last whole answers that this process passed on, by part.
	history     map[Part]answer
	quarantines map[Part]*quarantine
	// inFlight counts the attempts of this process that are in progress, by part.
	inFlight map[Part]int
	// ended are the quarantines whose records may be left in the store, with when they ended.
	ended map[Part]time.Time
	// undecided is set while a decision may be due, and decidedAt is when that was last looked at.
	undecided bool
	decidedAt time.Time
	// changes counts the updates of the table, and contributions those by own answers to what others reported; see Changes and
	// Contributions. round counts the calls of Report.
	changes       uint64
	contributions uint64
	round         int
	dropped       int
}

// NewTable returns an empty table.
func NewTable(o Observer) *Table {
	return &Table{observer: o, crashes: map[uint32]*crash{}, history: map[Part]answer{}, quarantines: map[Part]*quarantine{}, inFlight: map[Part]int{}, ended: map[Part]time.Time{}}
}

// Known reports whether there is anything to report.
func (t *Table) Known() bool { return len(t.crashes) > 0 || len(t.quarantines) > 0 }

// Changes returns a counter that increases with each change that other processes need to know.
func (t *Table) Changes() uint64 { return t.changes }

// Contributions returns a counter that increases when this process knew something of a reported suspect that the reporter did not. Others
// need to know that at once: it may speak for a part that is about to be blamed.
func (t *Table) Contributions() uint64 { return t.contributions }

// TakeDropped returns how many suspects were not recorded since the last call because a crash has too many.
func (t *Table) TakeDropped() int {
	n := t.dropped
	t.dropped = 0
	return n
}

// Sent records that an attempt of this process is in progress, until Ended is called with it.
func (t *Table) Sent(a Attempt) {
	for _, p := range a.Parts {
		t.inFlight[p]++
	}
}

// Ended records that an attempt is no longer in progress.
func (t *Table) Ended(a Attempt) {
	for _, p := range a.Parts {
		if t.inFlight[p]--; t.inFlight[p] <= 0 {
			delete(t.inFlight, p)
		}
	}
}

// Crashed records that an attempt broke when an upstream instance, identified by its hash, crashed. at is when the attempt broke.
func (t *Table) Crashed(now time.Time, upstream uint32, at time.Time, a Attempt) []Change {
	if len(a.Parts) == 0 {
		return nil
	}
	t.touch(now)
	c := t.crash(upstream, at)
	for _, p := range a.Parts {
		h, known := t.history[p]
		t.suspect(c, p, suspicion{sentAt: a.SentAt, request: a.Request, cleared: known && h.sentAt.After(a.SentAt), proven: known})
		if !known && t.unclearedCrashes(p) >= CrashThreshold {
			t.decidedAt = time.Time{} // The request may be sent again at once.
		}
	}
	return t.decide(now)
}

// unclearedCrashes returns how many crashes count against a part.
func (t *Table) unclearedCrashes(p Part) int {
	n := 0
	for _, c := range t.crashes {
		if s := c.suspects[p]; s != nil && !s.cleared && !t.explained(c) {
			n++
		}
	}
	return n
}

// touch records when the table is first used.
func (t *Table) touch(now time.Time) {
	if t.since.IsZero() {
		t.since = now
	}
}

// crash returns the record of a crash, which it creates if there is none.
func (t *Table) crash(upstream uint32, at time.Time) *crash {
	c := t.crashes[upstream]
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.dropOldest()
		}
		c = &crash{at: at, suspects: map[Part]*suspicion{}}
		t.crashes[upstream] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	return c
}

// dropOldest removes the oldest crash, or the oldest one that is explained if there is such a crash.
func (t *Table) dropOldest() {
	var oldest uint32
	var found *crash
	foundExplained := false
	for upstream, c := range t.crashes {
		explained := t.explained(c)
		if found == nil || explained && !foundExplained || explained == foundExplained && c.at.Before(found.at) {
			oldest, found, foundExplained = upstream, c, explained
		}
	}
	delete(t.crashes, oldest)
}

// suspect adds what is known of a part and a crash.
func (t *Table) suspect(c *crash, p Part, s suspicion) {
	known := c.suspects[p]
	if known == nil {
		if t.explained(c) && !t.Quarantined(p) {
			return // Another part caused the crash.
		}
		if len(c.suspects) >= maxSuspects {
			t.dropped++
			return
		}
		c.suspects[p] = &s
		t.changes++
		t.undecided = true
		return
	}
	if s.sentAt.Before(known.sentAt) {
		known.sentAt = s.sentAt
	}
	known.request = min(known.request, s.request)
	if s.cleared && !known.cleared || s.proven && !known.proven {
		known.cleared, known.proven = known.cleared || s.cleared, known.proven || s.proven
		t.changes++
		t.undecided = true
	}
}

// explained reports whether a quarantined part caused the crash.
func (t *Table) explained(c *crash) bool {
	if len(t.quarantines) == 0 {
		return false
	}
	for p, s := range c.suspects {
		if !s.cleared && t.Quarantined(p) {
			return true
		}
	}
	return false
}

// Answered records that an upstream answered a request completely. This clears the request's parts of the crashes of attempts that were
// sent before.
func (t *Table) Answered(now time.Time, a Attempt) []Change {
	t.touch(now)
	t.answers++
	for _, p := range a.Parts {
		h, known := t.history[p]
		if !known && len(t.history) >= maxHistory {
			t.forgetHistory()
		}
		if a.SentAt.After(h.sentAt) {
			h.sentAt = a.SentAt
		}
		h.at = now
		t.history[p] = h
	}
	if len(t.crashes) == 0 && len(t.quarantines) == 0 {
		return nil
	}
	var changes []Change
	for _, p := range a.Parts {
		t.clear(p, a.SentAt)
		changes = append(changes, t.liftAnswered(p, a.SentAt)...)
	}
	return append(changes, t.decide(now)...)
}

// clear clears a part of the crashes of attempts that were sent before a time.
func (t *Table) clear(p Part, sentAt time.Time) {
	for _, c := range t.crashes {
		if s := c.suspects[p]; s != nil && !s.cleared && s.sentAt.Before(sentAt) {
			s.cleared = true
			t.changes++
			t.undecided = true
		}
	}
}

// forgetHistory removes the older half of the history.
func (t *Table) forgetHistory() {
	var newest, oldest time.Time
	for _, h := range t.history {
		if oldest.IsZero() || h.at.Before(oldest) {
			oldest = h.at
		}
		if h.at.After(newest) {
			newest = h.at
		}
	}
	limit := oldest.Add(newest.Sub(oldest) / 2)
	for p, h := range t.history {
		if !h.at.After(limit) {
			delete(t.history, p)
		}
	}
}

// Decide makes the decisions that have become due with time.
func (t *Table) Decide(now time.Time) []Change {
	t.touch(now)
	if now.Sub(t.decidedAt) < pendingInterval {
		return nil
	}
	return t.decide(now)
}

// Expire removes what is too old to count.
func (t *Table) Expire(now time.Time) []Change {
	t.touch(now)
	for upstream, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			delete(t.crashes, upstream)
		}
	}
	for p, h := range t.history {
		if now.Sub(h.at) > historyRetention {
			delete(t.history, p)
		}
	}
	return t.expireQuarantines(now)
}

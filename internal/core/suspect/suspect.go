// Package suspect is the reducer for requests that crash upstreams. A request that was in flight on an upstream when it
// crashed becomes a suspect; it is identified by its fingerprint. A suspect runs alone on an upstream. If that upstream
// crashes too, the fingerprint is quarantined everywhere. A suspect that completes while it runs alone is cleared.
//
// This package is used on the first product's path. Agents judge a crash, and a quarantine lasts 30 minutes. Package quarantine
// does the same task on the users' platform by another rule: entries count the crashes, the third crash quarantines the
// request, and a quarantine lasts 30 seconds.
//
// The status of a fingerprint is published as a mark, a record that is distributed with the settings. Of two marks the one
// with the higher version wins. A version consists of the number of an episode and of a rank within that episode. An episode
// begins with a crash under a request that is not suspect. The ranks are suspect < cleared < quarantined < forgotten, so that
// the order of the marks of one episode depends on no clock.
//
// The number of an episode is a time in milliseconds. A new episode is numbered by the time of its first crash, or by the number
// of the last known episode plus 1 if that is higher. A quarantine raises the number to the time at which it ends. An example,
// with times in seconds:
//
//   - At 1000 an upstream crashes under the request. Its agent publishes the mark 1000 suspect.
//   - At 1060 a copy of the request runs alone, and its upstream crashes too. The mark is 2860 quarantined, because the
//     quarantine ends 1800 seconds later. If the copy had completed instead, the mark would be 1000 cleared.
//   - At 1061 a third upstream crashes. Its agent has received neither mark, so it starts an episode: 1061 suspect. The
//     quarantine wins at every process, because 2860 is higher than 1061.
//   - At 3000, after the quarantine, another crash starts the episode 3000 suspect. It wins over 2860 quarantined.
//
// If the clock of the third agent is an hour ahead, its mark is 4661 suspect, which is higher than 2860 quarantined. A process
// that holds the quarantine then keeps it, and publishes it again as part of the new episode: 4661 quarantined.
//
// A mark contains its duration, not the time at which it expires. Each process counts the duration from when it received the
// mark, by its own clock.
package suspect

import (
	"encoding/json"
	"math"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// Prefix is the prefix of the record keys of marks; the fingerprint follows.
	Prefix = "quarantine/"
	// SuspectDuration is how long a fingerprint stays suspect without further crashes.
	SuspectDuration = 10 * time.Minute
	// QuarantineDuration is the duration of a quarantine.
	QuarantineDuration = 30 * time.Minute
	// ExpiredRetention is how long an expired mark is kept. Processes receive a mark at different times, and it expires at
	// different times at them. ExpiredRetention is longer than the difference, so that no process deletes a mark that is still
	// in force at another one.
	ExpiredRetention = time.Hour
	// isolationShare limits how many upstreams of a service are preferred for suspects: at most one in isolationShare.
	isolationShare = 4
	// minSpreadUpstreams is the minimum number of upstreams of a service at which suspects are spread over several
	// upstreams. With fewer, all suspects prefer the same one.
	minSpreadUpstreams = 16
	// minSpreadScore is the minimum rendezvous score of an upstream that suspects are spread over. One upstream in eight has it.
	minSpreadScore = math.MaxUint64 / 8 * 7
)

// Status is the status of a fingerprint.
type Status int

// The statuses, by severity.
const (
	Clear Status = iota
	Suspect
	Quarantined
)

// The ranks of marks within an episode. The mark of rankForgotten is a deletion.
const (
	rankSuspect     = 1
	rankCleared     = 2
	rankQuarantined = 3
	rankForgotten   = 4
)

// Mark is the value of a mark's record.
type Mark struct {
	// ForMS is how long the mark is in force, in milliseconds from when a process receives it.
	ForMS int64 `json:"for_ms"`
}

// mark is a mark as this process received it.
type mark struct {
	version record.Version
	// expiry is when the mark expires, by this process's clock.
	expiry time.Time
}

// State holds the marks by fingerprint.
type State struct {
	marks map[string]mark
}

// NewState returns a state without marks.
func NewState() *State { return &State{marks: map[string]mark{}} }

// Apply applies the marks among changed records. It returns the quarantines to publish again: those in force here for which
// another process, which did not know of the quarantine, started an episode with a higher number.
func (s *State) Apply(now time.Time, records []record.Record) []record.Record {
	var renewed []record.Record
	for _, r := range records {
		fingerprint, ok := strings.CutPrefix(r.Key, Prefix)
		if !ok {
			continue
		}
		var m Mark
		if r.Deleted || json.Unmarshal(r.Value, &m) != nil {
			delete(s.marks, fingerprint)
			continue
		}
		if s.Status(now, fingerprint) == Quarantined && r.Version.Minor != rankQuarantined {
			renewed = append(renewed, s.renewedQuarantine(now, fingerprint, r.Version.Major))
			continue
		}
		s.apply(now, fingerprint, r.Version, now.Add(time.Duration(m.ForMS)*time.Millisecond))
	}
	return renewed
}

// apply stores a mark. It does not shorten a quarantine that is in force.
func (s *State) apply(now time.Time, fingerprint string, version record.Version, expiry time.Time) {
	current := s.marks[fingerprint].expiry
	if s.Status(now, fingerprint) == Quarantined && current.After(expiry) {
		expiry = current
	}
	s.marks[fingerprint] = mark{version: version, expiry: expiry}
}

// renewedQuarantine returns the quarantine in force as part of a later episode. Its duration is the time that remains here.
func (s *State) renewedQuarantine(now time.Time, fingerprint string, episode uint64) record.Record {
	version := record.Version{Major: episode, Minor: rankQuarantined}
	return newRecord(fingerprint, version, s.Remaining(now, fingerprint))
}

// Status returns the status of a fingerprint.
func (s *State) Status(now time.Time, fingerprint string) Status {
	m, ok := s.marks[fingerprint]
	if !ok || !now.Before(m.expiry) {
		return Clear
	}
	switch m.version.Minor {
	case rankSuspect:
		return Suspect
	case rankQuarantined:
		return Quarantined
	}
	return Clear
}

// Remaining returns how long the mark of a fingerprint is still in force; 0 when it has none.
func (s *State) Remaining(now time.Time, fingerprint string) time.Duration {
	return max(0, s.marks[fingerprint].expiry.Sub(now))
}

// Crashed returns the mark to publish after an upstream crashed with the request in flight; false when there is none. A
// request that is no suspect yet becomes one. A suspect is quarantined only if alone is set: it was the only request on the
// upstream. A crash with other requests in flight does not show which of them caused it.
func (s *State) Crashed(now time.Time, fingerprint string, alone bool) (record.Record, bool) {
	if fingerprint == "" {
		return record.Record{}, false
	}
	switch s.Status(now, fingerprint) {
	case Quarantined:
		return record.Record{}, false
	case Suspect:
		if !alone {
			return record.Record{}, false
		}
		return s.quarantine(now, fingerprint), true
	}
	episode := max(s.marks[fingerprint].version.Major+1, uint64(now.UnixMilli()))
	version := record.Version{Major: episode, Minor: rankSuspect}
	return newRecord(fingerprint, version, SuspectDuration), true
}

// quarantine returns the mark of a quarantine. Copies of the request that started before their agents received the suspect
// mark may still crash upstreams, and these agents then start later episodes. The number of the quarantine is the time at
// which it ends, so that it wins over those episodes.
func (s *State) quarantine(now time.Time, fingerprint string) record.Record {
	number := max(s.marks[fingerprint].version.Major, uint64(now.Add(QuarantineDuration).UnixMilli()))
	return newRecord(fingerprint, record.Version{Major: number, Minor: rankQuarantined}, QuarantineDuration)
}

// Expired returns the deletions to publish of marks that expired at least ExpiredRetention ago. Without them each fingerprint
// that ever crashed an upstream would stay in the memory of every process.
func (s *State) Expired(now time.Time) []record.Record {
	var old []record.Record
	for fingerprint, m := range s.marks {
		if now.Sub(m.expiry) < ExpiredRetention {
			continue
		}
		version := record.Version{Major: m.version.Major, Minor: rankForgotten}
		old = append(old, record.Record{Key: Prefix + fingerprint, Version: version, Deleted: true})
	}
	sort.Slice(old, func(i, j int) bool { return old[i].Key < old[j].Key })
	return old
}

// Cleared returns the mark to publish after a suspect completed while it ran alone; false when the request is no suspect.
func (s *State) Cleared(now time.Time, fingerprint string) (record.Record, bool) {
	if s.Status(now, fingerprint) != Suspect {
		return record.Record{}, false
	}
	version := record.Version{Major: s.marks[fingerprint].version.Major, Minor: rankCleared}
	return newRecord(fingerprint, version, 0), true
}

func newRecord(fingerprint string, version record.Version, duration time.Duration) record.Record {
	value, err := json.Marshal(Mark{ForMS: duration.Milliseconds()})
	if err != nil {
		return record.Record{} // A struct of one integer always encodes.
	}
	return record.Record{Key: Prefix + fingerprint, Version: version, Value: value}
}

// Isolation orders a service's upstreams for a suspect, the preferred one first. All entries compute the same order, so
// that two entries send copies of one suspect to the same agent. That agent runs one copy at a time, and refuses the second
// one if the first one leads to a quarantine. An upstream that is missing from the list does not change the order of the
// others, so entries that have not learned of a crash yet agree as well. Suspects prefer a fixed part of the service's
// upstreams, and crash no others as long as some of these remain.
func Isolation(service, fingerprint string, upstreams []string) []string {
	key := "isolation/" + service
	ranked := step.Rank(key, upstreams)
	n := 0
	for len(ranked) >= minSpreadUpstreams && n < len(ranked)/isolationShare && step.Score(key, ranked[n]) >= minSpreadScore {
		n++
	}
	ordered := step.Rank(fingerprint, ranked[:n])
	return append(ordered, ranked[n:]...)
}

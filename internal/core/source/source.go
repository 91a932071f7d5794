// Package source holds the reducer that chooses from where a process reads the contents of the platform's store: from the store
// itself, or from an entry of its own data centre that reads the store. In a large data centre, one entry reads the store and the
// others read from it; otherwise the same bytes would cross the link between regions once per process. When there are more entries
// than one can serve, they form a tree of two levels: some read from the first entry, and the rest read from those. The reducer is
// pure: see package step.
//
// An entry that doesn't answer in time, or has no current data from the store itself, is avoided as a source. The process then uses
// another source, at last the store, so a failed source delays it only briefly.
package source

import (
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// MinEntries is the minimum number of entries in a data centre for one of them to read for the others. The reader calls the
	// store up to three times as often as it would for itself alone, so that a smaller group saves no calls.
	MinEntries = 4
	// CandidateCount is the number of entries of a small data centre that are reported as sources: the reader and two replacements.
	CandidateCount = 3
	// minFanOut is the number of entries that may read from one before a second level is needed. The answer to an initial read has
	// several hundred kilobytes. The host with the slowest link can send 8 such answers per second.
	minFanOut = 8
	// spareCandidates is the number of replacements reported in addition to the entries of the first two levels.
	spareCandidates = 2
	// entryTTL is how long an entry is considered as a source after it was last reported. The least frequent reports come every 3 s.
	entryTTL = 7 * time.Second
	// failureBackoff is how long an entry that failed as a source is avoided.
	failureBackoff = 2 * time.Second
)

// EntriesReported reports the entries of the data centre, as counted from their heartbeats by this or another process.
type EntriesReported struct {
	// Entries are the addresses of some or all of these entries, from which this process may read. EntryCount is the number of all of
	// them.
	Entries    []string
	EntryCount int
}

// PeerFailed reports that an entry didn't answer as a source, or had no current data from the store itself.
type PeerFailed struct{ Address string }

// Event marks the type as an event.
func (EntriesReported) Event() {}

// Event marks the type as an event.
func (PeerFailed) Event() {}

// Changed has the shell read from another source from now on.
type Changed struct {
	// Address is the entry to read from; empty for the store.
	Address string
	// EntryCount is the number of entries in the data centre, as far as this process knows.
	EntryCount int
}

// Effect marks the type as an effect.
func (Changed) Effect() {}

// State is what a process knows about the entries of its data centre.
type State struct {
	self       string
	dataCentre string
	// spreadsLoad is set for agents, each of which chooses among all known entries by its own address. Entries form a tree instead.
	spreadsLoad bool
	// reportedAt and failedAt hold when each entry was last reported, and when it last failed as a source, by address.
	reportedAt map[string]time.Time
	failedAt   map[string]time.Time
	// count is the number of entries, for which the highest count reported within about the last entryTTL is taken. recentCount is the
	// highest count reported since count last expired.
	count       int
	recentCount int
	countAt     time.Time
	address     string
}

// NewState returns the state of the process at address self. spreadsLoad is set for agents; see State.
func NewState(self, dataCentre string, spreadsLoad bool) *State {
	return &State{self: self, dataCentre: dataCentre, spreadsLoad: spreadsLoad, reportedAt: map[string]time.Time{}, failedAt: map[string]time.Time{}}
}

// Address returns the entry to read from, or an empty string for the store.
func (s *State) Address() string { return s.address }

// Reduce handles one input and returns the effects to carry out.
func (s *State) Reduce(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case EntriesReported:
		s.recordReport(in.Now, ev)
	case PeerFailed:
		s.failedAt[ev.Address] = in.Now
	case step.Tick:
		s.expire(in.Now)
	default:
		return nil
	}
	address := s.choose(in.Now)
	if address == s.address {
		return nil
	}
	s.address = address
	return []step.Effect{Changed{Address: address, EntryCount: s.count}}
}

func (s *State) recordReport(now time.Time, ev EntriesReported) {
	for _, e := range ev.Entries {
		s.reportedAt[e] = now
	}
	// A process counts too few entries for a while after its start, or always if some entries send it nothing. The highest count of
	// the last seconds is therefore the best estimate.
	s.recentCount = max(s.recentCount, ev.EntryCount)
	if ev.EntryCount >= s.count {
		s.count, s.countAt = ev.EntryCount, now
	}
}

func (s *State) expire(now time.Time) {
	for e, at := range s.reportedAt {
		if now.Sub(at) > entryTTL {
			delete(s.reportedAt, e)
		}
	}
	for e, at := range s.failedAt {
		if now.Sub(at) > failureBackoff {
			delete(s.failedAt, e)
		}
	}
	if now.Sub(s.countAt) > entryTTL {
		s.count, s.recentCount, s.countAt = s.recentCount, 0, now
	}
}

func (s *State) choose(now time.Time) string {
	if s.count < MinEntries {
		return ""
	}
	healthy := s.healthyEntries(now)
	if s.spreadsLoad {
		return firstOrEmpty(step.Rank(s.self, healthy))
	}
	ranked := step.Rank(s.dataCentre, append(healthy, s.self))
	position := slices.Index(ranked, s.self)
	switch secondLevel := fanOut(s.count); {
	case position == 0:
		return "" // The first entry reads the store for the others.
	case position <= secondLevel:
		return ranked[0]
	default:
		// Whatever the other entries know, an entry reads only from one that ranks before it. This rules out cycles.
		return firstOrEmpty(step.Rank(s.self, ranked[1:secondLevel+1]))
	}
}

// healthyEntries returns the other known entries that haven't failed within failureBackoff.
func (s *State) healthyEntries(now time.Time) []string {
	entries := make([]string, 0, len(s.reportedAt)+1)
	for e := range s.reportedAt {
		if at, failed := s.failedAt[e]; e != s.self && (!failed || now.Sub(at) > failureBackoff) {
			entries = append(entries, e)
		}
	}
	return entries
}

func firstOrEmpty(ranked []string) string {
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// fanOut returns how many entries of a data centre read from the first one: the square root of their number, at least minFanOut. With
// the square root, an entry of the second level serves about as many entries as the first one.
func fanOut(entries int) int {
	return max(minFanOut, int(math.Ceil(math.Sqrt(float64(entries)))))
}

// EntryCandidates returns the entries that are reported as sources to the entries of a data centre: those that others read from, and
// their replacements.
func EntryCandidates(dataCentre string, entries []string) []string {
	count := CandidateCount
	if secondLevel := fanOut(len(entries)); len(entries) > secondLevel+1 {
		count = 1 + secondLevel + spareCandidates
	}
	ranked := step.Rank(dataCentre, entries)
	return ranked[:min(count, len(ranked))]
}

// AgentCandidates returns the entries that are reported to an agent as sources. Different agents get different ones, so that the reads
// are distributed over all entries of the data centre.
func AgentCandidates(agent string, entries []string) []string {
	ranked := step.Rank(agent, entries)
	return ranked[:min(CandidateCount, len(ranked))]
}

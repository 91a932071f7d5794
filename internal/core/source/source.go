// Package source is the reducer that decides from where a process reads what the platform's store holds: from the store
// itself, or from an entry of its data centre that does. In a large data centre one entry reads the store and the
// others read from it, since the same bytes would otherwise cross the link between regions once for each process. Where there are more than
// one entry can send to, they form a tree of two levels: some read from the first entry and the rest from these. It is pure: see package step.
//
// A process that reads from an entry is never worse off for long: an entry that does not answer in time, or has not heard
// from the store itself, is avoided, and the store is read instead.
package source

import (
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// LeastEntries is how many entries a data centre must have for one of them to read for the others. The reader asks the store up to
	// three times as often as it would for itself alone, so that fewer save no calls.
	LeastEntries = 4
	// Candidates is how many entries of a small data centre are told to those who ask: the reader, and two to take its place.
	Candidates = 3
	// fanOut is how many entries may read from one before a second level is made. An answer to a first question is some hundred kilobytes, of
	// which the narrowest host sends so many in a second.
	fanOut = 8
	// spare is how many entries more than are read from are told to those who ask, to take the place of some.
	spare = 2
	// toldFor is how long an entry counts after somebody told of it; the rarest word comes each three seconds.
	toldFor = 7 * time.Second
	// avoidFor is how long an entry that failed as a source is avoided.
	avoidFor = 2 * time.Second
)

// Told says which entries a data centre has, as another process counts them.
type Told struct {
	// Entries are addresses of entries, those that come first in the data centre's order; Count is how many it has.
	Entries []string
	Count   int
}

// Failed says that an entry did not answer as a source, or had no news of the store itself.
type Failed struct{ Address string }

// Event marks the type as an event.
func (Told) Event() {}

// Event marks the type as an event.
func (Failed) Event() {}

// Changed tells the shell to read from another source from now on.
type Changed struct {
	// Address is the entry to read from; empty for the store.
	Address string
	// Entries is how many entries the data centre has, as far as this process knows.
	Entries int
}

// Effect marks the type as an effect.
func (Changed) Effect() {}

// State is what a process knows of the entries of its data centre.
type State struct {
	self       string
	dataCentre string
	// spread is set for agents, which spread over the entries; entries form a tree.
	spread bool
	told   map[string]time.Time
	failed map[string]time.Time
	// count is how many entries there are: the highest count of the last times, where recent is the highest since countAt.
	count   int
	recent  int
	countAt time.Time
	address string
}

// NewState returns the state of the process at address self. Agents spread over the entries that they know.
func NewState(self, dataCentre string, spread bool) *State {
	return &State{self: self, dataCentre: dataCentre, spread: spread, told: map[string]time.Time{}, failed: map[string]time.Time{}}
}

// Address is the entry to read from; empty for the store.
func (s *State) Address() string { return s.address }

// Reduce handles one input.
func (s *State) Reduce(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case Told:
		s.hear(in.Now, ev)
	case Failed:
		s.failed[ev.Address] = in.Now
	case step.Tick:
		s.forget(in.Now)
	default:
		return nil
	}
	address := s.choose(in.Now)
	if address == s.address {
		return nil
	}
	s.address = address
	return []step.Effect{Changed{Address: address, Entries: s.count}}
}

func (s *State) hear(now time.Time, ev Told) {
	for _, e := range ev.Entries {
		s.told[e] = now
	}
	// Who counts has not met all entries for a while after its start, or never meets all: the highest count of the last seconds is nearest.
	s.recent = max(s.recent, ev.Count)
	if ev.Count >= s.count {
		s.count, s.countAt = ev.Count, now
	}
}

func (s *State) forget(now time.Time) {
	for e, at := range s.told {
		if now.Sub(at) > toldFor {
			delete(s.told, e)
		}
	}
	for e, at := range s.failed {
		if now.Sub(at) > avoidFor {
			delete(s.failed, e)
		}
	}
	if now.Sub(s.countAt) > toldFor {
		s.count, s.recent, s.countAt = s.recent, 0, now
	}
}

func (s *State) choose(now time.Time) string {
	if s.count < LeastEntries {
		return ""
	}
	sound := s.sound(now)
	if s.spread {
		return first(step.Rank(s.self, sound))
	}
	ranked := step.Rank(s.dataCentre, append(sound, s.self))
	position := slices.Index(ranked, s.self)
	switch middle := breadth(s.count); {
	case position == 0:
		return "" // It reads the store for those after it.
	case position <= middle:
		return ranked[0]
	default:
		// Whatever others know, an entry reads from one that comes before it, so that nobody reads from itself over others.
		return first(step.Rank(s.self, ranked[1:middle+1]))
	}
}

// sound are the other entries that this process knows and that have not failed of late.
func (s *State) sound(now time.Time) []string {
	entries := make([]string, 0, len(s.told)+1)
	for e := range s.told {
		if at, failed := s.failed[e]; e != s.self && (!failed || now.Sub(at) > avoidFor) {
			entries = append(entries, e)
		}
	}
	return entries
}

func first(ranked []string) string {
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// breadth is how many entries of a data centre read from the first one: the square root of all of them, so that neither it nor those that the rest
// reads from send to more than about that.
func breadth(entries int) int {
	return max(fanOut, int(math.Ceil(math.Sqrt(float64(entries)))))
}

// First returns the entries that the entries of a data centre are told of, of all that it has: those that are read from.
func First(dataCentre string, entries []string) []string {
	told := Candidates
	if middle := breadth(len(entries)); len(entries) > middle+1 {
		told = 1 + middle + spare
	}
	ranked := step.Rank(dataCentre, entries)
	return ranked[:min(told, len(ranked))]
}

// For returns the entries that an agent is told of, of all entries of its data centre: others than other agents are.
func For(agent string, entries []string) []string {
	ranked := step.Rank(agent, entries)
	return ranked[:min(Candidates, len(ranked))]
}

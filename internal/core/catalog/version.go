package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// VersionMargin is how long before a new version must be in use entries insist on it: a request begins with its first token, which
// comes within a second of its send at the usual load. At a full or slow engine it comes later; what has not begun when the time is
// nearly over is taken back (package forward).
const VersionMargin = 1300 * time.Millisecond

// Naming is a version of weights that the operator put in force.
type Naming struct {
	Model    string
	Version  int64
	Revision int64
	// Since is the earliest time at which any process is known to have heard of it.
	Since time.Time
	// Assumed is set while that is not known, since it was found in a list and nobody who heard it being named has told.
	Assumed bool
}

// VersionNamed says that a version of weights is in force, as the store has it.
type VersionNamed struct {
	Model    string
	Version  int64
	Revision int64
	// Age is how long it has been in force at least, as another process told, and Assumed is set when that one only assumed so.
	Age     time.Duration
	Assumed bool
	// Listed is set when it was found in a list of all versions, which does not say since when it is there. Processes list again and again;
	// a list changes nothing that is known of a version.
	Listed bool
}

// Event marks the type as an event.
func (VersionNamed) Event() {}

// NamingChanged tells the shell that a naming was heard for the first time, or that its age proved to be another than was believed.
type NamingChanged struct{ Naming Naming }

// Effect marks the type as an effect.
func (NamingChanged) Effect() {}

const (
	// maxHistory bounds the namings of a model that are remembered; only those of the last seconds matter.
	maxHistory = 16
	// ageJitter is by how much ages differ that are told of the same naming: by a datagram's way and the time of its handling.
	ageJitter = 100 * time.Millisecond
)

func (s *State) versionNamed(now time.Time, ev VersionNamed) []step.Effect {
	named := Naming{Model: ev.Model, Version: ev.Version, Revision: ev.Revision, Since: now.Add(-ev.Age), Assumed: ev.Assumed}
	if ev.Listed {
		named.Assumed = true
	}
	if ev.Listed && !s.listed[VersionTopic] && s.ListedSince.Before(now) && !s.ListedSince.IsZero() {
		named.Since = s.ListedSince
	}
	effects := s.remember(&named)
	known, ok := s.Versions[ev.Model]
	if ok && ev.Version < known.Version {
		return effects
	}
	s.Versions[ev.Model] = named
	if ok && ev.Version == known.Version {
		return effects
	}
	change := Change{Topic: VersionTopic, Name: ev.Model, Value: strconv.FormatInt(ev.Version, 10), Revision: ev.Revision}
	return append([]step.Effect{change}, effects...)
}

// remember keeps a naming beside the others and completes it with what was known of it.
func (s *State) remember(n *Naming) []step.Effect {
	list := s.history[n.Model]
	i := slices.IndexFunc(list, func(known Naming) bool { return known.Version == n.Version })
	if i < 0 {
		list = append(list, *n)
		s.history[n.Model] = list[max(0, len(list)-maxHistory):]
		return []step.Effect{NamingChanged{Naming: *n}}
	}
	known := list[i]
	if !n.replaces(known) {
		*n = known
		return nil
	}
	list[i] = *n
	if moved := known.Since.Sub(n.Since).Abs(); moved < ageJitter {
		return nil
	}
	return []step.Effect{NamingChanged{Naming: *n}}
}

// replaces tells whether what n says of a naming is better than what was known: a known age replaces an assumed one, also when it makes the
// version younger, and of two of a kind the older one wins.
func (n Naming) replaces(known Naming) bool {
	if n.Assumed != known.Assumed {
		return known.Assumed
	}
	return n.Since.Before(known.Since)
}

// Told are the namings that other processes must know, with their ages: those of which a version may still be required, when each must be
// in use within a time after its naming. The store has the newest only, and a process that starts needs those before it until the newest is
// due. The newest of a model comes first, so that a host that hears of all does not begin to fetch one that was overtaken.
func (s *State) Told(now time.Time, within time.Duration) []Naming {
	var list []Naming
	for model, history := range s.history {
		required := s.RequiredVersion(model, now, within)
		for _, n := range history {
			if n.Version >= required {
				list = append(list, n)
			}
		}
	}
	slices.SortFunc(list, func(a, b Naming) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(b.Version, a.Version)) })
	return list
}

// RequiredVersion is the version on which requests for a model must begin at a moment, when each version must be in use within
// a time after its naming: the newest that was named so long ago. 0 stands for any version.
func (s *State) RequiredVersion(model string, now time.Time, within time.Duration) int64 {
	required := int64(0)
	for _, n := range s.history[model] {
		if now.Sub(n.Since) >= within {
			required = max(required, n.Version)
		}
	}
	return required
}

// Successor is the naming that ends the time of a version: of those of newer versions, the one that was known first. ok is false when
// no newer version was named.
func (s *State) Successor(model string, version int64) (first Naming, ok bool) {
	for _, n := range s.history[model] {
		if n.Version > version && (!ok || n.Since.Before(first.Since)) {
			first, ok = n, true
		}
	}
	return first, ok
}

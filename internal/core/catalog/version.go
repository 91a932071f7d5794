package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// RequireVersionMargin is how long before the deadline for a new version entries start to require that version, or earlier if engines
// paused recently; see package forward. An engine starts a
// request with its first token, which follows the attempt within 1 s at the usual load. At a full or slow engine it takes longer;
// a request that hasn't started shortly before the deadline is withdrawn (package forward).
const RequireVersionMargin = 1300 * time.Millisecond

// Activation is the operator's activation of a version of weights. The version is active until a newer one is activated.
type Activation struct {
	Model    string
	Version  int64
	Revision storerev.Revision
	// ActivatedAt is the time from which the version's age is counted: the earliest time at which any process is known to have received
	// the activation in time, or the earliest that what this process knows allows.
	ActivatedAt time.Time
	// Assumed is set while ActivatedAt is the latter: no process that received the activation in time has reported its age.
	Assumed bool
	// Receipt is how this process received the activation. It is not reported to other processes.
	Receipt Receipt
}

// Way is how a process received an activation.
type Way string

// The ways. The zero value stands for a report of another process.
const (
	// Reported is a report of another process.
	Reported Way = ""
	// Watched is a change, as an answer to a watch tells it.
	Watched Way = "watch"
	// Listed is a list of all versions, which has no activation times. Processes list repeatedly, and a list doesn't change what is known
	// about a known version.
	Listed Way = "list"
)

// Receipt is how and when a process received an activation, and what it knew of the store then.
type Receipt struct {
	Way Way
	At  time.Time
	// ProvenAt is the latest time at which the version is proven not to have been active, and LostAt the latest time after which the store
	// is known to have been disturbed. Zero if there is none.
	ProvenAt, LostAt time.Time
}

// VersionActivated reports that a version of weights is active according to the store or to another process.
type VersionActivated struct {
	Model    string
	Version  int64
	Revision storerev.Revision
	Way      Way
	// Age is the minimum time since the activation, as reported by another process. Assumed is set when that
	// process only assumes the age.
	Age     time.Duration
	Assumed bool
}

// Event marks the type as an event.
func (VersionActivated) Event() {}

// ActivationChanged reports to the shell that an activation was received for the first time, or that its known age was corrected.
type ActivationChanged struct{ Activation Activation }

// Effect marks the type as an effect.
func (ActivationChanged) Effect() {}

const (
	// maxActivations bounds the activations kept per model. Only those of the last seconds are needed.
	maxActivations = 16
	// ageJitter is the difference between reported ages of one activation that is ignored. Datagram latency and processing time
	// cause it.
	ageJitter = 100 * time.Millisecond
)

func (s *State) versionActivated(now time.Time, ev VersionActivated) []step.Effect {
	activation := s.activation(now, ev)
	effects := s.record(&activation)
	known, ok := s.Versions[ev.Model]
	if ok && ev.Version < known.Version {
		return effects
	}
	s.Versions[ev.Model] = activation
	if ok && ev.Version == known.Version {
		return effects
	}
	change := StateChanged{Topic: VersionTopic, Name: ev.Model, Value: strconv.FormatInt(ev.Version, 10), Revision: ev.Revision}
	return append([]step.Effect{change}, effects...)
}

// activation returns the activation that an event reports. Unless the event came in time, or is the report of a process that received it in
// time, the version counts as old as what this process knows allows.
func (s *State) activation(now time.Time, ev VersionActivated) Activation {
	a := Activation{
		Model: ev.Model, Version: ev.Version, Revision: ev.Revision, ActivatedAt: now.Add(-ev.Age),
		Receipt: Receipt{Way: ev.Way, At: now, ProvenAt: s.reads.lastProof(ev.Revision), LostAt: s.reads.lostAt},
	}
	switch ev.Way {
	case Reported:
		a.Assumed = ev.Assumed
	case Watched:
		a.Assumed = !s.reads.prompt
	case Listed:
		a.Assumed = true
		if !s.listed[VersionTopic] && s.ListedActivatedAt.Before(now) && !s.ListedActivatedAt.IsZero() {
			a.ActivatedAt = s.ListedActivatedAt
		}
	}
	if at, ok := s.reads.countedFrom(ev.Revision); ok && a.Assumed {
		a.ActivatedAt = at
	}
	return a
}

// record stores an activation, or merges it with the known activation of the same version. It updates n in place: afterwards n is the
// better of the two.
func (s *State) record(n *Activation) []step.Effect {
	list := s.history[n.Model]
	i := slices.IndexFunc(list, func(known Activation) bool { return known.Version == n.Version })
	if i < 0 {
		list = append(list, *n)
		s.history[n.Model] = list[max(0, len(list)-maxActivations):]
		return []step.Effect{ActivationChanged{Activation: *n}}
	}
	known := list[i]
	if !n.betterThan(known) {
		*n = known
		return nil
	}
	list[i] = *n
	if correction := known.ActivatedAt.Sub(n.ActivatedAt).Abs(); correction < ageJitter {
		return nil
	}
	return []step.Effect{ActivationChanged{Activation: *n}}
}

// betterThan reports whether n is better information than what is known about the same activation. A known age replaces an assumed
// one, even if it makes the version younger; otherwise the earlier time wins.
func (n Activation) betterThan(known Activation) bool {
	if n.Assumed != known.Assumed {
		return known.Assumed
	}
	return n.ActivatedAt.Before(known.ActivatedAt)
}

// ReportedActivations returns the activations to report to other processes: those of versions that may still be required, when each
// version must be used from the time within after its activation. The store has only the newest one, and a process that starts needs
// the earlier ones until the newest is required. Per model, the newest version comes first, so that a host that receives all of them
// doesn't start to fetch a superseded version.
func (s *State) ReportedActivations(now time.Time, within time.Duration) []Activation {
	var list []Activation
	for model, history := range s.history {
		required := s.RequiredVersion(model, now, within)
		for _, n := range history {
			if n.Version >= required {
				list = append(list, n)
			}
		}
	}
	slices.SortFunc(list, func(a, b Activation) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(b.Version, a.Version))
	})
	return list
}

// RequiredVersion returns the version on which requests for a model must start at the given time: the newest one that was activated
// at least the duration within ago. 0 means that any version may be used.
func (s *State) RequiredVersion(model string, now time.Time, within time.Duration) int64 {
	required := int64(0)
	for _, n := range s.history[model] {
		if now.Sub(n.ActivatedAt) >= within {
			required = max(required, n.Version)
		}
	}
	return required
}

// Successor returns the activation from which a version's expiry is counted: the earliest activation of a newer version. ok is false
// when there is none.
func (s *State) Successor(model string, version int64) (first Activation, ok bool) {
	for _, n := range s.history[model] {
		if n.Version > version && (!ok || n.ActivatedAt.Before(first.ActivatedAt)) {
			first, ok = n, true
		}
	}
	return first, ok
}

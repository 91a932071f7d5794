package forward

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// withdrawMargin is how long before the end of a version's time entries take back what engines with that version have not begun. It covers
// what passes until the engine hears of it: a naming is heard up to 0.5 s after its confirmation, when another came just before, a tick
// is 20 ms, and the way to an engine some milliseconds. Sends of the last VersionMargin insist on the new version, so that what is taken back
// has had 0.7 s at least.
const withdrawMargin = 600 * time.Millisecond

// Withdraw has the shell take a request back from its upstream, which has not begun it: the send ends as Withdrawn. It comes with each tick
// until then.
type Withdraw struct {
	ID uint64
	// Number is the send's; see Send.
	Number int
}

// Effect marks the type as an effect.
func (Withdraw) Effect() {}

// BegunLate tells the shell that an upstream began a request on a version of weights whose time was over.
type BegunLate struct {
	ID       uint64
	Upstream string
	// Version is the one on which the request began, and Successor the one whose naming ended its time.
	Version   int64
	Successor int64
	// Late is how long after that time it began, and Waited how long it had been with the upstream.
	Late   time.Duration
	Waited time.Duration
	// Insisted is the version that the send insisted on; 0 for none.
	Insisted int64
}

// Effect marks the type as an effect.
func (BegunLate) Effect() {}

// requiredVersion is the version that a request for a model must begin on from now on; 0 for any.
func (s *State) requiredVersion(now time.Time, model string) int64 {
	if s.Self.VersionTime <= 0 {
		return 0
	}
	return s.Catalog.RequiredVersion(model, now, s.Self.VersionTime-catalog.VersionMargin)
}

// lastVersion is the version that a request must begin on when nothing newer has room: it may go to an engine whose version is about to end as long
// as that is likely to begin it before requests are taken back.
func (s *State) lastVersion(now time.Time, r *request) int64 {
	if s.Self.VersionTime <= 0 {
		return 0
	}
	if !r.route.Repeatable() {
		return s.requiredVersion(now, r.model) // Taken back, it could not go anywhere else.
	}
	margin := withdrawMargin + time.Duration(s.Self.Policy.BeginShare*float64(r.route.Objective))
	return s.Catalog.RequiredVersion(r.model, now, s.Self.VersionTime-min(margin, catalog.VersionMargin))
}

// hasBegun takes the first event of an answer.
func (s *State) hasBegun(in step.Input, ev Began) []step.Effect {
	s.began(ev.ID)
	r := s.requests[ev.ID]
	if r != nil {
		s.blindBegan(in.Now, r)
	}
	if r == nil || r.model == "" || ev.Version == 0 || s.Self.VersionTime <= 0 {
		return nil
	}
	successor, ok := s.Catalog.Successor(r.model, ev.Version)
	late := in.Now.Sub(successor.Since) - s.Self.VersionTime
	if !ok || late <= 0 {
		return nil
	}
	return []step.Effect{BegunLate{
		ID: r.id, Upstream: r.at.ID, Version: ev.Version, Successor: successor.Version, Late: late, Waited: in.Now.Sub(r.sentAt),
		Insisted: r.version,
	}}
}

// withdrawUnbegun takes back the requests that their upstreams have not begun and must not begin any more: those that are held back, and those
// whose engines hold a version that is about to be out of use. An engine begins
// a request when it comes to it, which may be long after the send when it is full or slow: comparing versions at the send alone had
// requests begin up to 173 ms after the time, at 1.1 times the engines' capacity.
func (s *State) withdrawUnbegun(in step.Input) []step.Effect {
	var ids []uint64
	for id, r := range s.requests {
		if r.reading && (s.outdated(in.Now, r) || s.Crashes.Held(in.Now, r.fingerprint) > 0) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var effects []step.Effect
	for _, id := range ids {
		effects = append(effects, Withdraw{ID: id, Number: s.requests[id].sends})
	}
	return effects
}

// outdated tells whether the engine that a request is with may begin it on a version whose time is over by then. An engine that took it
// with a required version holds that one at least.
func (s *State) outdated(now time.Time, r *request) bool {
	if s.Self.VersionTime <= 0 || r.model == "" {
		return false
	}
	required := s.Catalog.RequiredVersion(r.model, now, s.Self.VersionTime-withdrawMargin)
	if required == 0 || r.version >= required {
		return false
	}
	u := s.Catalog.Upstreams[r.at.ID]
	return u == nil || u.Life() != r.at || s.target(u).held(now, r.model) < required
}

package catalog

import (
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// A store that is restored from a copy is in a new era. It has lost what was written last, until operators and upstreams have written it
// again, and has again what was removed last. Until then this process keeps what it knew where forgetting it would break a promise: the
// manifest in force, an upstream's leaving, an evacuation.

// restoreHold is how long after a restore of the store an upstream that had left, or an evacuation, counts as before although the store
// says otherwise. It is several times as long as upstreams need to register again, and as a registration without heartbeats lasts.
const restoreHold = 10 * time.Second

// StoreRestored has the shell report that the store was restored from a copy, and so is in a new era.
type StoreRestored struct {
	// Before is the latest revision that this process knew; Era is the era that began.
	Before storerev.Revision
	Era    int64
}

// Effect marks the type as an effect.
func (StoreRestored) Effect() {}

// eras is what this process knows of the store's eras, and what is to be settled after the last restore.
type eras struct {
	// current is the latest revision that was read.
	current storerev.Revision
	// known is set once a revision was read.
	known bool
	// holdUntil is when what is held is settled as the store has it.
	holdUntil time.Time
	// held holds the registrations, by ID, of upstreams that are kept out because their removal was known in an earlier era.
	held map[string]*Upstream
	// unconfirmed holds the data centres whose evacuation was known in an earlier era and is missing in the current one, with the
	// revision at which it was missing.
	unconfirmed map[string]storerev.Revision
}

func newEras() eras {
	return eras{held: map[string]*Upstream{}, unconfirmed: map[string]storerev.Revision{}}
}

// noticeEra compares the revision of an event with the latest known one. When a new era begins, registrations may be missing until the
// upstreams have written them again.
func (s *State) noticeEra(now time.Time, ev step.Event) []step.Effect {
	revision, ok := revisionOf(ev)
	if !ok || !revision.After(s.eras.current) {
		return nil
	}
	before, restored := s.eras.current, s.eras.known && !revision.SameEra(s.eras.current)
	s.eras.current, s.eras.known = revision, true
	if !restored {
		return nil
	}
	s.graceUntil = now.Add(outageGrace)
	s.eras.holdUntil = now.Add(restoreHold)
	for id := range s.lapsing {
		s.lapsing[id] = s.graceUntil
	}
	return []step.Effect{StoreRestored{Before: before, Era: revision.Era}}
}

// revisionOf returns the revision of the store that an event tells. An activation may have been read by another process, which may know
// less of the store than this one.
func revisionOf(ev step.Event) (storerev.Revision, bool) {
	switch ev := ev.(type) {
	case ManifestRead:
		return ev.Revision, true
	case UpstreamsListed:
		return ev.Revision, true
	case UpstreamChanged:
		return ev.Upstream.Revision, true
	case UpstreamRemoved:
		return ev.Revision, true
	case UpstreamUnreadable:
		return ev.Revision, true
	case EvacuationStarted:
		return ev.Revision, true
	case EvacuationEnded:
		return ev.Revision, true
	case EvacuationsListed:
		return ev.Revision, true
	}
	return storerev.Revision{}, false
}

// mustHold reports whether a registration must not be used yet: the instance was removed in an earlier era, and the copy from which the
// store was restored may be from before. If the instance still runs, its registration outlasts the hold.
func (s *State) mustHold(now time.Time, u *Upstream) bool {
	r, known := s.removed[u.ID]
	return known && !r.revision.SameEra(u.Revision) && r.startedAt == u.StartedAt && now.Before(s.eras.holdUntil)
}

// keepHeld drops the held registrations that a list doesn't have.
func (e *eras) keepHeld(ev UpstreamsListed) {
	present := map[string]bool{}
	for _, u := range ev.Upstreams {
		present[u.ID] = true
	}
	maps.DeleteFunc(e.held, func(id string, _ *Upstream) bool { return !present[id] })
}

// dropHeld drops the held registration of an upstream that was removed since.
func (e *eras) dropHeld(ev UpstreamRemoved) {
	if u := e.held[ev.ID]; u != nil && !ev.Revision.Before(u.Revision) {
		delete(e.held, ev.ID)
	}
}

// settleEra takes what was held since the last restore as the store has it, once the hold is over.
func (s *State) settleEra(now time.Time) []step.Effect {
	if now.Before(s.eras.holdUntil) {
		return nil
	}
	var effects []step.Effect
	for _, id := range slices.Sorted(maps.Keys(s.eras.held)) {
		effects = append(effects, s.upstreamChanged(now, s.eras.held[id])...)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.eras.unconfirmed)) {
		effects = append(effects, s.evacuate(dataCentre, evacuation{revision: s.eras.unconfirmed[dataCentre]})...)
	}
	clear(s.eras.held)
	return effects
}

package catalog

import (
	"maps"
	"slices"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// UpstreamsListed reports all upstreams that are registered at a revision.
type UpstreamsListed struct {
	Revision  storerev.Revision
	Upstreams []*Upstream
}

// UpstreamChanged reports that a registration was written.
type UpstreamChanged struct{ Upstream *Upstream }

// UpstreamRemoved reports that a registration was removed at a revision.
type UpstreamRemoved struct {
	ID       string
	Revision storerev.Revision
}

// UpstreamUnreadable reports that a registration was written that doesn't describe a usable upstream.
type UpstreamUnreadable struct {
	ID       string
	Revision storerev.Revision
}

// Event marks the type as an event.
func (UpstreamsListed) Event() {}

// Event marks the type as an event.
func (UpstreamChanged) Event() {}

// Event marks the type as an event.
func (UpstreamRemoved) Event() {}

// Event marks the type as an event.
func (UpstreamUnreadable) Event() {}

func (s *State) upstreamsListed(now time.Time, ev UpstreamsListed) []step.Effect {
	if ev.Revision.Before(s.listRevision) {
		return nil
	}
	s.listRevision = ev.Revision
	s.eras.keepHeld(ev)
	var effects []step.Effect
	present := map[string]bool{}
	for _, u := range ev.Upstreams {
		present[u.ID] = true
		effects = append(effects, s.upstreamChanged(now, u)...)
	}
	for _, id := range sortedIDs(s.Upstreams) {
		if !present[id] && !s.Upstreams[id].Revision.After(ev.Revision) {
			effects = append(effects, s.upstreamRemoved(now, UpstreamRemoved{ID: id, Revision: ev.Revision})...)
		}
	}
	return effects
}

func (s *State) upstreamChanged(now time.Time, u *Upstream) []step.Effect {
	if s.isRemoved(u) {
		return nil
	}
	if s.mustHold(now, u) {
		s.eras.held[u.ID] = u
		return nil
	}
	delete(s.eras.held, u.ID)
	old := s.Upstreams[u.ID]
	if old != nil && u.Revision.Before(old.Revision) {
		return nil
	}
	if old != nil && u.StartedAt == 0 && old.StartedAt > 0 {
		// The upstream itself would have given its start time, so another process wrote this registration.
		return s.upstreamUnreadable(UpstreamUnreadable{ID: u.ID, Revision: u.Revision})
	}
	if old != nil && u.StartedAt < old.StartedAt {
		return nil // A delayed write of an earlier instance.
	}
	delete(s.lapsing, u.ID)
	delete(s.removed, u.ID)
	u = u.withColdUntil(now, old).withDraining(old)
	s.put(old, u)
	if old != nil && old.Draining == u.Draining && old.StartedAt == u.StartedAt {
		return nil
	}
	value := "ready"
	if u.Draining {
		value = "draining"
	}
	return []step.Effect{StateChanged{Topic: UpstreamTopic, Name: u.ID, Value: value, Revision: u.Revision}}
}

// put replaces old, which is nil for a new upstream, with u.
func (s *State) put(old, u *Upstream) {
	s.Upstreams[u.ID] = u
	s.ChangeCount++
	if old != nil && old.Address == u.Address {
		return
	}
	if old != nil {
		s.unlink(old)
	}
	s.byAddress[u.Address] = append(s.byAddress[u.Address], u.ID)
}

// unlink removes the upstream from the index by address.
func (s *State) unlink(u *Upstream) {
	remaining := slices.DeleteFunc(s.byAddress[u.Address], func(id string) bool { return id == u.ID })
	if len(remaining) == 0 {
		delete(s.byAddress, u.Address)
		delete(s.reportedStarts, u.Address)
		return
	}
	s.byAddress[u.Address] = remaining
}

// upstreamUnreadable drops an upstream at once, also within the grace period after an outage: its registration exists but doesn't
// describe a usable upstream.
func (s *State) upstreamUnreadable(ev UpstreamUnreadable) []step.Effect {
	u := s.Upstreams[ev.ID]
	if u == nil || ev.Revision.Before(u.Revision) {
		return nil
	}
	return s.drop(ev.ID, ev.Revision)
}

func (s *State) upstreamRemoved(now time.Time, ev UpstreamRemoved) []step.Effect {
	s.eras.dropHeld(ev)
	u := s.Upstreams[ev.ID]
	if u == nil || ev.Revision.Before(u.Revision) {
		return nil
	}
	if now.Before(s.graceUntil) && !u.Draining {
		if _, known := s.lapsing[ev.ID]; !known {
			s.lapsing[ev.ID] = s.graceUntil
		}
		return nil
	}
	return s.drop(ev.ID, ev.Revision)
}

// removal is the removal of an upstream from the store.
type removal struct {
	revision storerev.Revision
	// startedAt is the start time of the instance that was removed; see Upstream.StartedAt.
	startedAt int64
}

// isRemoved reports whether a registration is from before the upstream's removal.
func (s *State) isRemoved(u *Upstream) bool {
	r, known := s.removed[u.ID]
	return known && !u.Revision.After(r.revision)
}

func (s *State) drop(id string, revision storerev.Revision) []step.Effect {
	r := removal{revision: revision}
	if u := s.Upstreams[id]; u != nil {
		r.startedAt = u.StartedAt
		s.unlink(u)
	}
	delete(s.Upstreams, id)
	s.ChangeCount++
	delete(s.lapsing, id)
	s.removed[id] = r
	return []step.Effect{StateChanged{Topic: UpstreamTopic, Name: id, Value: "gone", Revision: revision}}
}

// dropLapsed drops the upstreams that did not register again in time. The registration of a later start, or a later one of the same start, is
// accepted.
func (s *State) dropLapsed(now time.Time) []step.Effect {
	var effects []step.Effect
	for _, id := range slices.Sorted(maps.Keys(s.lapsing)) {
		if u := s.Upstreams[id]; u != nil && !now.Before(s.lapsing[id]) {
			effects = append(effects, s.drop(id, storerev.Max(u.Revision, s.eras.current.Start()))...)
		}
	}
	return effects
}

func sortedIDs(m map[string]*Upstream) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

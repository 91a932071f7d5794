package catalog

import (
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// EvacuationStarted reports that the operator started the evacuation of a data centre: no more requests may be sent to its upstreams.
type EvacuationStarted struct {
	DataCentre string
	Revision   storerev.Revision
}

// EvacuationEnded reports that the operator ended the evacuation of a data centre.
type EvacuationEnded struct {
	DataCentre string
	Revision   storerev.Revision
}

// EvacuationsListed reports all data centres that are under evacuation at a revision.
type EvacuationsListed struct {
	Revision    storerev.Revision
	DataCentres []string
}

// Event marks the type as an event.
func (EvacuationStarted) Event() {}

// Event marks the type as an event.
func (EvacuationEnded) Event() {}

// Event marks the type as an event.
func (EvacuationsListed) Event() {}

// evacuation is the last known evacuation state of a data centre.
type evacuation struct {
	active   bool
	revision storerev.Revision
}

// Evacuated reports whether a data centre is under evacuation, so that no requests may be sent to its upstreams.
func (s *State) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].active }

// AnyEvacuated reports whether any data centre is under evacuation.
func (s *State) AnyEvacuated() bool {
	for _, e := range s.evacuations {
		if e.active {
			return true
		}
	}
	return false
}

func (s *State) evacuationsListed(now time.Time, ev EvacuationsListed) []step.Effect {
	var effects []step.Effect
	for _, dataCentre := range ev.DataCentres {
		effects = append(effects, s.evacuate(dataCentre, evacuation{active: true, revision: ev.Revision})...)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.evacuations)) {
		if !slices.Contains(ev.DataCentres, dataCentre) {
			effects = append(effects, s.evacuationMissing(now, dataCentre, ev.Revision)...)
		}
	}
	return effects
}

// evacuationMissing handles a list without the evacuation of a data centre. If the evacuation was read in an earlier era of the store, the
// store may have lost it, and the operator's write may come again.
func (s *State) evacuationMissing(now time.Time, dataCentre string, revision storerev.Revision) []step.Effect {
	known := s.evacuations[dataCentre]
	if known.active && !known.revision.SameEra(revision) && now.Before(s.eras.holdUntil) {
		s.eras.unconfirmed[dataCentre] = revision
		return nil
	}
	return s.evacuate(dataCentre, evacuation{revision: revision})
}

// evacuate records the evacuation state that the store had at e.revision, unless a newer revision is known. An event that reports a
// change always has a later revision than the state that it changes.
func (s *State) evacuate(dataCentre string, e evacuation) []step.Effect {
	known := s.evacuations[dataCentre]
	if e.revision.Before(known.revision) {
		return nil
	}
	delete(s.eras.unconfirmed, dataCentre)
	s.evacuations[dataCentre] = e
	if e.active == known.active {
		return nil
	}
	s.ChangeCount++
	value := "ended"
	if e.active {
		value = "evacuated"
	}
	return []step.Effect{StateChanged{Topic: EvacuationTopic, Name: dataCentre, Value: value, Revision: e.revision}}
}

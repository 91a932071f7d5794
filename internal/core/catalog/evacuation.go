package catalog

import (
	"maps"
	"slices"

	"samphireweir.example/samphireweir/internal/core/step"
)

// EvacuationStarted reports that the operator started the evacuation of a data centre: no more requests may be sent to its upstreams.
type EvacuationStarted struct {
	DataCentre string
	Revision   int64
}

// EvacuationEnded reports that the operator ended the evacuation of a data centre.
type EvacuationEnded struct {
	DataCentre string
	Revision   int64
}

// EvacuationsListed reports all data centres that are under evacuation at a revision.
type EvacuationsListed struct {
	Revision    int64
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
	revision int64
}

// Evacuated reports whether a data centre is under evacuation, so that no requests may be sent to its upstreams.
func (s *State) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].active }

func (s *State) evacuationsListed(ev EvacuationsListed) []step.Effect {
	var effects []step.Effect
	for _, dataCentre := range ev.DataCentres {
		effects = append(effects, s.evacuate(dataCentre, evacuation{active: true, revision: ev.Revision})...)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.evacuations)) {
		if !slices.Contains(ev.DataCentres, dataCentre) {
			effects = append(effects, s.evacuate(dataCentre, evacuation{revision: ev.Revision})...)
		}
	}
	return effects
}

// evacuate records the evacuation state that the store had at e.revision, unless a newer revision is known. An event that reports a
// change always has a later revision than the state that it changes.
func (s *State) evacuate(dataCentre string, e evacuation) []step.Effect {
	known := s.evacuations[dataCentre]
	if e.revision < known.revision {
		return nil
	}
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

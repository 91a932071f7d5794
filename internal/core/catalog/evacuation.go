package catalog

import (
	"maps"
	"slices"

	"samphireweir.example/samphireweir/internal/core/step"
)

// EvacuationAsked says that the operator asks that nothing more be sent to the upstreams of a data centre.
type EvacuationAsked struct {
	DataCentre string
	Revision   int64
}

// EvacuationEnded says that the operator has taken an evacuation back.
type EvacuationEnded struct {
	DataCentre string
	Revision   int64
}

// EvacuationsListed says which data centres were being evacuated at a revision.
type EvacuationsListed struct {
	Revision    int64
	DataCentres []string
}

// Event marks the type as an event.
func (EvacuationAsked) Event() {}

// Event marks the type as an event.
func (EvacuationEnded) Event() {}

// Event marks the type as an event.
func (EvacuationsListed) Event() {}

// evacuation is what is known last of a data centre.
type evacuation struct {
	asked    bool
	revision int64
}

// Evacuated tells whether nothing more must be sent to the upstreams of a data centre.
func (s *State) Evacuated(dataCentre string) bool { return s.evacuations[dataCentre].asked }

func (s *State) evacuationsListed(ev EvacuationsListed) []step.Effect {
	var effects []step.Effect
	for _, dataCentre := range ev.DataCentres {
		effects = append(effects, s.evacuate(dataCentre, evacuation{asked: true, revision: ev.Revision})...)
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(s.evacuations)) {
		if !slices.Contains(ev.DataCentres, dataCentre) {
			effects = append(effects, s.evacuate(dataCentre, evacuation{revision: ev.Revision})...)
		}
	}
	return effects
}

// evacuate takes what the store says of a data centre at a revision. The word on a change is of a later revision than what it changes.
func (s *State) evacuate(dataCentre string, e evacuation) []step.Effect {
	known := s.evacuations[dataCentre]
	if e.revision < known.revision {
		return nil
	}
	s.evacuations[dataCentre] = e
	if e.asked == known.asked {
		return nil
	}
	s.Changes++
	value := "ended"
	if e.asked {
		value = "evacuated"
	}
	return []step.Effect{Change{Topic: EvacuationTopic, Name: dataCentre, Value: value, Revision: e.revision}}
}

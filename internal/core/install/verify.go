package install

import (
	"maps"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// maxAcceptAge is the maximum age of a chunk check when the engine's answer to the load order arrives. It is the time for which the
// platform tolerates that chunks became corrupted before a load. An engine that stalls may accept an order later than that.
const maxAcceptAge = 3 * time.Second

// sentOrder is the last load order that was sent to the engine for a model.
type sentOrder struct {
	version int64
	// startedAt is the start time of the instance whose chunks were checked, and sequence the number of orders that it had accepted.
	startedAt int64
	sequence  int64
	checkedAt time.Time
	// accepted is set once the engine has confirmed the order within maxAcceptAge of the check.
	accepted bool
}

// verifiedWeights are the weights of the engine's present instance that were loaded from checked chunks.
//
// An order names the number of orders that the engine must have accepted, which is 0 for every instance that has just started. An engine
// that restarts under the same ID between the check and the order's arrival thus accepts an order whose chunks it may not have. Only the
// readings tell two such instances apart.
type verifiedWeights struct {
	// adopting is set while an order of an earlier process of this agent may be in progress. Weights that were loaded before this
	// process started are taken as verified: the process that ordered them had checked them.
	adopting bool
	// versions holds the verified version of each model.
	versions map[string]int64
}

// adopt takes the weights of a reading as verified while an order of an earlier process may be in progress.
func (s *State) adopt(ev EngineRead) {
	if s.verified.adopting {
		maps.Copy(s.verified.versions, ev.Loaded)
		s.verified.adopting = ev.Busy
	}
}

// verify updates the verified weights after a reading or the answer to an order.
func (s *State) verify() {
	for _, m := range s.models {
		o := m.order
		if o != nil && o.accepted && s.engine.StartedAt == o.startedAt && s.engine.OrderCount > o.sequence {
			s.verified.versions[m.name] = o.version
			m.order = nil
		}
	}
}

// isVerified reports whether the engine's weights of a model were loaded from checked chunks. For an engine that tells no start time it
// can't be known, and its weights are taken as they are.
func (s *State) isVerified(model string) bool {
	return s.engine.StartedAt == 0 || s.verified.versions[model] == s.engine.Loaded[model]
}

// usableVersion returns the version of a model that the engine holds completely and verified; 0 for none.
func (s *State) usableVersion(model string) int64 {
	if !s.isVerified(model) {
		return 0
	}
	return s.engine.Loaded[model]
}

// Loaded maps each model of the engine to the version that the engine holds completely, from checked chunks; 0 for none.
func (s *State) Loaded() map[string]int64 {
	usable := make(map[string]int64, len(s.engine.Loaded))
	for name := range s.engine.Loaded {
		usable[name] = s.usableVersion(name)
	}
	return usable
}

// newOrder returns the order to load the chunks that were checked at checkedAt.
func (s *State) newOrder(m *model, checkedAt time.Time) LoadOrder {
	m.order = &sentOrder{version: m.target, startedAt: s.engine.StartedAt, sequence: s.engine.OrderCount, checkedAt: checkedAt}
	return LoadOrder{
		Model: m.name, Version: m.target, Instance: s.registeredID(), Sequence: s.engine.OrderCount, CheckedAt: checkedAt,
		MaxSendAge: maxCheckAge, MaxAcceptAge: maxAcceptAge,
	}
}

// registeredID returns the ID under which the engine's present instance is registered; empty if it is not known. An engine that tells no
// start time may have a later instance than the registered one, so its ID is not known either.
func (s *State) registeredID() string {
	for _, instance := range s.registered {
		if instance.StartedAt == s.engine.StartedAt && instance.StartedAt > 0 {
			return instance.ID
		}
	}
	return ""
}

// EngineRegistered reports the instances that are registered at the engine's address. There may be several: registrations of earlier
// instances stay for some time.
type EngineRegistered struct{ Instances []catalog.Instance }

// Event marks the type as an event.
func (EngineRegistered) Event() {}

// Unload has the shell order the engine to drop a model's weights. An engine doesn't load a version that it holds already.
type Unload struct {
	Model   string
	Version int64
	// Instance and Sequence are as in LoadOrder.
	Instance string
	Sequence int64
}

// Effect marks the type as an effect.
func (Unload) Effect() {}

// unload orders the engine to drop unverified weights of the version that is to be loaded.
func (s *State) unload(in step.Input, m *model) []step.Effect {
	effect := Unload{Model: m.name, Version: m.target, Instance: s.registeredID(), Sequence: s.engine.OrderCount}
	return append(m.enter(in.Now, Unloading, in.Now.Add(orderTimeout), "its weights were not loaded from checked chunks"), effect)
}

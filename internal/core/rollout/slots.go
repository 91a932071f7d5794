package rollout

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// createSlots creates the slots of the services of this host's engines.
func (s *State) createSlots(ev OrdersEnabled) {
	s.Slots = map[string]*slot.Service{}
	for _, name := range s.UpstreamNames {
		u := s.Upstreams[name]
		if u.Kind == setting.Engine {
			s.Slots[slot.Key(u.Team, u.Service)] = slot.NewService(u.Team, u.Service, ev.Host, ev.Timing.Slots)
		}
	}
}

func (s *State) slotsOf(u *Upstream) *slot.Service { return s.Slots[slot.Key(u.Team, u.Service)] }

// reduceSlots passes an event about a slot object to its service.
func (s *State) reduceSlots(in step.Input, key string) {
	if service := s.Slots[key]; service != nil {
		service.Reduce(in)
	}
}

// holdsSlot reports whether the engine holds a valid slot, which permits it to be out of service.
func (s *State) holdsSlot(u *Upstream, now time.Time) bool {
	return s.slotsOf(u).HoldsValidSlot(u.Name, s.Incarnation.Number, now)
}

// advanceSlots returns the calls for slots that are due. A superseded agent makes none, because its successor keeps or releases
// the slots that it held.
func (s *State) advanceSlots(in step.Input) []step.Effect {
	if !s.Incarnation.Held() {
		return nil
	}
	var effects []step.Effect
	done := map[string]bool{}
	for _, name := range s.UpstreamNames {
		u := s.Upstreams[name]
		key := slot.Key(u.Team, u.Service)
		service := s.Slots[key]
		if service == nil || done[key] || u.target.MaxUnavailable == 0 {
			continue
		}
		if u.target.IgnoresFencing && !s.Incarnation.FormerOrdersExpired(in.Now) {
			continue
		}
		done[key] = true
		effects = append(effects, service.Advance(in, u.target.MaxUnavailable, s.Incarnation.Number)...)
	}
	return effects
}

package forward

import (
	"math"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// nearAgents and farAgents are how many agents an entry greets in its own data centre and elsewhere. Each tells it of its engine up to
	// eleven and two and a half times a second, so that without a bound the bytes between regions grow with the square of the fleet.
	nearAgents = 64
	farAgents  = 32
)

// Greet chooses the engines whose agents this entry greets, in an order of its own, and remembers them: it gives work to the others
// only when these have no room.
func (s *State) Greet() []*catalog.Upstream {
	var near, far []string
	for id, u := range s.Catalog.Upstreams {
		switch {
		case !s.isEngine(u):
		case s.distance(u) == 0:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	s.greeted = map[string]bool{}
	s.targets = targets{}
	s.nearShare, s.farShare = part(nearAgents, len(near)), part(farAgents, len(far))
	var chosen []*catalog.Upstream
	for _, id := range append(s.first(near, nearAgents), s.first(far, farAgents)...) {
		s.greeted[id] = true
		chosen = append(chosen, s.Catalog.Upstreams[id])
	}
	return chosen
}

// first returns at most n of some upstreams. Entries choose different ones, so that each agent is greeted by about as many.
func (s *State) first(ids []string, n int) []string {
	return step.Rank(s.Self.Name, ids)[:min(n, len(ids))]
}

// part is which part of all things n of them are.
func part(n, all int) float64 {
	if all <= n {
		return 1
	}
	return float64(n) / float64(all)
}

// countEntries estimates how many entries there are, from how many greet one agent: entries greet a part of the agents each, the same
// part everywhere.
func (s *State) countEntries(ev LoadTold) int {
	near, far := float64(ev.Near), float64(ev.Entries-ev.Near)
	if s.greeted == nil {
		return ev.Entries
	}
	return int(math.Ceil(near/s.nearShare + far/s.farShare))
}

// isEngine tells whether an upstream is a model engine, beside which an agent runs.
func (s *State) isEngine(u *catalog.Upstream) bool {
	service := s.service(u)
	return service != nil && service.Engine != nil
}

package forward

import (
	"math"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// maxNearAgents and maxFarAgents limit how many agents an entry sends heartbeats to, in its own data centre and elsewhere. Each
	// of these agents sends it load reports, up to 11 per second nearby and 2.5 per second elsewhere. Without a limit, the traffic
	// between regions would grow with the square of the fleet's size.
	maxNearAgents = 64
	maxFarAgents  = 32
)

// ChooseHeartbeatTargets chooses the engines whose agents get heartbeats from this entry, in an order specific to the entry, and
// records them. The entry uses the other engines only when the chosen ones have no capacity.
func (s *State) ChooseHeartbeatTargets() []*catalog.Upstream {
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
	s.heartbeatTargets = map[string]bool{}
	s.views = viewCache{}
	s.nearFraction, s.farFraction = fraction(maxNearAgents, len(near)), fraction(maxFarAgents, len(far))
	var chosen []*catalog.Upstream
	for _, id := range append(s.topRanked(near, maxNearAgents), s.topRanked(far, maxFarAgents)...) {
		s.heartbeatTargets[id] = true
		chosen = append(chosen, s.Catalog.Upstreams[id])
	}
	return chosen
}

// topRanked returns at most n of the upstreams. Entries rank them differently, so that each agent gets heartbeats from about the
// same number of entries.
func (s *State) topRanked(ids []string, n int) []string {
	return step.Rank(s.Self.Name, ids)[:min(n, len(ids))]
}

// fraction returns n as a fraction of the total, but no more than 1.
func fraction(n, total int) float64 {
	if total <= n {
		return 1
	}
	return float64(n) / float64(total)
}

// estimateEntries estimates the number of entries from how many send heartbeats to one agent. Each entry sends heartbeats to a
// fraction of the agents only, and that fraction is the same for all entries.
func (s *State) estimateEntries(ev LoadReported) int {
	near, far := float64(ev.NearEntries), float64(ev.Entries-ev.NearEntries)
	if s.heartbeatTargets == nil {
		return ev.Entries
	}
	return int(math.Ceil(near/s.nearFraction + far/s.farFraction))
}

// isEngine reports whether an upstream is a model engine. The host of a model engine also runs an agent.
func (s *State) isEngine(u *catalog.Upstream) bool {
	service := s.service(u)
	return service != nil && service.Engine != nil
}

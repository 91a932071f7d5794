package forward

import (
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// noteRateLimit applies the rate limit that an upstream sets, or ends the limit that it set before. Answers may overtake each
// other, and an answer that declines a request may lack the limit. A limit therefore ends only with the answer to a request that
// ran and that was sent after the limit was last received.
func (s *State) noteRateLimit(in step.Input, p *pacer, ev AnswerHeadReceived) {
	switch {
	case ev.Notice.Limited:
		p.setLimit(in.Now, ev.Notice.RateLimit, s.limitShare(ev.Upstream), in.Rand)
	case !ev.Notice.Malformed && ev.ran() && ev.Sent.After(p.limitAt):
		p.reset()
	}
}

// nearLimitShare is the share of an engine's limit for the entries of its data centre, which send it most of its requests.
const nearLimitShare = 0.75

// limitShare returns the share of an upstream's limit that this entry may use; the shares of all entries add up to 1. How many entries
// are in an engine's data centre is known only from the agent on the engine's host. An entry without a report from that agent
// takes no more than it would with one.
func (s *State) limitShare(instance catalog.Instance) float64 {
	entries := float64(s.recentEntries.value())
	if entries == 0 {
		entries = defaultEntries
	}
	u := s.Catalog.Upstreams[instance.ID]
	if u == nil || u.Instance() != instance {
		return 1 / entries
	}
	v := s.view(u)
	near := float64(v.load.nearEntries.value())
	if s.heartbeatTargets != nil {
		near /= s.nearFraction
	}
	switch {
	case v.load.reportedAt.IsZero() && v.engine != nil && v.distance > 0:
		return (1 - nearLimitShare) / entries
	case near == 0 || near >= entries:
		return 1 / entries
	case v.distance == 0:
		return nearLimitShare / near
	}
	return (1 - nearLimitShare) / (entries - near)
}

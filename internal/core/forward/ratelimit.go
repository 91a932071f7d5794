package forward

import (
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// noteLimit takes the limit that an upstream names, or ends the one that it named. Answers may overtake one another, and one that turns a
// request away may lack the limit: only the answer to a request that ran and was sent after the limit was last heard tells that it has ended.
func (s *State) noteLimit(in step.Input, p *pace, ev Noticed) {
	switch {
	case ev.Notice.Limited:
		p.set(in.Now, ev.Notice.RateLimit, s.part(ev.Upstream), in.Rand)
	case !ev.Notice.Garbled && ev.ran() && ev.Sent.After(p.heard):
		p.lift()
	}
}

// nearPart is the part of an engine's limit that the entries of its data centre divide, which send it most of its work.
const nearPart = 0.75

// part is which part of an upstream's limit this entry may use, so that the parts of all entries are the whole. Only the agent beside an engine
// tells how many entries are near it; an entry that it does not tell takes no more than it would if it were told.
func (s *State) part(life catalog.Life) float64 {
	entries := float64(s.entryPeak.value())
	if entries == 0 {
		entries = assumedEntries
	}
	u := s.Catalog.Upstreams[life.ID]
	if u == nil || u.Life() != life {
		return 1 / entries
	}
	t := s.target(u)
	near := float64(t.load.nearPeak.value())
	if s.greeted != nil {
		near /= s.nearShare
	}
	switch {
	case t.load.toldAt.IsZero() && t.engine != nil && t.distance > 0:
		return (1 - nearPart) / entries
	case near == 0 || near >= entries:
		return 1 / entries
	case t.distance == 0:
		return nearPart / near
	}
	return (1 - nearPart) / (entries - near)
}

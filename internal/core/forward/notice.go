package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// Noticed says that the head of an answer came.
type Noticed struct {
	// Upstream is the life that the request was sent to, and Sent is when.
	Upstream catalog.Life
	Sent     time.Time
	// Outcome is what the head alone says of the send: Answered for an answer that may be passed on.
	Outcome Outcome
	Notice  catalog.Notice
}

// Event marks the type as an event.
func (Noticed) Event() {}

// ran tells whether the upstream ran the request.
func (ev Noticed) ran() bool { return ev.Outcome == Answered || ev.Outcome == ServerFailed }

// UpstreamSaid tells the shell that an upstream says something else of itself than before, for its log.
type UpstreamSaid struct {
	Upstream string
	Notice   catalog.Notice
	// Before is what it said last.
	Before catalog.Notice
}

// Effect marks the type as an effect.
func (UpstreamSaid) Effect() {}

// noticed takes what an upstream says of itself.
func (s *State) noticed(in step.Input, ev Noticed) []step.Effect {
	if ev.Outcome == Misdirected || ev.Outcome == Broken {
		return nil // It comes from another upstream, or from nobody knows whom.
	}
	l := s.load(ev.Upstream)
	s.noteLimit(in, &l.pace, ev)
	if ev.Notice.RetryAfter > 0 {
		l.backoff.ask(in.Now, ev.Notice.RetryAfter)
	} else if ev.ran() {
		l.backoff.ran(ev.Sent)
	}
	if ev.Notice.Leaving {
		l.leftAt = in.Now
	}
	before := l.notice
	l.notice = ev.Notice
	if before == ev.Notice {
		return nil
	}
	return []step.Effect{UpstreamSaid{Upstream: ev.Upstream.ID, Notice: ev.Notice, Before: before}}
}

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

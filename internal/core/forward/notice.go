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
	if l.saidCold(in.Now, ev.Notice.ColdLeft); ev.Notice.ColdLeft > 0 {
		s.paceColdLife(in.Now, ev.Upstream)
	}
	before := l.notice
	l.notice = ev.Notice
	l.notice.ColdLeft = 0 // It shrinks with each answer, which is no news.
	if before == l.notice {
		return nil
	}
	return []step.Effect{UpstreamSaid{Upstream: ev.Upstream.ID, Notice: ev.Notice, Before: before}}
}

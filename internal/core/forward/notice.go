package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// AnswerHeadReceived is the event that the head of an answer was received.
type AnswerHeadReceived struct {
	// Upstream is the instance that the request was sent to, and Sent is when.
	Upstream catalog.Instance
	Sent     time.Time
	// Outcome is the outcome as far as the head shows it: Answered for an answer that may be passed on.
	Outcome Outcome
	Notice  catalog.Notice
}

// Event marks the type as an event.
func (AnswerHeadReceived) Event() {}

// ran reports whether the upstream ran the request.
func (ev AnswerHeadReceived) ran() bool { return ev.Outcome == Answered || ev.Outcome == ServerFailed }

// NoticeChanged has the shell log that an upstream's statement about itself has changed.
type NoticeChanged struct {
	Upstream string
	Notice   catalog.Notice
	// Before is the previous statement.
	Before catalog.Notice
}

// Effect marks the type as an effect.
func (NoticeChanged) Effect() {}

// answerHeadReceived handles an upstream's statement about itself.
func (s *State) answerHeadReceived(in step.Input, ev AnswerHeadReceived) []step.Effect {
	if ev.Outcome == Misdirected || ev.Outcome == Broken {
		return nil // Another upstream may have the address, or the sender is unknown.
	}
	l := s.loadState(ev.Upstream)
	l.noteHeard(in.Now)
	s.noteRateLimit(in, &l.limitPacer, ev)
	if ev.Notice.RetryAfter > 0 {
		l.backoff.request(in.Now, ev.Notice.RetryAfter)
	} else if ev.ran() {
		l.backoff.served(ev.Sent)
	}
	if ev.Notice.Leaving {
		l.leavingAt = in.Now
	}
	if l.noteCold(in.Now, ev.Notice.ColdRemaining); ev.Notice.ColdRemaining > 0 {
		s.setColdPacerOf(in.Now, ev.Upstream)
	}
	before := l.notice
	l.notice = ev.Notice
	l.notice.ColdRemaining = 0 // It shrinks with each answer, which is not a change to log.
	if before == l.notice {
		return nil
	}
	return []step.Effect{NoticeChanged{Upstream: ev.Upstream.ID, Notice: ev.Notice, Before: before}}
}

package request

import (
	"maps"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// UpstreamSilent is the event that the upstream of an attempt, or its agent, has been silent for so long that another upstream should run the
// request. The attempt goes on.
type UpstreamSilent struct {
	ID      string
	Attempt int
	// Ran is the run status if the attempt ended now.
	Ran code.Ran
}

// GiveUp is the effect that ends an attempt at a silent upstream, because another upstream can take its place. It is carried out at once, and
// AttemptFailed or AnswerFailed follows unless the upstream has gone on.
type GiveUp struct{ Attempt }

// Event marks the type as an event.
func (UpstreamSilent) Event() {}

// Effect marks the type as an effect.
func (GiveUp) Effect() {}

// RequestID returns the ID of the request that the effect is for.
func (e GiveUp) RequestID() string { return e.ID }

// upstreamSilent gives up an attempt at a silent upstream if another upstream can take its place. Otherwise the attempt goes on until the
// deadline: a sound upstream may be silent for a while, and without a replacement its answer is the only one that the caller can get.
func (s *State) upstreamSilent(in step.Input, ev UpstreamSilent, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt || !s.replaceable(in, r, ev.Ran, directory, statuses) {
		return nil
	}
	return []step.Effect{GiveUp{Attempt: r.currentAttempt()}}
}

// currentAttempt returns the attempt that is in flight.
func (r *Request) currentAttempt() Attempt {
	return Attempt{ID: r.ID, Number: r.Attempt, Target: r.upstream, Sequence: r.sequence, AtMostOnce: r.AtMostOnce}
}

// replaceable reports whether the request would be sent to another upstream if its attempt failed now with the run status ran.
func (s *State) replaceable(in step.Input, r *Request, ran code.Ran, directory Directory, statuses SuspectStatuses) bool {
	if !in.Now.Before(r.Deadline) || !s.mayRetry(r, ran) || ran != code.NotRun && r.executed+1 >= MaxExecutedAttempts {
		return false
	}
	status := statuses.Status(in.Now, r.Fingerprint)
	if status == suspect.Quarantined || ran != code.NotRun && status != suspect.Suspect && !s.budget(r.serviceKey()).Allows() {
		return false
	}
	candidates := directory.Candidates(in.Now, r.Team, r.Service)
	switch r.Phase {
	case Sent:
	case Answering, Resuming, Continuing:
		if !r.continuable {
			return false
		}
		candidates = withVersion(candidates, r.digest)
	default:
		return false
	}
	tried := maps.Clone(r.tried)
	for _, key := range r.retryable {
		delete(tried, key)
	}
	availability := routing.None
	if status == suspect.Suspect {
		_, availability = isolatedUpstream(r, tried, candidates)
	} else {
		q := r.query()
		q.Tried, q.OverLimit = tried, true // As after a failure: a limit is no reason to refuse.
		_, availability = s.Routing.Pick(in, q, candidates)
	}
	return availability == routing.Found
}

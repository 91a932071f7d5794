package request

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// Reduce applies one input to the state and returns the effects that the shell must carry out.
func (s *State) Reduce(in step.Input, directory Directory, statuses SuspectStatuses) []step.Effect {
	switch ev := in.Event.(type) {
	case Received:
		return s.received(in, ev, directory, statuses)
	case ClaimSettled:
		return s.claimSettled(in, ev, directory, statuses)
	case AttemptFailed:
		return s.attemptFailed(in, ev, directory, statuses)
	case AnswerStarted:
		return s.answerStarted(in, ev, directory, statuses)
	case AnswerProgressed:
		s.answerProgressed(ev)
	case AnswerInterrupted:
		return s.answerInterrupted(in, ev, directory, statuses)
	case AnswerFailed:
		return s.answerFailed(in, ev, directory, statuses)
	case UpstreamSilent:
		return s.upstreamSilent(in, ev, directory, statuses)
	case Ended:
		return s.ended(in, ev, directory, statuses)
	case StopRequested:
		s.stopping = true
	case selflimit.OwnDelay:
		s.ownWork.Measured(ev, s.inFlight())
	case step.Tick:
		return s.tick(in, directory, statuses)
	}
	return nil
}

func (s *State) received(in step.Input, ev Received, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := &Request{
		ID: ev.ID, Team: ev.Team, Service: ev.Service, Deadline: ev.Deadline, Key: ev.Key, AtMostOnce: ev.AtMostOnce,
		Fingerprint: ev.Fingerprint, Ran: code.NotRun, replayable: ev.Replayable, tried: map[string]bool{}, terms: ev.Terms,
	}
	others := s.inFlight()
	s.Requests[r.ID] = r
	if s.stopping {
		return s.refuse(r, code.Stopping, code.NotRun, DefaultRetryAfter)
	}
	if refusal, quarantined := s.refuseQuarantined(in, r, statuses); quarantined {
		return refusal
	}
	if !s.ownWork.Admit(others) {
		return s.refuse(r, code.Overloaded, code.NotRun, s.gate(r.serviceKey()).RetryAfter())
	}
	return s.admit(in, r, directory, statuses)
}

// inFlight returns the number of requests that are not settled.
func (s *State) inFlight() int { return len(s.Requests) - s.settled }

// MaxInFlight returns the maximum number of requests in flight while this process is late by its own work; 0 for no maximum.
func (s *State) MaxInFlight() int { return s.ownWork.Max() }

// settle marks a request as settled. Only its Ended follows.
func (s *State) settle(r *Request) {
	if r.Phase != Settled {
		s.settled++
	}
	r.Phase = Settled
}

func (s *State) claimSettled(in step.Input, ev ClaimSettled, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Phase != Claiming {
		return nil
	}
	switch ev.Outcome {
	case ClaimGranted:
		return s.send(in, r, directory, statuses)
	case ClaimRefused:
		return s.refuse(r, ev.Code, ev.Ran, ev.RetryAfter)
	case ClaimHeld:
		return s.refuse(r, code.OutcomeUnknown, code.Unknown, 0)
	case ClaimMaybeRecorded:
		// The call did not run, but the key may be recorded. A resend with the same key may then be refused.
		return s.refuse(r, code.ClaimUnavailable, code.NotRun, DefaultRetryAfter)
	default:
		return s.refuse(r, code.ClaimUnavailable, code.NotRun, DefaultRetryAfter)
	}
}

// send chooses an upstream and sends the request to it, or refuses the request.
func (s *State) send(in step.Input, r *Request, directory Directory, statuses SuspectStatuses) []step.Effect {
	if refusal, quarantined := s.refuseQuarantined(in, r, statuses); quarantined {
		return refusal
	}
	if !in.Now.Before(r.Deadline) {
		return s.refuse(r, code.DeadlinePassed, r.Ran, 0)
	}
	upstream, availability := s.choose(in, r, directory.Candidates(in.Now, r.Team, r.Service), statuses)
	if availability != routing.Found {
		return s.noCapacity(in, r, availability)
	}
	return []step.Effect{Send{Attempt: s.newAttempt(in, r, upstream, statuses)}}
}

// newAttempt records a new attempt on the upstream and returns it.
func (s *State) newAttempt(in step.Input, r *Request, upstream member.Candidate, statuses SuspectStatuses) Attempt {
	r.Attempt++
	r.Phase = Sent
	r.upstream = upstream
	r.tried[routing.Key(upstream)] = true
	s.recordSent(in.Now, r)
	s.sequence++
	r.sequence = s.sequence
	return Attempt{
		ID: r.ID, Number: r.Attempt, Target: upstream, Sequence: s.sequence, AtMostOnce: r.AtMostOnce,
		Delay:     r.delay,
		Cache:     s.Routing.CachePosition(r.serviceKey(), upstream),
		Exclusive: statuses.Status(in.Now, r.Fingerprint) == suspect.Suspect,
	}
}

// choose returns an upstream that was not tried yet. If none is left, it returns one whose earlier attempt failed for a
// cause other than the upstream. It sets the delay of the next attempt.
func (s *State) choose(in step.Input, r *Request, candidates []member.Candidate, statuses SuspectStatuses) (member.Candidate, routing.Availability) {
	r.delay = 0
	if r.declinesAfterRun >= MaxTotalAttempts {
		r.delay = MaxRetryDelay
	}
	upstream, availability := s.untried(in, r, candidates, statuses)
	if availability != routing.None || len(r.retryable) == 0 {
		return upstream, availability
	}
	for _, key := range r.retryable {
		delete(r.tried, key)
	}
	r.retryable = nil
	r.delay = max(r.delay, retryDelay(r.retryRounds))
	r.retryRounds++
	return s.untried(in, r, candidates, statuses)
}

// retryDelay returns the delay before upstreams are tried again for the nth time, counted from 0.
func retryDelay(n int) time.Duration {
	if n >= retryDelayDoublings {
		return MaxRetryDelay
	}
	return InitialRetryDelay << n
}

// untried returns an upstream that was not tried yet.
func (s *State) untried(in step.Input, r *Request, candidates []member.Candidate, statuses SuspectStatuses) (member.Candidate, routing.Availability) {
	if statuses.Status(in.Now, r.Fingerprint) == suspect.Suspect {
		return isolatedUpstream(r, r.tried, candidates)
	}
	return s.Routing.Pick(in, r.query(), candidates)
}

// isolatedUpstream returns the upstream on which a suspect request runs alone, other than those in tried.
func isolatedUpstream(r *Request, tried map[string]bool, candidates []member.Candidate) (member.Candidate, routing.Availability) {
	keys := make([]string, 0, len(candidates))
	byKey := make(map[string]member.Candidate, len(candidates))
	for _, c := range candidates {
		keys = append(keys, routing.Key(c))
		byKey[routing.Key(c)] = c
	}
	for _, key := range suspect.Isolation(r.Team+"/"+r.Service, r.Fingerprint, keys) {
		if !tried[key] {
			return byKey[key], routing.Found
		}
	}
	return member.Candidate{}, routing.None
}

// refuseQuarantined refuses a request that crashes upstreams. It reports whether the request is quarantined.
func (s *State) refuseQuarantined(in step.Input, r *Request, statuses SuspectStatuses) ([]step.Effect, bool) {
	if statuses.Status(in.Now, r.Fingerprint) != suspect.Quarantined {
		return nil, false
	}
	return s.refuse(r, code.Quarantined, r.Ran, statuses.Remaining(in.Now, r.Fingerprint)), true
}

// refuse settles a request of whose answer nothing was passed on.
func (s *State) refuse(r *Request, c code.Code, ran code.Ran, after time.Duration) []step.Effect {
	s.settle(r)
	return []step.Effect{NewRefusal(r.ID, c, ran, after)}
}

// resendDelay returns the Retry-After delay of a refusal. It is 0 for a request that may have run, because its caller
// should not send it again.
func resendDelay(ran code.Ran) time.Duration {
	if ran == code.NotRun {
		return DefaultRetryAfter
	}
	return 0
}

func (s *State) ended(in step.Input, ev Ended, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil {
		return nil
	}
	answered := r.Phase == Answering
	if r.Phase == Settled {
		s.settled--
	}
	s.release(in.Now, r)
	if answered {
		s.recordReport(in.Now, r, ev.Report)
	}
	delete(s.Requests, ev.ID)
	return s.finish(in, r, answered, directory, statuses)
}

// release removes the attempt in flight, if any, from the load of its upstream.
func (s *State) release(now time.Time, r *Request) {
	if r.Phase != Sent && r.Phase != Answering && r.Phase != Resuming && r.Phase != Continuing {
		return
	}
	waited := time.Duration(0)
	if r.Phase == Sent || r.Phase == Continuing {
		waited = now.Sub(r.sentAt)
	}
	s.Routing.Ended(now, r.serviceKey(), r.upstream, waited)
	r.Phase = Admitted
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

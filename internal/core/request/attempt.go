package request

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// CombineRan returns the run status of two attempts together. It is NotRun only if neither ran. It is DidRun if at least
// one of them ran, and Unknown otherwise.
func CombineRan(a, b code.Ran) code.Ran {
	if a == code.DidRun || b == code.DidRun {
		return code.DidRun
	}
	if a == code.NotRun && b == code.NotRun {
		return code.NotRun
	}
	return code.Unknown
}

// attemptFailed retries the request or refuses it. The run status that it reports covers all attempts, not only the
// last one.
func (s *State) attemptFailed(in step.Input, ev AttemptFailed, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt {
		return nil
	}
	switch r.Phase {
	case Continuing:
		return s.answerFailed(in, AnswerFailed{ID: ev.ID, Attempt: ev.Attempt, Code: ev.Code, Ran: ev.Ran}, directory, statuses)
	case Sent:
	default:
		return nil
	}
	if ev.Code == code.Stopping {
		s.Routing.AgentLeaving(in.Now, r.upstream)
	}
	// The report that arrived with the failure does not count this attempt any more, so release must come first.
	s.release(in.Now, r)
	s.recordReport(in.Now, r, ev.Report)
	s.recordOutcome(r, ev.Code, ev.Ran)
	if refusal, quarantined := s.refuseQuarantined(in, r, statuses); quarantined {
		return refusal
	}
	if !in.Now.Before(r.Deadline) || ev.Code == code.DeadlinePassed {
		return s.refuse(r, code.DeadlinePassed, r.Ran, 0)
	}
	if !s.mayRetry(r, ev.Ran) || !s.withinBudget(in, r, ev.Ran, statuses) {
		return s.refuse(r, ev.Code, r.Ran, s.retryAfter(r, ev))
	}
	if s.shouldRequeue(r, ev.Code) {
		s.requeue(in, r)
		return s.admitWaiting(in, r.Team, r.Service, directory, statuses)
	}
	return s.send(in, r, directory, statuses)
}

// recordOutcome records the outcome of a failed attempt.
func (s *State) recordOutcome(r *Request, c code.Code, ran code.Ran) {
	r.Ran = CombineRan(r.Ran, ran)
	r.lastCode = c
	r.failedOtherwise = r.failedOtherwise || (c != code.Overloaded && c != code.UpstreamReserved)
	if ran != code.NotRun {
		r.executed++
		return
	}
	if r.isDeclineAfterRun(c) {
		r.declinesAfterRun++
		r.retryable = append(r.retryable, routing.Key(r.upstream))
		return
	}
	switch c {
	case code.UpstreamSilent, code.AgentRestarted, code.AttemptFenced, code.UpstreamReserved:
		// The connection, a restart of the agent or another request caused the failure, not the upstream.
		r.retryable = append(r.retryable, routing.Key(r.upstream))
	}
}

// isDeclineAfterRun reports whether an attempt found an upstream full or reserved after an earlier attempt may have run.
// The lack of capacity is temporary, but a refusal would leave the caller without an answer and with an unknown
// outcome. Such a request is therefore retried until its deadline.
func (r *Request) isDeclineAfterRun(c code.Code) bool {
	return r.Ran != code.NotRun && (c == code.Overloaded || c == code.UpstreamReserved)
}

// mayRetry reports whether the limits on attempts and the at-most-once guarantee allow another attempt. Requests that
// are not replayable get none.
func (s *State) mayRetry(r *Request, ran code.Ran) bool {
	if !r.replayable || r.executed >= MaxExecutedAttempts || r.Attempt-r.declinesAfterRun >= MaxTotalAttempts {
		return false
	}
	return ran == code.NotRun || !r.AtMostOnce
}

// withinBudget reports whether the retry budget allows another attempt, and takes it from the budget. A suspect request
// is exempt, because running alone on an upstream already limits it.
func (s *State) withinBudget(in step.Input, r *Request, ran code.Ran, statuses SuspectStatuses) bool {
	return statuses.Status(in.Now, r.Fingerprint) == suspect.Suspect || s.takeRetry(r, ran)
}

func (s *State) retryAfter(r *Request, ev AttemptFailed) time.Duration {
	if ev.Code == code.Overloaded {
		return s.gate(r.serviceKey()).RetryAfter()
	}
	return resendDelay(r.Ran)
}

func (s *State) answerStarted(in step.Input, ev AnswerStarted, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt {
		return nil
	}
	switch r.Phase {
	case Sent:
		r.continuable = ev.Continuable && r.replayable && !r.AtMostOnce
		r.digest = ev.Digest
		switch {
		case ev.CannotServe:
			s.Routing.Failed(in.Now, r.serviceKey(), r.upstream)
		case ev.Report != nil && ev.Report.WasSilent:
			s.Routing.WentOn(in.Now, r.serviceKey(), r.upstream)
		default:
			s.Routing.FirstByte(in.Now, r.serviceKey(), r.upstream, in.Now.Sub(r.sentAt), ev.Report.FirstByteTime())
		}
	case Resuming, Continuing:
	default:
		return nil
	}
	r.Phase = Answering
	r.Ran = code.DidRun
	s.gate(r.serviceKey()).Answered(in.Now)
	s.recordReport(in.Now, r, ev.Report)
	return s.admitWaiting(in, r.Team, r.Service, directory, statuses)
}

func (s *State) answerProgressed(ev AnswerProgressed) {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt {
		return
	}
	r.Resumes = 0
	if r.Phase == Resuming {
		r.Phase = Answering
	}
}

// answerInterrupted resumes the answer. After too many resumes without progress, or after the deadline, it treats the run as lost. A silent
// agent is asked until the deadline if no other upstream can continue the answer: it may go on.
func (s *State) answerInterrupted(in step.Input, ev AnswerInterrupted, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt || (r.Phase != Answering && r.Phase != Resuming) {
		return nil
	}
	awaited := ev.Silent && !s.replaceable(in, r, code.DidRun, directory, statuses)
	if !awaited && r.Resumes >= maxResumes(r) || !in.Now.Before(r.Deadline) {
		lost := AnswerFailed{ID: r.ID, Attempt: r.Attempt, Code: code.StreamBroken, Ran: code.DidRun}
		return s.answerFailed(in, lost, directory, statuses)
	}
	delay := time.Duration(0)
	if r.Resumes > 0 {
		delay = InitialResumeDelay << (r.Resumes - 1)
	}
	if !awaited {
		r.Resumes++
	}
	r.Phase = Resuming
	return []step.Effect{Resume{Attempt: r.currentAttempt(), Delay: delay, Irreplaceable: awaited}}
}

func maxResumes(r *Request) int {
	if r.continuable {
		return MaxContinuableResumes
	}
	return MaxResumes
}

// answerFailed continues an answer on another upstream with the same version, or aborts it.
func (s *State) answerFailed(in step.Input, ev AnswerFailed, directory Directory, statuses SuspectStatuses) []step.Effect {
	r := s.Requests[ev.ID]
	if r == nil || r.Attempt != ev.Attempt {
		return nil
	}
	if r.Phase != Answering && r.Phase != Resuming && r.Phase != Continuing {
		return nil
	}
	s.release(in.Now, r)
	s.recordOutcome(r, ev.Code, ev.Ran)
	if _, quarantined := s.refuseQuarantined(in, r, statuses); quarantined {
		return s.abort(r, code.Quarantined)
	}
	if !in.Now.Before(r.Deadline) || ev.Code == code.DeadlinePassed {
		return s.abort(r, code.DeadlinePassed)
	}
	if ev.Final || !r.continuable || !s.mayRetry(r, ev.Ran) || !s.withinBudget(in, r, ev.Ran, statuses) {
		return s.abort(r, ev.Code)
	}
	upstream, availability := s.choose(in, r, withVersion(directory.Candidates(in.Now, r.Team, r.Service), r.digest), statuses)
	if availability != routing.Found {
		return s.abort(r, ev.Code)
	}
	attempt := s.newAttempt(in, r, upstream, statuses)
	attempt.Digest = r.digest
	r.Phase = Continuing
	r.Resumes = 0
	return []step.Effect{Send{Attempt: attempt, Continue: true}}
}

func withVersion(all []member.Candidate, digest string) []member.Candidate {
	var same []member.Candidate
	for _, c := range all {
		if c.Upstream.Digest == digest {
			same = append(same, c)
		}
	}
	return same
}

// abort settles a request whose answer has started and can't be completed.
func (s *State) abort(r *Request, c code.Code) []step.Effect {
	s.settle(r)
	return []step.Effect{Abort{ID: r.ID, Code: c, Ran: r.Ran}}
}

package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// defaultRequestTimeout applies to a request for which neither its caller nor its route sets a timeout.
	defaultRequestTimeout = 30 * time.Second
	// maxAttempts limits the attempts of one request, including those that upstreams declined, which Route.MaxUpstreams does not count.
	maxAttempts = 4
	// firstEventTimeout is the timeout for the first event of a stream that may be retried, counted from the sending of the attempt. It
	// is three to four times the objective of the users' streams. It is also less than the two seconds that their callers wait at
	// least, counted from the caller's request or from the last event that was passed on; see attemptTimeouts.
	firstEventTimeout = 1500 * time.Millisecond
	// gapTimeout is the timeout between two events of a stream that may be resumed at another upstream. It is three times the
	// users' objective for gaps.
	gapTimeout = 1200 * time.Millisecond
	// plainTimeoutObjectives is the timeout of an attempt that is not a stream and may be retried, as a multiple of the route's latency
	// objective.
	plainTimeoutObjectives = 2
	// minAttemptTime is the remaining time below which an attempt is not worthwhile.
	minAttemptTime = 60 * time.Millisecond
	// answerMargin is how long before a caller's own timeout it is answered. It covers the network, some milliseconds, and the
	// delay of a busy entry.
	answerMargin = 150 * time.Millisecond
)

func (s *State) arrived(in step.Input, ev Arrived) []step.Effect {
	m := s.Catalog.Manifest
	if !s.Catalog.Ready() {
		return refuseArrival(ev.ID, code.NotReady, "the manifest or the upstreams are not known yet", s.retryAfter(in))
	}
	if s.stopping {
		return refuseArrival(ev.ID, code.Stopping, "this process is shutting down", time.Millisecond)
	}
	head := in.Now.Add(-ev.BodyReadTime)
	r := &request{
		id: ev.ID, host: ev.Host, path: ev.Path, key: ev.Key, fingerprint: ev.Fingerprint, parts: ev.SharedParts, prompt: ev.PromptTokens, tokens: ev.PromptTokens + ev.MaxAnswerTokens, requestedModel: ev.Model,
		arrived: head, progressAt: head, tried: map[catalog.Instance]bool{},
	}
	if end, forbidden := s.applyManifest(in, r); forbidden {
		return refuseArrival(ev.ID, end.code, end.reason, 0)
	}
	if m.MaxBody > 0 && ev.Size > m.MaxBody {
		return refuseArrival(ev.ID, code.BodyTooLarge, fmt.Sprintf("%d bytes, at most %d", ev.Size, m.MaxBody), 0)
	}
	r.deadline = head.Add(requestTimeout(r.route, ev.Budget))
	if !in.Now.Before(r.deadline) {
		return refuseArrival(ev.ID, code.Overloaded, fmt.Sprintf("the deadline passed while its body was read, which took %v", ev.BodyReadTime), s.retryAfter(in))
	}
	r.returning, r.hold.elapsed = s.callerTimeouts.returning(in.Now, r, ev.Budget)
	r.hold.size = ev.Size
	if !s.ownWork.Admit(len(s.requests)) {
		return s.refuseForOwnWork(in, r)
	}
	s.requests[r.id] = r
	s.retryBudget(r.service).addRequest(in.Now)
	s.countArrival(in.Now, r)
	if !r.returning {
		s.noteFirstTry(in.Now, r)
	}
	effects := []step.Effect{Accepted{ID: r.id, Route: r.route, Deadline: r.deadline, Account: accountName(r.account), Priority: r.priority}}
	return append(effects, s.dispatch(in, r)...)
}

// requestTimeout returns the timeout of a request, as limited by its caller and its route.
func requestTimeout(route *catalog.Route, budget time.Duration) time.Duration {
	limit := defaultRequestTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if budget > 0 {
		limit = min(limit, budget)
	}
	return limit
}

// dispatch sends a request to an upstream, queues it until there is capacity, or refuses it.
func (s *State) dispatch(in step.Input, r *request) []step.Effect {
	if end, forbidden := s.refreshAndCheck(in, r); forbidden {
		return s.endRequest(in, r, end)
	}
	if r.possibleRuns > 0 && !r.route.Repeatable() { // A new manifest says so while a retry waits.
		return s.endWithRetryAfter(in, r, code.RetriesExhausted, fmt.Sprintf("attempt %d; the request must not be sent again", r.attempts))
	}
	u, found := s.search(in, r)
	if effects, decided := s.decideByForecast(in, r, u, found); decided {
		return effects
	}
	// A returning caller is refused although an upstream has capacity: that capacity is reserved for first tries; see Policy.ReserveFor.
	if found == available && r.returning && in.Now.Sub(s.lastQueuedAt[r.service]) < s.Self.Policy.ReserveFor {
		if r.hold.awaitsSilent {
			return s.awaitSilent(in, r)
		}
		return s.endWithRetryAfter(in, r, code.Overloaded, fmt.Sprintf("the free capacity of %s is reserved for first tries", r.service))
	}
	switch {
	case found == available && s.pass == nil && s.yields(r):
		return s.yield(in, r)
	case found == available:
		return s.send(in, r, u)
	case found == full:
		return s.enqueue(in, r)
	case found == awaited:
		return s.awaitSilent(in, r)
	}
	return s.endWithRetryAfter(in, r, code.NoUpstream, fmt.Sprintf("no upstream of %s is usable: %s", r.service, s.describeUpstreams(in.Now, r)))
}

// send starts an attempt of a request at an upstream and counts the resources that it takes there; see release.
func (s *State) send(in step.Input, r *request, u *catalog.Upstream) []step.Effect {
	s.noteSent(in.Now, r)
	s.chargeService(in, r)
	v := s.view(u)
	s.noteSending(in.Now, r, v)
	r.attempts++
	r.number, r.instance, r.sentAt, r.stalled, r.unsent = r.attempts, u.Instance(), in.Now, false, false
	r.tried[r.instance] = true
	s.Parts.Sent(r.attempt())
	s.loadState(r.instance).inFlight++
	s.loadState(r.instance).remainingSends--
	s.loadState(r.instance).pendingPromptTokens += r.prompt
	s.loadState(r.instance).tokens += r.tokens
	s.loadState(r.instance).limitPacer.used()
	s.loadState(r.instance).coldPacer.used()
	s.loadState(r.instance).backoff.attempted(in.Now)
	s.loadState(r.instance).silence.attempted(in.Now)
	r.awaitingFirstEvent, r.firstEventLate = true, false
	r.unreported = v.unreported()
	if r.unreported {
		s.unreportedWaiting++
	}
	e := Send{
		ID: r.id, Attempt: r.attempts, Upstream: u, Homes: r.homes, Account: accountName(r.account), Priority: r.priority, Deadline: r.deadline, Resume: r.partial, Returning: r.returning,
		Moved: r.attempts == 1 && r.moveTo != "" && r.moveTo == u.DataCentre,
	}
	if required := s.requiredVersion(in.Now, r.model); required > 0 {
		// An engine compares versions for equality, so require the version that it holds, which may be newer than the required one.
		if held := v.heldVersion(in.Now, r.model); held >= required {
			e.Version = held
		}
	}
	e.Retry = s.retrySent(in, r)
	r.version = e.Version
	r.setTimeouts(&e, in.Now)
	r.speed.timeout = e.FirstEventTimeout
	return []step.Effect{e}
}

func (s *State) attemptEnded(in step.Input, ev AttemptEnded) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	if r.beside != nil && ev.Outcome != Answered {
		return s.oneOfTwoEnded(in, r, ev)
	}
	var effects []step.Effect
	r.withAttempt(ev.Attempt, func() { effects = s.settleAttempt(in, r, ev) })
	effects = append(effects, s.afterAttempt(in, r, ev)...)
	return append(effects, s.serveQueue(in, r.service)...)
}

// settleAttempt records what the end of an attempt says of its upstream, and frees its resources there.
func (s *State) settleAttempt(in step.Input, r *request, ev AttemptEnded) []step.Effect {
	effects := s.trackCrashes(in, r, ev)
	s.unreportedEnded(in.Now, r, ev.Outcome)
	s.measureSlotTime(in.Now, r, ev.Outcome)
	s.observeGap(in.Now, r, ev)
	s.noteFreed(in.Now, r, ev.Outcome)
	s.release(in, r, ev.Outcome)
	if ev.Partial {
		r.partial, r.progressAt = true, in.Now.Add(-ev.SinceLastPart)
	}
	if ev.Outcome.ran() {
		r.possibleRuns++
	}
	return effects
}

// clearPendingPrompt records that the prompt of a request is no longer pending at its upstream: the upstream started the request, or the
// attempt ended.
func (s *State) clearPendingPrompt(r *request) {
	if r.awaitingFirstEvent {
		r.awaitingFirstEvent = false
		s.loadState(r.instance).pendingPromptTokens -= r.prompt
		if r.unreported {
			s.unreportedWaiting--
		}
	}
}

// release frees the resources that a request takes at its upstream. The slot that it frees may be used at once, so send is allowed one
// more request before the next load report.
func (s *State) release(in step.Input, r *request, o Outcome) {
	if !r.isOpen() {
		return
	}
	s.attemptReleased(in.Now, r, o)
	s.clearPendingPrompt(r)
	s.Parts.Ended(r.attempt())
	l := s.loadState(r.instance)
	l.inFlight--
	l.tokens -= r.tokens
	if s.mayReuseSlot(in.Now, r) {
		l.remainingSends++
	}
	// A misdirected attempt that required a version does not count as a failure (see recordOutcome): the engine may be healthy and hold
	// another version.
	if o != Misdirected || r.version == 0 {
		l.recordOutcome(in.Now, o)
	}
	r.instance = catalog.Instance{}
}

// afterAttempt decides what follows an attempt: the end of the request or a retry.
func (s *State) afterAttempt(in step.Input, r *request, ev AttemptEnded) []step.Effect {
	if ev.Outcome == Answered {
		s.releaseAll(in, r)
		s.drop(r)
		return nil
	}
	end, forbidden := s.refreshAndCheck(in, r)
	if !forbidden && s.mayRetry(in, r, ev.Outcome) {
		return s.retry(in, r, ev.Outcome)
	}
	var effects []step.Effect
	if !forbidden {
		effects = s.denied(in, r, ev.Outcome)
	}
	return append(effects, s.endAfterAttempt(in, r, ev, end, forbidden)...)
}

// endAfterAttempt ends a request after an attempt that no other one follows. forbidden is set if the manifest in force no longer allows the
// request, which then ends with end.
func (s *State) endAfterAttempt(in step.Input, r *request, ev AttemptEnded, end ending, forbidden bool) []step.Effect {
	switch {
	case (ev.Outcome == ServerFailed || r.failed) && !r.partial:
		s.drop(r)
		return []step.Effect{Deliver{ID: r.id}}
	case forbidden:
		return s.endRequest(in, r, end)
	}
	return s.endWithRetryAfter(in, r, code.RetriesExhausted, fmt.Sprintf("attempt %d: %s", r.attempts, ev.Outcome))
}

// retry sends a request again, to an upstream with capacity. Without capacity the request ends: a retry is not queued, except to wait for a
// silent upstream. A retry that waits is counted, so that no more wait than the budget allows to be sent.
func (s *State) retry(in step.Input, r *request, o Outcome) []step.Effect {
	u, found := s.pickRetry(in, r)
	if found == available {
		s.decideRetry(r, RetryCause(o), o.sent()) // A retry for which there is no capacity does not count.
		return s.send(in, r, u)
	}
	if (o == ServerFailed || r.failed) && !r.partial {
		s.drop(r)
		return []step.Effect{Deliver{ID: r.id}}
	}
	if found == awaited {
		s.decideRetry(r, RetryCause(o), o.sent())
		return s.awaitSilent(in, r)
	}
	return s.endWithRetryAfter(in, r, code.Overloaded, fmt.Sprintf("attempt %d: %s; no other upstream of %s has capacity", r.attempts, o, r.service))
}

// mayRetry reports whether the kind of the request, its limits and the fleet's retry budget allow one more attempt.
func (s *State) mayRetry(in step.Input, r *request, o Outcome) bool {
	return s.mayBeSentAgain(in, r) && (!o.sent() || s.budgetAllows(in, r.service))
}

// mayBeSentAgain reports whether the kind of the request and its limits allow one more attempt.
func (s *State) mayBeSentAgain(in step.Input, r *request) bool {
	if r.possibleRuns > 0 && !r.route.Repeatable() {
		return false
	}
	return r.possibleRuns < r.route.MaxUpstreams && r.attempts < maxAttempts && r.deadline.Sub(in.Now) >= minAttemptTime
}

func (s *State) timedOut(in step.Input, ev TimedOut) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	r.partial = r.partial || ev.Partial
	if r.isOpen() && !ev.Unsent {
		r.possibleRuns++ // The upstreams that it was with may have run it.
	}
	s.releaseAll(in, r)
	effects := s.endWithRetryAfter(in, r, code.DeadlinePassed, fmt.Sprintf("no answer within %v", r.deadline.Sub(r.arrived)))
	return append(effects, s.serveQueue(in, r.service)...)
}

// endWithRetryAfter ends a request that could not be served for now, with a delay after which its caller may retry; see endRequest.
func (s *State) endWithRetryAfter(in step.Input, r *request, c code.Code, why string) []step.Effect {
	return s.endRequest(in, r, ending{code: c, reason: why, retryAfter: s.retryAfterFor(in, r)})
}

// endRequest ends a request that was accepted. There are three cases:
//
//   - Part of the answer was passed on: the answer is aborted.
//   - The request may have run: it is refused as code.Unknown, without a delay for a retry. code.DeadlinePassed stays;
//     code.RetriesExhausted replaces every other code.
//   - The request did not run: it is refused as code.NotRun, with the delay for a retry if there is one. code.Overloaded replaces
//     code.RetriesExhausted and code.DeadlinePassed; every other code stays.
func (s *State) endRequest(in step.Input, r *request, end ending) []step.Effect {
	s.drop(r)
	if r.partial {
		return []step.Effect{Abort{ID: r.id, Reason: end.reason}}
	}
	if r.possibleRuns > 0 {
		if end.code != code.DeadlinePassed {
			end.code = code.RetriesExhausted
		}
		return []step.Effect{Refuse{ID: r.id, Code: end.code, Ran: code.Unknown, Reason: end.reason, Returning: r.returning}}
	}
	if end.code == code.RetriesExhausted || end.code == code.DeadlinePassed {
		end.code = code.Overloaded
	}
	return []step.Effect{Refuse{ID: r.id, Code: end.code, Ran: code.NotRun, Reason: end.reason, RetryAfter: end.retryAfter, Returning: r.returning}}
}

func (s *State) callerGone(in step.Input, id uint64) []step.Effect {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	s.releaseAll(in, r)
	s.drop(r)
	return s.serveQueue(in, r.service)
}

// refuseForOwnWork refuses a new request because this process is late by its own work; see package selflimit.
func (s *State) refuseForOwnWork(in step.Input, r *request) []step.Effect {
	why := fmt.Sprintf("this process is late by its own work: %d requests in flight, at most %d", len(s.requests), s.ownWork.Max())
	return []step.Effect{Refuse{ID: r.id, Code: code.Overloaded, Ran: code.NotRun, Reason: why, RetryAfter: s.retryAfter(in), Returning: r.returning}}
}

// drop forgets a request.
func (s *State) drop(r *request) {
	s.leaveQueue(r)
	s.leaveHeld(r)
	r.releaseRetry()
	delete(s.requests, r.id)
}

// refuseArrival refuses a request that was not accepted, so that no state of it exists. Nothing of it was sent.
func refuseArrival(id uint64, c code.Code, why string, after time.Duration) []step.Effect {
	return []step.Effect{Refuse{ID: id, Code: c, Ran: code.NotRun, Reason: why, RetryAfter: after}}
}

package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

// mayAwaitSilent reports whether a request that finds the other upstreams full may wait for silent ones to go on: no more requests of its
// service do so than these can run in the time that it may wait. While a few of many upstreams are silent, a full service thus refuses
// callers as soon as otherwise.
func (s *State) mayAwaitSilent(now time.Time, r *request) bool {
	left := s.latestSend(r).Sub(now)
	if r.hold.awaitsSilent || left <= 0 {
		return false
	}
	slots := s.silentSlots(now, r)
	if slots <= 0 {
		return false
	}
	runs := max(1, float64(left)/float64(s.runTime(now, r)))
	return float64(s.awaitingSilent(r.service)) < slots*runs
}

// runTime returns the usual time that an upstream takes for a request, as far as it is measured for the request's service.
func (s *State) runTime(now time.Time, r *request) time.Duration {
	if o := s.outlookOf(now, r); o != nil {
		return o.capacity.RunTime()
	}
	return max(r.route.Objective, minAttemptTime)
}

// awaitingSilent returns how many requests of a service wait for silent upstreams. It counts them once per pass.
func (s *State) awaitingSilent(service string) int {
	if s.pass != nil && s.pass.awaitingKnown {
		return s.pass.awaiting
	}
	n := 0
	if q := s.queues[service]; q != nil {
		for _, it := range q.InOrderOfArrival() {
			if s.requests[it.ID].hold.awaitsSilent {
				n++
			}
		}
	}
	if s.pass != nil {
		s.pass.awaiting, s.pass.awaitingKnown = n, true
	}
	return n
}

// silentSlots returns this entry's share of the slots of the upstreams that may go on and accept the request, or have just gone on. It is
// computed once per pass for each kind of request, since thousands of requests may wait.
func (s *State) silentSlots(now time.Time, r *request) float64 {
	if s.pass == nil || r.attempts > 0 {
		return s.sumSilentSlots(now, r)
	}
	key := s.searchKey(r)
	slots, known := s.pass.silentSlots[key]
	if !known {
		slots = s.sumSilentSlots(now, r)
		s.pass.silentSlots[key] = slots
	}
	return slots
}

func (s *State) sumSilentSlots(now time.Time, r *request) float64 {
	sum, required := 0.0, s.requiredVersion(now, r.model)
	runTime := s.runTime(now, r)
	for _, v := range s.viewsFor(now, r) {
		delayed := v.load.quiet || v.load.wentOn(now, runTime)
		if v.mayGoOn(now, r, required) || delayed && v.usable(now, r, required) {
			sum += float64(v.maxRequests(r)) / float64(s.sharers(v))
		}
	}
	return sum
}

// awaitSilent lets a request wait for a silent upstream to go on, or refuses it if it can't be answered in time any more. Its caller is
// better off so than with a refusal, since no other upstream can take the request. It is not sent: if the upstream is down after all, it
// has not run.
func (s *State) awaitSilent(in step.Input, r *request) []step.Effect {
	if s.pass != nil && !r.hold.awaitsSilent {
		s.pass.awaiting++
	}
	r.hold.awaitsSilent = true
	if r.queueDeadline = s.latestSend(r); in.Now.Before(r.queueDeadline) {
		s.wait(r)
		return nil
	}
	why := fmt.Sprintf("no silent upstream of %s has gone on in time: %s", r.service, s.describeUpstreams(in.Now, r))
	return s.endWithRetryAfter(in, r, code.NoUpstream, why)
}

// latestSend returns the latest time at which a request is worth sending: an upstream is expected to answer it before its deadline passes
// and before its caller leaves.
func (s *State) latestSend(r *request) time.Time {
	end := r.deadline
	if r.route.CallerTimeout > 0 {
		end = step.Earlier(end, r.progressAt.Add(r.route.CallerTimeout))
	}
	return end.Add(-answerMargin - time.Duration(s.Self.Policy.StartShare*float64(r.route.Objective)))
}

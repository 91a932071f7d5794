package forward

import (
	"fmt"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

// enqueue lets a request wait for capacity, or refuses it if it has waited for maxWait. A request whose caller returned after a refusal
// does not wait: at the end of its wait it would take capacity from newer requests that can still be in time.
func (s *State) enqueue(in step.Input, r *request) []step.Effect {
	if r.queueDeadline.IsZero() {
		r.queueDeadline = in.Now.Add(s.maxWait(r))
	}
	if !in.Now.Before(r.queueDeadline) {
		return s.endWithRetryAfter(in, r, code.Overloaded, fmt.Sprintf("every upstream of %s is full: %s", r.service, s.describeUpstreams(in.Now, r)))
	}
	s.lastQueuedAt[r.service] = in.Now
	s.queues[r.service] = append(s.queues[r.service], r.id)
	return nil
}

// maxWait returns how long a request may wait for capacity.
func (s *State) maxWait(r *request) time.Duration {
	if r.returning {
		return 0
	}
	return time.Duration(s.Self.Policy.WaitShare * float64(r.route.Objective))
}

// serveWaiting sends queued requests as far as there is capacity, and refuses those that have waited for maxWait.
func (s *State) serveWaiting(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, service := range sortedKeys(s.queues) {
		effects = append(effects, s.serveQueue(in, service)...)
	}
	return effects
}

func (s *State) serveQueue(in step.Input, service string) []step.Effect {
	ids := s.queues[service]
	if len(ids) == 0 {
		return nil
	}
	delete(s.queues, service)
	var effects []step.Effect
	for _, r := range s.queueOrder(ids) {
		effects = append(effects, s.dispatch(in, r)...)
	}
	return effects
}

// queueOrder returns the requests in the order in which they get capacity. The newest is first, since the one that has waited
// longest is the most likely to be late.
func (s *State) queueOrder(ids []uint64) []*request {
	var list []*request
	for _, id := range ids {
		if r := s.requests[id]; r != nil {
			list = append(list, r)
		}
	}
	if s.Self.Policy.OldestFirst {
		return list
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].arrived.After(list[j].arrived) })
	return list
}

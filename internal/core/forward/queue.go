package forward

import (
	"fmt"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

// wait has a request wait for room, or refuses it when it has waited long enough. One whose caller came back after a refusal does not wait:
// by the end of its wait others that can be in time have come, and would miss the place that it took.
func (s *State) wait(in step.Input, r *request) []step.Effect {
	if r.queuedBy.IsZero() {
		r.queuedBy = in.Now.Add(s.waitFor(r))
	}
	if !in.Now.Before(r.queuedBy) {
		return s.giveUp(in, r, code.Overloaded, fmt.Sprintf("every upstream of %s is full: %s", r.service, s.census(in.Now, r)))
	}
	s.waited[r.service] = in.Now
	s.waiting[r.service] = append(s.waiting[r.service], r.id)
	return nil
}

// waitFor is how long a request waits for room.
func (s *State) waitFor(r *request) time.Duration {
	if r.back {
		return 0
	}
	return time.Duration(s.Self.Policy.WaitShare * float64(r.route.Objective))
}

// serveWaiting sends what waits as far as there is room, and refuses what has waited long enough.
func (s *State) serveWaiting(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, service := range sortedKeys(s.waiting) {
		effects = append(effects, s.serveQueue(in, service)...)
	}
	return effects
}

func (s *State) serveQueue(in step.Input, service string) []step.Effect {
	ids := s.waiting[service]
	if len(ids) == 0 {
		return nil
	}
	delete(s.waiting, service)
	var effects []step.Effect
	for _, r := range s.inTurn(ids) {
		effects = append(effects, s.place(in, r)...)
	}
	return effects
}

// inTurn returns the requests in the order in which they get room, the newest first: the one that has waited longest is the likeliest to be
// late.
func (s *State) inTurn(ids []uint64) []*request {
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

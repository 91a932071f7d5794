package forward

import (
	"fmt"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

// Yielded informs the shell that a first try arrived while an upstream had capacity for it, and that a more urgent request that waits
// got it or has it reserved. The request waits, or is refused by another effect.
type Yielded struct {
	ID       uint64
	Priority int
}

// Effect marks the type as an effect.
func (Yielded) Effect() {}

// prioritized reports whether the requests of a service are ordered by priority and account.
func (s *State) prioritized(service string) bool {
	return s.Catalog.Manifest != nil && s.Catalog.Manifest.Prioritized(service)
}

// queue returns the queue of a service, which it creates if there is none.
func (s *State) queue(service string) *schedule.Queue {
	q := s.queues[service]
	if q == nil {
		q = schedule.NewQueue()
		s.queues[service] = q
	}
	return q
}

// wait puts a request into the queue of its service, or updates it there.
func (s *State) wait(r *request) {
	q := s.queue(r.service)
	if r.queue == q && r.queuedUnder == r.manifest {
		return // Nothing of its item has changed.
	}
	if r.queue != q {
		s.leaveQueue(r)
	}
	r.queue, r.queuedUnder = q, r.manifest
	q.Add(s.item(r))
}

func (s *State) leaveQueue(r *request) {
	if r.queue != nil {
		r.queue.Remove(r.id)
		r.queue = nil
	}
}

// enqueue lets a request wait for capacity, or refuses it if it has waited for maxWait. A request whose caller returned after a refusal
// does not wait: at the end of its wait it would take capacity from newer requests that can still be in time.
func (s *State) enqueue(in step.Input, r *request) []step.Effect {
	if r.queueDeadline.IsZero() {
		r.queueDeadline = in.Now.Add(s.maxWait(r))
	}
	if !in.Now.Before(r.queueDeadline) {
		if s.mayAwaitSilent(in.Now, r) {
			return s.awaitSilent(in, r)
		}
		return s.endWithRetryAfter(in, r, code.Overloaded, fmt.Sprintf("every upstream of %s is full%s: %s", r.service, s.describeOrder(r), s.describeUpstreams(in.Now, r)))
	}
	s.lastQueuedAt[r.service] = in.Now
	s.wait(r)
	return nil
}

// maxWait returns how long a request may wait for capacity.
func (s *State) maxWait(r *request) time.Duration {
	if r.returning {
		return 0
	}
	return time.Duration(s.Self.Policy.WaitShare * float64(r.route.Objective))
}

// yields reports whether a request that arrived while there is capacity for it goes into the queue nevertheless, because others wait.
func (s *State) yields(r *request) bool {
	return s.prioritized(r.service) && s.queue(r.service).Len() > 0
}

// yield puts a request into the queue and serves the queue, in which the request then has its turn. If those before it can't use the
// capacity, it does.
func (s *State) yield(in step.Input, r *request) []step.Effect {
	q := s.queue(r.service)
	mustYield := q.MustYield(s.item(r))
	r.queueDeadline = in.Now.Add(s.maxWait(r))
	s.wait(r)
	effects := s.serveQueue(in, r.service)
	if mustYield && r.attempts == 0 {
		effects = append(effects, Yielded{ID: r.id, Priority: r.priority})
	}
	return effects
}

// serveWaiting sends queued requests as far as there is capacity, and refuses those that have waited for maxWait.
func (s *State) serveWaiting(in step.Input) []step.Effect {
	var services []string
	for _, service := range sortedKeys(s.queues) {
		if s.queues[service].Len() > 0 {
			services = append(services, service)
		} else if !s.prioritized(service) {
			delete(s.queues, service) // It has no state worth keeping.
		}
	}
	var effects []step.Effect
	for _, service := range services {
		effects = append(effects, s.serveQueue(in, service)...)
	}
	return effects
}

// servePrioritized is serveQueue for a service whose requests are ordered by priority and account. There, capacity for long prompts that
// becomes available must not go to the next request that arrives.
func (s *State) servePrioritized(in step.Input, service string) []step.Effect {
	if !s.prioritized(service) {
		return nil
	}
	return s.serveQueue(in, service)
}

func (s *State) serveQueue(in step.Input, service string) []step.Effect {
	q := s.queues[service]
	if q == nil || q.Len() == 0 {
		return nil
	}
	s.pass = newPass(q, s.prioritized(service))
	defer s.endPass()
	var effects []step.Effect
	for _, it := range s.queueOrder(in.Now, service, q) {
		r := s.requests[it.ID]
		effects = append(effects, s.dispatch(in, r)...)
		if r.queue == q {
			s.pass.ahead += it.Work
			s.pass.waiting++
		}
	}
	return effects
}

// queueOrder returns the requests of a queue in the order in which they get capacity. In a service without priorities the newest is
// first, since the one that has waited longest is the most likely to be late.
func (s *State) queueOrder(now time.Time, service string, q *schedule.Queue) []schedule.Item {
	if s.prioritized(service) {
		return q.Ordered(now)
	}
	list := q.InOrderOfArrival()
	if !s.Self.Policy.OldestFirst {
		slices.SortStableFunc(list, func(a, b schedule.Item) int { return b.Arrived.Compare(a.Arrived) })
	}
	return list
}

// chargeService takes a request that is sent out of its queue, and charges its work to its account and priority.
func (s *State) chargeService(in step.Input, r *request) {
	s.leaveQueue(r)
	if s.prioritized(r.service) {
		s.queue(r.service).Served(in.Now, s.item(r))
	}
	if s.pass != nil {
		s.pass.full = s.pass.full[:0]
		clear(s.pass.delayInputs)
	}
}

// describeOrder describes, for the log, the place in the order of a request that is refused; empty in a service without priorities.
func (s *State) describeOrder(r *request) string {
	if !s.prioritized(r.service) {
		return ""
	}
	if s.pass == nil {
		return fmt.Sprintf(" (priority %d)", r.priority)
	}
	return fmt.Sprintf(" (priority %d, %d requests with %v of work ahead)", r.priority, s.pass.waiting, s.pass.ahead.Round(time.Millisecond))
}

// Waiting returns how many requests wait for capacity, by priority.
func (s *State) Waiting() [schedule.Priorities]int {
	var waiting [schedule.Priorities]int
	for _, q := range s.queues {
		for p, n := range q.Waiting() {
			waiting[p] += n
		}
	}
	return waiting
}

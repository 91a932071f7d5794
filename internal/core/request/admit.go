package request

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// These words have one meaning each in this package:
//
//   - To retry is to make another attempt after one that failed before any of its answer was passed on. It may
//     use the retry budget; see takeRetry and withinBudget.
//   - To requeue is to put a request that was admitted back into the queue, because upstreams were merely full.
//   - To resume is to reconnect to the same run and request the rest of its answer. It is no new attempt. Each answer
//     that has started is resumable, as long as its agent still keeps the run and the bytes that are missing.
//   - To continue is to have another upstream with the same version generate the rest of the answer. It is a new attempt.
//   - A request is replayable if the entry has buffered its whole body and can therefore send it again. A request that is
//     not replayable is neither retried nor continued.
//   - An answer is continuable if each part of it depends only on the request and the version, the request is replayable,
//     and it is not an at-most-once call.
//   - A call is at-most-once if it must not run twice. It is retried only after attempts that certainly did not run. It is
//     never requeued and never continued. It may be resumed.

// Terms holds the properties of a request that admission and routing use. They come from its head, the start of
// its body and the settings of its service.
type Terms struct {
	// Account is the client account that the request counts for.
	Account string
	// Priority is from 0, the highest, to 9, the lowest.
	Priority int
	// Weight and Concurrency are the limits of the client account; see setting.Limits.
	Weight      int
	Concurrency int
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
}

// serviceKey returns the settings key of the request's service.
func (r *Request) serviceKey() string { return setting.Key(r.Team, r.Service) }

func (r *Request) query() routing.Query {
	return routing.Query{Service: r.serviceKey(), Prefix: r.terms.Prefix, Tried: r.tried, OverLimit: r.digest != "" || r.failedOtherwise}
}

func (s *State) gate(key string) *admission.Gate {
	g := s.gates[key]
	if g == nil {
		g = admission.NewGate()
		s.gates[key] = g
	}
	return g
}

func (s *State) budget(key string) *admission.Budget {
	b := s.budgets[key]
	if b == nil {
		b = &admission.Budget{}
		s.budgets[key] = b
	}
	return b
}

func (s *State) admissionAsk(r *Request) admission.Ask {
	a := admission.Ask{
		ID: r.ID, Account: r.terms.Account, Priority: r.terms.Priority, Weight: r.terms.Weight, Deadline: r.Deadline, Since: r.requeuedAt,
	}
	if r.terms.Concurrency > 0 {
		a.Cap = max(1, s.Fleet.Cap(r.serviceKey(), r.terms.Account, r.terms.Concurrency))
	}
	return a
}

// admit admits a new request, queues it or refuses it at once. It calls Pick only to learn whether there is capacity and
// discards the upstream: send picks one once the request is admitted.
func (s *State) admit(in step.Input, r *Request, directory Directory, statuses SuspectStatuses) []step.Effect {
	_, availability := s.Routing.Pick(in, r.query(), directory.Candidates(in.Now, r.Team, r.Service))
	if availability == routing.None {
		return s.refuse(r, code.NoUpstream, code.NotRun, DefaultRetryAfter)
	}
	r.Phase = Queued
	admitted, refused := s.gate(r.serviceKey()).Admit(in.Now, s.admissionAsk(r), availability == routing.Found)
	if admitted {
		return s.admitted(in, r, directory, statuses)
	}
	return s.refuseQueued(refused)
}

// admitted sends a request that was admitted. An at-most-once call is claimed before its first attempt.
func (s *State) admitted(in step.Input, r *Request, directory Directory, statuses SuspectStatuses) []step.Effect {
	r.Phase = Admitted
	if !r.AtMostOnce || r.Attempt > 0 {
		return s.send(in, r, directory, statuses)
	}
	r.Phase = Claiming
	return []step.Effect{Claim{ID: r.ID, Key: r.Key}}
}

// refuseQueued carries out refusals that the gate decided. A refusal reports the run status of the request's earlier
// attempts. Requests that are no longer queued are skipped.
func (s *State) refuseQueued(refused []admission.Refusal) []step.Effect {
	var effects []step.Effect
	for _, refusal := range refused {
		r := s.Requests[refusal.ID]
		if r == nil || r.Phase != Queued {
			continue
		}
		r.Phase = Admitted
		effects = append(effects, s.refuse(r, refusal.Code, r.Ran, refusal.After)...)
	}
	return effects
}

// admitWaiting admits waiting requests of a service while an upstream has free capacity.
func (s *State) admitWaiting(in step.Input, team, service string, directory Directory, statuses SuspectStatuses) []step.Effect {
	key := setting.Key(team, service)
	g := s.gate(key)
	var effects []step.Effect
	for g.Waiting() > 0 {
		upstream, availability := s.Routing.Pick(in, routing.Query{Service: key}, directory.Candidates(in.Now, team, service))
		if availability != routing.Found {
			return effects
		}
		id, _ := g.Next(func(id string) int {
			r := s.Requests[id]
			if r == nil {
				return 0
			}
			return s.Routing.Fit(in.Now, r.query(), upstream)
		})
		r := s.Requests[id]
		if r == nil {
			g.Remove(id, false)
			continue
		}
		effects = append(effects, s.admitted(in, r, directory, statuses)...)
	}
	return effects
}

// noCapacity handles a request that was admitted but found no upstream with free capacity. It requeues the request if
// upstreams are merely full. Otherwise it refuses the request. It also refuses at-most-once calls, requests with an attempt
// that failed for another reason than a full or reserved upstream, and every request during a shutdown.
func (s *State) noCapacity(in step.Input, r *Request, availability routing.Availability) []step.Effect {
	g := s.gate(r.serviceKey())
	switch {
	case availability == routing.None && len(r.tried) == 0:
		return s.refuse(r, code.NoUpstream, code.NotRun, DefaultRetryAfter)
	case availability == routing.None:
		return s.refuse(r, r.lastCode, r.Ran, resendDelay(r.Ran))
	case s.stopping || r.AtMostOnce || r.failedOtherwise:
		return s.refuse(r, code.Overloaded, r.Ran, g.RetryAfter())
	}
	s.requeue(in, r)
	return nil
}

// shouldRequeue reports whether a request that found its upstream full should wait in the queue instead of being sent
// to another upstream at once. It should when other requests wait too: free capacity then goes to the request that fits
// the upstream best.
func (s *State) shouldRequeue(r *Request, why code.Code) bool {
	return why == code.Overloaded && !r.failedOtherwise && !r.AtMostOnce && !s.stopping && s.gate(r.serviceKey()).Waiting() > 0
}

// requeue puts a request that was admitted back at the front of its account's queue. The upstreams that it tried may be
// tried again. The wait of a request counts from its first requeue, however often it is requeued.
func (s *State) requeue(in step.Input, r *Request) {
	r.tried = map[string]bool{}
	r.Phase = Queued
	if r.requeuedAt.IsZero() {
		r.requeuedAt = in.Now
	}
	s.gate(r.serviceKey()).Requeue(in.Now, s.admissionAsk(r))
}

// tick refuses the requests that waited too long, and admits waiting ones. A load report that has become too old can
// free capacity without any other event.
func (s *State) tick(in step.Input, directory Directory, statuses SuspectStatuses) []step.Effect {
	var effects []step.Effect
	for _, key := range sortedKeys(s.gates) {
		effects = append(effects, s.refuseQueued(s.gates[key].Sweep(in.Now))...)
		if team, service, ok := setting.SplitKey(key); ok {
			effects = append(effects, s.admitWaiting(in, team, service, directory, statuses)...)
		}
	}
	return effects
}

// recordSent records an attempt in the routing state.
func (s *State) recordSent(now time.Time, r *Request) {
	s.Routing.Sent(now, r.query(), r.upstream)
	r.sentAt = now
}

// recordReport records the load report, if any, that arrived with a reply of the current upstream.
func (s *State) recordReport(now time.Time, r *Request, report *routing.Report) {
	if report != nil {
		s.Routing.Reported(now, r.serviceKey(), r.upstream, *report)
	}
}

// takeRetry reports whether the retry budget allows another attempt after a failed one, and takes it from the budget. A
// retry is free if the failed attempt was not run or was ended by a graceful shutdown.
func (s *State) takeRetry(r *Request, ran code.Ran) bool {
	return ran == code.NotRun || r.lastCode == code.Stopping || s.budget(r.serviceKey()).Take()
}

// finish removes a request that ended from the gate and admits waiting ones in its place.
func (s *State) finish(in step.Input, r *Request, answered bool, directory Directory, statuses SuspectStatuses) []step.Effect {
	key := r.serviceKey()
	s.gate(key).Remove(r.ID, answered)
	if answered {
		s.budget(key).Succeeded()
		s.gate(key).Answered(in.Now)
	}
	return s.admitWaiting(in, r.Team, r.Service, directory, statuses)
}

// Demand returns the number of requests of a client account that are in flight at this entry, wait, or were recently
// refused. The key is that of the service.
func (s *State) Demand(key, account string) int {
	g := s.gates[key]
	if g == nil {
		return 0
	}
	return g.Demand(account)
}

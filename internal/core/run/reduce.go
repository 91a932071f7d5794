package run

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// handleStartRequested decides whether a request starts, waits in the queue or is refused.
func (s *State) handleStartRequested(in step.Input, ev StartRequested, upstreams *rollout.State, statuses SuspectStatuses) []step.Effect {
	if refusal, known := s.answerRepeated(ev); known {
		return []step.Effect{refusal}
	}
	status := statuses.Status(in.Now, ev.Fingerprint)
	r := &Run{
		Message: ev.Message, Upstream: ev.Upstream, Fingerprint: ev.Fingerprint,
		Exclusive: ev.Exclusive || status == suspect.Suspect, call: ev.Call,
	}
	if rejection := s.startRejection(ev, r, status, upstreams); rejection != 0 {
		// A refused attempt is over. A second copy of its message must not start it.
		s.recordOutcome(in.Now, ev.Message, code.NotRun)
		return []step.Effect{Refuse{Call: ev.Call, ID: ev.ID, Code: rejection, Ran: code.NotRun}}
	}
	s.Running[ev.ID] = r
	if r.Exclusive && s.occupied(ev.Upstream) {
		r.queued = true
		s.queues[ev.Upstream] = append(s.queues[ev.Upstream], ev.ID)
		return nil
	}
	return []step.Effect{s.start(in, r, upstreams)}
}

// answerRepeated answers a message that is not the first of its attempt, or that is for another instance of the agent. The
// second result is false for any other message.
func (s *State) answerRepeated(ev StartRequested) (step.Effect, bool) {
	if ev.Incarnation != s.incarnation {
		// This copy did not run. Only the entry can judge whether another copy reached the previous instance.
		return Refuse{Call: ev.Call, ID: ev.ID, Code: code.AgentRestarted, Ran: code.NotRun}, true
	}
	if r, running := s.Running[ev.ID]; running {
		if r.queued {
			return Refuse{Call: ev.Call, ID: ev.ID, Code: code.AttemptFenced, Ran: code.Unknown}, true
		}
		return Join{Call: ev.Call, ID: ev.ID}, true
	}
	if o, done := s.outcomes[ev.ID]; done {
		return Refuse{Call: ev.Call, ID: ev.ID, Code: code.AttemptFenced, Ran: o.ran}, true
	}
	if s.outcomeForgotten(ev.Message) {
		return Refuse{Call: ev.Call, ID: ev.ID, Code: code.AttemptFenced, Ran: code.Unknown}, true
	}
	return nil, false
}

// startRejection returns why an attempt must not start, or 0 when it may.
func (s *State) startRejection(ev StartRequested, r *Run, status suspect.Status, upstreams *rollout.State) code.Code {
	u := upstreams.Upstreams[ev.Upstream]
	switch {
	case s.stopping:
		return code.Stopping
	case status == suspect.Quarantined:
		return code.Quarantined
	case !s.serving(upstreams, ev.Upstream):
		return code.UpstreamNotServing
	case ev.Digest != "" && u.Digest != ev.Digest:
		return code.WeightsChanged
	case !r.Exclusive && s.reserved(ev.Upstream):
		return code.UpstreamReserved
	case !r.Exclusive && ev.Digest == "" && !s.Load.hasCapacity(ev.Upstream):
		// A request with a digest continues an answer that has started. The concurrency limit must not truncate it.
		return code.Overloaded
	}
	return 0
}

// reserved reports whether an upstream is reserved for a suspect that runs or is queued.
func (s *State) reserved(upstream string) bool {
	if len(s.queues[upstream]) > 0 {
		return true
	}
	for _, r := range s.runningOn[upstream] {
		if r.Exclusive {
			return true
		}
	}
	return false
}

// occupied reports whether an upstream has running or queued requests.
func (s *State) occupied(upstream string) bool {
	return len(s.runningOn[upstream]) > 0 || len(s.queues[upstream]) > 0
}

// start marks a run as running and returns the effect that starts it.
func (s *State) start(in step.Input, r *Run, upstreams *rollout.State) step.Effect {
	u := upstreams.RequestStarted(r.Upstream)
	r.queued = false
	r.bootID = u.BootID
	s.Load.runStarted(in.Now, r.ID, r.Upstream)
	if s.runningOn[r.Upstream] == nil {
		s.runningOn[r.Upstream] = map[ID]*Run{}
	}
	for _, other := range s.runningOn[r.Upstream] {
		other.Shared = true
		r.Shared = true
	}
	s.runningOn[r.Upstream][r.ID] = r
	return Start{Call: r.call, ID: r.ID, Upstream: u.Name, Kind: u.Kind, URL: u.URL, Digest: u.Digest, Generation: u.Generation, BootID: u.BootID}
}

// handleFinished ends a run, records its outcome, and starts the next suspect that is queued for the upstream.
func (s *State) handleFinished(in step.Input, ev Finished, upstreams *rollout.State) []step.Effect {
	r := s.Running[ev.ID]
	if r == nil || r.queued {
		return nil
	}
	delete(s.Running, ev.ID)
	delete(s.runningOn[r.Upstream], ev.ID)
	s.Load.runFinished(ev.ID, r.Upstream)
	ran := ev.Ran
	if ran == "" {
		ran = code.Unknown
	}
	s.recordOutcome(in.Now, r.Message, ran)
	upstreams.RequestFinished(r.Upstream)
	return s.startNext(in, r.Upstream, upstreams)
}

// startNext starts the next queued suspect if the upstream is idle. It refuses the queue if the upstream does not
// serve.
func (s *State) startNext(in step.Input, upstream string, upstreams *rollout.State) []step.Effect {
	queue := s.queues[upstream]
	if len(queue) == 0 || len(s.runningOn[upstream]) > 0 {
		return nil
	}
	if !s.serving(upstreams, upstream) {
		return s.refuseQueue(in, upstream, code.UpstreamNotServing)
	}
	s.queues[upstream] = queue[1:]
	return []step.Effect{s.start(in, s.Running[queue[0]], upstreams)}
}

// refuseQueues refuses the queued suspects of upstreams that do not serve, or all of them when the agent stops.
func (s *State) refuseQueues(in step.Input, upstreams *rollout.State) []step.Effect {
	names := make([]string, 0, len(s.queues))
	for name := range s.queues {
		names = append(names, name)
	}
	sort.Strings(names)
	var effects []step.Effect
	for _, name := range names {
		switch {
		case s.stopping:
			effects = append(effects, s.refuseQueue(in, name, code.Stopping)...)
		case !s.serving(upstreams, name):
			effects = append(effects, s.refuseQueue(in, name, code.UpstreamNotServing)...)
		}
	}
	return effects
}

func (s *State) refuseQueue(in step.Input, upstream string, rejection code.Code) []step.Effect {
	var effects []step.Effect
	for _, id := range s.queues[upstream] {
		r := s.Running[id]
		delete(s.Running, id)
		s.recordOutcome(in.Now, r.Message, code.NotRun)
		effects = append(effects, Refuse{Call: r.call, ID: id, Code: rejection, Ran: code.NotRun})
	}
	delete(s.queues, upstream)
	return effects
}

// handleFenceRequested prevents an attempt from starting, or reports its outcome if it is already known.
func (s *State) handleFenceRequested(in step.Input, ev FenceRequested) []step.Effect {
	a := FenceAnswer{Call: ev.Call, ID: ev.ID, Ran: code.Unknown}
	if ev.Incarnation != s.incarnation {
		return []step.Effect{a} // The previous instance of the agent may have run it.
	}
	r, known := s.Running[ev.ID]
	o, done := s.outcomes[ev.ID]
	switch {
	case known && r.queued:
		s.dequeue(in, r)
		a.Ran = code.NotRun
		return []step.Effect{Refuse{Call: r.call, ID: r.ID, Code: code.AttemptFenced, Ran: code.NotRun}, a}
	case known:
		a.Running = true
	case done:
		a.Ran = o.ran
	case !s.outcomeForgotten(ev.Message):
		s.recordOutcome(in.Now, ev.Message, code.NotRun)
		a.Ran = code.NotRun
	}
	return []step.Effect{a}
}

// dequeue removes a run from the queue of its upstream.
func (s *State) dequeue(in step.Input, r *Run) {
	delete(s.Running, r.ID)
	queue := s.queues[r.Upstream]
	for i, id := range queue {
		if id == r.ID {
			s.queues[r.Upstream] = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	s.recordOutcome(in.Now, r.Message, code.NotRun)
}

// recordOutcome records the outcome of an attempt.
func (s *State) recordOutcome(now time.Time, m Message, ran code.Ran) {
	s.outcomes[m.ID] = outcome{Message: m, ran: ran, until: now.Add(OutcomeRetention)}
	s.outcomeOrder = append(s.outcomeOrder, m.ID)
}

// outcomeForgotten reports whether a message is so old that the outcome of its attempt may have been dropped: its
// sequence number is not above the highest one of its entry whose outcome was dropped.
func (s *State) outcomeForgotten(m Message) bool {
	highest, known := s.maxForgotten[m.Entry]
	return known && m.Sequence <= highest
}

// expireOutcomes drops expired outcomes and raises the highest dropped sequence numbers of their entries.
func (s *State) expireOutcomes(now time.Time) {
	n := 0
	for ; n < len(s.outcomeOrder); n++ {
		o := s.outcomes[s.outcomeOrder[n]]
		if now.Before(o.until) {
			break
		}
		delete(s.outcomes, s.outcomeOrder[n])
		s.raiseMaxForgotten(o.Entry, o.Sequence)
	}
	s.outcomeOrder = s.outcomeOrder[n:]
}

// raiseMaxForgotten records that the outcome of an attempt of an entry was dropped. It evicts the oldest known entry
// when there are too many.
func (s *State) raiseMaxForgotten(entry string, sequence uint64) {
	highest, known := s.maxForgotten[entry]
	if !known {
		s.knownEntries = append(s.knownEntries, entry)
		if len(s.knownEntries) > maxKnownEntries {
			delete(s.maxForgotten, s.knownEntries[0])
			s.knownEntries = s.knownEntries[1:]
		}
	}
	s.maxForgotten[entry] = max(highest, sequence)
}

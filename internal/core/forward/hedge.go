package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// maxReplacementSearches is the number of searches per tick for upstreams that could replace one that stalls. A search examines all
// upstreams of a service, which takes 0.1 ms for 1,000.
const maxReplacementSearches = 8

// Stalled is the event that an upstream has sent nothing of an attempt for the attempt's timeout. The attempt goes on: a sound upstream may be
// silent for a while, and a dead one is replaced by a second attempt beside it.
type Stalled struct {
	ID      uint64
	Attempt int
	// Partial is set if part of an answer was received, in this attempt or before, and SinceLastPart is the time since the last part. The
	// shell passes it on before it carries out any effect of this event.
	Partial       bool
	SinceLastPart time.Duration
	// HeardAt is when something was last received from the upstream for any request; zero if that is unknown.
	HeardAt time.Time
	// Unsent is set if there is no connection to the upstream yet.
	Unsent bool
}

// Progressed is the event that an upstream went on with an attempt that had stalled.
type Progressed struct {
	ID      uint64
	Attempt int
	// Pause is how long the upstream was silent between two events of a stream; 0 otherwise.
	Pause time.Duration
}

// Event marks the type as an event.
func (Stalled) Event() {}

// Event marks the type as an event.
func (Progressed) Event() {}

// attemptStalled records that an upstream is silent, and sends the request to another one beside it if that is allowed. A connection may be
// reported after its attempt has ended, since the transport goes on connecting; that says nothing of the attempts that followed.
func (s *State) attemptStalled(in step.Input, ev Stalled) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil || !r.isAt(ev.Attempt) {
		return nil
	}
	r.withAttempt(ev.Attempt, func() {
		if r.isOpen() {
			r.stalled, r.unsent = true, ev.Unsent
			l := s.loadState(r.instance)
			l.heardAt = step.Later(l.heardAt, ev.HeardAt)
			l.noteStalled(in.Now)
		}
	})
	if ev.Partial {
		r.partial, r.progressAt = true, in.Now.Add(-ev.SinceLastPart)
		s.recordPause(in.Now, r, ev.SinceLastPart)
	}
	return s.hedge(in, r)
}

// attemptProgressed records that a silent upstream went on. Like attemptStalled, it ignores attempts that have ended.
func (s *State) attemptProgressed(in step.Input, ev Progressed) {
	r := s.requests[ev.ID]
	if r == nil || !r.isAt(ev.Attempt) {
		return
	}
	s.recordPause(in.Now, r, ev.Pause)
	r.withAttempt(ev.Attempt, func() {
		r.stalled = false
		if r.isOpen() {
			s.loadState(r.instance).noteHeard(in.Now)
		}
	})
}

// hedge sends a request whose only attempt stalls to another upstream as well. The first attempt stays open: the shell takes the one that goes
// on first and cancels the other. The manifest in force decides, as it does for a retry. Without another upstream that has capacity, the
// request waits for the one that it is with.
func (s *State) hedge(in step.Input, r *request) []step.Effect {
	if !s.mayHedge(in, r) {
		return nil
	}
	r.hedgeCheckedAt = in.Now
	current, allowed := s.underManifest(in, r)
	if !allowed || !s.mayHedge(in, current) || !r.unsent && accountName(current.account) != accountName(r.account) {
		return nil
	}
	u, found := s.pick(in, current)
	if found != available || s.loadState(u.Instance()).silence.active() {
		return nil
	}
	if _, forbidden := s.refreshAndCheck(in, r); forbidden {
		return nil
	}
	first := r.placement
	s.decideRetry(r, Hedge, !first.unsent)
	r.beside = &first
	r.placement = placement{speed: requestSpeed{second: first.speed.second}}
	effects := s.send(in, r, u)
	if first.unsent {
		return replacing(effects, first.number)
	}
	return effects
}

// replacing lets the Send among effects replace an attempt of which nothing was sent.
func replacing(effects []step.Effect, number int) []step.Effect {
	for i, e := range effects {
		if send, ok := e.(Send); ok {
			send.Replaces = number
			effects[i] = send
		}
	}
	return effects
}

// mayHedge reports whether the request may be at a second upstream while it is with the first, which may run it. If nothing of the first
// attempt was sent, the second one replaces it, as a retry does.
func (s *State) mayHedge(in step.Input, r *request) bool {
	if !r.stalled || !r.isOpen() || r.beside != nil || r.speed.second.withdrawing || r.trial {
		return false
	}
	if r.unsent {
		return s.mayRetry(in, r, Unsent)
	}
	if !r.route.Repeatable() || r.possibleRuns+1 >= r.route.MaxUpstreams || r.attempts >= maxAttempts || r.deadline.Sub(in.Now) < minAttemptTime {
		return false
	}
	return s.budgetAllows(in, r.service)
}

// hedgeStalled looks again for upstreams for the requests whose upstream stalls and had no replacement. Those that were sent first come first.
func (s *State) hedgeStalled(in step.Input) []step.Effect {
	var stalled []*request
	for _, r := range s.requests {
		if r.stalled && s.mayHedge(in, r) && in.Now.Sub(r.hedgeCheckedAt) >= recheckInterval {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, func(a, b *request) int { return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.id, b.id)) })
	var effects []step.Effect
	for _, r := range stalled[:min(len(stalled), maxReplacementSearches)] {
		effects = append(effects, s.hedge(in, r)...)
	}
	return effects
}

// oneOfTwoEnded handles the end of one of two open attempts. The other one goes on, and nothing else is decided: the request may be sent to a
// third upstream once that stalls.
func (s *State) oneOfTwoEnded(in step.Input, r *request, ev AttemptEnded) []step.Effect {
	number := ev.Attempt
	if number != r.beside.number {
		number = r.number
	}
	var effects []step.Effect
	r.withAttempt(number, func() { effects = s.settleAttempt(in, r, ev) })
	r.leaveAttempt(number)
	r.failed = r.failed || ev.Outcome == ServerFailed
	return append(effects, s.serveQueue(in, r.service)...)
}

// releaseAll frees the resources that a request takes at the upstreams that it is with.
func (s *State) releaseAll(in step.Input, r *request) {
	r.eachAttempt(func() { s.release(in, r, Withdrawn) })
}

// upstreamsOf returns the upstreams that a request is with.
func (r *request) upstreamsOf() []catalog.Instance {
	var list []catalog.Instance
	r.eachAttempt(func() {
		if r.isOpen() {
			list = append(list, r.instance)
		}
	})
	return list
}

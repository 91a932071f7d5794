package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// defaultTimeout bounds a request whose caller and route say nothing.
	defaultTimeout = 30 * time.Second
	// maxSends bounds the sends of one request, those included that upstreams declined.
	maxSends = 4
	// firstEventPatience bounds the wait for the first event of a stream that may be sent again. It is three to four times the
	// objective of the users' streams, and within the two seconds that their callers wait.
	firstEventPatience = 1500 * time.Millisecond
	// gapPatience bounds the pause within a stream that may go on elsewhere; three times the users' objective for pauses.
	gapPatience = 1200 * time.Millisecond
	// plainPatience is how many latency objectives a plain service has for a request that may be repeated.
	plainPatience = 2
	// leastTime is the least time left that is worth a send.
	leastTime = 60 * time.Millisecond
	// answerMargin is how long before a caller stops waiting it is answered: the way to it, some milliseconds, and what a busy entry takes.
	answerMargin = 150 * time.Millisecond
)

func (s *State) arrived(in step.Input, ev Arrived) []step.Effect {
	m := s.Catalog.Manifest
	if !s.Catalog.Ready() {
		return refuse(ev.ID, code.NotReady, "the manifest or the upstreams are not known yet", s.retryAfter(in))
	}
	if s.stopping {
		return refuse(ev.ID, code.Stopping, "this process is shutting down", time.Millisecond)
	}
	head := in.Now.Add(-ev.Reading)
	r := &request{
		id: ev.ID, host: ev.Host, path: ev.Path, key: ev.Key, fingerprint: ev.Fingerprint, prompt: ev.Prompt, tokens: ev.Prompt + ev.Answer, named: ev.Model,
		arrived: head, heardAt: head, tried: map[catalog.Life]bool{},
	}
	if bar, barred := s.follow(in, r); barred {
		return refuse(ev.ID, bar.code, bar.why, 0)
	}
	if m.MaxBody > 0 && ev.Size > m.MaxBody {
		return refuse(ev.ID, code.BodyTooLarge, fmt.Sprintf("%d bytes, at most %d", ev.Size, m.MaxBody), 0)
	}
	r.by = head.Add(timeFor(r.route, ev.Budget))
	if !in.Now.Before(r.by) {
		return refuse(ev.ID, code.Overloaded, fmt.Sprintf("its time was over when its body was here, after %v", ev.Reading), s.retryAfter(in))
	}
	r.back = s.limits.cameBack(in.Now, r, ev.Budget)
	s.requests[r.id] = r
	s.budget(r.service).request(in.Now)
	effects := []step.Effect{Admitted{ID: r.id, Route: r.route, By: r.by}}
	return append(effects, s.place(in, r)...)
}

// timeFor returns how long a request may take: what its caller and its route allow.
func timeFor(route *catalog.Route, budget time.Duration) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if budget > 0 {
		limit = min(limit, budget)
	}
	return limit
}

// place sends a request to an upstream, lets it wait for room, or refuses it.
func (s *State) place(in step.Input, r *request) []step.Effect {
	if bar, barred := s.barred(in, r); barred {
		return s.giveUpAs(in, r, bar)
	}
	u, found := s.pick(in, r)
	if found == room && r.back && in.Now.Sub(s.waited[r.service]) < s.Self.Policy.KeepFree {
		return s.giveUp(in, r, code.Overloaded, fmt.Sprintf("the free places of %s are kept for first tries", r.service))
	}
	switch found {
	case room:
		return s.send(in, r, u)
	case full:
		return s.wait(in, r)
	}
	return s.giveUp(in, r, code.NoUpstream, fmt.Sprintf("no upstream of %s can take it: %s", r.service, s.census(in.Now, r)))
}

func (s *State) send(in step.Input, r *request, u *catalog.Upstream) []step.Effect {
	r.sends++
	r.at, r.sentAt = u.Life(), in.Now
	r.tried[r.at] = true
	s.load(r.at).inFlight++
	s.load(r.at).allowance--
	s.load(r.at).reading += r.prompt
	s.load(r.at).tokens += r.tokens
	s.load(r.at).pace.use()
	s.load(r.at).cold.use()
	s.load(r.at).backoff.use(in.Now)
	r.reading, r.keptWaiting = true, false
	r.blind = s.target(u).stranger()
	if r.blind {
		s.blindWaiting++
	}
	e := Send{
		ID: r.id, Number: r.sends, Upstream: u, Homes: r.bound, Priority: r.route.Priority, By: r.by, Resume: r.partial, CameBack: r.back,
	}
	if required := s.requiredVersion(in.Now, r.model); required > 0 {
		// An engine compares for equality; one that holds a newer version than required is as good.
		if held := s.target(u).held(in.Now, r.model); held >= required {
			e.Version = held
		}
	}
	r.version = e.Version
	if r.account != nil {
		e.Account = r.account.Name
		if r.account.Priority != nil {
			e.Priority = *r.account.Priority
		}
	}
	e.Patience, e.GapPatience = r.patience(in.Now)
	return []step.Effect{e}
}

func (s *State) sendEnded(in step.Input, ev SendEnded) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	effects := s.learn(in, r, ev)
	s.noteBlind(in.Now, r, ev.Outcome)
	s.release(in, r, ev.Outcome)
	if ev.Partial {
		r.partial, r.heardAt = true, in.Now.Add(-ev.Quiet)
	}
	if ev.Outcome.ran() {
		r.runs++
	}
	effects = append(effects, s.next(in, r, ev)...)
	return append(effects, s.serveQueue(in, r.service)...)
}

// began notes that the prompt of a request has been read.
func (s *State) began(id uint64) {
	if r := s.requests[id]; r != nil && r.reading {
		r.reading = false
		s.load(r.at).reading -= r.prompt
		if r.blind {
			s.blindWaiting--
		}
	}
}

// release takes a request off its upstream.
func (s *State) release(in step.Input, r *request, o Outcome) {
	if r.at == (catalog.Life{}) {
		return
	}
	s.began(r.id)
	l := s.load(r.at)
	l.inFlight--
	l.tokens -= r.tokens
	l.allowance++
	if o != Misdirected || r.version == 0 {
		l.note(in.Now, o) // Otherwise the engine is well, and only its version is another than was thought.
	}
	r.at = catalog.Life{}
}

func (s *State) next(in step.Input, r *request, ev SendEnded) []step.Effect {
	if ev.Outcome == Answered {
		delete(s.requests, r.id)
		return nil
	}
	bar, barred := s.barred(in, r)
	switch {
	case !barred && s.maySendAgain(in, r, ev.Outcome):
		return s.again(in, r, ev.Outcome)
	case ev.Outcome == ServerFailed && !r.partial:
		delete(s.requests, r.id)
		return []step.Effect{Deliver{ID: r.id}}
	case barred:
		return s.giveUpAs(in, r, bar)
	}
	return s.giveUp(in, r, code.RetriesExhausted, fmt.Sprintf("send %d: %s", r.sends, ev.Outcome))
}

// again sends a request once more, to an upstream with room. A request that has begun an answer does not wait.
func (s *State) again(in step.Input, r *request, o Outcome) []step.Effect {
	u, found := s.pick(in, r)
	if found == room {
		if o.sent() {
			s.budget(r.service).repeat(in.Now) // A repeat that finds no room is none.
		}
		return s.send(in, r, u)
	}
	if o == ServerFailed && !r.partial {
		delete(s.requests, r.id)
		return []step.Effect{Deliver{ID: r.id}}
	}
	return s.giveUp(in, r, code.Overloaded, fmt.Sprintf("send %d: %s, and no other upstream of %s has room", r.sends, o, r.service))
}

// maySendAgain tells whether the kind of the request, its limits and the fleet's budget allow one more send.
func (s *State) maySendAgain(in step.Input, r *request, o Outcome) bool {
	if r.runs > 0 && !r.route.Repeatable() {
		return false
	}
	if r.runs >= r.route.MaxUpstreams || r.sends >= maxSends || r.by.Sub(in.Now) < leastTime {
		return false
	}
	return !o.sent() || s.budget(r.service).allows(in.Now, s.Self.Retries, s.entryPeak.value())
}

func (s *State) timedOut(in step.Input, ev TimedOut) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	r.partial = r.partial || ev.Partial
	if r.at != (catalog.Life{}) && !ev.Unsent {
		r.runs++ // It was with an upstream, which may have run it.
	}
	s.release(in, r, Withdrawn)
	effects := s.giveUp(in, r, code.DeadlinePassed, fmt.Sprintf("no answer in %v", r.by.Sub(r.arrived)))
	return append(effects, s.serveQueue(in, r.service)...)
}

// giveUp ends a request, whose caller may come back; see giveUpAs.
func (s *State) giveUp(in step.Input, r *request, c code.Code, why string) []step.Effect {
	return s.giveUpAs(in, r, bar{code: c, why: why, after: s.awayFor(in, r)})
}

// giveUpAs ends a request. What it says of the run decides the code: only a request that did not run is refused.
func (s *State) giveUpAs(in step.Input, r *request, b bar) []step.Effect {
	delete(s.requests, r.id)
	if r.partial {
		return []step.Effect{Abort{ID: r.id, Why: b.why}}
	}
	if r.runs > 0 {
		if b.code != code.DeadlinePassed {
			b.code = code.RetriesExhausted
		}
		return []step.Effect{Refuse{ID: r.id, Code: b.code, Ran: code.Unknown, Why: b.why, CameBack: r.back}}
	}
	if b.code == code.RetriesExhausted || b.code == code.DeadlinePassed {
		b.code = code.Overloaded
	}
	return []step.Effect{Refuse{ID: r.id, Code: b.code, Ran: code.NotRun, Why: b.why, RetryAfter: b.after, CameBack: r.back}}
}

func (s *State) callerGone(in step.Input, id uint64) []step.Effect {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	s.release(in, r, Withdrawn)
	delete(s.requests, id)
	return s.serveQueue(in, r.service)
}

func refuse(id uint64, c code.Code, why string, after time.Duration) []step.Effect {
	return []step.Effect{Refuse{ID: id, Code: c, Ran: code.NotRun, Why: why, RetryAfter: after}}
}

package emulator

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// tickInterval is the time between two ticks of an entry's reducer.
	tickInterval = 20 * time.Millisecond
	// localLatency and remoteLatency are the one-way latencies within a data centre and between two, and callerLatency that between callers and
	// entries.
	localLatency  = 500 * time.Microsecond
	remoteLatency = 2800 * time.Microsecond
	callerLatency = 3 * time.Millisecond
)

// entry is a simulated entry: the product's reducer, and a shell that carries out its effects.
type entry struct {
	fleet      *fleet
	dataCentre string
	state      *forward.State
	next       uint64
	inFlight   map[uint64]*exchange
}

// exchange is a request in flight at an entry.
type exchange struct {
	try   *try
	entry *entry
	id    uint64
	// open are the attempts that have not ended, the oldest first. There are two while the engine of the older one is silent.
	open []*attempt
	// partial is set once an event of any attempt was forwarded, the last of them at lastAt.
	partial bool
	lastAt  time.Duration
	// forwarded counts the events that were forwarded to the caller.
	forwarded int
}

// attempt is an attempt made at sentAt, and task its state at the engine. started is set with its first event, and stalled while its engine is
// reported as silent.
type attempt struct {
	forward.Send
	sentAt           time.Duration
	task             *task
	started, stalled bool
}

func (e *entry) step(ev step.Event) {
	w := e.fleet.simulation
	in := step.Input{Now: w.time(), Rand: w.random.Uint64(), Event: ev}
	effects := e.state.Catalog.Reduce(in)
	for _, eff := range append(effects, e.state.Reduce(in)...) {
		e.carryOut(eff)
	}
}

func (e *entry) carryOut(eff step.Effect) {
	switch eff := eff.(type) {
	case forward.Accepted:
		if x := e.inFlight[eff.ID]; x != nil {
			e.fleet.simulation.after(eff.Deadline.Sub(e.fleet.simulation.time()), func() { x.timedOut() })
		}
	case forward.Send:
		if x := e.inFlight[eff.ID]; x != nil {
			x.startAttempt(eff)
		}
	case forward.Withdraw:
		if x := e.inFlight[eff.ID]; x != nil {
			x.withdraw(eff.Attempt)
		}
	case forward.Refuse:
		e.finish(eff.ID, func(t *try) { t.refused(eff.RetryAfter, eff.Ran) })
	case forward.Abort:
		e.finish(eff.ID, func(t *try) { t.failed() })
	case forward.Deliver:
		e.finish(eff.ID, func(t *try) { t.failed() })
	}
}

// finish removes a request and notifies its caller.
func (e *entry) finish(id uint64, notify func(*try)) {
	x := e.inFlight[id]
	if x == nil {
		return
	}
	delete(e.inFlight, id)
	e.fleet.simulation.after(callerLatency, func() { notify(x.try) })
}

// arrive receives a try from a caller.
func (e *entry) arrive(t *try) {
	e.next++
	x := &exchange{try: t, entry: e, id: e.next}
	t.exchange = x
	e.inFlight[x.id] = x
	e.step(forward.Arrived{
		ID: x.id, Host: host, Path: "/" + t.request.kind.Name + "/x", Key: t.request.kind.Account, Model: modelName, Budget: t.deadline - e.fleet.simulation.now, PromptTokens: t.request.prompt,
	})
}

// callerGone ends a request whose caller has disconnected.
func (e *entry) callerGone(x *exchange) {
	if e.inFlight[x.id] == nil {
		return
	}
	x.cancel()
	delete(e.inFlight, x.id)
	e.step(forward.CallerGone{ID: x.id})
}

// cancel cancels the open attempts.
func (x *exchange) cancel() {
	for _, a := range x.open {
		a.task.cancelled = true
	}
	x.open = nil
}

// withdraw ends an attempt that its engine has not started.
func (x *exchange) withdraw(number int) {
	for _, a := range slices.Clone(x.open) {
		if a.Attempt == number && !a.started {
			x.attemptEnded(a, forward.Withdrawn)
		}
	}
}

func (x *exchange) timedOut() {
	if x.entry.inFlight[x.id] == x {
		x.cancel()
		x.entry.step(forward.TimedOut{ID: x.id, Partial: x.partial})
	}
}

// latency returns the one-way latency to an upstream.
func (x *exchange) latency(u *catalog.Upstream) time.Duration {
	if u.DataCentre == x.entry.dataCentre {
		return localLatency
	}
	return remoteLatency
}

// startAttempt sends the request to an upstream over a new connection.
func (x *exchange) startAttempt(send forward.Send) {
	w, engine := x.entry.fleet.simulation, x.entry.fleet.engineOf(send.Upstream)
	a := &attempt{Send: send, sentAt: w.now}
	a.task = x.newTask(a, engine)
	x.open = append(x.open, a)
	w.after(send.FirstEventTimeout, func() {
		if x.isOpen(a) && !a.started {
			a.stalled = true
			x.entry.step(forward.Stalled{ID: x.id, Attempt: a.Attempt})
		}
	})
	if send.GiveUpAfter > 0 {
		w.after(send.GiveUpAfter, func() {
			if x.isOpen(a) && !a.started {
				x.attemptEnded(a, forward.Silent)
			}
		})
	}
	latency := x.latency(send.Upstream)
	w.after(3*latency, func() { // A round trip to open the connection precedes the request.
		if a.task.cancelled || engine.accept(a.task) {
			return
		}
		notice := engine.notice
		w.after(latency, func() { x.declined(a, notice) })
	})
}

// newTask returns an attempt as its engine sees it. What the engine does reaches the entry after the one-way latency.
func (x *exchange) newTask(a *attempt, engine *engine) *task {
	w, latency := x.entry.fleet.simulation, x.latency(engine.upstream)
	t := &task{promptLeft: x.try.request.prompt, eventsLeft: max(1, x.try.request.events-x.forwarded)}
	t.onEvent = func() {
		notice := engine.notice
		w.after(latency, func() {
			if x.isOpen(a) {
				x.event(a, notice)
			}
		})
	}
	t.onEnd = func() {
		w.after(latency, func() {
			if x.isOpen(a) {
				x.answered(a)
			}
		})
	}
	return t
}

// isOpen reports whether an attempt has not ended.
func (x *exchange) isOpen(a *attempt) bool {
	return x.entry.inFlight[x.id] == x && slices.Contains(x.open, a)
}

// headReceived reports the head of an answer to the reducer.
func (x *exchange) headReceived(a *attempt, o forward.Outcome, notice catalog.Notice) {
	x.entry.step(forward.AnswerHeadReceived{Upstream: a.Upstream.Instance(), Sent: epoch.Add(a.sentAt), Outcome: o, Notice: notice})
}

// declined ends an attempt that the engine declined.
func (x *exchange) declined(a *attempt, notice catalog.Notice) {
	if x.isOpen(a) {
		x.headReceived(a, forward.Declined, notice)
		x.attemptEnded(a, forward.Declined)
	}
}

// event forwards an event to the caller. The first of two attempts that goes on is taken.
func (x *exchange) event(a *attempt, notice catalog.Notice) {
	w := x.entry.fleet.simulation
	if a.stalled {
		a.stalled = false
		x.entry.step(forward.Progressed{ID: x.id, Attempt: a.Attempt})
	}
	if !a.started {
		a.started = true
		x.headReceived(a, forward.Answered, notice)
		x.entry.step(forward.Started{ID: x.id, Attempt: a.Attempt, Version: 1})
	}
	for _, other := range slices.Clone(x.open) {
		if other != a {
			x.attemptEnded(other, forward.Withdrawn)
		}
	}
	x.partial, x.lastAt = true, w.now
	x.forwarded++
	t := x.try
	w.after(callerLatency, t.event)
}

func (x *exchange) answered(a *attempt) {
	x.open = nil
	e := x.entry
	e.step(forward.AttemptEnded{ID: x.id, Attempt: a.Attempt, Outcome: forward.Answered, Partial: true})
	e.finish(x.id, func(t *try) { t.answered() })
}

// attemptEnded ends an attempt without an answer.
func (x *exchange) attemptEnded(a *attempt, o forward.Outcome) {
	a.task.cancelled = true
	x.open = slices.DeleteFunc(x.open, func(other *attempt) bool { return other == a })
	ev := forward.AttemptEnded{ID: x.id, Attempt: a.Attempt, Outcome: o, Partial: x.partial}
	if x.partial {
		ev.SinceLastPart = x.entry.fleet.simulation.now - x.lastAt
	}
	x.entry.step(ev)
}

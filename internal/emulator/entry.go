package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// tick is the time between two looks of an entry at what waits.
	tick = 20 * time.Millisecond
	// nearWay and farWay are the times that a message takes within a data centre and between two, and callerWay that to a caller.
	nearWay   = 500 * time.Microsecond
	farWay    = 2800 * time.Microsecond
	callerWay = 3 * time.Millisecond
)

// entry is an entry of the fleet: the product's reducer, and what its shell would do.
type entry struct {
	fleet      *fleet
	dataCentre string
	state      *forward.State
	next       uint64
	open       map[uint64]*exchange
}

// exchange is a request at an entry.
type exchange struct {
	try   *try
	entry *entry
	id    uint64
	// send is the present send, made at sentAt, and task what the engine has of it; began is set with its first event.
	send   forward.Send
	sentAt time.Duration
	task   *task
	began  bool
	// partial is set once an event of any send was passed on, the last at lastAt.
	partial bool
	lastAt  time.Duration
	// written are the events that were passed on.
	written int
}

func (e *entry) step(ev step.Event) {
	w := e.fleet.world
	in := step.Input{Now: w.time(), Rand: w.random.Uint64(), Event: ev}
	effects := e.state.Catalog.Reduce(in)
	for _, eff := range append(effects, e.state.Reduce(in)...) {
		e.carry(eff)
	}
}

func (e *entry) carry(eff step.Effect) {
	switch eff := eff.(type) {
	case forward.Admitted:
		if x := e.open[eff.ID]; x != nil {
			e.fleet.world.after(eff.By.Sub(e.fleet.world.time()), func() { x.timedOut() })
		}
	case forward.Send:
		if x := e.open[eff.ID]; x != nil {
			x.make(eff)
		}
	case forward.Withdraw:
		if x := e.open[eff.ID]; x != nil && x.send.Number == eff.Number && !x.began {
			x.ended(forward.Withdrawn)
		}
	case forward.Refuse:
		e.finish(eff.ID, func(t *try) { t.refused(eff.RetryAfter, eff.Ran) })
	case forward.Abort:
		e.finish(eff.ID, func(t *try) { t.failed() })
	case forward.Deliver:
		e.finish(eff.ID, func(t *try) { t.failed() })
	}
}

// finish ends a request and tells its caller.
func (e *entry) finish(id uint64, tell func(*try)) {
	x := e.open[id]
	if x == nil {
		return
	}
	delete(e.open, id)
	e.fleet.world.after(callerWay, func() { tell(x.try) })
}

// arrive takes a caller's try.
func (e *entry) arrive(t *try) {
	e.next++
	x := &exchange{try: t, entry: e, id: e.next}
	t.exchange = x
	e.open[x.id] = x
	e.step(forward.Arrived{
		ID: x.id, Host: host, Path: "/" + t.request.kind.Name + "/x", Model: model, Budget: t.by - e.fleet.world.now, Prompt: t.request.prompt,
	})
}

// leave ends a request whose caller has gone.
func (e *entry) leave(x *exchange) {
	if e.open[x.id] == nil {
		return
	}
	x.cancel()
	delete(e.open, x.id)
	e.step(forward.CallerGone{ID: x.id})
}

func (x *exchange) cancel() {
	if x.task != nil {
		x.task.cancelled = true
		x.task = nil
	}
}

func (x *exchange) timedOut() {
	if x.entry.open[x.id] == x {
		x.cancel()
		x.entry.step(forward.TimedOut{ID: x.id, Partial: x.partial})
	}
}

// way is how long a message takes to an upstream.
func (x *exchange) way(u *catalog.Upstream) time.Duration {
	if u.DataCentre == x.entry.dataCentre {
		return nearWay
	}
	return farWay
}

// make makes a send: a connection, the request and its answer.
func (x *exchange) make(send forward.Send) {
	w, engine := x.entry.fleet.world, x.entry.fleet.engineOf(send.Upstream)
	x.send, x.began, x.sentAt = send, false, w.now
	t := x.newTask(engine)
	x.task = t
	if send.Patience > 0 {
		w.after(send.Patience, func() {
			if x.current(t) && !x.began {
				x.ended(forward.Silent)
			}
		})
	}
	way := x.way(send.Upstream)
	w.after(3*way, func() { // A round trip for the connection comes first.
		if t.cancelled || engine.take(t) {
			return
		}
		notice := engine.notice
		w.after(way, func() { x.declined(t, notice) })
	})
}

// newTask is the present send as its engine sees it: what the engine does reaches the entry a way later.
func (x *exchange) newTask(engine *engine) *task {
	w, way := x.entry.fleet.world, x.way(engine.upstream)
	t := &task{unread: x.try.request.prompt, unwritten: max(1, x.try.request.events-x.written)}
	t.event = func() {
		notice := engine.notice
		w.after(way, func() {
			if x.current(t) {
				x.event(notice)
			}
		})
	}
	t.end = func() {
		w.after(way, func() {
			if x.current(t) {
				x.answered()
			}
		})
	}
	return t
}

// current tells whether a task is the present send's.
func (x *exchange) current(t *task) bool { return x.task == t && x.entry.open[x.id] == x }

// noticed tells the reducer of the head of an answer.
func (x *exchange) noticed(o forward.Outcome, notice catalog.Notice) {
	x.entry.step(forward.Noticed{Upstream: x.send.Upstream.Life(), Sent: epoch.Add(x.sentAt), Outcome: o, Notice: notice})
}

// declined ends a send that its engine turned away.
func (x *exchange) declined(t *task, notice catalog.Notice) {
	if x.current(t) {
		x.noticed(forward.Declined, notice)
		x.ended(forward.Declined)
	}
}

// event passes an event on.
func (x *exchange) event(notice catalog.Notice) {
	w := x.entry.fleet.world
	if !x.began {
		x.began = true
		x.noticed(forward.Answered, notice)
		x.entry.step(forward.Began{ID: x.id, Version: 1})
	}
	x.partial, x.lastAt = true, w.now
	x.written++
	t := x.try
	w.after(callerWay, t.event)
}

func (x *exchange) answered() {
	x.task = nil
	e := x.entry
	e.step(forward.SendEnded{ID: x.id, Outcome: forward.Answered, Partial: true})
	e.finish(x.id, func(t *try) { t.answered() })
}

// ended ends the present send without an answer.
func (x *exchange) ended(o forward.Outcome) {
	x.cancel()
	ev := forward.SendEnded{ID: x.id, Outcome: o, Partial: x.partial}
	if x.partial {
		ev.Quiet = x.entry.fleet.world.now - x.lastAt
	}
	x.entry.step(ev)
}

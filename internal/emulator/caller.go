package emulator

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/code"
)

// RequestKind is a kind of request that callers send.
type RequestKind struct {
	Name string
	// Share is its part of all requests.
	Share float64
	// Prompt and Events are the means of the tokens in and of the events out.
	Prompt, Events int
	// Objective bounds the time to the first event, and Pause the time between two.
	Objective, Pause time.Duration
	// Limit is how long a caller waits in all.
	Limit time.Duration
}

const (
	// firstPatience is how long a caller waits for the first event.
	firstPatience = 2 * time.Second
	// waitPart is the part of the time left that a refused caller stays away at most.
	waitPart = 3
	// sizeSpread is the standard deviation of the logarithm of sizes.
	sizeSpread = 0.4
)

// request is what a caller wants, over all its tries.
type request struct {
	fleet  *fleet
	kind   *RequestKind
	prompt int
	events int
	first  time.Duration
	centre int
	// entry draws the entry of the first try; the next goes to another.
	entry   uint64
	retries int
	// refusals counts the refusals it got.
	refusals int
	done     bool
	outcome  outcome
}

// outcome tells how a request ended.
type outcome int

// The outcomes of a request.
const (
	unanswered outcome = iota
	inTime
	late
	refusedOutcome
	failedOutcome
)

// try is one try of a caller.
type try struct {
	request  *request
	exchange *exchange
	by       time.Duration
	events   int
	lastAt   time.Duration
	slow     bool
	over     bool
}

// spread draws a size about a mean.
func (w *world) spread(mean int) int {
	return max(1, int(float64(mean)*math.Exp(sizeSpread*w.demand.NormFloat64()-sizeSpread*sizeSpread/2)))
}

// ask has a caller of a data centre ask for something.
func (f *fleet) ask(centre int) {
	w := f.world
	r := &request{fleet: f, kind: f.drawKind(), first: w.now, centre: centre, retries: 1}
	r.prompt, r.events, r.entry = w.spread(r.kind.Prompt), w.spread(r.kind.Events), w.demand.Uint64()
	f.requests = append(f.requests, r)
	r.send(w.now + r.kind.Limit)
}

func (f *fleet) drawKind() *RequestKind {
	at := f.world.demand.Float64()
	for i := range f.setup.Kinds {
		if at -= f.setup.Kinds[i].Share; at < 0 {
			return &f.setup.Kinds[i]
		}
	}
	return &f.setup.Kinds[len(f.setup.Kinds)-1]
}

// send makes a try at an entry of the caller's data centre.
func (r *request) send(by time.Duration) {
	f := r.fleet
	t := &try{request: r, by: by, lastAt: f.world.now}
	entries := f.entriesOf[r.centre]
	e := entries[(r.entry+uint64(r.refusals))%uint64(len(entries))]
	f.world.after(callerWay, func() { e.arrive(t) })
	f.world.after(firstPatience, func() {
		if t.events == 0 && !t.over {
			t.over = true
			if t.exchange != nil {
				e.leave(t.exchange)
			}
			r.end(failedOutcome)
		}
	})
}

func (t *try) event() {
	now := t.request.fleet.world.now
	bound := t.request.kind.Pause
	since := now - t.lastAt
	if t.events == 0 {
		bound, since = t.request.kind.Objective, now-t.request.first
	}
	t.slow = t.slow || since > bound
	t.events++
	t.lastAt = now
}

func (t *try) answered() {
	if t.over {
		return
	}
	t.over = true
	if t.slow {
		t.request.end(late)
		return
	}
	t.request.end(inTime)
}

func (t *try) failed() {
	if !t.over {
		t.over = true
		t.request.end(failedOutcome)
	}
}

// refused has the caller come back once, as late as it was asked to, if it has the time.
func (t *try) refused(after time.Duration, ran code.Ran) {
	if t.over {
		return
	}
	t.over = true
	r := t.request
	r.refusals++
	if ran != code.NotRun || r.retries == 0 {
		r.end(refusedOutcome)
		return
	}
	r.retries--
	left := t.by - r.fleet.world.now
	r.fleet.world.after(min(after, left/waitPart), func() { r.send(t.by) })
}

func (r *request) end(o outcome) {
	if !r.done {
		r.done, r.outcome = true, o
	}
}

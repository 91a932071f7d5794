package emulator

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/code"
)

// RequestKind describes one kind of request that callers send.
type RequestKind struct {
	Name string
	// Share is its fraction of all requests.
	Share float64
	// Priority is its priority, and Account the client account of its callers.
	Priority int
	Account  string
	// Prompt and Events are the mean number of prompt tokens and of answer events.
	Prompt, Events int
	// Objective bounds the time to the first event, and Pause the time between two events.
	Objective, Pause time.Duration
	// Limit is the total time that a caller waits.
	Limit time.Duration
}

const (
	// firstEventTimeout is how long a caller waits for the first event.
	firstEventTimeout = 2 * time.Second
	// maxWaitDivisor bounds how long a refused caller waits before its retry: a third of its remaining time.
	maxWaitDivisor = 3
	// sizeSigma is the standard deviation of the logarithm of request sizes.
	sizeSigma = 0.4
)

// request is one request of a caller, over all its tries.
type request struct {
	fleet     *fleet
	kind      *RequestKind
	prompt    int
	events    int
	startedAt time.Duration
	centre    int
	// entry selects the entry of the first try; each retry goes to the next one.
	entry   uint64
	retries int
	// refusals counts how often the request was refused.
	refusals int
	done     bool
	outcome  outcome
}

// outcome is how a request ended.
type outcome int

// Outcomes of a request.
const (
	unanswered outcome = iota
	inTime
	late
	refusedOutcome
	failedOutcome
)

// try is one try of a request.
type try struct {
	request         *request
	exchange        *exchange
	deadline        time.Duration
	events          int
	lastAt          time.Duration
	missedObjective bool
	finished        bool
}

// sampleSize draws a log-normally distributed size with the given mean.
func (w *simulation) sampleSize(mean int) int {
	return max(1, int(float64(mean)*math.Exp(sizeSigma*w.demand.NormFloat64()-sizeSigma*sizeSigma/2)))
}

// newRequest creates a request of a caller in a data centre and starts its first try.
func (f *fleet) newRequest(centre int, kind *RequestKind) {
	w := f.simulation
	r := &request{fleet: f, kind: kind, startedAt: w.now, centre: centre, retries: 1}
	r.prompt, r.events, r.entry = w.sampleSize(r.kind.Prompt), w.sampleSize(r.kind.Events), w.demand.Uint64()
	f.requests = append(f.requests, r)
	r.startTry(w.now + r.kind.Limit)
}

func (f *fleet) drawKind() *RequestKind {
	at := f.simulation.demand.Float64()
	for i := range f.setup.Kinds {
		if at -= f.setup.Kinds[i].Share; at < 0 {
			return &f.setup.Kinds[i]
		}
	}
	return &f.setup.Kinds[len(f.setup.Kinds)-1]
}

// startTry sends the request to an entry of the caller's data centre.
func (r *request) startTry(deadline time.Duration) {
	f := r.fleet
	t := &try{request: r, deadline: deadline, lastAt: f.simulation.now}
	entries := f.entriesOf[r.centre]
	e := entries[(r.entry+uint64(r.refusals))%uint64(len(entries))]
	f.simulation.after(callerLatency, func() { e.arrive(t) })
	f.simulation.after(firstEventTimeout, func() {
		if t.events == 0 && !t.finished {
			t.finished = true
			if t.exchange != nil {
				e.callerGone(t.exchange)
			}
			r.end(failedOutcome)
		}
	})
}

func (t *try) event() {
	now := t.request.fleet.simulation.now
	bound := t.request.kind.Pause
	since := now - t.lastAt
	if t.events == 0 {
		bound, since = t.request.kind.Objective, now-t.request.startedAt
	}
	t.missedObjective = t.missedObjective || since > bound
	t.events++
	t.lastAt = now
}

func (t *try) answered() {
	if t.finished {
		return
	}
	t.finished = true
	if t.missedObjective {
		t.request.end(late)
		return
	}
	t.request.end(inTime)
}

func (t *try) failed() {
	if !t.finished {
		t.finished = true
		t.request.end(failedOutcome)
	}
}

// refused retries the request once if it did not run and a retry is left. The caller waits as long as the entry asked, up to its maximum.
func (t *try) refused(after time.Duration, ran code.Ran) {
	if t.finished {
		return
	}
	t.finished = true
	r := t.request
	r.refusals++
	if ran != code.NotRun || r.retries == 0 {
		r.end(refusedOutcome)
		return
	}
	r.retries--
	left := t.deadline - r.fleet.simulation.now
	r.fleet.simulation.after(min(after, left/maxWaitDivisor), func() { r.startTry(t.deadline) })
}

func (r *request) end(o outcome) {
	if !r.done {
		r.done, r.outcome = true, o
	}
}

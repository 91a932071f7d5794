package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// EngineModel holds the parameters of the engine model. An engine works in passes: each pass processes prompts one after the other and generates one
// event of each answer that is in progress.
type EngineModel struct {
	// Slots is how many requests an engine processes at once, and Queue how many more it queues.
	Slots, Queue int
	// PassTime is the base time of one token for all answers, PerSequence what each answer in progress adds to it, and TokensPerEvent the tokens of
	// an event.
	PassTime, PerSequence time.Duration
	TokensPerEvent        int
	// ReadRate is the prompt processing rate in tokens a second, and Chunk the maximum number of prompt tokens in one pass.
	ReadRate float64
	Chunk    int
}

// task is a request at an engine.
type task struct {
	// promptLeft is how many prompt tokens are not processed yet, and eventsLeft how many events are not generated yet.
	promptLeft, eventsLeft int
	// onEvent is called for each event and onEnd after the last one, both at the engine's time.
	onEvent   func()
	onEnd     func()
	cancelled bool
}

// engine is a simulated engine.
type engine struct {
	simulation *simulation
	model      EngineModel
	upstream   *catalog.Upstream
	// slowdown is the factor by which its passes take longer; 1 is normal speed.
	slowdown float64
	batch    []*task
	waiting  []*task
	busy     bool
	// accepted counts the requests that it accepted.
	accepted int
	// notice is what it reports in its answers; notAccepting is set while it declines all requests, such as during a load of weights.
	notice       catalog.Notice
	notAccepting bool
}

// occupied counts the requests that are processed or queued.
func (e *engine) occupied() int { return len(e.batch) + len(e.waiting) }

// accept queues a request and reports whether the engine accepted it.
func (e *engine) accept(t *task) bool {
	if e.notAccepting || e.notice.RetryAfter > 0 || len(e.batch) >= e.model.Slots && len(e.waiting) >= e.model.Queue {
		return false
	}
	e.accepted++
	e.waiting = append(e.waiting, t)
	e.startPass()
	return true
}

// startPass starts the next pass unless one is running.
func (e *engine) startPass() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.busy = true
	prefill := e.prefill()
	decoding := 0
	for _, t := range e.batch {
		if t.promptLeft == 0 {
			decoding++
		}
	}
	passTime := time.Duration(float64(prefill) / e.model.ReadRate * float64(time.Second))
	if decoding > 0 {
		passTime += time.Duration(e.model.TokensPerEvent) * (e.model.PassTime + time.Duration(decoding)*e.model.PerSequence)
	}
	e.simulation.after(time.Duration(float64(passTime)*e.slowdown), e.passEnded)
}

// admit moves queued requests into free slots and drops the cancelled ones.
func (e *engine) admit() {
	var batch []*task
	for _, t := range append(e.batch, e.waiting...) {
		if !t.cancelled {
			batch = append(batch, t)
		}
	}
	n := min(len(batch), e.model.Slots)
	e.batch, e.waiting = batch[:n:n], batch[n:]
}

// prefill processes prompts in the order of their arrival, and returns the number of tokens.
func (e *engine) prefill() (prefill int) {
	for _, t := range e.batch {
		n := min(t.promptLeft, e.model.Chunk-prefill)
		t.promptLeft -= n
		prefill += n
	}
	return prefill
}

// passEnded completes a pass: each answer in progress has one more event.
func (e *engine) passEnded() {
	e.busy = false
	var remaining []*task
	for _, t := range e.batch {
		if t.cancelled {
			continue
		}
		if t.promptLeft == 0 {
			t.eventsLeft--
			t.onEvent()
		}
		if t.eventsLeft > 0 {
			remaining = append(remaining, t)
		} else {
			t.onEnd()
		}
	}
	e.batch = remaining
	e.startPass()
}

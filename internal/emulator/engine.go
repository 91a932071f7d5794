package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// EngineTerms say how fast an engine works. It works in passes: each reads prompts, one after the other, and makes one event of each answer that is
// being written.
type EngineTerms struct {
	// Slots is how many requests it works on at once, and Queue how many more it keeps.
	Slots, Queue int
	// Step is the time of one token for all answers, PerSequence what each answer that is written adds, and Stride the tokens of an event.
	Step, PerSequence time.Duration
	Stride            int
	// ReadRate is in tokens of prompts a second, and Chunk how many of them one pass reads at most.
	ReadRate float64
	Chunk    int
}

// task is a request at an engine.
type task struct {
	// unread are the tokens of the prompt that were not read yet, and unwritten the events that are to come.
	unread, unwritten int
	// event is told of each event, and end of the end; both run at the engine's time.
	event     func()
	end       func()
	cancelled bool
}

// engine is an engine of the fleet.
type engine struct {
	world    *world
	terms    EngineTerms
	upstream *catalog.Upstream
	// slow is how many times as long its passes take.
	slow    float64
	batch   []*task
	waiting []*task
	busy    bool
	// taken counts the requests that it took.
	taken int
	// notice is what it says of itself; away is set while it takes nothing, as when it loads.
	notice catalog.Notice
	away   bool
}

// occupied counts the requests that it works on or has queued.
func (e *engine) occupied() int { return len(e.batch) + len(e.waiting) }

// take takes a request, or reports that it turns it away.
func (e *engine) take(t *task) bool {
	if e.away || e.notice.RetryAfter > 0 || len(e.batch) >= e.terms.Slots && len(e.waiting) >= e.terms.Queue {
		return false
	}
	e.taken++
	e.waiting = append(e.waiting, t)
	e.work()
	return true
}

// work begins the next pass unless one is going on.
func (e *engine) work() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.busy = true
	read := e.read()
	writers := 0
	for _, t := range e.batch {
		if t.unread == 0 {
			writers++
		}
	}
	took := time.Duration(float64(read) / e.terms.ReadRate * float64(time.Second))
	if writers > 0 {
		took += time.Duration(e.terms.Stride) * (e.terms.Step + time.Duration(writers)*e.terms.PerSequence)
	}
	e.world.after(time.Duration(float64(took)*e.slow), e.passed)
}

// admit moves waiting requests to free places and drops those that were taken back.
func (e *engine) admit() {
	var batch []*task
	for _, t := range append(e.batch, e.waiting...) {
		if !t.cancelled {
			batch = append(batch, t)
		}
	}
	n := min(len(batch), e.terms.Slots)
	e.batch, e.waiting = batch[:n:n], batch[n:]
}

// read reads prompts in the order in which they came, and returns how many tokens.
func (e *engine) read() (read int) {
	for _, t := range e.batch {
		n := min(t.unread, e.terms.Chunk-read)
		t.unread -= n
		read += n
	}
	return read
}

// passed ends a pass: each answer that is written has one more event.
func (e *engine) passed() {
	e.busy = false
	var rest []*task
	for _, t := range e.batch {
		if t.cancelled {
			continue
		}
		if t.unread == 0 {
			t.unwritten--
			t.event()
		}
		if t.unwritten > 0 {
			rest = append(rest, t)
		} else {
			t.end()
		}
	}
	e.batch = rest
	e.work()
}

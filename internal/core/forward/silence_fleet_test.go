package forward_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// silentFleetSlots is the number of slots of each engine of a silentFleet.
	silentFleetSlots = 20
	// silentFleetStart and silentFleetRun are the times until an awake engine sends the first event and the last one.
	silentFleetStart = 60 * time.Millisecond
	silentFleetRun   = 400 * time.Millisecond
)

// silentFleet is an entry in simulated time with engines that fall silent: they read and write nothing for a while, and go on.
type silentFleet struct {
	*rig
	simulatedTime
	engines []string
	// open is set if attempts that got nothing for their timeout stay open.
	open bool
	// silentUntil is when an engine goes on, by engine.
	silentUntil map[string]time.Duration
	// attempts are the current attempts by request, running their number by engine, and mostRunning the largest number at one engine.
	attempts    map[uint64]forward.Send
	running     map[string]int
	mostRunning int
	// repeats are the sends beyond the first of each request.
	repeats                   int
	arrived, answered, notRun int
	refusals                  []forward.Refuse
}

func newSilentFleet(engines int) *silentFleet {
	f := &silentFleet{
		rig: newRig(), simulatedTime: simulatedTime{rng: rand.New(rand.NewPCG(1, 2))}, silentUntil: map[string]time.Duration{}, attempts: map[uint64]forward.Send{},
		running: map[string]int{},
	}
	for i := range engines {
		f.engines = append(f.engines, fmt.Sprintf("m%d", i))
		f.add(f.engines[i], "model", "perth-a", silentFleetSlots)
	}
	f.repeat(100*time.Millisecond, func() bool { f.report(); return true })
	f.repeat(20*time.Millisecond, func() bool { f.reduce(step.Tick{}); return true })
	return f
}

// reduce passes an event to the reducer and carries out its effects.
func (f *silentFleet) reduce(ev step.Event) {
	f.rig.now = f.simulatedTime.now
	for _, e := range f.step(ev) {
		switch e := e.(type) {
		case forward.Send:
			f.send(e)
		case forward.Refuse:
			f.refusals = append(f.refusals, e)
			if e.Ran == code.NotRun {
				f.notRun++
			}
		}
	}
}

// report has all agents send a load report. An agent does not know that its engine is silent.
func (f *silentFleet) report() {
	for _, e := range f.engines {
		f.reduce(forward.LoadReported{Address: e, RequestCount: f.running[e], Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	}
}

// requests has n requests arrive at an interval.
func (f *silentFleet) requests(n int, interval time.Duration, path string) {
	for i := range n {
		f.after(time.Duration(i)*interval, func() {
			f.arrived++
			id := uint64(f.arrived)
			f.reduce(forward.Arrived{ID: id, Host: "h", Path: path + "x", Key: "key-1", Model: "m"})
		})
	}
}

// silence has an engine fall silent from a time on.
func (f *silentFleet) silence(engine string, from, d time.Duration) {
	f.after(from, func() { f.silentUntil[engine] = from + d })
}

// whenAwake calls fn after d, or when the engine goes on if that is later.
func (f *silentFleet) whenAwake(engine string, d time.Duration, fn func()) {
	f.after(d, func() {
		if left := f.silentUntil[engine] - f.simulatedTime.now; left > 0 {
			f.whenAwake(engine, left, fn)
			return
		}
		fn()
	})
}

// send has the engine of an attempt answer it, and has the attempt stall or end as silent at its timeout.
func (f *silentFleet) send(attempt forward.Send) {
	engine := attempt.Upstream.ID
	f.attempts[attempt.ID] = attempt
	f.running[engine]++
	f.mostRunning = max(f.mostRunning, f.running[engine])
	if attempt.Attempt > 1 {
		f.repeats++
	}
	started := false
	f.whenAwake(engine, 0, func() {
		f.whenAwake(engine, silentFleetStart, func() {
			if f.current(attempt) {
				started = true
				f.reduce(forward.AnswerHeadReceived{Upstream: attempt.Upstream.Instance(), Sent: begin, Outcome: forward.Answered})
				f.reduce(forward.Started{ID: attempt.ID, Version: 1})
			}
		})
		f.whenAwake(engine, silentFleetRun, func() { f.end(attempt, forward.Answered) })
	})
	if attempt.FirstEventTimeout > 0 {
		f.after(attempt.FirstEventTimeout, func() {
			switch {
			case started || !f.current(attempt):
			case f.open:
				f.state.NoteStalled(begin.Add(f.simulatedTime.now), attempt.Upstream.Instance())
			default:
				f.end(attempt, forward.Silent)
			}
		})
	}
}

// current reports whether an attempt is the current one of its request.
func (f *silentFleet) current(attempt forward.Send) bool {
	known, open := f.attempts[attempt.ID]
	return open && known.Attempt == attempt.Attempt
}

func (f *silentFleet) end(attempt forward.Send, o forward.Outcome) {
	if !f.current(attempt) {
		return
	}
	delete(f.attempts, attempt.ID)
	f.running[attempt.Upstream.ID]--
	if o == forward.Answered {
		f.answered++
	}
	f.reduce(forward.AttemptEnded{ID: attempt.ID, Outcome: o})
}

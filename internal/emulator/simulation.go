// Package emulator simulates a fleet of entries and engines in virtual time, without a network. Entries run the product's own reducer, engines work
// by a formula, and callers have objectives, time limits and one retry. The emulator compares policy variants with one another and with an upper
// bound, on named load patterns. The bound assumes knowledge of the future. The emulator is a tool that the product itself doesn't use.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the time of day at which a simulation starts.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is the virtual clock and its queue of scheduled events.
type simulation struct {
	now time.Duration
	// random is the source of randomness for entries and load reports, and demand that for callers. They are separate so that all policy variants
	// receive the same requests.
	random, demand *rand.Rand
	queue          events
	count          uint64
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), demand: rand.New(rand.NewPCG(seed, 2))}
}

// event is a function that is scheduled at a time; number orders the events of the same time.
type event struct {
	at     time.Duration
	number uint64
	do     func()
}

// after schedules a function after a delay.
func (w *simulation) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now + max(0, d), number: w.count, do: do})
}

// every schedules a function at a fixed interval, the first time after a random fraction of it.
func (w *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(time.Duration(w.random.Float64()*float64(d)), again)
}

// run advances the time to until and runs all events up to it.
func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// time returns the virtual time of day.
func (w *simulation) time() time.Time { return epoch.Add(w.now) }

// events is a heap of events, ordered by time.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface: events are ordered by time, then by number.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

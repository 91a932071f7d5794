// Package emulator plays a fleet of entries before model engines in virtual time, without a network: the entries decide by the product's own
// reducer, engines work by the formula of their platform, callers have objectives, time limits and one repeat. It compares ways of deciding on
// named patterns of load, beside the bound of one who knows the future. It is a tool; the product does not use it.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the time of day at which a play begins.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// world is virtual time: what happens when, in order.
type world struct {
	now time.Duration
	// random is what entries and reports draw from, and demand what callers do, so that all ways of deciding meet the same callers.
	random, demand *rand.Rand
	queue          events
	count          uint64
}

func newWorld(seed uint64) *world {
	return &world{random: rand.New(rand.NewPCG(seed, 1)), demand: rand.New(rand.NewPCG(seed, 2))}
}

// event is something that happens at a moment; number orders those of one moment.
type event struct {
	at     time.Duration
	number uint64
	do     func()
}

// after has something happen in a while.
func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now + max(0, d), number: w.count, do: do})
}

// every has something happen again and again, the first time after some part of the interval.
func (w *world) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(time.Duration(w.random.Float64()*float64(d)), again)
}

// run lets time pass until a moment.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// time is the time of day.
func (w *world) time() time.Time { return epoch.Add(w.now) }

// events is a heap, the earliest first.
type events []event

// Len counts the events.
func (e events) Len() int { return len(e) }

// Less orders events by when they happen.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

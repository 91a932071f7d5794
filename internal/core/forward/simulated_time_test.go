package forward_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulatedTime runs function calls in the order of their times, without waiting. Messages take random times. A seed makes runs repeatable.
type simulatedTime struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	seq    int
}

// after has f called after d.
func (s *simulatedTime) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: f})
}

// randomDelay returns a random delay with a mean.
func (s *simulatedTime) randomDelay(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// deliver has a message arrive, which f handles.
func (s *simulatedTime) deliver(f func()) { s.after(s.randomDelay(meanDelay), f) }

// datagram delivers a message, or loses it with a probability in percent.
func (s *simulatedTime) datagram(loss int, f func()) {
	if s.rng.IntN(100) >= loss {
		s.deliver(f)
	}
}

// repeat calls f at an interval of d, from a random time on, until it returns false.
func (s *simulatedTime) repeat(d time.Duration, f func() bool) {
	var again func()
	again = func() {
		if f() {
			s.after(d, again)
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(d))), again)
}

// runUntil makes the calls up to a time.
func (s *simulatedTime) runUntil(end time.Duration) {
	for len(s.events) > 0 {
		ev := heap.Pop(&s.events).(event)
		if ev.at > end {
			return
		}
		s.now = ev.at
		ev.run()
	}
}

// event is a function call scheduled for a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an element; see heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last element; see heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

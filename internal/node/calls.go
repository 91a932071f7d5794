package node

import (
	"sync"
	"sync/atomic"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Calls delivers the core's answers to the goroutines that wait for them. Each call has a number, which the core's
// answer carries.
type Calls struct {
	lastCall atomic.Uint64
	// waiting maps the number of an open call to the channel of its answer.
	waiting sync.Map
}

// Open registers a new call and returns its number. Its answer arrives on the channel; done removes the call.
func (c *Calls) Open() (call uint64, answer chan step.Effect, done func()) {
	call = c.lastCall.Add(1)
	answer = make(chan step.Effect, 1)
	c.waiting.Store(call, answer)
	return call, answer, func() { c.waiting.Delete(call) }
}

// Answer delivers the answer of a call. It drops the answer if the call was removed. A call has one answer.
func (c *Calls) Answer(call uint64, e step.Effect) {
	if ch, ok := c.waiting.Load(call); ok {
		ch.(chan step.Effect) <- e
	}
}

// CallCore opens a call, steps the event that newEvent returns for its number, and returns the core's answer.
func (p *Process) CallCore(newEvent func(call uint64) step.Event) step.Effect {
	call, answer, done := p.Calls.Open()
	defer done()
	p.Loop.Step(newEvent(call))
	return <-answer
}

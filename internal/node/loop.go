// Package node is the shell of a process around its core, which is a pure reducer: the shell turns what happens
// (messages, requests, ticks) into events for the reducer and carries out the effects that the reducer returns.
package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/step"
)

// Executor carries out one effect. It is called under the loop's lock, in the order of the effects, so it must neither
// block nor call Step. Longer work must run in a goroutine of its own.
type Executor func(step.Effect)

// Loop owns the state of a process and serializes the events that change it.
type Loop struct {
	mu      sync.Mutex
	state   *core.State
	execute Executor
	// observer is nil when nothing observes the loop.
	observer Observer
}

// Observer receives each event and each effect. It is called under the loop's lock, so it must neither block nor call
// Step.
type Observer interface {
	ObserveEvent(step.Event)
	ObserveEffect(step.Effect)
}

// NewLoop returns a loop over state. SetExecutor must be called before the first Step.
func NewLoop(state *core.State) *Loop { return &Loop{state: state} }

// SetObserver sets the observer of events and effects. It must be called before the first Step.
func (l *Loop) SetObserver(o Observer) { l.observer = o }

// SetExecutor sets the function that carries out effects. It must be called before the first Step.
func (l *Loop) SetExecutor(execute Executor) { l.execute = execute }

// Step reduces one event and carries out its effects.
func (l *Loop) Step(ev step.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(ev)
	in := step.Input{Now: time.Now(), Rand: rand.Uint64(), Event: ev}
	for _, e := range l.state.Reduce(in) {
		if l.observer != nil {
			l.observer.ObserveEffect(e)
		}
		l.execute(e)
	}
}

func (l *Loop) observe(ev step.Event) {
	if l.observer != nil {
		l.observer.ObserveEvent(ev)
	}
}

// View calls f with the state, under the lock. f must neither change the state nor keep references to it.
func (l *Loop) View(f func(*core.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state)
}

// Package step holds the types that all reducers of the core share: their input (an Input with one Event) and their output
// (Effects, as data). The shell is the code around the reducers that feeds them inputs and carries out their effects.
//
// A reducer is pure: it reads no clock, does no I/O and draws no random numbers. Time and randomness are part of the Input,
// so that a run can be replayed from its inputs.
package step

import "time"

// Event is something that happened, such as a received message, an answer or a tick of the clock.
type Event interface{ Event() }

// Effect is an action that the shell must carry out. Its outcome is returned as an Event.
type Effect interface{ Effect() }

// Input is one event together with the time and the random number that the reducer may use.
type Input struct {
	// Now is the time of the shell's clock, with its monotonic reading: the difference between two such times is right even if
	// the clock was set in between.
	Now time.Time
	// Rand is a random number that the shell drew for this input alone.
	Rand uint64
	// Event is the event to handle.
	Event Event
}

// Tick is the event that a shell sends at a fixed interval. Entries and agents of the first product's path (package node) and
// host agents of the users' platform (package hostagent) send it every TickInterval. The entry of the users' platform
// (package gateway) sends it every 20 ms.
type Tick struct{}

// Event marks Tick as an event.
func (Tick) Event() {}

// TickInterval is the time between two Ticks, except in package gateway, which has a shorter interval of its own.
const TickInterval = 100 * time.Millisecond

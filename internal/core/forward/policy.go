package forward

import "time"

// Policy holds the figures by which an entry decides under load. The product uses DefaultPolicy; others are for comparison.
type Policy struct {
	// WaitShare is the part of the latency objective that a request waits for room at most. Since the newest goes first, those that are
	// served have waited little, and the rest is left for the engine's first event.
	WaitShare float64
	// OldestFirst gives room to the request that has waited longest, in place of the newest.
	OldestFirst bool
	// ReadAhead is how much reading of prompts entries give an engine at once. An engine reads prompts one after the other, so that whoever
	// comes behind this waits about as long on top of the usual time to the first event.
	ReadAhead time.Duration
	// KeepFree is how long after a first try had to wait for room a free place is kept for the next one, and not given to a request whose
	// caller came back, which can only be late. Kept for longer, it has more of those that came back refused again.
	KeepFree time.Duration
	// BlindAtOnce is how many requests of an entry may wait for their first event at engines of which nobody tells, while those that are
	// told of work at all their places. All entries of the other data centres are blind to an engine; if each sent what it has no place for,
	// the engine's queue would fill.
	BlindAtOnce int
	// Choices is how many of the nearest upstreams are looked at for a request, mostChoices at most; see pick.
	Choices int
	// BeginShare is the part of the latency objective within which an engine must be expected to begin a request, for it to be sent shortly
	// before the end of the engine's version.
	BeginShare float64
}

// DefaultPolicy is the product's.
func DefaultPolicy() Policy {
	return Policy{WaitShare: 0.4, ReadAhead: 90 * time.Millisecond, KeepFree: 100 * time.Millisecond, BlindAtOnce: 3, Choices: 2, BeginShare: 0.5}
}

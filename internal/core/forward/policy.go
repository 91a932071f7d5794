package forward

import "time"

// Policy holds the parameters by which an entry decides under load. DefaultPolicy is used in production; other values are for
// comparison.
type Policy struct {
	// WaitShare is the maximum part of the latency objective that a request waits for capacity. Since the newest request is served
	// first, served requests have waited little, and the rest of the objective is left for the engine's first event.
	WaitShare float64
	// OldestFirst serves the request that has waited longest first, instead of the newest.
	OldestFirst bool
	// PrefillAhead is how much prompt processing (prefill) the entries queue at an engine at once. An engine processes prompts one
	// after the other, so a request beyond this waits about that long in addition to the usual time to the first event.
	PrefillAhead time.Duration
	// ReserveFor is how long free capacity is reserved for first tries after one of them had to wait. A request whose caller returned
	// after a refusal does not get that capacity, since it is late in any case. With a longer time, more of the returning callers are
	// refused again.
	ReserveFor time.Duration
	// MaxUnreported is how many of an entry's requests may wait for their first event at engines without a load report while an
	// engine with one is full. No entry in another data centre knows an engine's load: if each sent its excess requests there, the
	// engine's queue would fill.
	MaxUnreported int
	// SampleSize is how many of the nearest upstreams are compared for a request, at most maxChoices; see pick.
	SampleSize int
	// StartShare is the part of the latency objective within which an engine is expected to start a request that is sent shortly
	// before the engine's version expires.
	StartShare float64
}

// DefaultPolicy returns the production parameters. WaitShare and StartShare are fractions of the route's latency objective: a request
// waits for capacity for at most 0.4 of it, and is expected to be started within 0.5 of it. What the other values bound is said at the
// fields of Policy.
func DefaultPolicy() Policy {
	return Policy{WaitShare: 0.4, PrefillAhead: 90 * time.Millisecond, ReserveFor: 100 * time.Millisecond, MaxUnreported: 3, SampleSize: 2, StartShare: 0.5}
}

package catalog

import "time"

// Notice is what an upstream says of itself in the head of an answer, whatever the answer is. Its zero value says nothing.
type Notice struct {
	// Limited is set when the upstream names a limit: RateLimit requests a second from all entries together, which may be 0.
	Limited   bool
	RateLimit float64
	// Garbled is set when it names a limit that is no number, so that the one that it named before stays.
	Garbled bool
	// Leaving is set when the upstream is shutting down.
	Leaving bool
	// RetryAfter is how long the upstream, which turned the request away, wants nothing from this entry; 0 when it does not say.
	RetryAfter time.Duration
	// ColdLeft is how much longer the upstream is cold; 0 when it does not say, or is not.
	ColdLeft time.Duration
}

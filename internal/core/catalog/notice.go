package catalog

import "time"

// Notice is the state that an upstream reports in the headers of any answer. The zero value reports nothing.
type Notice struct {
	// Limited is set when the upstream reports a rate limit. RateLimit is the limit in requests per second for all entries
	// together, and may be 0.
	Limited   bool
	RateLimit float64
	// Malformed is set when the reported limit is malformed. The limit that was reported before stays in effect.
	Malformed bool
	// Leaving is set when the upstream is shutting down.
	Leaving bool
	// RetryAfter is the backoff that the upstream requested from this entry when it rejected a request; 0 when there is none.
	RetryAfter time.Duration
	// ColdRemaining is the remaining time for which the upstream is cold; 0 when it isn't cold or doesn't report it.
	ColdRemaining time.Duration
}

package silence

import (
	"sync"
	"time"
)

const (
	// responseTimeFactor is the ratio of a limit to the slowest recent response time.
	responseTimeFactor = 3
	// responseTimeRetention is how long the slowest response time is remembered.
	responseTimeRetention = 30 * time.Second
)

// ResponseTimes derives the limit of a wait for a response from recent response times. On a slow network or a busy host, a response that takes
// about as long as the one before is no sign that the other side is dead. The zero value knows no response time.
type ResponseTimes struct {
	mu      sync.Mutex
	slowest time.Duration
	// at is when slowest was recorded.
	at time.Time
}

// Record adds the time that a response took, which arrived at now.
func (r *ResponseTimes) Record(now time.Time, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if took >= r.slowest || now.Sub(r.at) > responseTimeRetention {
		r.slowest, r.at = took, now
	}
}

// Limit returns how long a call that is made now waits for a response: at least shortest, and at most longest.
func (r *ResponseTimes) Limit(now time.Time, shortest, longest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.at) > responseTimeRetention {
		return shortest
	}
	return min(longest, max(shortest, responseTimeFactor*r.slowest))
}

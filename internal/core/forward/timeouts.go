package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// attemptTimeouts returns the timeouts of an attempt: for the first event or answer, and for the gap between two events; 0 means
// the request's deadline. While another upstream may still be tried, the timeouts leave enough time for it. They count from the
// sending of the attempt.
//
// On the last attempt the upstream has until the caller would leave, since a later answer reaches nobody. The caller's time,
// Route.CallerTimeout, counts from its request or from the last event that was passed on. Without that limit, callers of a data
// centre whose engines hung left 2.4 s after their request without an answer.
func (r *request) attemptTimeouts(now time.Time) (first, gap time.Duration) {
	if r.route.Repeatable() && r.possibleRuns+1 < r.route.MaxUpstreams {
		first, gap = defaultFirstEventTimeout(r.route), gapTimeout
	}
	if r.route.CallerTimeout <= 0 {
		return first, gap
	}
	callerTimeout := r.route.CallerTimeout - answerMargin
	remaining := max(minAttemptTime, r.progressAt.Add(callerTimeout).Sub(now))
	return minTimeout(first, remaining), minTimeout(gap, callerTimeout)
}

func defaultFirstEventTimeout(route *catalog.Route) time.Duration {
	if route.Kind == catalog.Streaming {
		return firstEventTimeout
	}
	return plainTimeoutObjectives * route.Objective
}

// minTimeout returns the shorter of a timeout, where 0 means none, and a duration.
func minTimeout(timeout, d time.Duration) time.Duration {
	if timeout == 0 {
		return d
	}
	return min(timeout, d)
}

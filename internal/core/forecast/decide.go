package forecast

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// RetryAfterMin is the shortest Retry-After delay: callers that return sooner would be taken for first tries.
	RetryAfterMin = 950 * time.Millisecond
	// retryShare is the part of their remaining time that callers wait before a retry at most.
	retryShare = 3
	// firstEventMargin is how long before it disconnects a caller's request must be sent at the latest. It covers the network and the
	// first event.
	firstEventMargin = 300 * time.Millisecond
	// deliveryMargin is what is left of firstEventMargin for the network and for a busy entry.
	deliveryMargin = 150 * time.Millisecond
	// returnSpread is the time over which returns to the end of an outage are spread, and returnSpreadMin the shortest one. In
	// returnSpread, engines that return empty have read about as many prompts as they have slots.
	returnSpread    = 900 * time.Millisecond
	returnSpreadMin = 300 * time.Millisecond
	// admitMargin is how much earlier than its limit a request must get room in order to begin to wait. It keeps requests from being
	// refused after a wait because predictions vary by some ticks.
	admitMargin = 60 * time.Millisecond
)

// Request is what the decision depends on.
type Request struct {
	// Arrived is when the caller sent the request, and Deadline the end of its budget.
	Arrived, Deadline time.Time
	// CallerTimeout is how long the caller waits for the first event; 0 for no such limit.
	CallerTimeout time.Duration
	// WaitLimit is how long a first try may wait without an outage.
	WaitLimit time.Duration
	// RunTime is how long the engine is expected to take for it, and FirstEvent how long until the first event.
	RunTime, FirstEvent time.Duration
	// Returning is set if the caller was refused before.
	Returning bool
	// Outage is set if a request may wait until the predicted end of an outage.
	Outage bool
}

// Decision is whether a request waits or is refused.
type Decision struct {
	Wait bool
	// UntilEnd is set for a wait until the end of an outage, behind first tries.
	UntilEnd bool
	// Until is the end of the wait, and RetryAfter the delay of a refusal.
	Until      time.Time
	RetryAfter time.Duration
	// Reason says in words why it is refused.
	Reason string
}

// LatestSend returns the latest time at which a request may be sent so that its caller still gets the answer, if it has waited since
// arrived.
func (r Request) LatestSend(arrived time.Time) time.Time {
	latest := r.Deadline.Add(-r.RunTime)
	if r.CallerTimeout > 0 {
		leaves := arrived.Add(r.CallerTimeout - max(firstEventMargin, deliveryMargin+r.FirstEvent))
		if leaves.Before(latest) {
			return leaves
		}
	}
	return latest
}

// Decide decides on a request that gets no room now. firstTryAt is when a first try is expected to get room, and roomAt when one that
// waits until the end of an outage is. draw spreads the returns of callers.
func Decide(now time.Time, r Request, firstTryAt, roomAt time.Time, draw uint64) Decision {
	latest := r.LatestSend(r.Arrived)
	if !r.Returning {
		if limit := step.Earlier(now.Add(r.WaitLimit), latest); !firstTryAt.After(limit) {
			return Decision{Wait: true, Until: limit}
		}
	}
	from, to, follows := r.returnWindow(now, roomAt)
	mayWait := r.Outage && !roomAt.Add(admitMargin).After(latest)
	if mayWait && (r.Returning || !follows || roomAt.After(r.LatestSend(now.Add(to)))) {
		return Decision{Wait: true, UntilEnd: true, Until: latest}
	}
	if !r.Outage {
		latest = step.Earlier(now.Add(r.WaitLimit), latest)
	}
	after := from + time.Duration(draw%uint64(max(1, to-from)))
	return Decision{RetryAfter: after, Reason: fmt.Sprintf("room expected in %v; a wait could last %v", roomAt.Sub(now).Round(time.Millisecond), latest.Sub(now).Round(time.Millisecond))}
}

// returnWindow returns between which delays the caller is to return: around the time at which there is room, or, where that is later
// than its caller waits before a retry, at the last moment that the caller accepts. It can then wait for the longest time. follows is
// false if even the shortest delay is longer than the caller accepts.
func (r Request) returnWindow(now, roomAt time.Time) (from, to time.Duration, follows bool) {
	longest := longestRetry(r.Deadline.Sub(now))
	if longest < RetryAfterMin {
		return RetryAfterMin, RetryAfterMin, false
	}
	from = min(max(roomAt.Sub(now), RetryAfterMin), longest)
	to = min(from+returnSpread, longest)
	from = max(min(from, to-returnSpreadMin), RetryAfterMin)
	return from, to, true
}

// longestRetry returns the longest delay that a caller follows which has this much time left here. It has a little less when it reads the
// refusal.
func longestRetry(left time.Duration) time.Duration { return (left - deliveryMargin) / retryShare }

// ClampRetry limits a Retry-After delay to what a caller with this much time left follows.
func ClampRetry(after, left time.Duration) time.Duration {
	return max(RetryAfterMin, min(after, longestRetry(left)))
}

package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// setTimeouts sets the timeouts of an attempt. They count from its sending, or from the last event.
//
// The first two are the times after which another upstream is looked for. They end nothing: a sound upstream may be silent for a second and
// go on, so that the attempt stays open until another one has begun.
//
// GiveUpAfter ends an attempt without an event just before the caller would leave, so that it gets an answer. Its time,
// Route.CallerTimeout, counts from its request. Without that limit, callers of a data centre whose engines hung left 2.4 s after their
// request without an answer. Once a part of the answer was passed on, the entry has no answer to give, and waits as long as the caller does.
func (r *request) setTimeouts(e *Send, now time.Time) {
	e.FirstEventTimeout, e.GapTimeout = defaultFirstEventTimeout(r.route), gapTimeout
	if r.route.CallerTimeout <= 0 || r.partial {
		return
	}
	e.GiveUpAfter = max(minAttemptTime, r.progressAt.Add(r.route.CallerTimeout-answerMargin).Sub(now))
}

func defaultFirstEventTimeout(route *catalog.Route) time.Duration {
	if route.Kind == catalog.Streaming {
		return firstEventTimeout
	}
	return plainTimeoutObjectives * route.Objective
}

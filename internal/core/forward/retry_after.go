package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forecast"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// retryAfterMin and retryAfterSpread set the Retry-After delay of a refused caller, which is drawn from retryAfterMin up to
	// retryAfterMin + retryAfterSpread. That is one to two times as long as a loaded engine takes for an answer. Before a retry,
	// callers wait for at most a third of their remaining time; for the users' streams that is at most two seconds.
	retryAfterMin    = forecast.RetryAfterMin
	retryAfterSpread = 900 * time.Millisecond
	// retryAfterMinOutage replaces retryAfterMin while most upstreams of a service are unusable, for example after engines lost
	// their weights. Recovery takes seconds, and a caller that returns sooner is refused again. It equals the longest time that
	// callers of the users' streams wait before a retry.
	retryAfterMinOutage = 2 * time.Second
	// limitSpread is the time below the longest delay that callers follow over which longer ones are spread, so that callers with the same
	// timeout do not return at the same moment.
	limitSpread = 300 * time.Millisecond
)

// retryAfter returns a randomized Retry-After delay, so that refused callers do not return at the same moment.
func (s *State) retryAfter(in step.Input) time.Duration {
	return retryAfterMin + time.Duration(in.Rand%uint64(retryAfterSpread))
}

// retryAfterFor returns the Retry-After delay for a request whose service has no capacity for it. In a service whose requests have different
// priorities it is limited to what the caller follows, and differs by the request's ID, since several waits may end with one input.
func (s *State) retryAfterFor(in step.Input, r *request) time.Duration {
	if !s.prioritized(r.service) {
		return s.unlimitedRetryAfter(in, r)
	}
	in.Rand = mix(in.Rand ^ mix(r.id))
	after := s.unlimitedRetryAfter(in, r)
	limit := forecast.ClampRetry(after, r.deadline.Sub(in.Now))
	if after > limit {
		limit -= time.Duration(in.Rand % uint64(min(limit-retryAfterMin, limitSpread)+1))
	}
	return limit
}

// unlimitedRetryAfter returns the Retry-After delay after which there may be capacity for a request, whether its caller follows it or not.
func (s *State) unlimitedRetryAfter(in step.Input, r *request) time.Duration {
	after, inputs := s.retryAfter(in), s.delayInputs(in.Now, r)
	if inputs.outage {
		after += retryAfterMinOutage - retryAfterMin
	}
	return max(after, inputs.shortestBackoff+after-retryAfterMin)
}

// delayInputs are what the Retry-After delay of a request depends on, besides chance; see State.outage and State.shortestBackoff.
type delayInputs struct {
	outage          bool
	shortestBackoff time.Duration
}

// delayInputs returns the inputs of the Retry-After delay of a request. Within a pass over a queue, in which thousands of requests may be
// refused, the upstreams are examined once for each kind of request.
func (s *State) delayInputs(now time.Time, r *request) delayInputs {
	if s.pass == nil || r.attempts > 0 {
		return delayInputs{outage: s.outage(now, r), shortestBackoff: s.shortestBackoff(now, r)}
	}
	key := s.searchKey(r)
	inputs, known := s.pass.delayInputs[key]
	if !known {
		inputs = delayInputs{outage: s.outage(now, r), shortestBackoff: s.shortestBackoff(now, r)}
		s.pass.delayInputs[key] = inputs
	}
	return inputs
}

// clampedRetryAfter returns the Retry-After delay for a request whose wait was ended, limited to what its caller follows. Several waits may
// end with one input, so the delay differs by the request's ID.
func (s *State) clampedRetryAfter(in step.Input, r *request, o *outlook) time.Duration {
	after := retryAfterMin + time.Duration(mix(in.Rand^mix(r.id))%uint64(retryAfterSpread))
	if o.outage {
		after += retryAfterMinOutage - retryAfterMin
	}
	return forecast.ClampRetry(after, r.deadline.Sub(in.Now))
}

// shortestBackoff returns the time until the first upstream of a request's service accepts requests again, provided that every
// active upstream has requested a backoff. It returns 0 if one has not: that one is usable sooner, or at an unknown time.
func (s *State) shortestBackoff(now time.Time, r *request) time.Duration {
	var left time.Duration
	for _, v := range s.viewsFor(now, r) {
		if v.inactive(now) {
			continue
		}
		b := &v.load.backoff
		if !b.active(now) {
			return 0
		}
		if left == 0 || b.remaining(now) < left {
			left = b.remaining(now)
		}
	}
	return left
}

// outage reports whether fewer than half of the upstreams of a request's service are usable, whether they are full or not. If at
// least minReports engines have a load report, only these count, since nothing is known of the others.
func (s *State) outage(now time.Time, r *request) bool {
	var all, reported usableCount
	required := s.requiredVersion(now, r.model)
	for _, v := range s.viewsFor(now, r) {
		usable := v.usable(now, r, required) || v.mayGoOn(now, r, required) || r.tried[v.Instance()] && !now.Before(v.load.avoidUntil)
		all.add(usable)
		if v.load.hasReport(now) {
			reported.add(usable)
		}
	}
	if reported.total >= minReports {
		return reported.mostlyDown()
	}
	return all.mostlyDown()
}

// usableCount counts upstreams, and how many of them are usable.
type usableCount struct{ total, usable int }

func (c *usableCount) add(usable bool) {
	c.total++
	if usable {
		c.usable++
	}
}

func (c *usableCount) mostlyDown() bool { return 2*c.usable < c.total }

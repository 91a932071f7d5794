package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// leastAway and spreadAway say how long a refused caller is asked to stay away, from leastAway to as much more as spreadAway: one to
	// two answers' time of a loaded engine. Callers wait a third of what is left to them at most, which is two seconds for the
	// users' streams.
	leastAway  = 950 * time.Millisecond
	spreadAway = 900 * time.Millisecond
	// leastAwayInOutage is the same while most upstreams of a service can't be used, as when engines have lost their weights: they need
	// seconds, and a caller that comes back sooner is refused again. It is as long as the callers of the users' streams stay away.
	leastAwayInOutage = 2 * time.Second
)

// retryAfter spreads the callers' return, so that they don't come back together.
func (s *State) retryAfter(in step.Input) time.Duration {
	return leastAway + time.Duration(in.Rand%uint64(spreadAway))
}

// awayFor is how long the caller of a request that its service has no place for is asked to stay away.
func (s *State) awayFor(in step.Input, r *request) time.Duration {
	after := s.retryAfter(in)
	if s.outage(in.Now, r) {
		after += leastAwayInOutage - leastAway
	}
	return max(after, s.backoffLeft(in.Now, r)+after-leastAway)
}

// backoffLeft is how long it takes until the first upstream of a request's service takes requests again, when all that are not closed have asked this
// entry to stay away; 0 when one has not, which is back sooner or can't be waited for.
func (s *State) backoffLeft(now time.Time, r *request) time.Duration {
	var left time.Duration
	for _, t := range s.targetsFor(now, r) {
		if t.closed(now) {
			continue
		}
		b := &t.load.backoff
		if !b.on(now) {
			return 0
		}
		if left == 0 || b.left(now) < left {
			left = b.left(now)
		}
	}
	return left
}

// outage tells whether fewer than half of the upstreams of a request's service can take requests, full or not. Engines of which nobody tells
// say nothing of that, but where they are nearly all.
func (s *State) outage(now time.Time, r *request) bool {
	var all, heard census
	required := s.requiredVersion(now, r.model)
	for _, t := range s.targetsFor(now, r) {
		usable := t.usable(now, r, required) || r.tried[t.Life()] && !now.Before(t.load.avoid)
		all.count(usable)
		if t.load.heard(now) {
			heard.count(usable)
		}
	}
	if heard.upstreams >= fewHeard {
		return heard.mostlyDown()
	}
	return all.mostlyDown()
}

// census counts upstreams, and those of them that can take requests.
type census struct{ upstreams, usable int }

func (c *census) count(usable bool) {
	c.upstreams++
	if usable {
		c.usable++
	}
}

func (c *census) mostlyDown() bool { return 2*c.usable < c.upstreams }

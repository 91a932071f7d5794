package admission

import "time"

// stall tells a service whose upstreams are all silent from one that is merely full. A service is stalled while none of its requests has been
// answered for MaxWait: its capacity is then not in use but waits, and is free again soon after the silence ends. The zero value is a service that
// has answered nothing.
type stall struct {
	// answeredAt is when a request was last answered; resumedAt is when the first one was answered after the last stall.
	answeredAt, resumedAt time.Time
	// usualRate is the rate of completed requests in the last window without a stall, in requests per second.
	usualRate float64
}

// answered records that a request was answered at now.
func (s *stall) answered(now time.Time) {
	if s.stalled(now) {
		s.resumedAt = now
	}
	s.answeredAt = now
}

// completed records the rate at which requests were completed in a window from start to now, unless the service was stalled in it.
func (s *stall) completed(start, now time.Time, rate float64) {
	if rate > 0 && !s.stalled(now) && !s.resumedAt.After(start) {
		s.usualRate = rate
	}
}

// stalled reports whether nothing has been answered for MaxWait.
func (s *stall) stalled(now time.Time) bool { return s.quietFor(now, MaxWait) }

// quietFor reports whether nothing has been answered for d. A service that has answered nothing yet may not be up, and does not count.
func (s *stall) quietFor(now time.Time, d time.Duration) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) >= d
}

// begins reports whether the service may be stalled soon. More requests may wait from then on, since as many as complete within MaxWait may have
// come when the stall is found.
func (s *stall) begins(now time.Time) bool { return s.quietFor(now, MaxWait/2) }

// excuses reports whether requests may wait for longer than MaxWait: during a stall, and as long afterwards as a request waits at most, so that those
// that waited through the stall find capacity.
func (s *stall) excuses(now time.Time) bool {
	return s.stalled(now) || !s.resumedAt.IsZero() && now.Sub(s.resumedAt) < MaxWait
}

package forward

import "time"

// backoffProbeInitial is how long a requested backoff is obeyed before the first probe. A longer backoff is probed with single
// requests from time to time, so that an upstream that asks for an absurdly long time does not stay out of use forever.
const backoffProbeInitial = 30 * time.Second

// backoff is a time in which an upstream wants no requests from this entry. The upstream requests it in the Retry-After header of
// an answer that declines a request. The zero value means no backoff.
type backoff struct {
	// until is the end of the backoff, and requestedAt the time of the upstream's last request for one.
	until, requestedAt time.Time
	// probeAt is when the next probe may be sent despite the backoff, and probeInterval the delay before it.
	probeAt       time.Time
	probeInterval time.Duration
}

// request starts a backoff of d, unless the upstream has already requested one that ends later.
func (b *backoff) request(now time.Time, d time.Duration) {
	if !b.active(now) {
		b.probeInterval, b.probeAt = backoffProbeInitial, now.Add(backoffProbeInitial)
	}
	b.requestedAt = now
	if until := now.Add(d); until.After(b.until) {
		b.until = until
	}
}

// active reports whether the backoff has not ended yet.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// remaining returns the time until a request may be sent: until the next probe, or the end of the backoff if that comes first.
func (b *backoff) remaining(now time.Time) time.Duration {
	if b.probeAt.Before(b.until) {
		return b.probeAt.Sub(now)
	}
	return b.until.Sub(now)
}

// allows reports whether a request may be sent now, as a probe or without a backoff.
func (b *backoff) allows(now time.Time) bool { return !b.active(now) || !now.Before(b.probeAt) }

// attempted records that a request was sent. Within a backoff that request was a probe, and the delay before the next one doubles.
func (b *backoff) attempted(now time.Time) {
	if b.active(now) {
		b.probeInterval *= 2
		b.probeAt = now.Add(b.probeInterval)
	}
}

// served ends the backoff if the upstream ran a request that was sent after the backoff was requested.
func (b *backoff) served(sent time.Time) {
	if sent.After(b.requestedAt) {
		*b = backoff{}
	}
}

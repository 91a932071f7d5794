package forward

import "time"

// backoffTrusted is how long a backoff is kept without a question. What a longer one means is asked by a request now and then, so that an upstream
// which names a time that nobody means is not out of use for ever.
const backoffTrusted = 30 * time.Second

// backoff is the time in which an upstream that has turned a request away wants nothing from this entry, as its Retry-After says. Its zero value is
// none.
type backoff struct {
	// until ends it, and asked is when the upstream asked for it last.
	until, asked time.Time
	// tryAt is when a request may be sent all the same, and wait is how long that was put off last.
	tryAt time.Time
	wait  time.Duration
}

// ask has the entry stay away for d from now on, or longer if the upstream has asked for longer before.
func (b *backoff) ask(now time.Time, d time.Duration) {
	if !b.on(now) {
		b.wait, b.tryAt = backoffTrusted, now.Add(backoffTrusted)
	}
	b.asked = now
	if until := now.Add(d); until.After(b.until) {
		b.until = until
	}
}

// on tells whether the backoff goes on.
func (b *backoff) on(now time.Time) bool { return now.Before(b.until) }

// left is how long it takes until a request may be sent.
func (b *backoff) left(now time.Time) time.Duration {
	if b.tryAt.Before(b.until) {
		return b.tryAt.Sub(now)
	}
	return b.until.Sub(now)
}

// allows tells whether a request may be sent now.
func (b *backoff) allows(now time.Time) bool { return !b.on(now) || !now.Before(b.tryAt) }

// use notes that a request was sent. The next one within the backoff is put off for twice as long.
func (b *backoff) use(now time.Time) {
	if b.on(now) {
		b.wait *= 2
		b.tryAt = now.Add(b.wait)
	}
}

// ran ends the backoff if the upstream ran a request that was sent after it had asked for it.
func (b *backoff) ran(sent time.Time) {
	if sent.After(b.asked) {
		*b = backoff{}
	}
}

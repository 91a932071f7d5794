package forward

import "time"

// restTrusted is how long a rest is given without a question. What a longer one means is asked by a request now and then, so that an
// upstream which names a time that nobody means is not out of use for ever.
const restTrusted = 30 * time.Second

// rest is the time in which an upstream that has turned a request away wants nothing from this entry. Its zero value is none.
type rest struct {
	// until ends it, and asked is when the upstream asked for it last.
	until, asked time.Time
	// tryAt is when a request may be sent all the same, and wait is how long that was put off last.
	tryAt time.Time
	wait  time.Duration
}

// ask has the upstream rest for d from now on, or longer if it has asked for longer before.
func (r *rest) ask(now time.Time, d time.Duration) {
	if !r.on(now) {
		r.wait, r.tryAt = restTrusted, now.Add(restTrusted)
	}
	r.asked = now
	if until := now.Add(d); until.After(r.until) {
		r.until = until
	}
}

// on tells whether the rest goes on.
func (r *rest) on(now time.Time) bool { return now.Before(r.until) }

// left is how long it takes until a request may be sent.
func (r *rest) left(now time.Time) time.Duration {
	if r.tryAt.Before(r.until) {
		return r.tryAt.Sub(now)
	}
	return r.until.Sub(now)
}

// allows tells whether a request may be sent now.
func (r *rest) allows(now time.Time) bool { return !r.on(now) || !now.Before(r.tryAt) }

// use notes that a request was sent. The next one within the rest is put off for twice as long.
func (r *rest) use(now time.Time) {
	if r.on(now) {
		r.wait *= 2
		r.tryAt = now.Add(r.wait)
	}
}

// ran ends the rest if the upstream ran a request that was sent after it had asked for it.
func (r *rest) ran(sent time.Time) {
	if sent.After(r.asked) {
		*r = rest{}
	}
}

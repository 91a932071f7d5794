package forward

import "time"

// callerTimeoutLifetime is how long the longest timeout of a client account's callers is remembered without being seen again.
const callerTimeoutLifetime = 30 * time.Second

// callerTimeouts are the longest timeouts that callers recently set for a request, by route and client account. A caller that
// returns after a refusal sets its remaining time as the timeout, so a shorter timeout shows how long ago it first tried.
type callerTimeouts map[callerKey]observedTimeout

type callerKey struct{ route, account string }

type observedTimeout struct {
	longest time.Duration
	seenAt  time.Time
}

// returning reports whether a request with this timeout was probably refused before, and how long ago, and records the timeout. Timeouts of first
// tries vary somewhat, but a refused caller is asked to wait for at least retryAfterMin. A timeout that is shorter than the longest
// one by less than that is therefore a first try. A caller also counts as new if no longer timeout is known for its account.
//
// For example, the longest timeout known for an account is 6 s, and retryAfterMin is 0.95 s. A request with a timeout of 5.05 s or less
// then counts as returning, since its caller may have waited for 0.95 s. One with a timeout of 5.2 s counts as a first try.
func (c callerTimeouts) returning(now time.Time, r *request, timeout time.Duration) (bool, time.Duration) {
	key := callerKey{route: r.route.Name}
	if r.account != nil {
		key.account = r.account.Name
	}
	known := c[key]
	if timeout >= known.longest || now.Sub(known.seenAt) > callerTimeoutLifetime {
		c[key] = observedTimeout{longest: timeout, seenAt: now}
		return false, 0
	}
	elapsed := known.longest - timeout
	return timeout > 0 && elapsed >= retryAfterMin, elapsed
}

// forget drops timeouts that are too old.
func (c callerTimeouts) forget(now time.Time) {
	for key, known := range c {
		if now.Sub(known.seenAt) > callerTimeoutLifetime {
			delete(c, key)
		}
	}
}

package forward

import "time"

// limitsFor is how long the longest limit of a client account's callers is remembered without being seen again.
const limitsFor = 30 * time.Second

// limits are the longest times that callers lately gave a request, by route and client account. A caller that was refused and comes back
// gives what is left of its time, so that a shorter limit tells how long ago it first asked.
type limits map[limitKey]limit

type limitKey struct{ route, account string }

type limit struct {
	longest time.Duration
	seen    time.Time
}

// cameBack tells whether a request with this limit was refused before, as far as can be told, and takes note of the limit. The limits of
// first tries differ somewhat, and a refused caller is asked to stay away for leastAway: a limit that is shorter than the longest
// by less can't be what is left after that. A caller whose account has no longer limit counts as new.
func (l limits) cameBack(now time.Time, r *request, limitNow time.Duration) bool {
	key := limitKey{route: r.route.Name}
	if r.account != nil {
		key.account = r.account.Name
	}
	known := l[key]
	if limitNow >= known.longest || now.Sub(known.seen) > limitsFor {
		l[key] = limit{longest: limitNow, seen: now}
		return false
	}
	return limitNow > 0 && known.longest-limitNow >= leastAway
}

// forget drops what is too old to count.
func (l limits) forget(now time.Time) {
	for key, known := range l {
		if now.Sub(known.seen) > limitsFor {
			delete(l, key)
		}
	}
}

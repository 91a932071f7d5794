package versionplan

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// load sets the complete version that the engine is to load now. There is none if the engine waits for a newer version.
func (p *Plan) load(now time.Time, in Inputs, whole map[int64]time.Time) {
	v, newest := in.newestComplete()
	if v.Number == 0 || v.Number == in.Held {
		return
	}
	if newest || v.UsableUntil.IsZero() || !now.Before(v.UsableUntil.Add(loadAnywayAfter)) {
		p.Load = v.Number
		return
	}
	decide := in.loadIdle
	if in.heldUsable(now) {
		decide = in.loadServing
	}
	loads, half, why := decide(now, v, in.nextUsable(v.Number, whole))
	p.Half = half
	p.Reason += "; " + why
	if loads {
		p.Load = v.Number
	}
}

// newestComplete returns the newest complete version and whether it is the newest of all.
func (in Inputs) newestComplete() (Version, bool) {
	for i := len(in.Versions) - 1; i >= 0; i-- {
		if in.Versions[i].Complete {
			return in.Versions[i], i == len(in.Versions)-1
		}
	}
	return Version{}, false
}

// nextUsable returns the earliest predicted time at which a newer version than the given one is complete; zero if unknown.
func (in Inputs) nextUsable(number int64, whole map[int64]time.Time) time.Time {
	next := time.Time{}
	for _, v := range in.Versions {
		at, known := whole[v.Number]
		if known && v.Number > number && before(at, next) {
			next = at
		}
	}
	return next
}

// loadIdle decides for an engine without a usable version.
func (in Inputs) loadIdle(now time.Time, v Version, next time.Time) (loads, half bool, reason string) {
	switch {
	case v.UsableUntil.Sub(now.Add(in.IdleLoadTime)) < minIdleUse:
		return false, false, "the complete version can't be used long enough"
	case in.SecondHalf && next.IsZero() && !in.OriginAway && in.Held > 0 && now.Before(in.HeldUntil.Add(skipWait)):
		return false, true, "half of the engines skip the complete version"
	}
	return true, false, "the engine holds nothing usable"
}

// loadServing decides for an engine whose version is still usable. All engines load an older version if it is needed to bridge a predicted
// time without any usable one. Otherwise the load costs more than it brings if the next version is complete long enough before the held
// one ends for all engines to load that one in turns. If it isn't, one half loads the older version, since these can load the next one
// after the others, and since the origin may go away before the next one is complete.
func (in Inputs) loadServing(now time.Time, v Version, next time.Time) (loads, half bool, reason string) {
	use := time.Duration(0)
	if !in.HeldUntil.IsZero() {
		use = v.UsableUntil.Sub(step.Later(now.Add(in.LoadTime), in.HeldUntil))
	}
	unreachable := next.IsZero() && in.OriginAway
	bridged := use
	if !next.IsZero() {
		bridged = min(use, next.Add(in.IdleLoadTime).Sub(in.HeldUntil))
	}
	needed := minUse
	if !next.IsZero() {
		needed = minTurnUse
	}
	switch {
	case bridged >= minBridge && (!next.IsZero() || unreachable):
		return true, false, "the complete version bridges the time until the next one"
	case !next.IsZero() && in.wellBefore(next) && in.HeldUntil.Sub(next) >= in.TurnTime:
		return false, false, "the next version will be complete well before the held one ends"
	case use < needed || unreachable:
		return false, false, "the complete version can't be used long enough"
	}
	return !in.SecondHalf, true, "half of the engines load the complete version"
}

// ready returns when the engine is expected to accept requests with a usable version, and that version. Both are zero while it holds a
// usable one and if the time is unknown.
func (in Inputs) ready(now time.Time, whole map[int64]time.Time) (time.Time, int64) {
	if in.heldUsable(now) {
		return time.Time{}, 0
	}
	first, number := time.Time{}, int64(0)
	for _, v := range in.Versions {
		at, known := whole[v.Number]
		if !known || v.Number == in.Held {
			continue
		}
		at = at.Add(in.IdleLoadTime)
		if !v.UsableUntil.IsZero() && v.UsableUntil.Sub(at) < minIdleUse {
			continue
		}
		if in.Serving && in.Held > 0 {
			at = step.Later(at, in.drained(whole[v.Number], in.HeldUntil))
		}
		if before(at, first) {
			first, number = at, v.Number
		}
	}
	return first, number
}

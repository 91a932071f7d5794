// Package versionplan decides which versions of weights one host fetches, in which order, and whether its engine loads a complete version
// or waits for a newer one. The decision is pure: see package step. Package install asks it, and package weights fetches in its order.
//
// Operators may activate versions faster than the origin sends them. The decision predicts when each version can be complete on this host
// and compares for how long no usable version would exist. Every host decides by itself from what it knows about the fleet.
package versionplan

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Version is what a host knows about an activated version.
type Version struct {
	Number int64
	// ActivatedAt is when the version was activated. UsableUntil is when entries stop to send requests to engines that hold it; the zero
	// time means that no newer version is activated.
	ActivatedAt, UsableUntil time.Time
	// Complete is set when every chunk is on this host.
	Complete bool
	// FleetLacks is the size of the chunks that no reachable host has, this one included, and HostLacks that of the chunks that this host
	// does not have. Size is the size of the version; 0 if it is not known. All three are in bytes.
	FleetLacks, HostLacks, Size int64
	// Resolved is set when the list of the version's chunks is known. FleetLacks and HostLacks count only then.
	Resolved bool
	// Gone is set when the origin no longer sends the version.
	Gone bool
}

// Inputs are what a decision depends on.
type Inputs struct {
	// Versions are the versions that the engine may still need, in ascending order of their numbers.
	Versions []Version
	// Held is the version that the engine holds, 0 for none, and HeldUntil is when entries stop to send requests to it; zero if no end
	// is known.
	Held      int64
	HeldUntil time.Time
	// OriginRate and LinkRate are in bytes per second; 0 if unknown.
	OriginRate, LinkRate float64
	// OriginAway is set when the origin is known to be unreachable.
	OriginAway bool
	// LoadTime is how long an engine that has requests accepts no new ones because of a load. IdleLoadTime is the same for an engine
	// without requests.
	LoadTime, IdleLoadTime time.Duration
	// TurnTime is how long the engines of the service need to load in turns; 0 if this is the only one.
	TurnTime time.Duration
	// Serving is set while the engine has requests.
	Serving bool
	// SecondHalf is set on one half of the hosts. Their engines leave out a version whose load is worth its cost only for some engines.
	SecondHalf bool
	// Memory is the size of the memory for chunks, in bytes; 0 for no limit.
	Memory int64
}

// Plan is the result of a decision.
type Plan struct {
	// FetchOrder lists the incomplete versions to fetch, the most urgent first. It has at most maxIncomplete entries.
	FetchOrder []int64
	// Drop lists the incomplete versions that are no longer wanted.
	Drop []int64
	// Load is the complete version that the engine is to load now, in its turn; 0 for none.
	Load int64
	// Half is set when only one half of the engines load that version.
	Half bool
	// ReadyAt is when the engine is expected to accept requests again, with ReadyVersion. It is zero while it holds a usable version,
	// and if the time is unknown.
	ReadyAt      time.Time
	ReadyVersion int64
	// Reason is the reason for the order and for Load, for the log.
	Reason string
}

const (
	// maxIncomplete bounds the incomplete versions that a host fetches. They share its link, and each needs memory.
	maxIncomplete = 2
	// horizon is the time for which usable versions are predicted. It is longer than a version's usual lifetime.
	horizon = 30 * time.Second
	// equalGap is the difference below which two predicted times without a usable version count as equal. The hosts' predictions differ
	// by some tenths of a second.
	equalGap = 100 * time.Millisecond
	// spreadTime is how long the last chunks from the origin take to reach the hosts over the links of others. The transfer tests of package
	// weights measure about this time with some 40 hosts.
	spreadTime = 800 * time.Millisecond
	// resolveTime is the assumed time until the chunks of a version are known.
	resolveTime = 200 * time.Millisecond
	// minLead is by how much sooner an older version must be complete to come first when no time without a usable version is predicted.
	// The hosts' predictions differ by as much.
	minLead = 300 * time.Millisecond
	// minUse is the minimum time for which a version must be usable for its load to be worth the capacity that half of the engines lose
	// by it, when no time without a usable version is predicted.
	minUse = 2500 * time.Millisecond
	// minTurnUse is the same where the next version is predicted to be complete so late that all engines would have to load it at the same
	// time. The engines that load the older version then load the next one in turns later.
	minTurnUse = 1500 * time.Millisecond
	// minIdleUse is the same for an engine that holds nothing usable. Its load costs no capacity.
	minIdleUse = 500 * time.Millisecond
	// minBridge is the minimum time without a usable version for which all engines load a version that is superseded already. Such loads
	// are taken in turns, and a load costs an engine 2.5 s.
	minBridge = 800 * time.Millisecond
	// skipWait is how long an engine that skips a version waits for the next one after the end of the version that it holds.
	skipWait = time.Second
	// loadAnywayAfter is how long after its end an old version is loaded after all. The newer one may never arrive, and an engine
	// shouldn't stay empty until then.
	loadAnywayAfter = 10 * time.Second
	// drainShare is the part of LoadTime that an engine with requests usually takes for a load. LoadTime counts its longest requests.
	drainShare = 0.75
	// gainShare is the part of a version's additional use by which it may delay the newest version when no time without a usable version
	// is predicted. The use is needed only if the origin becomes unreachable.
	gainShare = 0.75
)

// Decide returns the plan for the inputs.
func Decide(now time.Time, in Inputs) Plan {
	order, reason := in.fetchOrder(now)
	plan := Plan{FetchOrder: numbers(order), Reason: reason}
	for _, v := range in.Versions {
		if !v.Complete && !slices.Contains(plan.FetchOrder, v.Number) {
			plan.Drop = append(plan.Drop, v.Number)
		}
	}
	whole := in.wholeTimes(now, order, !in.OriginAway)
	plan.load(now, in, whole)
	plan.ReadyAt, plan.ReadyVersion = in.ready(now, whole)
	return plan
}

func numbers(list []Version) []int64 {
	var result []int64
	for _, v := range list {
		result = append(result, v.Number)
	}
	return result
}

// fetchOrder returns the incomplete versions to fetch.
func (in Inputs) fetchOrder(now time.Time) ([]Version, string) {
	if len(in.Versions) == 0 {
		return nil, "nothing is activated"
	}
	newest := in.Versions[len(in.Versions)-1]
	if newest.Complete {
		return nil, "the newest version is complete"
	}
	order, reason, least := []Version{newest}, "only the newest version is useful", in.gapOf(now, []Version{newest})
	chosen := time.Time{}
	for _, v := range in.olderCandidates(now, newest) {
		pair, why := in.orderOf(now, v, newest)
		gap, at := in.gapOf(now, pair), in.wholeTimes(now, pair, true)[v.Number]
		if len(order) < maxIncomplete || gap < least-equalGap || gap <= least+equalGap && before(at, chosen) {
			order, reason, least, chosen = pair, why, gap, at
		}
	}
	return order, reason
}

// before compares two times of which the zero time is unknown and later than any other.
func before(a, b time.Time) bool { return !a.IsZero() && (b.IsZero() || a.Before(b)) }

// olderCandidates returns the incomplete versions below the newest that may still become useful and for which there is memory. An older
// version than a complete one is not fetched any more.
func (in Inputs) olderCandidates(now time.Time, newest Version) []Version {
	var list []Version
	for _, v := range in.Versions[:len(in.Versions)-1] {
		switch {
		case v.Complete:
			list = nil
		case v.Number > in.Held && in.fits(v, newest) && in.bestUse(now, v) >= minIdleUse:
			list = append(list, v)
		}
	}
	return list
}

// fits reports whether the memory holds both versions beside the complete ones.
func (in Inputs) fits(v, newest Version) bool {
	if in.Memory == 0 {
		return true
	}
	need := in.sizeOf(v) + in.sizeOf(newest)
	for _, other := range in.Versions {
		if other.Complete {
			need += other.Size
		}
	}
	return need <= in.Memory
}

// bestUse returns how long a version can be used if it is completed first and the origin answers from now on. Only the time after the
// end of the held version counts.
func (in Inputs) bestUse(now time.Time, v Version) time.Duration {
	at := in.wholeTimes(now, []Version{v}, true)[v.Number]
	if at.IsZero() {
		at = now // No rate is known, or peers that are not reachable now may still complete it.
	}
	return in.additionalUse(now, v, at)
}

// additionalUse returns how long a version that is complete at the given time can be used after the end of the held one.
func (in Inputs) additionalUse(now time.Time, v Version, at time.Time) time.Duration {
	if v.UsableUntil.IsZero() {
		return horizon
	}
	from := at.Add(in.IdleLoadTime)
	if in.heldUsable(now) && in.HeldUntil.After(from) {
		from = in.HeldUntil
	}
	return v.UsableUntil.Sub(from)
}

// orderOf orders the newest version and an older one. While the origin is away, the times are those that would follow if it came back now:
// what peers can complete then comes first, and of the rest what is usable soonest and longest.
func (in Inputs) orderOf(now time.Time, older, newest Version) ([]Version, string) {
	olderFirst, newestFirst := []Version{older, newest}, []Version{newest, older}
	a, b := in.wholeTimes(now, olderFirst, true), in.wholeTimes(now, newestFirst, true)
	gapA, gapB := in.gapOf(now, olderFirst), in.gapOf(now, newestFirst)
	switch {
	case in.OriginAway && older.Resolved && older.FleetLacks == 0 && (newest.FleetLacks > 0 || !newest.Resolved):
		return olderFirst, "the older version first: peers can complete it while the origin is away"
	case gapA < gapB-equalGap:
		return olderFirst, "the older version first: less time without a usable version"
	case gapB < gapA-equalGap:
		return newestFirst, "the newest version first: less time without a usable version"
	}
	if in.nearlyInFleet(older) && in.additionalUse(now, older, now) >= minIdleUse {
		return olderFirst, "the older version first: the fleet lacks little of it, and the origin may go away"
	}
	if a[older.Number].IsZero() || b[newest.Number].IsZero() {
		return newestFirst, "the newest version first: times are unknown"
	}
	gain := in.additionalUse(now, older, a[older.Number])
	delay := a[newest.Number].Sub(b[newest.Number])
	if in.heldUsable(now) && in.wellBefore(b[newest.Number]) && !in.wellBefore(a[newest.Number]) {
		return newestFirst, "the newest version first: with the older one first, engines would load both"
	}
	if b[newest.Number].Sub(a[older.Number]) >= minLead && gain >= minIdleUse && delay <= time.Duration(gainShare*float64(gain)) {
		return olderFirst, "the older version first: it can be complete sooner"
	}
	return newestFirst, "the newest version first: it can be complete soon enough"
}

// maxInsuranceTime is how long the newest version may wait for the origin so that the fleet holds all of an older one. Once it does, the
// hosts can complete the older one without the origin, whenever that turns out to be of use.
const maxInsuranceTime = 500 * time.Millisecond

// nearlyInFleet reports whether the origin needs only a short time to send what the fleet lacks of a version.
func (in Inputs) nearlyInFleet(v Version) bool {
	return v.Resolved && !v.Gone && v.FleetLacks > 0 && float64(v.FleetLacks) <= in.OriginRate*maxInsuranceTime.Seconds()
}

// wellBefore reports whether a version that is complete at the given time can be loaded in turns before the held one ends.
func (in Inputs) wellBefore(complete time.Time) bool {
	return in.HeldUntil.IsZero() || in.HeldUntil.Sub(complete) >= in.LoadTime
}

func (in Inputs) heldUsable(now time.Time) bool {
	return in.Held > 0 && (in.HeldUntil.IsZero() || now.Before(in.HeldUntil))
}

// sizeOf returns the size of a version. One whose size is not known counts as large as the largest known one.
func (in Inputs) sizeOf(v Version) int64 {
	if v.Size > 0 {
		return v.Size
	}
	size := int64(0)
	for _, other := range in.Versions {
		size = max(size, other.Size)
	}
	return size
}

// wholeTimes predicts when each version is complete on this host if the incomplete ones are fetched in the given order. A version that
// can't be predicted is missing from the result.
func (in Inputs) wholeTimes(now time.Time, order []Version, originAnswers bool) map[int64]time.Time {
	times := make(map[int64]time.Time, len(in.Versions))
	for _, v := range in.Versions {
		if v.Complete {
			times[v.Number] = now
		}
	}
	origin, link := now, now
	for _, v := range order {
		fleetLacks, hostLacks, known := v.FleetLacks, v.HostLacks, v.Resolved
		start := now
		if !v.Resolved {
			fleetLacks, hostLacks = in.sizeOf(v), in.sizeOf(v)
			known, start = fleetLacks > 0, now.Add(resolveTime)
		}
		if !known || in.LinkRate <= 0 || fleetLacks > 0 && (!originAnswers || v.Gone || in.OriginRate <= 0) {
			continue
		}
		link = step.Later(link, start).Add(transferTime(hostLacks, in.LinkRate))
		at := link
		if fleetLacks > 0 {
			origin = step.Later(origin, start).Add(transferTime(fleetLacks, in.OriginRate))
			at = step.Later(at, origin.Add(spreadTime))
		}
		times[v.Number] = at
	}
	return times
}

func transferTime(bytes int64, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// gapOf returns the predicted time within the horizon in which no version is usable, if the incomplete versions are fetched in the given
// order and the origin answers.
func (in Inputs) gapOf(now time.Time, order []Version) time.Duration {
	whole := in.wholeTimes(now, order, true)
	end := now.Add(horizon)
	covered, lastRequests := now, time.Time{}
	if in.Held > 0 {
		covered, lastRequests = end, end
		if !in.HeldUntil.IsZero() {
			covered, lastRequests = step.Later(now, in.HeldUntil), in.HeldUntil
		}
	}
	gap := time.Duration(0)
	for _, v := range in.usable(whole) {
		// Engines that still have requests when the version is complete load it later.
		at, until := whole[v.Number], end
		from := at.Add(in.IdleLoadTime)
		if !lastRequests.IsZero() {
			from = step.Later(from, in.drained(at, lastRequests))
		}
		if !v.UsableUntil.IsZero() {
			until = step.Earlier(v.UsableUntil, end)
		}
		if from.Before(until) {
			gap += max(0, from.Sub(covered))
			covered, lastRequests = step.Later(covered, until), step.Later(lastRequests, until)
		}
	}
	return gap + max(0, end.Sub(covered))
}

// drained returns when an engine that gets its last requests at one of two times, the earlier one, has usually loaded.
func (in Inputs) drained(complete, lastRequests time.Time) time.Time {
	return step.Earlier(complete, lastRequests).Add(time.Duration(drainShare * float64(in.LoadTime)))
}

// usable returns the versions that can be used at least for minIdleUse once they are complete, by that time.
func (in Inputs) usable(whole map[int64]time.Time) []Version {
	var list []Version
	for _, v := range in.Versions {
		at, known := whole[v.Number]
		if known && v.Number > in.Held && (v.UsableUntil.IsZero() || v.UsableUntil.Sub(at.Add(in.IdleLoadTime)) >= minIdleUse) {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b Version) int { return whole[a.Number].Compare(whole[b.Number]) })
	return list
}

package forward

import (
	"fmt"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// staleAfter is the age of a load report from which an engine is used only if no other engine can be: its host may be frozen or
	// disconnected. It is slightly longer than the longest time between two reports of a healthy agent. staleAfterNear applies in
	// this data centre, where reports are more frequent.
	staleAfter     = 1200 * time.Millisecond
	staleAfterNear = 700 * time.Millisecond
	// staleAfterOverdue applies to an engine that keeps a request waiting beyond its latency objective. The load of a working
	// engine changes with each request, and its agent reports that within 400 ms.
	staleAfterOverdue = 500 * time.Millisecond
	// minReports is how many engines must have a load report for these to stand for the others. If none of them holds the weights,
	// the unreported engines most likely don't either, whatever the store still says about them.
	minReports = 8
	// maxChoices limits how many of the nearest upstreams are compared for a request; see pick.
	maxChoices = 4
)

// availability is the result of the search for an upstream.
type availability int

const (
	none availability = iota
	allFull
	available
)

// pick chooses an upstream with capacity: it samples some of the nearest upstreams at random and takes the one that will answer
// soonest. Entries see the same loads with a delay; if each of them took the least loaded upstream of all, they would all take the
// same one.
//
// An engine without a load report is used if the reported ones are full, until one without a report declines a request or is slow
// to its first event: then the whole fleet is likely to be full; see maySendUnreported. An engine whose report is stale is used,
// full or not, only if no other engine can be: a request that waits for capacity is answered sooner than one at a frozen host.
// Neither kind is used if at least minReports engines have a report and none of them could accept requests even if it were not
// full.
func (s *State) pick(in step.Input, r *request) (*catalog.Upstream, availability) {
	p := s.pools(in, r)
	switch {
	case p.reported.availability < available && p.expiring.availability == available:
		return p.expiring.best(in.Now, r)
	case p.reported.availability == none && p.reports >= minReports:
		return nil, none
	case p.reported.availability < available && p.unreported.availability > none && s.maySendUnreported(in.Now, &p.reported):
		return p.unreported.best(in.Now, r)
	case p.reported.availability == none:
		return p.stale.best(in.Now, r)
	}
	return p.reported.best(in.Now, r)
}

// pools are the upstreams that could accept a request, by how much is known about them.
type pools struct {
	// reported are those with a current load report, those that need none, and those whose first one is still expected. The
	// reports of stale ones are old, and unreported ones have none.
	reported, stale, unreported sample
	// expiring are those with a version on which the request may start only for a short time; see minVersionIfFull.
	expiring sample
	// reports counts the upstreams with a valid load report, whatever it says, among those that were examined.
	reports int
}

// pools examines the upstreams that a request may go to, the nearest first. It stops at the distance from which on no upstream can
// change the choice.
func (s *State) pools(in step.Input, r *request) pools {
	p := pools{reported: s.newSample(), stale: s.newSample(), unreported: s.newSample(), expiring: s.newSample()}
	required, ifFull := s.requiredVersion(in.Now, r.model), s.minVersionIfFull(in.Now, r)
	wait := s.maxWait(r)
	for _, t := range s.targetsFor(in.Now, r) {
		if p.reported.settled(t.distance) {
			break
		}
		if t.load.hasReport(in.Now) {
			p.reports++
		}
		switch {
		case t.usable(in.Now, r, required):
			p.poolOf(t, in.Now).consider(in, t, r)
		case ifFull < required && !t.stale(in.Now) && t.usable(in.Now, r, ifFull):
			p.expiring.consider(in, t, r)
		case t.reloading(in.Now, r) || t.backoffEndsWithin(in.Now, wait):
			p.reported.availability = max(p.reported.availability, allFull)
		}
	}
	return p
}

// poolOf returns the pool that a usable upstream belongs to.
func (p *pools) poolOf(t *target, now time.Time) *sample {
	switch {
	case t.unreported():
		return &p.unreported
	case t.stale(now):
		return &p.stale
	}
	return &p.reported
}

// candidate is an upstream with capacity for a request.
type candidate struct {
	*target
	// tieBreak is a random order of the upstreams, different for each request.
	tieBreak uint64
}

// stale reports whether the engine's last load report is so old that its host may be frozen or disconnected.
func (t *target) stale(now time.Time) bool {
	if t.load.reportedAt.IsZero() {
		return false
	}
	age, limit := now.Sub(t.load.reportedAt), staleAfter
	if t.distance == 0 {
		limit = staleAfterNear
	}
	return age > limit || t.load.overdue > 0 && age > staleAfterOverdue
}

// preferredTo reports whether c is to be used before o whatever their loads: engines with overdue requests or a slowdown come last,
// and of the others the nearest come first.
func (c candidate) preferredTo(o candidate) bool {
	if late, otherLate := c.load.overdue > 0, o.load.overdue > 0; late != otherLate {
		return otherLate
	}
	if slow, otherSlow := c.slow(), o.slow(); slow != otherSlow {
		return otherSlow
	}
	return c.distance < o.distance
}

// cost returns a number that grows with the expected time to the first event.
func (c candidate) cost(now time.Time, r *request) float64 {
	return float64(c.occupied(now, r))/float64(c.maxRequests(r)) + float64(c.load.pendingPromptTokens)/c.maxPendingTokens()
}

// sample is a random sample of the nearest upstreams with capacity: those with the smallest tieBreak.
type sample struct {
	availability availability
	// anyFull is set if an upstream that could accept the request is full.
	anyFull    bool
	candidates [maxChoices]candidate
	size       int
	// maxSize is the size of the sample at most.
	maxSize int
}

// newSample returns an empty sample.
func (s *State) newSample() sample { return sample{maxSize: s.Self.Policy.SampleSize} }

// consider takes an upstream that could accept a request: into the sample if it has capacity, else as a full one.
func (s *sample) consider(in step.Input, t *target, r *request) {
	if !t.hasCapacity(in.Now, r) {
		s.availability, s.anyFull = max(s.availability, allFull), true
		return
	}
	s.add(candidate{target: t, tieBreak: mix(t.hash ^ in.Rand)})
}

// add offers one more upstream with capacity to the sample.
func (s *sample) add(c candidate) {
	s.availability = available
	if s.size > 0 && s.candidates[0].preferredTo(c) {
		return
	}
	if s.size > 0 && c.preferredTo(s.candidates[0]) {
		s.size = 0
	}
	if s.size < s.maxSize {
		s.candidates[s.size] = c
		s.size++
		return
	}
	last := 0
	for i := range s.candidates[:s.size] {
		if s.candidates[i].tieBreak > s.candidates[last].tieBreak {
			last = i
		}
	}
	if c.tieBreak < s.candidates[last].tieBreak {
		s.candidates[last] = c
	}
}

// settled reports whether no upstream at the distance, or farther, can be chosen: a nearer one has capacity and is neither overdue
// nor slow.
func (s *sample) settled(distance int) bool {
	return s.availability == available && s.candidates[0].distance < distance && s.candidates[0].load.overdue == 0 && !s.candidates[0].slow()
}

// best returns the upstream of the sample that will answer soonest.
func (s *sample) best(now time.Time, r *request) (*catalog.Upstream, availability) {
	if s.availability != available {
		return nil, s.availability
	}
	best := s.candidates[0]
	for _, c := range s.candidates[1:s.size] {
		cost, lowest := c.cost(now, r), best.cost(now, r)
		if cost < lowest || cost == lowest && c.tieBreak < best.tieBreak {
			best = c
		}
	}
	return best.Upstream, available
}

// mix spreads the bits of z, so that numbers that differ in few bits become unrelated.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// describeUpstreams describes, for the log, why no upstream was found.
func (s *State) describeUpstreams(now time.Time, r *request) string {
	var registered, evacuated, draining, avoided, loading, backedOff, empty, limited, full int
	required := s.requiredVersion(now, r.model)
	for _, t := range s.targetsFor(now, r) {
		registered++
		switch {
		case t.evacuated:
			evacuated++
		case t.leaving(now):
			draining++
		case now.Before(t.load.avoidUntil):
			avoided++
		case t.reloading(now, r):
			loading++
		case !t.load.backoff.allows(now):
			backedOff++
		case !t.usable(now, r, required):
			empty++
		case !t.rateAllowed(now):
			limited++
		case !t.hasCapacity(now, r):
			full++
		}
	}
	homes := ""
	if !r.homes.Unrestricted() {
		homes = fmt.Sprintf("in its homes (%s): ", r.homes)
	}
	return homes + fmt.Sprintf("%d registered, %d evacuated, %d draining, %d avoided after failures, %d loading, %d that sent Retry-After, %d without the required weights or already tried, %d at their rate limit, %d full",
		registered, evacuated, draining, avoided, loading, backedOff, empty, limited, full)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

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
	// minReports is the smallest number of engines with a load report that are taken to represent the others. If none of them holds
	// the weights, the unreported engines most likely don't either, whatever the store still says about them.
	minReports = 8
	// maxChoices limits Policy.SampleSize, the number of upstreams that are compared for a request; see pick.
	maxChoices = 4
)

// availability is the result of the search for an upstream. The values correspond to None, Full and Found in package routing. Here a
// larger value is a better result; the order in package routing is the opposite. Value awaited has no counterpart there.
type availability int

const (
	// unavailable: no upstream can take the request soon.
	unavailable availability = iota
	// awaited: each upstream that could take the request is silent, and one may go on soon.
	awaited
	// full: an upstream can take the request soon. It is full, loads weights, or is in a backoff that ends in time.
	full
	// available: an upstream has capacity for the request.
	available
)

// pick chooses an upstream with capacity: it samples some of the nearest upstreams at random and takes the one that will answer
// soonest. Entries see the same load reports with a delay; if each of them took the least loaded upstream of all, they would all take
// the same one.
//
// The current upstreams come first: those with a recent load report, those that need none, and those whose first report is still
// expected. The other kinds are used only in these cases:
//
//   - An engine whose version is about to expire: if no current engine with the next version has capacity; see versionLimits.
//
//   - An engine without a load report: if the current ones are full or unusable. While they are full, there is a pause after an
//     engine without a report declined a request or was slow to its first event: the whole fleet is then likely to be full; see
//     maySendUnreported.
//
//   - An engine whose report is stale: if every current upstream is unusable, and no unreported one is used. If current upstreams are
//     merely full, the request waits for these: it is answered sooner than at a frozen host. A stale engine that is full itself gets
//     no request either; the request then waits.
//
//   - An upstream that is avoided since it left a request unanswered, but answers others: if no upstream of the kinds above is usable,
//     except for a stale one. A caller that waits is better off than one that is refused.
//
//   - A silent upstream: only for a probe; see silence. If no upstream of any kind is usable, the request waits for it to go on.
//
// If at least minReports engines have a valid report and every current upstream is unusable, unreported engines are not used, and stale ones
// only if fewer than minReports of these reports are recent: this process was then suspended, or the engines are silent.
func (s *State) pick(in step.Input, r *request) (*catalog.Upstream, availability) {
	s.chooseDataCentre(in, r)
	p := s.samples(in, r)
	u, found := s.choose(in, r, &p)
	if found == unavailable && p.silent {
		return nil, awaited
	}
	return u, found
}

// choose chooses an upstream from the samples.
func (s *State) choose(in step.Input, r *request, p *samples) (*catalog.Upstream, availability) {
	switch {
	case p.current.availability < available && p.withExpiringVersion.availability == available:
		return p.withExpiringVersion.best(in.Now, r)
	case p.current.availability == unavailable && p.reports >= minReports:
		if p.lastResort.availability == unavailable && p.recentReports < minReports {
			return p.stale.best(in.Now, r)
		}
		return p.lastResort.best(in.Now, r)
	case p.current.availability < available && p.unreported.availability > unavailable && s.maySendUnreported(in.Now, &p.current):
		return p.unreported.best(in.Now, r)
	case p.current.availability == unavailable && p.lastResort.availability > unavailable:
		return p.lastResort.best(in.Now, r)
	case p.current.availability == unavailable:
		return p.stale.best(in.Now, r)
	}
	return p.current.best(in.Now, r)
}

// samples are the samples of the upstreams that could accept a request, one for each state of knowledge about an upstream.
type samples struct {
	// current is the sample of the upstreams with a recent load report, those that need none, and those whose first report is still
	// expected. stale is that of the engines with an old report. unreported is that of the engines of which no report is expected; see
	// upstreamView.unreported.
	current, stale, unreported sample
	// withExpiringVersion is the sample of the engines whose version the request may start on only for a short time; see
	// versionLimits.
	withExpiringVersion sample
	// lastResort is the sample of the upstreams that are avoided since they left a request unanswered, but answer others, and of the silent
	// ones of which the request may be the probe.
	lastResort sample
	// silent is set if a silent upstream may go on and accept the request.
	silent bool
	// reports counts the upstreams with a valid load report, whatever it says, among those that were examined, and recentReports those
	// of them whose report is not stale.
	reports, recentReports int
}

// samples examines the upstreams that a request may go to, the nearest first. It stops at the distance from which on no upstream can
// change the choice.
func (s *State) samples(in step.Input, r *request) samples {
	p := samples{current: s.newSample(), stale: s.newSample(), unreported: s.newSample(), withExpiringVersion: s.newSample(), lastResort: s.newSample()}
	versions := s.versionLimits(in.Now, r)
	wait := s.maxWait(r)
	for _, v := range s.viewsFor(in.Now, r) {
		if p.current.settled(r.rank(v)) {
			break
		}
		if v.load.hasReport(in.Now) {
			p.reports++
			if !v.stale(in.Now) {
				p.recentReports++
			}
		}
		switch {
		case v.usable(in.Now, r, versions.preferred):
			p.sampleFor(v, in.Now).consider(in, v, r)
		case v.usable(in.Now, r, versions.required):
			p.considerExpiring(in, v, r)
		case versions.ifFull < versions.required && !v.stale(in.Now) && v.usable(in.Now, r, versions.ifFull):
			p.withExpiringVersion.consider(in, v, r)
		case v.usableAsLastResort(in.Now, r, versions.required):
			p.lastResort.consider(in, v, r)
		case v.reloading(in.Now, r) || v.backoffEndsWithin(in.Now, wait):
			p.current.availability = max(p.current.availability, full)
		case v.mayGoOn(in.Now, r, versions.required):
			p.silent = true
		}
	}
	return p
}

// considerExpiring considers an engine whose version the request may start on although engines with the next version are preferred. If it
// is full, the request may wait for it.
func (p *samples) considerExpiring(in step.Input, v *upstreamView, r *request) {
	usual := p.sampleFor(v, in.Now)
	if usual == &p.current && v.hasCapacity(in.Now, r) {
		usual = &p.withExpiringVersion
	}
	usual.consider(in, v, r)
}

// sampleFor returns the sample that a usable upstream belongs to.
func (p *samples) sampleFor(v *upstreamView, now time.Time) *sample {
	switch {
	case v.unreported():
		return &p.unreported
	case v.stale(now):
		return &p.stale
	}
	return &p.current
}

// candidate is an upstream with capacity for a request.
type candidate struct {
	*upstreamView
	// rank is the place of its data centre in the request's order; see request.rank.
	rank int
	// tieBreak is a random order of the upstreams, different for each request.
	tieBreak uint64
}

// stale reports whether the engine's last load report is so old that its host may be frozen or disconnected. An engine of which no
// report was ever received is not stale; see unreported.
func (v *upstreamView) stale(now time.Time) bool {
	if v.load.reportedAt.IsZero() {
		return false
	}
	age, limit := now.Sub(v.load.reportedAt), staleAfter
	if v.distance == 0 {
		limit = staleAfterNear
	}
	return age > limit || v.load.overdue > 0 && age > staleAfterOverdue
}

// preferredTo reports whether c is to be used before o whatever their loads. Engines with overdue requests come last, and before them
// those with a slowdown. Among equal ones, those of the lowest rank come first.
func (c candidate) preferredTo(o candidate) bool {
	if late, otherLate := c.load.overdue > 0, o.load.overdue > 0; late != otherLate {
		return otherLate
	}
	if slow, otherSlow := c.slow(), o.slow(); slow != otherSlow {
		return otherSlow
	}
	return c.rank < o.rank
}

// cost returns a number that grows with the expected time to the first event: the sum of the used parts of the request limit and of
// the limit for pending prompt tokens.
func (c candidate) cost(now time.Time, r *request) float64 {
	return float64(c.occupied(now, r))/float64(c.maxRequests(r)) + float64(c.load.pendingPromptTokens)/c.maxPendingTokens()
}

// sample is a random sample of the most preferred upstreams with capacity: those with the smallest tieBreak.
type sample struct {
	availability availability
	// anyFull is set if an upstream that could accept the request is full.
	anyFull    bool
	candidates [maxChoices]candidate
	size       int
	// maxSize is the maximum size of the sample.
	maxSize int
}

// newSample returns an empty sample.
func (s *State) newSample() sample { return sample{maxSize: s.Self.Policy.SampleSize} }

// consider takes an upstream that could accept a request: into the sample if it has capacity, else as a full one.
func (s *sample) consider(in step.Input, v *upstreamView, r *request) {
	if !v.hasCapacity(in.Now, r) {
		s.availability, s.anyFull = max(s.availability, full), true
		return
	}
	s.add(candidate{upstreamView: v, rank: r.rank(v), tieBreak: mix(v.hash ^ in.Rand)})
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

// settled reports whether no upstream of the rank, or of a higher one, can be chosen: one of a lower rank has capacity and is neither
// overdue nor slow.
func (s *sample) settled(rank int) bool {
	return s.availability == available && s.candidates[0].rank < rank && s.candidates[0].load.overdue == 0 && !s.candidates[0].slow()
}

// best returns the upstream of the sample that will answer soonest.
func (s *sample) best(now time.Time, r *request) (*catalog.Upstream, availability) {
	if s.availability != available {
		return nil, s.availability
	}
	best := s.candidates[0]
	for _, c := range s.candidates[1:s.size] {
		if sooner, decides := c.compare(best, now, r); decides {
			if sooner {
				best = c
			}
			continue
		}
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
	var registered, evacuated, leaving, avoided, silent, loading, backedOff, empty, limited, atCapacity int
	required := s.requiredVersion(now, r.model)
	for _, v := range s.viewsFor(now, r) {
		registered++
		switch {
		case v.evacuated:
			evacuated++
		case v.leaving(now):
			leaving++
		case now.Before(v.load.avoidUntil):
			avoided++
		case v.load.silence.active():
			silent++
		case v.reloading(now, r):
			loading++
		case !v.load.backoff.allows(now):
			backedOff++
		case !v.usable(now, r, required):
			empty++
		case !v.rateAllowed(now):
			limited++
		case !v.hasCapacity(now, r):
			atCapacity++
		}
	}
	homes := ""
	if !r.homes.Unrestricted() {
		homes = fmt.Sprintf("in its homes (%s): ", r.homes)
	}
	return homes + fmt.Sprintf("%d registered, %d evacuated, %d leaving, %d avoided after failures, %d silent, %d loading, %d that sent Retry-After, %d without the required weights or already tried, %d at their rate limit, %d full",
		registered, evacuated, leaving, avoided, silent, loading, backedOff, empty, limited, atCapacity)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

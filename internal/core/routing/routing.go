// Package routing is the entry's reducer that chooses an upstream for each request. It keeps track of which upstreams
// this entry uses, the estimated load of each, which ones probably have a prompt's prefix in their cache, and which are
// slower than their peers. The package is pure: see package step.
//
// The package belongs to the first product's path: internal/entry with core/request and core/routing, then internal/agent
// with core/run, and core/rollout for loading. On the users' platform, gateway with core/forward and hostagent with
// core/install do the same.
package routing

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
)

// Policy names the way in which an upstream is chosen among those with free capacity. Operators use Affinity, the
// default; the others are baselines for experiments.
type Policy string

// The policies.
const (
	// Affinity chooses by the prompt's prefix, with a bounded load. A request without a prefix goes to the better of two
	// random upstreams.
	Affinity Policy = "affinity"
	// Random chooses a random upstream.
	Random Policy = "random"
	// LeastInFlight chooses the upstream with the fewest requests of this entry in flight.
	LeastInFlight Policy = "least"
	// TwoChoices chooses, of two random upstreams, the one with fewer requests of this entry in flight.
	TwoChoices Policy = "two"
)

// ValidPolicy reports whether p is one of the policies.
func ValidPolicy(p Policy) bool {
	return p == Affinity || p == Random || p == LeastInFlight || p == TwoChoices
}

// Self identifies an entry and its location in the fleet, and holds its routing policy. Place is its data centre.
type Self struct {
	Name   string
	Place  string
	Region string
	Policy Policy
}

// State holds this entry's view of the load and the speed of the upstreams.
type State struct {
	Self Self
	// entries holds the sorted names of the entries of this data centre, including this one.
	entries  []string
	services map[string]*service
}

// NewState returns a state without services. The default policy is Affinity.
func NewState(self Self) *State {
	if self.Policy == "" {
		self.Policy = Affinity
	}
	return &State{Self: self, entries: []string{self.Name}, services: map[string]*service{}}
}

// SetEntries sets the sorted names of the entries that share the requests of this data centre, including this one.
func (s *State) SetEntries(names []string) {
	if equal(s.entries, names) {
		return
	}
	s.entries = append([]string(nil), names...)
	for _, svc := range s.services {
		svc.list = nil // The next call of Pick computes the subset again.
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Query describes a request for which an upstream is chosen.
type Query struct {
	// Service is the key of the service's settings object.
	Service string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// OverLimit allows an upstream whose estimated load has reached its limit. It is set for an answer that another
	// upstream continues, because a limit must not truncate an answer. It is also set for a retry after a failure, because
	// an estimate must not cause a refusal.
	OverLimit bool
	// Tried holds the upstreams that were tried before, by Key.
	Tried map[string]bool
}

// Availability reports whether a service has an upstream for a request: one with free capacity, only full ones, or none.
type Availability int

// Values of Availability.
const (
	// Found means that an upstream has free capacity.
	Found Availability = iota
	// Full means that there are upstreams, but each is at its limit.
	Full
	// None means that there is no upstream for the request: each was tried before or is shutting down, or none exists.
	None
)

// Key returns the identifier of an upstream within a service.
func Key(c member.Candidate) string { return c.Address + c.Upstream.Name }

// Pick chooses an upstream for q among the candidates. The caller must not modify the slice afterwards. Pick searches
// four tiers in order: this entry's subset of its own data centre, the rest of the data centre, the rest of the region
// and the other regions. It uses the first tier with free capacity. Only if no tier has any does it search all tiers again
// with the ejected upstreams included.
func (s *State) Pick(in step.Input, q Query, candidates []member.Candidate) (member.Candidate, Availability) {
	svc := s.updatedService(q.Service, candidates)
	availability := None
	// A slow upstream is better than none, so ejected upstreams are searched last.
	for _, includeEjected := range []bool{false, true} {
		for _, tier := range svc.tiers {
			usable, exists := svc.withCapacity(in.Now, tier, q, includeEjected)
			if exists {
				availability = Full
			}
			if len(usable) > 0 {
				return s.choose(in, svc, q, usable).candidate, Found
			}
		}
	}
	return member.Candidate{}, availability
}

// How well an upstream fits a request, from worst to best.
const (
	// FitNone means that the upstream probably has to compute the prompt's prefix.
	FitNone = iota
	// FitCached means that the upstream probably has the prefix in its cache, but does not own it.
	FitCached
	// FitOwner means that the upstream owns the prefix: it is the first in the prefix's rendezvous order. It has the
	// prefix in its cache or should get it. It also stands for a request without a prefix, which all upstreams fit
	// equally.
	FitOwner
)

// Fit returns how well an upstream fits a request: FitNone, FitCached or FitOwner. It is used to choose one of the waiting
// requests for an upstream with free capacity. A prefix that the upstream owns ranks above one that it merely has in its
// cache, so that each engine's cache only has to hold the prefixes that it owns.
func (s *State) Fit(now time.Time, q Query, c member.Candidate) int {
	if q.Prefix == 0 || s.Self.Policy != Affinity {
		return FitOwner // All upstreams fit equally.
	}
	svc := s.service(q.Service)
	u := svc.upstream(c)
	if rendezvous(q.Prefix, svc.tiers[0], func(*upstream) bool { return true }) == u {
		return FitOwner
	}
	if svc.prefixes.bestHolder(now, q.Prefix, func(other *upstream) bool { return other == u }) != nil {
		return FitCached
	}
	return FitNone
}

// choose returns an upstream whose probe is due, or else one according to the policy. usable holds the upstreams that can
// take the request now; it must not be empty.
func (s *State) choose(in step.Input, svc *service, q Query, usable []*upstream) *upstream {
	if probe := probeDue(in.Now, usable); probe != nil {
		return probe
	}
	usable = withoutProbation(usable)
	switch s.Self.Policy {
	case Random:
		return usable[in.Rand%uint64(len(usable))]
	case LeastInFlight:
		return leastInFlight(in.Rand, usable)
	case TwoChoices:
		return twoChoices(in.Rand, usable, func(u *upstream) float64 { return float64(u.inFlight) })
	}
	if q.Prefix != 0 {
		if u := svc.byPrefix(in.Now, q.Prefix, usable); u != nil {
			return u
		}
	}
	return twoChoices(in.Rand, usable, func(u *upstream) float64 { return svc.cost(in.Now, u) })
}

func leastInFlight(random uint64, usable []*upstream) *upstream {
	n := len(usable)
	start := int(random % uint64(n))
	best := usable[start]
	for i := 1; i < n; i++ {
		if u := usable[(start+i)%n]; u.inFlight < best.inFlight {
			best = u
		}
	}
	return best
}

func twoChoices(random uint64, usable []*upstream, cost func(*upstream) float64) *upstream {
	n := uint64(len(usable))
	a := usable[random%n]
	b := usable[(random/n)%n]
	if cost(b) < cost(a) {
		return b
	}
	return a
}

// Sent records that this entry sent a request to an upstream.
func (s *State) Sent(now time.Time, q Query, c member.Candidate) {
	svc := s.service(q.Service)
	u := svc.upstream(c)
	u.inFlight++
	u.sentSince++
	if u.health == onProbation {
		u.lastProbe = now
	}
	if q.Prefix != 0 {
		svc.prefixes.add(now, q.Prefix, u)
	}
}

// FirstByte records the time that an upstream took for the first byte of an answer: took by this entry's own measurement, run by that of
// the upstream's agent. run is 0 if the agent reports none.
func (s *State) FirstByte(now time.Time, service string, c member.Candidate, took, run time.Duration) {
	svc := s.service(service)
	u := svc.upstream(c)
	u.failures = 0
	svc.addSample(now, u, firstByte{own: took, run: max(0, run)})
}

// WentOn records an answer of an upstream that was silent as a whole while the request waited. It shows that the upstream is sound, and not how
// fast it is. An upstream that was ejected since others waited in vain is probed at once.
func (s *State) WentOn(now time.Time, service string, c member.Candidate) {
	u := s.service(service).upstream(c)
	u.failures = 0
	if u.health == ejected && u.ejectedWaiting {
		u.ejectedUntil = now
	}
}

// Failed records an answer with which the upstream reports that it can't serve.
func (s *State) Failed(now time.Time, service string, c member.Candidate) {
	svc := s.service(service)
	svc.addFailure(now, svc.upstream(c))
}

// Ended records that a request that was sent to an upstream has ended. waited is how long the request waited for a
// first byte that did not arrive; 0 if it arrived.
func (s *State) Ended(now time.Time, service string, c member.Candidate, waited time.Duration) {
	svc := s.service(service)
	u := svc.upstream(c)
	u.inFlight = max(0, u.inFlight-1)
	u.endedSince++
	// An aborted wait shows that the upstream is slow only if it was longer than the mean first-byte time.
	if waited > 0 && waited > u.latency.mean() {
		took := firstByte{own: waited, inVain: true}
		if u.runTime.samples > 0 {
			took.run = waited // The agent measured nothing. An upstream that hangs would otherwise keep its last mean.
		}
		svc.addSample(now, u, took)
	}
}

// Reported records an agent's load report.
func (s *State) Reported(now time.Time, service string, c member.Candidate, r Report) {
	svc := s.service(service)
	u := svc.upstream(c)
	// A report of an earlier instance of the agent that it is shutting down does not apply to the present one.
	r.Leaving = r.Leaving && c.Incarnation == u.candidate.Incarnation
	u.reported(now, r)
	svc.prefixes.apply(now, u, r.Cache)
}

// AgentLeaving records that an instance of an agent accepts no new requests because it is shutting down. This takes
// precedence over the host list and the agent's advertisement.
func (s *State) AgentLeaving(now time.Time, c member.Candidate) {
	for _, svc := range s.services {
		for _, u := range svc.byKey {
			if u.candidate.Address == c.Address && u.candidate.Incarnation == c.Incarnation {
				u.leavingUntil = now.Add(LeavingMaxAge)
			}
		}
	}
}

// CachePosition identifies the last change of an upstream's prefix cache that this entry has received.
func (s *State) CachePosition(service string, c member.Candidate) CachePosition {
	return s.service(service).upstream(c).cache
}

// TotalLoad returns the estimated number of requests in flight at all known upstreams of a service, and the sum of
// their limits.
func (s *State) TotalLoad(now time.Time, key string) (load, limit int) {
	for _, u := range s.service(key).byKey {
		load += u.load(now)
		limit += u.limit()
	}
	return load, limit
}

func (s *State) service(key string) *service {
	svc := s.services[key]
	if svc == nil {
		svc = newService()
		s.services[key] = svc
	}
	return svc
}

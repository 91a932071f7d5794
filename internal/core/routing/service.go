package routing

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
)

const (
	// LoadBoundFactor is the maximum load, as a multiple of the mean load, up to which an upstream is chosen by prefix.
	LoadBoundFactor = 1.25
	// MinLoadBound is the load, in requests, below which an upstream may always be chosen by prefix, however idle the
	// others are.
	MinLoadBound = 4
	// maxStaleUpstreams is the number of upstreams that are no longer candidates at which they are dropped.
	maxStaleUpstreams = 64
)

// tierCount is the number of tiers that Pick searches in order.
const tierCount = 4

// service is the state that this entry keeps of one service.
type service struct {
	// list is the list of candidates from which the tiers were computed.
	list  []member.Candidate
	tiers [tierCount][]*upstream
	// byKey holds the upstreams by Key, including those that are no longer candidates until they are dropped.
	byKey    map[string]*upstream
	prefixes prefixIndex
	// peers is the median of the first-byte times that this entry measured, and runPeers of those that agents reported.
	peers, runPeers peerLatency
	// scratch is the buffer that every call of withCapacity reuses.
	scratch []*upstream
}

func newService() *service {
	return &service{byKey: map[string]*upstream{}, prefixes: newPrefixIndex()}
}

func (svc *service) upstream(c member.Candidate) *upstream {
	key := Key(c)
	u := svc.byKey[key]
	if u == nil {
		u = newUpstream(c)
		svc.byKey[key] = u
	}
	return u
}

// updatedService returns the service with its tiers computed from the candidates.
func (s *State) updatedService(key string, candidates []member.Candidate) *service {
	svc := s.service(key)
	if sameSlice(svc.list, candidates) {
		return svc
	}
	svc.list = candidates
	svc.dropStale(candidates)
	local, region, rest := s.byDistance(svc, candidates)
	subset := Subset(s.Self.Name, s.entries, len(local), func(i int) uint64 { return local[i].hash })
	inSubset := make(map[int]bool, len(subset))
	for _, i := range subset {
		inSubset[i] = true
	}
	svc.tiers = [tierCount][]*upstream{2: region, 3: rest}
	for i, u := range local {
		if inSubset[i] {
			svc.tiers[0] = append(svc.tiers[0], u)
			continue
		}
		svc.tiers[1] = append(svc.tiers[1], u)
	}
	return svc
}

// sameSlice reports whether two lists share their backing array. That is enough to detect a change, because the
// directory makes a new slice for each change.
func sameSlice(a, b []member.Candidate) bool {
	if len(a) != len(b) || a == nil {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// byDistance updates the upstreams from the candidates and splits them into those of this entry's data centre, those of
// the rest of its region, and all others.
func (s *State) byDistance(svc *service, candidates []member.Candidate) (local, region, rest []*upstream) {
	for _, c := range candidates {
		u := svc.upstream(c)
		if reloaded(u.candidate, c) {
			u.cacheEpoch++
		}
		if reloaded(u.candidate, c) || u.candidate.Incarnation != c.Incarnation {
			u.leavingUntil = time.Time{}
		}
		if u.candidate.Incarnation != c.Incarnation {
			u.runTime = latency{} // The agent measured it, and the new one may be of a release that doesn't.
		}
		u.candidate = c
		switch {
		case c.Place == s.Self.Place:
			local = append(local, u)
		case c.Region == s.Self.Region:
			region = append(region, u)
		default:
			rest = append(rest, u)
		}
	}
	return local, region, rest
}

// reloaded reports whether an upstream's weights were loaded again. Its cache is then empty, and it accepts requests
// again. A restarted agent adopts the weights that its engine has; this changes only the incarnation.
func reloaded(old, now member.Candidate) bool {
	return old.Upstream.Generation != now.Upstream.Generation
}

// dropStale drops upstreams that are not among the candidates, once there are maxStaleUpstreams of them. It keeps those
// with requests in flight.
func (svc *service) dropStale(candidates []member.Candidate) {
	if len(svc.byKey) < len(candidates)+maxStaleUpstreams {
		return
	}
	present := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		present[Key(c)] = true
	}
	for key, u := range svc.byKey {
		if !present[key] && u.inFlight == 0 {
			delete(svc.byKey, key)
		}
	}
}

// withCapacity returns the upstreams of a tier that can take q now: those below their load limit or, if q allows more, all
// of them. Ejected upstreams are included only if includeEjected is set. exists reports whether the tier has an upstream
// that was not tried and is not shutting down, whatever its load.
func (svc *service) withCapacity(now time.Time, tier []*upstream, q Query, includeEjected bool) (list []*upstream, exists bool) {
	list = svc.scratch[:0]
	for _, u := range tier {
		if len(q.Tried) > 0 && q.Tried[u.key] || !u.leavingUntil.IsZero() && now.Before(u.leavingUntil) {
			continue
		}
		exists = true
		u.estimate = u.load(now)
		if (u.estimate < u.limit() || q.OverLimit) && (svc.eligible(now, u) || includeEjected) {
			list = append(list, u)
		}
	}
	svc.scratch = list
	return list, exists
}

// cost returns the cost by which two random upstreams are compared. It is the load including the new request, multiplied
// by the slowness if the upstream is slower than its peers.
func (svc *service) cost(now time.Time, u *upstream) float64 {
	return float64(u.estimate+1) * math.Max(1, svc.slowness(now, u))
}

// byPrefix returns an upstream for a prefix among those whose load is below the bound; nil if there is none. The owner is
// the first of them in the prefix's rendezvous order. byPrefix returns the owner if it probably has the prefix in its
// cache. Otherwise it returns another upstream that probably has the prefix or, if there is none, the owner.
func (svc *service) byPrefix(now time.Time, prefix uint64, usable []*upstream) *upstream {
	bound := svc.loadBound(usable)
	within := func(u *upstream) bool { return u.estimate < bound }
	owner := rendezvous(prefix, usable, within)
	if owner == nil {
		return nil
	}
	cached := svc.prefixes.bestHolder(now, prefix, func(u *upstream) bool { return u == owner })
	if cached != nil {
		return owner
	}
	other := svc.prefixes.bestHolder(now, prefix, func(u *upstream) bool { return within(u) && contains(usable, u) })
	if other != nil {
		return other
	}
	return owner
}

// rendezvous returns the first upstream in the prefix's rendezvous order that ok accepts; nil for none.
func rendezvous(prefix uint64, list []*upstream, ok func(*upstream) bool) *upstream {
	var best *upstream
	var highest uint64
	for _, u := range list {
		score := mix(u.hash ^ prefix)
		if (best == nil || score > highest) && ok(u) {
			best, highest = u, score
		}
	}
	return best
}

// loadBound returns the load, in requests, below which an upstream may be chosen by prefix.
func (svc *service) loadBound(usable []*upstream) int {
	total := 1
	for _, u := range usable {
		total += u.estimate
	}
	mean := float64(total) / float64(len(usable))
	return max(MinLoadBound, int(math.Ceil(LoadBoundFactor*mean)))
}

func contains(list []*upstream, u *upstream) bool {
	for _, other := range list {
		if other == u {
			return true
		}
	}
	return false
}

// mix mixes the bits of a hash with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

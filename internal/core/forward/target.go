package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// target is an upstream as this entry sees it.
type target struct {
	*catalog.Upstream
	load *load
	// engine is what the manifest says of it; nil for an upstream of a plain service.
	engine *catalog.Engine
	// region is the one that its data centre is in, empty for a data centre that the settings do not name.
	region string
	// coldRate is what its service says; see catalog.Service.
	coldRate float64
	// distance is 0 in this data centre, 1 in this region, 2 elsewhere.
	distance int
	// unasked is set when its agent is not asked for its load, because the entry greets too many others.
	unasked bool
	// superseded is set when another upstream has its address by now.
	superseded bool
	// evacuated is set while the operator evacuates its data centre.
	evacuated bool
	// sharers is how many entries may give it work, as far as agents have counted them.
	sharers int
	// readAhead is the policy's; see Policy.
	readAhead time.Duration
	// hash is the upstream's, for an order that differs from request to request.
	hash uint64
}

// targets are the upstreams by service, derived from the catalog, the manifest and the greeting. They are made anew when one of these
// changes: each request looks at all upstreams of its service.
type targets struct {
	byService map[string][]*target
	changes   uint64
	manifest  *catalog.Manifest
	entries   int
}

// targetsOf returns the upstreams of a service, the nearest first.
func (s *State) targetsOf(now time.Time, service string) []*target {
	t := &s.targets
	if t.byService == nil || t.changes != s.Catalog.Changes || t.manifest != s.Catalog.Manifest || t.entries != s.entries {
		*t = targets{byService: map[string][]*target{}, changes: s.Catalog.Changes, manifest: s.Catalog.Manifest, entries: s.entries}
		for _, u := range s.Catalog.Upstreams {
			made := s.target(u)
			s.paceCold(now, made)
			t.byService[u.Service] = append(t.byService[u.Service], made)
		}
		for _, list := range t.byService {
			slices.SortFunc(list, func(a, b *target) int { return cmp.Or(a.distance-b.distance, cmp.Compare(a.ID, b.ID)) })
		}
	}
	return t.byService[service]
}

// targetsFor returns the upstreams of a request's service in the regions in which the request may be, the nearest first. Every search for an upstream starts here.
func (s *State) targetsFor(now time.Time, r *request) []*target {
	all := s.targetsOf(now, r.service)
	if r.bound.Free() {
		return all
	}
	var allowed []*target
	for _, t := range all {
		if r.bound.Allows(t.region) {
			allowed = append(allowed, t)
		}
	}
	return allowed
}

// target returns an upstream with what is derived of it.
func (s *State) target(u *catalog.Upstream) *target {
	t := &target{Upstream: u, load: s.load(u.Life()), distance: s.distance(u), readAhead: s.Self.Policy.ReadAhead, hash: step.Score(u.ID, "")}
	t.region = s.Self.Regions[u.DataCentre]
	t.sharers = s.entries
	if service := s.service(u); service != nil {
		t.engine, t.coldRate = service.Engine, service.ColdRate
	}
	t.superseded = s.Catalog.Superseded(u)
	t.evacuated = s.Catalog.Evacuated(u.DataCentre)
	t.unasked = s.greeted != nil && !s.greeted[u.ID] && t.engine != nil
	return t
}

// service returns what the manifest says of an upstream's service; nil when it says nothing.
func (s *State) service(u *catalog.Upstream) *catalog.Service {
	if s.Catalog.Manifest == nil {
		return nil
	}
	return s.Catalog.Manifest.Services[u.Service]
}

// distance returns how far away an upstream is; see target.
func (s *State) distance(u *catalog.Upstream) int {
	switch {
	case u.DataCentre == s.Self.DataCentre:
		return 0
	case s.Self.Regions[u.DataCentre] == s.Self.Region:
		return 1
	}
	return 2
}

// stranger tells whether nobody tells this entry of the engine's load.
func (t *target) stranger() bool { return t.unasked && t.load.toldAt.IsZero() }

// leaving tells whether the upstream shuts down, as the store says or it says itself, whichever comes first. One that does not say when it
// started may be another life under the same id after a while, and is tried again.
func (t *target) leaving(now time.Time) bool {
	if t.Draining {
		return true
	}
	said := !t.load.leftAt.IsZero()
	return said && (t.Born > 0 || now.Sub(t.load.leftAt) < wordKept)
}

// closed tells whether the upstream gets no new work until further notice.
func (t *target) closed(now time.Time) bool { return t.evacuated || t.superseded || t.leaving(now) }

// usable tells whether the upstream could take a request, room or no; required is the version that the request must begin on.
func (t *target) usable(now time.Time, r *request, required int64) bool {
	if t.closed(now) || now.Before(t.load.avoid) || !t.load.backoff.allows(now) || len(r.tried) > 0 && r.tried[t.Life()] {
		return false
	}
	if r.model == "" {
		return true
	}
	if !t.holds(r.tokens) {
		return false
	}
	held := t.held(now, r.model)
	return !t.load.closing(now) && held > 0 && held >= required
}

// loading tells whether an engine takes nothing now and will in a moment: it loads its weights in some 0.4 s. When no other can be used
// it is worth the wait for room.
func (t *target) loading(now time.Time, r *request) bool {
	return r.model != "" && !t.closed(now) && t.load.closing(now)
}

// backSoon tells whether an upstream that this entry stays away from takes requests again within a time.
func (t *target) backSoon(now time.Time, within time.Duration) bool {
	b := &t.load.backoff
	return !t.closed(now) && !b.allows(now) && b.left(now) <= within
}

// held is the version of a model that an engine holds; its agent knows it sooner than the store.
func (t *target) held(now time.Time, model string) int64 {
	if t.load.heard(now) {
		return t.load.told.Versions[model]
	}
	return t.Versions[model]
}

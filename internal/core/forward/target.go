package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// target is an upstream from this entry's point of view.
type target struct {
	*catalog.Upstream
	load *load
	// engine is what the manifest declares for the engine; nil for an upstream of a plain service.
	engine *catalog.Engine
	// region is the region of its data centre; empty if the settings don't name the data centre.
	region string
	// coldRate is the service's cold rate in requests per second; see catalog.Service.
	coldRate float64
	// distance is 0 in this data centre, 1 in this region, 2 elsewhere.
	distance int
	// noHeartbeat is set if this entry sends its agent no heartbeats, and so gets no load reports, because there are too many
	// agents.
	noHeartbeat bool
	// superseded is set if another upstream has its address now.
	superseded bool
	// evacuated is set while the operator evacuates its data centre.
	evacuated bool
	// entries is how many entries may send it requests, as estimated from load reports.
	entries int
	// prefillAhead is Policy.PrefillAhead.
	prefillAhead time.Duration
	// hash is the upstream's hash, which yields an order that differs between requests.
	hash uint64
}

// targets caches the upstreams by service. They are derived from the catalog, the manifest and the heartbeat targets, and rebuilt
// when one of these changes: each request examines all upstreams of its service.
type targets struct {
	byService        map[string][]*target
	changes          uint64
	manifest         *catalog.Manifest
	estimatedEntries int
}

// targetsOf returns the upstreams of a service, the nearest first.
func (s *State) targetsOf(now time.Time, service string) []*target {
	t := &s.targets
	if t.byService == nil || t.changes != s.Catalog.ChangeCount || t.manifest != s.Catalog.Manifest || t.estimatedEntries != s.estimatedEntries {
		*t = targets{byService: map[string][]*target{}, changes: s.Catalog.ChangeCount, manifest: s.Catalog.Manifest, estimatedEntries: s.estimatedEntries}
		for _, u := range s.Catalog.Upstreams {
			made := s.target(u)
			s.setColdPacer(now, made)
			t.byService[u.Service] = append(t.byService[u.Service], made)
		}
		for _, list := range t.byService {
			slices.SortFunc(list, func(a, b *target) int { return cmp.Or(a.distance-b.distance, cmp.Compare(a.ID, b.ID)) })
		}
	}
	return t.byService[service]
}

// targetsFor returns the upstreams of a request's service in the regions in which the request may be, the nearest first. Every
// search for an upstream must use it.
func (s *State) targetsFor(now time.Time, r *request) []*target {
	all := s.targetsOf(now, r.service)
	if r.homes.Unrestricted() {
		return all
	}
	var allowed []*target
	for _, t := range all {
		if r.homes.Allows(t.region) {
			allowed = append(allowed, t)
		}
	}
	return allowed
}

// target returns an upstream with the values derived from it.
func (s *State) target(u *catalog.Upstream) *target {
	t := &target{Upstream: u, load: s.load(u.Instance()), distance: s.distance(u), prefillAhead: s.Self.Policy.PrefillAhead, hash: step.Score(u.ID, "")}
	t.region = s.Self.Regions[u.DataCentre]
	t.entries = s.estimatedEntries
	if service := s.service(u); service != nil {
		t.engine, t.coldRate = service.Engine, service.ColdRate
	}
	t.superseded = s.Catalog.Superseded(u)
	t.evacuated = s.Catalog.Evacuated(u.DataCentre)
	t.noHeartbeat = s.heartbeatTargets != nil && !s.heartbeatTargets[u.ID] && t.engine != nil
	return t
}

// service returns what the manifest declares for an upstream's service, or nil.
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

// unreported reports whether this entry has never received a load report for the engine, and sends its agent no heartbeats.
func (t *target) unreported() bool { return t.noHeartbeat && t.load.reportedAt.IsZero() }

// leaving reports whether the upstream is shutting down, according to the store or to itself, whichever says so first. An upstream
// without a start time may be a new instance under the same ID after a while, so it is tried again.
func (t *target) leaving(now time.Time) bool {
	if t.Draining {
		return true
	}
	said := !t.load.leavingAt.IsZero()
	return said && (t.StartedAt > 0 || now.Sub(t.load.leavingAt) < stateLifetime)
}

// inactive reports whether the upstream gets no new requests until further notice.
func (t *target) inactive(now time.Time) bool { return t.evacuated || t.superseded || t.leaving(now) }

// usable reports whether the upstream could accept a request, disregarding its free capacity. The request must start on the
// required version or a newer one.
func (t *target) usable(now time.Time, r *request, required int64) bool {
	if t.inactive(now) || now.Before(t.load.avoidUntil) || !t.load.backoff.allows(now) || len(r.tried) > 0 && r.tried[t.Instance()] {
		return false
	}
	if r.model == "" {
		return true
	}
	if !t.fitsMemory(r.tokens) {
		return false
	}
	held := t.heldVersion(now, r.model)
	return !t.load.notAccepting(now) && held > 0 && held >= required
}

// reloading reports whether an engine does not accept requests now but soon will: loading weights takes about 0.4 s. If no other
// engine can be used, it is worth waiting for.
func (t *target) reloading(now time.Time, r *request) bool {
	return r.model != "" && !t.inactive(now) && t.load.notAccepting(now)
}

// backoffEndsWithin reports whether an upstream in backoff accepts requests again within a duration.
func (t *target) backoffEndsWithin(now time.Time, within time.Duration) bool {
	b := &t.load.backoff
	return !t.inactive(now) && !b.allows(now) && b.remaining(now) <= within
}

// heldVersion returns the version of a model that an engine holds. Its agent knows it sooner than the store.
func (t *target) heldVersion(now time.Time, model string) int64 {
	if t.load.hasReport(now) {
		return t.load.report.Versions[model]
	}
	return t.Versions[model]
}

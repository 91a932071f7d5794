package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// upstreamView is an upstream as this entry sees it: its registration, its load, and what the manifest declares for it.
type upstreamView struct {
	*catalog.Upstream
	load *loadState
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
	// superseded is set if the upstream's registration is superseded; see catalog.State.Superseded.
	superseded bool
	// evacuated is set while the operator evacuates its data centre.
	evacuated bool
	// entries is how many entries may send it requests, as estimated from load reports.
	entries int
	// prefillAhead is Policy.PrefillAhead.
	prefillAhead time.Duration
	// speeds are the usual times of its service's engines; nil for a plain service and where the setting uneven-engines is off.
	speeds *serviceSpeed
	// hash is the upstream's hash, which yields an order that differs between requests.
	hash uint64
}

// viewCache caches the views of the upstreams by service, since each request examines all upstreams of its service. The views are
// derived from the catalog, the manifest, the heartbeat targets and the estimated number of entries, and rebuilt when one of these
// changes.
type viewCache struct {
	byService map[string][]*upstreamView
	// firstIn are the views of byService in another order; see viewsFirstIn.
	firstIn          map[firstKey][]*upstreamView
	changes          uint64
	manifest         *catalog.Manifest
	estimatedEntries int
}

// viewsOf returns the views of a service's upstreams, the nearest first.
func (s *State) viewsOf(now time.Time, service string) []*upstreamView {
	v := &s.views
	if v.byService == nil || v.changes != s.Catalog.ChangeCount || v.manifest != s.Catalog.Manifest || v.estimatedEntries != s.estimatedEntries {
		*v = viewCache{byService: map[string][]*upstreamView{}, changes: s.Catalog.ChangeCount, manifest: s.Catalog.Manifest, estimatedEntries: s.estimatedEntries}
		for _, u := range s.Catalog.Upstreams {
			made := s.view(u)
			s.setColdPacer(now, made)
			v.byService[u.Service] = append(v.byService[u.Service], made)
		}
		for _, list := range v.byService {
			slices.SortFunc(list, func(a, b *upstreamView) int { return cmp.Or(a.distance-b.distance, cmp.Compare(a.ID, b.ID)) })
		}
	}
	return v.byService[service]
}

// viewsFor returns the views of the upstreams of a request's service in the regions in which the request may be: first those in the data
// centre that the plan names for it, then the nearest.
// Every search for an upstream must use it.
func (s *State) viewsFor(now time.Time, r *request) []*upstreamView {
	all := s.viewsFirstIn(now, r.service, r.moveTo)
	if r.homes.Unrestricted() {
		return all
	}
	var allowed []*upstreamView
	for _, v := range all {
		if r.homes.Allows(v.region) {
			allowed = append(allowed, v)
		}
	}
	return allowed
}

// view returns the view of an upstream with its present values.
func (s *State) view(u *catalog.Upstream) *upstreamView {
	v := &upstreamView{Upstream: u, load: s.loadState(u.Instance()), distance: s.distance(u), prefillAhead: s.Self.Policy.PrefillAhead, hash: step.Score(u.ID, "")}
	v.region = s.Self.Regions[u.DataCentre]
	v.entries = s.estimatedEntries
	if service := s.service(u); service != nil {
		v.engine, v.coldRate = service.Engine, service.ColdRate
	}
	v.speeds = s.serviceSpeedOf(v)
	v.superseded = s.Catalog.Superseded(u)
	v.evacuated = s.Catalog.Evacuated(u.DataCentre)
	v.noHeartbeat = s.heartbeatTargets != nil && !s.heartbeatTargets[u.ID] && v.engine != nil
	return v
}

// service returns what the manifest declares for an upstream's service, or nil.
func (s *State) service(u *catalog.Upstream) *catalog.Service {
	if s.Catalog.Manifest == nil {
		return nil
	}
	return s.Catalog.Manifest.Services[u.Service]
}

// distance returns how far away an upstream is; see upstreamView.
func (s *State) distance(u *catalog.Upstream) int {
	switch {
	case u.DataCentre == s.Self.DataCentre:
		return 0
	case s.Self.Regions[u.DataCentre] == s.Self.Region:
		return 1
	}
	return 2
}

// unreported reports whether this entry has never received a load report for the engine and expects none, since it sends the
// engine's agent no heartbeats.
func (v *upstreamView) unreported() bool { return v.noHeartbeat && v.load.reportedAt.IsZero() }

// leaving reports whether the upstream is shutting down. The store or the upstream itself may report that first. In this package,
// "leaving" is said of an upstream and "shutting down" of this process; "draining" is only the store's field for a leaving upstream.
//
// An upstream without a start time may be a new instance under the same ID after a while, so it is tried again.
func (v *upstreamView) leaving(now time.Time) bool {
	if v.Draining {
		return true
	}
	said := !v.load.leavingAt.IsZero()
	return said && (v.StartedAt > 0 || now.Sub(v.load.leavingAt) < stateLifetime)
}

// inactive reports whether the upstream gets no new requests until further notice.
func (v *upstreamView) inactive(t time.Time) bool { return v.evacuated || v.superseded || v.leaving(t) }

// usable reports whether the upstream could accept a request, disregarding its free capacity. The request must start on the
// required version or a newer one.
func (v *upstreamView) usable(now time.Time, r *request, required int64) bool {
	return !now.Before(v.load.avoidUntil) && !v.silentFor(now, r) && v.accepts(now, r, required)
}

// usableAsLastResort reports whether the upstream could accept a request for which no other upstream is usable: it is avoided since it
// left a request unanswered, but it answers others, or it is silent and the request may be its probe.
func (v *upstreamView) usableAsLastResort(now time.Time, r *request, required int64) bool {
	slow := now.Before(v.load.avoidUntil) && v.answersOthers(now, r)
	return (slow || v.probedAsLastResort(now, r)) && v.accepts(now, r, required)
}

// answersOthers reports whether the upstream left the last request unanswered and yet sent something of an answer within the time for which
// this request would wait for its own. Such an upstream is slow or overloaded. One that crashed or hangs has been silent for longer, and
// one that fails or declines its requests is left alone: it would only do the same again.
func (v *upstreamView) answersOthers(now time.Time, r *request) bool {
	return v.load.unanswered && now.Sub(v.load.heardAt) < defaultFirstEventTimeout(r.route)
}

// accepts reports whether the upstream could accept a request, disregarding its free capacity and its recent failures.
func (v *upstreamView) accepts(now time.Time, r *request, required int64) bool {
	if v.inactive(now) || !v.load.backoff.allows(now) || len(r.tried) > 0 && r.tried[v.Instance()] {
		return false
	}
	if r.model == "" {
		return true
	}
	if !v.fitsMemory(r.tokens) {
		return false
	}
	held := v.heldVersion(now, r.model)
	return !v.load.notAccepting(now) && held > 0 && held >= required
}

// reloading reports whether an engine does not accept requests now but soon will: loading weights takes about 0.4 s. If no other
// engine can be used, the request waits for it.
func (v *upstreamView) reloading(now time.Time, r *request) bool {
	return r.model != "" && !v.inactive(now) && v.load.notAccepting(now)
}

// backoffEndsWithin reports whether an upstream in backoff accepts requests again within a duration.
func (v *upstreamView) backoffEndsWithin(now time.Time, within time.Duration) bool {
	b := &v.load.backoff
	return !v.inactive(now) && !b.allows(now) && b.remaining(now) <= within
}

// heldVersion returns the version of a model that an engine holds. Its agent knows it sooner than the store.
func (v *upstreamView) heldVersion(now time.Time, model string) int64 {
	if v.load.hasReport(now) {
		return v.load.report.Versions[model]
	}
	return v.Versions[model]
}

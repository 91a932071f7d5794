package catalog

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

// Upstream is the registration of an upstream of a service, as read from the store.
type Upstream struct {
	// ID identifies the upstream. A restarted upstream may reuse its ID; see Instance.
	ID string
	// StartedAt is the upstream's start time by its own clock, in milliseconds since 1970; 0 when it is unknown.
	StartedAt  int64
	Service    string
	Address    string
	DataCentre string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining is set when the upstream accepts no new requests.
	Draining bool
	// Versions maps each model to the version of its weights that the upstream holds completely.
	Versions map[string]int64
	// ColdRemaining is the remaining cold time according to the registration. ColdUntil is the resulting end of the cold time, set by
	// the reducer; see Service.
	ColdRemaining time.Duration
	ColdUntil     time.Time
	// Revision is the store revision of the registration.
	Revision storerev.Revision
	// drainingSince is the revision at which the instance was first known to drain; it is set by the reducer.
	drainingSince storerev.Revision
}

// Instance identifies one instance of an upstream, from its start to its end. Observations of one instance don't apply to the next.
type Instance struct {
	ID        string
	StartedAt int64
}

// Instance returns the instance that the registration describes.
func (u *Upstream) Instance() Instance { return Instance{ID: u.ID, StartedAt: u.StartedAt} }

// withColdUntil returns a copy of u with ColdUntil set. A revision that was read before, as in a repeated list, doesn't
// restart the cold time. A registration of another era of the store than old may be an older one of the same instance and doesn't end it.
func (u *Upstream) withColdUntil(now time.Time, old *Upstream) *Upstream {
	next := *u
	sameInstance := old != nil && old.StartedAt == u.StartedAt
	switch {
	case sameInstance && old.Revision == u.Revision:
		next.ColdUntil = old.ColdUntil
	case u.ColdRemaining > 0:
		next.ColdUntil = now.Add(u.ColdRemaining)
	}
	if sameInstance && !old.Revision.SameEra(u.Revision) && old.ColdUntil.After(next.ColdUntil) {
		next.ColdUntil = old.ColdUntil
	}
	return &next
}

// withDraining returns a copy of u that drains if the instance was known to drain in an earlier era of the store. An instance that drains
// never becomes ready again, so a registration that says so is an older one from the copy of which the store was restored.
func (u *Upstream) withDraining(old *Upstream) *Upstream {
	next := *u
	known := old != nil && old.Draining && old.StartedAt == u.StartedAt
	if known {
		next.drainingSince = old.drainingSince
	}
	if known && !old.drainingSince.SameEra(u.Revision) {
		next.Draining = true
	}
	if next.Draining && !known {
		next.drainingSince = u.Revision
	}
	return &next
}

// preferredOver reports whether u is the better match than other for an instance that started at startedAt.
func (u *Upstream) preferredOver(other *Upstream, startedAt int64) bool {
	if matches, otherMatches := u.StartedAt == startedAt, other.StartedAt == startedAt; startedAt > 0 && matches != otherMatches {
		return matches
	}
	return u.Revision.After(other.Revision)
}

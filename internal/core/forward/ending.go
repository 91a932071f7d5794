package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
)

// ending is why a request ends without an upstream's answer.
type ending struct {
	code   code.Code
	reason string
	// retryAfter is the delay after which the caller may retry; 0 if a retry is of no use.
	retryAfter time.Duration
}

// refreshAndCheck updates a request by the newest manifest, and reports whether it must not be sent, or not be sent again, and why. The
// update may choose another service; see applyManifest. It is called before each attempt: a request may wait for capacity and take
// several attempts, so the result of an earlier check may be seconds old.
func (s *State) refreshAndCheck(in step.Input, r *request) (ending, bool) {
	if end, forbidden := s.applyManifest(in, r); forbidden {
		return end, true
	}
	return s.quarantined(in, r)
}

// applyManifest updates a request's route, account, homes, service and model by the newest manifest. It chooses another service if the
// route no longer has the present one and no part of an answer was passed on. If the request must not be sent under the manifest,
// applyManifest leaves it unchanged and reports why. If the operator removed its route or account, or made the route non-repeatable,
// while the request was queued or in flight, that applies to its further attempts.
func (s *State) applyManifest(in step.Input, r *request) (ending, bool) {
	m := s.Catalog.Manifest
	if r.manifest == m {
		return ending{}, false
	}
	route := m.Route(r.host, r.path)
	if route == nil {
		return ending{code: code.NoSuchRoute, reason: fmt.Sprintf("no route for %s%s in manifest %d", r.host, r.path, m.Version)}, true
	}
	account := m.Account(r.key)
	if account == nil && m.HasAccounts && !route.Anonymous {
		return ending{code: code.UnknownKey, reason: fmt.Sprintf("the key belongs to no client account in manifest %d", m.Version)}, true
	}
	if r.possibleRuns > 0 && accountName(account) != accountName(r.account) {
		return ending{code: code.UnknownKey, reason: fmt.Sprintf("the key belongs to another client account in manifest %d", m.Version)}, true
	}
	bound := residency.NewBound(route.HomeRegions, accountHomes(account))
	if bound.Empty() {
		return ending{code: code.NoCommonHome, reason: fmt.Sprintf("route and client account have no home in common (%s) in manifest %d", bound, m.Version)}, true
	}
	r.manifest, r.route, r.account, r.homes = m, route, account, bound
	r.priority = route.Priority
	if account != nil && account.Priority != nil {
		r.priority = *account.Priority
	}
	if !r.partial && !route.Serves(r.service) { // Only the service that began an answer can continue it.
		r.service = route.PickService(in.Rand)
	}
	r.model = s.modelFor(r)
	return ending{}, false
}

// modelFor returns the model that a request is for: the one that its caller named, or else the only model of its service's engines.
func (s *State) modelFor(r *request) string {
	service := r.manifest.Services[r.service]
	if r.requestedModel != "" || service == nil || service.Engine == nil || len(service.Engine.Models) != 1 {
		return r.requestedModel
	}
	return service.Engine.Models[0]
}

// accountHomes returns the homes of a client account, or nil for a caller without an account.
func accountHomes(a *catalog.ClientAccount) residency.Regions {
	if a == nil {
		return nil
	}
	return a.HomeRegions
}

// accountName returns the name of a client account, or "" for a caller without an account.
func accountName(a *catalog.ClientAccount) string {
	if a == nil {
		return ""
	}
	return a.Name
}

package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
)

// bar is why a request must not be sent.
type bar struct {
	code code.Code
	why  string
	// after is when to come back; 0 when that is no use.
	after time.Duration
}

// barred tells whether a request must not be sent, or not any more. It is asked before each send: a request waits for room and is sent
// several times, and what was true as it arrived may be seconds old by then.
func (s *State) barred(in step.Input, r *request) (bar, bool) {
	if b, barred := s.follow(in, r); barred {
		return b, true
	}
	return s.heldBackFor(in, r)
}

// follow looks up a request's route, account and service in the newest manifest. What the operator took away or made unrepeatable while the
// request was with an upstream or waited holds for its further sends.
func (s *State) follow(in step.Input, r *request) (bar, bool) {
	m := s.Catalog.Manifest
	if r.manifest == m {
		return bar{}, false
	}
	route := m.Route(r.host, r.path)
	if route == nil {
		return bar{code: code.NoSuchRoute, why: fmt.Sprintf("no route for %s%s in manifest %d", r.host, r.path, m.Version)}, true
	}
	account := m.Account(r.key)
	if account == nil && m.HasAccounts && !route.Anonymous {
		return bar{code: code.UnknownKey, why: fmt.Sprintf("the key belongs to no client account in manifest %d", m.Version)}, true
	}
	if r.runs > 0 && nameOf(account) != nameOf(r.account) {
		return bar{code: code.UnknownKey, why: fmt.Sprintf("the key belongs to another client account in manifest %d", m.Version)}, true
	}
	bound := residency.Of(route.Homes, homesOf(account))
	if bound.Nowhere() {
		return bar{code: code.NoCommonHome, why: fmt.Sprintf("no region is a home of both (%s) in manifest %d", bound, m.Version)}, true
	}
	r.manifest, r.route, r.account, r.bound = m, route, account, bound
	if !r.partial && !route.Serves(r.service) { // Only the service that began an answer can go on with it.
		r.service = route.Pick(in.Rand)
	}
	r.model = s.modelFor(r)
	return bar{}, false
}

// modelFor is the model that a request is for: the one that its caller named, or else the only one of its service's engines.
func (s *State) modelFor(r *request) string {
	service := r.manifest.Services[r.service]
	if r.named != "" || service == nil || service.Engine == nil || len(service.Engine.Models) != 1 {
		return r.named
	}
	return service.Engine.Models[0]
}

// homesOf are the homes of a client account, none for a caller without one.
func homesOf(a *catalog.Account) residency.Regions {
	if a == nil {
		return nil
	}
	return a.Homes
}

// nameOf is the name of a client account, empty for a caller without one.
func nameOf(a *catalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// Package catalog holds the reducer for what a process knows from the platform's store: the operator's manifest, the registered
// upstreams, the evacuated data centres and the active versions of weights. Each item carries the store revision at which it
// was read and is never replaced by an older revision. The reducer is pure: see package step.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/residency"
)

// Kind determines whether a route's requests may run more than once.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "streaming"
)

// Share is one service of a route whose requests are split by weight.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route maps requests to services and holds the terms on which they are forwarded.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the route's requests. It starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares has a single element when the route isn't split.
	Shares []Share
	// Timeout is the maximum time that a caller waits for the answer; 0 when the route sets none.
	Timeout time.Duration
	// Objective is the latency objective: an answer within it counts in full.
	Objective time.Duration
	// GapObjective is the maximum gap between two events of a stream that meets its objective; 0 when it is unknown.
	GapObjective time.Duration
	// CallerTimeout is how long callers of a stream wait for the first event, and for each following one, before they disconnect;
	// 0 when it is unknown.
	CallerTimeout time.Duration
	// MaxUpstreams is the maximum number of upstreams on which one request may run. Attempts that certainly did not run, such as
	// declined ones, don't count.
	MaxUpstreams int
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Anonymous is set when the route accepts requests without an API key.
	Anonymous bool
	// Resumable is set when another upstream can continue a stream that broke off.
	Resumable bool
	// HomeRegions are the home regions of the route, to which its requests are confined; see package residency.
	HomeRegions residency.Regions
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Serves reports whether the route sends requests to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && (s.Weight > 0 || len(r.Shares) == 1) })
}

// Engine holds the properties of a service's model engines.
type Engine struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// MemoryTokens is the number of prompt and answer tokens that fit into an engine's memory; 0 when it is unknown.
	MemoryTokens int
	// PromptTokensPerSecond is the number of prompt tokens that an engine reads per second; 0 when it is unknown.
	PromptTokensPerSecond float64
	// MeanPromptTokens is the mean prompt length in tokens; 0 when it is unknown.
	MeanPromptTokens float64
	// MeanAnswerTokens is the mean length of an answer in tokens; 0 when it is unknown.
	MeanAnswerTokens float64
	// StepTime is the time that an engine takes for one token of an answer; 0 when it is unknown.
	StepTime time.Duration
	// ChunkBytes and Chunks are the size in bytes and the number of the chunks that make up a model's weights.
	ChunkBytes int64
	Chunks     int
	Layers     int
	// Models are the models that the service's engines can load.
	Models []string
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// Origin is the address of the weights origin when this service is the origin, else empty.
	Origin     string
	DataCentre string
	// HealthPath is the path of the health probe of the service's upstreams; empty if it names none.
	HealthPath string
	// ColdDuration is how long an upstream is cold after a start. ColdRate is the total rate, in requests per second, that a cold
	// upstream accepts from all entries together. Both are 0 where upstreams accept the full load from their start.
	ColdDuration time.Duration
	ColdRate     float64
}

// ClientAccount is a client account: the terms for the callers that present one of its API keys.
type ClientAccount struct {
	Name string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// HomeRegions are the home regions of the account, to which its requests are confined; see package residency.
	HomeRegions residency.Regions
}

// Manifest is one version of the operator's configuration.
type Manifest struct {
	// Version is the number that the operator gave this manifest.
	Version  int64
	Services map[string]*Service
	// Encoded is the manifest as the operator wrote it, to be passed on to other processes; empty for one that was not decoded.
	Encoded []byte
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// MaxIdleTime is how long a caller's connection may be idle; 0 if the manifest does not say.
	MaxIdleTime time.Duration
	// HasAccounts is set when callers must present an API key.
	HasAccounts bool
	// accounts maps API keys to client accounts.
	accounts map[string]*ClientAccount
	// routes maps each host to its routes, sorted by descending length of the prefix.
	routes map[string][]*Route
	// prioritized has the services whose requests have different priorities.
	prioritized map[string]bool
	// hasHomes is set if a route or a client account has home regions.
	hasHomes bool
}

// NewManifest returns a manifest with the given routes, and client accounts by API key.
func NewManifest(version int64, routes []*Route, accounts map[string]*ClientAccount) *Manifest {
	m := &Manifest{
		Version: version, accounts: accounts, routes: map[string][]*Route{}, Services: map[string]*Service{},
		prioritized: prioritizedServices(routes, accounts),
	}
	for _, r := range routes {
		m.routes[r.Host] = append(m.routes[r.Host], r)
	}
	for _, list := range m.routes {
		sortByPrefix(list)
	}
	m.noteHomes()
	return m
}

// prioritizedServices returns the services whose requests can have different priorities: those of the routes to the service for the
// callers without a priority of their own, and those of the accounts.
func prioritizedServices(routes []*Route, accounts map[string]*ClientAccount) map[string]bool {
	own, allHaveOwn := map[int]bool{}, len(accounts) > 0
	for _, a := range accounts {
		if a.Priority != nil {
			own[*a.Priority] = true
		} else {
			allHaveOwn = false
		}
	}
	priorities := map[string]map[int]bool{}
	for _, r := range routes {
		for _, share := range r.Shares {
			if priorities[share.Service] == nil {
				priorities[share.Service] = maps.Clone(own)
			}
			if !allHaveOwn || r.Anonymous {
				priorities[share.Service][r.Priority] = true
			}
		}
	}
	prioritized := map[string]bool{}
	for service, of := range priorities {
		if len(of) > 1 {
			prioritized[service] = true
		}
	}
	return prioritized
}

// Prioritized reports whether the requests of a service can have different priorities, so that their order matters.
func (m *Manifest) Prioritized(service string) bool { return m.prioritized[service] }

// HasHomes reports whether a route or a client account is bound to home regions.
func (m *Manifest) HasHomes() bool { return m.hasHomes }

// Route returns the route with the longest matching prefix among the routes of the host; nil for none.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account with the API key; nil for none.
func (m *Manifest) Account(key string) *ClientAccount {
	if key == "" {
		return nil
	}
	return m.accounts[key]
}

// PickService returns the service for a request to the route, chosen by weight. draw is a random number.
func (r *Route) PickService(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[0].Service
}

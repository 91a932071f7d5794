// Package catalog is the reducer for what an entry on the platform knows of the outside: the operator's manifest, the
// upstreams that registered themselves, and the versions of weights that are in force. Each belief carries the
// revision of the store it was read at and never goes back to an older one. It is pure: see package step.
package catalog

import (
	"slices"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/residency"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming answers are series of events.
	Streaming Kind = "streaming"
)

// Share is one service of a split route.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route says which requests go to which service, and how.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares has one entry for a plain route.
	Shares []Share
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer counts in full.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is in time; 0 when it is not known.
	GapObjective time.Duration
	// CallerPatience is how long callers of a stream wait for its first event, and for each next one, before they leave; 0 when it is not
	// known.
	CallerPatience time.Duration
	// MaxUpstreams is how many upstreams one request may be sent to.
	MaxUpstreams int
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Homes are the regions in which the route's requests may be; see package residency.
	Homes residency.Regions
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Serves tells whether the route's requests may go to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && (s.Weight > 0 || len(r.Shares) == 1) })
}

// Engine holds what a service says of its model engines; see Service.
type Engine struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// Tokens is how many tokens of prompts and answers an engine's memory holds; 0 when it is not known.
	Tokens int
	// ReadRate is how many tokens of prompts an engine reads in a second; 0 when it is not known.
	ReadRate float64
	// UsualPrompt is the mean length of the prompts in tokens; 0 when it is not known.
	UsualPrompt float64
	// ChunkBytes and Chunks are the pieces that the weights of a model consist of.
	ChunkBytes int64
	Chunks     int
	Layers     int
	// Models are the models that the service's engines can load.
	Models []string
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
	// Origin is the address of the origin of weights, for the service that is one.
	Origin     string
	DataCentre string
	// ColdFor is how long an upstream is cold after a start, and ColdRate how many requests a second it takes meanwhile from all entries
	// together; 0 where upstreams take all from their start on.
	ColdFor  time.Duration
	ColdRate float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's when it is set.
	Priority *int
	// Homes are the regions in which the account's requests may be; see package residency.
	Homes residency.Regions
}

// Manifest is what the operator decided, as of one version.
type Manifest struct {
	// Version is the operator's number of it.
	Version  int64
	Services map[string]*Service
	// MaxBody is the largest body of a request in bytes.
	MaxBody int64
	// HasAccounts is set when callers must show a key.
	HasAccounts bool
	// accounts are the client accounts by API key.
	accounts map[string]*Account
	// routes are the routes of a host, the longest prefix first.
	routes map[string][]*Route
}

// NewManifest returns a manifest of routes and of accounts by API key.
func NewManifest(version int64, routes []*Route, accounts map[string]*Account) *Manifest {
	m := &Manifest{Version: version, accounts: accounts, routes: map[string][]*Route{}, Services: map[string]*Service{}}
	for _, r := range routes {
		m.routes[r.Host] = append(m.routes[r.Host], r)
	}
	for _, list := range m.routes {
		sortByPrefix(list)
	}
	return m
}

// Route returns the route of a request, or nil: among the routes of its host the one with the longest prefix.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds an API key, or nil.
func (m *Manifest) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return m.accounts[key]
}

// Pick returns the service of a request to the route; draw is any random number.
func (r *Route) Pick(draw uint64) string {
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

// Package member is the reducer for cluster membership: which hosts exist, which upstreams they run and whether they
// accept requests. It combines the platform's host list, which lags, with the advertisements of the hosts and with the
// outcome of this process's own calls to them.
package member

import (
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// AdvertPrefix is the key prefix of the records with the fixed part of the hosts' advertisements (see
	// Advert.Fixed).
	AdvertPrefix = "advert/"
	// ListPrefix is the key prefix of the records with the lines of the host list.
	ListPrefix = "host/"
)

// UnreachableDuration is how long a host counts as unreachable after a failed call. It then gets no requests, unless all hosts of the
// service are unreachable. It is also the initial backoff of the exchanges with the host.
const UnreachableDuration = 2 * time.Second

// Role is the kind of a process: entry or agent. It is not the role of an engine, which is a setting.Role: prefill, decode or both.
type Role string

// The roles of processes.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Listed is one line of the platform's list of hosts.
type Listed struct {
	// Address is the address of the host's process.
	Address string `json:"address"`
	Role    Role   `json:"role"`
	// Place is the data centre of the host.
	Place  string `json:"place"`
	Region string `json:"region"`
	// State is Leaving for a host that is shutting down.
	State string `json:"state"`
}

// Leaving is the listed state of a host that is shutting down and accepts no new requests.
const Leaving = "leaving"

// Phase is the current state of an upstream.
type Phase string

// The phases of an upstream. A plain service is always Serving. An engine is in the phase that its agent decided on (see package
// rollout).
const (
	// Idle: the engine accepts no requests, and no order changes it. It has not been taken into service yet, or went out of
	// service, or drains: a draining engine still runs the requests that it accepted before.
	Idle Phase = "idle"
	// Loading: an order of the agent changes the engine's version or role. No requests run.
	Loading Phase = "loading"
	// Serving: the upstream accepts requests.
	Serving Phase = "serving"
	// Down: the engine does not answer, or its agent was superseded (see package incarnation).
	Down Phase = "down"
)

// Upstream is an engine or a plain service on the host of an agent.
type Upstream struct {
	Name    string       `json:"name"`
	Team    string       `json:"team"`
	Service string       `json:"service"`
	Kind    setting.Kind `json:"kind"`
	Phase   Phase        `json:"phase"`
	// Digest identifies the version of weights under which the requests of an engine run. Generation is the number of the
	// engine's load of that version.
	Digest     string `json:"digest,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Role is the role of an engine, not of a process: whether it does the prefill or the decoding of a request, or both.
	Role setting.Role `json:"role,omitempty"`
}

// Advert is an agent's advertisement of its host and of the upstreams on it.
type Advert struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	Role    Role   `json:"role"`
	Leaving bool   `json:"leaving,omitempty"`
	// Incarnation is the start time of the agent's process in nanoseconds (see core.Self), which identifies its instance. A
	// message for another instance is rejected.
	Incarnation uint64     `json:"incarnation,omitempty"`
	Upstreams   []Upstream `json:"upstreams,omitempty"`
	// Weights lists the versions that the host fails to fetch. The progress of the others is reported on request only.
	Weights []weights.Summary `json:"weights,omitempty"`
}

// Host is the known state of one host.
type Host struct {
	Listed
	// Advert is the host's advertisement, nil until its fixed part is received.
	Advert *Advert
	// UnreachableUntil is the time until which the host counts as unreachable after a failed call. A successful call resets it to
	// zero.
	UnreachableUntil time.Time
	// skipUntil is the end of the backoff in which this process does not choose the host for exchanges. It starts with
	// UnreachableDuration and doubles with each failure. failures counts the consecutive failed calls.
	skipUntil time.Time
	failures  int
	// fixed and phases are the two parts of the advertisement, as received; nil until then. Advert combines them.
	fixed  *Advert
	phases *Phases
	// unlistedSince is set while the host is known from its advertisement but not listed.
	unlistedSince time.Time
}

// State holds the known hosts.
type State struct {
	// Self is the address of this process.
	Self string
	// Place is the data centre of this process.
	Place string
	// Hosts holds the hosts by the address of their process. Only listed hosts are peers. The advertisement of an
	// unlisted host is kept until the host is listed, see OrphanRetention.
	Hosts map[string]*Host
	// addresses is the sorted list of the listed processes without this one.
	addresses []string
	index     index
	// peers are the exchange peers, see rankedPeers.
	peers record.Peers
	// rank is the position of this process in the rendezvous order of its data centre, see Rank.
	rank int
}

// NewState returns a state without hosts.
func NewState(self string) *State {
	return &State{Self: self, Hosts: map[string]*Host{}, index: newIndex()}
}

// ListRead is the event that the platform's host list was read.
type ListRead struct{ Hosts []Listed }

// CallFailed is the event that a host could not be reached or did not answer.
type CallFailed struct{ Address string }

// CallSucceeded is the event that a host answered.
type CallSucceeded struct{ Address string }

// Event marks the type as an event.
func (ListRead) Event() {}

// Event marks the type as an event.
func (CallFailed) Event() {}

// Event marks the type as an event.
func (CallSucceeded) Event() {}

// Reduce handles one input.
func (s *State) Reduce(in step.Input) {
	switch ev := in.Event.(type) {
	case CallFailed:
		if h := s.Hosts[ev.Address]; h != nil {
			h.recordFailure(in.Now)
			s.index.setUnreachable(ev.Address, h.UnreachableUntil)
		}
	case CallSucceeded:
		if h := s.Hosts[ev.Address]; h != nil {
			h.recordSuccess()
			s.index.setUnreachable(ev.Address, h.UnreachableUntil)
		}
	}
}

func (s *State) host(address string) *Host {
	h := s.Hosts[address]
	if h == nil {
		h = &Host{}
		s.Hosts[address] = h
	}
	return h
}

// ApplyRecords applies the changed records that hold host list lines, advertisements or phases. It reports whether there
// were any.
func (s *State) ApplyRecords(records []record.Record) bool {
	changed, listed := false, false
	for _, r := range records {
		switch {
		case strings.HasPrefix(r.Key, ListPrefix):
			s.applyListed(r)
			changed, listed = true, true
		case strings.HasPrefix(r.Key, AdvertPrefix):
			s.applyAdvert(r)
			changed = true
		case strings.HasPrefix(r.Key, record.PhasePrefix):
			s.applyPhases(r)
			changed = true
		}
	}
	if listed {
		s.updatePeers()
	}
	return changed
}

// Peers returns the addresses of the listed processes other than this one, sorted.
func (s *State) Peers() []string { return s.addresses }

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	Address  string
	Place    string
	Region   string
	Upstream Upstream
	// Incarnation identifies the instance of the agent that advertised the upstream.
	Incarnation uint64
}

// Candidates returns the upstreams of a service that can take requests now, sorted by address and name. The caller must
// not modify the returned slice: calls share it until the state changes.
func (s *State) Candidates(now time.Time, team, service string) []Candidate {
	return s.index.candidates(now, serviceName{team, service})
}

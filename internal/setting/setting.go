// Package setting defines the schema of an operator's setting: what one service of one team runs, and where.
package setting

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
)

// Prefix is the prefix of the keys of settings in the object API. A key is Prefix + team + "/" + service.
const Prefix = "settings/"

// MaxBytes bounds the size of an encoded setting, in bytes.
const MaxBytes = 64 << 10

// Kind is the kind of upstream: a model engine or a plain service.
type Kind string

// The kinds of upstream.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// Policy is the goal of a burst of weights: to finish early or to spare the origin.
type Policy string

// The policies of a burst. TimeFirst minimizes the time, OriginFirst the reads from the origin.
const (
	TimeFirst   Policy = "time"
	OriginFirst Policy = "origin"
)

// Fencing specifies whether the service's engines reject orders with an old fencing number.
type Fencing string

// The values of Fencing. FencingIgnored is for engines that accept orders with any fencing number.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Limits bounds what one client account may use.
type Limits struct {
	// Weight is the client account's share relative to the others; 1 when absent.
	Weight int `json:"weight,omitempty"`
	// Concurrency bounds the client account's in-flight requests in the whole fleet; 0 for no bound.
	Concurrency int `json:"concurrency,omitempty"`
}

// Setting is what one service runs, and where.
type Setting struct {
	Kind Kind `json:"kind"`
	// Model is the name of the model; empty for a plain service.
	Model string `json:"model,omitempty"`
	// Adapter is the name of the model's adapter; "none" when absent.
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of the weights; empty for a plain service.
	Version string `json:"version,omitempty"`
	// Digest is the manifest digest that model, adapter and version were resolved to when the setting was accepted.
	Digest string `json:"digest,omitempty"`
	// Places is the number of replicas by data centre.
	Places map[string]int `json:"places,omitempty"`
	// Policy is the goal of bursts of the weights; "time" when absent.
	Policy Policy `json:"policy,omitempty"`
	// Role is the phase of a request that the engines run; "both" when absent.
	Role Role `json:"role,omitempty"`
	// MaxUnavailable bounds the engines of the service that may be unavailable at the same time in a rollout; 1 when absent.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
	// NonIdempotent lists the calls that run at most once, each as a method or as "METHOD /path-prefix". It is ["POST"] when
	// absent from the setting of a plain service.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
	// Clients maps client accounts to their limits. "default" applies to all accounts that are not listed.
	Clients map[string]Limits `json:"clients,omitempty"`
	// Fencing specifies whether the engines check fencing numbers; "checked" when absent.
	Fencing Fencing `json:"fencing,omitempty"`
	// Change is the ID of the change that wrote this setting. If the answer to a write is lost, the writer reads the setting
	// and looks for this ID.
	Change string `json:"change,omitempty"`
	// Author is the operator who made the change.
	Author string `json:"author,omitempty"`
	// At is the time of the change by the operator's clock, for information only.
	At string `json:"at,omitempty"`
}

// validName matches the names of teams, services, data centres, hosts and regions.
var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s is a valid name: 1 to 63 characters of a-z, 0-9 and -, not starting with -.
func ValidName(s string) bool { return validName.MatchString(s) }

// Key returns the object key of a service's setting.
func Key(team, service string) string { return Prefix + team + "/" + service }

// SplitKey returns the team and service of an object key. ok is false if key is not the key of a setting.
func SplitKey(key string) (team, service string, ok bool) {
	rest, found := strings.CutPrefix(key, Prefix)
	if !found {
		return "", "", false
	}
	team, service, found = strings.Cut(rest, "/")
	return team, service, found && ValidName(team) && ValidName(service)
}

// Parse decodes a setting, applies the defaults and validates it.
func Parse(raw []byte) (*Setting, error) {
	if len(raw) > MaxBytes {
		return nil, code.Errorf(code.BadSetting, "setting", "%d bytes, at most %d", len(raw), MaxBytes)
	}
	s := &Setting{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, code.Errorf(code.BadSetting, "setting", "can't be read: %v", err)
	}
	s.applyDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// applyDefaults fills in the fields that an operator has left out. No other code does so.
func (s *Setting) applyDefaults() {
	if s.Kind == Plain && s.NonIdempotent == nil {
		s.NonIdempotent = []string{"POST"}
	}
	if s.Kind != Engine {
		return
	}
	if s.Adapter == "" {
		s.Adapter = "none"
	}
	if s.Policy == "" {
		s.Policy = TimeFirst
	}
	if s.MaxUnavailable == 0 {
		s.MaxUnavailable = 1
	}
	if s.Fencing == "" {
		s.Fencing = FencingChecked
	}
	if s.Role == "" {
		s.Role = RoleBoth
	}
}

func (s *Setting) check() error {
	switch s.Kind {
	case Engine:
		return s.checkEngine()
	case Plain:
		return s.checkPlain()
	default:
		return code.Errorf(code.BadSetting, "kind", "%q, want \"engine\" or \"plain\"", s.Kind)
	}
}

func (s *Setting) checkPlain() error {
	if s.Model != "" || s.Version != "" {
		return code.Errorf(code.BadSetting, "model", "a plain service runs no model; leave model and version out")
	}
	return s.checkCommon()
}

func (s *Setting) checkEngine() error {
	if s.Model == "" {
		return code.Errorf(code.BadSetting, "model", "empty, want the name of a model")
	}
	if s.Version == "" {
		return code.Errorf(code.BadSetting, "version", "empty, want a version of the model")
	}
	if s.Policy != TimeFirst && s.Policy != OriginFirst {
		return code.Errorf(code.BadSetting, "policy", "%q, want \"time\" or \"origin\"", s.Policy)
	}
	if s.Fencing != FencingChecked && s.Fencing != FencingIgnored {
		return code.Errorf(code.BadSetting, "fencing", "%q, want \"checked\" or \"ignored\"", s.Fencing)
	}
	if !s.Role.valid() {
		return code.Errorf(code.BadSetting, "role", "%q, want \"prefill\", \"decode\" or \"both\"", s.Role)
	}
	if s.MaxUnavailable < 1 {
		return code.Errorf(code.BadSetting, "max_unavailable", "%d, want at least 1", s.MaxUnavailable)
	}
	if len(s.Places) == 0 {
		return code.Errorf(code.BadSetting, "places", "empty, want replicas by place, such as {\"perth-a\": 12}")
	}
	return s.checkCommon()
}

func (s *Setting) checkCommon() error {
	for place, n := range s.Places {
		if !ValidName(place) {
			return code.Errorf(code.BadSetting, "places", "%q is not a place's name (a-z, 0-9, -)", place)
		}
		if n < 0 {
			return code.Errorf(code.BadSetting, "places."+place, "%d replicas, want 0 or more", n)
		}
	}
	for client, l := range s.Clients {
		if l.Weight < 0 || l.Concurrency < 0 {
			return code.Errorf(code.BadSetting, "clients."+client, "weight and concurrency want 0 or more")
		}
	}
	for _, rule := range s.NonIdempotent {
		if rule == "" {
			return code.Errorf(code.BadSetting, "non_idempotent", "empty rule, want a method such as \"POST\" or \"POST /bookings\"")
		}
	}
	return nil
}

// RunsAtMostOnce reports whether NonIdempotent lists a call, so that it must not run more than once.
func (s *Setting) RunsAtMostOnce(method, path string) bool {
	for _, rule := range s.NonIdempotent {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// SameWeights reports whether two settings have the same model, adapter and version.
func (s *Setting) SameWeights(t *Setting) bool {
	return s.Model == t.Model && s.Adapter == t.Adapter && s.Version == t.Version
}

package layout

import "github.com/google/uuid"

// Client is the share of a client account in the capacity of a service.
type Client struct {
	Weight      int `json:"weight"`      // relative to the other client accounts
	Concurrency int `json:"concurrency"` // 0 = unlimited
}

// Setting is the value of settings/TEAM/SERVICE as the demo applies it. The product adds the digest of the version.
type Setting struct {
	Kind           string            `json:"kind"`
	Model          string            `json:"model,omitempty"`
	Adapter        string            `json:"adapter,omitempty"`
	Version        string            `json:"version,omitempty"`
	Places         map[string]int    `json:"places,omitempty"` // replicas by data centre
	Policy         string            `json:"policy,omitempty"`
	MaxUnavailable int               `json:"max_unavailable,omitempty"`
	NonIdempotent  []string          `json:"non_idempotent,omitempty"`
	Clients        map[string]Client `json:"clients,omitempty"` // by client account
	Fencing        string            `json:"fencing,omitempty"`
	Change         string            `json:"change"` // id of the change
	Author         string            `json:"author"`
}

// ModelSetting returns a setting with one replica of the model on every host.
func ModelSetting(hosts []Host, version, policy string) Setting {
	return Setting{
		Kind:           "engine",
		Model:          Model,
		Adapter:        Adapter,
		Version:        version,
		Places:         replicas(hosts),
		Policy:         policy,
		MaxUnavailable: max(1, len(hosts)/maxUnavailableDivisor),
		Clients:        defaultClients(),
		Fencing:        "checked",
		Change:         uuid.NewString(),
		Author:         author,
	}
}

// PlainSetting returns the setting of the plain service. Its POST requests are not idempotent and must run only once.
func PlainSetting() Setting {
	return Setting{
		Kind:          "plain",
		NonIdempotent: []string{"POST"},
		Clients:       defaultClients(),
		Change:        uuid.NewString(),
		Author:        author,
	}
}

// replicas counts the hosts of each data centre.
func replicas(hosts []Host) map[string]int {
	counts := map[string]int{}
	for _, host := range hosts {
		counts[host.Place.Name]++
	}
	return counts
}

func defaultClients() map[string]Client {
	return map[string]Client{"default": {Weight: 1}}
}

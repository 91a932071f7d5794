// Package entry implements the process that accepts callers' requests behind the platform's balancer. It reads a request's
// head and the start of its body, has the core decide where the request goes, and streams the answer to the caller.
//
// The package belongs to the first product's path: internal/entry with core/request and core/routing, then internal/agent
// with core/run, and core/rollout for loading. On the users' platform, gateway with core/forward and hostagent with
// core/install do the same.
package entry

import (
	"flag"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/node"
)

const (
	defaultDeadline = 60 * time.Second
	defaultMaxBody  = 32 << 20
	defaultSettle   = 5 * time.Second
)

// Config holds the process settings of an entry.
type Config struct {
	node.Config
	// CallersListen is the address (IP:PORT) on which the entry accepts callers from the balancer.
	CallersListen string
	// DefaultDeadline applies to requests without a Deadline-Ms header.
	DefaultDeadline time.Duration
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// Routing is the policy for choosing upstreams. Policies other than the default are for experiments.
	Routing string
	// ReadinessDelay is how long an entry that shuts down keeps accepting requests after it reports itself as not ready.
	// It must exceed the interval of the balancer's readiness check.
	ReadinessDelay time.Duration
	// Claims holds the settings of at-most-once calls.
	Claims claim.Config
}

// Flags registers the flags of c on fs.
func (c *Config) Flags(fs *flag.FlagSet) {
	c.Config.Flags(fs)
	fs.StringVar(&c.CallersListen, "callers-listen", "127.0.0.1:0", "address for callers, IP:PORT")
	fs.DurationVar(&c.DefaultDeadline, "deadline", defaultDeadline, "deadline of a request without a Deadline-Ms header")
	fs.Int64Var(&c.MaxBodyBytes, "max-body", defaultMaxBody, "largest body of a request, in bytes")
	fs.StringVar(&c.Routing, "routing", string(routing.Affinity), "policy for choosing upstreams: affinity; random, least and two are for experiments")
	fs.DurationVar(&c.ReadinessDelay, "settle", defaultSettle, "how long a stopping entry accepts requests after it reports itself as not ready; longer than the balancer's check interval")
	fs.DurationVar(&c.Claims.Retention, "claim-retention", claim.DefaultRetention, "how long the record of a run is retained after the time in its UUIDv7 idempotency key; equal for all entries")
	fs.DurationVar(&c.Claims.UntimedRetention, "claim-untimed-retention", claim.DefaultUntimedRetention, "how long the record of a run with any other idempotency key is retained; equal for all entries")
}

// Check returns an error for the first setting that is missing or invalid.
func (c *Config) Check() error {
	c.Role = member.Entry
	if err := c.Config.Check(); err != nil {
		return err
	}
	if err := c.checkListener(); err != nil {
		return err
	}
	if c.DefaultDeadline <= 0 {
		return code.Errorf(code.BadProcessSetting, "-deadline", "%v, want more than 0", c.DefaultDeadline)
	}
	if !routing.ValidPolicy(routing.Policy(c.Routing)) {
		return code.Errorf(code.BadProcessSetting, "-routing", "%q, want affinity, random, least or two", c.Routing)
	}
	if c.ReadinessDelay < 0 {
		return code.Errorf(code.BadProcessSetting, "-settle", "%v, want 0 or more", c.ReadinessDelay)
	}
	if c.MaxBodyBytes <= 0 {
		return code.Errorf(code.BadProcessSetting, "-max-body", "%d, want more than 0", c.MaxBodyBytes)
	}
	if c.Claims.Retention < claim.MinRetention {
		return code.Errorf(code.BadProcessSetting, "-claim-retention", "%v, want at least %v", c.Claims.Retention, claim.MinRetention)
	}
	if c.Claims.UntimedRetention < claim.MinRetention {
		return code.Errorf(code.BadProcessSetting, "-claim-untimed-retention", "%v, want at least %v", c.Claims.UntimedRetention, claim.MinRetention)
	}
	return nil
}

// checkListener checks that the callers' address is valid and differs from the other listeners' addresses.
func (c *Config) checkListener() error {
	if err := config.CheckListen("callers-listen", c.CallersListen); err != nil {
		return err
	}
	if err := config.CheckDistinct("callers-listen", c.CallersListen, "peers-listen", c.PeersListen); err != nil {
		return err
	}
	return config.CheckDistinct("callers-listen", c.CallersListen, "operators-listen", c.OperatorsListen)
}

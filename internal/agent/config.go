// Package agent implements the process that runs on the same host as its upstreams. It receives requests from entries and
// executes them on the upstreams, shares weights with its peers, and sends load and role orders to its engines.
//
// The package belongs to the first product's path: internal/entry with core/request and core/routing, then internal/agent
// with core/run, and core/rollout for loading. On the users' platform, gateway with core/forward and hostagent with
// core/install do the same.
package agent

import (
	"flag"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/setting"
)

// defaultChunkMemory is the default memory budget for chunks, in bytes.
const defaultChunkMemory = 4 << 30

// Config holds the process settings of an agent.
type Config struct {
	node.Config
	// WeightStore and Origin are the base URLs of the sources of weights; one of them may be empty, not both.
	WeightStore string
	Origin      string
	// Upstreams lists the host's upstreams in the format of ParseUpstreams.
	Upstreams string
	// LinkRate limits the transfers in each direction of the host's link, in bytes per second; 0 for no limit.
	LinkRate int64
	// StalledAfter is how long a response that has started may deliver no byte although its upstream answers probes;
	// 0 for the default.
	StalledAfter time.Duration
	// MarkTimeout bounds the delivery of a suspect's mark to the entries, which precedes the report of the request's
	// failure; 0 for the default.
	MarkTimeout time.Duration
	// ChunkMemory is the memory budget for chunks, in bytes.
	ChunkMemory int64
	// Spread is how weights are distributed among agents, for experiments: tiers, swarm or direct; empty for tiers.
	// With NoYield set, transfers do not yield to live requests.
	Spread  string
	NoYield bool
	// Orders holds the intervals and timeouts of orders to engines; zero fields take the defaults.
	Orders rollout.Timing
}

// Flags declares the command-line flags of an agent on fs; parsing them sets the fields of c.
func (c *Config) Flags(fs *flag.FlagSet) {
	c.Config.Flags(fs)
	fs.StringVar(&c.WeightStore, "weight-store", "", "URL of the weight store, asked before the origin")
	fs.StringVar(&c.Origin, "origin", "", "URL of the origin of weights")
	fs.StringVar(&c.Upstreams, "upstreams", "", "the host's upstreams: TEAM/SERVICE=engine@URL or TEAM/SERVICE=plain@URL, with commas between")
	fs.Int64Var(&c.LinkRate, "link-rate", 0, "bytes a second of each direction of the host's link; 0 for no pacing")
	fs.DurationVar(&c.StalledAfter, "stalled-after", defaultStalledAfter, "how long a response that has started may deliver no byte although its upstream answers probes")
	fs.Int64Var(&c.ChunkMemory, "chunk-memory", defaultChunkMemory, "bytes of memory for chunks of weights")
	fs.StringVar(&c.Spread, "spread", string(weights.Tiers), "for experiments only: how weights spread, tiers, swarm or direct")
	fs.BoolVar(&c.NoYield, "no-yield", false, "for experiments only: transfers don't yield to live requests")
}

// Check returns an error for the first setting that is missing or invalid. It sets the role, and the default of Spread.
func (c *Config) Check() error {
	c.Role = member.Agent
	if err := c.Config.Check(); err != nil {
		return err
	}
	if c.WeightStore == "" && c.Origin == "" {
		return code.Errorf(code.ConflictingSettings, "-weight-store and -origin", "both empty, want at least one")
	}
	if c.LinkRate < 0 {
		return code.Errorf(code.BadProcessSetting, "-link-rate", "%d, want 0 or more", c.LinkRate)
	}
	if c.StalledAfter < 0 {
		return code.Errorf(code.BadProcessSetting, "-stalled-after", "%v, want 0 or more", c.StalledAfter)
	}
	if c.ChunkMemory <= 0 {
		return code.Errorf(code.BadProcessSetting, "-chunk-memory", "%d, want more than 0", c.ChunkMemory)
	}
	if c.Spread == "" {
		c.Spread = string(weights.Tiers)
	}
	if !weights.Mode(c.Spread).Valid() {
		return code.Errorf(code.BadProcessSetting, "-spread", "%q, want tiers, swarm or direct", c.Spread)
	}
	_, err := ParseUpstreams(c.Upstreams)
	return err
}

// ParseUpstreams parses a comma-separated list of TEAM/SERVICE=KIND@URL. The name of an upstream is the last path
// element of its URL and must be unique on the host.
func ParseUpstreams(text string) ([]rollout.Upstream, error) {
	var list []rollout.Upstream
	names := map[string]bool{}
	for _, part := range strings.Split(text, ",") {
		u, err := parseUpstream(part)
		if err != nil {
			return nil, err
		}
		if names[u.Name] {
			return nil, code.Errorf(code.ConflictingSettings, "-upstreams", "two upstreams are named %q", u.Name)
		}
		names[u.Name] = true
		list = append(list, u)
	}
	return list, nil
}

func parseUpstream(part string) (rollout.Upstream, error) {
	service, rest, ok := strings.Cut(part, "=")
	kind, url, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 {
		return rollout.Upstream{}, code.Errorf(code.BadProcessSetting, "-upstreams", "%q, want TEAM/SERVICE=engine@URL or =plain@URL", part)
	}
	team, name, ok := setting.SplitKey(setting.Prefix + service)
	if !ok {
		return rollout.Upstream{}, code.Errorf(code.BadProcessSetting, "-upstreams", "%q, want TEAM/SERVICE", service)
	}
	if setting.Kind(kind) != setting.Engine && setting.Kind(kind) != setting.Plain {
		return rollout.Upstream{}, code.Errorf(code.BadProcessSetting, "-upstreams", "kind %q, want engine or plain", kind)
	}
	if err := node.CheckURL("upstreams", url); err != nil {
		return rollout.Upstream{}, err
	}
	url = strings.TrimSuffix(url, "/")
	return rollout.Upstream{
		URL: url,
		Upstream: member.Upstream{
			Name: url[strings.LastIndex(url, "/")+1:], Team: team, Service: name, Kind: setting.Kind(kind),
		},
	}, nil
}

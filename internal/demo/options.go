package demo

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Rollout policies that a run may apply.
const (
	policyTime   = "time"
	policyOrigin = "origin"
)

const (
	defaultHosts = 12
	defaultSize  = 16 << 20
	// defaultChunkSize takes a host's link 31 ms at the default rate. This resembles a real model: 140 GB in 4096 chunks,
	// on a link that carries the model in two minutes, take 29 ms per chunk.
	defaultChunkSize = 128 << 10
	defaultShare     = 0.9
	defaultWindow    = 8 * time.Second
	hostCopies       = 2 // copies that a host's link carries in the window
	originCopies     = 4 // copies that the origin's link carries in the window
	maxHosts         = 50_000
)

// ByteSize is a number of bytes. As a flag it may have a suffix (KiB, MiB, GiB, kB, MB, GB, or K, M, G for powers of 1024).
type ByteSize int64

// String returns the number of bytes without a suffix.
func (s *ByteSize) String() string { return strconv.FormatInt(int64(*s), 10) }

// Set parses a number with or without a suffix.
func (s *ByteSize) Set(text string) error {
	number, unit := text, int64(1)
	for _, known := range byteUnits() {
		if trimmed, found := strings.CutSuffix(text, known.suffix); found {
			number, unit = trimmed, known.bytes
			break
		}
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil {
		return errors.Errorf("%q is not a size", text)
	}
	*s = ByteSize(value * float64(unit))
	return nil
}

type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits lists the suffixes. A suffix comes before the shorter ones that it ends with (KiB before B), because the
// first match is used.
func byteUnits() []byteUnit {
	return []byteUnit{
		{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30},
		{"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9},
		{"K", 1 << 10}, {"M", 1 << 20}, {"G", 1 << 30}, {"B", 1},
	}
}

// Options configures a run.
type Options struct {
	Hosts      int
	Size       ByteSize // of one version of the model
	ChunkSize  ByteSize
	Seed       uint64
	JSON       bool
	Policy     string
	Window     time.Duration // time in which the origin's link carries four copies of a version and a host's link two
	Second     bool          // apply the second version too
	Binaries   string        // directory with prebuilt binaries; empty = build them
	KillShare  float64       // share (0 to 1) of the agents that are killed during the burst
	KeepLogs   string        // directory for the processes' output; empty = discard it
	StoreEmpty bool          // the weight store has no content, so that all weights come from the origin
	Spread     string        // how weights spread: tiers, swarm or direct
	NoYield    bool          // transfers don't yield to live requests
	Share      float64       // share (0 to 1) of the chunks that both versions have in common
}

// ParseOptions parses and validates the command-line arguments, without the program's name.
func ParseOptions(args []string) (Options, error) {
	options := Options{Size: defaultSize, ChunkSize: defaultChunkSize}
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.IntVar(&options.Hosts, "hosts", defaultHosts, "number of hosts")
	flags.Var(&options.Size, "size", "size of a version, such as 16MiB")
	flags.Var(&options.ChunkSize, "chunk-size", "size of a chunk, such as 256KiB")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the content, the requests and the selection of agents to kill")
	flags.BoolVar(&options.JSON, "json", false, "print one line of JSON instead of a table")
	flags.StringVar(&options.Policy, "policy", policyTime, "time or origin")
	flags.DurationVar(&options.Window, "window", defaultWindow, "time in which the origin's link carries four copies of a version and a host's link two")
	flags.BoolVar(&options.Second, "second", false, "apply v2 after v1")
	flags.StringVar(&options.Binaries, "bin", "", "directory with the binaries samphireweir and standin; empty builds them")
	flags.Float64Var(&options.KillShare, "kill-share", 0, "share (0 to 1) of the agents that are killed with SIGKILL during the burst")
	flags.StringVar(&options.KeepLogs, "keep-logs", "", "directory for the processes' output; empty discards it")
	flags.BoolVar(&options.StoreEmpty, "store-empty", true, "the weight store has no content, so that all weights come from the origin")
	flags.StringVar(&options.Spread, "spread", "tiers", "how weights spread: tiers, swarm or direct")
	flags.BoolVar(&options.NoYield, "no-yield", false, "transfers don't yield to live requests")
	flags.Float64Var(&options.Share, "share", defaultShare, "share (0 to 1) of the chunks that both versions have in common")
	if err := flags.Parse(args); err != nil {
		return Options{}, errors.WithStack(err)
	}
	return options, options.validate()
}

func (o Options) validate() error {
	switch {
	case o.Hosts < 1 || o.Hosts > maxHosts:
		return fmt.Errorf("-hosts must be 1 to %d", maxHosts)
	case o.Size < 1 || o.ChunkSize < 1:
		return errors.New("-size and -chunk-size must be positive")
	case o.Policy != policyTime && o.Policy != policyOrigin:
		return errors.New("-policy must be time or origin")
	case o.Window <= 0 || o.LinkRate() < 1:
		return errors.New("-window must be positive and short enough for a link rate of 1 byte/s")
	case o.KillShare < 0 || o.KillShare >= 1:
		return errors.New("-kill-share must be at least 0 and below 1")
	default:
		return nil
	}
}

// LinkRate returns the rate of a host's link, in bytes per second.
func (o Options) LinkRate() int64 {
	return int64(hostCopies * float64(o.Size) / o.Window.Seconds())
}

// OriginRate returns the rate of the origin's link, in bytes per second.
func (o Options) OriginRate() int64 {
	return o.LinkRate() * originCopies / hostCopies
}

// copyTime returns the time in which a host's link carries one copy of a version.
func (o Options) copyTime() time.Duration {
	return o.Window / hostCopies
}

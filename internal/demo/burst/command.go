// Package burst measures how weights spread to several numbers of hosts, compares variants and baselines of the same
// series, and draws plots of the results.
package burst

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo"
)

const (
	defaultHosts  = "8,16,32,64"
	defaultSize   = 8 << 20
	defaultChunk  = 64 << 10
	defaultWindow = 20 * time.Second
	defaultRuns   = 3
)

// command is the subcommand burst with its flags.
type command struct {
	hosts     string // numbers of hosts, separated by commas
	variants  string // names of variants, separated by commas
	runs      int    // for each number of hosts and each variant
	size      demo.ByteSize
	chunkSize demo.ByteSize
	window    time.Duration
	binaries  string
	out       string // CSV file; empty for standard output
	plots     string // directory; empty for no plots
	seed      uint64 // of the first run; each further run adds 1
}

// NewCommand returns the subcommand burst.
func NewCommand() subcommands.Command {
	return &command{size: defaultSize, chunkSize: defaultChunk}
}

// Name returns the subcommand's name on the command line.
func (*command) Name() string { return "burst" }

// Synopsis returns a one-line description.
func (*command) Synopsis() string { return "measures how weights spread, and draws plots" }

// Usage returns examples and a longer description.
func (*command) Usage() string {
	return `burst -hosts 8,16 -variants origin,time,swarm,direct -runs 3 -out docs/data/bursts.csv
  Runs the demo for each number of hosts and each variant, one after the other, and appends a line per run to the file.
  Variants: ` + strings.Join(variantNames(), ", ") + `
burst -runs 0 -out docs/data/bursts.csv -plots docs/plots
  Draws the plots from the file.
`
}

// SetFlags declares the flags.
func (c *command) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.hosts, "hosts", defaultHosts, "numbers of hosts, separated by commas")
	fs.StringVar(&c.variants, "variants", "origin,time,swarm", "variants to run at each number of hosts, separated by commas")
	fs.IntVar(&c.runs, "runs", defaultRuns, "runs of each variant at each number of hosts")
	fs.Var(&c.size, "size", "size of a version")
	fs.Var(&c.chunkSize, "chunk-size", "size of a chunk")
	fs.DurationVar(&c.window, "window", defaultWindow, "time in which the origin's link carries four copies of a version and a host's link two")
	fs.StringVar(&c.binaries, "bin", "", "directory with the binaries samphireweir and standin; empty builds them for each run")
	fs.StringVar(&c.out, "out", "", "file to append to; empty for standard output")
	fs.StringVar(&c.plots, "plots", "", "directory for the plots; empty draws none")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the first run")
}

// Execute runs the measurements and draws the plots, as the flags ask for.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.execute(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) execute(ctx context.Context) error {
	if err := c.measure(ctx); err != nil {
		return err
	}
	if c.plots == "" {
		return nil
	}
	return drawAll(c.out, c.plots)
}

func (c *command) measure(ctx context.Context) error {
	for run := range c.runs {
		for _, text := range strings.Split(c.hosts, ",") {
			hosts, err := strconv.Atoi(text)
			if err != nil {
				return errors.Wrapf(err, "parsing -hosts %q", text)
			}
			if err := c.measureVariants(ctx, hosts, c.seed+uint64(run)); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureVariants runs each variant once at a number of hosts and appends the results to the file.
func (c *command) measureVariants(ctx context.Context, hosts int, seed uint64) error {
	for _, name := range strings.Split(c.variants, ",") {
		change, known := variants[name]
		if !known {
			return errors.Errorf("unknown variant %q in -variants, expected one of %v", name, variantNames())
		}
		options := demo.Options{
			Hosts: hosts, Size: c.size, ChunkSize: c.chunkSize, Seed: seed, Policy: "origin", Window: c.window,
			Binaries: c.binaries, StoreEmpty: true, Spread: "tiers", Share: sharedChunkShare,
		}
		change(&options)
		result, err := demo.Run(ctx, options, os.Stderr)
		if err != nil {
			return errors.Wrapf(err, "running %s at %d hosts", name, hosts)
		}
		if err := appendRows(c.out, newRows(name, options, result)); err != nil {
			return err
		}
	}
	return nil
}

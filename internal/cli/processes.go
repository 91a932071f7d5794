package cli

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/agent"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/entry"
)

type entryCommand struct{ config entry.Config }

// Name implements subcommands.Command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis implements subcommands.Command.
func (*entryCommand) Synopsis() string { return "run the process that callers reach" }

// Usage implements subcommands.Command.
func (*entryCommand) Usage() string {
	return `entry -name entry-1 -place perth-a -region west -callers-listen 10.0.0.5:8080 -object-api URL -host-list URL
  Runs the process that callers reach, behind the platform's balancer. SIGTERM starts a graceful shutdown. Set the
  secret of the system's processes with the variable SAMPHIREWEIR_SECRET. All flags are listed in docs/FLAGS.md.
`
}

// SetFlags defines the command's flags.
func (c *entryCommand) SetFlags(fs *flag.FlagSet) {
	c.config.Flags(fs)
	config.AddEnvNames(fs)
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *entryCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := loadFlags(fs, &c.config); err != nil {
		return fail(os.Stderr, err)
	}
	e, err := entry.New(c.config, logger("entry", c.config.Name, c.config.LogLevel))
	if err != nil {
		return fail(os.Stderr, err)
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	e.Run(ctx, shutdownGracePeriod)
	return subcommands.ExitSuccess
}

type agentCommand struct{ config agent.Config }

// Name implements subcommands.Command.
func (*agentCommand) Name() string { return "agent" }

// Synopsis implements subcommands.Command.
func (*agentCommand) Synopsis() string { return "run the process beside a host's upstreams" }

// Usage implements subcommands.Command.
func (*agentCommand) Usage() string {
	return `agent -name host-17 -place perth-a -region west -peers-listen 10.0.0.17:7070 -object-api URL -host-list URL \
      -origin URL -upstreams karrakin/summary-model=engine@http://127.0.0.1:9000/e1
  Runs the process beside a host's upstreams. SIGTERM starts a graceful shutdown. Set the secret of the system's processes
  with the variable SAMPHIREWEIR_SECRET. All flags are listed in docs/FLAGS.md.
`
}

// SetFlags defines the command's flags.
func (c *agentCommand) SetFlags(fs *flag.FlagSet) {
	c.config.Flags(fs)
	config.AddEnvNames(fs)
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *agentCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := loadFlags(fs, &c.config); err != nil {
		return fail(os.Stderr, err)
	}
	a, err := agent.New(c.config, logger("agent", c.config.Name, c.config.LogLevel))
	if err != nil {
		return fail(os.Stderr, err)
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	a.Run(ctx, shutdownGracePeriod)
	return subcommands.ExitSuccess
}

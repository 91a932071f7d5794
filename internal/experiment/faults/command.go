// Package faults runs samphireweir as separate processes on loopback, injects faults from a seeded schedule under a load of requests, and checks the
// product's guarantees. It judges only by the logs of the stand-ins and the ledger of the callers.
package faults

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// command is the faults subcommand.
type command struct{ options Options }

// NewCommand returns the faults subcommand.
func NewCommand() subcommands.Command { return &command{} }

// Name returns the subcommand's name.
func (*command) Name() string { return "faults" }

// Synopsis returns a one-line description.
func (*command) Synopsis() string {
	return "injects faults into a fleet of processes and checks its guarantees"
}

// Usage returns an example invocation.
func (*command) Usage() string {
	return `faults [flags]
  faults -seed 1 -hosts 6 -seconds 40 -only kill-agent,freeze-agent+platform-outage
  Exits with 1 if a guarantee was broken, and with 2 if the run failed.
`
}

// SetFlags declares the subcommand's flags.
func (c *command) SetFlags(fs *flag.FlagSet) { c.options.flags(fs) }

// Execute runs the experiment and prints its rows.
func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.List {
		for _, f := range catalogue() {
			fmt.Printf("%-24s %s\n", f.name, f.about)
		}
		return subcommands.ExitSuccess
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	rows, err := Run(ctx, c.options, os.Stderr)
	if err == nil {
		err = c.write(rows)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if len(broken(rows)) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) write(rows []Row) error {
	if err := WriteTable(os.Stdout, rows); err != nil {
		return err
	}
	for _, text := range broken(rows) {
		fmt.Println("broken:", text)
	}
	if c.options.CSV != "" {
		if err := AppendCSV(c.options.CSV, c.options, rows); err != nil {
			return err
		}
	}
	if !c.options.JSON {
		return nil
	}
	return WriteJSON(os.Stdout, c.options, rows)
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// Version is the version of the binary.
const Version = "0.1.0"

type codesCommand struct{}

// Name implements subcommands.Command.
func (*codesCommand) Name() string { return "codes" }

// Synopsis implements subcommands.Command.
func (*codesCommand) Synopsis() string { return "print the numbered result codes" }

// Usage implements subcommands.Command.
func (*codesCommand) Usage() string { return "codes\n  Prints docs/CODES.md.\n" }

// SetFlags defines no flags.
func (*codesCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the page to standard output.
func (*codesCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprint(os.Stdout, code.Markdown())
	return subcommands.ExitSuccess
}

type eventsCommand struct{}

// Name implements subcommands.Command.
func (*eventsCommand) Name() string { return "events" }

// Synopsis implements subcommands.Command.
func (*eventsCommand) Synopsis() string { return "print the numbered log events" }

// Usage implements subcommands.Command.
func (*eventsCommand) Usage() string { return "events\n  Prints docs/EVENTS.md.\n" }

// SetFlags defines no flags.
func (*eventsCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the page to standard output.
func (*eventsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprint(os.Stdout, logevent.Markdown())
	return subcommands.ExitSuccess
}

type metricsCommand struct{}

// Name implements subcommands.Command.
func (*metricsCommand) Name() string { return "metrics" }

// Synopsis implements subcommands.Command.
func (*metricsCommand) Synopsis() string { return "print the list of metrics" }

// Usage implements subcommands.Command.
func (*metricsCommand) Usage() string { return "metrics\n  Prints docs/METRICS.md.\n" }

// SetFlags defines no flags.
func (*metricsCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the page to standard output.
func (*metricsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprint(os.Stdout, telemetry.Markdown())
	return subcommands.ExitSuccess
}

type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n  Prints the name and the version.\n" }

// SetFlags defines no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(os.Stdout, "samphireweir", Version)
	return subcommands.ExitSuccess
}

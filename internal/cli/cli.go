// Package cli implements the commands of the samphireweir binary with google/subcommands.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
)

// shutdownGracePeriod is how long a graceful shutdown waits for requests in flight.
const shutdownGracePeriod = 30 * time.Second

// group is a list of commands that the help shows under one heading.
type group struct {
	heading  string
	commands []subcommands.Command
}

// groups returns every command, in the order of the help.
func groups() []group {
	return []group{
		{"Read and change what services run (see docs/operators/)", []subcommands.Command{newSettingsCommand(), &checkCommand{}, &statusCommand{}, &weightsCommand{}}},
		{"Run a process of the system", []subcommands.Command{&entryCommand{}, &agentCommand{}}},
		{"Run a process of the system on the users' platform", []subcommands.Command{&platformEntryCommand{}, &platformAgentCommand{}}},
		{"Operate the users' platform (see docs/operators/evacuations.md)", []subcommands.Command{&evacuateCommand{}, &quarantineCommand{}}},
		{"Reference and diagnosis", []subcommands.Command{
			&explainCommand{}, &codesCommand{}, &eventsCommand{}, &metricsCommand{}, &flagsCommand{}, &versionCommand{},
		}},
	}
}

// Register registers every command at c.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	for _, g := range groups() {
		for _, command := range g.commands {
			c.Register(command, g.heading)
		}
	}
	c.Explain = writeHelp
}

// writeHelp writes the help of the whole binary.
func writeHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, `samphireweir distributes model weights to many hosts at once, while these hosts keep serving requests.

Usage: samphireweir COMMAND [FLAGS]
       samphireweir help COMMAND      what a command does, its flags and an example
`)
	for _, g := range groups() {
		_, _ = fmt.Fprintf(w, "\n%s:\n", g.heading)
		for _, command := range g.commands {
			_, _ = fmt.Fprintf(w, "  %-10s %s\n", command.Name(), command.Synopsis())
		}
	}
	_, _ = fmt.Fprintf(w, `
Each flag can also be set by an environment variable: -object-api by %s. The flag takes precedence.
New operators start with docs/operators/first-week.md. The numbers in errors are explained by: samphireweir codes
`, config.EnvName("object-api"))
}

// fail writes err to w and returns the exit status of a failed command.
func fail(w io.Writer, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(w, err)
	return subcommands.ExitFailure
}

// checker is a set of flags that can be validated.
type checker interface{ Check() error }

// loadFlags sets the flags that were not given from the environment and validates them.
func loadFlags(fs *flag.FlagSet, c checker) error { return loadFlagsFrom(fs, os.Environ(), c) }

// loadFlagsFrom is loadFlags for the environment environ, a list of NAME=value.
func loadFlagsFrom(fs *flag.FlagSet, environ []string, c checker) error {
	if fs.NArg() > 0 {
		return code.Errorf(code.BadProcessSetting, "arguments", "%q, want flags only, such as -name host-17", strings.Join(fs.Args(), " "))
	}
	if err := config.FromEnvironment(fs, environ, knownVariables()); err != nil {
		return err
	}
	return c.Check()
}

// untilSignal returns a context that is cancelled on SIGTERM or SIGINT.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// logger returns the logger of a process, which writes to standard error. The level is info if level is empty or unknown.
func logger(process, name, level string) zerolog.Logger {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		minLevel = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(minLevel).With().Timestamp().Str("process", process).Str("name", name).Logger()
}

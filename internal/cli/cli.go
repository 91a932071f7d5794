// Package cli is the command line of the one binary, on google/subcommands.
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

// graceTime is how long a graceful shutdown waits for open requests.
const graceTime = 30 * time.Second

// group is a set of commands under a heading of the help.
type group struct {
	heading  string
	commands []subcommands.Command
}

// groups lists every command, in the order of the help.
func groups() []group {
	return []group{
		{"Look at and change what services run (see docs/operators/)", []subcommands.Command{newSettingsCommand(), &checkCommand{}, &statusCommand{}, &weightsCommand{}}},
		{"Run a process of the system", []subcommands.Command{&entryCommand{}, &agentCommand{}}},
		{"Run a process of the system on the users' platform", []subcommands.Command{&platformEntryCommand{}, &platformAgentCommand{}}},
		{"Operate the users' platform (see docs/operators/evacuations.md)", []subcommands.Command{&evacuateCommand{}}},
		{"Look things up", []subcommands.Command{
			&explainCommand{}, &codesCommand{}, &eventsCommand{}, &metricsCommand{}, &flagsCommand{}, &versionCommand{},
		}},
	}
}

// Register adds every command to the commander.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	for _, g := range groups() {
		for _, command := range g.commands {
			c.Register(command, g.heading)
		}
	}
	c.Explain = explain
}

// explain writes the help of the binary as a whole.
func explain(w io.Writer) {
	_, _ = fmt.Fprint(w, `samphireweir spreads model weights onto many hosts at once, while live requests keep flowing to those hosts.

Usage: samphireweir COMMAND [FLAGS]
       samphireweir help COMMAND      what a command does, its flags, and an example
`)
	for _, g := range groups() {
		_, _ = fmt.Fprintf(w, "\n%s:\n", g.heading)
		for _, command := range g.commands {
			_, _ = fmt.Fprintf(w, "  %-10s %s\n", command.Name(), command.Synopsis())
		}
	}
	_, _ = fmt.Fprintf(w, `
Each flag may be given as a variable too: -object-api is %s. The flag wins.
New here? Begin with docs/operators/first-week.md. A number in an error is explained by: samphireweir codes
`, config.Variable("object-api"))
}

// fail prints err and returns the exit status of a failed command.
func fail(w io.Writer, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(w, err)
	return subcommands.ExitFailure
}

// checked is a set of process settings that can be checked.
type checked interface{ Check() error }

// load fills in flags from the environment and checks them.
func load(fs *flag.FlagSet, c checked) error { return loadFrom(fs, os.Environ(), c) }

func loadFrom(fs *flag.FlagSet, environ []string, c checked) error {
	if fs.NArg() > 0 {
		return code.Errorf(code.BadProcess, "arguments", "%q, want flags only, such as -name host-17", strings.Join(fs.Args(), " "))
	}
	if err := config.FromEnvironment(fs, environ, variables()); err != nil {
		return err
	}
	return c.Check()
}

// untilSignal returns a context that ends on SIGTERM or SIGINT.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// logger returns the log of a process; level is empty for the default.
func logger(process, name, level string) zerolog.Logger {
	least, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		least = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(least).With().Timestamp().Str("process", process).Str("name", name).Logger()
}

package serve

import (
	"context"
	"flag"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// Command is the subcommand of one stand-in.
type Command struct {
	// Title is the name on the command line.
	Title string
	// About describes in one line what the stand-in simulates.
	About string
	// Flags declares the flags other than -listen.
	Flags func(*flag.FlagSet)
	// Build creates the handler after the flags are parsed. Goroutines that it starts must end with ctx.
	Build func(ctx context.Context) (http.Handler, error)

	listen string
}

// Name returns the name of the subcommand.
func (c *Command) Name() string { return c.Title }

// Synopsis describes in one line what the stand-in simulates.
func (c *Command) Synopsis() string { return c.About }

// Usage returns the first lines of the help text.
func (c *Command) Usage() string {
	return "standin " + c.Title + " -listen IP:PORT [flags]\n" + c.About + "\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on, IP:PORT")
	c.Flags(flags)
}

// Execute serves until ctx ends.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logger := Logger(c.Title)
	handler, err := c.Build(ctx)
	if err != nil {
		logger.Error().Err(err).Msg("creating the stand-in failed")
		return subcommands.ExitUsageError
	}
	logger.Info().Str("listen", c.listen).Msg("start")
	if err := Run(ctx, c.listen, handler, os.Stdout); err != nil {
		logger.Error().Err(err).Msg("failed")
		return subcommands.ExitFailure
	}
	logger.Info().Msg("end")
	return subcommands.ExitSuccess
}

// adminName is not allowed as the name of an engine or a service, because the paths of the stand-in itself begin with it.
const adminName = "admin"

// SplitNames parses the value of -names, a list separated by commas. It returns an error if a name is malformed or occurs twice.
func SplitNames(list string) ([]string, error) {
	var names []string
	seen := map[string]bool{}
	for name := range strings.SplitSeq(list, ",") {
		if name == "" || name == adminName || strings.ContainsAny(name, "/*{} ") || seen[name] {
			return nil, errors.Errorf("bad or repeated name %q in -names", name)
		}
		seen[name] = true
		names = append(names, name)
	}
	return names, nil
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/config"
)

// namedCommand is a command with its full name on the command line, such as "settings get".
type namedCommand struct {
	name    string
	command subcommands.Command
}

// allCommands returns every command, including the subcommands of `settings`.
func allCommands() []namedCommand {
	var list []namedCommand
	for _, g := range groups() {
		for _, command := range g.commands {
			list = append(list, namedCommand{command.Name(), command})
			if command.Name() == settingsName {
				for _, sub := range settingsSubcommands() {
					list = append(list, namedCommand{settingsName + " " + sub.Name(), sub})
				}
			}
		}
	}
	return list
}

// flagsOf returns the flags of a command.
func flagsOf(c subcommands.Command) *flag.FlagSet {
	fs := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(fs)
	return fs
}

// knownVariables returns the environment variables that any command reads.
func knownVariables() map[string]bool {
	known := map[string]bool{}
	for _, c := range allCommands() {
		flagsOf(c.command).VisitAll(func(f *flag.Flag) { known[config.EnvName(f.Name)] = true })
	}
	return known
}

// FlagsMarkdown returns the content of docs/FLAGS.md, in Markdown.
func FlagsMarkdown() string {
	var b strings.Builder
	b.WriteString("# Flags and variables\n\nPrinted by `samphireweir flags`; a test checks that this page matches the binary. Each flag can also be set by an environment\n")
	b.WriteString("variable; the flag takes precedence. A variable that begins with " + config.EnvPrefix + " and that no command reads is rejected at start (6002).\n")
	for _, c := range allCommands() {
		writeFlags(&b, c)
	}
	return b.String()
}

// writeFlags writes the flags of a command as a table; nothing if it has none.
func writeFlags(b *strings.Builder, c namedCommand) {
	fs := flagsOf(c.command)
	rows := ""
	fs.VisitAll(func(f *flag.Flag) {
		usage, _, _ := strings.Cut(f.Usage, " (variable ")
		value := f.DefValue
		if value == "" {
			value = "-"
		}
		rows += fmt.Sprintf("| -%s | %s | %s | %s |\n", f.Name, config.EnvName(f.Name), value, usage)
	})
	if rows == "" {
		return
	}
	_, _ = fmt.Fprintf(b, "\n## samphireweir %s\n\n%s.\n\n| flag | variable | default | meaning |\n|---|---|---|---|\n%s", c.name, c.command.Synopsis(), rows)
}

type flagsCommand struct{}

// Name implements subcommands.Command.
func (*flagsCommand) Name() string { return "flags" }

// Synopsis implements subcommands.Command.
func (*flagsCommand) Synopsis() string { return "print every flag and variable of every command" }

// Usage implements subcommands.Command.
func (*flagsCommand) Usage() string { return "flags\n  Prints docs/FLAGS.md.\n" }

// SetFlags defines no flags.
func (*flagsCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the page.
func (*flagsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprint(os.Stdout, FlagsMarkdown())
	return subcommands.ExitSuccess
}

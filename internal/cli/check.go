package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/setting"
)

// checkCommand checks settings files without the platform.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings files, without the platform" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check FILE...
  samphireweir check karrakin/summary-model.json karrakin/buyer-portal.json
  Reports for each file whether apply would accept it; if not, names the field and a valid value. - is standard input.
`
}

// SetFlags defines no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute checks each file.
func (*checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		_, _ = fmt.Fprintln(os.Stderr, "check wants at least one file, such as: samphireweir check setting.json")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, name := range fs.Args() {
		if err := checkFile(name); err != nil {
			status = fail(os.Stderr, err)
			continue
		}
		_, _ = fmt.Fprintf(os.Stdout, "%s: valid setting\n", name)
	}
	return status
}

func checkFile(name string) error {
	raw, err := readFile(name)
	if err != nil {
		return err
	}
	_, err = setting.ParseFile(name, raw)
	return err
}

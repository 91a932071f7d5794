package cli

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/platform"
)

// checkCommand checks settings files, and manifests of the users' platform, without the platform.
type checkCommand struct{ hostSettings string }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string {
	return "check settings files and manifests, without the platform"
}

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check FILE...
  samphireweir check karrakin/summary-model.json karrakin/buyer-portal.json
  samphireweir check -host-settings boot.toml manifest.json
  Reports for each file whether it is valid; if not, names the field and a valid value. - is standard input.
  A file with routes and services is a manifest of the users' platform. The settings file of one of its hosts names the regions
  that exist; without it, home regions are not checked.
`
}

// SetFlags defines the command's flags.
func (c *checkCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.hostSettings, "host-settings", "", "settings file of a host of the users' platform, which names the regions that exist")
	config.AddEnvNames(fs)
}

// Execute checks each file.
func (c *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		_, _ = fmt.Fprintln(os.Stderr, "check wants at least one file, such as: samphireweir check setting.json")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, name := range fs.Args() {
		kind, err := c.checkFile(name)
		if err != nil {
			status = fail(os.Stderr, err)
			continue
		}
		_, _ = fmt.Fprintf(os.Stdout, "%s: valid %s\n", name, kind)
	}
	return status
}

// checkFile checks a file and returns what it holds.
func (c *checkCommand) checkFile(name string) (kind string, err error) {
	raw, err := readFile(name)
	if err != nil {
		return "", err
	}
	if !platform.IsManifest(raw) {
		_, err = setting.ParseFile(name, raw)
		return "setting", err
	}
	if c.hostSettings == "" {
		return "manifest (home regions not checked)", platform.CheckManifest(raw, nil)
	}
	host, err := platform.ReadSettings(c.hostSettings)
	if err != nil {
		return "", err
	}
	return "manifest", platform.CheckManifest(raw, slices.Sorted(maps.Keys(host.KnownRegions())))
}

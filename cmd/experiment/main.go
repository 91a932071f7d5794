// Command experiment measures samphireweir against the stand-ins and checks its behaviour under faults.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/demo/burst"
	"samphireweir.example/samphireweir/internal/emulator"
	"samphireweir.example/samphireweir/internal/experiment"
	"samphireweir.example/samphireweir/internal/experiment/faults"
)

func main() {
	subcommands.Register(experiment.NewCommand(), "")
	subcommands.Register(experiment.NewSettingsCommand(), "")
	subcommands.Register(burst.NewCommand(), "")
	subcommands.Register(faults.NewCommand(), "")
	subcommands.Register(emulator.NewCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

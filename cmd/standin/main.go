// Command standin runs stand-ins for the external systems of samphireweir, for demos and tests on one machine.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/standin/engine"
	"samphireweir.example/samphireweir/internal/standin/hostlist"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
	"samphireweir.example/samphireweir/internal/standin/plain"
	"samphireweir.example/samphireweir/internal/standin/weights"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(objectapi.NewCommand(), "")
	subcommands.Register(hostlist.NewCommand(), "")
	subcommands.Register(engine.NewCommand(), "")
	subcommands.Register(plain.NewCommand(), "")
	subcommands.Register(weights.NewStoreCommand(), "")
	subcommands.Register(weights.NewOriginCommand(), "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	status := subcommands.Execute(ctx)
	os.Exit(int(status))
}

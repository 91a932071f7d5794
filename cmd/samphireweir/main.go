// Command samphireweir is the product's only binary; each of its roles and operator tools is a subcommand.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/cli"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "samphireweir")
	cli.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

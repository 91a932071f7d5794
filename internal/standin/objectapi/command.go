package objectapi

import (
	"context"
	"flag"
	"net/http"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// Default values of the flags.
const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultHistory         = 20000
)

// NewCommand returns the subcommand objectapi.
func NewCommand() *serve.Command {
	var config Config
	return &serve.Command{
		Title: "objectapi",
		About: "Simulates the object API.",
		Flags: func(flags *flag.FlagSet) {
			flags.IntVar(&config.WritesPerSecond, "writes-per-second", defaultWritesPerSecond, "limit on writes per second, 0 for none")
			flags.IntVar(&config.ReadsPerSecond, "reads-per-second", defaultReadsPerSecond, "limit on reads per second, 0 for none")
			flags.IntVar(&config.History, "history", defaultHistory, "number of changes kept for watches")
		},
		Build: func(context.Context) (http.Handler, error) {
			return NewServer(config), nil
		},
	}
}

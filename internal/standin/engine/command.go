package engine

import (
	"context"
	"flag"
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// Default values of flags and fault fields.
const (
	defaultStep             = 9 * time.Millisecond
	defaultBatch            = 32
	defaultPrefillUSPerChar = 10
	defaultCacheEntries     = 256
	defaultLoadLag          = 500 * time.Millisecond
	defaultEventLag         = 200 * time.Millisecond
	defaultRestartMS        = 1000
)

// NewCommand returns the subcommand engine.
func NewCommand() *serve.Command {
	var names string
	var config Config
	return &serve.Command{
		Title: "engine",
		About: "Simulates model engines.",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&names, "names", "e1", "names of the engines, separated by commas")
			flags.DurationVar(&config.Step, "step", defaultStep, "duration of a step")
			flags.IntVar(&config.Batch, "batch", defaultBatch, "maximum number of requests that run at once")
			flags.IntVar(&config.PrefillUSPerChar, "prefill-us-per-char", defaultPrefillUSPerChar, "duration of the prefill per character of a prompt, in microseconds")
			flags.IntVar(&config.CacheEntries, "cache-entries", defaultCacheEntries, "size of the prefix cache, in entries")
			flags.DurationVar(&config.LoadLag, "load-lag", defaultLoadLag, "lag with which /state reports the load")
			flags.DurationVar(&config.EventLag, "event-lag", defaultEventLag, "lag with which /events reports events")
			flags.Float64Var(&config.EventGap, "event-gap", 0, "fraction of the events that is lost, 0 to 1")
			flags.BoolVar(&config.IgnoreFencing, "ignore-fencing", false, "accept orders with stale fencing numbers")
		},
		Build: func(ctx context.Context) (http.Handler, error) {
			list, err := serve.SplitNames(names)
			if err != nil {
				return nil, err
			}
			return NewServer(ctx, list, config), nil
		},
	}
}

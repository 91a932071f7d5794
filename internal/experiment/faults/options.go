package faults

import (
	"flag"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a run and its maximum number of hosts.
const (
	defaultHosts   = 6
	defaultSeconds = 40
	defaultBound   = 7 * time.Second
	maxHosts       = 60
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Hosts is the number of agents, each with an engine and every second one with a plain service.
	Hosts int
	// Seconds is how long faults are injected. The first one is injected in any case.
	Seconds int
	// Only is a comma-separated list of the faults to inject; names joined by + are injected together.
	Only string
	// Pairs is the number of pairs of faults that are drawn and injected in place of Only.
	Pairs int
	// Skip is the number of pairs at the start of the draw that are skipped.
	Skip int
	// Bound is the maximum time from the end of a fault until the fleet works as before.
	Bound time.Duration
	// JSON prints a summary as a last line of JSON.
	JSON bool
	// Label is the value of the first CSV column, such as the commit that ran.
	Label string
	// CSV is a file to which the rows are appended; empty for none.
	CSV string
	// Binaries is a folder with prebuilt binaries; if empty they are built.
	Binaries string
	// KeepLogs is a folder in which all logs are kept; empty for none.
	KeepLogs string
	// List prints the names of the faults and does nothing else.
	List bool
}

func (o *Options) flags(fs *flag.FlagSet) {
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the schedule, the victims, the requests and the weights")
	fs.IntVar(&o.Hosts, "hosts", defaultHosts, "number of hosts")
	fs.IntVar(&o.Seconds, "seconds", defaultSeconds, "how long faults are injected, in seconds")
	fs.StringVar(&o.Only, "only", "", "comma-separated faults to inject; a+b injects both together; empty for all")
	fs.IntVar(&o.Pairs, "pairs", 0, "number of pairs to draw and inject in place of -only")
	fs.IntVar(&o.Skip, "skip", 0, "number of pairs to skip at the start of the draw")
	fs.DurationVar(&o.Bound, "bound", defaultBound, "maximum time from the end of a fault until the fleet works as before")
	fs.BoolVar(&o.JSON, "json", false, "print a summary as a last line of JSON")
	fs.StringVar(&o.CSV, "csv", "", "file to which the rows are appended")
	fs.StringVar(&o.Label, "label", "", "value of the first CSV column, such as the commit that ran")
	fs.StringVar(&o.Binaries, "bin", "", "folder with the binaries samphireweir and standin; empty builds them")
	fs.StringVar(&o.KeepLogs, "keep-logs", "", "folder that keeps the logs")
	fs.BoolVar(&o.List, "list", false, "print the names of the faults")
}

// plan returns the groups of faults that the options select, in the order of the command line.
func (o *Options) plan() ([]Group, error) {
	if o.Hosts < 2 || o.Hosts > maxHosts {
		return nil, errors.Errorf("-hosts must be 2 to %d", maxHosts)
	}
	names := faultNames()
	if o.Pairs > 0 {
		return DrawPairs(o.Seed, names, o.Skip, o.Pairs), nil
	}
	if o.Only == "" {
		return singles(names), nil
	}
	var groups []Group
	for _, word := range strings.Split(o.Only, ",") {
		group := Group(strings.Split(strings.TrimSpace(word), "+"))
		for _, name := range group {
			if _, known := findFault(name); !known {
				return nil, errors.Errorf("-only: unknown fault %q; -list prints all names", name)
			}
		}
		groups = append(groups, group)
	}
	return groups, nil
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sort"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/platform"
)

// evacuateCommand requests the evacuation of a data centre, so that no new requests are sent there, or ends it.
type evacuateCommand struct {
	store      string
	dataCentre string
	end        bool
	dryRun     bool
}

// Name implements subcommands.Command.
func (*evacuateCommand) Name() string { return "evacuate" }

// Synopsis implements subcommands.Command.
func (*evacuateCommand) Synopsis() string {
	return "stop new requests to a data centre of the users' platform, or end that evacuation"
}

// Usage implements subcommands.Command.
func (*evacuateCommand) Usage() string {
	return `evacuate -store IP:PORT -data-centre perth-a [-dry-run | -end]
  Stops new requests to the engines and services of a data centre; requests in flight there run to their end.
  The command returns when the store has confirmed the evacuation. It prints how many slots of each service are in the data centre
  and how many remain elsewhere; -dry-run prints this only. During an evacuation, requests that are bound to regions without
  upstreams in other data centres are refused. -end ends the evacuation.
`
}

// SetFlags defines the command's flags.
func (c *evacuateCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.store, "store", "", "address of the platform's store, IP:PORT")
	fs.StringVar(&c.dataCentre, "data-centre", "", "name of the data centre")
	fs.BoolVar(&c.end, "end", false, "end the evacuation")
	fs.BoolVar(&c.dryRun, "dry-run", false, "print the affected slots and change nothing")
	config.AddEnvNames(fs)
}

// Check returns an error for the first flag that is invalid or contradicts another one.
func (c *evacuateCommand) Check() error {
	if _, err := netip.ParseAddrPort(c.store); err != nil {
		return code.Errorf(code.BadProcessSetting, "-store", "%q, want IP:PORT", c.store)
	}
	if c.dataCentre == "" {
		return code.Errorf(code.BadProcessSetting, "-data-centre", "empty, want the name of a data centre")
	}
	if c.end && c.dryRun {
		return code.Errorf(code.ConflictingSettings, "-end, -dry-run", "want one of them")
	}
	return nil
}

// Execute starts or ends the evacuation.
func (c *evacuateCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runStoreCommand(ctx, fs, c)
}

// run carries the command out and writes the result to out.
func (c *evacuateCommand) run(ctx context.Context, out io.Writer) error {
	store := platform.NewStore(c.store, &http.Client{})
	if c.end {
		if err := store.EndEvacuation(ctx, c.dataCentre); err != nil {
			return code.Errorf(code.PlatformDown, c.dataCentre, "%v", err)
		}
		_, err := fmt.Fprintf(out, "%s is in use again: confirmed\n", c.dataCentre)
		return err
	}
	services, err := c.countSlots(ctx, store)
	if err != nil {
		return err
	}
	for _, s := range services {
		if _, err := fmt.Fprintln(out, s); err != nil {
			return err
		}
	}
	if c.dryRun {
		return nil
	}
	if err := store.StartEvacuation(ctx, c.dataCentre); err != nil {
		return code.Errorf(code.PlatformDown, c.dataCentre, "%v", err)
	}
	_, err = fmt.Fprintf(out, "%s is evacuated: confirmed\n", c.dataCentre)
	return err
}

// serviceSlots counts the upstreams of a service and their slots, inside and outside an evacuated data centre.
type serviceSlots struct {
	service string
	// evacuated counts those in the data centre, remaining those elsewhere.
	evacuated, remaining slotCount
}

// slotCount is a number of upstreams, and of the requests that they can process at once.
type slotCount struct{ upstreams, slots int }

// String formats the counts in one line.
func (s serviceSlots) String() string {
	line := fmt.Sprintf("%s: %d upstreams with %d slots are in the data centre, %d with %d slots elsewhere",
		s.service, s.evacuated.upstreams, s.evacuated.slots, s.remaining.upstreams, s.remaining.slots)
	if s.evacuated.upstreams > 0 && s.remaining.upstreams == 0 {
		line += "; all its requests will be refused"
	}
	return line
}

// countSlots counts the upstreams that accept requests, by service, in the data centre and elsewhere. It is an error if the data centre
// has none.
func (c *evacuateCommand) countSlots(ctx context.Context, store *platform.Store) ([]serviceSlots, error) {
	objects, _, err := store.List(ctx, platform.ServerKind, false)
	if err != nil {
		return nil, code.Errorf(code.PlatformDown, "", "%v", err)
	}
	var list []serviceSlots
	found := false
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil || u.Draining {
			continue // It accepts no requests.
		}
		i := slices.IndexFunc(list, func(s serviceSlots) bool { return s.service == u.Service })
		if i < 0 {
			list, i = append(list, serviceSlots{service: u.Service}), len(list)
		}
		count := &list[i].remaining
		if u.DataCentre == c.dataCentre {
			count, found = &list[i].evacuated, true
		}
		count.upstreams++
		count.slots += u.Slots
	}
	if !found {
		return nil, code.Errorf(code.BadProcessSetting, "-data-centre", "%q has no upstream that accepts requests, want the name of a data centre", c.dataCentre)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].service < list[j].service })
	return list, nil
}

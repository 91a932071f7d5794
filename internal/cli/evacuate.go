package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sort"
	"time"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/platform"
)

// evacuateTimeout bounds the command.
const evacuateTimeout = 10 * time.Second

// evacuateCommand asks, as the operator, that nothing more be sent to a data centre, or takes that back.
type evacuateCommand struct {
	store      string
	dataCentre string
	end        bool
	dryRun     bool
}

// Name returns the command's name.
func (*evacuateCommand) Name() string { return "evacuate" }

// Synopsis describes the command in a line.
func (*evacuateCommand) Synopsis() string {
	return "have nothing more sent to a data centre of the users' platform, or take that back"
}

// Usage gives an example.
func (*evacuateCommand) Usage() string {
	return `evacuate -store IP:PORT -data-centre perth-a [-dry-run | -end]
  Asks that nothing more be sent to the engines and services of a data centre; what runs there goes on to its end. The store's answer
  confirms it, and the command returns when it is there. Prints how many places of each service are in the data centre and how many are left elsewhere;
  -dry-run prints that and asks for nothing. Requests that are bound to regions of which only this one has upstreams are refused meanwhile.
  -end takes the evacuation back.
`
}

// SetFlags declares the flags.
func (c *evacuateCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.store, "store", "", "address of the platform's store, IP:PORT")
	fs.StringVar(&c.dataCentre, "data-centre", "", "name of the data centre")
	fs.BoolVar(&c.end, "end", false, "take the evacuation back")
	fs.BoolVar(&c.dryRun, "dry-run", false, "print what would move and ask for nothing")
	config.Describe(fs)
}

// Check refuses flags that can't work.
func (c *evacuateCommand) Check() error {
	if _, err := netip.ParseAddrPort(c.store); err != nil {
		return code.Errorf(code.BadProcess, "-store", "%q, want IP:PORT", c.store)
	}
	if c.dataCentre == "" {
		return code.Errorf(code.BadProcess, "-data-centre", "empty, want the name of a data centre")
	}
	if c.end && c.dryRun {
		return code.Errorf(code.SettingsClash, "-end, -dry-run", "want one of them")
	}
	return nil
}

// Execute carries the command out.
func (c *evacuateCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := load(fs, c); err != nil {
		return fail(os.Stderr, err)
	}
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	if err := c.run(ctx, os.Stdout); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}

func (c *evacuateCommand) run(ctx context.Context, out io.Writer) error {
	store := platform.NewStore(c.store, &http.Client{})
	if c.end {
		if err := store.EndEvacuation(ctx, c.dataCentre); err != nil {
			return code.Errorf(code.PlatformDown, c.dataCentre, "%v", err)
		}
		_, err := fmt.Fprintf(out, "%s is in use again: confirmed\n", c.dataCentre)
		return err
	}
	services, err := c.places(ctx, store)
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
	if err := store.AskEvacuation(ctx, c.dataCentre); err != nil {
		return code.Errorf(code.PlatformDown, c.dataCentre, "%v", err)
	}
	_, err = fmt.Fprintf(out, "%s is evacuated: confirmed\n", c.dataCentre)
	return err
}

// servicePlaces is what an evacuation takes of a service.
type servicePlaces struct {
	service string
	// moving and left count the upstreams in the data centre and elsewhere, and the requests that they work on at once.
	moving, left placeCount
}

type placeCount struct{ upstreams, places int }

// String says it in a line.
func (s servicePlaces) String() string {
	line := fmt.Sprintf("%s: %d upstreams with %d places are in the data centre, %d with %d places elsewhere",
		s.service, s.moving.upstreams, s.moving.places, s.left.upstreams, s.left.places)
	if s.moving.upstreams > 0 && s.left.upstreams == 0 {
		line += "; all its requests will be refused"
	}
	return line
}

// places counts the upstreams of each service that take work, in the data centre and elsewhere.
func (c *evacuateCommand) places(ctx context.Context, store *platform.Store) ([]servicePlaces, error) {
	objects, _, err := store.List(ctx, platform.ServerKind, false)
	if err != nil {
		return nil, code.Errorf(code.PlatformDown, "", "%v", err)
	}
	var list []servicePlaces
	found := false
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil || u.Draining {
			continue // It takes no work.
		}
		i := slices.IndexFunc(list, func(s servicePlaces) bool { return s.service == u.Service })
		if i < 0 {
			list, i = append(list, servicePlaces{service: u.Service}), len(list)
		}
		count := &list[i].left
		if u.DataCentre == c.dataCentre {
			count, found = &list[i].moving, true
		}
		count.upstreams++
		count.places += u.Slots
	}
	if !found {
		return nil, code.Errorf(code.BadProcess, "-data-centre", "%q has no upstream; is the name right?", c.dataCentre)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].service < list[j].service })
	return list, nil
}

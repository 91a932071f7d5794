package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/platform"
)

// quarantineCommand lists the quarantined parts of prompts, or lifts the quarantine of one.
type quarantineCommand struct {
	store string
	lift  string
}

// Name implements subcommands.Command.
func (*quarantineCommand) Name() string { return "quarantine" }

// Synopsis implements subcommands.Command.
func (*quarantineCommand) Synopsis() string {
	return "list the parts of prompts that are quarantined on the users' platform, or lift a quarantine"
}

// Usage implements subcommands.Command.
func (*quarantineCommand) Usage() string {
	return `quarantine -store IP:PORT [-lift 5c1e07a2]
  Lists the parts of prompts that are quarantined because engines crashed when they answered requests with them. -lift ends the quarantine
  of a part: all entries send such requests again some seconds after the confirmation. Three more crashes start it again.
`
}

// SetFlags defines the command's flags.
func (c *quarantineCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.store, "store", "", "address of the platform's store, IP:PORT")
	fs.StringVar(&c.lift, "lift", "", "id of the part whose quarantine ends, in hexadecimal")
	config.AddEnvNames(fs)
}

// Check returns an error for the first flag that is invalid.
func (c *quarantineCommand) Check() error {
	if _, err := netip.ParseAddrPort(c.store); err != nil {
		return code.Errorf(code.BadProcessSetting, "-store", "%q, want IP:PORT", c.store)
	}
	if _, err := strconv.ParseUint(c.lift, 16, 64); c.lift != "" && err != nil {
		return code.Errorf(code.BadProcessSetting, "-lift", "%q, want the id of a part in hexadecimal", c.lift)
	}
	return nil
}

// Execute lists the quarantines or lifts one.
func (c *quarantineCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return runStoreCommand(ctx, fs, c)
}

// run carries the command out and writes the result to out.
func (c *quarantineCommand) run(ctx context.Context, out io.Writer) error {
	store := platform.NewStore(c.store, &http.Client{})
	list, err := readQuarantines(ctx, store)
	if err != nil {
		return err
	}
	if c.lift != "" {
		return liftQuarantine(ctx, store, list, c.lift, out)
	}
	for _, q := range list {
		state := "quarantined"
		if q.Lifted {
			state = "lifted"
		}
		if _, err := fmt.Fprintf(out, "%v: %s, since %s, after %d crashes\n", q.Part, state, q.StartedAt.UTC().Format(time.RFC3339), q.Crashes); err != nil {
			return err
		}
	}
	return nil
}

// readQuarantines reads the quarantines in the store. Malformed ones are left out.
func readQuarantines(ctx context.Context, store *platform.Store) ([]attribution.Recorded, error) {
	objects, _, err := store.List(ctx, platform.QuarantineKind, false)
	if err != nil {
		return nil, code.Errorf(code.PlatformDown, "", "%v", err)
	}
	var list []attribution.Recorded
	for _, o := range objects {
		if q, err := platform.DecodeQuarantine(o); err == nil {
			list = append(list, q)
		}
	}
	return list, nil
}

// liftQuarantine lifts the quarantine of a part, given by its id.
func liftQuarantine(ctx context.Context, store *platform.Store, list []attribution.Recorded, id string, out io.Writer) error {
	part, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return code.Errorf(code.BadProcessSetting, "-lift", "%v", err)
	}
	i := slices.IndexFunc(list, func(q attribution.Recorded) bool { return q.Part == attribution.Part(part) })
	if i < 0 {
		return code.Errorf(code.SettingMissing, "-lift", "no quarantine of part %s", id)
	}
	list[i].Lifted = true
	err = store.RecordQuarantine(ctx, list[i])
	if errors.Is(err, platform.ErrQuarantineChanged) {
		return code.Errorf(code.SettingConflict, id, "the quarantine was changed meanwhile; look at it and lift it again")
	}
	if err != nil {
		return code.Errorf(code.PlatformDown, id, "%v", err)
	}
	_, err = fmt.Fprintf(out, "%v is no longer quarantined: confirmed\n", list[i].Part)
	return err
}

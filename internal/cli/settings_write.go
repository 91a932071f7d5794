package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
)

type applyCommand struct {
	change
	file   string
	dryRun bool
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put a setting in force" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `apply -object-api URL -origin URL -team karrakin -service summary-model -file setting.json [-dry-run] [-wait -process URL]
  Checks the file, resolves its version of weights to a digest, and writes the setting on condition that the version you
  saw (if_version in the file, or -if-version) is still the present one. A service without a setting needs neither.
`
}

// SetFlags defines the command's flags.
func (c *applyCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.StringVar(&c.file, "file", "-", "file with the setting; - for standard input")
	fs.BoolVar(&c.dryRun, "dry-run", false, "print what would change and change nothing (with -process: at which hosts)")
	describeFlags(fs)
}

// Execute checks and applies the setting.
func (c *applyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel, err := loadTarget(ctx, fs, &c.change)
	defer cancel()
	if err != nil {
		return fail(os.Stderr, err)
	}
	raw, err := readFile(c.file)
	if err != nil {
		return fail(os.Stderr, err)
	}
	file, err := setting.ParseFile(c.file, raw)
	if err != nil {
		return fail(os.Stderr, err)
	}
	editor := c.editor()
	state, err := editor.Read(ctx, c.team, c.service)
	if err != nil {
		return fail(os.Stderr, err)
	}
	if c.dryRun {
		return c.preview(ctx, editor, state, &file.Setting)
	}
	seen, err := c.seen(state, file)
	if err != nil {
		return fail(os.Stderr, err)
	}
	applied, err := editor.Apply(ctx, c.team, c.service, &file.Setting, seen)
	if err != nil {
		return fail(os.Stderr, err)
	}
	return c.finish(ctx, "applied", applied)
}

// seen returns the version that the operator saw: from the flag, from the file, or the present one if there is no setting yet.
func (c *applyCommand) seen(state *operator.State, file *setting.File) (uint64, error) {
	switch {
	case c.ifVersion.value != nil:
		return *c.ifVersion.value, nil
	case file.IfVersion != nil:
		return *file.IfVersion, nil
	case state.Setting() == nil:
		return state.Version, nil
	}
	return 0, code.Errorf(code.SettingConflict, state.Key,
		"the setting exists and the file has no if_version; start from `settings get`, or review `settings diff` and add -if-version %d", state.Version)
}

// preview prints what the setting would change.
func (c *applyCommand) preview(ctx context.Context, editor *operator.Editor, state *operator.State, s *setting.Setting) subcommands.ExitStatus {
	size := int64(0)
	if s.Kind == setting.Engine {
		digest, err := editor.Resolve(ctx, s)
		if err != nil {
			return fail(os.Stderr, err)
		}
		s.Digest = digest
		if size, err = editor.Size(ctx, s); err != nil {
			return fail(os.Stderr, err)
		}
	}
	changes := setting.Diff(state.Setting(), s)
	_, _ = fmt.Fprintf(os.Stdout, "dry run, nothing is changed\nservice %s, version %d: %d fields differ%s\n",
		state.Key, state.Version, len(changes), operator.FormatChanges(changes, "\n  "))
	if c.process == "" {
		_, _ = fmt.Fprintln(os.Stdout, "add -process URL to see which hosts would change")
		return subcommands.ExitSuccess
	}
	preview, err := c.fleet().Preview(ctx, state.Key, s)
	if err != nil {
		return fail(os.Stderr, err)
	}
	printPreview(os.Stdout, preview, size)
	return subcommands.ExitSuccess
}

// fleet returns a client of the process of -process.
func (t *target) fleet() *operator.FleetClient {
	return &operator.FleetClient{Base: strings.TrimSuffix(t.process, "/"), HTTP: &http.Client{Timeout: operatorTimeout}}
}

// printPreview writes what a setting would change at the hosts; size is the size of its weights in bytes.
func printPreview(w io.Writer, p fleet.Preview, size int64) {
	_, _ = fmt.Fprintf(w, "copies: %d hosts would fetch %d bytes each\n", p.Hosts, size)
	_, _ = fmt.Fprintf(w, "upstreams: %d would load the version%s\n  %d would stop serving the service%s\n  %d unchanged\n", len(p.Load), formatNames(p.Load), len(p.Drop), formatNames(p.Drop), p.Keep)
	for _, s := range p.Shortages {
		_, _ = fmt.Fprintf(w, "too few upstreams in %s: %d required, %d available\n", s.Place, s.Requested, s.Have)
	}
	if len(p.Services) > 0 {
		_, _ = fmt.Fprintf(w, "services that share these hosts: %s\n", strings.Join(p.Services, ", "))
	}
}

// formatNames formats a list of at most fleet.MaxNames names, preceded by a colon; it is empty for an empty list.
func formatNames(list []string) string {
	if len(list) == 0 {
		return ""
	}
	shown := list[:min(len(list), fleet.MaxNames)]
	text := ": " + strings.Join(shown, ", ")
	if len(list) > len(shown) {
		text += fmt.Sprintf(" and %d more", len(list)-len(shown))
	}
	return text
}

// awaitInForce waits until every process has a change in force. On timeout it prints the processes that don't have it.
func (c *change) awaitInForce(ctx context.Context, a operator.Applied) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.waitFor)
	defer cancel()
	inForce, err := c.fleet().Wait(ctx, a.Key, a.Revision, func(f fleet.InForce) {
		_, _ = fmt.Fprintf(os.Stdout, "in force on %d of %d processes\n", f.Current, f.Processes)
	})
	if err == nil {
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Fprintf(os.Stderr, "accepted, but not in force everywhere yet: %d of %d processes; %d lagging%s; %d without an answer%s\n",
		inForce.Current, inForce.Processes, inForce.LaggingCount, formatNames(inForce.Lagging), inForce.UnresponsiveCount, formatNames(inForce.Unresponsive))
	return fail(os.Stderr, err)
}

type rollbackCommand struct {
	change
	to optionalVersion
}

// Name implements subcommands.Command.
func (*rollbackCommand) Name() string { return "rollback" }

// Synopsis implements subcommands.Command.
func (*rollbackCommand) Synopsis() string {
	return "put an earlier version of a setting in force again"
}

// Usage implements subcommands.Command.
func (*rollbackCommand) Usage() string {
	return `rollback -object-api URL -team karrakin -service summary-model -to 17 -if-version 23
  Writes the setting of that version as a new change, with the same digest of weights that it had then.
`
}

// SetFlags defines the command's flags.
func (c *rollbackCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.Var(&c.to, "to", "the version to restore; see `settings history`")
	describeFlags(fs)
}

// Execute restores the earlier version.
func (c *rollbackCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel, err := loadTarget(ctx, fs, &c.change)
	defer cancel()
	if err != nil {
		return fail(os.Stderr, err)
	}
	if c.to.value == nil {
		return fail(os.Stderr, code.Errorf(code.BadProcessSetting, "-to", "missing, want a version that `settings history` lists"))
	}
	seen, err := c.versionSeen(ctx)
	if err != nil {
		return fail(os.Stderr, err)
	}
	applied, err := c.editor().Rollback(ctx, c.team, c.service, *c.to.value, seen)
	if err != nil {
		return fail(os.Stderr, err)
	}
	return c.finish(ctx, "rolled back", applied)
}

type deleteCommand struct{ change }

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (*deleteCommand) Synopsis() string { return "take a service's setting out of force" }

// Usage implements subcommands.Command.
func (*deleteCommand) Usage() string {
	return `delete -object-api URL -team karrakin -service summary-model -if-version 23
  The service gets no more requests. Its history is kept, and rollback restores the setting.
`
}

// SetFlags defines the command's flags.
func (c *deleteCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	describeFlags(fs)
}

// Execute deletes the setting.
func (c *deleteCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel, err := loadTarget(ctx, fs, &c.change)
	defer cancel()
	if err != nil {
		return fail(os.Stderr, err)
	}
	seen, err := c.versionSeen(ctx)
	if err != nil {
		return fail(os.Stderr, err)
	}
	applied, err := c.editor().Delete(ctx, c.team, c.service, seen)
	if err != nil {
		return fail(os.Stderr, err)
	}
	return c.finish(ctx, "deleted", applied)
}

// readFile reads a file of settings, or standard input if name is -.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, setting.MaxBytes+1))
	}
	raw, err := os.ReadFile(name)
	return raw, errors.Wrapf(err, "read %s", name)
}

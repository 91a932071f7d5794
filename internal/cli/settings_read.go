package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
)

type getCommand struct{ target }

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string {
	return "print a service's setting, ready to be edited and applied"
}

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return `get -object-api URL -team karrakin -service summary-model > setting.json
  Prints the setting with its version (if_version), so that apply refuses to overwrite a change that was made since.
`
}

// SetFlags defines the command's flags.
func (c *getCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	describeFlags(fs)
}

// Execute prints the setting.
func (c *getCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := readState(ctx, fs, &c.target)
	if err != nil {
		return fail(os.Stderr, err)
	}
	if state.Setting() == nil {
		return fail(os.Stderr, code.Errorf(code.SettingMissing, state.Key, "there is no such setting (version %d)", state.Version))
	}
	return printJSON(setting.File{Setting: editable(state.Setting()), IfVersion: &state.Version})
}

// readState reads the state of the service's setting that the flags name.
func readState(ctx context.Context, fs *flag.FlagSet, t *target) (*operator.State, error) {
	ctx, cancel, err := loadTarget(ctx, fs, t)
	defer cancel()
	if err != nil {
		return nil, err
	}
	return t.editor().Read(ctx, t.team, t.service)
}

// editable returns a copy of s without the fields that apply sets.
func editable(s *setting.Setting) setting.Setting {
	out := *s
	out.Digest, out.Change, out.Author, out.At = "", "", "", ""
	return out
}

// printJSON prints v as indented JSON.
func printJSON(v any) subcommands.ExitStatus {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}

type historyCommand struct {
	target
	json bool
}

// Name implements subcommands.Command.
func (*historyCommand) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*historyCommand) Synopsis() string {
	return "list the changes of a service's setting, the latest first"
}

// Usage implements subcommands.Command.
func (*historyCommand) Usage() string {
	return `history -object-api URL -team karrakin -service summary-model
  The latest 10 earlier states are kept in full, for rollback and diff; 50 more with id, author and version only.
`
}

// SetFlags defines the command's flags.
func (c *historyCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.BoolVar(&c.json, "json", false, "print JSON")
	describeFlags(fs)
}

// Execute prints the history.
func (c *historyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := readState(ctx, fs, &c.target)
	if err != nil {
		return fail(os.Stderr, err)
	}
	list := operator.History(state)
	if c.json {
		return printJSON(list)
	}
	printHistory(list)
	return subcommands.ExitSuccess
}

// printHistory prints the changes as a table.
func printHistory(list []setting.HistoryEntry) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VERSION\tAUTHOR\tAT\tCHANGE\tWHAT")
	for i, p := range list {
		what := "(setting not kept)"
		switch {
		case p.Deleted:
			what = "deleted"
		case p.Setting != nil && i+1 < len(list) && (list[i+1].Setting != nil || list[i+1].Deleted):
			what = operator.FormatChanges(setting.Diff(list[i+1].Setting, p.Setting), " ")
		case p.Setting != nil:
			what = "set"
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", p.Version, p.Author, p.At, p.Change, what)
	}
	_ = w.Flush()
}

type diffCommand struct {
	target
	file string
	from optionalVersion
	to   optionalVersion
}

// Name implements subcommands.Command.
func (*diffCommand) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCommand) Synopsis() string {
	return "compare a file, or an earlier version, with the setting in force"
}

// Usage implements subcommands.Command.
func (*diffCommand) Usage() string {
	return `diff -object-api URL -team karrakin -service summary-model -file setting.json
  diff -object-api URL -team karrakin -service summary-model -from 17 [-to 23]
  Prints one line for each field that differs. Changes nothing.
`
}

// SetFlags defines the command's flags.
func (c *diffCommand) SetFlags(fs *flag.FlagSet) {
	c.flags(fs)
	fs.StringVar(&c.file, "file", "", "file with a setting to compare with the one in force; - for standard input")
	fs.Var(&c.from, "from", "an earlier version; the present version if empty")
	fs.Var(&c.to, "to", "a version to compare with; the present version if empty")
	describeFlags(fs)
}

// Execute prints the difference.
func (c *diffCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	state, err := readState(ctx, fs, &c.target)
	if err != nil {
		return fail(os.Stderr, err)
	}
	from, err := settingAt(state, c.from)
	if err != nil {
		return fail(os.Stderr, err)
	}
	to, err := settingAt(state, c.to)
	if c.file != "" {
		to, err = fileSetting(c.file, state)
	}
	if err != nil {
		return fail(os.Stderr, err)
	}
	_, _ = fmt.Fprintln(os.Stdout, state.Key+operator.FormatChanges(setting.Diff(from, to), "\n  "))
	return subcommands.ExitSuccess
}

// settingAt returns the setting of a version, or the present setting if version is absent. It is nil for a deleted setting.
func settingAt(state *operator.State, version optionalVersion) (*setting.Setting, error) {
	if version.value == nil || *version.value == state.Version {
		return state.Setting(), nil
	}
	past, ok := state.Object.HistoryAt(*version.value)
	if !ok || (past.Setting == nil && !past.Deleted) {
		return nil, code.Errorf(code.SettingMissing, state.Key, "the history doesn't hold version %d in full; `settings history` lists the versions that it holds", *version.value)
	}
	return past.Setting, nil
}

// fileSetting reads a setting from a file. If it names the same weights as the setting in force, it gets that setting's digest.
func fileSetting(name string, state *operator.State) (*setting.Setting, error) {
	raw, err := readFile(name)
	if err != nil {
		return nil, err
	}
	f, err := setting.ParseFile(name, raw)
	if err != nil {
		return nil, err
	}
	s := f.Setting
	present := state.Setting()
	if present != nil && s.Digest == "" && s.SameWeights(present) {
		s.Digest = present.Digest
	}
	return &s, nil
}

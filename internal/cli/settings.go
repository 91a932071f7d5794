package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/source"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// operatorTimeout is the timeout of a command that reads or changes settings.
const operatorTimeout = 30 * time.Second

// settingsName is the name of the command that has subcommands.
const settingsName = "settings"

// newSettingsCommand returns the command `settings`.
func newSettingsCommand() subcommands.Command { return &settingsCommand{} }

type settingsCommand struct{}

// Name implements subcommands.Command.
func (*settingsCommand) Name() string { return settingsName }

// Synopsis implements subcommands.Command.
func (*settingsCommand) Synopsis() string {
	return "read and change what services run (get, apply, diff, history, rollback, delete)"
}

// Usage implements subcommands.Command.
func (*settingsCommand) Usage() string {
	return `settings get|apply|diff|history|rollback|delete [flags]
  samphireweir settings get -object-api URL -team karrakin -service summary-model > setting.json
  samphireweir settings apply -object-api URL -origin URL -team karrakin -service summary-model -file setting.json
  samphireweir settings help apply
`
}

// SetFlags defines no flags; each subcommand has its own.
func (*settingsCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand.
func (c *settingsCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sub := flag.NewFlagSet("samphireweir settings", flag.ContinueOnError)
	commander := subcommands.NewCommander(sub, "samphireweir settings")
	commander.Register(commander.HelpCommand(), "")
	for _, command := range settingsSubcommands() {
		commander.Register(command, "")
	}
	if err := sub.Parse(fs.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}

// settingsSubcommands returns the subcommands of `settings`.
func settingsSubcommands() []subcommands.Command {
	return []subcommands.Command{
		&getCommand{}, &applyCommand{}, &diffCommand{}, &historyCommand{}, &rollbackCommand{}, &deleteCommand{},
	}
}

// target holds the flags that name the service of a settings command and the platform's addresses.
type target struct {
	objectAPI string
	team      string
	service   string
	// asTeam is the operator's own team.
	asTeam string
	// process is the URL of any process's address for operators.
	process string
	// weightStore and origin are the URLs of the sources that resolve versions.
	weightStore string
	origin      string
	trace       telemetry.TraceConfig
}

// flags defines the flags of t on fs.
func (t *target) flags(fs *flag.FlagSet) {
	fs.StringVar(&t.objectAPI, "object-api", "", "URL of the platform's object API")
	fs.StringVar(&t.team, "team", "", "the service's team; your own team (-as-team) if empty")
	fs.StringVar(&t.service, "service", "", "name of the service")
	fs.StringVar(&t.asTeam, "as-team", "", "your own team")
	fs.StringVar(&t.weightStore, "weight-store", "", "URL of the weight store")
	fs.StringVar(&t.origin, "origin", "", "URL of the origin of weights")
	fs.StringVar(&t.process, "process", "", "operators' address of any process of the system, as a URL")
}

// Check returns an error for the first flag that is missing or invalid.
func (t *target) Check() error {
	if err := node.CheckURL("object-api", t.objectAPI); err != nil {
		return err
	}
	if t.team == "" {
		t.team = t.asTeam
	}
	for _, n := range []struct{ field, value string }{{"-team", t.team}, {"-service", t.service}} {
		if !setting.ValidName(n.value) {
			return code.Errorf(code.BadProcessSetting, n.field, "%q, want a name of a-z, 0-9 and - such as %q", n.value, "summary-model")
		}
	}
	if t.process != "" {
		return node.CheckURL("process", t.process)
	}
	return nil
}

func (t *target) key() string { return setting.Key(t.team, t.service) }

// client returns an HTTP client for the platform that traces changes of settings.
func (t *target) client() *http.Client {
	client := &http.Client{Timeout: operatorTimeout}
	t.trace.Synchronous = true
	traces, err := telemetry.NewTraces(t.trace, "operator", t.asTeam, os.Stderr)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "tracing is off, exporter failed:", err)
	}
	traces.Client(client, telemetry.PlatformSpanName)
	return client
}

// editor returns an editor of settings for the flags of t.
func (t *target) editor() *operator.Editor {
	client := t.client()
	e := &operator.Editor{Objects: objectapi.NewClient(t.objectAPI, client)}
	for _, base := range []string{t.weightStore, t.origin} {
		if base != "" {
			e.Sources = append(e.Sources, source.NewClient(base, client))
		}
	}
	return e
}

// change holds the flags of a command that changes a setting.
type change struct {
	target
	otherTeam string
	author    string
	ifVersion optionalVersion
	wait      bool
	waitFor   time.Duration
}

// flags defines the flags of c on fs.
func (c *change) flags(fs *flag.FlagSet) {
	c.target.flags(fs)
	c.trace.Flags(fs)
	fs.StringVar(&c.otherTeam, "other-team", "", "another team's name, required to change its setting")
	fs.StringVar(&c.author, "author", "", "author of the change; the variable USER if empty")
	fs.Var(&c.ifVersion, "if-version", "the version that you saw; the change is refused if the setting changed since")
	fs.BoolVar(&c.wait, "wait", false, "wait until every process has the change in force (requires -process)")
	fs.DurationVar(&c.waitFor, "wait-for", operatorTimeout, "timeout of -wait")
}

// Check returns an error for the first flag that is missing or invalid, and for another team's setting unless -other-team names the
// team.
func (c *change) Check() error {
	if err := c.target.Check(); err != nil {
		return err
	}
	if err := c.trace.Check(); err != nil {
		return err
	}
	if c.wait && c.process == "" {
		return code.Errorf(code.ConflictingSettings, "-wait and -process", "-wait wants -process, the operators' address of any process, such as http://10.0.0.5:7071")
	}
	if c.asTeam == "" || c.team == c.asTeam || c.team == c.otherTeam {
		return nil
	}
	return code.Errorf(code.OtherTeam, "-team", "%s belongs to team %q and you are in %q; nothing was changed. To change it anyway, add -other-team %s",
		c.key(), c.team, c.asTeam, c.team)
}

// editor returns an editor of settings that records the author.
func (c *change) editor() *operator.Editor {
	e := c.target.editor()
	e.Author = c.author
	if e.Author == "" {
		e.Author = os.Getenv("USER")
	}
	return e
}

// finish prints an accepted change and, with -wait, waits until it is in force everywhere.
func (c *change) finish(ctx context.Context, verb string, a operator.Applied) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(os.Stdout, "%s %s at revision %d %s\n", verb, a.Key, a.Revision, a.Digest)
	if a.Recovered {
		_, _ = fmt.Fprintln(os.Stdout, "  the platform's answer was lost; a later attempt confirmed the change")
	}
	for _, later := range a.LaterChanges {
		_, _ = fmt.Fprintf(os.Stdout, "  a later change followed: version %d by %s\n", later.Version, later.Author)
	}
	if !c.wait {
		return subcommands.ExitSuccess
	}
	return c.awaitInForce(ctx, a)
}

// optionalVersion is a version flag that may be absent. Version 0 means that the setting must not exist yet.
type optionalVersion struct{ value *uint64 }

// String implements flag.Value.
func (o *optionalVersion) String() string {
	if o.value == nil {
		return ""
	}
	return fmt.Sprint(*o.value)
}

// Set implements flag.Value.
func (o *optionalVersion) Set(text string) error {
	var v uint64
	if _, err := fmt.Sscan(text, &v); err != nil {
		return code.Errorf(code.BadProcessSetting, "-if-version", "%q, want a version such as 17, as `settings get` prints it", text)
	}
	o.value = &v
	return nil
}

// loadTarget calls loadFlags and returns a context with the timeout of the command.
func loadTarget(ctx context.Context, fs *flag.FlagSet, c checker) (context.Context, context.CancelFunc, error) {
	if err := loadFlags(fs, c); err != nil {
		return ctx, func() {}, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	return ctx, cancel, nil
}

// describeFlags adds the name of its environment variable to the help of each flag.
func describeFlags(fs *flag.FlagSet) { config.AddEnvNames(fs) }

// versionSeen returns the version that the operator saw, from -if-version. If it is absent, the error names the present version.
func (c *change) versionSeen(ctx context.Context) (uint64, error) {
	if c.ifVersion.value != nil {
		return *c.ifVersion.value, nil
	}
	state, err := c.editor().Read(ctx, c.team, c.service)
	if err != nil {
		return 0, err
	}
	return 0, code.Errorf(code.SettingConflict, c.key(),
		"-if-version is missing, want the version that you saw; the present version is %d, by %s at %s", state.Version, state.Object.Author, state.Object.At)
}

package experiment

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	settingsTeam = "karrakin"
	// settlePause is how long the processes run before the idle window starts.
	settlePause = 12 * time.Second
	// pollInterval is the time between two counts of the processes that have applied a change.
	pollInterval = 10 * time.Millisecond
	// changeTimeout bounds the wait for a change.
	changeTimeout = 30 * time.Second
	// stopGrace bounds the shutdown of all processes.
	stopGrace = 10 * time.Second
	// processesPerEntry is the number of processes for each entry: one in so many is an entry and the others are agents.
	processesPerEntry = 15
	// startBatch is how many processes are started at once.
	startBatch = 25
)

var settingsDataCentres = []struct{ name, region string }{
	{"perth-a", "west"}, {"karratha-a", "west"}, {"mackay-b", "east"}, {"cairns-b", "east"},
}

// settingsCommand is the settings subcommand.
type settingsCommand struct {
	processes int
	services  int
	changes   int
	idle      time.Duration
	out       string
}

// NewSettingsCommand returns the settings subcommand.
func NewSettingsCommand() subcommands.Command { return &settingsCommand{} }

// Name returns the subcommand's name.
func (*settingsCommand) Name() string { return "settings" }

// Synopsis returns a one-line description.
func (*settingsCommand) Synopsis() string {
	return "measures how settings reach separate processes, and the cost of the control traffic"
}

// Usage returns an example invocation.
func (*settingsCommand) Usage() string {
	return "experiment settings -processes 50 -out docs/data/settings.csv\n  Appends its measurements to the file.\n"
}

// SetFlags declares the subcommand's flags.
func (c *settingsCommand) SetFlags(fs *flag.FlagSet) {
	fs.IntVar(&c.processes, "processes", 10, "number of processes")
	fs.IntVar(&c.services, "services", 20, "number of services with a setting")
	fs.IntVar(&c.changes, "changes", 9, "number of changes that are timed")
	fs.DurationVar(&c.idle, "idle", 20*time.Second, "duration of the measurement without changes")
	fs.StringVar(&c.out, "out", "", "file that the measurements are appended to; standard output when empty")
}

// Execute runs the measurement and writes its values.
func (c *settingsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rows, err := c.measure(ctx)
	if err == nil {
		err = appendRows(c.out, c.processes, rows)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// measurement is one measured value.
type measurement struct {
	metric string
	value  float64
}

func (c *settingsCommand) measure(ctx context.Context) ([]measurement, error) {
	folder, err := os.MkdirTemp("", "samphireweir-settings-")
	if err != nil {
		return nil, errors.Wrap(err, "creating a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := processes.Build(ctx, folder); err != nil {
		return nil, err
	}
	f := &realFleet{folder: folder, client: standinclient.NewClient()}
	defer f.stop()
	if err := f.start(ctx, c.processes); err != nil {
		return nil, err
	}
	editor := &operator.Editor{Objects: objectapi.NewClient("http://"+f.objects, http.DefaultClient), Author: "experiment"}
	if err := c.applyAll(ctx, f, editor); err != nil {
		return nil, err
	}
	time.Sleep(settlePause)
	rows, err := f.idle(ctx, c.idle)
	if err != nil {
		return nil, err
	}
	perChange, err := c.bytesPerChange(ctx, f, editor, rows)
	if err != nil {
		return nil, err
	}
	rows = append(rows, perChange)
	for n := range c.changes {
		took, err := f.timeChange(ctx, editor, n)
		if err != nil {
			return nil, err
		}
		rows = append(rows, measurement{"accept_to_last_ms", took.Seconds() * 1000})
		time.Sleep(700 * time.Millisecond)
	}
	return rows, nil
}

// applyAll applies the settings of all services and waits until every process has applied them.
func (c *settingsCommand) applyAll(ctx context.Context, f *realFleet, e *operator.Editor) error {
	var last operator.Applied
	for n := range c.services {
		s := &setting.Setting{Kind: setting.Plain, Places: map[string]int{"perth-a": n}, NonIdempotent: []string{"POST"}}
		var err error
		if last, err = e.Apply(ctx, settingsTeam, fmt.Sprintf("service-%d", n), s, 0); err != nil {
			return err
		}
	}
	_, err := f.awaitInForce(ctx, last)
	return err
}

// bytesPerChange measures the control traffic of a process for one change, in bytes beyond the idle traffic. No process is polled meanwhile, since
// polls are control traffic too.
func (c *settingsCommand) bytesPerChange(ctx context.Context, f *realFleet, e *operator.Editor, idle []measurement) (measurement, error) {
	before, err := f.usages(ctx)
	if err != nil {
		return measurement{}, err
	}
	startedAt := time.Now()
	for n := range c.changes {
		if _, err := f.change(ctx, e, 200+n); err != nil {
			return measurement{}, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	after, err := f.usages(ctx)
	if err != nil {
		return measurement{}, err
	}
	seconds := time.Since(startedAt).Seconds()
	sum := 0.0
	for i := range after {
		sum += float64(after[i].control - before[i].control)
	}
	extra := sum/float64(len(after)) - seconds*valueOf(idle, "control_bytes_per_s_mean")
	return measurement{"control_bytes_per_change", extra / float64(c.changes)}, nil
}

func valueOf(rows []measurement, metric string) float64 {
	for _, r := range rows {
		if r.metric == metric {
			return r.value
		}
	}
	return 0
}

// timeChange returns the time from the acceptance of a change until the last process has applied it. It includes the time of the polls.
func (f *realFleet) timeChange(ctx context.Context, e *operator.Editor, n int) (time.Duration, error) {
	applied, err := f.change(ctx, e, n)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	_, err = f.awaitInForce(ctx, applied)
	return time.Since(accepted), err
}

// change makes one change of a setting.
func (f *realFleet) change(ctx context.Context, e *operator.Editor, n int) (operator.Applied, error) {
	state, err := e.Read(ctx, settingsTeam, "service-0")
	if err != nil {
		return operator.Applied{}, err
	}
	s := &setting.Setting{Kind: setting.Plain, Places: map[string]int{"perth-a": 100 + n}, NonIdempotent: []string{"POST"}}
	return e.Apply(ctx, settingsTeam, "service-0", s, state.Version)
}

func (f *realFleet) awaitInForce(ctx context.Context, a operator.Applied) (fleet.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	fleetClient := &operator.FleetClient{Base: "http://" + f.addresses[0].Operators, HTTP: http.DefaultClient}
	for {
		found, err := fleetClient.InForce(ctx, a.Key, a.Revision)
		if err == nil && found.Everywhere() && found.Processes == len(f.addresses) {
			return found, nil
		}
		if ctx.Err() != nil {
			return found, errors.Errorf("timed out waiting for a setting: in force on %d of %d processes (%d expected): %v", found.Current, found.Processes, len(f.addresses), err)
		}
		time.Sleep(pollInterval)
	}
}

func appendRows(name string, n int, rows []measurement) error {
	out := os.Stdout
	if name != "" {
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			return errors.Wrap(err, "creating the output folder")
		}
		f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "opening the output file")
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	w := csv.NewWriter(out)
	if at, err := out.Seek(0, io.SeekEnd); err == nil && at == 0 {
		_ = w.Write([]string{"processes", "metric", "value"})
	}
	for _, r := range rows {
		_ = w.Write([]string{strconv.Itoa(n), r.metric, strconv.FormatFloat(r.value, 'f', 3, 64)})
	}
	w.Flush()
	return w.Error()
}

package experiment

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// Row is one measured value.
type Row struct {
	Scenario string
	Variant  string
	// Load is the offered load as a fraction of the capacity.
	Load   float64
	Metric string
	Value  float64
}

// scenario runs one kind of measurement and passes its rows to out.
type scenario func(o options, out func(Row)) error

// options are the options of a run.
type options struct {
	seed  uint64
	runs  int
	scale float64
	// unlimited also measures overload without limits. The timeouts of its callers leave so many closing connections that ephemeral ports are
	// exhausted for a minute.
	unlimited bool
}

var scenarios = map[string]scenario{
	"overload": overload,
	"flood":    flood,
	"policies": policies,
	"brownout": brownout,
	"restart":  restart,
}

// command is the routing subcommand.
type command struct {
	options
	only string
	out  string
}

// NewCommand returns the routing subcommand.
func NewCommand() subcommands.Command { return &command{} }

// Name returns the subcommand's name.
func (*command) Name() string { return "routing" }

// Synopsis returns a one-line description.
func (*command) Synopsis() string { return "measures routing, admission control and shutdown" }

// Usage returns an example invocation.
func (*command) Usage() string {
	return "experiment routing -only overload,flood,policies,brownout,restart -runs 3 -out routing.csv\n"
}

// SetFlags declares the subcommand's flags.
func (c *command) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.only, "only", "overload,flood,policies,brownout,restart", "comma-separated scenarios")
	fs.StringVar(&c.out, "out", "", "file for the rows as CSV; standard output when empty")
	fs.IntVar(&c.runs, "runs", 3, "runs of each scenario, with consecutive seeds")
	fs.Uint64Var(&c.seed, "seed", 1, "first seed")
	fs.BoolVar(&c.unlimited, "unlimited", true, "also measure overload without limits")
	fs.Float64Var(&c.scale, "scale", 1, "factor for the duration of each load")
}

// Execute runs the selected scenarios.
func (c *command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) run() error {
	var out io.Writer = os.Stdout
	if c.out != "" {
		f, err := os.Create(c.out)
		if err != nil {
			return errors.Wrap(err, "creating the CSV file")
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	w := csv.NewWriter(out)
	_ = w.Write([]string{"scenario", "variant", "run", "load", "metric", "value"})
	for _, name := range strings.Split(c.only, ",") {
		s := scenarios[name]
		if s == nil {
			return errors.Errorf("unknown scenario %q", name)
		}
		for run := range c.runs {
			o := c.options
			o.seed += uint64(run)
			if err := s(o, func(r Row) { writeRow(w, run, r) }); err != nil {
				return errors.Wrapf(err, "scenario %s", name)
			}
		}
	}
	w.Flush()
	return errors.Wrap(w.Error(), "writing the CSV file")
}

func writeRow(w *csv.Writer, run int, r Row) {
	_ = w.Write([]string{
		r.Scenario, r.Variant, fmt.Sprint(run), fmt.Sprint(r.Load), r.Metric, fmt.Sprintf("%.4g", r.Value),
	})
	w.Flush()
}

package emulator

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

// command is the policy subcommand.
type command struct {
	seeds, jobs int
	out, plot   string
}

// NewCommand returns the policy subcommand.
func NewCommand() subcommands.Command { return &command{} }

// Name returns the subcommand's name.
func (*command) Name() string { return "policy" }

// Synopsis returns a one-line description.
func (*command) Synopsis() string { return "compares routing policies on emulated loads" }

// Usage returns an example invocation.
func (*command) Usage() string {
	return "experiment policy -seeds 3 -jobs 6 -out policy.csv -plot policy.svg\n"
}

// SetFlags declares the subcommand's flags.
func (c *command) SetFlags(fs *flag.FlagSet) {
	fs.IntVar(&c.seeds, "seeds", 3, "simulations of each policy variant on each load pattern")
	fs.IntVar(&c.jobs, "jobs", 0, "simulations at once; 0 for one per processor")
	fs.StringVar(&c.out, "out", "", "file for the rows as CSV; none when empty")
	fs.StringVar(&c.plot, "plot", "", "file for the plot as SVG; none when empty")
}

// Execute runs the comparison and prints its table.
func (c *command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) run(out, progress io.Writer) error {
	variants := Variants()
	var finished atomic.Int64
	all := (len(Patterns) + len(PriorityPatterns)) * len(variants) * c.seeds
	oneDone := func() { fmt.Fprintf(progress, "\r%d of %d simulations", finished.Add(1), all) }
	rows := Compare(Streams(), Patterns, variants, c.seeds, c.jobs, oneDone)
	rows = append(rows, Compare(Priorities(), PriorityPatterns, variants, c.seeds, c.jobs, oneDone)...)
	fmt.Fprintln(progress)
	if err := printTable(out, rows); err != nil {
		return err
	}
	if c.plot != "" {
		if err := drawRows(rows, c.plot); err != nil {
			return err
		}
	}
	if c.out == "" {
		return nil
	}
	return writeRows(c.out, rows)
}

var columns = []string{"pattern", "way", "in time", "spread", "bound", "late", "refused", "refused twice", "failed", "worst second", "worst centre"}

func (r Row) cells() []string {
	cells := []string{r.Pattern, r.Variant}
	for _, v := range []float64{r.InTime, r.StdDev, r.Bound, r.Late, r.Refused, r.Twice, r.Failed, r.WorstSecond, r.WorstCentre} {
		cells = append(cells, strconv.FormatFloat(v, 'f', 4, 64))
	}
	return cells
}

func printTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(cells []string) {
		for _, cell := range cells {
			_, _ = fmt.Fprintf(w, "%s\t", cell) // Flush returns the error.
		}
		_, _ = fmt.Fprintln(w)
	}
	line(columns)
	for _, r := range rows {
		line(r.cells())
	}
	return errors.Wrap(w.Flush(), "printing the table")
}

func writeRows(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "creating the CSV file")
	}
	w := csv.NewWriter(file)
	err = w.Write(columns)
	for _, r := range rows {
		err = errors.Wrap(firstError(err, w.Write(r.cells())), "writing the CSV rows")
	}
	w.Flush()
	return firstError(err, w.Error(), file.Close())
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/node"
)

const (
	// weightsTimeout is the timeout of a call to a process.
	weightsTimeout = 5 * time.Second
	// maxViewBytes is the maximum size of a process's answer.
	maxViewBytes = 4 << 20
	// bytesPerMB is the number of bytes in the unit of the table.
	bytesPerMB = 1e6
	// shownDigestChars is the number of characters of a digest that are shown.
	shownDigestChars = 12
)

// weightsCommand shows the progress of bursts, the distribution of versions of weights to hosts.
type weightsCommand struct {
	operators string
	model     string
	asJSON    bool
	watch     time.Duration
}

// Name implements subcommands.Command.
func (*weightsCommand) Name() string { return "weights" }

// Synopsis implements subcommands.Command.
func (*weightsCommand) Synopsis() string { return "show the progress of weights on their hosts" }

// Usage implements subcommands.Command.
func (*weightsCommand) Usage() string {
	return `weights -operators 10.0.0.5:9090 [-model summary] [-watch 2s]
  Shows for each version and data centre how many hosts hold, load and serve it, at which rate and from which sources it is
  fetched, when it is expected to be done, and which hosts are stuck and why. Any entry can answer: it asks the hosts that
  take part for their progress. An agent can answer too, but doesn't know what the engines of other hosts run.
`
}

// SetFlags defines the command's flags.
func (c *weightsCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.operators, "operators", "", "operators' address of any agent or entry, IP:PORT")
	fs.StringVar(&c.model, "model", "", "show only this model")
	fs.BoolVar(&c.asJSON, "json", false, "print the answer of the process as JSON")
	fs.DurationVar(&c.watch, "watch", 0, "interval of updates, until interrupted; 0 shows the state once")
	config.AddEnvNames(fs)
}

// Check returns an error if -operators is missing.
func (c *weightsCommand) Check() error {
	if c.operators == "" {
		return code.Errorf(code.BadProcessSetting, "-operators", "empty, want the operators' address of an agent or entry, IP:PORT")
	}
	return nil
}

// Execute prints the progress, once or with -watch repeatedly.
func (c *weightsCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := loadFlags(fs, c); err != nil {
		return fail(os.Stderr, err)
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	for {
		if err := c.show(ctx, os.Stdout); err != nil {
			return fail(os.Stderr, err)
		}
		if c.watch <= 0 {
			return subcommands.ExitSuccess
		}
		select {
		case <-ctx.Done():
			return subcommands.ExitSuccess
		case <-time.After(c.watch):
		}
	}
}

// show reads the view of the process and writes it to w.
func (c *weightsCommand) show(ctx context.Context, w io.Writer) error {
	raw, err := readView(ctx, c.operators)
	if err != nil {
		return err
	}
	if c.asJSON {
		_, err = w.Write(raw)
		return errors.Wrap(err, "write view")
	}
	var view core.BurstView
	if err := json.Unmarshal(raw, &view); err != nil {
		return errors.Wrapf(err, "decode view of %s", c.operators)
	}
	return writeBursts(w, view, c.model)
}

// readView returns the JSON view of the process at an operators' address.
func readView(ctx context.Context, operators string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+node.BurstsPath, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "-operators %q, want IP:PORT", operators)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "call process at -operators %q", operators)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("call process at -operators %q: status %d", operators, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxViewBytes))
	return raw, errors.Wrapf(err, "read answer of %s", operators)
}

// writeBursts writes the bursts of a model, or of all models if model is empty.
func writeBursts(w io.Writer, view core.BurstView, model string) error {
	if view.Unanswered > 0 {
		_, _ = fmt.Fprintf(w, "%d hosts that take part did not answer and are not counted\n", view.Unanswered)
	}
	shown := 0
	for _, b := range view.Bursts {
		if model != "" && b.Model != model {
			continue
		}
		shown++
		if err := writeBurst(w, b); err != nil {
			return err
		}
	}
	if shown == 0 {
		_, err := fmt.Fprintln(w, "no setting in force at this process names the model")
		return errors.Wrap(err, "write bursts")
	}
	return nil
}

// writeBurst writes one burst as a table with a row for each data centre, and the hosts that are stuck.
func writeBurst(w io.Writer, b core.FleetBurst) error {
	_, _ = fmt.Fprintf(w, "%s/%s/%s  digest %s  policy %s  services %s\n",
		b.Model, b.Adapter, b.Version, b.Digest[:min(shownDigestChars, len(b.Digest))], b.Policy, strings.Join(b.Services, ", "))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  place\twanted\thosts\thold\tload\tserve\tthere\trate MB/s\tfrom place/region/other/origin MB\tdone in")
	for _, p := range b.Places {
		_, _ = fmt.Fprintf(table, "  %s\t%d\t%d\t%d\t%d\t%d\t%d%%\t%.1f\t%s\t%s\n",
			p.Place, p.Wanted, p.Hosts, p.Holding, p.Loading, p.Serving, p.Percent, float64(p.Rate)/bytesPerMB, megabytesBySource(p), timeLeft(p))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write bursts")
	}
	for _, p := range b.Places {
		for _, s := range p.Stuck {
			_, _ = fmt.Fprintf(w, "  stuck: %s in %s: %d %s: %s\n", s.Host, p.Place, s.Code, s.Code.Describe().Name, s.Text)
		}
	}
	_, err := fmt.Fprintln(w)
	return errors.Wrap(err, "write bursts")
}

// megabytesBySource formats the megabytes fetched from each source, in the order of the table's heading.
func megabytesBySource(p core.PlaceBurst) string {
	parts := make([]string, 0, len(p.From))
	for _, n := range p.From {
		parts = append(parts, fmt.Sprintf("%.0f", float64(n)/bytesPerMB))
	}
	return strings.Join(parts, "/")
}

// timeLeft formats the expected time until a data centre has the version, or its state.
func timeLeft(p core.PlaceBurst) string {
	switch {
	case p.Hosts > 0 && p.Serving >= p.Wanted:
		return "done"
	case len(p.Stuck) > 0:
		return "stuck"
	case p.LeftMS > 0:
		return (time.Duration(p.LeftMS) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	return "-"
}

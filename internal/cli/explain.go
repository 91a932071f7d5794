package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/explain"
)

// explainCommand explains from logs the outcome of a request, how a change of the known state spread, how a version was installed, or
// why requests were not answered in time.
type explainCommand struct {
	request string
	changes string
	sample  int
	seed    uint64
	losses  bool
	install string
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "explain from logs the outcome of a request, or how a change of the known state spread"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain -request 3c67139be7bbc25e FILE...
  explain -belief manifest FILE...
  explain -belief upstreams/i-7f3a91c2 FILE...
  explain -sample 20 -seed 1 FILE...
  explain -losses FILE...
  explain -install MODEL/VERSION FILE...
  Reads log files, or standard input if no file is given. -request prints the lines of one request, related events at its entry in
  the 10 seconds before its end, and which lines are missing. For a request that found no capacity it prints the predicted wait and the
  work ahead, and which requests its entry sent in the second before. -belief prints when the processes learned of a change of the
  manifest, an upstream or a version. -sample draws failed and refused requests and prints the outcome and the cause of each. -losses
  counts the requests that were not answered in time, by reason, and all by priority, account and data centre. -install prints when
  hosts reached each step of a version's installation.
  Malformed lines are counted.
`
}

// SetFlags defines the command's flags.
func (c *explainCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.request, "request", "", "id of a request, as its caller gave it")
	fs.StringVar(&c.changes, "belief", "", "topic of the known state: manifest, upstreams, versions or source, with /NAME for one upstream or model")
	fs.IntVar(&c.sample, "sample", 0, "number of failed and refused requests to draw")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of -sample; the same logs and seed give the same requests")
	fs.BoolVar(&c.losses, "losses", false, "count the requests that were not answered in time, by reason")
	fs.StringVar(&c.install, "install", "", "MODEL/VERSION whose installation is printed")
	describeFlags(fs)
}

// Check returns an error unless exactly one of the flags says what to explain.
func (c *explainCommand) Check() error {
	given := 0
	for _, set := range []bool{c.request != "", c.changes != "", c.sample != 0, c.losses, c.install != ""} {
		if set {
			given++
		}
	}
	if given != 1 || c.sample < 0 {
		return code.Errorf(code.BadProcessSetting, "-request, -belief, -sample, -losses, -install", "want one of them, and a positive number for -sample")
	}
	if _, _, err := c.version(); c.install != "" && err != nil {
		return code.Errorf(code.BadProcessSetting, "-install", "%q, want MODEL/VERSION", c.install)
	}
	return nil
}

// version returns the model and the version of -install.
func (c *explainCommand) version() (string, int64, error) {
	model, text, _ := strings.Cut(c.install, "/")
	number, err := strconv.ParseInt(text, 10, 64)
	return model, number, errors.Wrap(err, "parse version")
}

// Execute reads the logs and prints the explanation.
func (c *explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := config.FromEnvironment(fs, os.Environ(), knownVariables())
	if err == nil {
		err = c.Check()
	}
	var log *explain.Log
	if err == nil {
		log, err = readLogs(fs.Args())
	}
	if err == nil {
		err = c.print(os.Stdout, log)
	}
	if err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}

// readLogs reads log files, or standard input if names is empty.
func readLogs(names []string) (*explain.Log, error) {
	if len(names) == 0 {
		return explain.Read(os.Stdin)
	}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		readers = append(readers, f)
	}
	return explain.Read(readers...)
}

// print writes the explanation for which the flags ask.
func (c *explainCommand) print(w io.Writer, log *explain.Log) error {
	_, _ = fmt.Fprintf(w, "%d lines, %d malformed lines, %d lines dropped by their processes\n\n", len(log.Lines), log.Malformed, log.Dropped)
	switch {
	case c.request != "":
		v, ok := log.Explain(c.request)
		if !ok {
			return errors.Errorf("no line has request id %s: no entry of these logs received the request, or its lines were dropped", c.request)
		}
		return v.Print(w)
	case c.losses:
		return log.Losses().Print(w)
	case c.install != "":
		model, version, err := c.version()
		if err != nil {
			return err
		}
		return log.Installs(model, version).Print(w)
	case c.changes != "":
		topic, of, _ := strings.Cut(c.changes, "/")
		return log.StateChanges(topic, of).Print(w)
	}
	return c.printSample(w, log)
}

// printSample writes the outcome and the cause of each request of a sample.
func (c *explainCommand) printSample(w io.Writer, log *explain.Log) error {
	ids := log.Sample(c.sample, c.seed)
	explained := 0
	for _, id := range ids {
		v, _ := log.Explain(id)
		if v.Cause != "" && len(v.Missing) == 0 {
			explained++
		}
		_, _ = fmt.Fprintf(w, "%s  %s\n    cause: %s\n", id, v.Outcome, v.Cause)
		for _, m := range v.Missing {
			_, _ = fmt.Fprintf(w, "    missing: %s\n", m)
		}
	}
	_, err := fmt.Fprintf(w, "\n%d of %d drawn requests have a known cause; %d failed or were refused in total\n", explained, len(ids), len(log.Failures()))
	return err
}

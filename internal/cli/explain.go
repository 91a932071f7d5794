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
	"samphireweir.example/samphireweir/internal/story"
)

// explainCommand tells from logs what became of a request or how a belief spread.
type explainCommand struct {
	request string
	belief  string
	sample  int
	seed    uint64
	losses  bool
	install string
}

// Name returns the command's name.
func (*explainCommand) Name() string { return "explain" }

// Synopsis describes the command in a line.
func (*explainCommand) Synopsis() string {
	return "tell from the logs of several processes what became of a request, or how a belief spread"
}

// Usage gives an example.
func (*explainCommand) Usage() string {
	return `explain -request 3c67139be7bbc25e FILE...
  explain -belief manifest FILE...
  explain -belief upstreams/i-7f3a91c2 FILE...
  explain -sample 20 -seed 1 FILE...
  explain -losses FILE...
  explain -install MODEL/VERSION FILE...
  Reads log files, or standard input when none is named. -request prints the lines of one request, what its entry learned in the ten
  seconds before its end, and what is missing. -belief prints how a manifest, an upstream or a version went through the processes. -sample
  draws failed and refused requests and prints a line on each. -losses counts the requests that were not answered in time, by reason. -install tells when hosts took each step of a version's way to
  their engines. Lines that can't be read are counted.
`
}

// SetFlags declares the flags.
func (c *explainCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.request, "request", "", "id of a request, as its caller gave it")
	fs.StringVar(&c.belief, "belief", "", "manifest, upstreams, versions or source, with /NAME for one upstream or model")
	fs.IntVar(&c.sample, "sample", 0, "how many failed requests to draw")
	fs.Uint64Var(&c.seed, "seed", 1, "seed of the draw; the same logs give the same requests")
	fs.BoolVar(&c.losses, "losses", false, "count the requests that were not answered in time, by reason")
	fs.StringVar(&c.install, "install", "", "MODEL/VERSION whose way to the engines is told")
	describeFlags(fs)
}

// Check refuses flags that don't say what to explain.
func (c *explainCommand) Check() error {
	asked := 0
	for _, set := range []bool{c.request != "", c.belief != "", c.sample != 0, c.losses, c.install != ""} {
		if set {
			asked++
		}
	}
	if asked != 1 || c.sample < 0 {
		return code.Errorf(code.BadProcess, "-request, -belief, -sample, -losses, -install", "want one of them, and a positive number for -sample")
	}
	if _, _, err := c.version(); c.install != "" && err != nil {
		return code.Errorf(code.BadProcess, "-install", "%q, want MODEL/VERSION", c.install)
	}
	return nil
}

// version is the model and the version of -install.
func (c *explainCommand) version() (string, int64, error) {
	model, text, _ := strings.Cut(c.install, "/")
	number, err := strconv.ParseInt(text, 10, 64)
	return model, number, errors.Wrap(err, "read a version")
}

// Execute prints the story.
func (c *explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := config.FromEnvironment(fs, os.Environ(), variables())
	if err == nil {
		err = c.Check()
	}
	var log *story.Log
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

// readLogs reads files, or standard input when there are none.
func readLogs(names []string) (*story.Log, error) {
	if len(names) == 0 {
		return story.Read(os.Stdin)
	}
	var readers []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		defer func() { _ = f.Close() }()
		readers = append(readers, f)
	}
	return story.Read(readers...)
}

func (c *explainCommand) print(w io.Writer, log *story.Log) error {
	_, _ = fmt.Fprintf(w, "%d lines, %d that can't be read, %d dropped by their processes\n\n", len(log.Lines), log.Bad, log.Dropped)
	switch {
	case c.request != "":
		v, ok := log.Explain(c.request)
		if !ok {
			return errors.Errorf("no line names request %s: it came to no entry of these logs, or its lines were dropped", c.request)
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
	case c.belief != "":
		topic, of, _ := strings.Cut(c.belief, "/")
		return log.Belief(topic, of).Print(w)
	}
	return c.printSample(w, log)
}

func (c *explainCommand) printSample(w io.Writer, log *story.Log) error {
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
	_, err := fmt.Fprintf(w, "\n%d of %d drawn lead to a cause, of %d that failed or were refused\n", explained, len(ids), len(log.Failures()))
	return err
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/hostlist"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/operator"
)

// statusTimeout is the timeout of a call to one process.
const statusTimeout = 5 * time.Second

// maxStatusAttempts is the maximum number of processes of the host list that are called.
const maxStatusAttempts = 5

type statusCommand struct {
	process  string
	hostList string
	secret   string
	json     bool
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show what should run, what runs, what is wrong and what to do next"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status -process http://10.0.0.5:7071 [-json]
  status -host-list URL -secret S [-json]
  Asks one process what it knows of the whole system: the one at the operators' address, or a live one of the host list.
`
}

// SetFlags defines the command's flags.
func (c *statusCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.process, "process", "", "operators' address of any process of the system, as a URL")
	fs.StringVar(&c.hostList, "host-list", "", "URL of the platform's host list")
	fs.StringVar(&c.secret, "secret", "", "secret shared by the system's processes; prefer the environment variable")
	fs.BoolVar(&c.json, "json", false, "print JSON")
	describeFlags(fs)
}

// Check returns an error for the first flag that is missing or invalid.
func (c *statusCommand) Check() error {
	if c.process != "" {
		return node.CheckURL("process", c.process)
	}
	if c.hostList == "" {
		return code.Errorf(code.BadProcessSetting, "-process", "empty, want the operators' address of any process, such as http://10.0.0.5:7071, or -host-list and -secret")
	}
	return node.CheckURL("host-list", c.hostList)
}

// Execute prints the status.
func (c *statusCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := loadFlags(fs, c); err != nil {
		return fail(os.Stderr, err)
	}
	status, err := c.read(ctx)
	if err != nil {
		return fail(os.Stderr, err)
	}
	if c.json {
		return printJSON(status)
	}
	printStatus(os.Stdout, status)
	return subcommands.ExitSuccess
}

// read gets the status from the process of -process, or from the first process of the host list that answers.
func (c *statusCommand) read(ctx context.Context) (fleet.Status, error) {
	client := &http.Client{Timeout: statusTimeout}
	if c.process != "" {
		return (&operator.FleetClient{Base: strings.TrimSuffix(c.process, "/"), HTTP: client}).Status(ctx)
	}
	hosts, err := hostlist.NewClient(c.hostList, client).Hosts(ctx)
	if err != nil {
		return fleet.Status{}, err
	}
	// Entries first: they know what all engines run, while agents only know what should run.
	sort.SliceStable(hosts, func(i, j int) bool { return hosts[i].Role == member.Entry && hosts[j].Role != member.Entry })
	err = code.Errorf(code.SettingMissing, "-host-list", "the host list is empty")
	for _, h := range hosts[:min(len(hosts), maxStatusAttempts)] {
		var status fleet.Status
		status, err = (&operator.FleetClient{Base: "http://" + h.Address, HTTP: client, Secret: c.secret}).Status(ctx)
		if err == nil {
			return status, nil
		}
	}
	return fleet.Status{}, err
}

// printStatus writes the status as text.
func printStatus(w io.Writer, s fleet.Status) {
	p := s.Process
	ready := "ready"
	if !p.Ready {
		ready = "NOT READY"
	}
	_, _ = fmt.Fprintf(w, "answer of %s %s in %s (%s): %s; settings complete up to revision %d, platform last read %v ago\n",
		p.Role, p.Name, p.Place, p.Region, ready, p.CompleteTo, (time.Duration(p.PlatformDataAgeMS) * time.Millisecond).Round(100*time.Millisecond))
	_, _ = fmt.Fprintf(w, "hosts: %d live, %d shutting down, %d without a report yet\n\n", s.Hosts.Live, s.Hosts.Leaving, s.Hosts.NotAdvertised)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tREVISION\tWEIGHTS\tPLACE\tWANT\tSERVING\tLOADING\tOTHER VERSION")
	for _, service := range s.Services {
		printService(t, service)
	}
	_ = t.Flush()
	if len(s.Problems) == 0 {
		_, _ = fmt.Fprintln(w, "\nno problems")
		return
	}
	_, _ = fmt.Fprintln(w, "\nproblems, and what to do next")
	for _, problem := range s.Problems {
		_, _ = fmt.Fprintf(w, "- %s\n    next: %s\n", problem.What, problem.Next)
	}
}

// printService writes the rows of a service, one for each data centre.
func printService(w io.Writer, s fleet.Service) {
	for i, c := range s.Places {
		key, revision, weights := s.Key, fmt.Sprint(s.Revision), s.Weights
		if i > 0 {
			key, revision, weights = "", "", ""
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", key, revision, weights, c.Place, c.Requested, c.Serving, c.Loading, c.Other)
	}
	if len(s.Places) == 0 {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t-\t0\t0\t0\t0\n", s.Key, s.Revision, s.Weights)
	}
}

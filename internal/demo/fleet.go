package demo

import (
	"context"
	"crypto/rand"
	"math"
	mathrand "math/rand/v2"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	stepTimeout         = 30 * time.Second       // to apply a setting or to start a stand-in; base of the fleet's start
	startTimeoutPerHost = 200 * time.Millisecond // added to the timeout of the fleet's start for each host
	readyPollInterval   = 100 * time.Millisecond
	killRandomStream    = 77 // random stream that selects the hosts to kill
)

// fleet holds the product's processes: the agents, in the order of the hosts, and the entries.
type fleet struct {
	options      Options
	binary       string
	logs         string
	standIns     *StandIns
	commandLine  CommandLine
	client       *standinclient.Client
	hosts        []layout.Host
	agents       []*processes.Process
	entries      []*processes.Process
	callers      []string     // addresses (IP:PORT) at which the entries accept callers
	killed       map[int]bool // indexes of agents that killShare killed
	startTimeout time.Duration
}

func newFleet(options Options, hosts []layout.Host, standIns *StandIns, client *standinclient.Client, binaries, logs string) *fleet {
	return &fleet{
		options:      options,
		binary:       filepath.Join(binaries, processes.Product),
		logs:         logs,
		commandLine:  CommandLine{Secret: rand.Text(), StandIns: standIns, LinkRate: options.LinkRate(), Spread: options.Spread, NoYield: options.NoYield},
		standIns:     standIns,
		client:       client,
		hosts:        hosts,
		killed:       map[int]bool{},
		startTimeout: stepTimeout + time.Duration(len(hosts))*startTimeoutPerHost,
	}
}

// start starts the agents and entries, registers them with the host list and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, f.startTimeout)
	defer cancel()
	if err := f.startAgents(); err != nil {
		return err
	}
	if err := f.startEntries(); err != nil {
		return err
	}
	var operators []string
	for index, agent := range f.agents {
		addresses, err := f.register(timeoutCtx, agent, standinclient.RoleAgent, f.hosts[index].Place)
		if err != nil {
			return err
		}
		operators = append(operators, addresses.Operators)
	}
	for index, entry := range f.entries {
		addresses, err := f.register(timeoutCtx, entry, standinclient.RoleEntry, layout.Entries()[index].Place)
		if err != nil {
			return err
		}
		operators = append(operators, addresses.Operators)
		f.callers = append(f.callers, addresses.Callers)
	}
	return f.awaitReady(timeoutCtx, operators)
}

func (f *fleet) startAgents() error {
	for _, host := range f.hosts {
		args := f.commandLine.Agent(host, anyPort(host.Address))
		process, err := processes.Start(host.Name, f.logs, f.binary, args...)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, process)
	}
	return nil
}

func (f *fleet) startEntries() error {
	for _, entry := range layout.Entries() {
		args := f.commandLine.Entry(entry, anyPort(entry.Address), anyPort(entry.Address))
		process, err := processes.Start(entry.Name, f.logs, f.binary, args...)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, process)
	}
	return nil
}

// register waits for a process to listen and adds it to the host list.
func (f *fleet) register(ctx context.Context, process *processes.Process, role string, place layout.Place) (processes.Addresses, error) {
	addresses, err := process.Addresses(ctx)
	if err != nil {
		return addresses, err
	}
	host := standinclient.ListedHost{Address: addresses.Peers, Role: role, Place: place.Name, Region: place.Region}
	return addresses, f.client.Register(ctx, f.standIns.HostList, host)
}

func (f *fleet) awaitReady(ctx context.Context, operators []string) error {
	for _, address := range operators {
		for !f.client.Ready(ctx, address) {
			if err := sleep(ctx, readyPollInterval); err != nil {
				return errors.Wrapf(err, "waiting for the process with operator address %s to be ready", address)
			}
		}
	}
	return nil
}

// apply applies an operator's setting for a service and returns the time at which it was accepted.
func (f *fleet) apply(ctx context.Context, service string, setting layout.Setting) (time.Time, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return f.commandLine.Apply(timeoutCtx, f.client, f.binary, service, setting)
}

// killShare kills the given share of the agents with SIGKILL; the seed selects which. It kills at least one agent, unless
// there is only one, and always leaves one alive.
func (f *fleet) killShare(share float64) {
	random := mathrand.New(mathrand.NewPCG(f.options.Seed, killRandomStream))
	count := max(1, int(math.Round(share*float64(len(f.hosts)))))
	for _, index := range random.Perm(len(f.hosts))[:min(count, len(f.hosts)-1)] {
		f.killed[index] = true
		f.agents[index].Kill()
	}
}

// live returns the hosts whose agents were not killed by killShare.
func (f *fleet) live() []layout.Host {
	var hosts []layout.Host
	for index, host := range f.hosts {
		if !f.killed[index] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// exited returns the names of the processes that ended without being killed or stopped by the run.
func (f *fleet) exited() []string {
	names := []string{}
	for index, agent := range f.agents {
		if !f.killed[index] && !agent.Running() {
			names = append(names, agent.Name())
		}
	}
	for _, entry := range f.entries {
		if !entry.Running() {
			names = append(names, entry.Name())
		}
	}
	return names
}

// stop ends all processes and returns the names of those that had to be killed.
func (f *fleet) stop() []string {
	all := append([]*processes.Process{}, f.entries...)
	return processes.Stop(append(all, f.agents...), stopTimeout)
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

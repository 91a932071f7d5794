package faults

import (
	"context"
	"crypto/rand"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	startLimit   = 60 * time.Second
	readyPause   = 100 * time.Millisecond
	balancerPoll = 200 * time.Millisecond
	balancerWait = 500 * time.Millisecond // a check without an answer within this time has failed
	stopGrace    = 10 * time.Second
	// stopLimit is how long a graceful shutdown may take.
	stopLimit = 40 * time.Second
)

// node is one process of the product, with the addresses that it keeps across restarts.
type node struct {
	name       string
	role       string
	dataCentre layout.Place
	process    *processes.Process
	addresses  processes.Addresses
	starts     int
}

// fleet is the set of the product's processes.
type fleet struct {
	binary      string
	logs        string
	commandLine demo.CommandLine
	client      *standinclient.Client
	hostList    string
	hosts       []layout.Host
	agents      []*node
	entries     []*node
	// available holds, for each entry, whether the balancer considers it ready.
	available []atomic.Bool

	mutex     sync.Mutex
	downtimes []Downtime
	replaced  []*processes.Process
}

// entriesOfAllDataCentres returns one entry for each data centre, so that the upstreams of each of them receive requests.
func entriesOfAllDataCentres() []layout.Entry {
	var entries []layout.Entry
	for index, dataCentre := range layout.Places() {
		entries = append(entries, layout.Entry{
			Name: fmt.Sprintf("entry-%d", index+1), Address: fmt.Sprintf("127.1.0.%d", index+1), Place: dataCentre,
		})
	}
	return entries
}

func newFleet(hosts []layout.Host, commandLine demo.CommandLine, client *standinclient.Client, binaries, logs string) *fleet {
	commandLine.Secret = rand.Text()
	f := &fleet{
		binary: filepath.Join(binaries, processes.Product), logs: logs, commandLine: commandLine, client: client,
		hostList: commandLine.StandIns.HostList, hosts: hosts, available: make([]atomic.Bool, len(layout.Places())),
	}
	for _, host := range hosts {
		f.agents = append(f.agents, &node{name: host.Name, role: standinclient.RoleAgent, dataCentre: host.Place})
	}
	for _, entry := range entriesOfAllDataCentres() {
		f.entries = append(f.entries, &node{name: entry.Name, role: standinclient.RoleEntry, dataCentre: entry.Place})
	}
	return f
}

// start starts and registers all processes and waits until they are ready.
func (f *fleet) start(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for index := range f.agents {
		if err := f.startAgent(limited, index, false); err != nil {
			return err
		}
	}
	for index := range f.entries {
		if err := f.startEntry(limited, index); err != nil {
			return err
		}
	}
	for _, n := range append(append([]*node{}, f.agents...), f.entries...) {
		if err := f.awaitReady(limited, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitReady(ctx context.Context, n *node) error {
	for !f.client.Ready(ctx, n.addresses.Operators) {
		if err := pause(ctx, readyPause); err != nil {
			return errors.Wrapf(err, "waiting for %s to be ready", n.name)
		}
	}
	return nil
}

// startAgent starts an agent, either at the address of its predecessor or at a new one, and registers it.
func (f *fleet) startAgent(ctx context.Context, index int, sameAddress bool) error {
	n, host := f.agents[index], f.hosts[index]
	peers := host.Address + ":0"
	if sameAddress {
		peers = n.addresses.Peers
	}
	return f.launch(ctx, n, f.commandLine.Agent(host, peers))
}

// startEntry starts an entry. A restarted entry reuses the addresses of its predecessor.
func (f *fleet) startEntry(ctx context.Context, index int) error {
	n, entry := f.entries[index], entriesOfAllDataCentres()[index]
	peers, callers := entry.Address+":0", entry.Address+":0"
	if n.starts > 0 {
		peers, callers = n.addresses.Peers, n.addresses.Callers
	}
	return f.launch(ctx, n, f.commandLine.Entry(entry, peers, callers))
}

func (f *fleet) launch(ctx context.Context, n *node, args []string) error {
	n.starts++
	process, err := processes.Start(fmt.Sprintf("%s.%d", n.name, n.starts), f.logs, f.binary, args...)
	if err != nil {
		return err
	}
	n.process = process
	addresses, err := process.Addresses(ctx)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	n.addresses = addresses
	f.mutex.Unlock()
	listed := standinclient.ListedHost{Address: n.addresses.Peers, Role: n.role, Place: n.dataCentre.Name, Region: n.dataCentre.Region}
	return f.client.Register(ctx, f.hostList, listed)
}

// pollReadiness acts as the platform's balancer until ctx ends: it polls the readiness of each entry.
func (f *fleet) pollReadiness(ctx context.Context) {
	for index := range f.entries {
		f.available[index].Store(true)
		go func() {
			for pause(ctx, balancerPoll) == nil {
				limited, cancel := context.WithTimeout(ctx, balancerWait)
				f.mutex.Lock()
				operators := f.entries[index].addresses.Operators
				f.mutex.Unlock()
				f.available[index].Store(f.client.Ready(limited, operators))
				cancel()
			}
		}()
	}
}

// startDowntime records that an entry is down from now on. The function that it returns records the end of the downtime.
func (f *fleet) startDowntime(entry int, abrupt bool) (endDowntime func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	index := len(f.downtimes)
	f.downtimes = append(f.downtimes, Downtime{Entry: entry, From: time.Now(), Abrupt: abrupt})
	return func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.downtimes[index].To = time.Now()
	}
}

// keepUntilEnd registers a replaced process to be stopped at the end of the run.
func (f *fleet) keepUntilEnd(p *processes.Process) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.replaced = append(f.replaced, p)
}

// died returns the names of the processes that are not running although they should be.
func (f *fleet) died() []string {
	var names []string
	for _, n := range append(append([]*node{}, f.agents...), f.entries...) {
		if n.process == nil || !n.process.Running() {
			names = append(names, n.name)
		}
	}
	return names
}

func (f *fleet) stop() []string {
	all := append([]*processes.Process{}, f.replaced...)
	for _, n := range append(append([]*node{}, f.entries...), f.agents...) {
		if n.process != nil {
			all = append(all, n.process)
		}
	}
	for _, p := range all {
		p.Resume()
	}
	return processes.Stop(all, stopGrace)
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

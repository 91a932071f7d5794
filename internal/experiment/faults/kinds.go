package faults

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// fault is one kind of fault.
type fault struct {
	name string
	// about describes the fault in a few words.
	about string
	// hold is how long the fault lasts.
	hold time.Duration
	// spreads is set if a new version of the model is activated just before the fault, so that the fault strikes while the version spreads.
	spreads bool
	// prepare chooses the victims.
	prepare func(s *stage) action
}

// action injects a fault and ends it.
type action struct {
	begin func(ctx context.Context) error
	end   func(ctx context.Context) error
}

// stage is the environment in which faults are injected.
type stage struct {
	fleet  *fleet
	random *rand.Rand
	// poison sends a prompt that crashes every engine that runs it.
	poison func(mark string)
	// version returns the version of the model that is being spread.
	version func() string
}

const (
	holdShort = 3 * time.Second
	holdLong  = 5 * time.Second
)

// catalogue returns all kinds of faults.
func catalogue() []fault {
	return append(processFaults(), standInFaults()...)
}

func faultNames() []string {
	var names []string
	for _, f := range catalogue() {
		names = append(names, f.name)
	}
	return names
}

func findFault(name string) (fault, bool) {
	for _, f := range catalogue() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

func (s *stage) randomAgents(count int) []int {
	return s.random.Perm(len(s.fleet.agents))[:min(count, len(s.fleet.agents)-1)]
}

func noop(context.Context) error { return nil }

// processFaults returns the faults of the product's own processes.
func processFaults() []fault {
	return []fault{
		{name: "none", about: "nothing", hold: holdShort, prepare: func(*stage) action { return action{noop, noop} }},
		{name: "spread", about: "a new version of the model without a fault", spreads: true, prepare: func(*stage) action { return action{noop, noop} }},
		{name: "kill-agent", about: "SIGKILL of an agent, replaced on a new address", hold: holdShort, prepare: killAgents(1)},
		{name: "kill-agents", about: "SIGKILL of two agents at once", hold: holdShort, prepare: killAgents(2)},
		{name: "kill-host", about: "SIGKILL of an agent and a crash of its engine and plain service", hold: holdShort, prepare: killHost},
		{name: "restart-agent-same", about: "SIGKILL of an agent, replaced immediately on its address", prepare: restartSame},
		{name: "freeze-agent", about: "SIGSTOP of an agent, then SIGCONT", hold: holdLong, prepare: freezeAgents(1)},
		{name: "freeze-agents", about: "SIGSTOP of three agents, then SIGCONT", hold: holdLong, prepare: freezeAgents(3)},
		{name: "cut-place", about: "SIGSTOP of all agents of a data centre, then SIGCONT", hold: holdLong, prepare: cutDataCentre},
		{name: "paused-holder", about: "SIGSTOP of an agent, a second one for its host, then SIGCONT of the first", hold: holdLong, prepare: pausedHolder},
		{name: "kill-entry", about: "SIGKILL of an entry, replaced on its address", hold: holdShort, prepare: killEntry},
		{name: "freeze-entry", about: "SIGSTOP of an entry, then SIGCONT", hold: holdLong, prepare: freezeEntry},
		{name: "starve-entry", about: "SIGSTOP and SIGCONT of an entry in turn, so that it runs for a tenth of the time", hold: holdLong, prepare: starveEntry},
		{name: "starve-agent", about: "SIGSTOP and SIGCONT of an agent in turn, so that it runs for a tenth of the time", hold: holdLong, prepare: starveAgent},
		{name: "rolling-agents", about: "SIGTERM and restart of each agent in turn", prepare: rollingAgents},
		{name: "rolling-entries", about: "SIGTERM and restart of each entry in turn", prepare: rollingEntries},
	}
}

func killAgents(count int) func(*stage) action {
	return func(s *stage) action {
		victims := s.randomAgents(count)
		begin := func(context.Context) error {
			for _, v := range victims {
				s.fleet.agents[v].process.Kill()
			}
			return nil
		}
		return action{begin, func(ctx context.Context) error { return s.fleet.replaceAgents(ctx, victims) }}
	}
}

// replaceAgents removes dead agents from the host list and starts replacements for their hosts on new addresses.
func (f *fleet) replaceAgents(ctx context.Context, victims []int) error {
	for _, v := range victims {
		if err := f.client.Unregister(ctx, f.hostList, f.agents[v].addresses.Peers); err != nil {
			return err
		}
		if err := f.startAgent(ctx, v, false); err != nil {
			return err
		}
	}
	return nil
}

func killHost(s *stage) action {
	victim := s.randomAgents(1)[0]
	begin := func(ctx context.Context) error {
		s.fleet.agents[victim].process.Kill()
		return s.fleet.crashUpstreams(ctx, s.fleet.hosts[victim], holdShort)
	}
	return action{begin, func(ctx context.Context) error { return s.fleet.replaceAgents(ctx, []int{victim}) }}
}

func restartSame(s *stage) action {
	victim := s.randomAgents(1)[0]
	begin := func(ctx context.Context) error {
		s.fleet.agents[victim].process.Kill()
		return s.fleet.startAgent(ctx, victim, true)
	}
	return action{begin, noop}
}

func freezeAgents(count int) func(*stage) action {
	return func(s *stage) action { return s.freeze(s.randomAgents(count)) }
}

func (s *stage) freeze(victims []int) action {
	each := func(do func(n *node)) func(context.Context) error {
		return func(context.Context) error {
			for _, v := range victims {
				do(s.fleet.agents[v])
			}
			return nil
		}
	}
	return action{each(func(n *node) { n.process.Suspend() }), each(func(n *node) { n.process.Resume() })}
}

func cutDataCentre(s *stage) action {
	dataCentre := s.fleet.agents[s.random.IntN(len(s.fleet.agents))].dataCentre
	var victims []int
	for index, n := range s.fleet.agents {
		if n.dataCentre == dataCentre {
			victims = append(victims, index)
		}
	}
	return s.freeze(victims)
}

func pausedHolder(s *stage) action {
	victim := s.randomAgents(1)[0]
	n := s.fleet.agents[victim]
	old, oldAddress := n.process, n.addresses.Peers
	begin := func(ctx context.Context) error {
		old.Suspend()
		s.fleet.keepUntilEnd(old)
		return s.fleet.startAgent(ctx, victim, false)
	}
	end := func(ctx context.Context) error {
		old.Resume()
		if err := pause(ctx, holdShort); err != nil {
			return err
		}
		old.Kill()
		return s.fleet.client.Unregister(ctx, s.fleet.hostList, oldAddress)
	}
	return action{begin, end}
}

func killEntry(s *stage) action {
	victim := s.random.IntN(len(s.fleet.entries))
	endDowntime := func() {}
	begin := func(context.Context) error {
		endDowntime = s.fleet.startDowntime(victim, true)
		s.fleet.entries[victim].process.Kill()
		return nil
	}
	end := func(ctx context.Context) error {
		defer func() { endDowntime() }()
		if err := s.fleet.startEntry(ctx, victim); err != nil {
			return err
		}
		return s.fleet.awaitReady(ctx, s.fleet.entries[victim])
	}
	return action{begin, end}
}

func freezeEntry(s *stage) action {
	victim := s.random.IntN(len(s.fleet.entries))
	endDowntime := func() {}
	begin := func(context.Context) error {
		endDowntime = s.fleet.startDowntime(victim, true)
		s.fleet.entries[victim].process.Suspend()
		return nil
	}
	end := func(context.Context) error {
		s.fleet.entries[victim].process.Resume()
		endDowntime()
		return nil
	}
	return action{begin, end}
}

func rollingAgents(s *stage) action {
	begin := func(ctx context.Context) error {
		for index, n := range s.fleet.agents {
			if err := terminate(ctx, n); err != nil {
				return err
			}
			if err := s.fleet.startAgent(ctx, index, true); err != nil {
				return err
			}
			if err := s.fleet.awaitReady(ctx, n); err != nil {
				return err
			}
		}
		return nil
	}
	return action{begin, noop}
}

func rollingEntries(s *stage) action {
	begin := func(ctx context.Context) error {
		for index, n := range s.fleet.entries {
			if err := terminate(ctx, n); err != nil {
				return err
			}
			endDowntime := s.fleet.startDowntime(index, false)
			if err := s.fleet.startEntry(ctx, index); err != nil {
				return err
			}
			err := s.fleet.awaitReady(ctx, n)
			endDowntime()
			if err != nil {
				return err
			}
			if err := pause(ctx, 2*balancerPoll); err != nil {
				return err
			}
		}
		return nil
	}
	return action{begin, noop}
}

func terminate(ctx context.Context, n *node) error {
	limited, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if !n.process.Terminate(limited) {
		return errors.Errorf("%s did not end within %v after SIGTERM", n.name, stopLimit)
	}
	return nil
}

package core

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
)

// AdvertPatience is how long an entry that has the settings waits to hear of the listed agents; a dead one never
// speaks.
const AdvertPatience = 5 * time.Second

// meetCallers decides once whether the balancer may send callers here. An entry needs more than the settings for that:
// it must have heard of nearly all agents, as a fresh one that knows none would refuse what others could serve. An
// agent that comes later does not take that back.
func (s *State) meetCallers(now time.Time) {
	if s.Ready && !s.ReadyForCallers {
		s.ReadyForCallers = s.Self.Role != member.Entry || now.Sub(s.readyAt) >= AdvertPatience || s.heardOfAgents()
	}
}

func (s *State) heardOfAgents() bool {
	listed, heard := 0, 0
	for _, h := range s.Members.Hosts {
		if h.Listed.Address == "" || h.Listed.Role != member.Agent || h.Listed.State == member.Leaving {
			continue
		}
		listed++
		if h.AdvertComplete() {
			heard++
		}
	}
	return listed > 0 && heard >= listed-listed/unheardPart
}

// unheardPart is the inverse of the part of the agents that an entry need not have heard of.
const unheardPart = 10

// noteListed makes an agent leave when the platform's list says so of its host, before anyone stops the process, and
// come back when the list does: it refuses new work as not run, and says so in its advertisement and its reports.
func (s *State) noteListed(in step.Input) []step.Effect {
	own := s.Members.Hosts[s.Self.Address]
	if s.Self.Role != member.Agent || s.stopping || own == nil || own.Listed.Address == "" {
		return nil
	}
	return s.setLeaving(in, own.State == member.Leaving)
}

func (s *State) setLeaving(in step.Input, leaving bool) []step.Effect {
	if s.leaving == leaving {
		return nil
	}
	s.leaving = leaving
	s.Runs.Reduce(with(in, run.Leaving{Now: leaving}), s.Rollout, s.Suspects)
	return s.advertise(in)
}

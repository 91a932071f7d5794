package core

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
)

// AdvertTimeout is how long an entry that has the settings waits for the advertisements of the listed agents. It bounds
// the wait for agents that are down.
const AdvertTimeout = 5 * time.Second

// updateReadyForCallers sets ReadyForCallers, which is never reset. An entry needs the settings and the advertisements of
// nearly all agents: an entry that has just started and knows no agents would reject requests that other entries could
// serve. An agent that is listed later does not make the entry unready.
func (s *State) updateReadyForCallers(now time.Time) {
	if s.Ready && !s.ReadyForCallers {
		s.ReadyForCallers = s.Self.Role != member.Entry || now.Sub(s.readyAt) >= AdvertTimeout || s.agentsKnown()
	}
}

// agentsKnown reports whether the advertisements of enough listed agents were received, see unknownAgentsDivisor.
func (s *State) agentsKnown() bool {
	listed, known := 0, 0
	for _, h := range s.Members.Hosts {
		if h.Listed.Address == "" || h.Listed.Role != member.Agent || h.Listed.State == member.Leaving {
			continue
		}
		listed++
		if h.AdvertComplete() {
			known++
		}
	}
	return listed > 0 && known >= listed-listed/unknownAgentsDivisor
}

// unknownAgentsDivisor bounds the agents whose advertisement an entry may lack: one in 10.
const unknownAgentsDivisor = 10

// applyOwnListedState follows the state of this agent's host in the platform's list. When the list says that the host is
// leaving, the agent rejects new requests as not run, before its process is stopped. It reports in its advertisement and
// its load reports that it does so. When the host is no longer listed as leaving, the agent accepts requests again.
func (s *State) applyOwnListedState(in step.Input) []step.Effect {
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
	s.Runs.Reduce(withEvent(in, run.Leaving{Active: leaving}), s.Rollout, s.Suspects)
	return s.advertise(in)
}

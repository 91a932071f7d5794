package install

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// named takes in a version. One that a newer has overtaken is skipped.
func (s *State) named(in step.Input, ev Named) []step.Effect {
	since := in.Now.Add(-ev.Age)
	m := s.models[ev.Model]
	if m == nil {
		m = &model{name: ev.Model}
		s.models[ev.Model] = m
	}
	if ev.Version < m.version {
		return nil
	}
	if ev.Version == m.version {
		if since.Before(m.since) {
			m.since = since
		}
		return nil
	}
	m.version, m.since, m.digest = ev.Version, since, ""
	return append([]step.Effect{Resolve{Model: m.name, Version: m.version}}, m.move(Resolving, in.Now, orderSilent, "named")...)
}

func (s *State) current(name string, version int64) *model {
	m := s.models[name]
	if m == nil || m.version != version {
		return nil
	}
	return m
}

func (s *State) resolved(in step.Input, ev Resolved) []step.Effect {
	m := s.current(ev.Model, ev.Version)
	if m == nil || m.phase != Resolving {
		return nil
	}
	if ev.Digest == "" {
		m.next = in.Now.Add(resolveRetry)
		return nil
	}
	m.digest = ev.Digest
	return append([]step.Effect{Fetch{Model: m.name, Version: m.version, Digest: m.digest}}, m.move(Fetching, in.Now, 0, "resolved")...)
}

// engineFailed forgets what an engine held that has not answered for long: it may come back empty.
func (s *State) engineFailed(now time.Time) {
	if now.Sub(s.readAt) > engineSilent {
		s.engine = EngineRead{}
	}
}

func (s *State) prepared(in step.Input, ev Prepared) []step.Effect {
	m := s.current(ev.Model, ev.Version)
	if m == nil || m.phase != Preparing {
		return nil
	}
	if !ev.OK {
		return m.move(Waiting, in.Now, prepareRetry, "pieces could not be laid out")
	}
	m.checked = ev.Checked
	m.ordered = s.engine.Sequence
	order := Order{Model: m.name, Version: m.version, Sequence: m.ordered, Checked: m.checked, MaxAge: maxCheckAge}
	return append(m.move(Ordering, in.Now, orderSilent, "pieces read back"), order)
}

func (s *State) orderEnded(in step.Input, ev OrderEnded) []step.Effect {
	m := s.current(ev.Model, ev.Version)
	if m == nil || m.phase != Ordering {
		return nil
	}
	if !ev.Accepted {
		// It may have been accepted all the same: the next reading tells.
		return m.move(Loading, in.Now, orderRetry, "order not confirmed")
	}
	return m.move(Loading, in.Now, orderRetry, "order accepted")
}

// advance moves each model on as far as the engine's state and the time allow.
func (s *State) advance(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, name := range s.Models() {
		effects = append(effects, s.advanceModel(in, s.models[name])...)
	}
	return effects
}

func (s *State) advanceModel(in step.Input, m *model) []step.Effect {
	if m.phase != Serving && m.phase != Resolving && s.engine.Loaded[m.name] == m.version && !s.engine.Busy && s.complete[m.digest] {
		return m.move(Serving, in.Now, 0, "the engine holds it")
	}
	due := !in.Now.Before(m.next)
	switch m.phase {
	case Resolving:
		if due {
			m.next = in.Now.Add(orderSilent)
			return []step.Effect{Resolve{Model: m.name, Version: m.version}}
		}
	case Fetching:
		if s.complete[m.digest] {
			return m.move(Waiting, in.Now, s.turn(in.Now, m), "every chunk is here")
		}
	case Waiting:
		return s.prepareWhenDue(in, m)
	case Ordering:
		if due {
			return m.move(Loading, in.Now, orderRetry, "order unanswered")
		}
	case Loading:
		if due && !s.engine.Busy && in.Now.Sub(s.readAt) < engineSilent {
			return m.move(Waiting, in.Now, 0, "the engine holds another version")
		}
	case Serving:
		if s.engine.Loaded[m.name] != m.version && in.Now.Sub(s.readAt) < engineSilent {
			return m.move(Waiting, in.Now, 0, "the engine lost it")
		}
	}
	return nil
}

// prepareWhenDue goes on when it is the engine's turn.
func (s *State) prepareWhenDue(in step.Input, m *model) []step.Effect {
	down := s.readAt.IsZero() || in.Now.Sub(s.readAt) > engineSilent
	if down || s.engine.Busy || in.Now.Before(m.next) {
		return nil
	}
	prepare := Prepare{Model: m.name, Version: m.version, Digest: m.digest}
	return append(m.move(Preparing, in.Now, 0, "its turn"), prepare)
}

// turn is how long this engine waits before it loads, so that the engines of a service do not all stop taking requests at
// once: the time that is left until the new version must be in use, shared out by rank.
func (s *State) turn(now time.Time, m *model) time.Duration {
	held := s.engine.Loaded[m.name]
	window := s.VersionTime - loadTime - now.Sub(m.since)
	if held == 0 || held == m.version || window <= 0 || len(s.peers) < 2 {
		return 0
	}
	position := step.Position(m.name, s.Self, s.peers)
	if position < 0 {
		return 0
	}
	return window * time.Duration(position) / time.Duration(len(s.peers))
}

// move puts a model into a phase that goes on after wait at the earliest.
func (m *model) move(p Phase, now time.Time, wait time.Duration, why string) []step.Effect {
	m.phase = p
	m.next = now.Add(wait)
	return []step.Effect{Moved{Model: m.name, Version: m.version, Phase: p, Why: why}}
}

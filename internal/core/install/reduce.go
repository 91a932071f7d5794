package install

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// versionActivated adds a version, or updates the activation time of a known one.
func (s *State) versionActivated(in step.Input, ev VersionActivated) []step.Effect {
	m := s.models[ev.Model]
	if m == nil {
		m = &model{name: ev.Model, phase: Idle, activatedAt: map[int64]time.Time{}, dropped: map[int64]bool{}}
		s.models[ev.Model] = m
	}
	m.recordActivation(ev.Version, in.Now.Add(-ev.Age))
	var effects []step.Effect
	if s.mayBeNeeded(in.Now, m, ev.Version) {
		v := &version{number: ev.Version, phase: Resolving, knownSince: in.Now, nextAt: in.Now.Add(resolveTimeout)}
		m.versions = append(m.versions, v)
		slices.SortFunc(m.versions, func(a, b *version) int { return cmp.Compare(a.number, b.number) })
		// The reason "named" means that the version was activated. It is logged, so it stays.
		effects = []step.Effect{Resolve{Model: m.name, Version: v.number}, WantedChanged{}, m.phaseChanged(v.number, Resolving, "named")}
	}
	m.turnVersion = 0
	return effects
}

// mayBeNeeded reports whether the version is unknown here and the engine may still need it. An older version than the newest known one is
// reported to a process that starts; it may be the only one that the fleet can complete.
func (s *State) mayBeNeeded(now time.Time, m *model, number int64) bool {
	if len(m.versions) == 0 || number > m.newest().number {
		return true
	}
	held, until := s.usableVersion(m.name), s.usableUntil(m, number)
	return m.version(number) == nil && !m.dropped[number] && number > held && m.newest().phase != Fetched && now.Before(until)
}

// maxActivations bounds the activations kept per model. Only those of the last seconds are needed.
const maxActivations = 16

func (m *model) recordActivation(number int64, since time.Time) {
	m.activatedAt[number] = since
	if len(m.activatedAt) > maxActivations {
		delete(m.activatedAt, slices.Min(slices.Collect(maps.Keys(m.activatedAt))))
	}
}

func (m *model) newest() *version { return m.versions[len(m.versions)-1] }

func (m *model) version(number int64) *version {
	for _, v := range m.versions {
		if v.number == number {
			return v
		}
	}
	return nil
}

// complete returns the versions whose content is complete on this host.
func (m *model) complete() []*version {
	var list []*version
	for _, v := range m.versions {
		if v.phase == Fetched {
			list = append(list, v)
		}
	}
	return list
}

// dropObsolete drops versions that the engine has skipped or will skip, and reports whether there were any. The oldest version is
// dropped in two cases: it is older than the version that the engine holds, or the newest version is complete and the oldest one isn't
// the target of the engine's phase. The newest version always stays.
func (m *model) dropObsolete(held int64) bool {
	before := len(m.versions)
	for len(m.versions) > 1 && (m.versions[0].number < held || m.newest().phase == Fetched && m.versions[0].number != m.target) {
		m.versions = m.versions[1:]
	}
	return len(m.versions) < before
}

func (s *State) resolved(in step.Input, ev Resolved) []step.Effect {
	m := s.models[ev.Model]
	if m == nil {
		return nil
	}
	v := m.version(ev.Version)
	if v == nil || v.phase != Resolving {
		return nil
	}
	if ev.Digest == "" {
		v.nextAt = in.Now.Add(resolveRetry)
		return nil
	}
	v.digest, v.phase = ev.Digest, Fetching
	return []step.Effect{WantedChanged{}, m.phaseChanged(v.number, Fetching, "resolved")}
}

// contradicted resolves a version again if the origin contradicts its digest while it is being fetched. A complete version stays: its
// chunks have passed the check against the digest.
func (s *State) contradicted(in step.Input, ev DigestContradicted) []step.Effect {
	var effects []step.Effect
	for _, name := range s.Models() {
		m := s.models[name]
		for _, v := range m.versions {
			if v.phase == Fetching && v.digest == ev.Digest {
				v.phase, v.nextAt = Resolving, in.Now.Add(resolveTimeout)
				effects = append(effects, Resolve{Model: m.name, Version: v.number}, m.phaseChanged(v.number, Resolving, "the origin contradicts the digest"))
			}
		}
	}
	return effects
}

// engineRead stores a reading. A restarted engine holds no weights, and any load started on its previous instance is abandoned.
func (s *State) engineRead(in step.Input, ev EngineRead) []step.Effect {
	restarted := s.startedAt > 0 && ev.StartedAt > 0 && ev.StartedAt != s.startedAt
	if s.engine.RequestCount > 0 && ev.RequestCount == 0 {
		s.idleSince = in.Now
	}
	s.engine, s.readAt, s.failedReads, s.silent = ev, in.Now, 0, false
	if ev.StartedAt > 0 {
		s.startedAt = ev.StartedAt // It is earlier than the last one if the host's clock was set back.
	}
	if !restarted {
		s.adopt(ev)
		s.verify()
		return nil
	}
	s.instanceSince = in.Now
	s.verified = verifiedWeights{versions: map[string]int64{}}
	var effects []step.Effect
	for _, name := range s.Models() {
		m := s.models[name]
		m.order = nil
		if m.phase != Idle {
			effects = append(effects, m.enter(in.Now, Idle, in.Now, "the engine restarted")...)
		}
	}
	return effects
}

// modelInPhase returns the model if it is in the given phase for the given version, else nil.
func (s *State) modelInPhase(name string, number int64, p Phase) *model {
	m := s.models[name]
	if m == nil || m.phase != p || m.target != number {
		return nil
	}
	return m
}

// prepared orders the load of chunks that were read back. A check that began before the engine's present instance was first read says
// nothing about that instance. It belongs to an earlier pass, and the result of the present pass is still to come.
func (s *State) prepared(in step.Input, ev Prepared) []step.Effect {
	m := s.modelInPhase(ev.Model, ev.Version, Preparing)
	if m == nil || ev.OK && ev.CheckedAt.Before(s.instanceSince) {
		return nil
	}
	if !ev.OK {
		return m.enter(in.Now, Waiting, in.Now.Add(prepareRetry), "chunks could not be staged")
	}
	if !s.responding(in.Now) {
		return m.enter(in.Now, Waiting, in.Now.Add(prepareRetry), "the engine does not respond")
	}
	if in.Now.Sub(ev.CheckedAt) > maxCheckAge {
		return m.enter(in.Now, Waiting, in.Now.Add(prepareRetry), "the check of the chunks is too old")
	}
	m.orderedAt, m.orderedBusy = in.Now, s.engine.RequestCount > 0
	return append(m.enter(in.Now, Ordering, in.Now.Add(orderTimeout), "chunks read back"), s.newOrder(m, ev.CheckedAt))
}

func (s *State) loadOrderEnded(in step.Input, ev LoadOrderEnded) []step.Effect {
	m := s.modelInPhase(ev.Model, ev.Version, Ordering)
	if m == nil {
		return nil
	}
	why := "order accepted"
	if m.order != nil {
		m.order.accepted = ev.Accepted && in.Now.Sub(m.order.checkedAt) <= maxAcceptAge
		s.verify()
	}
	if !ev.Accepted {
		// The engine may have accepted it all the same. The next reading shows that.
		why = "order not confirmed"
	}
	return m.enter(in.Now, Loading, in.Now.Add(orderRetry), why)
}

// advance moves each model to its next phase as far as the engine's state and the time allow.
func (s *State) advance(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, name := range s.Models() {
		m := s.models[name]
		effects = append(effects, s.advanceVersions(in, m)...)
		effects = append(effects, s.updatePlan(in, m)...)
		effects = append(effects, s.advanceEngine(in, m)...)
	}
	return effects
}

func (s *State) advanceVersions(in step.Input, m *model) []step.Effect {
	var effects []step.Effect
	for _, v := range m.versions {
		switch {
		case v.phase == Resolving && !in.Now.Before(v.nextAt):
			v.nextAt = in.Now.Add(resolveTimeout)
			v.attempts++
			effects = append(effects, Resolve{Model: m.name, Version: v.number, EarlierAttempts: v.attempts})
		case v.phase == Fetching && s.complete[v.digest]:
			v.phase = Fetched
			m.turnVersion = 0
			effects = append(effects, m.phaseChanged(v.number, Fetched, "every chunk is on this host"))
		}
	}
	if m.dropObsolete(s.usableVersion(m.name)) {
		effects = append(effects, WantedChanged{})
	}
	return effects
}

func (s *State) advanceEngine(in step.Input, m *model) []step.Effect {
	responding := s.responding(in.Now)
	held := s.usableVersion(m.name)
	due := !in.Now.Before(m.nextAt)
	switch m.phase {
	case Idle:
		if v := m.newestComplete(); v != nil && responding && v.number != held {
			m.target = v.number
			m.turnVersion = 0
			return m.enter(in.Now, Waiting, in.Now, "the engine holds another version")
		}
	case Waiting:
		return s.leaveWaiting(in, m, responding, held, due)
	case Ordering:
		if due {
			return m.enter(in.Now, Loading, in.Now.Add(orderRetry), "order unanswered")
		}
	case Loading:
		if responding && !s.engine.Busy && (due || held == m.target) {
			if held == m.target {
				s.measureLoad(in.Now, m)
			}
			return m.enter(in.Now, Idle, in.Now, "the load has ended")
		}
	case Unloading:
		if responding && !s.engine.Busy && (due || s.engine.Loaded[m.name] == 0) {
			return m.enter(in.Now, Idle, in.Now, "the unload has ended")
		}
	}
	return nil
}

// newestComplete returns the newest complete version; nil for none.
func (m *model) newestComplete() *version {
	list := m.complete()
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// leaveWaiting starts to prepare the newest complete version once it is the engine's turn. There is nothing to load in two cases: no
// version is complete, or the engine responds and already holds the newest complete one.
func (s *State) leaveWaiting(in step.Input, m *model, responding bool, held int64, due bool) []step.Effect {
	v := m.newestComplete()
	if v == nil || responding && v.number == held {
		return m.enter(in.Now, Idle, in.Now, "nothing to load")
	}
	if m.plan.Load == 0 {
		m.turnVersion = 0
		return nil
	}
	if m.turnVersion != m.plan.Load || m.turnHeldVersion != held {
		m.turnVersion, m.turnHeldVersion, m.nextAt = m.plan.Load, held, in.Now.Add(s.turnDelay(in.Now, m, held))
		due = !in.Now.Before(m.nextAt)
	}
	if v = m.version(m.plan.Load); v == nil || !responding || s.engine.Busy || !due {
		return nil
	}
	m.target = v.number
	if held != m.target && s.engine.Loaded[m.name] == m.target {
		return s.unload(in, m)
	}
	return append(m.enter(in.Now, Preparing, in.Now, "its turn"), Prepare{Model: m.name, Version: v.number, Digest: v.digest})
}

// usableUntil returns until when entries send requests to an engine that holds the version with this number: until they require the
// newer version that was activated first. This engine need not hold the version yet. The number 0 stands for no version. The zero time
// means that no end is known.
func (s *State) usableUntil(m *model, number int64) time.Time {
	var first time.Time
	for newer, since := range m.activatedAt {
		if newer > number && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	if first.IsZero() {
		return first
	}
	return first.Add(s.VersionLifetime - catalog.RequireVersionMargin)
}

// enter sets the engine's phase for the model, and nextAt to next.
func (m *model) enter(now time.Time, p Phase, next time.Time, why string) []step.Effect {
	m.phase = p
	m.nextAt = next
	m.phaseSince = now
	return []step.Effect{m.phaseChanged(m.target, p, why)}
}

func (m *model) phaseChanged(number int64, p Phase, why string) PhaseChanged {
	return PhaseChanged{Model: m.name, Version: number, Phase: p, Reason: why}
}

package install

import (
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
		m = &model{name: ev.Model, phase: Idle, activatedAt: map[int64]time.Time{}}
		s.models[ev.Model] = m
	}
	m.recordActivation(ev.Version, in.Now.Add(-ev.Age))
	var effects []step.Effect
	if len(m.versions) == 0 || ev.Version > m.newest().number {
		v := &version{number: ev.Version, phase: Resolving, nextAt: in.Now.Add(resolveTimeout)}
		m.versions = append(m.retained(m.activatedAt[ev.Version]), v)
		// The reason "named" means that the version was activated. It is logged, so it stays.
		effects = []step.Effect{Resolve{Model: m.name, Version: v.number}, WantedChanged{}, m.phaseChanged(v.number, Resolving, "named")}
	}
	if m.phase == Waiting && m.newestComplete() != nil {
		m.nextAt = in.Now.Add(s.turnDelay(in.Now, m, s.usableVersion(m.name)))
	}
	return effects
}

// maxActivations bounds the activations kept per model. Only those of the last seconds are needed.
const maxActivations = 16

func (m *model) recordActivation(number int64, since time.Time) {
	m.activatedAt[number] = since
	if len(m.activatedAt) > maxActivations {
		delete(m.activatedAt, slices.Min(slices.Collect(maps.Keys(m.activatedAt))))
	}
}

// retained returns the versions to keep when a newer one, activated at the time newer, is added. These are the complete versions, and
// the oldest of those being fetched that were activated at least minUse before the newer one and are thus usable long enough. Only one is
// kept of those being fetched, because they share the links with the newer version and delay it.
func (m *model) retained(newer time.Time) []*version {
	var list []*version
	fetching := false
	for _, v := range m.versions {
		useful := v.phase == Fetching && !fetching && newer.Sub(m.activatedAt[v.number]) >= minUse
		if v.phase == Fetched || useful {
			list = append(list, v)
			fetching = fetching || useful
		}
	}
	return list
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
	s.engine, s.readAt, s.failedReads = ev, in.Now, 0
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
			effects = append(effects, m.enter(Idle, in.Now, "the engine restarted")...)
		}
	}
	return effects
}

// engineFailed clears the engine's state when it hasn't answered for engineTimeout: it may come back without weights. One failed reading is
// not enough, since it may have run out of time while this process did not run.
func (s *State) engineFailed(now time.Time) {
	s.failedReads++
	if now.Sub(s.readAt) > engineTimeout && s.failedReads >= minFailedReads {
		s.engine = EngineRead{}
	}
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
		return m.enter(Waiting, in.Now.Add(prepareRetry), "chunks could not be staged")
	}
	if !s.responding(in.Now) {
		return m.enter(Waiting, in.Now.Add(prepareRetry), "the engine does not respond")
	}
	return append(m.enter(Ordering, in.Now.Add(orderTimeout), "chunks read back"), s.newOrder(m, ev.CheckedAt))
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
	return m.enter(Loading, in.Now.Add(orderRetry), why)
}

// advance moves each model to its next phase as far as the engine's state and the time allow.
func (s *State) advance(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, name := range s.Models() {
		m := s.models[name]
		effects = append(effects, s.advanceVersions(in, m)...)
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
			if m.phase == Waiting {
				m.nextAt = in.Now.Add(s.turnDelay(in.Now, m, s.usableVersion(m.name)))
			}
			effects = append(effects, m.phaseChanged(v.number, Fetched, "every chunk is on this host"))
		}
	}
	if m.dropObsolete(s.usableVersion(m.name)) {
		effects = append(effects, WantedChanged{})
	}
	return effects
}

// responding reports whether the engine has answered a reading recently.
func (s *State) responding(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < engineTimeout
}

func (s *State) advanceEngine(in step.Input, m *model) []step.Effect {
	responding := s.responding(in.Now)
	held := s.usableVersion(m.name)
	due := !in.Now.Before(m.nextAt)
	switch m.phase {
	case Idle:
		if v := m.newestComplete(); v != nil && responding && v.number != held {
			m.target = v.number
			return m.enter(Waiting, in.Now.Add(s.turnDelay(in.Now, m, held)), "the engine holds another version")
		}
	case Waiting:
		return s.leaveWaiting(in, m, responding, held, due)
	case Ordering:
		if due {
			return m.enter(Loading, in.Now.Add(orderRetry), "order unanswered")
		}
	case Loading:
		if responding && !s.engine.Busy && (due || held == m.target) {
			return m.enter(Idle, in.Now, "the load has ended")
		}
	case Unloading:
		if responding && !s.engine.Busy && (due || s.engine.Loaded[m.name] == 0) {
			return m.enter(Idle, in.Now, "the unload has ended")
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
		return m.enter(Idle, in.Now, "nothing to load")
	}
	if !responding || s.engine.Busy || !due || s.notWorthLoading(in.Now, m, v, held) {
		return nil
	}
	m.target = v.number
	if held != m.target && s.engine.Loaded[m.name] == m.target {
		return s.unload(in, m)
	}
	return append(m.enter(Preparing, in.Now, "its turn"), Prepare{Model: m.name, Version: v.number, Digest: v.digest})
}

// supersededVersionWait is how long an engine that skips a version still waits for the next one, from the time at which entries stop
// sending requests to the version that it holds.
const supersededVersionWait = time.Second

// minUse is the minimum time for which a version must be usable for its load to be worthwhile. During a load, an engine accepts no
// requests for about usualLoadTime. A version that is superseded sooner costs more capacity than it adds.
const minUse = 2500 * time.Millisecond

// idleLoadTime is the approximate load time of an engine without running requests. minIdleUse is the minimum time for which a version
// must be usable after such a load for it to be worthwhile. It is shorter than minUse, because such a load costs no capacity.
const (
	idleLoadTime = 500 * time.Millisecond
	minIdleUse   = 500 * time.Millisecond
)

// notWorthLoading reports whether a newer version is required so soon that the engine should skip v and wait for that one. For an
// engine that receives no requests, a shorter use is enough. There are two such cases: the engine holds no version, or the version that
// it holds is no longer usable.
func (s *State) notWorthLoading(now time.Time, m *model, v *version, held int64) bool {
	until := s.usableUntil(m, v.number)
	if until.IsZero() || !now.Before(until.Add(loadAnywayAfter)) {
		return false
	}
	heldUntil := s.usableUntil(m, held)
	if held == 0 || !heldUntil.IsZero() && !now.Before(heldUntil) {
		return until.Sub(now.Add(idleLoadTime)) < minIdleUse
	}
	from := now.Add(usualLoadTime)
	if heldUntil.After(from) {
		from = heldUntil
	}
	return until.Sub(from) < minUse
}

// loadAnywayAfter is how long after the end of its usable time an old version is loaded after all. The newer version may not arrive, for
// example while the origin is down. This host may then drop the newer version in favour of a still newer one (see retained), or hold only
// a part of its chunks. The engine shouldn't stay empty until a newer version is complete.
const loadAnywayAfter = 10 * time.Second

// usualLoadTime is the approximate time that an engine takes to complete its running requests and to load.
const usualLoadTime = 2 * time.Second

// turnDelay returns how long this engine waits before it loads a version, so that the engines of a service don't all stop accepting
// requests at once. The time for which entries still send requests to the version that it holds is divided among the peers by rank.
//
// The ranks are the same for all versions of a model. For versions with an odd number, the order is reversed: an engine that loads an
// even version first loads the odd version after it last.
//
// The delay is 0 where there is nothing to take turns for: the engine holds no version, entries no longer send requests to the version
// that it holds, or no other peer is known. It is also 0 while this host isn't among the known peers, because it then has no rank.
//
// When a still newer version has been activated, only half of the engines load this one. The others serve their version as long as it
// is usable and then load the newer one directly, because each load costs an engine the time to complete its running requests.
func (s *State) turnDelay(now time.Time, m *model, held int64) time.Duration {
	best := m.newestComplete()
	until := s.usableUntil(m, held)
	window := until.Sub(now)
	position, n := step.Position(m.name, s.Self, s.peers), len(s.peers)
	if held == 0 || window <= 0 || n < 2 || position < 0 {
		return 0
	}
	if best.number%2 == 1 {
		position = n - 1 - position
	}
	if best != m.newest() {
		n = (n + 1) / 2
		if position >= n {
			return window + supersededVersionWait
		}
		// These engines must accept requests again when the others stop.
		window = max(0, window-usualLoadTime)
	}
	return window * time.Duration(position) / time.Duration(n)
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
func (m *model) enter(p Phase, next time.Time, why string) []step.Effect {
	m.phase = p
	m.nextAt = next
	return []step.Effect{m.phaseChanged(m.target, p, why)}
}

func (m *model) phaseChanged(number int64, p Phase, why string) PhaseChanged {
	return PhaseChanged{Model: m.name, Version: number, Phase: p, Reason: why}
}

package install

import (
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// named takes in a version, or what is known better of the time at which it was named.
func (s *State) named(in step.Input, ev Named) []step.Effect {
	m := s.models[ev.Model]
	if m == nil {
		m = &model{name: ev.Model, phase: Idle, named: map[int64]time.Time{}}
		s.models[ev.Model] = m
	}
	m.remember(ev.Version, in.Now.Add(-ev.Age))
	var effects []step.Effect
	if len(m.versions) == 0 || ev.Version > m.newest().number {
		v := &version{number: ev.Version, phase: Resolving, next: in.Now.Add(resolveTimeout)}
		m.versions = append(m.keep(m.named[ev.Version]), v)
		effects = []step.Effect{Resolve{Model: m.name, Version: v.number}, Fetch{}, m.moved(v.number, Resolving, "named")}
	}
	if m.phase == Waiting && m.best() != nil {
		m.next = in.Now.Add(s.turn(in.Now, m, s.engine.Loaded[m.name]))
	}
	return effects
}

// maxNamed bounds the namings of a model that are remembered; only those of the last seconds matter.
const maxNamed = 16

func (m *model) remember(number int64, since time.Time) {
	m.named[number] = since
	if len(m.named) > maxNamed {
		delete(m.named, slices.Min(slices.Collect(maps.Keys(m.named))))
	}
}

// keep returns the versions that are still worth having when a newer one is named: those that are here whole, and the oldest that is
// on its way, if the newer one leaves it enough time. Two versions on their way share the links, so that the newer one comes later.
func (m *model) keep(newer time.Time) []*version {
	var list []*version
	onItsWay := false
	for _, v := range m.versions {
		worth := v.phase == Fetching && !onItsWay && newer.Sub(m.named[v.number]) >= leastUse
		if v.phase == Whole || worth {
			list = append(list, v)
			onItsWay = onItsWay || worth
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

// whole returns the versions that are here whole.
func (m *model) whole() []*version {
	var list []*version
	for _, v := range m.versions {
		if v.phase == Whole {
			list = append(list, v)
		}
	}
	return list
}

// forget drops versions that the engine has passed or will pass, and reports whether there were any.
func (m *model) forget(held int64) bool {
	before := len(m.versions)
	for len(m.versions) > 1 && (m.versions[0].number < held || m.newest().phase == Whole && m.versions[0].number != m.loading) {
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
		v.next = in.Now.Add(resolveRetry)
		return nil
	}
	v.digest, v.phase = ev.Digest, Fetching
	return []step.Effect{Fetch{}, m.moved(v.number, Fetching, "resolved")}
}

// refuted asks anew what a version consists of that is still being fetched. One that is here whole has proved itself.
func (s *State) refuted(in step.Input, ev Refuted) []step.Effect {
	var effects []step.Effect
	for _, name := range s.Models() {
		m := s.models[name]
		for _, v := range m.versions {
			if v.phase == Fetching && v.digest == ev.Digest {
				v.phase, v.next = Resolving, in.Now.Add(resolveTimeout)
				effects = append(effects, Resolve{Model: m.name, Version: v.number}, m.moved(v.number, Resolving, "the origin says something else now"))
			}
		}
	}
	return effects
}

// engineRead takes a reading. An engine that has started again under its id holds nothing, and nothing that was begun with its earlier
// life goes on.
func (s *State) engineRead(in step.Input, ev EngineRead) []step.Effect {
	again := s.bornAt > 0 && ev.Born > s.bornAt
	s.engine, s.readAt, s.bornAt = ev, in.Now, max(s.bornAt, ev.Born)
	if !again {
		return nil
	}
	var effects []step.Effect
	for _, name := range s.Models() {
		if m := s.models[name]; m.phase != Idle {
			effects = append(effects, m.move(Idle, in.Now, "the engine started again")...)
		}
	}
	return effects
}

// engineFailed forgets what an engine held that has not answered for long: it may come back empty.
func (s *State) engineFailed(now time.Time) {
	if now.Sub(s.readAt) > engineSilent {
		s.engine = EngineRead{}
	}
}

// about returns the model that an engine's phase is about, if it still is about this version.
func (s *State) about(name string, number int64, p Phase) *model {
	m := s.models[name]
	if m == nil || m.phase != p || m.loading != number {
		return nil
	}
	return m
}

func (s *State) prepared(in step.Input, ev Prepared) []step.Effect {
	m := s.about(ev.Model, ev.Version, Preparing)
	if m == nil {
		return nil
	}
	if !ev.OK {
		return m.move(Waiting, in.Now.Add(prepareRetry), "pieces could not be laid out")
	}
	order := Order{Model: m.name, Version: ev.Version, Sequence: s.engine.Sequence, Checked: ev.Checked, MaxAge: maxCheckAge}
	return append(m.move(Ordering, in.Now.Add(orderSilent), "pieces read back"), order)
}

func (s *State) orderEnded(in step.Input, ev OrderEnded) []step.Effect {
	m := s.about(ev.Model, ev.Version, Ordering)
	if m == nil {
		return nil
	}
	why := "order accepted"
	if !ev.Accepted {
		// It may have been accepted all the same: the next reading tells.
		why = "order not confirmed"
	}
	return m.move(Loading, in.Now.Add(orderRetry), why)
}

// advance moves each model on as far as the engine's state and the time allow.
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
		case v.phase == Resolving && !in.Now.Before(v.next):
			v.next = in.Now.Add(resolveTimeout)
			v.tries++
			effects = append(effects, Resolve{Model: m.name, Version: v.number, Try: v.tries})
		case v.phase == Fetching && s.complete[v.digest]:
			v.phase = Whole
			if m.phase == Waiting {
				m.next = in.Now.Add(s.turn(in.Now, m, s.engine.Loaded[m.name]))
			}
			effects = append(effects, m.moved(v.number, Whole, "every chunk is here"))
		}
	}
	if m.forget(s.engine.Loaded[m.name]) {
		effects = append(effects, Fetch{})
	}
	return effects
}

func (s *State) advanceEngine(in step.Input, m *model) []step.Effect {
	answers := !s.readAt.IsZero() && in.Now.Sub(s.readAt) < engineSilent
	held := s.engine.Loaded[m.name]
	due := !in.Now.Before(m.next)
	switch m.phase {
	case Idle:
		if v := m.best(); v != nil && answers && v.number != held {
			m.loading = v.number
			return m.move(Waiting, in.Now.Add(s.turn(in.Now, m, held)), "the engine holds another version")
		}
	case Waiting:
		return s.leaveWaiting(in, m, answers, held, due)
	case Ordering:
		if due {
			return m.move(Loading, in.Now.Add(orderRetry), "order unanswered")
		}
	case Loading:
		if answers && !s.engine.Busy && (due || held == m.loading) {
			return m.move(Idle, in.Now, "the engine is done")
		}
	}
	return nil
}

// best is the newest version that is here whole; nil for none.
func (m *model) best() *version {
	list := m.whole()
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// leaveWaiting goes on when it is the engine's turn, with the newest version that is here by then.
func (s *State) leaveWaiting(in step.Input, m *model, answers bool, held int64, due bool) []step.Effect {
	v := m.best()
	if v == nil || answers && v.number == held {
		return m.move(Idle, in.Now, "nothing to load")
	}
	if !answers || s.engine.Busy || !due || s.notWorthIt(in.Now, m, v, held) {
		return nil
	}
	m.loading = v.number
	return append(m.move(Preparing, in.Now, "its turn"), Prepare{Model: m.name, Version: v.number, Digest: v.digest})
}

// overtakenWait is how long an engine that leaves out a version waits for the next one beyond the time at which it gets no
// requests any more.
const overtakenWait = time.Second

// leastUse is how long a version must be of use for its load to be worth it: an engine takes no requests for about usualLoad.
// A version that is overtaken sooner costs more service than it brings.
const leastUse = 2500 * time.Millisecond

// idleLoad is about how long an engine takes to load that has nothing to finish, and leastIdleUse how long a version must be of use from then
// on for such a load to be worth it: nothing is lost meanwhile.
const (
	idleLoad     = 500 * time.Millisecond
	leastIdleUse = 500 * time.Millisecond
)

// notWorthIt tells whether a version would be loaded only to be out of use soon, since a newer one is due by then. The engine rather
// waits for that one. An engine whose own version is out of use serves nobody until it loads another.
func (s *State) notWorthIt(now time.Time, m *model, v *version, held int64) bool {
	until := s.usableUntil(m, v.number)
	if until.IsZero() || !now.Before(until.Add(loadAnyway)) {
		return false
	}
	heldUntil := s.usableUntil(m, held)
	if held == 0 || !heldUntil.IsZero() && !now.Before(heldUntil) {
		return until.Sub(now.Add(idleLoad)) < leastIdleUse
	}
	from := now.Add(usualLoad)
	if heldUntil.After(from) {
		from = heldUntil
	}
	return until.Sub(from) < leastUse
}

// loadAnyway is how long after the time of a newer version an older one is loaded after all: when the newer one does not come, as
// long as the origin is away, an engine should not stay empty, for the time when the newer version is withdrawn or comes in part.
const loadAnyway = 10 * time.Second

// usualLoad is about how long an engine takes to finish what runs and to load.
const usualLoad = 2 * time.Second

// turn is how long this engine waits before it loads a version, so that the engines of a service do not all stop taking
// requests at once: the time in which requests may still be sent to the version that it holds, shared out by rank. The
// order is turned round from one version to the next.
//
// When a still newer version has been named, only half of the engines load this one. The others serve as long as their version
// may be used and go over to the newer one at once: each load costs an engine the time in which what runs comes to its end.
func (s *State) turn(now time.Time, m *model, held int64) time.Duration {
	best := m.best()
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
			return window + overtakenWait
		}
		// These must be back when the others stop.
		window = max(0, window-usualLoad)
	}
	return window * time.Duration(position) / time.Duration(n)
}

// usableUntil is until when entries send requests to an engine that holds a version: until the first newer one must be in use. Zero stands
// for no end.
func (s *State) usableUntil(m *model, held int64) time.Time {
	var first time.Time
	for number, since := range m.named {
		if number > held && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	if first.IsZero() {
		return first
	}
	return first.Add(s.VersionTime - catalog.VersionMargin)
}

// move puts the engine into a phase that goes on at next at the earliest.
func (m *model) move(p Phase, next time.Time, why string) []step.Effect {
	m.phase = p
	m.next = next
	return []step.Effect{m.moved(m.loading, p, why)}
}

func (m *model) moved(number int64, p Phase, why string) Moved {
	return Moved{Model: m.name, Version: number, Phase: p, Why: why}
}

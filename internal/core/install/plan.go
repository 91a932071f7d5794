package install

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/versionplan"
)

const (
	// originVersions is how many versions the platform's origin sends: the newest one and the one before it.
	originVersions = 2
	// planLogInterval is the minimum time between two logged changes of a plan. Predicted times may move it back and forth.
	planLogInterval = 200 * time.Millisecond
	// maxResolveTime is how long after this host learned of a version its chunk manifest is expected at the latest from an origin that answers.
	maxResolveTime = time.Second
	// maxOverdue is how long after its expected end a load is still expected to end at any moment.
	maxOverdue = time.Second
	// readInterval is the approximate time after which the end of a load is noticed.
	readInterval = 100 * time.Millisecond
)

// updatePlan decides anew which versions are fetched and loaded, and drops those that are no longer useful.
func (s *State) updatePlan(in step.Input, m *model) []step.Effect {
	inputs := s.planInputs(in.Now, m)
	plan := versionplan.Decide(in.Now, inputs)
	var effects []step.Effect
	for _, number := range plan.Drop {
		if v := m.version(number); v != nil && number != m.target {
			effects = append(effects, s.drop(m, v, plan.Reason))
		}
	}
	if !slices.Equal(plan.FetchOrder, m.plan.FetchOrder) || len(plan.Drop) > 0 {
		effects = append(effects, WantedChanged{})
	}
	changed := len(inputs.Versions) > 1 && (!slices.Equal(plan.FetchOrder, m.plan.FetchOrder) || plan.Load != m.plan.Load || plan.Half != m.plan.Half)
	if changed && in.Now.Sub(m.loggedAt) >= planLogInterval {
		m.loggedAt = in.Now
		effects = append(effects, PlanChanged{Model: m.name, Plan: plan, Inputs: inputs})
	}
	if plan.Half != m.plan.Half {
		m.turnVersion = 0
	}
	m.plan = plan
	m.startTurns(in.Now)
	return effects
}

// drop removes an incomplete version.
func (s *State) drop(m *model, v *version, reason string) step.Effect {
	m.versions = slices.DeleteFunc(m.versions, func(other *version) bool { return other == v })
	m.dropped[v.number] = true
	if len(m.dropped) > maxActivations {
		clear(m.dropped)
	}
	return VersionDropped{Model: m.name, Version: v.number, Transfer: s.transfers.Transfers[v.digest], Reason: reason}
}

// planInputs returns what the plan for a model depends on.
func (s *State) planInputs(now time.Time, m *model) versionplan.Inputs {
	held, heldUntil := s.usableVersion(m.name), time.Time{}
	if held > 0 {
		heldUntil = s.usableUntil(m, held)
	}
	secondHalf := false
	if best := m.newestComplete(); best != nil && best != m.newest() && best.number != held {
		position, n := s.turn(m)
		secondHalf = position >= (n+1)/2
	}
	inputs := versionplan.Inputs{
		Held: held, HeldUntil: heldUntil, OriginRate: s.transfers.OriginRate, LinkRate: s.transfers.LinkRate, OriginAway: s.transfers.OriginAway || m.unresolved(now),
		LoadTime: s.loadTime(), IdleLoadTime: idleLoadTime, TurnTime: s.turnTime(), Serving: s.engine.RequestCount > 0, SecondHalf: secondHalf, Memory: s.ChunkMemory,
	}
	for _, v := range m.versions {
		t, known := s.transfers.Transfers[v.digest]
		inputs.Versions = append(inputs.Versions, versionplan.Version{
			Number: v.number, ActivatedAt: m.activatedAt[v.number], UsableUntil: s.usableUntil(m, v.number), Complete: v.phase == Fetched,
			FleetLacks: t.FleetLacks, HostLacks: t.HostLacks, Size: t.Size, Resolved: known && t.Size > 0, Gone: t.Gone || m.newerThan(v.number) >= originVersions,
		})
	}
	return inputs
}

// unresolved reports whether the newest version's chunk manifest has been missing for so long that the origin is probably unreachable.
func (m *model) unresolved(now time.Time) bool {
	newest := m.newest()
	return newest.phase == Resolving && now.Sub(newest.knownSince) > maxResolveTime
}

// newerThan returns the number of activated versions that are newer than the given one.
func (m *model) newerThan(number int64) int {
	n := 0
	for other := range m.activatedAt {
		if other > number {
			n++
		}
	}
	return n
}

// rank returns the place of a version in the fetch order. Complete versions come first: nothing is fetched for them.
func (m *model) rank(v *version) int { return max(0, slices.Index(m.plan.FetchOrder, v.number)) }

// Ready returns when the engine is expected to accept requests again, and with which version. ok is false while it accepts requests with a
// usable version, and when the time is unknown.
func (s *State) Ready(now time.Time) (at time.Time, version int64, ok bool) {
	if !s.responding(now) {
		return time.Time{}, 0, false
	}
	for _, name := range s.Models() {
		m := s.models[name]
		modelAt, number := s.readyWith(now, m)
		if number > 0 && (!ok || modelAt.Before(at)) {
			at, version, ok = modelAt, number, true
		}
	}
	return at, version, ok
}

// readyWith returns when the engine is expected to accept requests with a usable version of the model; zero if it does or if that is
// unknown.
func (s *State) readyWith(now time.Time, m *model) (time.Time, int64) {
	loading := m.phase == Ordering || m.phase == Loading
	if !loading && (m.phase != Preparing || m.plan.ReadyVersion == 0) {
		return m.plan.ReadyAt, m.plan.ReadyVersion
	}
	end := step.Later(m.phaseSince, s.idleSince).Add(idleLoadTime)
	if s.engine.RequestCount > 0 {
		end = m.phaseSince.Add(s.loadTime())
	}
	if now.Sub(end) > maxOverdue {
		return time.Time{}, 0
	}
	if minimum := now.Add(readInterval); end.Before(minimum) {
		end = minimum
	}
	return end, m.target
}

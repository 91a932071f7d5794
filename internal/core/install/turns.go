package install

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// idleLoadTime is the approximate load time of an engine without running requests.
	idleLoadTime = 500 * time.Millisecond
	// usualLoadTime is how long an engine with running requests usually takes from a load order until it accepts requests again. It counts
	// until a load of this host's engine is measured. With 12 slots and requests of 0.5 to 1.3 s, loads took 2.5 to 2.8 s.
	usualLoadTime = 2500 * time.Millisecond
	// minLoadTime and maxLoadTime bound the measured load time, so that one load of an engine that stalls does not change the turns of a
	// host far from those of the others.
	minLoadTime, maxLoadTime = 1500 * time.Millisecond, 3500 * time.Millisecond
	// maxAwayShare is the share of a service's engines that may be loading at the same time while the held version is usable. With a
	// smaller one, more engines are left to load at the end of the held version, when none that loads can serve; with a larger one, those
	// that remain are too few before.
	maxAwayShare = 0.5
)

// turnDelay returns how long this engine waits before it loads a version, so that as few engines of a service as possible are away, that
// is, accept no requests, at the same time.
//
// The engines start one after the other from when the version may be loaded, at an interval with which the last load ends when entries
// stop to send requests to the held version. Where that takes more than maxAwayShare of the engines at a time, the interval is the one
// that takes maxAwayShare, and the engines whose turn would come after that end load at the end. They get no more requests then, so their
// loads are short.
//
// The number of engines that are away is thus bounded by maxAwayShare until that end. From then on it is bounded by those that have not
// loaded, which are none if the window is at least loadTime/maxAwayShare long.
//
// The delay is 0 where there is nothing to take turns for: the engine holds no version, entries no longer send requests to the version
// that it holds, or no other peer is known. It is also 0 while this host isn't among the known peers, because it then has no rank.
func (s *State) turnDelay(now time.Time, m *model, held int64) time.Duration {
	end := s.usableUntil(m, held)
	position, n := s.turn(m)
	if held == 0 || !end.After(now) || n < 2 || position < 0 {
		return 0
	}
	interval := max(s.turnTime(), end.Sub(m.rolloutSince)-s.loadTime()) / time.Duration(n)
	first, start := 0, m.rolloutSince
	if half := (n + 1) / 2; position >= half && !m.plan.Half {
		// The second half may be told to load after the first one, and later than its turns; see package versionplan.
		first, start = half, step.Later(now, start.Add(interval*time.Duration(half)))
	}
	return max(0, min(end.Sub(now), start.Add(interval*time.Duration(position-first)).Sub(now)))
}

// turnTime returns how long all engines of the service take to load in turns, with maxAwayShare of them at a time; 0 if no other is known.
func (s *State) turnTime() time.Duration {
	if len(s.peers) < 2 {
		return 0
	}
	return time.Duration(float64(s.loadTime()) / maxAwayShare)
}

// startTurns records when the newest complete version may first be loaded by some engines.
func (m *model) startTurns(now time.Time) {
	v := m.newestComplete()
	if v != nil && v.number != m.rolloutVersion && (m.plan.Load == v.number || m.plan.Half) {
		m.rolloutVersion, m.rolloutSince = v.number, now
	}
}

// turn returns this engine's position in the order in which the engines load the newest complete version, and the number of engines. The
// position is negative while this host isn't among the known peers.
//
// For versions with an odd number, the order is reversed: an engine that loads an even version first loads the odd version after it last.
func (s *State) turn(m *model) (position, n int) {
	position, n = step.Position(m.name, s.Self, s.peers), len(s.peers)
	if best := m.newestComplete(); position >= 0 && best != nil && best.number%2 == 1 {
		position = n - 1 - position
	}
	return position, n
}

// loadTime returns how long this engine takes for a load while it has requests.
func (s *State) loadTime() time.Duration {
	if s.measuredLoadTime > 0 {
		return s.measuredLoadTime
	}
	return usualLoadTime
}

// measureLoad takes the duration of a load that has succeeded into account, if the engine had requests when it was ordered.
func (s *State) measureLoad(now time.Time, m *model) {
	if m.orderedBusy {
		took := min(max(now.Sub(m.orderedAt), minLoadTime), maxLoadTime)
		s.measuredLoadTime = (s.loadTime() + took) / 2
	}
}

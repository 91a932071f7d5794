package install

import "time"

const (
	// engineTimeout is how long an engine may fail to answer before it counts as down. It spans several readings, which are made every
	// 100 ms.
	engineTimeout = 800 * time.Millisecond
	// minFailedReads is the number of readings in a row that must have failed by then.
	minFailedReads = 2
	// maxSilentReads is the same for readings that ran out of time. The engine may go on with all that it had, so it counts as down only
	// after the longest silence to be expected of one that is sound, 3 s. A reading that runs out of time takes 400 ms. They are counted
	// because the clock also covers the time for which this process did not run.
	maxSilentReads = 8
)

// EngineFailed reports that the engine didn't answer a reading.
type EngineFailed struct {
	// Silent is set if the reading ran out of time: the engine neither answered nor refused the connection, and may go on.
	Silent bool
}

// Event marks the type as an event.
func (EngineFailed) Event() {}

// Silent reports whether the engine is silent and may go on. What is known of it is then older than usual.
func (s *State) Silent() bool { return s.silent }

// responding reports whether the engine has answered a reading recently.
func (s *State) responding(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < engineTimeout
}

// engineFailed clears the engine's state once the engine counts as down: it may come back without weights. One failed reading is not enough,
// since it may have run out of time while this process did not run.
func (s *State) engineFailed(now time.Time, ev EngineFailed) {
	s.failedReads++
	limit := minFailedReads
	if ev.Silent {
		limit = maxSilentReads
	}
	down := now.Sub(s.readAt) > engineTimeout && s.failedReads >= limit
	s.silent = ev.Silent && !down
	if down {
		s.engine = EngineRead{}
	}
}

package forward

import "time"

const (
	// maxPause is the longest pause of a working engine that the margins before a version's expiry cover; see withdrawMargin.
	maxPause = 1500 * time.Millisecond
	// pauseWindow is the minimum time for which a pause is expected to occur again. Pauses come from the engines' software and hosts, which
	// rarely change.
	pauseWindow = 5 * time.Minute
)

// observePause records the longest pause between two events of a stream: of a complete one, or of one that paused until its attempt was
// ended, whose length is unknown. Engines that pause go on after a while, and notice nothing meanwhile. A wait for the first event is no pause,
// since the engine may be busy with other requests.
func (s *State) observePause(now time.Time, r *request, ev AttemptEnded) {
	switch {
	case ev.Outcome == Answered:
		s.recordPause(now, r, ev.MaxGap)
	case ev.Outcome == Silent && ev.Partial:
		s.recordPause(now, r, maxPause)
	}
}

// recordPause records a pause of the engine that a request is with.
func (s *State) recordPause(now time.Time, r *request, pause time.Duration) {
	if r.model != "" {
		s.pauses.add(now, pauseWindow, min(pause, maxPause))
	}
}

// longestPause returns the longest recent pause of an engine, at most maxPause.
func (s *State) longestPause() time.Duration { return s.pauses.value() }

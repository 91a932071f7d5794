package forward

import "time"

const (
	// maxPause is the longest pause of a working engine that the margins before a version's expiry cover; see withdrawMargin.
	maxPause = 1500 * time.Millisecond
	// pauseWindow is the minimum time for which a pause is expected to occur again.
	pauseWindow = 30 * time.Second
)

// observePause records the longest pause between two events of a complete stream. Its engine was silent and went on, so other engines
// may be silent for as long, and notice nothing meanwhile.
func (s *State) observePause(now time.Time, r *request, ev AttemptEnded) {
	if r.model == "" || ev.Outcome != Answered {
		return
	}
	s.pauses.add(now, pauseWindow, min(ev.MaxGap, maxPause))
}

// longestPause returns the longest recent pause of an engine, at most maxPause.
func (s *State) longestPause() time.Duration { return s.pauses.value() }

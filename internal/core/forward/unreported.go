package forward

import "time"

const (
	// unreportedPauseInitial and unreportedPauseMax bound the pause in which an entry sends nothing to engines without a load
	// report, after one of them declined a request or was slow to its first event. The pause doubles until one of them answers in
	// time. When the engines with a report are full, those without one usually are, too.
	unreportedPauseInitial = time.Second
	unreportedPauseMax     = 8 * time.Second
	// unreportedWaitShare is the part of the latency objective within which an unreported engine must send the first event.
	unreportedWaitShare = 0.5
)

// maySendUnreported reports whether a request may go to an engine without a load report. current is as in samples.
func (s *State) maySendUnreported(now time.Time, current *sample) bool {
	if current.availability == unavailable {
		return true
	}
	return !now.Before(s.unreportedPauseEnd) && (!current.anyFull || s.unreportedWaiting < s.Self.Policy.MaxUnreported)
}

// unreportedStarted handles the first event of an attempt at an engine without a load report.
func (s *State) unreportedStarted(now time.Time, r *request) {
	if r.unreported && float64(now.Sub(r.sentAt)) > unreportedWaitShare*float64(r.route.Objective) {
		r.firstEventLate = true
		s.pauseUnreported(now)
	}
}

// unreportedEnded handles the end of an attempt at an engine without a load report.
func (s *State) unreportedEnded(now time.Time, r *request, o Outcome) {
	if !r.unreported {
		return
	}
	switch o {
	case Answered:
		if !r.firstEventLate {
			s.unreportedPause = 0
		}
	case Declined, Misdirected, Silent:
		s.pauseUnreported(now)
	}
}

func (s *State) pauseUnreported(now time.Time) {
	s.unreportedPause = min(max(2*s.unreportedPause, unreportedPauseInitial), unreportedPauseMax)
	s.unreportedPauseEnd = now.Add(s.unreportedPause)
}

package forward

import "time"

const (
	// blindFirst and blindMost bound how long an entry sends nothing to engines of which nobody tells, after one of them turned a request away
	// or kept it waiting; it doubles until one answers soon. When those that are told of are full, such engines mostly are, too.
	blindFirst = time.Second
	blindMost  = 8 * time.Second
	// blindWaitShare is the part of the latency objective that a request may wait there for its first event.
	blindWaitShare = 0.5
)

// mayBlind tells whether a request may go to an engine of which nobody tells; known are those of which somebody does.
func (s *State) mayBlind(now time.Time, known *choice) bool {
	if known.found == none {
		return true
	}
	return !now.Before(s.blindAgain) && (!known.busy || s.blindWaiting < s.Self.Policy.BlindAtOnce)
}

// blindBegan learns from the first event of a send to an engine of which nobody tells.
func (s *State) blindBegan(now time.Time, r *request) {
	if r.blind && float64(now.Sub(r.sentAt)) > blindWaitShare*float64(r.route.Objective) {
		r.keptWaiting = true
		s.pauseBlind(now)
	}
}

// noteBlind learns from the end of such a send.
func (s *State) noteBlind(now time.Time, r *request, o Outcome) {
	if !r.blind {
		return
	}
	switch o {
	case Answered:
		if !r.keptWaiting {
			s.blindFor = 0
		}
	case Declined, Misdirected, Silent:
		s.pauseBlind(now)
	}
}

func (s *State) pauseBlind(now time.Time) {
	s.blindFor = min(max(2*s.blindFor, blindFirst), blindMost)
	s.blindAgain = now.Add(s.blindFor)
}

package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/step"
)

// This file has the quarantines of requests as a whole. Package quarantine decides on them, at the third crash; they last, heal and end as
// those of parts do.

// QuarantineLifted reports to the shell that a request is no longer quarantined.
type QuarantineLifted struct{ Fingerprint uint64 }

// Effect marks the type as an effect.
func (QuarantineLifted) Effect() {}

// whole returns the identifier of a request in State.QuarantinedRequests.
func whole(fingerprint uint64) attribution.Part { return attribution.Part(fingerprint) }

// requestQuarantined reports whether a request must not be sent because it is quarantined as a whole, and why.
func (s *State) requestQuarantined(in step.Input, r *request) (ending, bool) {
	p := whole(r.fingerprint)
	if !s.QuarantinedRequests.Quarantined(p) || r.isTrial(in.Now, s.QuarantinedRequests, p) {
		return ending{}, false
	}
	s.QuarantinedRequests.Refused(in.Now, p)
	why := fmt.Sprintf("requests with fingerprint %d crashed upstreams; quarantined while they come", r.fingerprint)
	return ending{code: code.RequestQuarantined, reason: why, retryAfter: max(s.Crashes.Remaining(in.Now, r.fingerprint), suspectRetryAfter)}, true
}

// quarantinedRequestAnswered records a complete answer, which lifts the quarantine of its request.
func (s *State) quarantinedRequestAnswered(in step.Input, r *request) []step.Effect {
	if s.QuarantinedRequests.Active() == 0 {
		return nil
	}
	a := attribution.Attempt{Parts: []attribution.Part{whole(r.fingerprint)}, SentAt: r.sentAt}
	return s.quarantinedRequestsChanged(in, s.QuarantinedRequests.Answered(in.Now, a))
}

// quarantinedRequestsChanged reports changes of the quarantines of requests, and stops the requests that are quarantined from now on.
func (s *State) quarantinedRequestsChanged(in step.Input, changes []attribution.Change) []step.Effect {
	var effects []step.Effect
	for _, c := range changes {
		fingerprint := uint64(c.Part)
		switch c.Kind {
		case attribution.Reported:
			if s.Crashes.Remaining(in.Now, fingerprint) == 0 { // Else it was reported already.
				effects = append(effects, Quarantined{Fingerprint: fingerprint, Remaining: attribution.RetryAfter})
			}
			effects = append(effects, s.stopQuarantined(in, fingerprint)...)
		case attribution.Lifted:
			s.Crashes.Release(fingerprint)
			effects = append(effects, QuarantineLifted{Fingerprint: fingerprint})
		}
	}
	return effects
}

// mustNotStart reports whether a request that its upstream has not started must not start any more because of a quarantine.
func (s *State) mustNotStart(now time.Time, r *request) bool {
	if r.trial {
		return false
	}
	_, found := s.Parts.FirstQuarantined(r.parts)
	return found || s.QuarantinedRequests.Quarantined(whole(r.fingerprint)) || s.Crashes.Remaining(now, r.fingerprint) > 0
}

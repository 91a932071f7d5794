package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// suspectRetryAfter is the delay for a caller whose request is refused while it is open which of its parts crashes upstreams. A decision
// takes no longer.
const suspectRetryAfter = time.Second

// PartsReported is the event that another process reported what it knows about parts of prompts that crash upstreams, and about requests
// that are quarantined as a whole.
type PartsReported struct{ Parts, Requests attribution.Report }

// QuarantinesRead is the event that the quarantines of parts were read from the platform's store.
type QuarantinesRead struct {
	List []attribution.Recorded
	// Starting is set for the first read of this process.
	Starting bool
}

// UpstreamDown is the event that an upstream refused a connection right after an attempt broke there.
type UpstreamDown struct{ Upstream catalog.Instance }

// Event marks the type as an event.
func (PartsReported) Event() {}

// Event marks the type as an event.
func (QuarantinesRead) Event() {}

// Event marks the type as an event.
func (UpstreamDown) Event() {}

// PartQuarantineChanged reports to the shell that the quarantine of a part changed.
type PartQuarantineChanged struct{ attribution.Change }

// CrashEvidenceFound informs the shell that this entry observed something about parts and crashes that others don't know yet.
type CrashEvidenceFound struct{}

// Effect marks the type as an effect.
func (PartQuarantineChanged) Effect() {}

// Effect marks the type as an effect.
func (CrashEvidenceFound) Effect() {}

// attempt returns the request's current attempt, for the attribution of crashes.
func (r *request) attempt() attribution.Attempt {
	return attribution.Attempt{Parts: r.parts, Request: uint16(mix(r.fingerprint)), SentAt: r.sentAt}
}

// upstreamDown records that an upstream is down, and that it gets no requests for a while.
func (s *State) upstreamDown(in step.Input, ev UpstreamDown) []step.Effect {
	l := s.loadState(ev.Upstream)
	if in.Now.Sub(l.foundDownAt) > crashWindow { // Each attempt that broke there reports it.
		l.recordOutcome(in.Now, NotSent)
	}
	return s.foundDown(in, ev.Upstream)
}

// partsReported merges another process's report.
func (s *State) partsReported(in step.Input, ev PartsReported) []step.Effect {
	before := s.Parts.Contributions()
	effects := s.partsChanged(in, s.Parts.Merge(in.Now, ev.Parts))
	if s.Parts.Contributions() != before {
		effects = append(effects, CrashEvidenceFound{})
	}
	return append(effects, s.quarantinedRequestsChanged(in, s.QuarantinedRequests.Merge(in.Now, ev.Requests))...)
}

// partsCrashed records the crash of an upstream as evidence against the parts of a request that broke there.
func (s *State) partsCrashed(in step.Input, b brokenRequest, upstream catalog.Instance) []step.Effect {
	before := s.Parts.Changes()
	changes := s.Parts.Crashed(in.Now, instanceHash(upstream), b.brokeAt, b.attempt)
	return s.evidence(in, before, changes)
}

// partsAnswered records a complete answer as evidence for the request's parts. An answer without any event is none.
func (s *State) partsAnswered(in step.Input, r *request) []step.Effect {
	if r.awaitingFirstEvent {
		return nil
	}
	before := s.Parts.Changes()
	changes := s.Parts.Answered(in.Now, r.attempt())
	return append(s.quarantinedRequestAnswered(in, r), s.evidence(in, before, changes)...)
}

// evidence returns the effects of an observation. before is the table's count of changes before it.
func (s *State) evidence(in step.Input, before uint64, changes []attribution.Change) []step.Effect {
	effects := s.partsChanged(in, changes)
	if s.Parts.Changes() != before {
		effects = append(effects, CrashEvidenceFound{})
	}
	return effects
}

// partsChanged reports changes of quarantines, and stops the requests with a part that is quarantined from now on.
func (s *State) partsChanged(in step.Input, changes []attribution.Change) []step.Effect {
	var effects []step.Effect
	for _, c := range changes {
		effects = append(effects, PartQuarantineChanged{c})
		if c.Kind == attribution.Started || c.Kind == attribution.Reported {
			effects = append(effects, s.stopPart(in, c.Part)...)
		}
	}
	return effects
}

// stopPart stops the requests with a part as stopQuarantined does for the copies of one request.
func (s *State) stopPart(in step.Input, p attribution.Part) []step.Effect {
	var list []*request
	for _, r := range s.requests {
		if slices.Contains(r.parts, p) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return s.stopRequests(in, list)
}

// partQuarantined reports whether a request must not be sent because of a part of its prompt, and why.
func (s *State) partQuarantined(in step.Input, r *request) (ending, bool) {
	if p, found := s.Parts.FirstQuarantined(r.parts); found {
		if r.isTrial(in.Now, s.Parts, p) {
			return ending{}, false
		}
		s.Parts.Refused(in.Now, p)
		why := fmt.Sprintf("part %v of its prompt crashed upstreams; requests with it are not sent", p)
		return ending{code: code.PartQuarantined, reason: why, retryAfter: attribution.RetryAfter}, true
	}
	for _, p := range r.parts {
		if !s.Parts.MaySend(p) {
			why := fmt.Sprintf("part %v of its prompt is suspected of having crashed upstreams, and a request with it is at an upstream now", p)
			return ending{code: code.PartQuarantined, reason: why, retryAfter: suspectRetryAfter}, true
		}
	}
	return ending{}, false
}

// isTrial reports whether a request is sent although it is quarantined, itself or for a part. A trial has a single attempt.
func (r *request) isTrial(now time.Time, t *attribution.Table, p attribution.Part) bool {
	if r.attempts > 0 {
		return false
	}
	r.trial = r.trial || t.TakeTrial(now, p)
	return r.trial
}

// expireParts drops evidence that is too old.
func (s *State) expireParts(now time.Time) {
	s.QuarantinedRequests.Expire(now)
	for _, c := range s.Parts.Expire(now) {
		s.crashReports = append(s.crashReports, PartQuarantineChanged{c})
	}
	if n := s.Parts.TakeDropped(); n > 0 {
		s.crashReports = append(s.crashReports, CrashesDropped{Count: n})
	}
}

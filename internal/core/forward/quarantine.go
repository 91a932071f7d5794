package forward

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/step"
)

// crashWindow is the maximum time between the break of a request's attempt and the detection that its upstream is down, in either
// order, for which the crash is attributed to the request. If the upstream is not found down, the break does not count as a crash.
const crashWindow = 1500 * time.Millisecond

// CrashesReported is the event that another process reported what it knows about requests that crash upstreams.
type CrashesReported struct{ Reports []quarantine.Report }

// Event marks the type as an event.
func (CrashesReported) Event() {}

// QuarantineStarted reports to the shell that a request is quarantined from now on, because this entry counted the crash that reached
// the threshold.
type QuarantineStarted struct {
	Fingerprint uint64
	// Upstream is the one that crashed last.
	Upstream string
}

// Quarantined reports to the shell that a request is quarantined from now on because another process reported it.
type Quarantined struct {
	Fingerprint uint64
	// Remaining is the remaining time of the quarantine.
	Remaining time.Duration
}

// CrashesDropped reports to the shell how many crashes were not recorded because the table is full; see quarantine.Table.
type CrashesDropped struct{ Count int }

// Effect marks the type as an effect.
func (CrashesDropped) Effect() {}

// Effect marks the type as an effect.
func (QuarantineStarted) Effect() {}

// Effect marks the type as an effect.
func (Quarantined) Effect() {}

// UpstreamCrashed reports to the shell that an upstream was found down to which attempts of requests had broken shortly before.
type UpstreamCrashed struct {
	Upstream string
	// Broken is the number of attempts that broke there.
	Broken int
}

// Effect marks the type as an effect.
func (UpstreamCrashed) Effect() {}

// brokenRequest is a request whose attempt ended as Broken at an upstream, and when.
type brokenRequest struct {
	fingerprint uint64
	attempt     attribution.Attempt
	brokeAt     time.Time
}

// crashesReported merges another process's report on crashes.
func (s *State) crashesReported(in step.Input, ev CrashesReported) []step.Effect {
	var effects []step.Effect
	for _, fingerprint := range s.Crashes.Merge(in.Now, ev.Reports) {
		effects = append(effects, Quarantined{Fingerprint: fingerprint, Remaining: s.Crashes.Remaining(in.Now, fingerprint)})
		effects = append(effects, s.stopQuarantined(in, fingerprint)...)
	}
	return effects
}

// stopQuarantined stops the copies of a request that is quarantined from now on, before they crash more upstreams: queued copies
// are refused, and copies that engines have not started are withdrawn. An answer that has started continues.
func (s *State) stopQuarantined(in step.Input, fingerprint uint64) []step.Effect {
	return s.stopRequests(in, s.copies(fingerprint))
}

// stopRequests stops requests that must not be sent any more.
func (s *State) stopRequests(in step.Input, list []*request) []step.Effect {
	var effects []step.Effect
	for _, r := range list {
		if r.isOpen() {
			r.eachAttempt(func() {
				if r.awaitingFirstEvent {
					effects = append(effects, Withdraw{ID: r.id, Attempt: r.number})
				}
			})
			continue
		}
		if end, found := s.quarantined(in, r); found { // A trial that waits goes on.
			effects = append(effects, s.endRequest(in, r, end)...)
		}
	}
	return effects
}

// copies returns the requests in flight with a fingerprint, ordered by ID.
func (s *State) copies(fingerprint uint64) []*request {
	var list []*request
	for _, r := range s.requests {
		if r.fingerprint == fingerprint {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}

// quarantined reports whether a request must not be sent because of the upstreams that crashed while running it, and why.
func (s *State) quarantined(in step.Input, r *request) (ending, bool) {
	if end, found := s.requestQuarantined(in, r); found {
		return end, true
	}
	if r.trial && r.attempts == 0 {
		return ending{}, false
	}
	if left := s.Crashes.Remaining(in.Now, r.fingerprint); left > 0 {
		why := fmt.Sprintf("requests with fingerprint %d crashed upstreams; quarantined for another %v", r.fingerprint, left)
		return ending{code: code.RequestQuarantined, reason: why, retryAfter: left}, true
	}
	if atRisk := s.atRisk(in.Now, r); atRisk >= quarantine.CrashThreshold {
		why := fmt.Sprintf("%d upstreams crashed recently on fingerprint %d, may have crashed, or hold a copy of it", atRisk, r.fingerprint)
		return ending{code: code.RequestQuarantined, reason: why, retryAfter: s.retryAfter(in)}, true
	}
	return s.partQuarantined(in, r)
}

// atRisk counts the upstream instances that a request has crashed or may crash. It is the sum of
//
//   - the instances that were found down after a break,
//   - the breaks that are so recent that their upstream may yet be found down. An upstream may restart and break again before it is
//     found to have been down, so each break counts,
//   - the instances that hold a copy of the request now.
//
// The result is 0 as long as no attempt of the request broke. The caller limits the sum to CrashThreshold, so that concurrent copies
// crash no more upstreams than successive ones.
func (s *State) atRisk(now time.Time, r *request) int {
	down := map[uint32]bool{} // By the hash of the instance; see instanceHash.
	for _, hash := range s.Crashes.RecentCrashes(now, r.fingerprint) {
		down[hash] = true
	}
	count := len(down)
	for _, b := range withoutOldBreaks(s.breaks[r.fingerprint], now) {
		if !down[instanceHash(b.upstream)] {
			count++
		}
	}
	if count == 0 {
		return 0
	}
	busy := map[catalog.Instance]bool{}
	for _, other := range s.copies(r.fingerprint) {
		for _, instance := range other.upstreamsOf() {
			busy[instance] = true
		}
	}
	return count + len(busy)
}

// breakRecord is where and when an attempt broke.
type breakRecord struct {
	upstream catalog.Instance
	brokeAt  time.Time
}

// withoutOldBreaks drops the breaks that are too old for their upstream to be found down.
func withoutOldBreaks(list []breakRecord, now time.Time) []breakRecord {
	for len(list) > 0 && now.Sub(list[0].brokeAt) > crashWindow {
		list = list[1:]
	}
	return list
}

// instanceHash returns the hash by which all processes identify an upstream's instance.
func instanceHash(instance catalog.Instance) uint32 {
	return uint32(step.Score(instance.ID, strconv.FormatInt(instance.StartedAt, 10)))
}

// trackCrashes updates the crash records of a request and its upstream at the end of an attempt. Only a complete answer counts as an
// answer: if it broke off, the outcome is Broken, even if part of it was passed on.
func (s *State) trackCrashes(in step.Input, r *request, ev AttemptEnded) []step.Effect {
	switch ev.Outcome {
	case Answered:
		s.Crashes.Answered(in.Now, r.fingerprint)
		delete(s.breaks, r.fingerprint)
		return s.partsAnswered(in, r)
	case NotSent:
		return s.foundDown(in, r.instance)
	case Broken:
		return s.recordBreak(in, r, ev.UpstreamAlive)
	}
	return nil
}

// recordBreak records that an attempt broke. If its upstream was alive after that, other requests with the fingerprint need not wait, and it counts as
// a crash only if the upstream is found down all the same.
func (s *State) recordBreak(in step.Input, r *request, upstreamAlive bool) []step.Effect {
	if r.fingerprint == 0 && len(r.parts) == 0 {
		return nil
	}
	l, broken := s.loadState(r.instance), brokenRequest{fingerprint: r.fingerprint, attempt: r.attempt(), brokeAt: in.Now}
	if !l.foundDownAt.Before(r.sentAt) && in.Now.Sub(l.foundDownAt) <= crashWindow {
		return s.recordCrash(in, broken, r.instance)
	}
	l.brokenRequests = append(withoutOldRequests(l.brokenRequests, in.Now), broken)
	if r.fingerprint == 0 || upstreamAlive {
		return nil
	}
	s.breaks[r.fingerprint] = append(withoutOldBreaks(s.breaks[r.fingerprint], in.Now), breakRecord{upstream: r.instance, brokeAt: in.Now})
	return nil
}

// withoutOldRequests drops the requests that broke too long ago.
func withoutOldRequests(list []brokenRequest, now time.Time) []brokenRequest {
	for len(list) > 0 && now.Sub(list[0].brokeAt) > crashWindow {
		list = list[1:]
	}
	return list
}

// foundDown attributes the crash of an upstream that was found down to the requests that broke there shortly before.
func (s *State) foundDown(in step.Input, upstream catalog.Instance) []step.Effect {
	l := s.loadState(upstream)
	l.foundDownAt = in.Now
	var effects []step.Effect
	for _, b := range withoutOldRequests(l.brokenRequests, in.Now) {
		effects = append(effects, s.recordCrash(in, b, upstream)...)
	}
	l.brokenRequests = nil
	return effects
}

func (s *State) recordCrash(in step.Input, b brokenRequest, upstream catalog.Instance) []step.Effect {
	s.countCrash(in.Now, upstream)
	effects := s.partsCrashed(in, b, upstream)
	if b.fingerprint == 0 || !s.Crashes.Crashed(in.Now, b.fingerprint, instanceHash(upstream), in.Now) {
		return effects
	}
	s.QuarantinedRequests.Quarantine(in.Now, whole(b.fingerprint), quarantine.CrashThreshold)
	effects = append(effects, QuarantineStarted{Fingerprint: b.fingerprint, Upstream: upstream.ID})
	return append(effects, s.stopQuarantined(in, b.fingerprint)...)
}

// crashCount counts the attempts that broke when an upstream crashed.
type crashCount struct {
	broken int
	since  time.Time
}

// crashReportDelay is how long after the first of its attempts broke a crash is reported. The others have broken by then.
const crashReportDelay = 200 * time.Millisecond

func (s *State) countCrash(now time.Time, upstream catalog.Instance) {
	c := s.crashCounts[upstream]
	if c == nil {
		c = &crashCount{since: now}
		s.crashCounts[upstream] = c
	}
	c.broken++
}

// reportCrashes returns the reports on crashes that are due.
func (s *State) reportCrashes(now time.Time) []step.Effect {
	var effects []step.Effect
	for upstream, c := range s.crashCounts {
		if now.Sub(c.since) >= crashReportDelay {
			effects = append(effects, UpstreamCrashed{Upstream: upstream.ID, Broken: c.broken})
			delete(s.crashCounts, upstream)
		}
	}
	slices.SortFunc(effects, func(a, b step.Effect) int {
		return cmp.Compare(a.(UpstreamCrashed).Upstream, b.(UpstreamCrashed).Upstream)
	})
	return effects
}

// expireCrashes drops crash records that are too old, and reports how many crashes could not be recorded.
func (s *State) expireCrashes(now time.Time) []step.Effect {
	s.Crashes.Expire(now)
	for fingerprint, list := range s.breaks {
		if list = withoutOldBreaks(list, now); len(list) > 0 {
			s.breaks[fingerprint] = list
		} else {
			delete(s.breaks, fingerprint)
		}
	}
	effects := append(s.crashReports, s.reportCrashes(now)...)
	s.crashReports = nil
	if n := s.Crashes.TakeDropped(); n > 0 {
		effects = append(effects, CrashesDropped{Count: n})
	}
	return effects
}

// lostWeights reports whether an engine that held weights holds none now, as after a crash.
func lostWeights(before, now LoadReported) bool { return holdsWeights(before) && !holdsWeights(now) }

func holdsWeights(l LoadReported) bool {
	for _, version := range l.Versions {
		if version > 0 {
			return true
		}
	}
	return false
}

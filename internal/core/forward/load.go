package forward

import (
	"maps"
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// reportLifetime is how long an agent's load report is valid. Agents send at least one per second.
	reportLifetime = 2500 * time.Millisecond
	// avoidInitial and avoidMax bound how long an upstream gets no requests after repeated failures. The time doubles with each
	// further one.
	avoidInitial = 300 * time.Millisecond
	avoidMax     = 4 * time.Second
	// failuresToAvoid is the number of consecutive failures after which an upstream is avoided for some time.
	failuresToAvoid = 3
	// aliveWindow is how recently something of an answer must have been received from an upstream for it to count as alive though it is
	// silent on another request. It is shorter than every timeout that ends an attempt as Silent, so that a dead upstream has been silent for
	// longer.
	aliveWindow = 500 * time.Millisecond
)

// loadState is the last known state of an upstream: its load, its health, and what it has reported about itself.
type loadState struct {
	// inFlight is the number of this entry's requests at the upstream, and pendingPromptTokens the length of their prompts that the
	// upstream has not processed yet.
	inFlight            int
	pendingPromptTokens int
	// tokens is how many tokens of the upstream's memory this entry's requests may take.
	tokens     int
	report     LoadReported
	reportedAt time.Time
	// nearEntries is the number of entries in the upstream's data centre, as counted by its agent.
	nearEntries recentMax[int]
	// overdue is the number of this entry's requests there that had waited longer for their first event than their latency
	// objective at the last tick.
	overdue int
	// quiet is set if the upstream seemed silent at the last tick; see seemsSilent.
	quiet bool
	// otherRequests is the number of requests from other entries, as of reportedAt.
	otherRequests int
	// remainingSends is how many more requests this entry may send to the engine before its next load report; see shareOfFree.
	remainingSends int
	// reserved is set during a pass over a queue; see State.reserve.
	reserved      reservation
	failures      int
	avoidUntil    time.Time
	avoidDuration time.Duration
	// unanswered is set if the last attempt that says something about the upstream's health got no answer there; see answersOthers.
	unanswered bool
	// heardAt is when something of an answer was last received from the upstream.
	heardAt time.Time
	// silence is the upstream's present silence, and silentUntil the end of its last one.
	silence     silence
	silentUntil time.Time
	// foundDownAt is when this entry last found that the upstream is down; see foundDown.
	foundDownAt time.Time
	// leavingAt is when the upstream last reported that it is leaving; zero if it did not. An instance does not revoke that.
	leavingAt time.Time
	// notice is the upstream's latest statement about itself, and limitPacer enforces the rate limit in it.
	notice     catalog.Notice
	limitPacer pacer
	// coldUntil is the end of the time for which the upstream said that it is cold, and coldPacer enforces its cold rate until
	// then.
	coldUntil time.Time
	coldPacer pacer
	// backoff is the time for which the upstream asked this entry to send nothing.
	backoff backoff
	// brokenRequests are the requests whose attempts broke there recently, the oldest first.
	brokenRequests []brokenRequest
	speed          engineSpeed
}

func (s *State) loadState(instance catalog.Instance) *loadState {
	l := s.loadStates[instance]
	if l == nil {
		l = &loadState{}
		s.loadStates[instance] = l
	}
	return l
}

// recordOutcome updates the health of the upstream at the end of an attempt.
func (l *loadState) recordOutcome(now time.Time, o Outcome) {
	if o == Withdrawn || o == Unsent {
		return // The outcome says nothing about the upstream.
	}
	l.unanswered = o == Silent || o == NotSent || o == Unconnected
	switch o {
	case Answered:
		l.noteHeard(now)
		l.failures, l.avoidDuration = 0, 0
		return
	case Silent, Unconnected:
		if l.answersNow(now) && now.Sub(l.silentUntil) >= aliveWindow {
			// The upstream answers other requests: it is slow, and gets a pause that does not grow. An attempt may also have waited for the
			// end of a silence, which is no reason for a pause.
			l.avoidUntil = step.Later(l.avoidUntil, now.Add(avoidInitial))
		}
		l.noteStalled(now)
		return
	case NotSent, Misdirected:
		// Nothing listens there, another upstream has the address, or the network path is blocked. One such outcome counts like
		// failuresToAvoid consecutive failures. A misdirected attempt that required a version may also mean that this upstream holds
		// another version. It is not recorded at all; see release.
		l.silence = silence{}
		l.failures = failuresToAvoid
	default:
		if o != Broken {
			l.noteHeard(now)
		}
		l.failures++
	}
	if l.failures >= failuresToAvoid {
		l.avoidDuration = min(max(2*l.avoidDuration, avoidInitial), avoidMax)
		l.avoidUntil = now.Add(l.avoidDuration)
	}
}

// hasReport reports whether the last load report is still valid.
func (l *loadState) hasReport(now time.Time) bool { return now.Sub(l.reportedAt) < reportLifetime }

// notAccepting reports whether the engine's agent says that it does not accept requests now.
func (l *loadState) notAccepting(t time.Time) bool { return l.report.NotAccepting && l.hasReport(t) }

func (s *State) loadReported(in step.Input, ev LoadReported) []step.Effect {
	if ev.Entries > 0 {
		s.estimatedEntries = s.estimateEntries(ev)
		s.recentEntries.add(in.Now, countWindow, s.estimatedEntries)
		s.budgetShare.counted(in.Now, s.Self.Retries.Window, s.estimatedEntries)
	}
	s.Catalog.RecordStart(in.Now, ev.Address, ev.StartedAt)
	u := s.Catalog.UpstreamAt(ev.Address, ev.StartedAt)
	if u == nil || ev.StartedAt > 0 && ev.StartedAt < u.StartedAt {
		return nil // The report is about an earlier instance.
	}
	var effects []step.Effect
	if ev.StartedAt > u.StartedAt && u.StartedAt > 0 {
		effects = s.foundDown(in, u.Instance())
		s.Catalog.RecordRestart(in.Now, u.ID, ev.StartedAt)
		u = s.Catalog.Upstreams[u.ID]
	}
	if len(ev.Versions) == 0 {
		s.markUnloaded(in.Now, ev)
	}
	l := s.loadState(u.Instance())
	if lostWeights(l.report, ev) {
		effects = append(effects, s.foundDown(in, u.Instance())...)
	}
	l.report, l.reportedAt = ev, in.Now
	s.noteStart(in.Now, l, ev)
	l.nearEntries.add(in.Now, countWindow, ev.NearEntries)
	l.otherRequests = max(0, ev.RequestCount-l.inFlight)
	l.noteCold(in.Now, ev.ColdRemaining)
	v := s.view(u)
	l.remainingSends = s.sendsUntilNextReport(v, ev, in.Rand)
	s.setColdPacer(in.Now, v)
	if ev.Leaving {
		l.leavingAt = in.Now
	}
	if limit := ev.RateLimit; limit != nil && *limit >= 0 && !math.IsInf(*limit, 0) {
		// A report without a limit does not end one. Only an answer without a limit does; see noteRateLimit.
		l.limitPacer.setLimit(in.Now, *limit, s.limitShare(u.Instance()), in.Rand)
	}
	return append(effects, s.serveQueue(in, u.Service)...)
}

// markUnloaded records for each upstream registered at the report's address that has no report yet that the engine there holds no
// weights. While the engine starts, its agent can't say which of these upstreams it is.
func (s *State) markUnloaded(now time.Time, ev LoadReported) {
	for _, u := range s.Catalog.UpstreamsAt(ev.Address) {
		l := s.loadState(u.Instance())
		if l.reportedAt.IsZero() {
			l.report, l.reportedAt = ev, now
		}
	}
}

// countOverdue counts the requests that have waited longer for their first event than their latency objective, by upstream.
func (s *State) countOverdue(now time.Time) {
	for _, l := range s.overdue {
		l.overdue, l.quiet = 0, false
	}
	s.overdue = s.overdue[:0]
	for _, r := range s.requests {
		r.eachAttempt(func() {
			if r.awaitingFirstEvent && r.route.Objective > 0 && now.Sub(r.sentAt) > r.route.Objective {
				s.addOverdue(now, r)
			}
		})
	}
}

// addOverdue counts an overdue request at the upstream that it is with.
func (s *State) addOverdue(now time.Time, r *request) {
	l := s.loadState(r.instance)
	if l.overdue == 0 {
		l.quiet = l.seemsSilent(now, s.runTime(now, r))
	}
	l.overdue++
	s.overdue = append(s.overdue, l)
}

// stateLifetime is how long an upstream's statements about itself are kept after its registration is gone. A registration expires
// while its upstream can't reach the store, and the same instance registers again afterwards.
const stateLifetime = time.Minute

// keepsState reports whether the upstream made a statement that may still hold if its registration returns.
func (l *loadState) keepsState(now time.Time) bool {
	return now.Sub(l.limitPacer.limitAt) < stateLifetime || now.Sub(l.leavingAt) < stateLifetime || l.backoff.active(now)
}

// forgetInterval is the time between two scans of all upstreams for ones that are gone. Ticks are far more frequent.
const forgetInterval = time.Second

// forget drops the state of upstreams that are gone.
func (s *State) forget(now time.Time) {
	if now.Sub(s.forgotAt) < forgetInterval {
		return
	}
	s.forgotAt = now
	s.expireParts(now)
	s.forgetSpeeds(now)
	s.forgetOutlooks(now)
	maps.DeleteFunc(s.lastQueuedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= s.Self.Policy.ReserveFor })
	s.balance.heard.expire(now)
	for instance, l := range s.loadStates {
		u := s.Catalog.Upstreams[instance.ID]
		if (u == nil || u.StartedAt != instance.StartedAt) && l.inFlight == 0 && now.Sub(l.reportedAt) > reportLifetime && !l.keepsState(now) {
			delete(s.loadStates, instance)
		}
	}
}

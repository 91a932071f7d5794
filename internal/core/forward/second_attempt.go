package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// lateFactor and lateMargin define when a first attempt is late: beyond lateFactor times its prediction, and lateMargin beyond it.
	// A lost packet costs 0.2 s, so it alone is no reason.
	lateFactor = 3
	lateMargin = 300 * time.Millisecond
	// secondBudgetShare is the part of the allowed retries up to which second attempts may be sent. The rest is left for requests whose
	// attempt failed: without a retry, these are lost.
	secondBudgetShare = 0.5
	// maxLateShare is the part of a service's waiting requests that may be late. Beyond it all of its engines are slow, and second
	// attempts would only add load. minLate is the number of late requests that says nothing yet.
	maxLateShare = 0.25
	minLate      = 2
	// recheckInterval is the time between two searches for another engine for one late request, and maxSearches the number of searches
	// per tick. A search examines all engines, which takes 0.1 ms for 1,000.
	recheckInterval = 100 * time.Millisecond
	maxSearches     = 4
	// resendTime is the time that the withdrawal of the first attempt and the second sending may take at most.
	resendTime = 100 * time.Millisecond
)

// secondAttempt is the state of a request's second attempt. A request has at most one. The shell runs one attempt of a request at a time,
// so the first attempt is withdrawn before the second one is sent.
type secondAttempt struct {
	// checkedAt is when an engine was last searched for.
	checkedAt time.Time
	// withdrawing is set from the decision until the first attempt ends or sends its first event. target is the engine of the second
	// attempt. While withdrawing, a slot is reserved there, since a retry without capacity would end the request.
	withdrawing bool
	target      catalog.Instance
	// attempt is the number of the second attempt; 0 until it is sent.
	attempt int
	decided bool
}

// SecondAttemptStage is how far a second attempt has come.
type SecondAttemptStage string

// The stages of a second attempt.
const (
	// SecondSent: the first attempt was withdrawn and the request was sent to another engine.
	SecondSent SecondAttemptStage = "sent"
	// SecondWon: the second attempt sent its first event.
	SecondWon SecondAttemptStage = "won"
	// SecondLost: the second attempt ended without a first event, or the first attempt sent its own before it was withdrawn.
	SecondLost SecondAttemptStage = "lost"
)

// SecondAttempt reports to the shell on a second attempt.
type SecondAttempt struct {
	ID    uint64
	Stage SecondAttemptStage
	// First and Second are the engines of the two attempts. Waited is how long the first attempt had been with its engine, and Predicted
	// what was predicted for it when it was sent. They are set for SecondSent.
	First, Second     string
	Waited, Predicted time.Duration
	// SecondPredicted is the prediction for the second engine, and Age the time since the last observation of that engine; negative if
	// it was never observed and the prediction is its service's.
	SecondPredicted, Age time.Duration
}

// Effect marks the type as an effect.
func (SecondAttempt) Effect() {}

func (s *State) reportSecond(id uint64, stage SecondAttemptStage) {
	s.uneven.reports = append(s.uneven.reports, SecondAttempt{ID: id, Stage: stage})
}

// awaiting counts the requests of a service that wait for their first event, and those of them that are late.
type awaiting struct{ all, late int }

// withdrawLate withdraws attempts that are far beyond their prediction, if another engine is predicted to send the first event sooner
// than the present one is expected to; see worthSecond. The retry that follows is the second attempt.
func (s *State) withdrawLate(in step.Input) []step.Effect {
	if s.uneven == nil {
		return nil
	}
	processLate := s.ownWork.Max() > 0 // Attempts then seem late that are not.
	counts := map[string]awaiting{}
	var candidates []*request
	var effects []step.Effect
	for _, r := range s.requests {
		if !r.awaitingFirstEvent || !r.speed.observed {
			continue
		}
		c := counts[r.service]
		c.all++
		late := r.late(in.Now)
		if late || r.speed.second.attempt > 0 {
			c.late++ // Where the first of two attempts was late, the request still is.
		}
		if late {
			candidates = append(candidates, r)
		}
		counts[r.service] = c
	}
	slices.SortFunc(candidates, func(a, b *request) int { return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.id, b.id)) })
	searches := 0
	for _, r := range candidates {
		second := &r.speed.second
		if !second.withdrawing {
			c := counts[r.service]
			slowService := c.late > minLate && float64(c.late) > maxLateShare*float64(c.all)
			if processLate || slowService || searches >= maxSearches || in.Now.Sub(second.checkedAt) < recheckInterval || !s.maySendSecond(in, r) {
				continue
			}
			searches++
			second.checkedAt = in.Now
			if !s.reserveSecond(in, r) {
				continue
			}
		}
		effects = append(effects, Withdraw{ID: r.id, Attempt: r.number})
	}
	return effects
}

// late reports whether the present attempt is far beyond its prediction.
func (r *request) late(now time.Time) bool {
	waited, predicted := now.Sub(r.sentAt), r.speed.predicted
	return predicted > 0 && waited > lateFactor*predicted && waited-predicted >= lateMargin
}

// underManifest returns a request as the manifest in force has it, without changing it while its attempt is in progress. It reports false if
// that manifest does not allow it to be sent to its service again.
func (s *State) underManifest(in step.Input, r *request) (*request, bool) {
	if r.manifest == s.Catalog.Manifest {
		return r, true
	}
	current := *r
	_, forbidden := s.applyManifest(in, &current)
	return &current, !forbidden && current.service == r.service
}

// maySendSecond reports whether the request's kind, its limits and the retry budget allow a second attempt: the request must be allowed to
// run once more although the first attempt may have run. The manifest in force decides, as it does for the retry that follows.
func (s *State) maySendSecond(in step.Input, r *request) bool {
	r, allowed := s.underManifest(in, r)
	if !allowed || r.speed.second.decided || r.beside != nil || r.partial || !r.route.Repeatable() || r.possibleRuns+1 >= r.route.MaxUpstreams || r.attempts+1 > maxAttempts {
		return false
	}
	budget := s.budgetUsage(in, r.service)
	return float64(budget.Retries+s.uneven.withdrawing+1) <= secondBudgetShare*budget.Allowed
}

// reserveSecond looks for an engine for a second attempt and reserves a slot there.
func (s *State) reserveSecond(in step.Input, r *request) bool {
	current, _ := s.underManifest(in, r)
	u, found := s.pick(in, current)
	if found != available {
		return false
	}
	v := s.view(u)
	predicted, known := v.predict(in.Now, current)
	if !known || predicted >= s.remainingWait(in.Now, r) {
		return false
	}
	second := &r.speed.second
	second.decided, second.withdrawing, second.target = true, true, u.Instance()
	v.load.inFlight++
	s.uneven.withdrawing++
	age := -time.Nanosecond
	if m := v.load.speed.firstEvent; m != nil {
		age = m.Age(in.Now)
	}
	s.uneven.reports = append(s.uneven.reports, SecondAttempt{
		ID: r.id, Stage: SecondSent, First: r.instance.ID, Second: u.ID, Waited: in.Now.Sub(r.sentAt), Predicted: r.speed.predicted,
		SecondPredicted: predicted, Age: age,
	})
	return true
}

// remainingWait returns how much longer a late attempt is expected to wait for its first event: as long as it has waited already, since
// its prediction has failed and pauses that have lasted long last longer. It is at most the time until the attempt or the request would
// time out, less the time for sending it again.
func (s *State) remainingWait(now time.Time, r *request) time.Duration {
	left := now.Sub(r.sentAt)
	if r.speed.timeout > 0 {
		left = min(left, r.sentAt.Add(r.speed.timeout).Sub(now))
	}
	return min(left, r.deadline.Sub(now)-minAttemptTime) - resendTime
}

// freeReserved frees the slot that is reserved for a second attempt.
func (s *State) freeReserved(r *request) {
	if !r.speed.second.withdrawing {
		return
	}
	r.speed.second.withdrawing = false
	s.uneven.withdrawing--
	s.loadState(r.speed.second.target).inFlight--
}

// firstEventReceived handles the first event of an attempt. It is called before the attempt's prompt is cleared.
func (s *State) firstEventReceived(now time.Time, r *request) {
	if s.uneven == nil || r == nil || !r.awaitingFirstEvent {
		return
	}
	second := &r.speed.second
	switch {
	case second.withdrawing:
		s.freeReserved(r)
		second.target = catalog.Instance{} // A later retry chooses by itself.
		s.reportSecond(r.id, SecondLost)
	case second.attempt > 0 && second.attempt == r.number:
		s.reportSecond(r.id, SecondWon)
	}
	s.observe(now, r, now.Sub(r.sentAt))
}

// attemptReleased handles the end of an attempt. It is called before the resources of the attempt are released.
func (s *State) attemptReleased(now time.Time, r *request, o Outcome) {
	if s.uneven == nil {
		return
	}
	// A wait without an event is a lower bound of the time to it, unless the engine was silent on all requests.
	waited := now.Sub(r.sentAt)
	slow := o == Silent && s.loadState(r.instance).answersNow(now) || o == Withdrawn && r.speed.second.withdrawing
	if r.awaitingFirstEvent && waited > r.speed.predicted && slow {
		s.observe(now, r, waited)
	}
	if second := &r.speed.second; r.awaitingFirstEvent && second.attempt > 0 && second.attempt == r.number && o != Answered {
		s.reportSecond(r.id, SecondLost)
	}
	s.freeReserved(r)
}

// pickRetry chooses the upstream of a retry: the engine that a second attempt was decided for if it can still take the request, else as
// for any other request.
func (s *State) pickRetry(in step.Input, r *request) (*catalog.Upstream, availability) {
	target := r.speed.second.target
	if target == (catalog.Instance{}) {
		return s.pick(in, r)
	}
	r.speed.second.target = catalog.Instance{}
	r.speed.second.attempt = r.attempts + 1
	required := s.requiredVersion(in.Now, r.model)
	for _, v := range s.viewsFor(in.Now, r) {
		if v.Instance() == target && v.usable(in.Now, r, required) && v.hasCapacity(in.Now, r) {
			return v.Upstream, available
		}
	}
	return s.pick(in, r)
}

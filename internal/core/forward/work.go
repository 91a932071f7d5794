package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/schedule"
)

const (
	// defaultMeanAnswerTokens and defaultStepTime apply to engines for which the manifest says nothing. They are near the values of
	// the users' engines, whose requests take 0.5 to 1.3 s.
	defaultMeanAnswerTokens = 70
	defaultStepTime         = 10 * time.Millisecond
	// plainWork is the work of each request to a plain service, of whose requests nothing is known in advance. Accounts are then
	// compared by their numbers of requests.
	plainWork = 100 * time.Millisecond
)

// item returns a request as its queue orders it.
func (s *State) item(r *request) schedule.Item {
	return schedule.Item{
		ID: r.id, Account: accountName(r.account), Priority: r.priority, Work: s.work(r), Arrived: r.arrived,
		InTimeUntil: s.inTimeUntil(r), ExpiresAt: r.queueDeadline, Returning: r.returning,
	}
}

// work predicts for how long a request occupies an engine's slot, from the manifest. The caller's maximum for the answer is often many
// times the mean, so that it says little about the length; it counts only where it is below the mean.
func (s *State) work(r *request) time.Duration {
	e := s.engine(r.service)
	if e == nil {
		return plainWork
	}
	answer, stepTime := e.MeanAnswerTokens, e.StepTime
	if !(answer > 0) {
		answer = defaultMeanAnswerTokens
	}
	if stepTime <= 0 {
		stepTime = defaultStepTime
	}
	if limit := r.tokens - r.prompt; limit > 0 {
		answer = min(answer, float64(limit))
	}
	return promptTime(e, r.prompt) + time.Duration(answer*float64(stepTime))
}

// promptTime returns how long an engine takes for a prompt; e is nil for a plain service.
func promptTime(e *catalog.Engine, tokens int) time.Duration {
	rate := defaultPrefillRate
	if e != nil && e.PromptTokensPerSecond > 0 {
		rate = e.PromptTokensPerSecond
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// inTimeUntil returns the latest time at which a request can be sent and still meet its objective. An engine takes StartShare of the
// objective for the start of an answer, or as long as the prompt takes if that is longer. A caller that returned is late in any case.
func (s *State) inTimeUntil(r *request) time.Time {
	switch {
	case r.returning:
		return time.Time{}
	case r.route.Objective <= 0:
		return r.deadline
	}
	start := time.Duration(s.Self.Policy.StartShare * float64(r.route.Objective))
	if e := s.engine(r.service); e != nil {
		start = max(start, promptTime(e, r.prompt))
	}
	return r.arrived.Add(r.route.Objective - start)
}

// engine returns what the manifest declares for the engines of a service; nil for a plain service.
func (s *State) engine(service string) *catalog.Engine {
	if declared := s.Catalog.Manifest.Services[service]; declared != nil {
		return declared.Engine
	}
	return nil
}

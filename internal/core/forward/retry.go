package forward

import (
	"samphireweir.example/samphireweir/internal/core/step"
)

// RetryCause is why a request is sent to an upstream once more: the outcome of the attempt before, or Hedge.
type RetryCause string

// Hedge is the cause of an attempt beside an earlier one whose upstream is silent.
const Hedge RetryCause = "hedge"

// Retry describes an attempt after the first one. The zero value is a first attempt.
type Retry struct {
	Cause RetryCause
	// Counted is set if the retry budget counted the attempt: something of an earlier one may have reached an upstream.
	Counted bool
	// Budget is the state of the retry budget after the attempt was counted.
	Budget BudgetUsage
}

// BudgetUsage is the state of this entry's share of a service's retry budget.
type BudgetUsage struct {
	// Retries is the number of retries that this entry sent within the budget's window, and Allowed the number that it may send.
	Retries int
	Allowed float64
	// Entries is the number of entries that share the budget, 0 if it is unknown.
	Entries int
}

// RetryDenied reports to the shell that the retry budget did not allow a retry.
type RetryDenied struct {
	ID      uint64
	Service string
	// Cause is why the request would have been sent again.
	Cause  RetryCause
	Budget BudgetUsage
}

// Effect marks the type as an effect.
func (RetryDenied) Effect() {}

// decideRetry records why a request is sent again. The retry budget counts it if something of an earlier attempt may have reached an upstream:
// as waiting until it is sent, and from then on for a window.
func (s *State) decideRetry(r *request, cause RetryCause, counted bool) {
	r.retry = Retry{Cause: cause, Counted: counted}
	if counted {
		r.reservedRetry = s.retryBudget(r.service)
		r.reservedRetry.waiting++
	}
}

// retrySent counts the retry that is sent now, if the attempt is one, and returns its description.
func (s *State) retrySent(in step.Input, r *request) Retry {
	retry := r.retry
	r.retry = Retry{}
	if retry.Cause == "" {
		return retry
	}
	if r.releaseRetry() {
		s.retryBudget(r.service).addRetry(in.Now)
	}
	retry.Budget = s.budgetUsage(in, r.service)
	return retry
}

// releaseRetry ends the wait of a counted retry. It reports whether there was one.
func (r *request) releaseRetry() bool {
	if r.reservedRetry == nil {
		return false
	}
	r.reservedRetry.waiting--
	r.reservedRetry = nil
	return true
}

// budgetAllows reports whether the retry budget allows one more retry of a service.
func (s *State) budgetAllows(in step.Input, service string) bool {
	u := s.budgetUsage(in, service)
	return float64(u.Retries+1) <= u.Allowed
}

// budgetUsage returns the state of this entry's share of a service's retry budget.
func (s *State) budgetUsage(in step.Input, service string) BudgetUsage {
	retries, allowed := s.retryBudget(service).usage(in.Now, s.Self.Retries, s.budgetShare.base(in.Now, s.Self.Retries))
	return BudgetUsage{Retries: retries, Allowed: allowed, Entries: s.budgetShare.entries.value()}
}

// denied returns the report that the retry budget did not allow a retry, if that is why there is none.
func (s *State) denied(in step.Input, r *request, o Outcome) []step.Effect {
	if !s.mayBeSentAgain(in, r) || !o.sent() || s.budgetAllows(in, r.service) {
		return nil
	}
	return []step.Effect{RetryDenied{ID: r.id, Service: r.service, Cause: RetryCause(o), Budget: s.budgetUsage(in, r.service)}}
}

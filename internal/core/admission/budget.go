package admission

const (
	// RetriesPerSuccess is the number of retries that one successful request adds to the budget.
	RetriesPerSuccess = 0.1
	// RetryBurst is the maximum number of retries in the budget. A new service starts with a full budget.
	RetryBurst = 10
)

// Budget limits the retries of one service in proportion to its successful requests. Without it, a failing service
// would receive a multiple of its callers' load. The caller of Take must not call it for a retry after an attempt that
// certainly did not run, because such a retry is free.
type Budget struct{ spent float64 }

// Succeeded adds RetriesPerSuccess to the budget for one successful request.
func (b *Budget) Succeeded() { b.spent = max(0, b.spent-RetriesPerSuccess) }

// Allows reports whether the budget has a retry left.
func (b *Budget) Allows() bool { return b.spent+1 <= RetryBurst }

// Take takes one retry from the budget and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if !b.Allows() {
		return false
	}
	b.spent++
	return true
}

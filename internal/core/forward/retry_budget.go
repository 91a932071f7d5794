package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	// bucketDuration is the time that one bucket of a retry budget covers; the window of the budget is divided into buckets.
	bucketDuration = time.Second
	// ratioShare is the part of the retries allowed for requests that entries use, and baseShare that of the base. The margins cover
	// retries that were decided over a longer time and arrive together.
	ratioShare = 0.7
	baseShare  = 0.7
	// startBaseShare is the part of the base that an entry may use within its first window. What the process before it has used is
	// unknown, so that both together may use baseShare + startBaseShare within one window.
	startBaseShare = 0.25
	// defaultEntries is the assumed number of entries that share the budget until an agent has reported a count. It bounds this
	// entry to at most an eighth of the budget's base and of an upstream's rate limit.
	defaultEntries = 8
)

// retryBudget counts the requests for a service and this entry's retries of them within the window.
type retryBudget struct {
	buckets []bucket
}

type bucket struct {
	start    time.Time
	requests int
	retries  int
}

func (s *State) retryBudget(service string) *retryBudget {
	b := s.retryBudgets[service]
	if b == nil {
		b = &retryBudget{}
		s.retryBudgets[service] = b
	}
	return b
}

func (b *retryBudget) current(now time.Time) *bucket {
	if n := len(b.buckets); n > 0 && now.Sub(b.buckets[n-1].start) < bucketDuration {
		return &b.buckets[n-1]
	}
	b.buckets = append(b.buckets, bucket{start: now})
	return &b.buckets[len(b.buckets)-1]
}

func (b *retryBudget) addRequest(now time.Time) { b.current(now).requests++ }

func (b *retryBudget) addRetry(now time.Time) { b.current(now).retries++ }

// usage returns this entry's retries within the window, and how many of them its share of the budget allows. base is its share of the
// budget's base; see State.baseOfBudget.
func (b *retryBudget) usage(now time.Time, r hostconfig.RetryBudget, base float64) (retries int, allowed float64) {
	requests, retries := b.sums(now, r.Window+bucketDuration)
	return retries, ratioShare*r.Ratio*float64(requests) + base
}

// baseOfBudget returns how many retries this entry may send within a window beyond those that its requests allow. An entry that has just
// started gets them little by little: the process before it may have used its whole share a moment ago, and nothing lasts on the host that
// would tell. However often entries restart, all processes together thus stay within the base.
func (s *State) baseOfBudget(now time.Time) float64 {
	entries := s.recentEntries.value()
	if entries <= 0 {
		entries = defaultEntries
	}
	share := baseShare
	if age := now.Sub(s.startedAt); age < s.Self.Retries.Window {
		share = startBaseShare * float64(age) / float64(s.Self.Retries.Window)
	}
	return share * s.Self.Retries.Base / float64(entries)
}

func (b *retryBudget) sums(now time.Time, window time.Duration) (requests, retries int) {
	oldest := 0
	for oldest < len(b.buckets) && now.Sub(b.buckets[oldest].start) > window {
		oldest++
	}
	b.buckets = b.buckets[oldest:]
	for _, counts := range b.buckets {
		requests += counts.requests
		retries += counts.retries
	}
	return requests, retries
}

package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	// bucketDuration is the time that one bucket of a retry budget covers; the window of the budget is divided into buckets.
	bucketDuration = time.Second
	// ratioShare is the part of the retries allowed for requests that the entries use. The rest covers retries that were decided over a
	// longer time and arrive together.
	ratioShare = 0.7
)

// retryBudget counts the requests for a service and this entry's retries of them within the window.
type retryBudget struct {
	buckets []bucket
	// waiting is the number of retries that were decided and are not sent yet.
	waiting int
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

// usage returns this entry's retries within the window and those that wait, and how many of them its share of the budget allows. base is its share of the
// budget's base.
func (b *retryBudget) usage(now time.Time, r hostconfig.RetryBudget, base float64) (retries int, allowed float64) {
	requests, retries := b.sums(now, r.Window+bucketDuration)
	return retries + b.waiting, ratioShare*r.Ratio*float64(requests) + base
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

package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	// bucketTime is the length of one count of a budget; the limit's window is cut into these.
	bucketTime = time.Second
	// budgetShare is the part of the allowed repeats that entries use, so that counts that differ by a bucket at the window's
	// edges stay within it.
	budgetShare = 0.7
	// assumedEntries is how many entries share the budget as long as no agent has counted them.
	assumedEntries = 8
)

// budget counts the requests for a service and the repeats of them that this entry sent, in the last window.
type budget struct {
	buckets []bucket
}

type bucket struct {
	start    time.Time
	requests int
	repeats  int
}

func (s *State) budget(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{}
		s.budgets[service] = b
	}
	return b
}

func (b *budget) current(now time.Time) *bucket {
	if n := len(b.buckets); n > 0 && now.Sub(b.buckets[n-1].start) < bucketTime {
		return &b.buckets[n-1]
	}
	b.buckets = append(b.buckets, bucket{start: now})
	return &b.buckets[len(b.buckets)-1]
}

func (b *budget) request(now time.Time) { b.current(now).requests++ }

func (b *budget) repeat(now time.Time) { b.current(now).repeats++ }

// allows tells whether one more repeat is within this entry's share.
func (b *budget) allows(now time.Time, r hostconfig.Retries, entries int) bool {
	if entries <= 0 {
		entries = assumedEntries
	}
	requests, repeats := b.sums(now, r.Window+bucketTime)
	allowed := budgetShare * (r.Ratio*float64(requests) + r.Extra/float64(entries))
	return float64(repeats+1) <= allowed
}

func (b *budget) sums(now time.Time, window time.Duration) (requests, repeats int) {
	first := 0
	for first < len(b.buckets) && now.Sub(b.buckets[first].start) > window {
		first++
	}
	b.buckets = b.buckets[first:]
	for _, k := range b.buckets {
		requests += k.requests
		repeats += k.repeats
	}
	return requests, repeats
}

package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// patience is how long the upstream of a send may say nothing before its first event or answer, and between two events; 0 stands for as long
// as the request has. While another upstream may be asked it is what leaves that one enough time. The last one has until the caller would
// leave: an answer that comes later reaches nobody, and without a bound callers of a data centre whose engines stood still left after 2.4 s
// without a word.
func (r *request) patience(now time.Time) (first, gap time.Duration) {
	if r.route.Repeatable() && r.runs+1 < r.route.MaxUpstreams {
		first, gap = usualPatience(r.route), gapPatience
	}
	if r.route.CallerPatience <= 0 {
		return first, gap
	}
	waits := r.route.CallerPatience - answerMargin
	left := max(leastTime, r.heardAt.Add(waits).Sub(now))
	return shorter(first, left), shorter(gap, waits)
}

func usualPatience(route *catalog.Route) time.Duration {
	if route.Kind == catalog.Streaming {
		return firstEventPatience
	}
	return plainPatience * route.Objective
}

// shorter returns the shorter of a bound, of which 0 stands for none, and a time.
func shorter(bound, d time.Duration) time.Duration {
	if bound == 0 {
		return d
	}
	return min(bound, d)
}

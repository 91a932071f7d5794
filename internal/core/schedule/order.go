package schedule

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// The classes of the requests of one priority, in their order.
const (
	// floorDue: the floor of the account demands that the request is served next.
	floorDue = iota
	// canBeInTime: the request can still be in time.
	canBeInTime
	// late: the request can't be in time.
	late
)

// scratch are reused lists.
type scratch struct {
	byPriority [Priorities][]*entry
	byDeadline []*entry
	ordered    []*entry
}

// order returns the waiting requests, with extra in place of the one with its ID if extra is not nil. The list is valid until the next
// call.
func (q *Queue) order(now time.Time, extra *entry) []*entry {
	lists := &q.scratch.byPriority
	for p := range lists {
		lists[p] = lists[p][:0]
	}
	for id, e := range q.items {
		if extra == nil || extra.ID != id {
			lists[e.priority] = append(lists[e.priority], e)
		}
	}
	if extra != nil {
		lists[extra.priority] = append(lists[extra.priority], extra)
	}
	moreUrgent := 0.0
	for _, list := range lists {
		q.orderPriority(now, list, moreUrgent)
		for _, e := range list {
			moreUrgent += e.work
		}
	}
	return q.mergePriorities()
}

// mergePriorities returns the requests of all priorities, the most urgent first, except where the floor of a lower priority is due.
// Credits are carried on as if each request were served in its turn.
func (q *Queue) mergePriorities() []*entry {
	next, merged := q.scratch.byPriority, q.scratch.ordered[:0]
	waits := func(p int) bool { return len(next[p]) > 0 }
	carried := q.credits
	for {
		chosen := Priorities
		for p := range Priorities {
			if len(next[p]) == 0 {
				continue
			}
			if chosen == Priorities {
				chosen = p // The most urgent one, unless the floor of a lower one is due.
			} else if carried.due(p, next[p][0].work) {
				chosen = p
				break
			}
		}
		if chosen == Priorities {
			q.scratch.ordered = merged
			return merged
		}
		e := next[chosen][0]
		next[chosen] = next[chosen][1:]
		carried.charge(chosen, e.work, waits)
		merged = append(merged, e)
	}
}

// orderPriority sorts the requests of one priority. moreUrgent is the work of the more urgent ones.
//
// The requests of an account are put in order first. Each gets the service per weight that its account will have received at its turn,
// as in weighted fair queueing, by which the accounts are then merged.
func (q *Queue) orderPriority(now time.Time, list []*entry, moreUrgent float64) {
	if len(list) == 0 {
		return
	}
	at, deadlineFirst := now.UnixNano(), q.allInTime(now, list, moreUrgent)
	slices.SortFunc(list, func(a, b *entry) int {
		if a.account != b.account {
			return cmp.Compare(a.account.seq, b.account.seq)
		}
		return compareWithinAccount(at, a, b, deadlineFirst)
	})
	for from, to := 0, 0; from < len(list); from = to {
		for to = from; to < len(list) && list[to].account == list[from].account; to++ {
		}
		limitOvertaking(list[from:to])
		rankAccount(now, list[from:to])
	}
	slices.SortFunc(list, func(a, b *entry) int {
		switch {
		case a.class != b.class:
			return a.class - b.class
		case a.start != b.start:
			return cmp.Compare(a.start, b.start)
		case a.inTimeUntil != b.inTimeUntil:
			return cmp.Compare(a.inTimeUntil, b.inTimeUntil)
		}
		return cmp.Compare(a.seq, b.seq)
	})
}

// compareWithinAccount orders two requests of one account and priority. While not all requests of the priority can be in time, the
// newest is first: then more of them are in time than with the oldest first.
func compareWithinAccount(now int64, a, b *entry, deadlineFirst bool) int {
	if inTime := a.inTime(now); inTime != b.inTime(now) {
		if inTime {
			return -1
		}
		return 1
	}
	if deadlineFirst && a.inTimeUntil != b.inTimeUntil {
		return cmp.Compare(a.inTimeUntil, b.inTimeUntil)
	}
	if !deadlineFirst && a.arrived != b.arrived {
		return cmp.Compare(b.arrived, a.arrived)
	}
	return cmp.Compare(a.seq, b.seq)
}

// allInTime reports whether all requests of a priority can be in time at the rate at which work was recently served, if those with
// the least time left come first.
func (q *Queue) allInTime(now time.Time, list []*entry, moreUrgent float64) bool {
	rate, at := q.rate(now), now.UnixNano()
	for _, e := range list {
		if !e.inTime(at) {
			return false
		}
	}
	byDeadline := append(q.scratch.byDeadline[:0], list...)
	q.scratch.byDeadline = byDeadline
	slices.SortFunc(byDeadline, func(a, b *entry) int { return cmp.Compare(a.inTimeUntil, b.inTimeUntil) })
	before := moreUrgent
	for _, e := range byDeadline {
		if before > rate*float64(e.inTimeUntil-at)/1e9 {
			return false
		}
		before += e.work
	}
	return rate > 0
}

// rankAccount sets the class and the service at its turn of each request of an account, which are in their order.
func rankAccount(now time.Time, list []*entry) {
	acct, at, lowest := list[0].account, now.UnixNano(), late
	for i := len(list) - 1; i >= 0; i-- { // A late request that is not to be overtaken takes the class of the later ones.
		if list[i].inTime(at) {
			lowest = canBeInTime
		}
		list[i].class = lowest
	}
	service, credit := acct.served.get(now, serviceHalfLife), acct.credit
	for _, e := range list {
		e.start = service / e.weight
		service += e.work
		if credit > 0 && covers(credit, e.work) {
			e.class = floorDue
		}
		credit -= e.work
	}
}

// limitOvertaking reorders the requests of an account so that none comes before one that arrived overtakeLimit earlier, and else keeps
// their order. Requests of returning callers are overtaken without limit: they are late in any case.
func limitOvertaking(list []*entry) {
	oldest, newest := int64(math.MaxInt64), int64(math.MinInt64)
	for _, e := range list {
		if !e.Returning {
			oldest = min(oldest, e.arrived)
		}
		newest = max(newest, e.arrived)
	}
	if oldest == math.MaxInt64 || newest-oldest < int64(overtakeLimit) {
		return
	}
	byArrival := make([]int, len(list)) // Indexes of list.
	for i := range list {
		byArrival[i] = i
	}
	slices.SortStableFunc(byArrival, func(a, b int) int { return cmp.Compare(list[a].arrived, list[b].arrived) })
	taken := make([]bool, len(list))
	ordered := make([]*entry, 0, len(list))
	mayCome := &indexHeap{}
	added, first := 0, 0
	for len(ordered) < len(list) {
		for first < len(list) && (taken[byArrival[first]] || list[byArrival[first]].Returning) {
			first++
		}
		for added < len(list) && (first == len(list) || list[byArrival[added]].arrived < list[byArrival[first]].arrived+int64(overtakeLimit)) {
			heap.Push(mayCome, byArrival[added])
			added++
		}
		i := heap.Pop(mayCome).(int)
		taken[i] = true
		ordered = append(ordered, list[i])
	}
	copy(list, ordered)
}

// indexHeap is a heap of indexes, the lowest first.
type indexHeap []int

// Len returns the number of indexes, for package heap.
func (h indexHeap) Len() int { return len(h) }

// Less compares two indexes, for package heap.
func (h indexHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap exchanges two indexes, for package heap.
func (h indexHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an index, for package heap.
func (h *indexHeap) Push(x any) { *h = append(*h, x.(int)) }

// Pop removes the last index, for package heap.
func (h *indexHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Package schedule orders the requests of one service that wait for capacity at one entry. It is pure: see package step.
//
// The order is by priority, then requests that can still be in time, then the accounts that have received the least service for their
// weight, then the time that is left. Floors bound how little a priority, an account or a long request gets; see floors.go.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// Priorities is the number of priorities. 0 is the most urgent.
const Priorities = catalog.MaxPriority + 1

// Item is a waiting request.
type Item struct {
	ID      uint64
	Account string
	// Weight is the relative share of the account; values of 0 and below count as 1.
	Weight float64
	// Priority is 0 to 9, and 0 is the most urgent. Values outside are taken as the nearest one inside.
	Priority int
	// Work is the predicted engine work.
	Work time.Duration
	// Arrived is when the request arrived.
	Arrived time.Time
	// InTimeUntil is the latest send time at which the objective can still be met.
	InTimeUntil time.Time
	// ExpiresAt is the end of its wait. The queue does not remove the request then; its owner does.
	ExpiresAt time.Time
	// Returning is set if the caller was refused before.
	Returning bool
}

// entry is an item in the queue, with the values that orders are made from.
type entry struct {
	Item
	// seq numbers the items in the order in which they were added. It decides between items that are equal in everything else.
	seq uint64
	// priority and weight are those of the item, brought into their ranges, and work its work in seconds.
	priority     int
	weight, work float64
	// arrived and inTimeUntil are the item's times in nanoseconds, since these are faster to compare.
	arrived, inTimeUntil int64
	account              *account
	// class and start are set by orderPriority.
	class int
	start float64
}

// minWork is the least work of a request, in seconds. Without it, requests without work would not count at all.
const minWork = 0.001

func newEntry(it Item, seq uint64) *entry {
	e := &entry{
		Item: it, seq: seq, priority: catalog.ClampPriority(it.Priority), weight: 1, work: max(minWork, it.Work.Seconds()),
		arrived: nanos(it.Arrived), inTimeUntil: nanos(it.InTimeUntil),
	}
	if it.Weight > 0 {
		e.weight = it.Weight
	}
	return e
}

// nanos returns a time in nanoseconds; the zero time, which is out of their range, is before all others.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return math.MinInt64
	}
	return t.UnixNano()
}

func (e *entry) inTime(now int64) bool { return now <= e.inTimeUntil }

// Queue holds the waiting requests of one service at one entry, and the service that accounts and priorities have received.
type Queue struct {
	items map[uint64]*entry
	// waiting counts the items by priority.
	waiting [Priorities]int
	nextSeq uint64
	// accounts are the accounts by priority.
	accounts [Priorities]accounts
	// credits are the floor credits of the priorities.
	credits credits
	// served is the work that was recently served in all; see rate.
	served decaying
	// scratch are lists that orders are built in, kept to save allocations.
	scratch scratch
}

// NewQueue returns a queue without requests.
func NewQueue() *Queue { return &Queue{items: map[uint64]*entry{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of waiting requests by priority.
func (q *Queue) Waiting() [Priorities]int { return q.waiting }

// Add lets a request wait. A request that waits already gets the new values and keeps its place among equal ones.
func (q *Queue) Add(it Item) {
	seq := q.nextSeq
	if old := q.items[it.ID]; old != nil {
		if seq = old.seq; old.Item == it {
			return
		}
		q.Remove(it.ID)
	} else {
		q.nextSeq++
	}
	e := newEntry(it, seq)
	q.items[e.ID] = e
	q.waiting[e.priority]++
	e.account = q.accounts[e.priority].get(e.Account)
	e.account.weight = e.weight
	e.account.waiting++
}

// Remove removes a request; one that does not wait is ignored.
func (q *Queue) Remove(id uint64) {
	e := q.items[id]
	if e == nil {
		return
	}
	delete(q.items, id)
	q.waiting[e.priority]--
	e.account.waiting--
}

// MustYield reports whether a more urgent request waits than the given one, which need not wait itself, and the floor of its priority
// does not demand that it is served now.
func (q *Queue) MustYield(it Item) bool {
	e := newEntry(it, 0)
	for p := range e.priority {
		if q.waiting[p] > 0 {
			return !q.credits.due(e.priority, e.work)
		}
	}
	return false
}

// Served charges the work of a request that is sent to its account and its priority. It makes no difference whether the request has
// been removed from the queue before.
func (q *Queue) Served(now time.Time, it Item) {
	e := newEntry(it, 0)
	q.served.add(now, rateHalfLife, e.work)
	q.credits.charge(e.priority, e.work, func(p int) bool { return q.waiting[p] > 0 })
	q.accounts[e.priority].charge(now, e)
}

// Ahead returns the work of the waiting requests that would be served before the given one, which need not wait itself. It takes the
// order as it is now; requests that arrive later may come before it too.
func (q *Queue) Ahead(now time.Time, it Item) time.Duration {
	extra := newEntry(it, q.nextSeq)
	if old := q.items[it.ID]; old != nil {
		extra.seq = old.seq
	}
	if extra.account = q.accounts[extra.priority].byName[it.Account]; extra.account == nil {
		extra.account = &account{seq: math.MaxUint64}
	}
	ahead := 0.0
	for _, e := range q.order(now, extra) {
		if e.ID == it.ID {
			break
		}
		ahead += e.work
	}
	return time.Duration(ahead * float64(time.Second))
}

// Ordered returns the waiting requests in the order in which capacity is to be given. It depends on nothing but the calls before.
func (q *Queue) Ordered(now time.Time) []Item {
	return items(q.order(now, nil))
}

// InOrderOfArrival returns the waiting requests in the order in which they were added, whatever their priorities and accounts.
func (q *Queue) InOrderOfArrival() []Item {
	list := q.scratch.ordered[:0]
	for _, e := range q.items {
		list = append(list, e)
	}
	q.scratch.ordered = list
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return items(list)
}

func items(list []*entry) []Item {
	made := make([]Item, len(list))
	for i, e := range list {
		made[i] = e.Item
	}
	return made
}

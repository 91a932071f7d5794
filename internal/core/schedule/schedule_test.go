package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/schedule"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const waitLimit = 300 * time.Millisecond

// stream is a source of equal requests at a constant rate.
type stream struct {
	item      schedule.Item
	perSecond float64
	until     time.Duration // 0: to the end
}

// load runs streams against an engine that works on one request after the other, and returns the work served by key in each second.
// Requests that waited for waitLimit are refused.
func load(seconds int, key func(schedule.Item) string, streams ...stream) []map[string]float64 {
	const tick = 10 * time.Millisecond
	q, served, busy := schedule.NewQueue(), make([]map[string]float64, seconds), time.Duration(0)
	due, id := make([]float64, len(streams)), uint64(0)
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += tick {
		at := begin.Add(now)
		for i, s := range streams {
			if s.until > 0 && now >= s.until {
				continue
			}
			for due[i] += s.perSecond * tick.Seconds(); due[i] >= 1; due[i]-- {
				id++
				it := s.item
				it.ID, it.Arrived, it.InTimeUntil, it.ExpiresAt = id, at, at.Add(waitLimit-it.Work), at.Add(waitLimit)
				q.Add(it)
			}
		}
		second := int(now / time.Second)
		if served[second] == nil {
			served[second] = map[string]float64{}
		}
		for _, it := range q.Ordered(at) {
			if !at.Before(it.ExpiresAt) {
				q.Remove(it.ID)
			} else if busy <= now {
				q.Remove(it.ID)
				q.Served(at, it)
				busy = max(busy, now) + it.Work
				served[second][key(it)] += it.Work.Seconds()
			}
		}
	}
	return served
}

// least returns the smallest sum for a key over any window of so many seconds from a second on.
func least(served []map[string]float64, key string, from, window int) float64 {
	lowest := 1e9
	for i := from; i+window <= len(served); i++ {
		sum := 0.0
		for _, second := range served[i : i+window] {
			sum += second[key]
		}
		lowest = min(lowest, sum)
	}
	return lowest
}

func byAccount(it schedule.Item) string  { return it.Account }
func byPriority(it schedule.Item) string { return fmt.Sprint(it.Priority) }

// TestFloodLeavesSmallAccountsTheirShare: one account asks for ten times the capacity beside four that ask for a tenth of it each. Guards
// against an order by arrival, in which the flood takes nearly all.
func TestFloodLeavesSmallAccountsTheirShare(t *testing.T) {
	streams := []stream{{item: schedule.Item{Account: "flood", Work: 20 * time.Millisecond}, perSecond: 500}}
	for i := range 4 {
		streams = append(streams, stream{item: schedule.Item{Account: fmt.Sprint(i), Work: 20 * time.Millisecond}, perSecond: 5})
	}
	served := load(20, byAccount, streams...)
	for i := range 4 {
		require.GreaterOrEqual(t, least(served, fmt.Sprint(i), 0, 5), 0.45, "all of the 0.5 s of work that it asks for in 5 s, but for one request at each end")
	}
	require.GreaterOrEqual(t, least(served, "flood", 0, 5), 2.8, "what the others leave")
}

// TestServiceIsSharedByWeight: two accounts that both ask for more than the capacity. Guards against weights that count for nothing.
func TestServiceIsSharedByWeight(t *testing.T) {
	served := load(30, byAccount,
		stream{item: schedule.Item{Account: "three", Weight: 3, Work: 20 * time.Millisecond}, perSecond: 200},
		stream{item: schedule.Item{Account: "one", Weight: 1, Work: 20 * time.Millisecond}, perSecond: 200})
	require.InDelta(t, 7.5, least(served, "three", 10, 10), 0.5)
	require.InDelta(t, 2.5, least(served, "one", 10, 10), 0.5)
}

// TestBusyAccountKeepsHalfItsShare: an account that was served alone for 30 s, and then a second one that asks for more than the
// capacity. Guards against starving the first one until the second one has received as much.
func TestBusyAccountKeepsHalfItsShare(t *testing.T) {
	q := schedule.NewQueue()
	for range 1500 {
		q.Served(begin, schedule.Item{Account: "first", Work: 20 * time.Millisecond})
	}
	first := 0
	for i := range uint64(250) { // 5 s of work.
		q.Add(schedule.Item{ID: 2 * i, Account: "first", Work: 20 * time.Millisecond})
		q.Add(schedule.Item{ID: 2*i + 1, Account: "second", Work: 20 * time.Millisecond})
		now := begin.Add(time.Duration(i) * 20 * time.Millisecond)
		next := q.Ordered(now)[0]
		q.Remove(next.ID)
		q.Served(now, next)
		if next.Account == "first" {
			first++
		}
	}
	require.GreaterOrEqual(t, first, 250/4-2, "half of its half")
}

// TestEveryPriorityKeepsItsFloor: a service that is full for two minutes with requests of each priority, each asking for more than the
// capacity. Guards against starving the less urgent ones, and against floors that take more than they may.
func TestEveryPriorityKeepsItsFloor(t *testing.T) {
	var streams []stream
	for p := range schedule.Priorities {
		streams = append(streams, stream{item: schedule.Item{Priority: p, Work: time.Duration(30+10*p) * time.Millisecond}, perSecond: 40})
	}
	served := load(120, byPriority, streams...)
	for p := 1; p < schedule.Priorities; p++ {
		require.GreaterOrEqual(t, least(served, fmt.Sprint(p), 0, 10), 0.05*10-0.03-0.01*float64(p), "priority %d, but for one request", p)
	}
	require.GreaterOrEqual(t, least(served, "0", 0, 10), 4.8, "the most urgent has what the floors leave")
}

// TestBurstOfLeastUrgentLeavesMostUrgentInTime: a burst of 6 s of ten times the capacity at priority 9 beside priority 0 at 0.8 of it.
// Guards against urgent requests that wait behind a burst.
func TestBurstOfLeastUrgentLeavesMostUrgentInTime(t *testing.T) {
	served := load(8, byPriority,
		stream{item: schedule.Item{Priority: 0, Work: 20 * time.Millisecond}, perSecond: 40},
		stream{item: schedule.Item{Priority: 9, Work: 20 * time.Millisecond}, perSecond: 500, until: 6 * time.Second})
	require.GreaterOrEqual(t, least(served, "0", 0, 1), 0.76, "all but one or two of its requests each second, which fall into the next one")
}

// TestLongRequestIsNotOvertakenFor1s: a long request among short ones of its account that arrive all the time, and can be in time when
// it no longer can. Guards against starving it.
func TestLongRequestIsNotOvertakenFor1s(t *testing.T) {
	q := schedule.NewQueue()
	q.Add(schedule.Item{ID: 1, Work: 2 * time.Second, Arrived: begin, InTimeUntil: begin})
	for i := range 15 {
		at := begin.Add(time.Duration(i+1) * 100 * time.Millisecond)
		q.Add(schedule.Item{ID: uint64(i + 2), Work: 10 * time.Millisecond, Arrived: at, InTimeUntil: at.Add(time.Second)})
	}
	require.Equal(t, []uint64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 16, 15, 14, 13, 12, 11}, ids(q.Ordered(begin.Add(1600*time.Millisecond))))
}

func ids(items []schedule.Item) (list []uint64) {
	for _, it := range items {
		list = append(list, it.ID)
	}
	return list
}

// TestNewestFirstOnlyWhileNotAllCanBeInTime guards against serving those first that are late in any case, and against letting requests
// become late without need.
func TestNewestFirstOnlyWhileNotAllCanBeInTime(t *testing.T) {
	for rate, want := range map[float64][]uint64{0.5: {3, 2, 1}, 10: {1, 2, 3}} {
		q := schedule.NewQueue()
		for id := uint64(1); id <= 3; id++ {
			at := begin.Add(time.Duration(id) * time.Millisecond)
			q.Add(schedule.Item{ID: id, Work: 200 * time.Millisecond, Arrived: at, InTimeUntil: at.Add(waitLimit)})
		}
		q.Served(begin, schedule.Item{Work: time.Duration(rate * float64(time.Second))})
		require.Equal(t, want, ids(q.Ordered(begin.Add(5*time.Millisecond))), "rate %v", rate)
	}
}

// TestOrderIsWholeAndAheadAgrees guards against requests that are lost or doubled in the order, and against predictions of another
// order than the one in which capacity is given.
func TestOrderIsWholeAndAheadAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, waiting, now := schedule.NewQueue(), map[uint64]schedule.Item{}, begin
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			it := schedule.Item{
				ID: uint64(rapid.IntRange(1, 30).Draw(t, "id")), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Work: time.Duration(rapid.IntRange(0, 8000).Draw(t, "work")) * time.Millisecond,
				Arrived: now, InTimeUntil: now.Add(waitLimit), Returning: rapid.Bool().Draw(t, "returning"),
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				q.Remove(it.ID)
				delete(waiting, it.ID)
			case 1:
				q.Served(now, it)
			default:
				q.Add(it)
				waiting[it.ID] = it
			}
		}
		ordered := q.Ordered(now)
		require.Equal(t, ids(ordered), ids(q.Ordered(now)))
		require.Len(t, ordered, len(waiting))
		require.Equal(t, q.Len(), len(waiting))
		seen := ids(ordered)
		slices.Sort(seen)
		require.Len(t, slices.Compact(seen), len(waiting))
		sum := 0.0
		for _, it := range ordered {
			require.Equal(t, waiting[it.ID], it)
			require.InDelta(t, sum, q.Ahead(now, it).Seconds(), 1e-6)
			sum += max(0.001, it.Work.Seconds())
		}
	})
}

// BenchmarkOrdered measures the order of 2,000 waiting requests.
func BenchmarkOrdered(b *testing.B) {
	q := schedule.NewQueue()
	for i := range 2000 {
		at := begin.Add(time.Duration(i*7919%300) * time.Millisecond)
		q.Add(schedule.Item{ID: uint64(i), Account: fmt.Sprint(i % 50), Priority: i % 4, Work: time.Second, Arrived: at, InTimeUntil: at.Add(waitLimit)})
	}
	for b.Loop() {
		q.Ordered(begin.Add(waitLimit))
	}
}

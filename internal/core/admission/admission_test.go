package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
)

var epoch = time.Unix(1000, 0)

func newAsk(id, client string, weight int) Ask {
	return Ask{ID: id, Account: client, Priority: DefaultPriority, Weight: weight, Deadline: epoch.Add(time.Minute)}
}

func equalFit(string) int { return 0 }

// fullGate returns a gate on which the client account large has MinQueueCapacity requests in flight and as many
// waiting, which fills the queue.
func fullGate(t *testing.T) *Gate {
	g := NewGate()
	for i := range MinQueueCapacity {
		admitted, refused := g.Admit(epoch, newAsk(fmt.Sprint("run", i), "large", 1), true)
		require.True(t, admitted)
		require.Empty(t, refused)
	}
	for i := range MinQueueCapacity {
		admitted, refused := g.Admit(epoch, newAsk(fmt.Sprint("wait", i), "large", 1), false)
		require.False(t, admitted)
		require.Empty(t, refused)
	}
	return g
}

// TestSmallAccountIsServedBeforeFlood guards against a client account that floods the service and fills the queue. A
// request of a small account evicts the last request of the flood and is the next one to be admitted.
func TestSmallAccountIsServedBeforeFlood(t *testing.T) {
	g := fullGate(t)
	admitted, refused := g.Admit(epoch, newAsk("small", "small", 1), false)
	require.False(t, admitted)
	require.Len(t, refused, 1)
	require.Equal(t, fmt.Sprint("wait", MinQueueCapacity-1), refused[0].ID, "the last request of the flood is evicted")
	require.Equal(t, code.ClientOverShare, refused[0].Code)
	require.GreaterOrEqual(t, refused[0].After, MinRetryAfter)
	g.Remove("run0", true)
	id, ok := g.Next(equalFit)
	require.True(t, ok)
	require.Equal(t, "small", id)
}

// TestFloodIsRefusedAtOnce guards against a flooding client account that evicts other requests: with the queue full,
// its own new request is refused.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	g := fullGate(t)
	_, refused := g.Admit(epoch, newAsk("more", "large", 1), false)
	require.Equal(t, []Refusal{{ID: "more", Code: code.Overloaded, After: MinRetryAfter}}, refused)
}

// TestCapacityIsSharedByWeight checks that freed capacity goes to the client accounts in proportion to their weights.
func TestCapacityIsSharedByWeight(t *testing.T) {
	g := NewGate()
	weights := map[string]int{"a": 1, "b": 3}
	admitted := map[string]int{}
	sent := 0
	arrive := func() {
		for client, w := range weights {
			sent++
			id := fmt.Sprint(client, sent)
			_, refused := g.Admit(epoch, newAsk(id, client, w), false)
			_ = refused
		}
	}
	for range 40 {
		arrive()
		arrive()
		id, ok := g.Next(equalFit)
		require.True(t, ok)
		admitted[id[:1]]++
	}
	require.InDelta(t, 10, admitted["a"], 1)
	require.InDelta(t, 30, admitted["b"], 1)
}

// TestPrioritiesOrderTheQueue checks that a client account's requests are admitted by priority, and that a request of
// NoWaitPriority is refused instead of waiting.
func TestPrioritiesOrderTheQueue(t *testing.T) {
	g := NewGate()
	for i, p := range []int{5, 0, 3} {
		a := newAsk(fmt.Sprint("p", i), "a", 1)
		a.Priority = p
		_, refused := g.Admit(epoch, a, false)
		require.Empty(t, refused)
	}
	lowest := newAsk("idle", "a", 1)
	lowest.Priority = NoWaitPriority
	_, refused := g.Admit(epoch, lowest, false)
	require.Len(t, refused, 1)
	var order []string
	for {
		id, ok := g.Next(equalFit)
		if !ok {
			break
		}
		order = append(order, id)
	}
	require.Equal(t, []string{"p1", "p2", "p0"}, order)
}

// TestWaitIsBounded guards against requests that wait past MaxWait or past their caller's deadline.
func TestWaitIsBounded(t *testing.T) {
	g := NewGate()
	urgent := newAsk("hurried", "a", 1)
	urgent.Deadline = epoch.Add(50 * time.Millisecond)
	g.Admit(epoch, urgent, false)
	g.Admit(epoch, newAsk("patient", "a", 1), false)
	require.Empty(t, g.Sweep(epoch.Add(49*time.Millisecond)))
	require.Equal(t, "hurried", g.Sweep(epoch.Add(50 * time.Millisecond))[0].ID)
	require.Equal(t, "patient", g.Sweep(epoch.Add(MaxWait))[0].ID)
	require.Zero(t, g.Waiting())
}

// TestRetryAfterGrowsWithLoad checks that the Retry-After delay follows the ratio of arrivals to completions, here 3 to
// 1, and that it is StalledRetryAfter while nothing completes.
func TestRetryAfterGrowsWithLoad(t *testing.T) {
	g := NewGate()
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for i := range 300 {
		id := fmt.Sprint(i)
		g.Admit(at(i*10), newAsk(id, "a", 1), false)
		if i%3 == 0 {
			next, _ := g.Next(equalFit)
			g.Remove(next, true)
		}
		g.Sweep(at(i * 10))
	}
	require.GreaterOrEqual(t, g.RetryAfter(), 3*time.Second)
	require.LessOrEqual(t, g.RetryAfter(), 4*time.Second)
	stalled := NewGate()
	for i := range 200 {
		stalled.Admit(at(i*10), newAsk(fmt.Sprint(i), "a", 1), false)
		stalled.Sweep(at(i * 10))
	}
	require.Equal(t, StalledRetryAfter, stalled.RetryAfter())
}

// TestAccountLimitIsEnforced checks that a client account's requests over its limit are refused even while upstreams
// have free capacity.
func TestAccountLimitIsEnforced(t *testing.T) {
	g := NewGate()
	limited := func(id string) Ask {
		a := newAsk(id, "a", 1)
		a.Cap = 2
		return a
	}
	for i := range 2 {
		admitted, _ := g.Admit(epoch, limited(fmt.Sprint(i)), true)
		require.True(t, admitted)
	}
	admitted, refused := g.Admit(epoch, limited("third"), true)
	require.False(t, admitted)
	require.Equal(t, code.ClientOverShare, refused[0].Code)
	g.Remove("0", true)
	admitted, _ = g.Admit(epoch, limited("fourth"), true)
	require.True(t, admitted)
}

// TestSharesAddUpToLimit guards against rounding that loses or adds requests: with equal demands at all entries, the
// shares add up to the fleet-wide limit.
func TestSharesAddUpToLimit(t *testing.T) {
	entries := []string{"a", "b", "c"}
	for limit := 1; limit < 40; limit++ {
		demand := map[string]int{"a": limit, "b": 1, "c": 0}
		sum := 0
		for _, e := range entries {
			sum += Share(limit, e, entries, demand)
		}
		require.Equal(t, limit, sum)
		require.GreaterOrEqual(t, Share(limit, "a", entries, demand), Share(limit, "c", entries, demand))
	}
	require.Equal(t, 10, Share(30, "a", entries, map[string]int{"a": 5}), "unknown demand counts as this entry's own")
}

// TestSharesOvershootIsBounded guards against shares that add up to far more than the limit. They exceed it while
// demands change, because each entry knows its own new demand before the others do.
func TestSharesOvershootIsBounded(t *testing.T) {
	entries := []string{"a", "b", "c", "d"}
	const limit = 40
	before := map[string]int{"a": 100, "b": 0, "c": 0, "d": 0}
	now := map[string]int{"a": 0, "b": 100, "c": 100, "d": 100}
	sum := 0
	for _, e := range entries {
		view := map[string]int{}
		for k, v := range before {
			view[k] = v
		}
		view[e] = now[e]
		sum += Share(limit, e, entries, view)
	}
	require.LessOrEqual(t, sum, 2*limit, "at most twice the limit while demands change")
}

// TestLimiterFollowsFirstByteTime checks that the limit of an upstream without queue reports decreases when first bytes
// arrive late, and grows again when they are fast.
func TestLimiterFollowsFirstByteTime(t *testing.T) {
	l := NewLimiter()
	now := epoch
	answer := func(n int, took time.Duration) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			l.FirstByte(now, took)
		}
	}
	answer(100, 10*time.Millisecond)
	require.Equal(t, InitialLimit, l.Limit(), "the limit does not grow while few requests are in flight")
	for range InitialLimit {
		l.Add()
	}
	answer(300, 100*time.Millisecond)
	require.Less(t, l.Limit(), InitialLimit/2)
	answer(3000, 10*time.Millisecond)
	require.Greater(t, l.Limit(), InitialLimit)
}

// TestLimiterFollowsQueueReports checks that the limit is the engine's batch plus a short queue. It guards against
// overreaction to a delayed report, which shows a batch that is not filled yet.
func TestLimiterFollowsQueueReports(t *testing.T) {
	l := NewLimiter()
	for range InitialLimit {
		l.Add()
	}
	l.QueueReport(epoch, 0, 12)
	require.Equal(t, InitialLimit/2, l.Limit(), "a report from before the batch was filled at most halves the limit")
	l.QueueReport(epoch.Add(time.Second), 8, 0)
	require.Greater(t, l.Limit(), InitialLimit/2)
	l = NewLimiter()
	for range InitialLimit {
		l.Add()
	}
	l.QueueReport(epoch, 8, 24)
	require.Equal(t, 10, l.Limit())
	l.FirstByte(epoch, time.Second)
	require.Equal(t, 10, l.Limit(), "a recent queue report takes precedence over first-byte times")
	l.QueueReport(epoch.Add(time.Second), 8, 0)
	require.Equal(t, 11, l.Limit())
}

// TestBudgetBoundsRetries checks that a service gets one retry per ten successes after the initial RetryBurst.
func TestBudgetBoundsRetries(t *testing.T) {
	b := &Budget{}
	retries := 0
	for range 1000 {
		if b.Take() {
			retries++
		}
		b.Succeeded()
	}
	require.LessOrEqual(t, retries, 1000/10+RetryBurst)
}

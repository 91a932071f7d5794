package membudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/membudget"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// TestSlowestReaderIsEvicted guards against a process that runs out of memory, or refuses other callers, because one caller does not read.
func TestSlowestReaderIsEvicted(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	evicted := ""
	open := func(name string) *membudget.Reservation { return b.Open(name, func() { evicted += name }) }
	slow, fast, other := open("s"), open("f"), open("o")
	require.NoError(t, slow.Grow(40))
	require.NoError(t, fast.Grow(40))
	require.ErrorIs(t, other.Grow(30), membudget.ErrFull, "neither has stalled long enough")
	c.now = c.now.Add(time.Second)
	fast.Shrink(1)
	require.NoError(t, other.Grow(30))
	require.Equal(t, "s", evicted)
	require.True(t, slow.Evicted())
	require.ErrorIs(t, slow.Grow(1), membudget.ErrEvicted)
	slow.Shrink(40)
	slow.Close()
	require.Equal(t, int64(69), b.Used())
	fast.Close()
	other.Close()
	require.Zero(t, b.Used())
}

// TestOneOwnerCannotTakeTheWholeBudget guards against a client account whose slow readers take the memory of all others.
func TestOneOwnerCannotTakeTheWholeBudget(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	evicted := 0
	for range 50 {
		r := b.Open("rival", func() { evicted++ })
		require.NoError(t, r.Grow(10))
		c.now = c.now.Add(time.Second)
	}
	require.Equal(t, int64(50), b.Used())
	require.Equal(t, 45, evicted)
	require.NoError(t, b.Open("other", func() { t.Fatal("a reservation that makes progress was evicted") }).Grow(50))
}

// TestRequestThatWaitsForItsUpstreamIsNotEvicted guards against a request that runs and is thrown away, because a silent upstream is taken
// for a slow caller. A new request, of which nothing was sent, is refused instead.
func TestRequestThatWaitsForItsUpstreamIsNotEvicted(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	open := func(owner string) *membudget.Reservation { return b.Open(owner, func() { t.Error("evicted") }) }
	for _, owner := range []string{"a", "b"} {
		r := open(owner)
		require.NoError(t, r.GrowBody(40))
		r.CallerDone()
	}
	c.now = c.now.Add(time.Minute)
	require.ErrorIs(t, open("a").GrowBody(20), membudget.ErrFull, "the owner's share is exhausted")
	require.ErrorIs(t, open("c").GrowBody(20), membudget.ErrFull, "the budget is exhausted")
}

// TestResponsesHaveMemoryWhileBodiesFillTheirs guards against requests that wait for their responses and hold all memory, so that no response
// can be read.
func TestResponsesHaveMemoryWhileBodiesFillTheirs(t *testing.T) {
	c := &clock{}
	b := membudget.New(160, c.Now)
	var open []*membudget.Reservation
	for i := range 2000 {
		r := b.Open([]string{"a", "b"}[i%2], func() { t.Error("evicted") })
		if r.GrowBody(1) == nil {
			r.CallerDone()
			open = append(open, r)
		}
	}
	c.now = c.now.Add(time.Minute)
	require.Equal(t, int64(140), b.Used())
	for _, r := range open {
		require.NoError(t, r.Grow(3))
		r.Close()
	}
}

// TestResponsesThatWaitForEachOtherEnd guards against responses that were read in part, hold all memory and wait for more for ever, and
// against callers whose connections are closed for it without an answer.
func TestResponsesThatWaitForEachOtherEnd(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	evicted := ""
	open := func(name string) *membudget.Reservation {
		r := b.Open(name, func() { evicted += name })
		require.NoError(t, r.Grow(50))
		r.CallerDone()
		return r
	}
	first, second := open("f"), open("s")
	require.ErrorIs(t, first.Grow(10), membudget.ErrFull)
	c.now = c.now.Add(time.Second)
	require.ErrorIs(t, b.Open("o", nil).GrowBody(10), membudget.ErrFull, "a new request is refused")
	require.ErrorIs(t, second.Grow(10), membudget.ErrFull, "beyond its owner's share")
	require.NoError(t, b.Open("o", nil).Grow(10))
	require.ErrorIs(t, first.Grow(10), membudget.ErrDropped)
	require.Equal(t, int64(60), b.Used())
	require.NoError(t, first.Grow(10), "another response to the same caller has memory")
	first.Shrink(50)
	require.Equal(t, int64(60), b.Used(), "what was dropped is released once")
	require.Empty(t, evicted, "its caller keeps its connection")
}

// TestNewRequestIsTakenBesideLargeResponses guards against new requests that are refused for lack of memory while responses without an end,
// which wait for memory, hold it.
func TestNewRequestIsTakenBesideLargeResponses(t *testing.T) {
	c := &clock{}
	b := membudget.New(160, c.Now)
	endless, request := b.Open("a", func() { t.Error("evicted") }), b.Open("a", func() { t.Error("evicted") })
	require.NoError(t, endless.Grow(80))
	require.ErrorIs(t, endless.Grow(1), membudget.ErrFull)
	require.NoError(t, request.GrowBody(10))
	require.ErrorIs(t, endless.Grow(1), membudget.ErrDropped)
}

// TestLargeResponsesLeaveMemoryToOthers guards against new requests that are refused, and small responses that wait, while large responses
// grow and none of them waits for memory yet.
func TestLargeResponsesLeaveMemoryToOthers(t *testing.T) {
	c := &clock{}
	b := membudget.New(3200, c.Now)
	owners := []string{"a", "b"}
	for _, owner := range owners {
		endless := b.Open(owner, func() { t.Error("evicted") })
		for endless.Grow(10) == nil {
		}
		require.NoError(t, b.Open(owner, func() { t.Error("evicted") }).GrowBody(150))
		require.NoError(t, b.Open(owner, func() { t.Error("evicted") }).Grow(150))
	}
}

// TestSmallResponseDoesNotWaitForLargeOnes guards against sound responses that are held up by responses without an end, which wait for memory.
func TestSmallResponseDoesNotWaitForLargeOnes(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	open := func(owner string) *membudget.Reservation { return b.Open(owner, func() { t.Error("evicted") }) }
	first, second, small := open("a"), open("b"), open("c")
	require.NoError(t, first.Grow(50))
	require.NoError(t, second.Grow(48))
	require.ErrorIs(t, small.Grow(6), membudget.ErrFull, "none of them waits for memory: they may end")
	require.ErrorIs(t, second.Grow(10), membudget.ErrFull)
	require.NoError(t, small.Grow(5))
	require.ErrorIs(t, second.Grow(10), membudget.ErrDropped)
	require.ErrorIs(t, first.Grow(1), membudget.ErrFull, "beyond its owner's share")
}

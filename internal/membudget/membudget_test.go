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

// TestResponsesThatWaitForEachOtherEnd guards against responses that were read in part, hold all memory and wait for more for ever.
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
	require.Equal(t, "f", evicted)
	require.ErrorIs(t, first.Grow(10), membudget.ErrEvicted)
}

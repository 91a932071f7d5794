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

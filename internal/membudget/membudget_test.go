package membudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/membudget"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// TestTheSlowestReaderMakesRoom guards against a process that runs out of memory, or turns others away, since one caller does not read.
func TestTheSlowestReaderMakesRoom(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	ended := ""
	open := func(name string) *membudget.Holder { return b.Open(name, func() { ended += name }) }
	slow, fast, other := open("s"), open("f"), open("o")
	require.NoError(t, slow.Grow(40))
	require.NoError(t, fast.Grow(40))
	require.ErrorIs(t, other.Grow(30), membudget.ErrFull, "neither has stalled")
	c.now = c.now.Add(time.Second)
	fast.Shrink(1)
	require.NoError(t, other.Grow(30))
	require.Equal(t, "s", ended)
	require.True(t, slow.Ended())
	require.ErrorIs(t, slow.Grow(1), membudget.ErrEnded)
	slow.Shrink(40)
	slow.Close()
	require.Equal(t, int64(69), b.Used())
	fast.Close()
	other.Close()
	require.Zero(t, b.Used())
}

// TestOneOwnerLeavesRoomForOthers guards against an account whose slow readers take the memory of all.
func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	c := &clock{}
	b := membudget.New(100, c.Now)
	ended := 0
	for range 50 {
		h := b.Open("rival", func() { ended++ })
		require.NoError(t, h.Grow(10))
		c.now = c.now.Add(time.Second)
	}
	require.Equal(t, int64(50), b.Used())
	require.Equal(t, 45, ended)
	require.NoError(t, b.Open("other", func() { t.Fatal("it reads") }).Grow(50))
}

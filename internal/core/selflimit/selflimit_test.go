package selflimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/selflimit"
)

var (
	lateByOwnWork = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.9}
	lateByOthers  = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.3}
	onTime        = selflimit.OwnDelay{Delay: time.Millisecond, OwnShare: 0.9}
)

// fill admits requests until one is refused or n are in flight. It returns how many are in flight.
func fill(l *selflimit.Limit, n int) int {
	for inFlight := range n {
		if !l.Admit(inFlight) {
			return inFlight
		}
	}
	return n
}

// TestLimitShrinksWhileLateByOwnWork guards against an entry that accepts as many requests as before while they make it late. The limit
// falls in each late second, and not below its minimum.
func TestLimitShrinksWhileLateByOwnWork(t *testing.T) {
	l := &selflimit.Limit{}
	before := fill(l, 1000)
	require.Equal(t, 1000, before)
	for second := range 60 {
		l.Measured(lateByOwnWork, before)
		now := fill(l, 1000)
		require.True(t, now < before || now == selflimit.MinRequests, "second %d: %d after %d", second, now, before)
		before = now
	}
	require.Equal(t, selflimit.MinRequests, before)
}

// TestNoRequestIsRefusedWhileLateByOthers guards against refusals that don't shorten the delay: other processes take the processors, or the
// process was suspended.
func TestNoRequestIsRefusedWhileLateByOthers(t *testing.T) {
	l := &selflimit.Limit{}
	for range 10 {
		require.Equal(t, 1000, fill(l, 1000))
		l.Measured(lateByOthers, 1000)
	}
}

// TestLimitIsLiftedAfterTheDelay guards against a limit that stays in force for good: on time again, and also if only others make the
// process late, it grows back under full demand and is then lifted.
func TestLimitIsLiftedAfterTheDelay(t *testing.T) {
	for _, after := range []selflimit.OwnDelay{onTime, lateByOthers} {
		l := &selflimit.Limit{}
		fill(l, 1000)
		for range 30 {
			l.Measured(lateByOwnWork, fill(l, 1000))
		}
		previous, seconds := 0, 0
		for ; l.Max() > 0; seconds++ {
			now := fill(l, 1000)
			require.GreaterOrEqual(t, now, previous)
			l.Measured(after, now)
			previous = now
		}
		require.Equal(t, 1000, previous, "lifted only once it no longer bound")
		require.Less(t, seconds, 30)
		require.Equal(t, 1_000_000, fill(l, 1_000_000))
	}
}

// TestLimitIsLiftedSoonWithoutDemand guards against refusals of a burst that comes long after a late second: one second on time in which no
// request was in flight is enough.
func TestLimitIsLiftedSoonWithoutDemand(t *testing.T) {
	l := &selflimit.Limit{}
	l.Measured(lateByOwnWork, 40)
	l.Measured(onTime, 0)
	require.Equal(t, 32, l.Max(), "40 were in flight when that second began")
	l.Measured(onTime, 0)
	require.Zero(t, l.Max())
}

// TestEntryUnderLastingOverloadIsMostlyOnTime guards against a limit that returns so fast that the entry is late every other second, and
// against one that serves far fewer requests than the entry can serve on time.
func TestEntryUnderLastingOverloadIsMostlyOnTime(t *testing.T) {
	const demand, capacity, warmUp, seconds = 1000, 200, 60, 600
	l := &selflimit.Limit{}
	late, served := 0, 0
	for second := range warmUp + seconds {
		inFlight := fill(l, demand)
		d := onTime
		if inFlight > capacity {
			d = lateByOwnWork
		}
		l.Measured(d, inFlight)
		if second >= warmUp {
			served += min(inFlight, capacity)
			if inFlight > capacity {
				late++
			}
		}
	}
	t.Logf("late %d of %d, served %.1f", late, seconds, float64(served)/seconds)
	require.LessOrEqual(t, float64(late)/seconds, 0.2)
	require.GreaterOrEqual(t, float64(served)/seconds, 0.85*capacity)
}

// TestMinimumIsAlwaysAdmitted guards against a limit below its minimum, whatever the order of late seconds, seconds on time and demands.
func TestMinimumIsAlwaysAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &selflimit.Limit{}
		seconds := rapid.SliceOf(rapid.SampledFrom([]selflimit.OwnDelay{lateByOwnWork, lateByOthers, onTime})).Draw(t, "seconds")
		for _, d := range seconds {
			l.Measured(d, fill(l, rapid.IntRange(0, 2000).Draw(t, "demand")))
			require.Equal(t, selflimit.MinRequests, fill(l, selflimit.MinRequests))
		}
	})
}

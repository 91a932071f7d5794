package forecast_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/forecast"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestReturningEngineTakesAsManyAsItReads guards against predictions that give a new engine all of its slots at once. The load is an
// engine with 12 slots that returns in 1 s and reads 25 prompts a second.
func TestReturningEngineTakesAsManyAsItReads(t *testing.T) {
	var c forecast.Capacity
	_, known := c.RoomAt(forecast.Candidate, 0, 0)
	require.False(t, known)
	c.Update(begin, []forecast.Engine{{ReadyAt: begin.Add(time.Second), Slots: 12, PerSecond: 25}})
	for ahead, want := range map[int]time.Duration{0: time.Second, 5: 1200 * time.Millisecond, 11: 1440 * time.Millisecond, 12: 1900 * time.Millisecond} {
		at, known := c.RoomAt(forecast.Candidate, 0, ahead)
		require.True(t, known)
		require.InDelta(t, want.Seconds(), at.Sub(begin).Seconds(), 0.05, "behind %d others", ahead)
	}
}

// TestOverduePredictionIsDropped guards against waits for an engine that did not return.
func TestOverduePredictionIsDropped(t *testing.T) {
	var c forecast.Capacity
	c.Update(begin, []forecast.Engine{{ReadyAt: begin.Add(-1900 * time.Millisecond), Slots: 12, PerSecond: 25}})
	at, known := c.RoomAt(forecast.Candidate, 0, 0)
	require.True(t, known && at.Sub(begin) < 100*time.Millisecond)
	c.Update(begin, []forecast.Engine{{ReadyAt: begin.Add(-2100 * time.Millisecond), Slots: 12, PerSecond: 25}})
	_, known = c.RoomAt(forecast.Candidate, 0, 0)
	require.False(t, known)
}

// TestFirstTriesComeFirst guards against room for waiting requests in slots that first tries will take. The load is 12 first tries a
// second for an engine that completes 13, and then 5.
func TestFirstTriesComeFirst(t *testing.T) {
	room := func(perSecond, ahead int) time.Duration {
		var c forecast.Capacity
		for i := range 4 * perSecond {
			c.Arrived(begin.Add(time.Duration(i)*time.Second/time.Duration(perSecond)), 3)
		}
		now := begin.Add(4 * time.Second)
		c.Update(now, []forecast.Engine{{ReadyAt: now.Add(time.Second), Slots: 12, PerSecond: 25}})
		urgent, _ := c.RoomAt(forecast.Candidate, 0, ahead)
		at, _ := c.RoomAt(forecast.Candidate, 3, ahead)
		require.LessOrEqual(t, urgent, at, "first tries of priority 3 do not come before requests of priority 0")
		return at.Sub(now)
	}
	require.Greater(t, room(12, 5), 6*time.Second)
	require.Less(t, room(5, 5), 2*time.Second)
}

// TestLongRunTimesTakeNoMoreMemory guards against a simulation that grows with the run time: streams may take minutes.
func TestLongRunTimesTakeNoMoreMemory(t *testing.T) {
	var c forecast.Capacity
	c.Completed(time.Hour)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	c.Update(begin, []forecast.Engine{{Slots: 12, Occupied: 12, PerSecond: 25}, {ReadyAt: begin.Add(time.Second), Slots: 12, PerSecond: 25}})
	at, known := c.RoomAt(forecast.Candidate, 0, 0)
	runtime.ReadMemStats(&after)
	require.True(t, known)
	require.InDelta(t, 1, at.Sub(begin).Seconds(), 0.05)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(100_000))
}

// TestRoomByRateFollowsCompletions guards against a predicted wait from less than a second of measurements, or from old ones.
func TestRoomByRateFollowsCompletions(t *testing.T) {
	var c forecast.Capacity
	for i := range 30 {
		now := begin.Add(time.Duration(i) * 50 * time.Millisecond)
		c.Observe(now, 100*time.Millisecond) // Work of 2 s a second.
		_, known := c.RoomByRate(now, 0, time.Second)
		require.Equal(t, i >= 20, known)
	}
	at, _ := c.RoomByRate(begin.Add(1500*time.Millisecond), 0, time.Second)
	require.InDelta(t, 0.5, at.Sub(begin.Add(1500*time.Millisecond)).Seconds(), 0.05)
	require.True(t, c.InReachByRate(begin.Add(1500*time.Millisecond), 0, 500*time.Millisecond, 100*time.Millisecond), "two to five completions are expected")
	require.False(t, c.InReachByRate(begin.Add(1500*time.Millisecond), 0, time.Second, 100*time.Millisecond))
	require.False(t, c.InReachByFloor(begin.Add(1500*time.Millisecond), 3, 100*time.Millisecond))
	_, known := c.RoomByRate(begin.Add(4*time.Second), 0, time.Second)
	require.False(t, known)
}

// TestNobodyWaitsInVainByDecision guards against decisions that no caller could want, whatever the times are: a wait beyond the
// caller's timeout less 0.3 s or its deadline less the run time, a wait though there is no room in it, or a Retry-After delay that its
// caller does not follow.
func TestNobodyWaitsInVainByDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		r := forecast.Request{
			Arrived: begin, Deadline: begin.Add(ms("budget", 6000)), CallerTimeout: ms("caller", 4000), WaitLimit: ms("limit", 400), RunTime: ms("run", 1300),
			FirstEvent: ms("first event", 200), Returning: rapid.Bool().Draw(t, "returning"), Outage: rapid.Bool().Draw(t, "outage"),
		}
		roomAt := begin.Add(ms("room", 12000))
		d := forecast.Decide(begin, r, roomAt, roomAt, rapid.Uint64().Draw(t, "draw"))
		left := r.Deadline.Sub(begin)
		if !d.Wait {
			require.GreaterOrEqual(t, d.RetryAfter, forecast.RetryAfterMin)
			require.LessOrEqual(t, d.RetryAfter, max(left/3, forecast.RetryAfterMin))
			require.NotEmpty(t, d.Reason)
			return
		}
		require.False(t, roomAt.After(d.Until))
		require.False(t, d.Until.After(r.Deadline.Add(-r.RunTime)))
		if r.CallerTimeout > 0 {
			require.LessOrEqual(t, d.Until.Sub(begin), r.CallerTimeout-300*time.Millisecond)
		}
		require.True(t, r.Outage || !r.Returning && d.Until.Sub(begin) <= r.WaitLimit)
		if d.UntilEnd && !r.Returning && left > 3100*time.Millisecond {
			require.True(t, roomAt.After(r.LatestSend(begin.Add((left-150*time.Millisecond)/3))), "it could come back in time")
		}
	})
}

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/quarantine"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// crasher is the fingerprint of a request that crashes upstreams.
const crasher = 7

// sendReports sends the reports of one process to another one, and returns the requests that the receiver quarantines because of them.
func sendReports(now time.Time, from, to *quarantine.Table) []uint64 {
	return to.Merge(now, from.Reports(now))
}

// Without reports between processes, an entry counts only the crashes that it saw itself, and no entry reaches the threshold.
func TestCrashesAreCountedAcrossProcesses(t *testing.T) {
	a, b, c := quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()
	require.False(t, a.Crashed(start, crasher, 1, start))
	require.False(t, b.Crashed(start, crasher, 2, start))
	require.Empty(t, sendReports(start, a, b))
	require.Empty(t, sendReports(start, a, b), "a crash counts once although it is reported twice")
	require.False(t, b.Crashed(start, crasher, 1, start), "a crash counts once although two entries saw it")
	require.Empty(t, sendReports(start, b, c))
	require.True(t, c.Crashed(start, crasher, 3, start))
	require.Equal(t, []uint64{crasher}, sendReports(start, c, a))
	require.Positive(t, a.Remaining(start, crasher))
}

// A process that starts at any time during a quarantine learns of it from another process and ends it at the same time. It would run the
// request if quarantines were reported for a shorter time than they last, such as 10 s of 30 s.
func TestQuarantineIsReportedUntilItEnds(t *testing.T) {
	known := quarantine.NewTable()
	for upstream := range uint32(quarantine.CrashThreshold) {
		known.Crashed(start, crasher, upstream, start)
	}
	for age := time.Duration(0); age < quarantine.QuarantineDuration-time.Second; age += time.Second {
		started := quarantine.NewTable()
		require.Equal(t, []uint64{crasher}, sendReports(start.Add(age), known, started))
		require.Equal(t, known.Remaining(start.Add(age), crasher), started.Remaining(start.Add(age), crasher))
	}
}

// Three processes exchange reports over a slow network. A report ages on its way, so processes could renew each other's quarantine
// forever; all must forget it once it has ended.
func TestReportsDoNotProlongAQuarantine(t *testing.T) {
	const latency = 300 * time.Millisecond
	processes := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
	for upstream := range uint32(quarantine.CrashThreshold) {
		processes[0].Crashed(start, crasher, upstream, start)
	}
	for now := start; now.Before(start.Add(quarantine.CrashRetention + quarantine.QuarantineDuration + 3*time.Second)); now = now.Add(latency) {
		var sent [][]quarantine.Report
		for _, p := range processes {
			sent = append(sent, p.Reports(now))
		}
		for i, p := range processes {
			p.Expire(now.Add(latency))
			p.Merge(now.Add(latency), sent[(i+1)%len(processes)])
			if now.After(start.Add(quarantine.QuarantineDuration + 3*time.Second)) {
				require.Zero(t, p.Remaining(now, crasher))
			}
		}
	}
	for _, p := range processes {
		require.True(t, p.Empty())
	}
}

// A complete answer shows that the request did not cause the crashes before it. They must not count again when another process reports
// them later.
func TestCompleteAnswerClearsEarlierCrashes(t *testing.T) {
	a, b := quarantine.NewTable(), quarantine.NewTable()
	b.Crashed(start, crasher, 1, start)
	a.Crashed(start, crasher, 2, start)
	a.Answered(start.Add(time.Second), crasher)
	require.Empty(t, a.RecentCrashes(start.Add(time.Second), crasher))
	sendReports(start.Add(2*time.Second), b, a)
	require.Empty(t, a.RecentCrashes(start.Add(2*time.Second), crasher), "a crash before the answer does not count when it is reported later")
}

// If an answer lifted a quarantine, processes that receive the answer and the crashes in a different order would disagree.
func TestCompleteAnswerDoesNotLiftAQuarantine(t *testing.T) {
	table := quarantine.NewTable()
	for upstream := range uint32(quarantine.CrashThreshold) {
		table.Crashed(start, crasher, upstream, start)
	}
	table.Answered(start.Add(time.Second), crasher)
	require.Positive(t, table.Remaining(start.Add(2*time.Second), crasher))
	require.Zero(t, table.Remaining(start.Add(quarantine.QuarantineDuration), crasher))
}

// A request that is in flight at rare, unrelated crashes must not be quarantined, however many there are.
func TestOldCrashesDoNotCount(t *testing.T) {
	const pause = quarantine.CrashRetention/(quarantine.CrashThreshold-1) + time.Second
	table := quarantine.NewTable()
	for upstream := range uint32(20) {
		at := start.Add(time.Duration(upstream) * pause)
		require.False(t, table.Crashed(at, crasher, upstream, at))
	}
}

// A request that crashes an upstream each time must be quarantined also if it comes seldom, such as each 10.5 s.
func TestSeldomCrashesCount(t *testing.T) {
	for _, pause := range []time.Duration{10500 * time.Millisecond, time.Minute, quarantine.CrashRetention / (quarantine.CrashThreshold - 1)} {
		table := quarantine.NewTable()
		for upstream := range uint32(quarantine.CrashThreshold) {
			at := start.Add(time.Duration(upstream) * pause)
			table.Expire(at)
			require.Equal(t, upstream == quarantine.CrashThreshold-1, table.Crashed(at, crasher, upstream, at), pause)
		}
	}
}

// A sound request that is in flight at unrelated crashes, and answered between them at one entry, must not be quarantined by another entry
// that knows the crashes only.
func TestAnswersCountAtOtherProcesses(t *testing.T) {
	a, b := quarantine.NewTable(), quarantine.NewTable()
	for upstream := range uint32(20) {
		at := start.Add(time.Duration(upstream) * 10 * time.Second)
		require.False(t, a.Crashed(at, crasher, upstream, at))
		require.Empty(t, sendReports(at.Add(time.Second), a, b))
		a.Answered(at.Add(2*time.Second), crasher)
		require.Empty(t, sendReports(at.Add(3*time.Second), a, b))
	}
	require.Empty(t, b.RecentCrashes(start.Add(200*time.Second), crasher))
}

// Many sound requests that were in flight at crashes must not displace one that has crashed several upstreams.
func TestFullTableKeepsRequestsWithSeveralCrashes(t *testing.T) {
	table := quarantine.NewTable()
	table.Crashed(start, crasher, 1, start)
	table.Crashed(start, crasher, 2, start)
	for fingerprint := range uint64(5000) {
		table.Crashed(start.Add(time.Second), 1000+fingerprint, 3, start.Add(time.Second))
	}
	require.Len(t, table.RecentCrashes(start.Add(time.Second), crasher), 2)
}

// There are more quarantined requests and requests with crashes than one call of Reports returns. The rest must follow with later calls.
// If everything beyond a fixed number such as 32 were dropped, other processes would never learn of it.
func TestReportsRotateThroughAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, table, other := start, quarantine.NewTable(), quarantine.NewTable()
		crashes := map[uint64]int{}
		for fingerprint := range uint64(rapid.IntRange(1, 120).Draw(t, "requests")) {
			crashes[fingerprint] = rapid.IntRange(2, quarantine.CrashThreshold).Draw(t, "crashes")
			for upstream := range uint32(crashes[fingerprint]) {
				table.Crashed(now, fingerprint, upstream, now)
			}
		}
		for range 20 {
			sendReports(now, table, other)
		}
		for fingerprint, n := range crashes {
			if n == quarantine.CrashThreshold {
				require.Positive(t, other.Remaining(now, fingerprint))
			} else {
				require.Len(t, other.RecentCrashes(now, fingerprint), n)
			}
		}
	})
}

// A flood of distinct requests during crashes must not grow the table without bound, and the operator needs the number of dropped crashes.
func TestTableIsBoundedAndDroppedCrashesAreCounted(t *testing.T) {
	table := quarantine.NewTable()
	for fingerprint := range uint64(5000) {
		table.Crashed(start, fingerprint, 1, start)
	}
	require.Equal(t, 5000-4096, table.TakeDropped())
	require.Zero(t, table.TakeDropped())
	table.Expire(start.Add(quarantine.CrashRetention + time.Second))
	require.True(t, table.Empty())
}

package owndelay_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/owndelay"
)

var (
	epoch = time.Unix(1000, 0)
	// waitBounds are the bounds of a histogram, in seconds.
	waitBounds = []float64{math.Inf(-1), 0, 0.001, 0.1, 1, math.Inf(1)}
)

// reading returns a reading at a time, of a process that may use four processors.
func reading(at, used time.Duration, waits ...uint64) owndelay.Reading {
	return owndelay.Reading{At: epoch.Add(at), ProcessorTime: used, Processors: 4, Waits: waits, WaitBounds: waitBounds}
}

// TestDelayIsTheLargerOfTimerAndWaits guards against a delay that only one of the two shows: a suspended process has no goroutines that wait,
// and in a busy one a single timer may be lucky.
func TestDelayIsTheLargerOfTimerAndWaits(t *testing.T) {
	before := reading(0, 0, 0, 1000, 1000, 0, 0)
	for _, c := range []struct {
		name      string
		waits     []uint64
		timerLate time.Duration
		want      time.Duration
	}{
		{"none", []uint64{0, 1000, 1000, 0, 0}, 0, 0},
		{"timer", []uint64{0, 1100, 1000, 0, 0}, 4 * time.Second, 4 * time.Second},
		{"waits", []uint64{0, 1000, 1000, 100, 0}, time.Millisecond, 100 * time.Millisecond},
		{"one wait in a hundred is left out", []uint64{0, 1099, 1000, 0, 1}, time.Millisecond, time.Millisecond},
		{"two in a hundred are not", []uint64{0, 1098, 1000, 0, 2}, time.Millisecond, time.Second},
		{"early timer", []uint64{0, 1000, 1000, 0, 0}, -time.Millisecond, 0},
	} {
		got := owndelay.Measure(before, reading(time.Second, 0, c.waits...), c.timerLate)
		require.Equal(t, c.want, got.Delay, c.name)
	}
}

// TestOwnShareIsOfTheProcessorsAvailable guards against a share that takes a process on one of its four processors for fully busy, or that
// exceeds 1 because the operating system's count lags behind.
func TestOwnShareIsOfTheProcessorsAvailable(t *testing.T) {
	share := func(length, used time.Duration) float64 {
		s := owndelay.Measure(reading(0, time.Minute), reading(length, time.Minute+used), 0)
		require.Equal(t, epoch, s.Start)
		require.Equal(t, epoch.Add(length), s.End)
		return s.OwnShare
	}
	require.InDelta(t, 0.25, share(time.Second, time.Second), 1e-9)
	require.InDelta(t, 1, share(time.Second, 4*time.Second), 1e-9)
	require.InDelta(t, 1, share(time.Second, 5*time.Second), 1e-9)
	require.InDelta(t, 0.05, share(5*time.Second, time.Second), 1e-9, "suspended for four of five seconds")
	require.Zero(t, share(0, 0))
}

// TestReadingOfThisProcessIsComplete guards against a runtime or an operating system that does not report what the monitor needs.
func TestReadingOfThisProcessIsComplete(t *testing.T) {
	r := owndelay.Read()
	require.Positive(t, r.ProcessorTime)
	require.Positive(t, r.Processors)
	require.NotEmpty(t, r.Waits)
	require.Len(t, r.WaitBounds, len(r.Waits)+1)
}

// BenchmarkReading measures what the monitor does once a second.
func BenchmarkReading(b *testing.B) {
	before := owndelay.Read()
	b.ReportAllocs()
	for b.Loop() {
		owndelay.Measure(before, owndelay.Read(), 0)
	}
}

package owndelay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/telemetry"
)

const tickInterval = 100 * time.Millisecond

// rig is a monitor with its log, its metrics and the events that it passed to the reducer.
type rig struct {
	monitor *owndelay.Monitor
	log     *bytes.Buffer
	metrics *telemetry.Metrics
	events  []selflimit.OwnDelay
	// now is the end of the last second, as the time since epoch.
	now time.Duration
}

func newRig() *rig {
	r := &rig{log: &bytes.Buffer{}, metrics: telemetry.NewMetrics()}
	r.monitor = owndelay.New(zerolog.New(r.log), r.metrics, tickInterval, func(ev step.Event) { r.events = append(r.events, ev.(selflimit.OwnDelay)) })
	return r
}

// second records a second with the given delay and own share.
func (r *rig) second(delay time.Duration, ownShare float64) {
	start := r.now
	r.now += max(time.Second, delay)
	r.monitor.Record(owndelay.Second{Start: epoch.Add(start), End: epoch.Add(r.now), Delay: delay, OwnShare: ownShare})
}

// lines returns the log lines.
func (r *rig) lines(t *testing.T) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for d := json.NewDecoder(bytes.NewReader(r.log.Bytes())); d.More(); {
		line := map[string]any{}
		require.NoError(t, d.Decode(&line))
		lines = append(lines, line)
	}
	return lines
}

// TestSpellIsLoggedOnceAtItsStartAndOnceAtItsEnd guards against a log line for each late second, against several spells for a process that is
// late every other second, and against an end without the largest delay and the length.
func TestSpellIsLoggedOnceAtItsStartAndOnceAtItsEnd(t *testing.T) {
	r := newRig()
	r.second(selflimit.LateDelay-1, 1)
	r.second(300*time.Millisecond, 0.2)
	r.second(0, 0.1)
	r.second(4*time.Second, 0.8)
	r.second(0, 0.1)
	r.second(0, 0.1)
	require.Len(t, r.lines(t), 1, "the spell has not ended yet")
	r.second(10*time.Millisecond, 0.1)
	r.second(0, 0.1)
	lines := r.lines(t)
	require.Len(t, lines, 2)
	at := func(d time.Duration) string { return epoch.Add(d).Format(zerolog.TimeFieldFormat) }
	require.Equal(t, map[string]any{
		"level": "warn", "event": 1008.0, "message": "process late", "late_from": at(time.Second), "delay_ms": 300.0, "own_share": 0.2,
	}, lines[0])
	require.InDelta(t, (0.2*1+0.8*4)/5, lines[1]["own_share"], 1e-6, "of the late seconds")
	delete(lines[1], "own_share")
	require.Equal(t, map[string]any{
		"level": "info", "event": 1009.0, "message": "process on time", "late_from": at(time.Second), "late_until": at(7 * time.Second),
		"delay_ms": 10.0, "max_delay_ms": 4000.0, "duration_ms": 6000.0,
	}, lines[1])
	r.second(time.Second, 1)
	require.Len(t, r.lines(t), 3, "the next spell has its own start")
}

// TestEachSecondReachesTheReducerAndTheMetrics guards against a reducer that never learns that the process is on time again.
func TestEachSecondReachesTheReducerAndTheMetrics(t *testing.T) {
	r := newRig()
	r.second(time.Second, 0.9)
	require.Equal(t, time.Second, r.metrics.OwnDelay.Value())
	r.second(time.Millisecond, 0.3)
	require.Equal(t, []selflimit.OwnDelay{{Delay: time.Second, OwnShare: 0.9}, {Delay: time.Millisecond, OwnShare: 0.3}}, r.events)
	require.Equal(t, time.Millisecond, r.metrics.OwnDelay.Value())
	r.monitor.LateRead()
	require.EqualValues(t, 1, r.metrics.LateReads.Value())
}

// TestMonitorMeasuresEverySecond guards against a monitor that measures once only, or other times than seconds.
func TestMonitorMeasuresEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, start := newRig(), time.Now()
		r.monitor.SetRead(func() owndelay.Reading {
			used := time.Since(start) // One of four processors.
			return owndelay.Reading{At: time.Now(), ProcessorTime: used, Processors: 4, Waits: []uint64{0, 0, 0, 0, uint64(used)}, WaitBounds: waitBounds}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go periodic.Run(ctx, tickInterval, r.monitor.Tick)
		time.Sleep(10*time.Second + 3*tickInterval/2)
		cancel()
		synctest.Wait()
		require.Len(t, r.events, 10)
		for _, ev := range r.events {
			require.Equal(t, selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.25}, ev)
		}
		require.Len(t, r.lines(t), 1)
	})
}

// TestLateTickIsADelay guards against a process that was suspended and does not know it: the tick after it is late, and those before and after
// are not.
func TestLateTickIsADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.monitor.SetRead(func() owndelay.Reading { return owndelay.Reading{At: time.Now(), Processors: 4} })
		run := func(ticks int) {
			for range ticks {
				time.Sleep(tickInterval)
				r.monitor.Tick()
			}
		}
		run(15)
		time.Sleep(5 * time.Second)
		run(25)
		require.Equal(t, []selflimit.OwnDelay{{}, {Delay: 5 * time.Second}, {}, {}}, r.events)
		lines := r.lines(t)
		require.Equal(t, 5000.0, lines[0]["delay_ms"])
		require.Zero(t, lines[0]["own_share"])
	})
}

// TestMonitorWithoutReducerMeasures guards against a process without callers' requests whose monitor fails.
func TestMonitorWithoutReducerMeasures(t *testing.T) {
	m := telemetry.NewMetrics()
	owndelay.New(zerolog.Nop(), m, tickInterval, nil).Record(owndelay.Second{Delay: time.Second})
	require.Equal(t, time.Second, m.OwnDelay.Value())
}

// BenchmarkMonitor reports the processor time that this whole process uses, as a percentage of one processor, with the ticker of 20 ms of
// entries on the users' platform: without a monitor and with one that is called from it.
func BenchmarkMonitor(b *testing.B) {
	const interval = 20 * time.Millisecond
	used := func() time.Duration {
		var u syscall.Rusage
		require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	monitor := owndelay.New(zerolog.Nop(), telemetry.NewMetrics(), interval, nil)
	for name, tick := range map[string]func(){"without": func() {}, "with": monitor.Tick} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go periodic.Run(ctx, interval, tick)
			before, start := used(), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			b.ReportMetric(100*float64(used()-before)/float64(time.Since(start)), "%core")
		})
	}
}

// BenchmarkTick measures the work of one second: the ticks of an entry on the users' platform and one measurement.
func BenchmarkTick(b *testing.B) {
	const interval = 20 * time.Millisecond
	monitor := owndelay.New(zerolog.Nop(), telemetry.NewMetrics(), interval, nil)
	reading := owndelay.Read()
	for b.Loop() {
		for range int(time.Second / interval) {
			monitor.Tick()
		}
		owndelay.Measure(reading, owndelay.Read(), 0)
		monitor.Record(owndelay.Second{})
	}
}

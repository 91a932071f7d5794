// Package owndelay measures how late this process itself is, so that its own delay is not taken for a fault of others: it was suspended, it
// had no processor time, or it had more work than its processors could do.
//
// A Monitor measures one second after another. The delay of a second is the larger of two: how late a timer of the process fired, and how long goroutines
// that were ready waited until they ran (99th percentile). It logs when the process becomes late and when it is on time again, keeps the
// metrics, and passes each second to the reducer, which decides whether to accept fewer requests (package selflimit).
//
// The processors that count as available are those that the Go runtime uses (GOMAXPROCS). The runtime rounds a limit of the operating system
// up, and to at least two. A process that may use less than 1.4 processors, or a little more than two, therefore never counts as late by its
// own work.
package owndelay

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
)

const (
	// measureInterval is the length of a measured second.
	measureInterval = time.Second
	// allowanceFactor is how many times its own delay a process allows others.
	allowanceFactor = 2
)

// Monitor measures the delay of this process. Use New to create one. Its methods except LateRead and Allowance are called by one goroutine at a
// time.
type Monitor struct {
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// interval is the interval at which Tick is due.
	interval time.Duration
	// step passes an event to the reducer; nil if no reducer needs it.
	step func(step.Event)
	// read takes a reading of this process. Tests replace it.
	read  func() Reading
	spell spell
	// lastTick is the time of the last Tick, zero before the first. timerLate is the largest lateness of a Tick since the reading before.
	lastTick  time.Time
	timerLate time.Duration
	before    Reading
	// recent is the delay that Allowance is derived from, in nanoseconds.
	recent atomic.Int64
}

// New returns a monitor whose Tick is due at an interval, which must be well below selflimit.LateDelay. It logs to log, records in m, and
// passes a selflimit.OwnDelay for each second to step. step is nil for a process that accepts no callers' requests.
func New(log zerolog.Logger, m *telemetry.Metrics, interval time.Duration, step func(step.Event)) *Monitor {
	return &Monitor{log: log, metrics: m, interval: interval, step: step, read: newReader().read}
}

// Tick measures how late it is called. A process calls it from a timer that it has anyway, since a timer of the monitor's own would cost far
// more than the measurement: each wakes an idle process. Tick must not be called under a lock that step takes.
func (m *Monitor) Tick() {
	now, last := time.Now(), m.lastTick
	m.lastTick = now
	if last.IsZero() {
		m.before = m.read()
		return
	}
	m.timerLate = max(m.timerLate, now.Sub(last)-m.interval)
	if now.Sub(m.before.At) < measureInterval {
		return
	}
	after := m.read()
	s := measure(m.before, after, m.timerLate)
	m.before, m.timerLate = after, 0
	m.Record(s)
}

// Record handles the measurement of one second. Tick calls it.
func (m *Monitor) Record(s Second) {
	m.metrics.OwnDelay.Set(s.Delay)
	switch m.spell.add(s) {
	case started:
		logevent.Warn(m.log, logevent.ProcessLate).Time("late_from", m.spell.from).Dur("delay_ms", s.Delay).Float64("own_share", s.OwnShare).Msg("process late")
	case ended:
		m.logEnd(s)
		m.spell = spell{}
	}
	m.recent.Store(int64(max(s.Delay, m.spell.maxDelay)))
	if m.step != nil {
		m.step(selflimit.OwnDelay{Delay: s.Delay, OwnShare: s.OwnShare})
	}
}

func (m *Monitor) logEnd(s Second) {
	logevent.Info(m.log, logevent.ProcessOnTime).Time("late_from", m.spell.from).Time("late_until", m.spell.until).Dur("delay_ms", s.Delay).
		Dur("max_delay_ms", m.spell.maxDelay).Dur("duration_ms", m.spell.until.Sub(m.spell.from)).Float64("own_share", m.spell.ownShare()).Msg("process on time")
}

// Allowance returns how much longer this process waits for others before it takes them for silent: twice its delay, which is the largest of the
// present spell, or that of the last second if there is none. Sending and reading may each be late. It may be called by any goroutine.
func (m *Monitor) Allowance() time.Duration { return allowanceFactor * time.Duration(m.recent.Load()) }

// LateRead counts a read that was late: its data had already arrived when the time limit for it passed.
func (m *Monitor) LateRead() { m.metrics.LateReads.Add(1) }

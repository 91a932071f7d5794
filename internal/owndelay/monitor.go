// Package owndelay measures how late this process itself is, so that its own delay is not taken for a fault of others: it was suspended, it
// had no processor time, or it had more work than its processors could do.
//
// A Monitor measures one second after another. The delay of a second is the larger of two: how late a timer fired, and how long goroutines
// that were ready waited until they ran (99th percentile). It logs when the process becomes late and when it is on time again, keeps the
// metrics, and passes each second to the reducer, which decides whether to accept fewer requests (package selflimit).
//
// The processors that count as available are those that the Go runtime uses (GOMAXPROCS). The runtime uses at least two, so a process whose
// operating system allows it less than 1.4 processors never counts as late by its own work.
package owndelay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
)

const (
	// tickInterval is the interval of the timer whose lateness is measured. It is below selflimit.LateDelay, so that a shorter delay is
	// not missed, and long enough that the monitor's own work is negligible.
	tickInterval = 100 * time.Millisecond
	// measureInterval is the length of a measured second.
	measureInterval = time.Second
)

// Monitor measures the delay of this process. Use New to create one.
type Monitor struct {
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// step passes an event to the reducer; nil if no reducer needs it.
	step func(step.Event)
	// read takes a reading of this process. Tests replace it.
	read  func() Reading
	spell spell
}

// New returns a monitor that logs to log, records in m, and passes a selflimit.OwnDelay for each second to step. step is nil for a process
// that accepts no callers' requests.
func New(log zerolog.Logger, m *telemetry.Metrics, step func(step.Event)) *Monitor {
	return &Monitor{log: log, metrics: m, step: step, read: newReader().read}
}

// Run measures until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	due, before, timerLate := time.Now().Add(tickInterval), m.read(), time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		timerLate = max(timerLate, now.Sub(due))
		if now.Sub(before.At) >= measureInterval {
			after := m.read()
			m.Record(measure(before, after, timerLate))
			before, timerLate = after, 0
		}
		due = time.Now().Add(tickInterval)
		timer.Reset(tickInterval)
	}
}

// Record handles the measurement of one second. Run calls it; it must not be called at the same time by others.
func (m *Monitor) Record(s Second) {
	m.metrics.OwnDelay.Set(s.Delay)
	switch m.spell.add(s) {
	case started:
		logevent.Warn(m.log, logevent.ProcessLate).Time("late_from", m.spell.from).Dur("delay_ms", s.Delay).Float64("own_share", s.OwnShare).Msg("process late")
	case ended:
		m.logEnd(s)
		m.spell = spell{}
	}
	if m.step != nil {
		m.step(selflimit.OwnDelay{Delay: s.Delay, OwnShare: s.OwnShare})
	}
}

func (m *Monitor) logEnd(s Second) {
	logevent.Info(m.log, logevent.ProcessOnTime).Time("late_from", m.spell.from).Time("late_until", m.spell.until).Dur("delay_ms", s.Delay).
		Dur("max_delay_ms", m.spell.maxDelay).Dur("duration_ms", m.spell.until.Sub(m.spell.from)).Float64("own_share", m.spell.ownShare()).Msg("process on time")
}

// LateRead counts a read that was late: its data had already arrived when the time limit for it passed.
func (m *Monitor) LateRead() { m.metrics.LateReads.Add(1) }

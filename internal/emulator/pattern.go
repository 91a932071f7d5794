package emulator

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// tickEvent is the periodic event of the reducer.
var tickEvent = step.Tick{}

// Pattern is a named load pattern.
type Pattern struct {
	Name string
	// Apply schedules the load and the changes of a fleet. Results are measured only after warmUp.
	Apply func(f *fleet)
	// Engines returns the fraction of the engines that can work at a time; nil means all of them.
	Engines func(at time.Duration) float64
}

const (
	// warmUp is the time before the measurement starts, and measuredTime how long it lasts.
	warmUp       = 4 * time.Second
	measuredTime = 20 * time.Second
	// changeAt is when most patterns change, and changeFor how long the change lasts.
	changeAt  = 10 * time.Second
	changeFor = 6 * time.Second
)

// everyNth calls do for every n-th engine.
func (f *fleet) everyNth(n int, do func(*engine)) {
	for i, e := range f.engines {
		if i%n == 0 {
			do(e)
		}
	}
}

// duringChange calls begin at the start of the change and end at its end.
func (f *fleet) duringChange(begin, end func()) {
	f.simulation.after(changeAt, begin)
	f.simulation.after(changeAt+changeFor, end)
}

// setNotice has every n-th engine report a notice during the change.
func (f *fleet) setNotice(n int, notice catalog.Notice) {
	f.duringChange(
		func() { f.everyNth(n, func(e *engine) { e.notice = notice }) },
		func() { f.everyNth(n, func(e *engine) { e.notice = catalog.Notice{} }) },
	)
}

// Patterns are the load patterns on which policy variants are compared.
var Patterns = []Pattern{
	{Name: "calm", Apply: func(f *fleet) { f.load(0.6) }},
	{Name: "nearly full", Apply: func(f *fleet) { f.load(0.85) }},
	{Name: "steady overload", Apply: func(f *fleet) { f.load(1.25) }},
	{Name: "step", Apply: func(f *fleet) {
		f.load(0.6)
		f.duringChange(func() { f.load(1.4) }, func() { f.load(0.6) })
	}},
	{Name: "skew between data centres", Apply: func(f *fleet) { f.load(0.8, 0.6, 0.2, 0.2) }},
	{Name: "engines that leave", Apply: func(f *fleet) {
		f.load(0.8)
		f.simulation.after(changeAt, func() { f.everyNth(4, func(e *engine) { e.notice.Leaving = true }) })
	}, Engines: func(at time.Duration) float64 {
		if at >= changeAt {
			return 0.75
		}
		return 1
	}},
	{Name: "engines that join empty", Apply: func(f *fleet) {
		f.load(1.1)
		f.simulation.after(changeAt, func() {
			for i := range f.setup.Centres * f.setup.Engines / 3 {
				f.addEngine(i%f.setup.Centres, fmt.Sprintf("joined-%d", i))
			}
		})
	}, Engines: func(at time.Duration) float64 {
		if at >= changeAt {
			return 4.0 / 3
		}
		return 1
	}},
	{Name: "engines that load in turn", Apply: func(f *fleet) {
		f.load(0.8)
		for i, e := range f.engines {
			at := changeAt + changeFor*time.Duration(i)/time.Duration(len(f.engines))
			f.simulation.after(at, func() { e.notAccepting = true })
			f.simulation.after(at+1900*time.Millisecond, func() { e.notAccepting = false })
		}
	}},
	{Name: "engines that turn slow", Apply: func(f *fleet) {
		f.load(0.75)
		f.duringChange(func() { f.everyNth(6, func(e *engine) { e.slowdown = 4 }) }, func() { f.everyNth(6, func(e *engine) { e.slowdown = 1 }) })
	}},
	{Name: "engines that name a limit", Apply: func(f *fleet) {
		f.load(0.8)
		f.setNotice(4, catalog.Notice{Limited: true, RateLimit: 2})
	}},
	{Name: "engines that send Retry-After", Apply: func(f *fleet) {
		f.load(0.8)
		f.setNotice(4, catalog.Notice{RetryAfter: 3 * time.Second})
	}},
}

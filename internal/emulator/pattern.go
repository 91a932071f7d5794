package emulator

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// tickEvent is the event of time that passes.
var tickEvent = step.Tick{}

// Pattern is a load with a name.
type Pattern struct {
	Name string
	// Play has things happen in a fleet; warmUp has passed when a play is looked at.
	Play func(f *fleet)
	// Engines is the part of the engines that can work at a moment; nil for all.
	Engines func(at time.Duration) float64
}

const (
	// warmUp is the time before a play is looked at, and playTime how long it is.
	warmUp   = 4 * time.Second
	playTime = 20 * time.Second
	// changeAt is when most patterns change, and changeFor how long that lasts.
	changeAt  = 10 * time.Second
	changeFor = 6 * time.Second
)

// some calls do for every n-th engine.
func (f *fleet) some(n int, do func(*engine)) {
	for i, e := range f.engines {
		if i%n == 0 {
			do(e)
		}
	}
}

// change has something happen at the time of the change, and something else at its end.
func (f *fleet) change(begin, end func()) {
	f.world.after(changeAt, begin)
	f.world.after(changeAt+changeFor, end)
}

// say has every n-th engine say something of itself during the change.
func (f *fleet) say(n int, notice catalog.Notice) {
	f.change(
		func() { f.some(n, func(e *engine) { e.notice = notice }) },
		func() { f.some(n, func(e *engine) { e.notice = catalog.Notice{} }) },
	)
}

// Patterns are the loads that ways of deciding are compared on.
var Patterns = []Pattern{
	{Name: "calm", Play: func(f *fleet) { f.load(0.6) }},
	{Name: "nearly full", Play: func(f *fleet) { f.load(0.85) }},
	{Name: "steady overload", Play: func(f *fleet) { f.load(1.25) }},
	{Name: "step", Play: func(f *fleet) {
		f.load(0.6)
		f.change(func() { f.load(1.4) }, func() { f.load(0.6) })
	}},
	{Name: "skew between data centres", Play: func(f *fleet) { f.load(0.8, 0.6, 0.2, 0.2) }},
	{Name: "engines that leave", Play: func(f *fleet) {
		f.load(0.8)
		f.world.after(changeAt, func() { f.some(4, func(e *engine) { e.notice.Leaving = true }) })
	}, Engines: func(at time.Duration) float64 {
		if at >= changeAt {
			return 0.75
		}
		return 1
	}},
	{Name: "engines that join empty", Play: func(f *fleet) {
		f.load(1.1)
		f.world.after(changeAt, func() {
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
	{Name: "engines that load in turn", Play: func(f *fleet) {
		f.load(0.8)
		for i, e := range f.engines {
			at := changeAt + changeFor*time.Duration(i)/time.Duration(len(f.engines))
			f.world.after(at, func() { e.away = true })
			f.world.after(at+1900*time.Millisecond, func() { e.away = false })
		}
	}},
	{Name: "engines that turn slow", Play: func(f *fleet) {
		f.load(0.75)
		f.change(func() { f.some(6, func(e *engine) { e.slow = 4 }) }, func() { f.some(6, func(e *engine) { e.slow = 1 }) })
	}},
	{Name: "engines that name a limit", Play: func(f *fleet) {
		f.load(0.8)
		f.say(4, catalog.Notice{Limited: true, RateLimit: 2})
	}},
	{Name: "engines that send Retry-After", Play: func(f *fleet) {
		f.load(0.8)
		f.say(4, catalog.Notice{RetryAfter: 3 * time.Second})
	}},
}

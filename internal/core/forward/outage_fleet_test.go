package forward_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

const (
	outageEntries, outageEngines, outageSlots = 4, 8, 12
	// With 0.9 s per request, the engines complete 107 requests a second.
	outageRunTime   = 900 * time.Millisecond
	outageReadTime  = 40 * time.Millisecond
	outageObjective = 820 * time.Millisecond
	outageBudget    = 6 * time.Second
	outageCaller    = 3200 * time.Millisecond
	outageBegin     = 5 * time.Second
	outageLength    = 6 * time.Second
	outageReport    = 90 * time.Millisecond
)

// outageFleet simulates entries, engines and callers in one data centre while all engines are without weights for some time.
type outageFleet struct {
	random  *rand.Rand
	now     time.Duration
	entries []*rig
	engines []*outageEngine
	calls   map[uint64]*outageCall
	nextID  uint64
	// load is the number of first tries per second, and predict returns what an engine's agent reports about the end; 0 for nothing. impatient callers return at once, up to four times.
	load      float64
	predict   func(f *outageFleet, engine int) time.Duration
	dead      func(f *outageFleet, engine int) bool
	impatient bool
	// strict counts Retry-After delays that callers do not follow as badRetries.
	strict     bool
	badRetries int
	returns    []*outageCall
	// inTime, late and lost count the callers by what they got, and left those of the lost that left without any answer. inVain is the
	// longest wait that ended in a refusal.
	inTime, late, lost, left int
	inVain                   time.Duration
	waits                    map[forward.WaitDecision]int
}

type outageEngine struct {
	readyAt, busyUntil time.Duration
	running            []*outageCall
}

type outageCall struct {
	id                               uint64
	entry, tries                     int
	first, arrived, started, returns time.Duration
	endsAt                           time.Duration
}

func newOutageFleet(seed uint64, load float64, predict func(*outageFleet, int) time.Duration) *outageFleet {
	f := &outageFleet{random: rand.New(rand.NewPCG(seed, 2)), calls: map[uint64]*outageCall{}, load: load, predict: predict, waits: map[forward.WaitDecision]int{}}
	for e := range outageEntries {
		f.entries = append(f.entries, newOutageRig())
		f.entries[e].rand = uint64(e) * 7919
	}
	for i := range outageEngines {
		f.engines = append(f.engines, &outageEngine{readyAt: outageBegin + outageLength + time.Duration(i)*50*time.Millisecond})
	}
	return f
}

// newOutageRig returns an entry of the fleet.
func newOutageRig() *rig {
	r := newRig()
	m := *r.state.Catalog.Manifest
	stream := *m.Route("h", resumableStream)
	stream.Objective, stream.CallerTimeout, stream.Timeout = outageObjective, outageCaller, outageBudget
	m = *catalog.NewManifest(2, []*catalog.Route{&stream}, map[string]*catalog.ClientAccount{"key-1": {Name: "karrakin"}})
	m.Services = map[string]*catalog.Service{"model": {Name: "model", Engine: &catalog.Engine{Slots: outageSlots, PromptTokensPerSecond: 25000, MeanPromptTokens: 1000, Models: []string{"m"}}}}
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 2}, Manifest: &m})
	for i := range outageEngines {
		r.add(fmt.Sprint(i), "model", "perth-a", outageSlots)
	}
	return r
}

// out reports whether the engines are without weights.
func (f *outageFleet) out() bool { return f.now >= outageBegin && f.now < outageBegin+outageLength }

// value weighs a late answer as callers do on average.
func (f *outageFleet) value() float64 { return float64(f.inTime) + 0.45*float64(f.late) }

// run simulates until all callers that arrived until end have their answer.
func (f *outageFleet) run(end time.Duration) *outageFleet {
	for ; f.now < end+outageBudget; f.now += 10 * time.Millisecond {
		for i := range f.engines {
			f.runEngine(i)
		}
		for e, r := range f.entries {
			if r.now = f.now; f.now%(20*time.Millisecond) == 0 {
				f.apply(e, r.step(step.Tick{}))
			}
		}
		if f.now < end && f.random.Float64() < f.load/100 {
			f.nextID++
			f.arrive(&outageCall{first: f.now, entry: f.random.IntN(outageEntries)})
		}
		due := f.returns
		f.returns = nil
		for _, c := range due {
			if c.returns > f.now {
				f.returns = append(f.returns, c)
				continue
			}
			c.entry = (c.entry + 1 + f.random.IntN(outageEntries-1)) % outageEntries
			f.arrive(c)
		}
		f.leave()
	}
	return f
}

func (f *outageFleet) accepts(i int) bool {
	return f.now < outageBegin || f.now >= f.engines[i].readyAt
}

// runEngine completes an engine's requests and reports its load.
func (f *outageFleet) runEngine(i int) {
	g := f.engines[i]
	for _, c := range slices.Clone(g.running) {
		if c.started > 0 && f.now >= c.started && c.endsAt == 0 {
			c.endsAt = c.started + outageRunTime
			f.apply(c.entry, f.entries[c.entry].step(forward.Started{ID: c.id}))
		}
		if c.endsAt > 0 && f.now >= c.endsAt {
			g.running = slices.DeleteFunc(g.running, func(o *outageCall) bool { return o == c })
			delete(f.calls, c.id)
			if c.started-c.first <= outageObjective {
				f.inTime++
			} else {
				f.late++
			}
			f.apply(c.entry, f.entries[c.entry].step(forward.AttemptEnded{ID: c.id, Outcome: forward.Answered}))
		}
	}
	if (f.now+time.Duration(i)*10*time.Millisecond)%outageReport != 0 || f.dead != nil && f.dead(f, i) {
		return
	}
	report := forward.LoadReported{Address: fmt.Sprint(i), RequestCount: len(g.running), Entries: outageEntries, NearEntries: outageEntries, Versions: map[string]int64{"m": 1}}
	if !f.accepts(i) {
		report.Versions, report.ReadyIn, report.ReadyVersion = nil, f.predict(f, i), 1
	}
	for e, r := range f.entries {
		f.apply(e, r.step(report))
	}
}

func (f *outageFleet) arrive(c *outageCall) {
	f.nextID++
	c.id, c.arrived = f.nextID, f.now
	c.tries++
	f.calls[c.id] = c
	left := outageBudget - (f.now - c.first)
	f.entries[c.entry].now = f.now
	f.apply(c.entry, f.entries[c.entry].step(forward.Arrived{
		ID: c.id, Host: "h", Path: resumableStream + "x", Key: "key-1", Model: "m", Budget: left, PromptTokens: 1000, MaxAnswerTokens: 100, Size: 4000,
	}))
}

func (f *outageFleet) apply(entry int, effects []step.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Send:
			c, i := f.calls[e.ID], int(e.Upstream.ID[0]-'0')
			g := f.engines[i]
			g.busyUntil = max(g.busyUntil, f.now) + outageReadTime
			c.started = g.busyUntil
			g.running = append(g.running, c)
		case forward.WaitDecided:
			f.waits[e.Decision]++
		case forward.Refuse:
			f.refuse(f.calls[e.ID], e)
		}
	}
}

// refuse has a caller return as the platform's clients do.
func (f *outageFleet) refuse(c *outageCall, e forward.Refuse) {
	delete(f.calls, c.id)
	f.inVain = max(f.inVain, f.now-c.arrived)
	left := outageBudget - (f.now - c.first)
	if e.RetryAfter < 950*time.Millisecond || f.now > outageBegin+time.Second && f.out() && e.RetryAfter > max(left/3, 950*time.Millisecond) && f.strict {
		f.badRetries++
	}
	switch {
	case f.impatient && c.tries < 5 && left > 0:
		c.returns = f.now + 10*time.Millisecond
	case c.tries < 2 && left > 0:
		c.returns = f.now + min(e.RetryAfter, left/3)
	default:
		f.lost++
		return
	}
	f.returns = append(f.returns, c)
}

// leave has the callers leave that have waited for too long.
func (f *outageFleet) leave() {
	for id := uint64(1); id <= f.nextID; id++ {
		if c := f.calls[id]; c != nil && f.now-c.arrived > outageCaller && (c.started == 0 || c.started > f.now) {
			f.lost++
			f.left++
			delete(f.calls, id)
			for _, g := range f.engines {
				g.running = slices.DeleteFunc(g.running, func(o *outageCall) bool { return o == c })
			}
			f.apply(c.entry, f.entries[c.entry].step(forward.CallerGone{ID: id}))
		}
	}
}

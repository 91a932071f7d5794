package forward_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// The users' rules on a part of the prompt that crashes engines: from contactTime after the fifth crash on, at most three more requests
// with it reach engines. From twice that time on, sound requests begin at least half as often as before.
const (
	contactTime      = 3 * time.Second
	toleratedCrashes = 5
	maxLaterRequests = 3
	minSoundShare    = 0.5
)

// The parts of the simulation's prompts. Each sound request has commonPart and one of many subjects.
const (
	commonPart attribution.Part = iota + 1
	crashPart
	firstSubject
)

// partSimulation simulates entries, and engines with their agents. Requests with one part crash engines; sound requests share the caller and
// their other parts with them. Messages take random times, and datagrams get lost, so each process sees a part of the crashes in an order
// of its own. A seed makes runs repeatable.
type partSimulation struct {
	simulatedTime
	t       *testing.T
	entries []*partEntry
	engines map[string]*partEngine
	names   []string
	nextID  uint64
	// loss is the percentage of datagrams that are lost. subjects is the number of subjects.
	loss, subjects int
	// sticky is set if all sound requests about one subject come through one entry, and all requests that crash engines are about one
	// subject.
	sticky bool
	// crashes are the times of crashes, reached those at which requests with the part reached engines, by entries that had been in touch for
	// contactTime.
	crashes, reached []time.Duration
	sound            []*soundRequest
	// wronglyStopped are the sound parts that were quarantined at some entry.
	wronglyStopped map[attribution.Part]bool
}

// soundRequest is a request without the part that crashes engines.
type soundRequest struct {
	sent  time.Duration
	begun bool
}

type partEntry struct {
	*rig
	// inTouchFrom is when the entry has been in touch for contactTime; frozenUntil ends its freeze.
	inTouchFrom, frozenUntil time.Duration
	// cutUntil is until when all of its datagrams are lost, in both directions.
	cutUntil    time.Duration
	heartbeatAt time.Duration
	requests    map[uint64]*partRequest
	// found counts what the entry observed of crashes, and schedule decides when it sends that.
	found    uint64
	schedule attribution.Schedule
}

type partRequest struct {
	parts []attribution.Part
	sound *soundRequest
	// attempt is the number of the current attempt, and begun is set once its engine began the answer.
	attempt int
	begun   bool
}

type partEngine struct {
	name      string
	startedAt int64
	down      bool
	parts     *attribution.Table
	// schedules decide when the agent sends what it knows to each entry.
	schedules map[*partEntry]*attribution.Schedule
	// running are the attempts that the engine has.
	running map[*partRun]bool
}

type partRun struct {
	entry *partEntry
	id    uint64
	send  forward.Send
}

const (
	partSoundRate    = 60
	partCrashRate    = 12
	partCrashStart   = 5 * time.Second
	partEnd          = 20 * time.Second
	partRestartTime  = 2500 * time.Millisecond
	partMeanQueue    = 80 * time.Millisecond
	partCrashDelay   = 60 * time.Millisecond
	partAnswerTime   = 1200 * time.Millisecond
	evidenceInterval = 100 * time.Millisecond
)

func newPartSimulation(t *testing.T, seed uint64, entries, engines int) *partSimulation {
	c := &partSimulation{t: t, simulatedTime: simulatedTime{rng: rand.New(rand.NewPCG(seed, 1))}, engines: map[string]*partEngine{}, loss: 5, subjects: 30, wronglyStopped: map[attribution.Part]bool{}}
	for i := range engines {
		name := fmt.Sprintf("m%d", i)
		c.names = append(c.names, name)
		c.engines[name] = &partEngine{name: name, startedAt: 1, parts: attribution.NewTable(attribution.Observer{}), running: map[*partRun]bool{}, schedules: map[*partEntry]*attribution.Schedule{}}
		c.repeat(reportInterval, func() bool { c.sendReports(c.engines[name]); return true })
	}
	for range entries {
		c.startEntry()
	}
	return c
}

// startEntry adds an entry that knows the engines and no crashes.
func (c *partSimulation) startEntry() *partEntry {
	e := &partEntry{rig: newNamedRig(fmt.Sprintf("entry-%d", len(c.entries))), requests: map[uint64]*partRequest{}}
	if c.now > 0 {
		e.inTouchFrom = c.now + contactTime
	}
	e.rand = c.rng.Uint64()
	for _, name := range c.names {
		e.register(name, c.engines[name].startedAt)
	}
	c.entries = append(c.entries, e)
	c.repeat(20*time.Millisecond, func() bool { c.step(e, step.Tick{}); return true })
	c.repeat(heartbeatInterval, func() bool { c.sendHeartbeats(e); return true })
	return e
}

// arrivals sends requests at random times with a mean rate per second, from a time until the end.
func (c *partSimulation) arrivals(rate float64, from, to time.Duration, send func()) {
	var next func()
	next = func() {
		if c.now < to {
			send()
			c.after(c.randomDelay(time.Duration(float64(time.Second)/rate)), next)
		}
	}
	c.after(from, next)
}

// play sends sound requests from the beginning, and requests with the part from partCrashStart on.
func (c *partSimulation) play(crashParts func() []attribution.Part) {
	c.arrivals(partSoundRate, 0, partEnd-2*time.Second, func() {
		r := &soundRequest{sent: c.now}
		c.sound = append(c.sound, r)
		subject, entry := c.subject(), c.rng.IntN(len(c.entries))
		if c.sticky {
			entry = int(subject) % len(c.entries)
		}
		c.arrive(c.entries[entry], []attribution.Part{commonPart, subject}, r)
	})
	c.arrivals(partCrashRate, partCrashStart, partEnd, func() {
		c.arrive(c.entries[c.rng.IntN(len(c.entries))], crashParts(), nil)
	})
	c.runUntil(partEnd)
}

func (c *partSimulation) subject() attribution.Part {
	return firstSubject + attribution.Part(c.rng.IntN(c.subjects))
}

func (c *partSimulation) arrive(e *partEntry, parts []attribution.Part, sound *soundRequest) {
	c.nextID++
	id := c.nextID
	e.requests[id] = &partRequest{parts: parts, sound: sound}
	c.deliver(func() {
		c.step(e, forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Fingerprint: c.rng.Uint64(), SharedParts: parts})
	})
}

// step passes an event to an entry once it is not frozen, and carries out the effects.
func (c *partSimulation) step(e *partEntry, ev step.Event) {
	if c.now < e.frozenUntil {
		if _, tick := ev.(step.Tick); !tick {
			c.after(e.frozenUntil-c.now, func() { c.step(e, ev) })
		}
		return
	}
	e.now = c.now
	for _, effect := range e.step(ev) {
		switch effect := effect.(type) {
		case forward.CrashEvidenceFound:
			e.found++
			if c.now-e.heartbeatAt >= evidenceInterval {
				c.sendHeartbeats(e)
			}
		case forward.PartQuarantineChanged:
			stops := effect.Kind == attribution.Started || effect.Kind == attribution.Reported
			if stops && effect.Part != crashPart {
				c.wronglyStopped[effect.Part] = true
			}
			if effect.Kind == attribution.Started || effect.Kind == attribution.Lifted {
				e.found++
				c.sendHeartbeats(e)
			}
		case forward.Send:
			r := e.requests[effect.ID]
			r.attempt, r.begun = effect.Attempt, false
			c.deliver(func() { c.runAttempt(&partRun{entry: e, id: effect.ID, send: effect}) })
		case forward.Withdraw:
			c.withdraw(e, effect)
		}
	}
}

// sendReports has an agent send its engine's load and what it knows of crashes to all entries.
func (c *partSimulation) sendReports(g *partEngine) {
	report := forward.LoadReported{Address: g.name, StartedAt: g.startedAt, RequestCount: len(g.running), Entries: len(c.entries), NearEntries: len(c.entries)}
	if !g.down {
		report.Versions = map[string]int64{"m": 1}
	}
	known := g.parts.Report(begin.Add(c.now))
	for _, e := range c.entries {
		if c.now < e.cutUntil {
			continue
		}
		c.datagram(c.loss, func() { c.step(e, report) })
		if g.schedules[e] == nil {
			g.schedules[e] = &attribution.Schedule{}
		}
		if g.schedules[e].Due(begin.Add(c.now), g.parts.Changes()) {
			c.datagram(c.loss, func() { c.step(e, forward.PartsReported{Parts: known}) })
		}
	}
}

// sendHeartbeats has an entry send what it knows of crashes to all agents.
func (c *partSimulation) sendHeartbeats(e *partEntry) {
	if c.now < e.frozenUntil || c.now < e.cutUntil {
		return
	}
	e.heartbeatAt = c.now
	if !e.schedule.Due(begin.Add(c.now), e.found) {
		return
	}
	known := e.state.Parts.Report(begin.Add(c.now))
	for _, name := range c.names {
		c.datagram(c.loss, func() { c.engines[name].parts.Merge(begin.Add(c.now), known) })
	}
}

// runAttempt has an engine begin an attempt after a while. It crashes if the request has the part.
func (c *partSimulation) runAttempt(run *partRun) {
	g := c.engines[run.send.Upstream.ID]
	if g.down || g.startedAt != run.send.Upstream.StartedAt {
		c.end(run, forward.NotSent)
		return
	}
	r := run.entry.requests[run.id]
	if slices.Contains(r.parts, crashPart) && c.now >= run.entry.inTouchFrom {
		c.reached = append(c.reached, c.now)
	}
	g.running[run] = true
	c.after(c.randomDelay(partMeanQueue), func() {
		if !g.running[run] {
			return
		}
		r.begun = true
		if r.sound != nil && run.send.Attempt == 1 {
			r.sound.begun = true
		}
		if slices.Contains(r.parts, crashPart) {
			c.after(partCrashDelay, func() {
				if g.running[run] {
					c.crash(g)
				}
			})
			return
		}
		c.deliver(func() { c.step(run.entry, forward.Started{ID: run.id}) })
		c.after(partAnswerTime, func() {
			if g.running[run] {
				delete(g.running, run)
				c.end(run, forward.Answered)
			}
		})
	})
}

// crash ends an engine's instance: its attempts break, and nearly all entries find at once that it is down.
func (c *partSimulation) crash(g *partEngine) {
	c.crashes = append(c.crashes, c.now)
	g.down = true
	runs := make([]*partRun, 0, len(g.running))
	for run := range g.running {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *partRun) int { return int(a.id) - int(b.id) })
	clear(g.running)
	for _, run := range runs {
		found := c.rng.IntN(10) > 0
		c.deliver(func() {
			if found {
				c.step(run.entry, forward.UpstreamDown{Upstream: run.send.Upstream.Instance()})
			}
			c.step(run.entry, forward.AttemptEnded{ID: run.id, Outcome: forward.Broken})
		})
	}
	c.after(partRestartTime, func() {
		g.startedAt++
		g.down = false
		for _, e := range c.entries {
			c.deliver(func() { e.register(g.name, g.startedAt) })
		}
	})
}

// withdraw ends an attempt that its engine has not begun.
func (c *partSimulation) withdraw(e *partEntry, effect forward.Withdraw) {
	for _, name := range c.names {
		for run := range c.engines[name].running {
			if run.entry == e && run.id == effect.ID && run.send.Attempt == effect.Attempt && !e.requests[run.id].begun {
				delete(c.engines[name].running, run)
				c.end(run, forward.Withdrawn)
				return
			}
		}
	}
}

func (c *partSimulation) end(run *partRun, o forward.Outcome) {
	c.deliver(func() { c.step(run.entry, forward.AttemptEnded{ID: run.id, Outcome: o}) })
}

// check checks the users' rules, and that no part of sound requests stays quarantined.
func (c *partSimulation) check(name string) {
	require.NotEmpty(c.t, c.crashes, name)
	last := c.crashes[min(len(c.crashes), toleratedCrashes)-1]
	late := 0
	for _, at := range c.reached {
		if len(c.crashes) >= toleratedCrashes && at > last+contactTime {
			late++
		}
	}
	require.LessOrEqual(c.t, late, maxLaterRequests, "%s: %d crashes", name, len(c.crashes))
	var all, begun [2]int
	for _, r := range c.sound {
		phase := 0
		if r.sent >= last+2*contactTime {
			phase = 1
		} else if r.sent >= partCrashStart {
			continue
		}
		all[phase]++
		if r.begun {
			begun[phase]++
		}
	}
	before, after := float64(begun[0])/float64(all[0]), float64(begun[1])/float64(all[1])
	require.GreaterOrEqual(c.t, after, minSoundShare*before, "%s: %d crashes, sound requests begun %.2f before, %.2f after", name, len(c.crashes), before, after)
	require.NotContains(c.t, c.wronglyStopped, commonPart, name)
	for _, e := range c.entries {
		for p := range c.wronglyStopped {
			require.False(c.t, e.state.Parts.Quarantined(p), "%s: part %v", name, p)
		}
	}
}

// TestPartThatCrashesEnginesIsStoppedEverywhere guards against blaming too late, or the wrong one of several shared parts, where each entry sees
// a few of the crashes, datagrams get lost, an entry freezes and another one starts meanwhile.
func TestPartThatCrashesEnginesIsStoppedEverywhere(t *testing.T) {
	t.Parallel()
	for _, fault := range []struct {
		name   string
		inject func(*partSimulation)
	}{
		{"none", func(*partSimulation) {}},
		{"a third of the datagrams is lost", func(c *partSimulation) { c.loss = 33 }},
		{"an entry freezes", func(c *partSimulation) {
			e := c.entries[0]
			c.after(partCrashStart+time.Duration(c.rng.Int64N(int64(time.Second))), func() {
				e.frozenUntil = c.now + 2*time.Second
				e.inTouchFrom = e.frozenUntil + contactTime
			})
		}},
		{"an entry's datagrams are all lost", func(c *partSimulation) {
			c.after(partCrashStart, func() {
				c.entries[0].cutUntil = c.now + 4*time.Second
				c.entries[0].inTouchFrom = c.entries[0].cutUntil + contactTime
			})
		}},
		{"an entry starts", func(c *partSimulation) {
			c.after(partCrashStart+time.Duration(c.rng.Int64N(int64(2*time.Second))), func() { c.startEntry() })
		}},
		{"one subject, which one entry answers", func(c *partSimulation) { c.sticky, c.subjects = true, 12 }},
		{"many subjects, each asked for seldom", func(c *partSimulation) { c.subjects = 2000 }},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []struct{ entries, engines int }{{1, 9}, {4, 15}, {12, 40}} {
				for seed := range uint64(6) {
					c := newPartSimulation(t, seed, size.entries, size.engines)
					fault.inject(c)
					c.play(func() []attribution.Part {
						if c.sticky {
							return []attribution.Part{commonPart, firstSubject, crashPart}
						}
						if c.rng.IntN(3) == 0 {
							return []attribution.Part{commonPart, c.subject(), crashPart}
						}
						return []attribution.Part{commonPart, crashPart}
					})
					name := fmt.Sprintf("%d entries, %d engines, seed %d", size.entries, size.engines, seed)
					c.check(name)
					t.Logf("%s: %d crashes, wrongly stopped for a while %v", name, len(c.crashes), c.wronglyStopped)
				}
			}
		})
	}
}

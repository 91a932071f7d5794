package forward_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// meanDelay is the mean network delay of a message. meanRun is the mean time until an engine starts a request, and until it
	// crashes.
	meanDelay = 3 * time.Millisecond
	meanRun   = 60 * time.Millisecond
	// lossPercent is the percentage of datagrams that are lost.
	lossPercent = 5
	// reportInterval and heartbeatInterval are how often agents send load reports and entries send heartbeats.
	reportInterval    = 100 * time.Millisecond
	heartbeatInterval = time.Second
	// restartTime is how long a crashed engine is down.
	restartTime = 4 * time.Second
	// quarantineDelay is a requirement of the users: a request that crashed three upstreams is not sent any more from this time
	// after the third crash.
	quarantineDelay = 3 * time.Second
	// simulationEnd is the length of a run, and callersStopAt is when callers stop retrying.
	callersStopAt = 12 * time.Second
	simulationEnd = 20 * time.Second
)

// crashSimulation simulates entries, and engines with their agents, that handle copies of a request which crashes engines. The
// network delays each message by a random time and loses some datagrams, so each process sees its own order of events. A seed makes
// runs repeatable.
type crashSimulation struct {
	simulatedTime
	t       *testing.T
	entries []*crashEntry
	engines map[string]*crashEngine
	names   []string
	nextID  uint64
	// crashTimes are the times of the engines' crashes. countedSends are the times of the copies sent by entries that had run for at
	// least quarantineDelay or from the beginning.
	crashTimes   []time.Duration
	countedSends []time.Duration
	// singleTry is set if an entry's callers do not send another copy after one has ended.
	singleTry bool
}

type crashEntry struct {
	*rig
	number  int
	started time.Duration
	ended   bool
	// unsettled counts the copies that have not ended.
	unsettled int
}

type crashEngine struct {
	name      string
	startedAt int64
	down      bool
	crashes   *quarantine.Table
}

func newCrashSimulation(t *testing.T, seed uint64, entries, engines int) *crashSimulation {
	c := &crashSimulation{t: t, simulatedTime: simulatedTime{rng: rand.New(rand.NewPCG(seed, seed))}, engines: map[string]*crashEngine{}}
	for i := range engines {
		name := fmt.Sprintf("m%d", i)
		c.names = append(c.names, name)
		c.engines[name] = &crashEngine{name: name, startedAt: 1, crashes: quarantine.NewTable()}
		c.repeat(reportInterval, func() bool { c.sendReports(c.engines[name]); return true })
	}
	for range entries {
		c.startEntry()
	}
	return c
}

// startEntry adds an entry that knows the engines and no crashes.
func (c *crashSimulation) startEntry() {
	e := &crashEntry{rig: newRig(), number: len(c.entries), started: c.now}
	e.rand = c.rng.Uint64()
	for _, name := range c.names {
		e.register(name, 1)
	}
	c.entries = append(c.entries, e)
	c.repeat(20*time.Millisecond, func() bool { c.step(e, step.Tick{}); return !e.ended })
	c.repeat(heartbeatInterval, func() bool { c.sendHeartbeats(e); return !e.ended })
}

func (c *crashSimulation) run() { c.runUntil(simulationEnd) }

// sendReports has an agent send its engine's load report and the crashes that it knows of to all entries.
func (c *crashSimulation) sendReports(g *crashEngine) {
	report := forward.LoadReported{Address: g.name, StartedAt: g.startedAt, Entries: len(c.entries), NearEntries: len(c.entries)}
	if !g.down {
		report.Versions = map[string]int64{"m": 1}
	}
	known := g.crashes.Reports(begin.Add(c.now))
	for _, e := range c.entries {
		c.datagram(lossPercent, func() {
			c.step(e, report)
			c.step(e, forward.CrashesReported{Reports: known})
		})
	}
}

// sendHeartbeats has an entry send the crashes that it knows of to all agents.
func (c *crashSimulation) sendHeartbeats(e *crashEntry) {
	known := e.state.Crashes.Reports(begin.Add(c.now))
	for _, name := range c.names {
		c.datagram(lossPercent, func() { c.engines[name].crashes.Merge(begin.Add(c.now), known) })
	}
}

// sendCopy has a caller send a copy through an entry. It sends the next one when this one has ended.
func (c *crashSimulation) sendCopy(e *crashEntry) {
	if c.now >= callersStopAt || e.ended {
		return
	}
	c.nextID++
	id := c.nextID
	e.unsettled++
	c.deliver(func() {
		c.step(e, forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Fingerprint: crashingFingerprint})
	})
}

func (c *crashSimulation) step(e *crashEntry, ev step.Event) {
	if e.ended {
		return
	}
	e.now = c.now
	for _, effect := range e.step(ev) {
		switch effect := effect.(type) {
		case forward.QuarantineStarted:
			c.sendHeartbeats(e)
		case forward.Send:
			if c.now-e.started >= quarantineDelay || e.started == 0 {
				c.countedSends = append(c.countedSends, c.now)
			}
			c.deliver(func() { c.runCopy(e, effect) })
		case forward.Refuse, forward.Abort:
			e.unsettled--
			if !c.singleTry {
				c.after(c.randomDelay(meanRun), func() { c.sendCopy(e) })
			}
		}
	}
}

// runCopy has an engine start a copy and crash, in half of the cases after a first event.
func (c *crashSimulation) runCopy(e *crashEntry, send forward.Send) {
	g := c.engines[send.Upstream.ID]
	if g.down {
		c.deliver(func() { c.step(e, forward.AttemptEnded{ID: send.ID, Outcome: forward.NotSent}) })
		return
	}
	startedAt, partial := g.startedAt, c.rng.IntN(2) == 0
	if partial {
		c.after(c.randomDelay(meanRun), func() { c.step(e, forward.Started{ID: send.ID}) })
	}
	c.after(c.randomDelay(meanRun), func() {
		if !g.down && g.startedAt == startedAt {
			c.crash(g)
		}
		c.deliver(func() { c.step(e, forward.AttemptEnded{ID: send.ID, Outcome: forward.Broken, Partial: partial}) })
	})
}

func (c *crashSimulation) crash(g *crashEngine) {
	c.crashTimes = append(c.crashTimes, c.now)
	g.down = true
	c.after(restartTime, func() {
		g.startedAt++
		g.down = false
		for _, e := range c.entries {
			c.deliver(func() { e.register(g.name, g.startedAt) })
		}
	})
}

// checkBounds checks the limits on the damage by one request. Each entry that has not received the others' crashes crashes at most
// three upstreams, however many copies it gets at once, and no entry sends a copy later than quarantineDelay after the third crash
// overall.
func (c *crashSimulation) checkBounds(name string) {
	require.GreaterOrEqual(c.t, len(c.crashTimes), quarantine.CrashThreshold, name)
	require.LessOrEqual(c.t, len(c.crashTimes), quarantine.CrashThreshold*len(c.entries), name)
	third := c.crashTimes[quarantine.CrashThreshold-1]
	for _, at := range c.countedSends {
		require.LessOrEqual(c.t, at, third+quarantineDelay, "%s: sent %v after the third crash", name, at-third)
	}
	for _, e := range c.entries {
		require.True(c.t, e.ended || e.unsettled == 0, "%s: each copy has ended", name)
	}
}

// TestCrashesPerRequestAreBoundedOverAllEntries guards against entries that count crashes separately, or that send more copies
// while the first ones are running. Callers send the request through all entries, with several concurrent copies at each.
func TestCrashesPerRequestAreBoundedOverAllEntries(t *testing.T) {
	t.Parallel()
	const seeds, engines = 12, 40
	for _, entries := range []int{1, 2, 4, 8} {
		for _, callers := range []int{1, 3} {
			for seed := range uint64(seeds) {
				c := newCrashSimulation(t, seed, entries, engines)
				for _, e := range c.entries {
					for range callers {
						c.after(time.Second+c.randomDelay(meanRun), func() { c.sendCopy(e) })
					}
				}
				c.run()
				c.checkBounds(fmt.Sprintf("%d entries, %d callers each, seed %d", entries, callers, seed))
			}
		}
	}
}

// TestCrashesPerRequestAreBoundedForACallerThatRotatesEntries guards against a request that is never quarantined because each entry
// sees only one or two of its crashes. Callers use another entry for each try, with a pause in between.
func TestCrashesPerRequestAreBoundedForACallerThatRotatesEntries(t *testing.T) {
	t.Parallel()
	const seeds, engines, entries, pause = 6, 60, 12, 500 * time.Millisecond
	for _, callers := range []int{1, 3} {
		for seed := range uint64(seeds) {
			c := newCrashSimulation(t, seed, entries, engines)
			next := 0
			for range callers {
				c.repeat(pause, func() bool {
					next++
					c.sendCopy(c.entries[next%entries])
					return c.now < callersStopAt
				})
			}
			c.singleTry = true
			c.run()
			c.checkBounds(fmt.Sprintf("%d callers, seed %d", callers, seed))
		}
	}
}

// TestStartedEntryReceivesQuarantines guards against an entry that starts during a quarantine and sends the request because it does
// not know of it. The entry starts at a different time of the quarantine in each run.
func TestStartedEntryReceivesQuarantines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(15) {
		c := newCrashSimulation(t, seed, 3, 20)
		for _, e := range c.entries {
			c.after(time.Second, func() { c.sendCopy(e) })
		}
		c.after(2*time.Second+time.Duration(seed)*450*time.Millisecond, func() {
			c.entries[0].ended = true
			c.startEntry()
			started := c.entries[len(c.entries)-1]
			c.after(quarantineDelay, func() { c.sendCopy(started) })
		})
		c.run()
		c.checkBounds(fmt.Sprintf("seed %d", seed))
	}
}

package forward_test

import (
	"container/heap"
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
	// meanWay is the mean of the random time that a message takes, and meanRun that of an engine until it begins, and until it goes down.
	meanWay = 3 * time.Millisecond
	meanRun = 60 * time.Millisecond
	// lossOf is how many datagrams of a hundred get lost.
	lossOf = 5
	// reportsEvery and greetsEvery are how often agents and entries speak.
	reportsEvery = 100 * time.Millisecond
	greetsEvery  = time.Second
	// awayFor is how long an engine that went down is away.
	awayFor = 4 * time.Second
	// heldWithin is the users' bound: what brought three upstreams down is sent no more later than this after the third.
	heldWithin = 3 * time.Second
	// ends is when a run ends, and giveUpAt is when the callers stop to come back.
	giveUpAt = 12 * time.Second
	ends     = 20 * time.Second
)

// crashes is entries and agents, with an engine each, that carry copies of one request which brings engines down, over a network that delays
// each message by a time of its own and loses some datagrams, from a seed. No two see the same order.
type crashes struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	queue   queue
	seq     int
	entries []*crashEntry
	engines map[string]*crashEngine
	names   []string
	nextID  uint64
	// downs are when engines went down, and sent when copies were sent by entries that had run for some time.
	downs []time.Duration
	sent  []time.Duration
	// once is set when a copy that ended is not followed by another one at its entry.
	once bool
}

type crashEntry struct {
	*rig
	number  int
	started time.Duration
	ended   bool
	// open counts the copies that were not settled yet.
	open int
}

type crashEngine struct {
	name    string
	born    int64
	down    bool
	crashes *quarantine.Table
}

func newCrashes(t *testing.T, seed uint64, entries, engines int) *crashes {
	c := &crashes{t: t, rng: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*crashEngine{}}
	for i := range engines {
		name := fmt.Sprintf("m%d", i)
		c.names = append(c.names, name)
		c.engines[name] = &crashEngine{name: name, born: 1, crashes: quarantine.NewTable()}
		c.every(reportsEvery, func() bool { c.reports(c.engines[name]); return true })
	}
	for range entries {
		c.startEntry()
	}
	return c
}

// startEntry adds an entry, which knows the engines and nothing of crashes.
func (c *crashes) startEntry() {
	e := &crashEntry{rig: newRig(), number: len(c.entries), started: c.now}
	e.rand = c.rng.Uint64()
	for _, name := range c.names {
		e.lives(name, 1)
	}
	c.entries = append(c.entries, e)
	c.every(20*time.Millisecond, func() bool { c.step(e, step.Tick{}); return !e.ended })
	c.every(greetsEvery, func() bool { c.greet(e); return !e.ended })
}

func (c *crashes) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, queued{at: c.now + d, seq: c.seq, run: f})
}

func (c *crashes) random(mean time.Duration) time.Duration {
	return time.Duration(c.rng.ExpFloat64() * float64(mean))
}

func (c *crashes) later(f func()) { c.after(c.random(meanWay), f) }

// datagram delivers a message late or never.
func (c *crashes) datagram(f func()) {
	if c.rng.IntN(100) >= lossOf {
		c.later(f)
	}
}

// every calls f again and again, from a random moment on, until it returns false.
func (c *crashes) every(d time.Duration, f func() bool) {
	var again func()
	again = func() {
		if f() {
			c.after(d, again)
		}
	}
	c.after(time.Duration(c.rng.Int64N(int64(d))), again)
}

func (c *crashes) run() {
	for len(c.queue) > 0 {
		ev := heap.Pop(&c.queue).(queued)
		if ev.at > ends {
			return
		}
		c.now = ev.at
		ev.run()
	}
}

// reports has an agent tell its engine's state and what it heard of crashes.
func (c *crashes) reports(g *crashEngine) {
	told := forward.LoadTold{Address: g.name, Born: g.born, Entries: len(c.entries), Near: len(c.entries)}
	if !g.down {
		told.Versions = map[string]int64{"m": 1}
	}
	heard := g.crashes.Reports(begin.Add(c.now))
	for _, e := range c.entries {
		c.datagram(func() {
			c.step(e, told)
			c.step(e, forward.CrashesTold{Reports: heard})
		})
	}
}

// greet has an entry tell the agents what it knows of crashes.
func (c *crashes) greet(e *crashEntry) {
	known := e.state.Crashes.Reports(begin.Add(c.now))
	for _, name := range c.names {
		c.datagram(func() { c.engines[name].crashes.Merge(begin.Add(c.now), known) })
	}
}

// caller sends copies through an entry, the next as soon as the one before has ended.
func (c *crashes) caller(e *crashEntry) {
	if c.now >= giveUpAt || e.ended {
		return
	}
	c.nextID++
	id := c.nextID
	e.open++
	c.later(func() {
		c.step(e, forward.Arrived{ID: id, Host: "h", Path: reports, Key: "key-1", Model: "m", Fingerprint: crasher})
	})
}

func (c *crashes) step(e *crashEntry, ev step.Event) {
	if e.ended {
		return
	}
	e.now = c.now
	for _, effect := range e.step(ev) {
		switch effect := effect.(type) {
		case forward.Suspected:
			c.greet(e)
		case forward.Send:
			if c.now-e.started >= heldWithin || e.started == 0 {
				c.sent = append(c.sent, c.now)
			}
			c.later(func() { c.runs(e, effect) })
		case forward.Refuse, forward.Abort:
			e.open--
			if !c.once {
				c.after(c.random(meanRun), func() { c.caller(e) })
			}
		}
	}
}

// runs has an engine begin a copy and go down under it, now and then after a first event.
func (c *crashes) runs(e *crashEntry, send forward.Send) {
	g := c.engines[send.Upstream.ID]
	if g.down {
		c.later(func() { c.step(e, forward.SendEnded{ID: send.ID, Outcome: forward.NotSent}) })
		return
	}
	born, partial := g.born, c.rng.IntN(2) == 0
	if partial {
		c.after(c.random(meanRun), func() { c.step(e, forward.Began{ID: send.ID}) })
	}
	c.after(c.random(meanRun), func() {
		if !g.down && g.born == born {
			c.crash(g)
		}
		c.later(func() { c.step(e, forward.SendEnded{ID: send.ID, Outcome: forward.Broken, Partial: partial}) })
	})
}

func (c *crashes) crash(g *crashEngine) {
	c.downs = append(c.downs, c.now)
	g.down = true
	c.after(awayFor, func() {
		g.born++
		g.down = false
		for _, e := range c.entries {
			c.later(func() { e.lives(g.name, g.born) })
		}
	})
}

// queued is something that happens at a time.
type queued struct {
	at  time.Duration
	seq int
	run func()
}

// queue is a heap of what happens, the next first.
type queue []queued

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an element; see heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(queued)) }

// Pop removes the last element; see heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// checkBounds holds what one request may cost. Each entry that has not heard of the others' crashes brings down three upstreams at most, however
// many copies come to it at once; and later than heldWithin after the third crash of all nobody sends it any more.
func (c *crashes) checkBounds(name string) {
	require.GreaterOrEqual(c.t, len(c.downs), quarantine.CrashesToHold, name)
	require.LessOrEqual(c.t, len(c.downs), quarantine.CrashesToHold*len(c.entries), name)
	third := c.downs[quarantine.CrashesToHold-1]
	for _, at := range c.sent {
		require.LessOrEqual(c.t, at, third+heldWithin, "%s: sent %v after the third crash", name, at-third)
	}
	for _, e := range c.entries {
		require.True(c.t, e.ended || e.open == 0, "%s: each copy was settled", name)
	}
}

// TestCrashingRequestIsBoundedOverAllEntries has callers send one request through all entries, several copies at once at each.
func TestCrashingRequestIsBoundedOverAllEntries(t *testing.T) {
	t.Parallel()
	const seeds, engines = 12, 40
	for _, entries := range []int{1, 2, 4, 8} {
		for _, callers := range []int{1, 3} {
			for seed := range uint64(seeds) {
				c := newCrashes(t, seed, entries, engines)
				for _, e := range c.entries {
					for range callers {
						c.after(time.Second+c.random(meanRun), func() { c.caller(e) })
					}
				}
				c.run()
				c.checkBounds(fmt.Sprintf("%d entries, %d callers each, seed %d", entries, callers, seed))
			}
		}
	}
}

// TestCrashingRequestIsBoundedForACallerThatGoesRound has callers send the request through another entry each time, and wait before they do: no
// entry sees more than a crash or two by itself.
func TestCrashingRequestIsBoundedForACallerThatGoesRound(t *testing.T) {
	t.Parallel()
	const seeds, engines, entries, pause = 6, 60, 12, 500 * time.Millisecond
	for _, callers := range []int{1, 3} {
		for seed := range uint64(seeds) {
			c := newCrashes(t, seed, entries, engines)
			next := 0
			for range callers {
				c.every(pause, func() bool {
					next++
					c.caller(c.entries[next%entries])
					return c.now < giveUpAt
				})
			}
			c.once = true
			c.run()
			c.checkBounds(fmt.Sprintf("%d callers, seed %d", callers, seed))
		}
	}
}

// TestAnEntryThatStartsHearsWhatIsHeldBack has an entry end and another one start, each time at another moment of a request's hold.
func TestAnEntryThatStartsHearsWhatIsHeldBack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(15) {
		c := newCrashes(t, seed, 3, 20)
		for _, e := range c.entries {
			c.after(time.Second, func() { c.caller(e) })
		}
		c.after(2*time.Second+time.Duration(seed)*450*time.Millisecond, func() {
			c.entries[0].ended = true
			c.startEntry()
			started := c.entries[len(c.entries)-1]
			c.after(heldWithin, func() { c.caller(started) })
		})
		c.run()
		c.checkBounds(fmt.Sprintf("seed %d", seed))
	}
}

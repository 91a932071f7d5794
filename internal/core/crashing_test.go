package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// crashingRequest is the fingerprint of a request that crashes each engine that runs it.
	crashingRequest = "poison"
	// meanDelay is the mean of the random time that a message or a step of an engine takes.
	meanDelay = 3 * time.Millisecond
	// defaultMaxSkew bounds the difference between the processes' clocks.
	defaultMaxSkew = time.Minute
)

// crashSimulation simulates entries and agents that forward copies of a request that crashes each engine that runs it.
// The network delays each message independently; a seed determines the run. A crashed engine does not restart.
type crashSimulation struct {
	rng     *rand.Rand
	now     time.Duration
	queue   queue
	seq     int
	procs   map[string]*core.State
	skew    map[string]time.Duration
	maxSkew time.Duration
	entries []string
	// crashed holds the addresses of the agents whose engine crashed.
	crashed map[string]bool
	// attempts holds the attempts by call number. copiesLeft counts the copies that each entry's caller still has to
	// send.
	attempts   map[uint64]attempt
	call       uint64
	copiesLeft map[string]int
}

// attempt is an attempt of an entry to run the request on an agent's engine.
type attempt struct {
	entry string
	sent  request.Attempt
}

func newCrashSimulation(seed uint64, entries, agents, copies int) *crashSimulation {
	return newSkewedCrashSimulation(seed, entries, agents, copies, defaultMaxSkew)
}

// newSkewedCrashSimulation is newCrashSimulation with processes whose clocks differ by up to maxSkew.
func newSkewedCrashSimulation(seed uint64, entries, agents, copies int, maxSkew time.Duration) *crashSimulation {
	c := &crashSimulation{
		maxSkew: maxSkew,
		rng:     rand.New(rand.NewPCG(seed, seed)), procs: map[string]*core.State{}, skew: map[string]time.Duration{},
		crashed: map[string]bool{}, attempts: map[uint64]attempt{}, copiesLeft: map[string]int{},
	}
	var hosts []member.Listed
	var adverts []record.Record
	for i := range agents {
		l := c.add(fmt.Sprintf("10.0.1.%d:7070", i), member.Agent)
		hosts = append(hosts, l)
		adverts = append(adverts, c.serve(l.Address)...)
	}
	for i := range entries {
		l := c.add(fmt.Sprintf("10.0.0.%d:7070", i), member.Entry)
		hosts = append(hosts, l)
		c.entries = append(c.entries, l.Address)
		c.copiesLeft[l.Address] = copies
	}
	for _, l := range hosts {
		c.step(l.Address, member.ListRead{Hosts: hosts})
	}
	for _, entry := range c.entries {
		c.step(entry, record.Received{Records: adverts})
	}
	return c
}

// add starts a process. An agent has one engine.
func (c *crashSimulation) add(address string, role member.Role) member.Listed {
	var upstreams []rollout.Upstream
	if role == member.Agent {
		e := member.Upstream{Name: "e", Team: "t", Service: "s", Kind: setting.Engine}
		upstreams = append(upstreams, rollout.Upstream{Upstream: e, BootID: "boot"})
	}
	c.procs[address] = core.NewState(core.Self{Host: address, Address: address, Role: role, Incarnation: 1}, upstreams)
	c.skew[address] = time.Duration(c.rng.Int64N(int64(c.maxSkew)))
	return member.Listed{Address: address, Role: role, State: "live"}
}

// serve makes an agent's engine serve and returns the agent's advertisement.
func (c *crashSimulation) serve(agent string) []record.Record {
	s := c.procs[agent]
	s.Rollout.Upstreams["e"].Phase = member.Serving
	c.step(agent, core.Started{})
	return []record.Record{s.Records.Records[member.AdvertPrefix+agent], s.Records.Records[record.PhasePrefix+agent]}
}

// runLater schedules f after a random delay.
func (c *crashSimulation) runLater(f func()) {
	c.seq++
	at := c.now + time.Duration(c.rng.ExpFloat64()*float64(meanDelay))
	heap.Push(&c.queue, event{at: at, seq: c.seq, run: f})
}

// run makes the caller of each entry send its copies one after the other, until all are answered.
func (c *crashSimulation) run() {
	for _, entry := range c.entries {
		c.send(entry)
	}
	for len(c.queue) > 0 {
		ev := heap.Pop(&c.queue).(event)
		c.now = ev.at
		ev.run()
	}
}

// send makes the caller of an entry send its next copy of the request.
func (c *crashSimulation) send(entry string) {
	if c.copiesLeft[entry] == 0 {
		return
	}
	c.copiesLeft[entry]--
	id := fmt.Sprint(entry, "/", c.copiesLeft[entry])
	c.runLater(func() {
		c.step(entry, request.Received{
			ID: id, Team: "t", Service: "s", Deadline: epoch.Add(time.Hour), Replayable: true, Fingerprint: crashingRequest,
			Terms: request.Terms{Account: "c", Weight: 1},
		})
	})
}

// step passes an event to a process and carries out the effects.
func (c *crashSimulation) step(address string, ev step.Event) {
	in := step.Input{Now: epoch.Add(c.now + c.skew[address]), Rand: c.rng.Uint64(), Event: ev}
	for _, e := range c.procs[address].Reduce(in) {
		c.perform(address, e)
	}
}

// perform carries out an effect of a process.
func (c *crashSimulation) perform(address string, e step.Effect) {
	switch e := e.(type) {
	case record.Push:
		if c.procs[e.To] == nil {
			return // The mark came with a message, so it has no sender that needs a newer one.
		}
		c.runLater(func() { c.step(e.To, record.Received{From: address, Records: e.Records}) })
	case request.Send:
		c.startAttempt(attempt{entry: address, sent: e.Attempt})
	case request.Refuse:
		c.step(address, request.Ended{ID: e.ID})
		c.send(address)
	case run.Start:
		c.runLater(func() { c.runOnEngine(address, e) })
	case run.Refuse:
		c.fail(address, c.attempts[e.Call], e.Code, e.Ran, c.mark(address))
	}
}

// mark returns the mark that a process holds for the request, as the records of a message.
func (c *crashSimulation) mark(address string) []record.Record {
	mark, ok := c.procs[address].Mark(crashingRequest)
	if !ok {
		return nil
	}
	return []record.Record{mark}
}

// startAttempt sends an attempt to its agent, with the entry's mark if the request must run alone.
func (c *crashSimulation) startAttempt(a attempt) {
	var marks []record.Record
	if a.sent.Exclusive {
		marks = c.mark(a.entry)
	}
	agent := a.sent.Target.Address
	c.runLater(func() {
		c.call++
		c.attempts[c.call] = a
		c.step(agent, record.Received{Records: marks})
		c.step(agent, run.StartRequested{
			Call: c.call, Upstream: "e", Fingerprint: crashingRequest, Exclusive: a.sent.Exclusive,
			Message: run.Message{ID: run.ID{Request: a.sent.ID, Attempt: a.sent.Number}, Incarnation: 1, Entry: a.entry, Sequence: a.sent.Sequence},
		})
	})
}

// runOnEngine runs the request on the agent's engine and so crashes it. An engine that has already crashed only reports
// that it can't accept the request.
func (c *crashSimulation) runOnEngine(agent string, start run.Start) {
	a := c.attempts[start.Call]
	if c.crashed[agent] {
		c.fail(agent, a, code.UpstreamNotServing, code.Unknown, nil)
		c.step(agent, run.Finished{ID: start.ID, Ran: code.Unknown})
		return
	}
	c.crashed[agent] = true
	c.runLater(func() {
		c.step(agent, run.Crashed{ID: start.ID})
		c.pushMark(agent, func() {
			c.fail(agent, a, code.UpstreamDied, code.Unknown, c.mark(agent))
			c.step(agent, run.Finished{ID: start.ID, Ran: code.Unknown})
		})
	})
}

// pushMark delivers the agent's mark to all its listeners and then calls then, which reports the failure.
func (c *crashSimulation) pushMark(agent string, then func()) {
	listeners := c.procs[agent].MarkReceivers()
	left := len(listeners)
	marks := c.mark(agent)
	for _, entry := range listeners {
		c.runLater(func() {
			c.step(entry, record.Received{From: agent, Records: marks})
			if left--; left == 0 {
				then()
			}
		})
	}
}

// fail reports a failed attempt to its entry, with marks.
func (c *crashSimulation) fail(agent string, a attempt, why code.Code, ran code.Ran, marks []record.Record) {
	c.runLater(func() {
		c.step(a.entry, record.Received{From: agent, Records: marks})
		c.step(a.entry, request.AttemptFailed{ID: a.sent.ID, Attempt: a.sent.Number, Code: why, Ran: ran})
	})
}

// TestCrashingRequestCrashesFewEnginesInAnyMessageOrder limits the engines that a crashing request takes down when its
// copies are sent through all entries at once: one for each entry that has not received the mark of a crash yet, and one
// under the copy that runs alone as a suspect. An entry that sends a copy before it has received the mark can crash one
// more engine, so the number may grow with the entries but not with the copies, whichever message is delayed.
func TestCrashingRequestCrashesFewEnginesInAnyMessageOrder(t *testing.T) {
	t.Parallel()
	const seeds, agents, copies = 100, 10, 3
	for _, entries := range []int{1, 2, 3, 5} {
		for seed := range uint64(seeds) {
			c := newCrashSimulation(seed, entries, agents, copies)
			c.run()
			require.NotEmpty(t, c.crashed)
			require.LessOrEqual(t, len(c.crashed), entries+1, "%d entries, seed %d", entries, seed)
			for _, entry := range c.entries {
				require.Zero(t, c.copiesLeft[entry], "each copy was answered")
			}
		}
	}
}

// TestCrashingRequestCrashesFewEnginesDespiteClockSkew uses processes whose clocks differ by more than the duration of a
// quarantine. At a process whose clock is that far ahead, the quarantine would expire at once, and the mark of its first
// crash would get a higher version than the quarantine and replace it at all processes.
func TestCrashingRequestCrashesFewEnginesDespiteClockSkew(t *testing.T) {
	t.Parallel()
	const seeds, entries, agents, copies = 100, 3, 10, 3
	for seed := range uint64(seeds) {
		c := newSkewedCrashSimulation(seed, entries, agents, copies, 2*suspect.QuarantineDuration)
		c.run()
		require.LessOrEqual(t, len(c.crashed), entries+1, "seed %d", seed)
	}
}

package incarnation

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/step"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "300")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// object models the host's object on the platform, with conditional writes.
type object struct {
	revision uint64
	version  uint64
	value    []byte
}

func (o *object) present() Present { return Present{Version: o.version, Value: o.value} }

func (o *object) write(w Write) Present {
	if w.IfVersion != o.version {
		return o.present()
	}
	o.bumpRevision()
	o.value = w.Value
	return o.present()
}

// bumpRevision advances the revision, as every write to the platform does.
func (o *object) bumpRevision() {
	o.revision++
	o.version = o.revision
}

// process is one agent of the host and the call that it has in flight.
type process struct {
	state *State
	call  step.Effect
	// arrived is set once the call has taken effect; answer is the result to deliver.
	arrived bool
	answer  Present
}

// trackCalls stores the call among the effects as the one in flight.
func (p *process) trackCalls(effects []step.Effect) {
	for _, e := range effects {
		switch e.(type) {
		case Read, Write:
			p.call = e
			p.arrived = false
		}
	}
}

// model is the platform and the processes that compete for one host.
type model struct {
	object    object
	processes []*process
	now       time.Time
	// numbers maps each incarnation seen to the index of its process; highest is the highest one.
	numbers map[uint64]int
	highest uint64
	// lateWrites are writes that failed for their process but can still reach the platform.
	lateWrites []Write
}

func (m *model) pickProcess(t *rapid.T) *process {
	return m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")]
}

// applyCall applies the process's call at the platform.
func (m *model) applyCall(p *process) {
	if p.call == nil || p.arrived {
		return
	}
	p.arrived = true
	p.answer = m.object.present()
	if w, ok := p.call.(Write); ok {
		p.answer = m.object.write(w)
	}
}

// step delivers an event to a process.
func (m *model) step(p *process, ev step.Event) {
	p.call = nil
	p.trackCalls(p.state.Reduce(step.Input{Now: m.now, Rand: 1, Event: ev}))
}

// checkInvariants verifies the invariants: no two processes have the same number, numbers increase, and orders to an
// engine that ignores numbers are open to at most one process.
func (m *model) checkInvariants(t *rapid.T) {
	allowed := 0
	for i, p := range m.processes {
		if n := p.state.Number; n != 0 {
			owner, known := m.numbers[n]
			if known && owner != i {
				t.Fatalf("two processes hold number %d", n)
			}
			if !known && n < m.highest {
				t.Fatalf("new number %d is lower than %d", n, m.highest)
			}
			m.numbers[n] = i
			m.highest = max(m.highest, n)
		}
		if p.state.OrdersAllowed(m.now, true) {
			allowed++
		}
	}
	if allowed > 1 {
		t.Fatalf("%d processes may send orders to an engine that ignores numbers", allowed)
	}
}

// TestAtMostOneProcessMaySendOrders guards against two agents of one host sending orders at the same time. Three
// processes compete while answers are lost, writes arrive late, other writes advance the revision, holders release,
// and time passes. A process that is not picked is paused meanwhile.
func TestAtMostOneProcessMaySendOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(1000, 0), numbers: map[uint64]int{}}
		for i := range 3 {
			m.processes = append(m.processes, &process{state: NewState("host-1", fmt.Sprint("p", i), Timing{})})
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"tick": func(t *rapid.T) {
				p := m.pickProcess(t)
				p.trackCalls(p.state.Advance(m.now, true))
			},
			"arrive": func(t *rapid.T) { m.applyCall(m.pickProcess(t)) },
			"answer": func(t *rapid.T) {
				p := m.pickProcess(t)
				if p.call != nil && p.arrived {
					m.step(p, p.answer)
				}
			},
			"lose": func(t *rapid.T) {
				p := m.pickProcess(t)
				if p.call == nil {
					return
				}
				if w, ok := p.call.(Write); ok && !p.arrived {
					m.lateWrites = append(m.lateWrites, w)
				}
				m.step(p, Failed{})
			},
			"arrive late": func(*rapid.T) {
				if len(m.lateWrites) > 0 {
					m.object.write(m.lateWrites[0])
					m.lateWrites = m.lateWrites[1:]
				}
			},
			"others write": func(*rapid.T) { m.object.revision++ },
			"release": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.pickProcess(t).state.Release()
				}
			},
			"": m.checkInvariants,
		})
	})
}

// TestPausedHolderMustRenewLeaseBeforeOrders guards against orders on an expired lease. A holder that was paused for
// a whole lease must renew it before it sends orders to engines that ignore numbers.
func TestPausedHolderMustRenewLeaseBeforeOrders(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), numbers: map[uint64]int{}}
	p := &process{state: NewState("host-1", "p", Timing{})}
	m.processes = []*process{p}
	m.runUntilIdle(p)
	require.True(t, p.state.OrdersAllowed(m.now, true))
	m.now = m.now.Add(DefaultLease)
	require.False(t, p.state.OrdersAllowed(m.now, true))
	require.True(t, p.state.OrdersAllowed(m.now, false), "engines that check the number need no valid lease")
	m.runUntilIdle(p)
	require.True(t, p.state.OrdersAllowed(m.now, true))
}

// runUntilIdle advances a process and answers its calls until it has none in flight.
func (m *model) runUntilIdle(p *process) {
	p.trackCalls(p.state.Advance(m.now, true))
	for p.call != nil {
		m.applyCall(p)
		m.step(p, p.answer)
	}
}

// TestNewHolderWaitsForFormerOrders guards against overlap with the previous holder's orders on engines that ignore
// numbers. A new holder waits for Lease and OrderDrain, unless the previous holder released the incarnation.
func TestNewHolderWaitsForFormerOrders(t *testing.T) {
	for _, released := range []bool{false, true} {
		m := &model{now: time.Unix(1000, 0), numbers: map[uint64]int{}}
		first := &process{state: NewState("host-1", "first", Timing{})}
		next := &process{state: NewState("host-1", "next", Timing{})}
		m.runUntilIdle(first)
		if released {
			first.state.Release()
			m.runUntilIdle(first)
		}
		m.runUntilIdle(next)
		require.Equal(t, released, next.state.FormerOrdersExpired(m.now))
		m.now = m.now.Add(DefaultLease + DefaultOrderDrain)
		require.True(t, next.state.FormerOrdersExpired(m.now))
		require.Greater(t, next.state.Number, first.state.Number)
		m.runUntilIdle(first)
		require.True(t, first.state.Superseded)
	}
}

// TestHolderReplacesRefusedNumberByHigherOne guards against a holder whose orders an engine keeps refusing, because
// the engine has seen a higher number. The holder writes the object again and takes the new revision as its number.
func TestHolderReplacesRefusedNumberByHigherOne(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), numbers: map[uint64]int{}}
	p := &process{state: NewState("host-1", "p", Timing{})}
	m.runUntilIdle(p)
	before := p.state.Number
	m.object.revision += 5
	p.trackCalls(p.state.AcquireHigher(m.now))
	m.applyCall(p)
	m.step(p, p.answer)
	require.Greater(t, p.state.Number, before+5)
}

// TestLateAnswerDoesNotExtendLease guards against a lease that is counted from a late answer. It runs from when the
// renewal was sent. Otherwise a holder that lost the lease could send orders along with its successor.
func TestLateAnswerDoesNotExtendLease(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), numbers: map[uint64]int{}}
	first := &process{state: NewState("host-1", "first", Timing{})}
	next := &process{state: NewState("host-1", "next", Timing{})}
	m.runUntilIdle(first)
	m.now = m.now.Add(DefaultLease)
	first.trackCalls(first.state.Advance(m.now, true))
	m.applyCall(first)
	m.runUntilIdle(next)
	m.now = m.now.Add(DefaultLease + DefaultOrderDrain)
	m.step(first, first.answer)
	require.True(t, next.state.FormerOrdersExpired(m.now))
	require.False(t, first.state.OrdersAllowed(m.now, true))
}

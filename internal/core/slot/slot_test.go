package slot

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
	_ = flag.Set("rapid.steps", "400")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// agent is the agent of one host and the call that it has in flight.
type agent struct {
	service *Service
	fencing uint64
	call    step.Effect
	// arrived is set once the call has taken effect; result is what will be delivered.
	arrived bool
	result  Present
}

// model is the platform's object for a service and the agents that share its slots.
type model struct {
	version uint64
	value   []byte
	now     time.Time
	max     int
	agents  []*agent
	// lateWrites are writes that failed for their agent but can still reach the platform.
	lateWrites []Write
	writes     int
}

const engine = "e1"

func newModel(hosts, max int) *model {
	m := &model{now: time.Unix(1000, 0), max: max}
	for i := range hosts {
		m.agents = append(m.agents, &agent{
			service: NewService("t", "s", fmt.Sprint("host-", i), Timing{}), fencing: uint64(i + 1),
		})
	}
	return m
}

func (m *model) present() Present {
	return Present{Key: Key("t", "s"), Version: m.version, Value: m.value}
}

func (m *model) write(w Write) Present {
	if w.IfVersion != m.version {
		p := m.present()
		p.Conflict = true
		return p
	}
	m.version++
	m.writes++
	m.value = w.Value
	return m.present()
}

// advance lets an agent emit its next call, unless one is in flight.
func (m *model) advance(a *agent) {
	if a.call != nil {
		return
	}
	for _, e := range a.service.Advance(step.Input{Now: m.now, Rand: uint64(m.version)}, m.max, a.fencing) {
		a.call = e
		a.arrived = false
	}
}

// applyCall applies an agent's call at the platform.
func (m *model) applyCall(a *agent) {
	if a.call == nil || a.arrived {
		return
	}
	a.arrived = true
	a.result = m.present()
	if w, ok := a.call.(Write); ok {
		a.result = m.write(w)
	}
}

// deliver delivers the result of an agent's call.
func (m *model) deliver(a *agent) {
	if a.call == nil || !a.arrived {
		return
	}
	a.call = nil
	a.service.Reduce(step.Input{Now: m.now, Event: a.result})
	m.advance(a) // The rollout reducer also advances after each event.
}

// failCall fails an agent's call. A write that has not taken effect can still reach the platform later.
func (m *model) failCall(a *agent) {
	if a.call == nil {
		return
	}
	if w, ok := a.call.(Write); ok && !a.arrived {
		m.lateWrites = append(m.lateWrites, w)
	}
	a.call = nil
	a.service.Reduce(step.Input{Now: m.now, Rand: 1, Event: Failed{Key: Key("t", "s")}})
}

// round lets an agent make a call and receive its answer.
func (m *model) round(a *agent) {
	m.advance(a)
	m.applyCall(a)
	m.deliver(a)
}

// restart replaces an agent by a new instance on the same host.
func (m *model) restart(a *agent, i int) {
	if w, ok := a.call.(Write); ok && !a.arrived {
		m.lateWrites = append(m.lateWrites, w)
	}
	a.call = nil
	a.fencing += 100
	a.service = NewService("t", "s", fmt.Sprint("host-", i), Timing{})
}

// validSlots counts the agents whose engine holds a valid slot.
func (m *model) validSlots() int {
	n := 0
	for _, a := range m.agents {
		if a.service.HoldsValidSlot(engine, a.fencing, m.now) {
			n++
		}
	}
	return n
}

// TestValidSlotsNeverExceedMaxUnavailable guards against more unavailable engines than max. Agents pause at any
// point, lose answers, restart, and have writes that arrive late.
func TestValidSlotsNeverExceedMaxUnavailable(t *testing.T) {
	peak := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(5, rapid.IntRange(1, 2).Draw(t, "max"))
		pickAgent := func(t *rapid.T) (*agent, int) {
			i := rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")
			return m.agents[i], i
		}
		onAgent := func(f func(*agent)) func(*rapid.T) {
			return func(t *rapid.T) {
				a, _ := pickAgent(t)
				f(a)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"want":   onAgent(func(a *agent) { a.service.Request(engine, 0, m.now) }),
			"keep":   onAgent(func(a *agent) { a.service.Keep(engine, m.now) }),
			"done":   onAgent(func(a *agent) { a.service.Release(engine) }),
			"tick":   onAgent(m.advance),
			"arrive": onAgent(m.applyCall),
			"answer": onAgent(m.deliver),
			"lose":   onAgent(m.failCall),
			"round":  onAgent(m.round),
			"observe": onAgent(func(a *agent) {
				// Enough rounds without a gap that a slot without heartbeats expires.
				for range 8 {
					m.now = m.now.Add(5 * time.Second)
					m.round(a)
				}
			}),
			"restart": func(t *rapid.T) {
				a, i := pickAgent(t)
				m.restart(a, i)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"arrive late": func(*rapid.T) {
				if len(m.lateWrites) > 0 {
					m.write(m.lateWrites[0])
					m.lateWrites = m.lateWrites[1:]
				}
			},
			"": func(t *rapid.T) {
				n := m.validSlots()
				peak = max(peak, n)
				if n > m.max {
					t.Fatalf("%d valid slots of %d", n, m.max)
				}
			},
		})
	})
	require.Equal(t, 2, peak, "the model never filled the slots")
}

// TestSlotOfDeadHolderExpires guards against a slot that a dead holder blocks forever, and against removing a slot too
// early. It must not be removed before the expiry, nor right after an outage during which no holder could send
// heartbeats.
func TestSlotOfDeadHolderExpires(t *testing.T) {
	m := newModel(2, 1)
	dead, next := m.agents[0], m.agents[1]
	dead.service.Request(engine, 0, m.now)
	m.round(dead)
	m.round(dead)
	require.Equal(t, 1, m.validSlots())
	next.service.Request(engine, 0, m.now)
	m.observe(next, DefaultExpiry-2*time.Second)
	require.False(t, next.service.HoldsValidSlot(engine, next.fencing, m.now))
	m.now = m.now.Add(10 * DefaultExpiry)
	m.observe(next, DefaultExpiry-2*time.Second)
	require.False(t, next.service.HoldsValidSlot(engine, next.fencing, m.now), "the gap in the observation was counted")
	m.observe(next, 4*time.Second)
	require.True(t, next.service.HoldsValidSlot(engine, next.fencing, m.now))
	require.False(t, dead.service.HoldsValidSlot(engine, dead.fencing, m.now))
}

// observe lets an agent read the slots every second for d.
func (m *model) observe(a *agent, d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Second) {
		m.round(a)
	}
}

// TestRestartedAgentKeepsSlot guards against losing the slot of an unavailable engine when the agent restarts. The new
// instance keeps the slot under its own fencing number, and releases it when the engine serves.
func TestRestartedAgentKeepsSlot(t *testing.T) {
	m := newModel(1, 1)
	a := m.agents[0]
	a.service.Request(engine, 0, m.now)
	m.round(a)
	m.round(a)
	m.restart(a, 0)
	a.service.Keep(engine, m.now)
	m.round(a)
	m.round(a)
	require.True(t, a.service.HoldsValidSlot(engine, a.fencing, m.now))
	a.service.Release(engine)
	m.round(a)
	require.Empty(t, parse(m.value).Holders)
}

// TestLostWriteAnswerIsResolvedByRead guards against writing twice when the answer to a successful write is lost. The
// agent reads the object and finds that it holds the slot.
func TestLostWriteAnswerIsResolvedByRead(t *testing.T) {
	m := newModel(1, 1)
	a := m.agents[0]
	a.service.Request(engine, 0, m.now)
	m.round(a)
	m.advance(a)
	m.applyCall(a)
	m.failCall(a)
	m.now = m.now.Add(2 * DefaultPollInterval)
	m.round(a)
	require.True(t, a.service.HoldsValidSlot(engine, a.fencing, m.now))
	require.Equal(t, 1, m.writes)
}

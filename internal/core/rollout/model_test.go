package rollout

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/incarnation"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// engine is a simulated engine.
type engine struct {
	ignoresFencing bool
	// state is the state that the engine reports.
	state EngineState
	// boots counts the restarts.
	boots int
	// epoch counts the changes of its weights.
	epoch int
	// loading is the Load call whose body the engine reads; nil for none.
	loading *call
}

// dropWeights discards the weights and ends a load.
func (eng *engine) dropWeights() {
	eng.epoch++
	eng.state.Digest = ""
	eng.state.Generation = 0
	eng.loading = nil
	eng.state.Loading = false
}

// accepts reports whether the engine obeys an order with a fencing number, and records the number if so.
func (eng *engine) accepts(fencing uint64) bool {
	if !eng.ignoresFencing && fencing < eng.state.Fencing {
		return false
	}
	eng.state.Fencing = fencing
	return true
}

// object is one object of the platform.
type object struct {
	version uint64
	value   []byte
}

// call is an effect in flight, with its answer once it was delivered.
type call struct {
	agent     *agent
	effect    step.Effect
	delivered bool
	cancelled bool
	answer    step.Event
}

// agent is an agent process of a host. An agent that was replaced keeps running, and doesn't know of its successor at first.
type agent struct {
	host     int
	state    *State
	target   Target
	complete map[string]bool
	running  []pinnedRun
}

// pinnedRun is a request that is pinned to the weights that its engine had when the request started.
type pinnedRun struct {
	digest, boot string
	generation   uint64
	epoch        int
}

// model simulates a platform, two hosts with one engine each, and all agents that ever ran on these hosts.
type model struct {
	t        *rapid.T
	now      time.Time
	revision uint64
	objects  map[string]*object
	engines  []*engine
	agents   []*agent
	calls    []*call
	// generations holds the generations that were used, by host.
	generations map[string]bool
	// countedAnswers counts the requests whose answers were passed on.
	countedAnswers int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), objects: map[string]*object{}, generations: map[string]bool{}}
	ignoresFencing := rapid.Bool().Draw(t, "ignores fencing")
	for i := range 2 {
		m.engines = append(m.engines, &engine{ignoresFencing: ignoresFencing, state: EngineState{BootID: "b0", Role: setting.RoleBoth}})
		m.startAgent(i)
	}
	return m
}

const engineName = "e1"

// startAgent starts a new agent on a host; earlier agents of the host keep running.
func (m *model) startAgent(host int) {
	u := Upstream{Upstream: member.Upstream{Name: engineName, Team: "t", Service: "s", Kind: setting.Engine}}
	a := &agent{host: host, state: NewState([]Upstream{u}), complete: map[string]bool{"v1": true}}
	a.target = Target{Digest: "v1", Role: setting.RoleBoth, MaxUnavailable: 1, IgnoresFencing: m.engines[host].ignoresFencing}
	m.agents = append(m.agents, a)
	m.reduce(a, OrdersEnabled{Host: fmt.Sprint("host-", host), Holder: fmt.Sprint("p", len(m.agents))})
}

// activeAgent returns the agent of a host that was not superseded. If several agents have not learned that they were, it returns
// the one with the highest incarnation number.
func (m *model) activeAgent(host int) *agent {
	var found *agent
	for _, a := range m.agents {
		if a.host != host || a.state.Incarnation.Superseded {
			continue
		}
		if found == nil || a.state.Incarnation.Number > found.state.Incarnation.Number {
			found = a
		}
	}
	return found
}

// forEachAgent calls f with all agents of a host, because settings and chunks reach the replaced ones too.
func (m *model) forEachAgent(host int, f func(*agent)) {
	for _, a := range m.agents {
		if a.host == host {
			f(a)
		}
	}
}

// reduce passes an event to an agent and starts the calls of its effects.
func (m *model) reduce(a *agent, ev step.Event) {
	a.target.Accepted = map[string]bool{}
	for _, other := range m.agents {
		if u := other.state.Upstreams[engineName]; u.Phase == member.Serving {
			a.target.Accepted[u.Digest] = true
		}
	}
	a.state.SetTarget(engineName, a.target)
	_, effects := a.state.Reduce(step.Input{Now: m.now, Rand: m.revision, Event: ev}, func(d string) bool { return a.complete[d] })
	for _, e := range effects {
		m.startCall(a, e)
	}
}

// startCall checks an effect of an agent and puts it in flight. A load must be of the wanted and complete version, on a drained
// engine, under an incarnation, with a generation that was never used on the host.
func (m *model) startCall(a *agent, e step.Effect) {
	switch e := e.(type) {
	case Load:
		key := fmt.Sprint(a.host, "/", e.Generation)
		switch {
		case e.Digest != a.target.Digest:
			m.t.Fatalf("load of version %s, but the target is %s", e.Digest, a.target.Digest)
		case !a.complete[e.Digest]:
			m.t.Fatalf("load of an incomplete version")
		case len(a.running) > 0:
			m.t.Fatalf("load while %d requests are in flight", len(a.running))
		case e.Fencing == 0 || m.generations[key]:
			m.t.Fatalf("generation %d is used twice or has no incarnation", e.Generation)
		}
		m.generations[key] = true
	case CancelOrder:
		m.cancel(a, e.Order)
		return
	case ReadState, SetRole, incarnation.Read, incarnation.Write, slot.Read, slot.Write:
	default:
		return
	}
	m.calls = append(m.calls, &call{agent: a, effect: e})
}

// cancel cancels the call of an agent's order.
func (m *model) cancel(a *agent, serial uint64) {
	for _, c := range m.calls {
		load, isLoad := c.effect.(Load)
		role, isRole := c.effect.(SetRole)
		if c.agent == a && ((isLoad && load.Order == serial) || (isRole && role.Order == serial)) {
			c.cancelled = true
		}
	}
}

// deliver delivers a call to its engine or the platform. The second delivery of a load completes its body. An order takes effect
// only while its agent permits it.
func (m *model) deliver(c *call) {
	if c.delivered {
		m.finishLoad(c)
		return
	}
	c.delivered = true
	eng := m.engines[c.agent.host]
	switch e := c.effect.(type) {
	case ReadState:
		c.answer = StateRead{Upstream: engineName, Serial: e.Serial, State: eng.state}
	case SetRole:
		c.answer = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderFailed}
		if m.permits(c) {
			c.answer = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: m.setRole(eng, e)}
		}
	case Load:
		m.startLoad(c, eng, e)
	default:
		c.answer = m.callPlatform(e)
	}
}

// permits reports whether the agent of an order still permits it.
func (m *model) permits(c *call) bool {
	return !c.cancelled && c.agent.state.OrderAllowed(engineName, m.now)
}

func (m *model) setRole(eng *engine, e SetRole) Outcome {
	if !eng.accepts(e.Fencing) {
		return OrderRefused
	}
	eng.state.Role = e.Role
	return OrderDone
}

// startLoad has an engine discard its weights and start to read the body of a load.
func (m *model) startLoad(c *call, eng *engine, e Load) {
	c.answer = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderFailed}
	if !m.permits(c) {
		return
	}
	if !eng.accepts(e.Fencing) {
		c.answer = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderRefused}
		return
	}
	eng.dropWeights()
	eng.state.Loading = true
	eng.loading = c
}

// finishLoad delivers the rest of a load's body if the order is still permitted; otherwise it ends the load.
func (m *model) finishLoad(c *call) {
	eng := m.engines[c.agent.host]
	e, isLoad := c.effect.(Load)
	if !isLoad || eng.loading != c {
		return
	}
	permitted := m.permits(c)
	eng.dropWeights()
	if !permitted {
		return
	}
	eng.state.Digest = e.Digest
	eng.state.Generation = e.Generation
	c.answer = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderDone}
}

// callPlatform carries out a call to the platform and returns its answer.
func (m *model) callPlatform(e step.Effect) step.Event {
	switch e := e.(type) {
	case incarnation.Read:
		o := m.object(e.Key)
		return incarnation.Present{Version: o.version, Value: o.value}
	case incarnation.Write:
		o, _ := m.write(e.Key, e.IfVersion, e.Value)
		return incarnation.Present{Version: o.version, Value: o.value}
	case slot.Read:
		o := m.object(e.Key)
		return slot.Present{Key: e.Key, Version: o.version, Value: o.value}
	case slot.Write:
		o, conflict := m.write(e.Key, e.IfVersion, e.Value)
		return slot.Present{Key: e.Key, Version: o.version, Value: o.value, Conflict: conflict}
	}
	return nil
}

// object returns an object of the platform; one with version 0 when there is none.
func (m *model) object(key string) *object {
	if m.objects[key] == nil {
		m.objects[key] = &object{}
	}
	return m.objects[key]
}

// write writes an object if its version is ifVersion; otherwise it returns the present object and a conflict.
func (m *model) write(key string, ifVersion uint64, value []byte) (o *object, conflict bool) {
	o = m.object(key)
	if o.version != ifVersion {
		return o, true
	}
	m.revision++
	o.version = m.revision
	o.value = value
	return o, false
}

// endCall ends a call and passes its answer to the agent, or a failure when the answer is lost.
func (m *model) endCall(i int, lost bool) {
	c := m.calls[i]
	if !c.delivered && !lost {
		m.deliver(c)
	}
	m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
	eng := m.engines[c.agent.host]
	if eng.loading == c {
		eng.dropWeights() // The connection ended before the body was complete.
	}
	ev := c.answer
	switch e := c.effect.(type) {
	case ReadState:
		if lost {
			ev = StateFailed{Upstream: engineName, Serial: e.Serial}
		}
	case Load:
		if lost {
			ev = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderFailed}
		}
	case SetRole:
		if lost {
			ev = OrderEnded{Upstream: engineName, Order: e.Order, Outcome: OrderFailed}
		}
	case incarnation.Read, incarnation.Write:
		if lost {
			ev = incarnation.Failed{}
		}
	case slot.Read:
		if lost {
			ev = slot.Failed(e)
		}
	case slot.Write:
		if lost {
			ev = slot.Failed{Key: e.Key}
		}
	}
	m.reduce(c.agent, ev)
}

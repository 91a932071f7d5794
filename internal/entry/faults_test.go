package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fault is a failure that can be applied to the first agent of a fleet, its upstreams or its connections.
type fault struct {
	name  string
	apply func(*testFleet)
}

// proxyFaults returns the faults of the proxies on one hop.
func proxyFaults(hop string, proxies func(*testFleet) []*faultProxy) []fault {
	on := func(name string, f func(*faultProxy)) fault {
		return fault{hop + " " + name, func(fleet *testFleet) {
			for _, proxy := range proxies(fleet) {
				f(proxy)
			}
		}}
	}
	return []fault{
		on("cut", (*faultProxy).resetAll),
		on("silent up", func(proxy *faultProxy) { proxy.dropBytes(true, false) }),
		on("silent down", func(proxy *faultProxy) { proxy.dropBytes(false, true) }),
		on("silent both ways", func(proxy *faultProxy) { proxy.dropBytes(true, true) }),
		on("half-open", (*faultProxy).halfOpen),
		on("killed", (*faultProxy).kill),
		on("frozen", func(proxy *faultProxy) { proxy.freeze(true) }),
		on("frozen and resumed", func(proxy *faultProxy) {
			proxy.freeze(true)
			time.AfterFunc(1500*time.Millisecond, func() { proxy.freeze(false) })
		}),
	}
}

func allFaults() []fault {
	list := proxyFaults("entry-agent", func(fleet *testFleet) []*faultProxy { return fleet.agentProxies[:1] })
	list = append(list, proxyFaults("agent-upstream", func(fleet *testFleet) []*faultProxy {
		return []*faultProxy{fleet.engineProxies[0], fleet.plainProxies[0]}
	})...)
	return append(list,
		fault{"upstream crashed", func(fleet *testFleet) {
			fleet.setFaults(fleet.engineServer, `{"e0":{"crash":true}}`)
			fleet.setFaults(fleet.plainServer, `{"p0":{"crash":true}}`)
		}},
		fault{"upstream frozen", func(fleet *testFleet) {
			fleet.setFaults(fleet.engineServer, `{"e0":{"freeze":true}}`)
			fleet.setFaults(fleet.plainServer, `{"p0":{"freeze":true}}`)
		}},
		fault{"upstream frozen and resumed", func(fleet *testFleet) {
			fleet.setFaults(fleet.engineServer, `{"e0":{"freeze":true}}`)
			fleet.afterDelay(1500*time.Millisecond, func() { fleet.setFaults(fleet.engineServer, `{"e0":{"freeze":false}}`) })
		}},
		fault{"agent restarted", (*testFleet).restartAgent},
	)
}

// restartAgent replaces the first agent by a new instance, which does not know the requests of the former one.
func (f *testFleet) restartAgent() {
	restarted := f.newAgent(0)
	f.running.Go(func() { restarted.Run(f.ctx, 0) })
	f.agentProxies[0].target.Store(restarted.Address())
	f.agentProxies[0].resetAll()
}

// mixedRequests returns requests of all kinds, with the given number of distinct copies of each.
func mixedRequests(copies int) map[string]testRequest {
	requests := map[string]testRequest{}
	for i := range copies {
		requests[fmt.Sprintf("stream %d", i)] = generateRequest(fmt.Sprintf("stream %d", i), 30, true)
		requests[fmt.Sprintf("whole %d", i)] = generateRequest(fmt.Sprintf("whole %d", i), 10, false)
		requests[fmt.Sprintf("book %d", i)] = bookingRequest(fmt.Sprintf("key-%d", i), "a booking")
		requests[fmt.Sprintf("lookup %d", i)] = lookupRequest(fmt.Sprintf("/status?vendor=%d", i))
	}
	return requests
}

// faultStates are the states of a request at which a fault is applied, each with a function that arranges for it.
var faultStates = map[string]func(*testFleet, map[string]testRequest, func()){
	"before it is sent": func(_ *testFleet, _ map[string]testRequest, apply func()) { apply() },
	"sent": func(fleet *testFleet, _ map[string]testRequest, apply func()) {
		fleet.setFaults(fleet.engineServer, `{"*":{"slow_factor":60}}`)
		fleet.setFaults(fleet.plainServer, `{"*":{"slow_factor":150}}`)
		fleet.afterDelay(100*time.Millisecond, func() {
			apply()
			fleet.setFaults(fleet.engineServer, `{"*":{"slow_factor":1}}`)
		})
	},
	"answering": func(_ *testFleet, requests map[string]testRequest, apply func()) { applyAtToken(requests, 5, apply) },
	"ending":    func(_ *testFleet, requests map[string]testRequest, apply func()) { applyAtToken(requests, 30, apply) },
}

// applyAtToken applies a fault once the first stream has received n tokens.
func applyAtToken(requests map[string]testRequest, n int, apply func()) {
	var once sync.Once
	for name, q := range requests {
		if q.stream {
			q.onToken = func(tokens int) {
				if tokens >= n {
					once.Do(apply)
				}
			}
			requests[name] = q
		}
	}
}

// TestRequestsUnderFaults applies each fault at each state of requests in flight. Idempotent requests must be
// answered completely, non-idempotent ones run at most once, and the run status in each refusal must be true.
func TestRequestsUnderFaults(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	for _, f := range allFaults() {
		for state, prepare := range faultStates {
			b.run(f.name+"/"+state, func(t *testing.T) {
				fleet := newTestFleet(t, 1, 3)
				requests := mixedRequests(3)
				prepare(fleet, requests, func() { f.apply(fleet) })
				outcomes := fleet.sendAll(requests)
				for name, o := range outcomes {
					if q := requests[name]; q.key == "" {
						assert.True(t, o.complete || o.refusedByUpstream(), "%s: %v", name, o)
					}
				}
				fleet.checkOutcomes(outcomes, requests)
			})
		}
	}
	b.wait()
}

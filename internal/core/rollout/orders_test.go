package rollout

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "300")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// startRun starts a request on an agent's engine if the engine serves.
func (m *model) startRun(a *agent) {
	u := a.state.RequestStarted(engineName)
	if u == nil {
		return
	}
	a.running = append(a.running, pinnedRun{u.Digest, u.BootID, u.Generation, m.engines[a.host].epoch})
}

// endRun ends a request. Its answer is passed on if the engine still shows the request's pin. The weights must not have changed
// in that case.
func (m *model) endRun(a *agent) {
	if len(a.running) == 0 {
		return
	}
	run := a.running[0]
	a.running = a.running[1:]
	a.state.RequestFinished(engineName)
	eng := m.engines[a.host]
	r := eng.state
	matchesPin := r.loaded() && r.Digest == run.digest && r.Generation == run.generation && r.BootID == run.boot
	sameWeights := run.epoch == eng.epoch
	if matchesPin && !sameWeights {
		m.t.Fatalf("an answer counts although the engine changed its weights during the request")
	}
	if matchesPin {
		m.countedAnswers++
	}
}

// restartEngine restarts an engine, which then has no weights and the default role.
func (m *model) restartEngine(host int) {
	eng := m.engines[host]
	eng.boots++
	eng.dropWeights()
	eng.state.BootID = fmt.Sprint("b", eng.boots)
	eng.state.Role = setting.RoleBoth
}

// converge runs the model without further failures until each host serves its target, and fails if that takes more than 3000
// ticks of 100 ms.
func (m *model) converge() {
	m.now = m.now.Add(time.Minute)
	for range 3000 {
		m.now = m.now.Add(100 * time.Millisecond)
		for _, a := range m.agents {
			m.reduce(a, step.Tick{})
			for len(a.running) > 0 {
				m.endRun(a)
			}
		}
		for len(m.calls) > 0 {
			m.deliver(m.calls[0])
			m.deliver(m.calls[0])
			m.endCall(0, false)
		}
		if m.allServeTarget() {
			return
		}
	}
	for host := range m.engines {
		u := m.activeAgent(host).state.Upstreams[engineName]
		m.t.Logf("host %d: phase %s digest %s target %+v seen %+v", host, u.Phase, u.Digest, u.target, u.observed)
	}
	m.t.Fatalf("a host does not serve its target after failures have ended")
}

// allServeTarget reports whether each host serves the version and role of its target.
func (m *model) allServeTarget() bool {
	for host := range m.engines {
		a := m.activeAgent(host)
		u := a.state.Upstreams[engineName]
		if u.Phase != member.Serving || u.Digest != a.target.Digest || u.Role != a.target.Role {
			return false
		}
	}
	return true
}

// TestAnswersMatchTheirPinsAndHostsConverge runs agents, replaced agents that keep running, engines and the platform in random
// order, with lost answers, restarts and changes of the target at every step. It guards against answers from weights that changed
// during the request, loads on an engine with requests in flight, reused generations, and hosts that never reach their target.
func TestAnswersMatchTheirPinsAndHostsConverge(t *testing.T) {
	countedAnswers := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		host := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "host") }
		onAgent := func(f func(*agent)) func(*rapid.T) {
			return func(t *rapid.T) { f(m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")]) }
		}
		onCall := func(f func(i int)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(m.calls) > 0 {
					f(rapid.IntRange(0, len(m.calls)-1).Draw(t, "call"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"tick":      onAgent(func(a *agent) { m.reduce(a, step.Tick{}) }),
			"arrive":    onCall(func(i int) { m.deliver(m.calls[i]) }),
			"answer":    onCall(func(i int) { m.endCall(i, false) }),
			"answer 2":  onCall(func(i int) { m.endCall(i, false) }),
			"lose":      onCall(func(i int) { m.endCall(i, true) }),
			"start run": onAgent(m.startRun),
			"end run":   onAgent(m.endRun),
			"go on": func(t *rapid.T) {
				for range 5 {
					m.now = m.now.Add(200 * time.Millisecond)
					for _, a := range m.agents {
						m.reduce(a, step.Tick{})
					}
					for n := len(m.calls); n > 0; n-- {
						m.deliver(m.calls[0])
						m.deliver(m.calls[0])
						m.endCall(0, false)
					}
				}
			},
			"rare": func(t *rapid.T) {
				switch h := host(t); rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					m.restartEngine(h)
				case 1:
					m.startAgent(h)
				}
			},
			"apply": func(t *rapid.T) {
				version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				role := rapid.SampledFrom([]setting.Role{setting.RoleBoth, setting.RoleDecode}).Draw(t, "role")
				m.forEachAgent(host(t), func(a *agent) {
					a.target.Digest = version
					a.target.Role = role
				})
			},
			"complete": func(t *rapid.T) {
				version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				m.forEachAgent(host(t), func(a *agent) { a.complete[version] = true })
			},
		})
		for h := range m.engines {
			m.forEachAgent(h, func(a *agent) { a.complete[a.target.Digest] = true })
		}
		m.converge()
		countedAnswers += m.countedAnswers
	})
	if countedAnswers == 0 {
		t.Fatal("no answer was counted in any run")
	}
	t.Logf("%d answers counted", countedAnswers)
}

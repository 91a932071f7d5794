package agent

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/standin/engine"
)

// startFleet starts hosts with two engines each and waits until all of them serve v1.
func (b *testEnv) startFleet(hosts int, change ...func(*Agent)) (agents []*testAgent, v1 string) {
	v1 = b.apply("v1")
	for i := range hosts {
		agents = append(agents, b.agent(fmt.Sprint("host-", i), b.pair(i), change...))
	}
	b.awaitAllServing(agents, v1)
	return agents, v1
}

// pair returns the names of the two engines of host i.
func (b *testEnv) pair(i int) []string { return []string{fmt.Sprint("e", 2*i), fmt.Sprint("e", 2*i+1)} }

func (b *testEnv) awaitAllServing(agents []*testAgent, digest string) {
	b.t.Helper()
	for i, a := range agents {
		for _, e := range b.pair(i) {
			a.awaitServing(e, digest)
		}
	}
}

func sixEngines() []string { return []string{"e0", "e1", "e2", "e3", "e4", "e5"} }

// slowLoads makes each load order take slowLoad at least, so that loads of different engines overlap if nothing
// prevents it.
func slowLoads(a *Agent) { slowLoadsBy(slowLoad)(a) }

func slowLoadsBy(d time.Duration) func(*Agent) {
	return func(a *Agent) {
		next := a.newOrderTransport
		a.newOrderTransport = func(permit func() error) http.RoundTripper {
			return &slowTransport{next: next(permit), by: d}
		}
	}
}

// slowLoad is the minimum duration of a slow load.
const slowLoad = 150 * time.Millisecond

type slowTransport struct {
	next http.RoundTripper
	by   time.Duration
}

// RoundTrip sends a call and slows down the body of a load order.
func (s *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/orders/load") {
		r.Body = &slowBody{ReadCloser: r.Body, by: s.by}
	}
	return s.next.RoundTrip(r)
}

type slowBody struct {
	io.ReadCloser
	by   time.Duration
	read int
	slow bool
}

// Read reads from the body; it sleeps once after pauseAfterBytes.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.read >= pauseAfterBytes && !s.slow {
		s.slow = true
		time.Sleep(s.by)
	}
	n, err := s.ReadCloser.Read(p)
	s.read += n
	return n, err
}

// maxUnavailable returns the maximum number of engines that loaded at the same time, according to the log of the engine
// stand-in. The first load of an engine does not count.
func (b *testEnv) maxUnavailable() int {
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	served := map[string]bool{}
	loads := b.loads()
	slices.SortStableFunc(loads, func(x, y engine.LoadEntry) int { return cmp.Compare(x.StartMS, y.StartMS) })
	for _, e := range loads {
		if served[e.Engine] {
			edges = append(edges, edge{e.StartMS, 1}, edge{e.EndMS, -1})
		}
		served[e.Engine] = served[e.Engine] || e.Outcome == "done"
	}
	slices.SortFunc(edges, func(x, y edge) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.delta, y.delta)) })
	loading, highest := 0, 0
	for _, e := range edges {
		loading += e.delta
		highest = max(highest, loading)
	}
	return highest
}

// slotsObject reads the object with the slots of the service.
func (b *testEnv) slotsObject() string {
	resp, err := http.Get(b.objects.URL + "/v1/objects/" + slot.Key(testTeam, testService))
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return string(raw)
}

// TestRolloutRespectsMaxUnavailable guards against a rollout that takes more engines out of service at once than
// max_unavailable, here two of six.
func TestRolloutRespectsMaxUnavailable(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		b.setting.MaxUnavailable = 2
		agents, _ := b.startFleet(3, slowLoads)
		v2 := b.apply("v2")
		b.awaitAllServing(agents, v2)
		require.LessOrEqual(t, b.maxUnavailable(), 2)
		b.await(func() bool { return strings.Contains(b.slotsObject(), `"holders":[]`) }, "the slots are released: %s", b.slotsObject())
		b.checkEngineLog("v1", "v2")
	})
}

// TestRollbackDuringRollout checks a rollback while the first engine of a rollout loads. The rollout must stop, and at
// most one engine at a time may be out of service.
func TestRollbackDuringRollout(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		agents, v1 := b.startFleet(3, slowLoads)
		v2 := b.apply("v2")
		b.await(func() bool { return b.loadingCount() > 0 }, "an engine loads")
		b.apply("v1")
		b.awaitAllServing(agents, v1)
		for _, e := range sixEngines() {
			b.await(func() bool { return b.state(e).Digest == v1 }, "%s holds v1", e)
		}
		b.checkEngineLog("v1", "v2")
		require.LessOrEqual(t, b.maxUnavailable(), 1)
		require.Less(t, b.completedLoadsOf(v2), len(sixEngines()))
	})
}

func (b *testEnv) loadingCount() int {
	n := 0
	for _, e := range sixEngines() {
		if b.state(e).Loading {
			n++
		}
	}
	return n
}

func (b *testEnv) completedLoadsOf(digest string) int {
	n := 0
	for _, e := range b.loads() {
		if e.Digest == digest && e.Outcome == "done" {
			n++
		}
	}
	return n
}

// TestRolloutContinuesAfterSlotExpires guards against a rollout that blocks forever because the agent that holds the slot
// is paused while its engine loads. The other agents must proceed once the slot has expired.
func TestRolloutContinuesAfterSlotExpires(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		v1 := b.apply("v1")
		g := newInterceptor(t, delayMidBody)
		g.disarm()
		agents := []*testAgent{
			b.agent("host-0", b.pair(0), g.install), b.agent("host-1", b.pair(1)), b.agent("host-2", b.pair(2)),
		}
		b.awaitAllServing(agents, v1)
		g.arm()
		v2 := b.apply("v2")
		<-g.reached
		resume := agents[0].pause()
		for i, a := range agents[1:] {
			for _, e := range b.pair(i + 1) {
				a.awaitServing(e, v2)
			}
		}
		g.release()
		resume()
		b.awaitAllServing(agents, v2)
		require.LessOrEqual(t, b.maxUnavailable(), 2, "the engine of the paused agent and one more")
		b.checkEngineLog("v1", "v2")
	})
}

// TestReplacementFinishesLoadOfSlotHolder guards against an engine that stays out of service when the agent that held the
// slot for it is replaced in the middle of the load.
func TestReplacementFinishesLoadOfSlotHolder(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		v1 := b.apply("v1")
		g := newInterceptor(t, delayMidBody)
		g.disarm()
		agents := []*testAgent{
			b.agent("host-0", b.pair(0), g.install), b.agent("host-1", b.pair(1)), b.agent("host-2", b.pair(2)),
		}
		b.awaitAllServing(agents, v1)
		g.arm()
		v2 := b.apply("v2")
		<-g.reached
		agents[0].pause()
		agents[0] = b.agent("host-0", b.pair(0))
		b.awaitAllServing(agents, v2)
		b.checkEngineLog("v1", "v2")
	})
}

// TestSlotWritesWithLostResponses guards against a rollout that stops or exceeds max_unavailable because the responses to
// writes of the slots object were lost after the writes took effect.
func TestSlotWritesWithLostResponses(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		agents, _ := b.startFleet(3, slowLoads)
		b.setFaults(b.objects, `{"lose_next_answers":4,"lose_next_key_prefix":"slots/"}`)
		v2 := b.apply("v2")
		b.awaitAllServing(agents, v2)
		require.LessOrEqual(t, b.maxUnavailable(), 1)
		b.checkEngineLog("v1", "v2")
	})
}

// TestPlatformOutageDuringRollout checks an outage of the platform while engines load. Engines that load return to
// service, no other engine leaves it, and the rollout continues after the outage.
func TestPlatformOutageDuringRollout(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		agents, _ := b.startFleet(3, slowLoads)
		v2 := b.apply("v2")
		b.await(func() bool { return b.loadingCount() > 0 }, "an engine loads")
		b.setFaults(b.objects, `{"outage":true}`)
		time.Sleep(2 * testTiming().Slots.Expiry)
		loads := len(b.loads())
		time.Sleep(testTiming().Slots.Expiry)
		require.Equal(t, loads, len(b.loads()), "an engine left service during the outage")
		b.setFaults(b.objects, `{"outage":false}`)
		b.awaitAllServing(agents, v2)
		require.LessOrEqual(t, b.maxUnavailable(), 1)
		b.checkEngineLog("v1", "v2")
	})
}

// TestRoleChangeNeedsNoLoad guards against needless loads when only the role of a service changes.
func TestRoleChangeNeedsNoLoad(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		agents, v1 := b.startFleet(3)
		loads := len(b.loads())
		b.setting.Role = setting.RoleDecode
		b.apply("v1")
		for _, e := range sixEngines() {
			b.await(func() bool { return b.state(e).Role == string(setting.RoleDecode) }, "%s has the decode role", e)
		}
		b.awaitAllServing(agents, v1)
		for i, a := range agents {
			for _, e := range b.pair(i) {
				b.await(func() bool {
					u := a.upstream(e)
					return u.Phase == member.Serving && u.Role == setting.RoleDecode
				}, "%s serves in the decode role", e)
			}
		}
		require.Equal(t, loads, len(b.loads()))
	})
}

// TestAdapterChangeIsRolledOut checks that a change of the adapter is rolled out like a change of the version.
func TestAdapterChangeIsRolledOut(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, sixEngines()...)
		agents, v1 := b.startFleet(3)
		b.setting.Adapter = "salt"
		salted := b.apply("v1")
		require.NotEqual(t, v1, salted)
		b.awaitAllServing(agents, salted)
		m, err := manifest.Parse(b.manifest("v1"))
		require.NoError(t, err)
		for _, e := range b.loads() {
			if e.Digest == salted {
				require.Equal(t, m.SHA256, e.ContentSHA256)
			}
		}
	})
}

// TestDrainDoesNotAbortRequests guards against a rollout that aborts requests in flight. A request that takes longer than
// Timing.DrainWarning must end with the weights with which it started.
func TestDrainDoesNotAbortRequests(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e0", "e1")
		agents, v1 := b.startFleet(1)
		answers := make(chan string, 1)
		go func() {
			digest, failed := agents[0].generate("e0", "long", 400)
			if failed != nil {
				digest = fmt.Sprint(failed.code)
			}
			answers <- digest
		}()
		b.await(func() bool { return b.hasRunning("e0") }, "e0 runs a request")
		v2 := b.apply("v2")
		require.Equal(t, v1, <-answers)
		b.awaitAllServing(agents, v2)
		b.checkEngineLog("v1", "v2")
	})
}

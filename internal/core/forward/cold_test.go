package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// The limits for a cold engine, in any second and from all entries together: its rate times coldTolerance, plus coldExtra requests.
// The platform's users require it.
const (
	coldRate      = 32
	coldTolerance = 1.5
	coldExtra     = 5
	coldFor       = 6 * time.Second
)

// newColdRig returns an entry with a cold engine that has enough slots not to limit the test.
func newColdRig(i, near int, left time.Duration, startedAt int64) *rig {
	r := newRig()
	r.rand = uint64(i) * 7919
	r.state.Self.Name = fmt.Sprintf("entry-%d", i)
	dataCentre := "perth-a"
	if i >= near {
		dataCentre = "bunbury-a"
	}
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{}, ColdRate: coldRate, ColdDuration: coldFor}
	r.registerCold("m1", dataCentre, left, startedAt)
	return r
}

func (r *rig) registerCold(id, dataCentre string, left time.Duration, startedAt int64) {
	r.next++
	r.applyCatalog(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
		ID: id, StartedAt: startedAt, Service: "model", Address: id, DataCentre: dataCentre, Slots: 500, Revision: storerev.Revision{Number: int64(r.next)},
		Versions: map[string]int64{"m": 1}, ColdRemaining: left,
	}})
}

// TestColdEngineGetsNoMoreThanItsRateFromAllEntries guards against an engine that crashes after a restart because each of many
// entries sends it the whole cold rate.
func TestColdEngineGetsNoMoreThanItsRateFromAllEntries(t *testing.T) {
	for _, size := range []struct{ near, far int }{{1, 0}, {4, 0}, {0, 4}, {4, 8}, {7, 28}, {60, 240}} {
		t.Run(fmt.Sprintf("%d near, %d far", size.near, size.far), func(t *testing.T) {
			t.Parallel()
			const interval = 25 * time.Millisecond
			entries, id, arrivals := []*rig{}, uint64(0), []time.Duration{}
			for i := range size.near + size.far {
				entries = append(entries, newColdRig(i, size.near, coldFor, 100))
			}
			perInterval := max(1, 60/len(entries))
			for now := time.Duration(0); now < coldFor; now += interval {
				for _, r := range entries {
					r.now = now
					effects := r.step(forward.LoadReported{Address: "m1", StartedAt: 100, Versions: map[string]int64{"m": 1}, Entries: len(entries), NearEntries: size.near})
					effects = append(effects, r.step(step.Tick{})...)
					idle := now > 2*time.Second && now < 3*time.Second // Idle entries could save up send slots.
					for range perInterval {
						if id++; !idle {
							effects = append(effects, r.arrive(id, resumableStream)...)
						}
					}
					for _, send := range sentAttempts(effects) {
						arrivals = append(arrivals, now)
						r.step(forward.AttemptEnded{ID: send.ID, Outcome: forward.Answered})
					}
				}
			}
			highest, first := 0, 0
			for i, at := range arrivals {
				for arrivals[first] <= at-time.Second {
					first++
				}
				highest = max(highest, i-first+1)
			}
			require.LessOrEqual(t, float64(highest), coldTolerance*coldRate+coldExtra)
			if size.near > 0 {
				require.Greater(t, float64(len(arrivals))/(coldFor-time.Second).Seconds(), 0.5*coldRate, "it is used")
			}
		})
	}
}

// sendBurst counts how many of 200 requests that arrive at once are sent.
func (r *rig) sendBurst() int {
	sent := 0
	for range 200 {
		r.next++
		sent += len(sentIDs(r.arrive(r.next, resumableStream)))
	}
	return sent
}

// TestWarmEngineIsFilledToCapacity guards against an engine that is kept at its cold rate after it has become warm.
func TestWarmEngineIsFilledToCapacity(t *testing.T) {
	r := newColdRig(0, 1, coldFor, 100)
	require.Less(t, r.sendBurst(), coldRate)
	r.registerCold("m1", "perth-a", 0, 100)
	require.Equal(t, 200, r.sendBurst())
}

// TestEngineMayTurnColdAgain guards against an engine that gets all requests at once although it said, in its registration or in an
// answer, that it is cold again, and against an older report that marks it as warm.
func TestEngineMayTurnColdAgain(t *testing.T) {
	r := newColdRig(0, 1, 0, 100)
	require.Equal(t, 200, r.sendBurst())
	r.registerCold("m1", "perth-a", coldFor, 100)
	require.Less(t, r.sendBurst(), coldRate)
	r = newColdRig(0, 1, 0, 100)
	r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "m1", StartedAt: 100}, Outcome: forward.Declined, Notice: catalog.Notice{ColdRemaining: coldFor}})
	require.Less(t, r.sendBurst(), coldRate)
	r.now = coldFor
	require.Greater(t, r.sendBurst(), 100, "the cold period is over")
}

// TestRestartedEngineIsCold guards against an engine that gets all requests at once after a restart that only its agent has
// reported.
func TestRestartedEngineIsCold(t *testing.T) {
	r := newColdRig(0, 1, 0, 100)
	r.step(forward.LoadReported{Address: "m1", StartedAt: 200, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	require.Less(t, r.sendBurst(), coldRate)
}

// TestServiceWithoutColdRateHasNoColdEngines guards against a limit on engines whose service declares no cold rate.
func TestServiceWithoutColdRateHasNoColdEngines(t *testing.T) {
	r := newColdRig(0, 1, coldFor, 100)
	r.state.Catalog.Manifest.Services["model"].ColdRate = 0
	require.Equal(t, 200, r.sendBurst())
}

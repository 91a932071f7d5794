package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// What a cold engine may get in any second, from all entries together: half as much again as it says and a few more. The platform's users state it
// so.
const (
	coldRate      = 32
	coldOvershoot = 1.5
	coldExtra     = 5
	coldFor       = 6 * time.Second
)

// coldRig is an entry with a cold engine of many places, which bound nothing here.
func coldRig(i, near int, left time.Duration, born int64) *rig {
	r := newRig()
	r.rand = uint64(i) * 7919
	r.state.Self.Name = fmt.Sprintf("entry-%d", i)
	place := "perth-a"
	if i >= near {
		place = "bunbury-a"
	}
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{}, ColdRate: coldRate, ColdFor: coldFor}
	r.cold("m1", place, left, born)
	return r
}

func (r *rig) cold(id, place string, left time.Duration, born int64) {
	r.next++
	r.believe(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
		ID: id, Born: born, Service: "model", Address: id, DataCentre: place, Slots: 500, Revision: int64(r.next),
		Versions: map[string]int64{"m": 1}, ColdLeft: left,
	}})
}

// TestAColdEngineGetsNoMoreThanItTakesFromAllEntriesTogether guards against an engine that crashes as it comes back, since each of many entries
// gives it what one could.
func TestAColdEngineGetsNoMoreThanItTakesFromAllEntriesTogether(t *testing.T) {
	for _, size := range []struct{ near, far int }{{1, 0}, {4, 0}, {0, 4}, {4, 8}, {7, 28}, {60, 240}} {
		t.Run(fmt.Sprintf("%d near, %d far", size.near, size.far), func(t *testing.T) {
			t.Parallel()
			const look = 25 * time.Millisecond
			entries, id, arrivals := []*rig{}, uint64(0), []time.Duration{}
			for i := range size.near + size.far {
				entries = append(entries, coldRig(i, size.near, coldFor, 100))
			}
			perLook := max(1, 60/len(entries))
			for now := time.Duration(0); now < coldFor; now += look {
				for _, r := range entries {
					r.now = now
					effects := r.step(forward.LoadTold{Address: "m1", Born: 100, Versions: map[string]int64{"m": 1}, Entries: len(entries), Near: size.near})
					effects = append(effects, r.step(step.Tick{})...)
					calm := now > 2*time.Second && now < 3*time.Second // In which much could be saved up.
					for range perLook {
						if id++; !calm {
							effects = append(effects, r.arrive(id, reports)...)
						}
					}
					for _, send := range sendsAmong(effects) {
						arrivals = append(arrivals, now)
						r.step(forward.SendEnded{ID: send.ID, Outcome: forward.Answered})
					}
				}
			}
			most, first := 0, 0
			for i, at := range arrivals {
				for arrivals[first] <= at-time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			require.LessOrEqual(t, float64(most), coldOvershoot*coldRate+coldExtra)
			if size.near > 0 {
				require.Greater(t, float64(len(arrivals))/(coldFor-time.Second).Seconds(), 0.5*coldRate, "it is used")
			}
		})
	}
}

// burst counts the sends of 200 requests that come at once.
func (r *rig) burst() int {
	sent := 0
	for range 200 {
		r.next++
		sent += len(sends(r.arrive(r.next, reports)))
	}
	return sent
}

// TestAnEngineThatSaysItIsWarmGetsWhatItHasPlacesFor guards against an engine that stays at its cold rate, and TestAnEngineTurnsColdAgain against
// one that does not.
func TestAnEngineThatSaysItIsWarmGetsWhatItHasPlacesFor(t *testing.T) {
	r := coldRig(0, 1, coldFor, 100)
	require.Less(t, r.burst(), coldRate)
	r.cold("m1", "perth-a", 0, 100)
	require.Equal(t, 200, r.burst())
}

// TestAnEngineTurnsColdAgain guards against an engine that has told that it is cold again, by its entry or by an answer, and gets all at once; and
// against an older word that makes it warm.
func TestAnEngineTurnsColdAgain(t *testing.T) {
	r := coldRig(0, 1, 0, 100)
	require.Equal(t, 200, r.burst())
	r.cold("m1", "perth-a", coldFor, 100)
	require.Less(t, r.burst(), coldRate)
	r = coldRig(0, 1, 0, 100)
	r.step(forward.Noticed{Upstream: catalog.Life{ID: "m1", Born: 100}, Outcome: forward.Declined, Notice: catalog.Notice{ColdLeft: coldFor}})
	require.Less(t, r.burst(), coldRate)
	r.now = coldFor
	require.Greater(t, r.burst(), 100, "its time as cold is over")
}

// TestAnEngineThatStartedAgainIsTakenAsCold guards against an engine that is given all at once after a start of which only its agent has told.
func TestAnEngineThatStartedAgainIsTakenAsCold(t *testing.T) {
	r := coldRig(0, 1, 0, 100)
	r.step(forward.LoadTold{Address: "m1", Born: 200, Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1})
	require.Less(t, r.burst(), coldRate)
}

// TestAServiceWithoutAColdRateHasNoColdEngines guards against engines that are held back though their service names no rate for it.
func TestAServiceWithoutAColdRateHasNoColdEngines(t *testing.T) {
	r := coldRig(0, 1, coldFor, 100)
	r.state.Catalog.Manifest.Services["model"].ColdRate = 0
	require.Equal(t, 200, r.burst())
}

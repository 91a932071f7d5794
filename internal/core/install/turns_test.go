package install_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// busyLoad is how long an engine with requests takes for a load, and idleLoad one without. The requests that run when entries stop
	// sending take lastRequests.
	busyLoad, idleLoad, lastRequests = 2500 * time.Millisecond, 500 * time.Millisecond, time.Second
	turnLifetime, required           = 9700 * time.Millisecond, 8400 * time.Millisecond
	turnTick                         = 100 * time.Millisecond
)

// rollout plays versions on the hosts of a fleet whose engines hold version 1. Version 2 is activated at 0 and complete on every host at
// wholeAt[2]. Version 3, if it has an entry in wholeAt, is activated at 2 s. With goneAt, the origin sends nothing from then on, which the hosts
// learn 2.3 s later.
type rollout struct {
	hosts   int
	wholeAt map[int64]time.Duration
	goneAt  time.Duration
}

// rolledOut is what a rollout led to, by the tick: the engines that don't accept requests, or hold no version that may be used.
type rolledOut struct {
	away []int
	// heldFrom are the times since which each engine holds a version.
	heldFrom []map[int64]time.Duration
}

type rolloutHost struct {
	*harness
	loading  int64
	loadEnds time.Duration
	heldFrom map[int64]time.Duration
}

func (r rollout) endOf(number int64) time.Duration {
	_, superseded := r.wholeAt[number+1]
	switch {
	case number == 1:
		return required
	case superseded:
		return 2*time.Second + required
	}
	return time.Hour
}

func (r rollout) play(length time.Duration) rolledOut {
	var names []string
	for i := range r.hosts {
		names = append(names, fmt.Sprintf("10.0.0.%d:7700", i))
	}
	var hosts []*rolloutHost
	result := rolledOut{}
	for _, name := range names {
		h := &rolloutHost{
			harness: &harness{state: install.NewState(name, turnLifetime), engine: install.EngineRead{Loaded: map[string]int64{"m": 1}, RequestCount: 6}}, heldFrom: map[int64]time.Duration{},
		}
		h.step(install.PeersChanged{Peers: names})
		h.read()
		hosts = append(hosts, h)
		result.heldFrom = append(result.heldFrom, h.heldFrom)
	}
	for now := time.Duration(0); now < length; now += turnTick {
		away := 0
		for _, h := range hosts {
			h.now = now
			r.advance(h)
			if h.loading > 0 || now >= r.endOf(h.engine.Loaded["m"]) {
				away++
			}
		}
		result.away = append(result.away, away)
	}
	return result
}

// advance plays one tick of a host.
func (r rollout) advance(h *rolloutHost) {
	var effects []step.Effect
	transfers := map[string][2]int64{}
	for number := int64(2); r.wholeAt[number] > 0; number++ {
		activated, whole := time.Duration(number-2)*2*time.Second, r.wholeAt[number]
		switch {
		case h.now == activated:
			effects = append(effects, h.step(install.VersionActivated{Model: "m", Version: number})...)
			effects = append(effects, h.step(install.Resolved{Model: "m", Version: number, Digest: digestOf(number)})...)
		case h.now == whole:
			effects = append(effects, h.step(install.ContentComplete{Digest: digestOf(number)})...)
		}
		if h.now >= activated && h.now < whole {
			transfers[digestOf(number)] = r.lacks(h.now, activated, whole)
		}
	}
	effects = append(effects, h.transfers(r.goneAt > 0 && h.now >= r.goneAt+2300*time.Millisecond, transfers)...)
	h.engine.RequestCount = 6
	if h.now >= r.endOf(h.engine.Loaded["m"])+lastRequests || h.loading > 0 && h.now >= h.loadEnds-idleLoad {
		h.engine.RequestCount = 0
	}
	if h.loading > 0 && h.now >= h.loadEnds {
		h.engine.Loaded, h.engine.Busy, h.heldFrom[h.loading], h.loading = map[string]int64{"m": h.loading}, false, h.now, 0
	}
	for _, e := range append(effects, h.read()...) {
		if p, ok := e.(install.Prepare); ok {
			r.load(h, p)
		}
	}
}

// load has the engine of a host load a version that was prepared.
func (r rollout) load(h *rolloutHost, p install.Prepare) {
	h.step(install.Prepared{Model: "m", Version: p.Version, OK: true, CheckedAt: begin.Add(h.now)})
	h.step(install.LoadOrderEnded{Model: "m", Version: p.Version, Accepted: true})
	drained := min(h.now+busyLoad-idleLoad, max(h.now, r.endOf(h.engine.Loaded["m"])+lastRequests))
	h.loading, h.loadEnds, h.engine.Busy = p.Version, drained+idleLoad, true
	h.engine.OrderCount++
}

// lacks returns the chunks of a version that the fleet and a host lack. While the origin sends, a host learns of them as they come.
func (r rollout) lacks(now, activated, whole time.Duration) [2]int64 {
	if r.goneAt > 0 && now > r.goneAt && whole > r.goneAt+2*time.Second {
		now = r.goneAt
	}
	share := 1 - float64(now-activated)/float64(whole-activated)
	return [2]int64{max(0, int64(60*share)-12), int64(48 * share)}
}

func digestOf(version int64) string { return fmt.Sprintf("d%d", version) }

// most returns the largest number of engines away from one time to another.
func (o rolledOut) most(from, to time.Duration) int {
	most := 0
	for i := int(from / turnTick); i < int(to/turnTick) && i < len(o.away); i++ {
		most = max(most, o.away[i])
	}
	return most
}

// last returns when the last engine got the version; false if one never did.
func (o rolledOut) last(version int64) (time.Duration, bool) {
	last := time.Duration(0)
	for _, held := range o.heldFrom {
		at, ok := held[version]
		if !ok {
			return 0, false
		}
		last = max(last, at)
	}
	return last, true
}

// TestFewEnginesLoadAtTheSameTime guards against turns after which most engines are away together while the version that they hold is still
// usable, as with loads that take longer than assumed, and against turns that leave engines without the newest version for longer after the
// end of the one before it than their last requests and an idle load take. The engines are at half of their capacity, so that the others
// serve all requests while at most half are away.
func TestFewEnginesLoadAtTheSameTime(t *testing.T) {
	const idleAfter = lastRequests + idleLoad
	for _, hosts := range []int{9, 34, 88} {
		for _, c := range []struct {
			name string
			rollout
			// newest is the version that all engines hold by the given time. atEnd is the largest share of engines that are away in the 2 s
			// after the end of version 1.
			newest int64
			by     time.Duration
			atEnd  float64
		}{
			{"one version", rollout{wholeAt: map[int64]time.Duration{2: 2900 * time.Millisecond}}, 2, required + idleAfter, 0.5},
			{"one version that arrives late", rollout{wholeAt: map[int64]time.Duration{2: 4900 * time.Millisecond}}, 2, required + idleAfter, 0.8},
			{"two versions", rollout{wholeAt: map[int64]time.Duration{2: 2900 * time.Millisecond, 3: 5900 * time.Millisecond}}, 3, 2*time.Second + required + idleAfter, 0.5},
			{"the origin goes", rollout{wholeAt: map[int64]time.Duration{2: 3800 * time.Millisecond, 3: 11800 * time.Millisecond}, goneAt: 2500 * time.Millisecond}, 2, required + idleAfter, 0.6},
		} {
			c.hosts = hosts
			got := c.play(14 * time.Second)
			before, after := got.most(0, required), got.most(required, required+2*time.Second)
			last, all := got.last(c.newest)
			t.Logf("%d hosts, %s: at most %d away before the end of version 1 and %d after it, version %d everywhere at %v", hosts, c.name, before, after, c.newest, last)
			require.True(t, all, c.name)
			require.LessOrEqual(t, last, c.by, c.name)
			require.LessOrEqual(t, before, hosts/2+1, c.name)
			require.LessOrEqual(t, after, int(c.atEnd*float64(hosts))+1, c.name)
		}
	}
}

// TestTurnsFollowTheMeasuredLoadTime guards against turns that assume the usual load time for an engine whose loads take longer.
func TestTurnsFollowTheMeasuredLoadTime(t *testing.T) {
	delay := func(load time.Duration) time.Duration {
		h := newHarness("10.0.0.2:7700")
		h.engine = install.EngineRead{Loaded: map[string]int64{"m": 0}, RequestCount: 6}
		h.read()
		h.fetch(1, "d1")
		h.pass(100 * time.Millisecond)
		h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: begin.Add(h.now)})
		h.step(install.LoadOrderEnded{Model: "m", Version: 1, Accepted: true})
		h.engine.Busy, h.engine.OrderCount = true, 1
		h.pass(load)
		h.engine.Busy, h.engine.Loaded = false, map[string]int64{"m": 1}
		h.pass(time.Second)
		from := h.now
		for number := int64(2); number <= 3; number++ { // The engine is the last one for one of the two.
			from = h.now
			if hasPrepare(append(h.fetch(number, digestOf(number)), h.pass(100*time.Millisecond)...)) {
				h.engine.Loaded["m"] = number
				h.step(install.Prepared{Model: "m", Version: number, OK: true, CheckedAt: begin.Add(h.now)})
				h.engine.OrderCount++
				h.engine.RequestCount = 0
				h.step(install.LoadOrderEnded{Model: "m", Version: number, Accepted: true})
				h.pass(2 * time.Second)
				continue
			}
			break
		}
		for !hasPrepare(h.pass(100 * time.Millisecond)) {
			require.Less(t, h.now, 30*time.Second)
		}
		return h.now - from
	}
	require.Greater(t, delay(3400*time.Millisecond), delay(2500*time.Millisecond)+300*time.Millisecond)
}

// TestReadinessIsKnownThroughoutALoad guards against a load report without the time at which the engine accepts requests again, once the
// requests that delayed its load are complete. Entries then take the time as unknown, and refuse callers who could wait.
func TestReadinessIsKnownThroughoutALoad(t *testing.T) {
	h := newHarness()
	h.engine.Loaded["m"], h.engine.RequestCount = 0, 6
	h.read()
	h.fetch(1, "d1")
	h.pass(100 * time.Millisecond)
	h.step(install.Prepared{Model: "m", Version: 1, OK: true, CheckedAt: begin.Add(h.now)})
	h.step(install.LoadOrderEnded{Model: "m", Version: 1, Accepted: true})
	ordered := h.now
	h.engine.Busy, h.engine.OrderCount = true, 1
	for h.now < ordered+2400*time.Millisecond {
		if h.now >= ordered+1900*time.Millisecond {
			h.engine.RequestCount = 0
		}
		h.pass(100 * time.Millisecond)
		at, version, known := h.state.Ready(begin.Add(h.now))
		require.True(t, known, "%v after the order", h.now-ordered)
		require.Equal(t, int64(1), version)
		require.InDelta(t, (ordered + 2400*time.Millisecond).Seconds(), at.Sub(begin).Seconds(), 0.2, "%v after the order", h.now-ordered)
	}
}

// TestRestartedAgentExpectsAnOriginThatAnswers guards against an agent that starts and takes the origin for unreachable, because it learns of
// a version long after its activation and has not requested its chunk manifest yet. It could not tell entries when its engine is ready.
func TestRestartedAgentExpectsAnOriginThatAnswers(t *testing.T) {
	h := newHarness()
	h.read()
	h.step(install.VersionActivated{Model: "m", Version: 2, Age: 4 * time.Second})
	h.step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	h.step(install.VersionActivated{Model: "m", Version: 3, Age: 2 * time.Second})
	h.transfers(false, map[string][2]int64{"d2": {4, 12}})
	_, _, known := h.state.Ready(begin)
	require.True(t, known)
	h.pass(1100 * time.Millisecond)
	h.transfers(false, map[string][2]int64{"d2": {4, 12}})
	_, _, known = h.state.Ready(begin.Add(h.now))
	require.False(t, known, "the chunk manifest is overdue")
}

// TestEngineThatLosesItsWeightsLoadsBeforeItsTurn guards against an engine that stays empty until the turn that it had while it held a usable
// version, for seconds beside a complete version. It tells no start time, so its restart shows by its weights only.
func TestEngineThatLosesItsWeightsLoadsBeforeItsTurn(t *testing.T) {
	prepared := 0
	for _, other := range []string{"10.0.0.2:7700", "10.0.0.3:7700", "10.0.0.4:7700", "10.0.0.5:7700"} {
		h := newHarness(other)
		h.engine.Loaded["m"] = 1
		h.read()
		h.fetch(2, "d2")
		if hasPrepare(h.pass(500 * time.Millisecond)) {
			continue // It is the first in the order.
		}
		h.engine.Loaded = map[string]int64{}
		require.True(t, hasPrepare(h.pass(200*time.Millisecond)))
		prepared++
	}
	require.Positive(t, prepared)
}

package forward_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

const (
	// expiry is when version 1 expires in these tests: version 2 is activated at 0.
	expiry = 8 * time.Second
	// arrivalsStart and arrivalsEnd enclose the time in which requests arrive.
	arrivalsStart, arrivalsEnd = 4 * time.Second, 9 * time.Second
	// simulatedTick is the time between two ticks and between two arrivals.
	simulatedTick = 20 * time.Millisecond
	// usualStartTime is how long an engine that is awake usually takes to start a request, and outputTime how long it then takes to answer it.
	usualStartTime, outputTime = 200 * time.Millisecond, 300 * time.Millisecond
)

// engineRun is a request at an engine of a pausingFleet.
type engineRun struct {
	id     uint64
	engine string
	// due is when the engine starts the request, or when the started request ends.
	due     time.Duration
	started bool
	// abandoned is set if the entry closed the request's connection while the engine was silent.
	abandoned bool
}

// pausingFleet simulates an entry and engines, of which m1 is silent for a time. Meanwhile, m1 notices no closed connection. When it goes
// on, it starts all that it received before it notices.
type pausingFleet struct {
	*rig
	t        *testing.T
	versions map[string]int64
	// silentFrom and silentUntil enclose the silence of m1, and lateFrom and lateUntil the time in which the entry does nothing.
	silentFrom, silentUntil, lateFrom, lateUntil time.Duration
	// startTime is how long an engine that is awake takes to start a request.
	startTime time.Duration
	// manifestInterval is the time between two manifest changes; 0 for none.
	manifestInterval time.Duration
	runs             []*engineRun
	// late counts the requests that started on version 1 after its expiry, and lost those that were not answered. refusedFrom is when the
	// first request was lost; 0 if none was.
	late, lost  int
	refusedFrom time.Duration
}

// newPausingFleet returns a fleet of engines with the given versions, whose entry has received a complete stream with a pause.
func newPausingFleet(t *testing.T, versions map[string]int64, pause time.Duration) *pausingFleet {
	f := &pausingFleet{rig: newRig(), t: t, versions: versions, startTime: usualStartTime}
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		f.add(id, "model", "perth-a", 1000)
	}
	f.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	f.now = arrivalsStart
	f.reportLoads()
	const id = 1 << 20
	only[forward.Send](t, f.arrive(id, resumableStream))
	f.step(forward.Started{ID: id, Version: 1})
	f.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered, Partial: true, MaxGap: pause})
	return f
}

// run simulates all requests until their ends.
func (f *pausingFleet) run(path string) {
	for id := uint64(1); f.now < arrivalsEnd; id++ {
		f.now += simulatedTick
		f.advanceEngines()
		if f.lateFrom <= f.now && f.now < f.lateUntil {
			continue
		}
		if f.manifestInterval > 0 && f.now%f.manifestInterval < simulatedTick {
			f.changeManifest()
		}
		f.reportLoads()
		f.execute(f.step(step.Tick{}))
		f.execute(f.arrive(id, path))
	}
}

// reportLoads has each engine's agent send a load report.
func (f *pausingFleet) reportLoads() {
	for _, id := range slices.Sorted(maps.Keys(f.versions)) {
		f.execute(f.step(forward.LoadReported{Address: id, Entries: 1, NearEntries: 1, Versions: map[string]int64{"m": f.versions[id]}}))
	}
}

// changeManifest has the entry receive another manifest with the same content.
func (f *pausingFleet) changeManifest() {
	changed := *f.state.Catalog.Manifest
	changed.Version++
	f.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: changed.Version}, Manifest: &changed})
}

// silent reports whether an engine is silent now.
func (f *pausingFleet) silent(engine string) bool {
	return engine == "m1" && f.silentFrom <= f.now && f.now < f.silentUntil
}

// advanceEngines starts and ends the requests that are due.
func (f *pausingFleet) advanceEngines() {
	var left, ended []*engineRun
	for _, r := range f.runs {
		switch {
		case r.due > f.now || f.silent(r.engine):
			left = append(left, r)
		case r.started:
			ended = append(ended, r)
		default:
			f.start(r)
			if !r.abandoned {
				left = append(left, r)
			}
		}
	}
	f.runs = left
	for _, r := range ended {
		f.execute(f.step(forward.AttemptEnded{ID: r.id, Outcome: forward.Answered, Partial: true}))
	}
}

// start starts a request at its engine.
func (f *pausingFleet) start(r *engineRun) {
	version := f.versions[r.engine]
	if version == 1 && f.now > expiry {
		f.late++
	}
	r.started, r.due = true, f.now+outputTime
	if !r.abandoned {
		f.execute(f.step(forward.Started{ID: r.id, Version: version}))
	}
}

// execute carries out the effects of the entry.
func (f *pausingFleet) execute(effects []step.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Send:
			f.runs = append(f.runs, &engineRun{id: e.ID, engine: e.Upstream.ID, due: f.now + f.startTime})
		case forward.Withdraw:
			f.withdraw(e.ID)
		case forward.Refuse, forward.Abort:
			f.lost++
			if f.refusedFrom == 0 {
				f.refusedFrom = f.now
			}
		}
	}
}

// withdraw closes the connection of a request. An engine that is awake drops it.
func (f *pausingFleet) withdraw(id uint64) {
	var left []*engineRun
	for _, r := range f.runs {
		if r.id == id && !r.abandoned {
			if !f.silent(r.engine) {
				continue
			}
			r.abandoned = true
		}
		left = append(left, r)
	}
	f.runs = left
	f.execute(f.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn}))
}

// TestSilentEngineStartsNothingOnAnExpiredVersion guards against requests that a silent engine starts on an expired version, since it
// notices their withdrawal only when it goes on. It is silent for up to 1.5 s, from any time before the expiry on.
func TestSilentEngineStartsNothingOnAnExpiredVersion(t *testing.T) {
	noneUpdated := map[string]int64{"m1": 1, "m2": 1}
	oneUpdated := map[string]int64{"m1": 1, "m2": 1, "m3": 2}
	for _, c := range []struct {
		name     string
		versions map[string]int64
		pause    time.Duration
		path     string
		lossless bool
	}{
		{"no engine has the new version, and pauses occur", noneUpdated, 1400 * time.Millisecond, resumableStream, false},
		{"the same for requests that run once", noneUpdated, 1400 * time.Millisecond, nonResumableStream, false},
		{"an engine has the new version", oneUpdated, 0, resumableStream, true},
		{"the same for requests that run once", oneUpdated, 0, nonResumableStream, true},
	} {
		const interval = 100 * time.Millisecond
		for length := 700 * time.Millisecond; length <= 1500*time.Millisecond; length += 2 * interval {
			for from := 5 * time.Second; from <= expiry; from += interval {
				f := newPausingFleet(t, c.versions, c.pause)
				f.silentFrom, f.silentUntil = from, from+length
				f.run(c.path)
				require.Zero(t, f.late, "%s: silent from %v for %v", c.name, from, length)
				require.False(t, c.lossless && f.lost > 0, "%s: silent from %v for %v: %d lost", c.name, from, length, f.lost)
			}
		}
	}
}

// TestRefusalsBeforeAnExpiryDependOnPauses guards against refusing requests earlier than needed while no engine has the new version and
// none pauses.
func TestRefusalsBeforeAnExpiryDependOnPauses(t *testing.T) {
	for _, c := range []struct {
		path  string
		pause time.Duration
		from  time.Duration
	}{
		{resumableStream, 0, 7160 * time.Millisecond},
		{resumableStream, 300 * time.Millisecond, 7160 * time.Millisecond},
		{resumableStream, 1400 * time.Millisecond, 6260 * time.Millisecond},
		{resumableStream, time.Minute, 6160 * time.Millisecond},
		{nonResumableStream, 0, 6700 * time.Millisecond},
		{nonResumableStream, 1400 * time.Millisecond, 5800 * time.Millisecond},
	} {
		f := newPausingFleet(t, map[string]int64{"m1": 1, "m2": 1}, c.pause)
		f.run(c.path)
		require.Equal(t, c.from, f.refusedFrom, "%s after a pause of %v", c.path, c.pause)
	}
}

// TestPauseThatEndedAnAttemptIsObserved guards against margins that do not cover the longest pauses, since these end attempts.
func TestPauseThatEndedAnAttemptIsObserved(t *testing.T) {
	for _, c := range []struct {
		end     forward.AttemptEnded
		refused bool
	}{
		{forward.AttemptEnded{ID: 1, Outcome: forward.Silent, Partial: true, SinceLastPart: 1200 * time.Millisecond}, true},
		{forward.AttemptEnded{ID: 1, Outcome: forward.Silent}, false},
		{forward.AttemptEnded{ID: 1, Outcome: forward.Broken, Partial: true, SinceLastPart: 1200 * time.Millisecond}, false},
	} {
		f := newPausingFleet(t, map[string]int64{"m1": 1, "m2": 1}, 0)
		only[forward.Send](t, f.arrive(1, nonResumableStream))
		f.step(c.end)
		f.now = 5800 * time.Millisecond
		f.reportLoads()
		require.Equal(t, !c.refused, len(sentIDs(f.arrive(2, nonResumableStream))) == 1, c.end)
	}
}

// TestEngineWithTheNextVersionIsPreferredBeforeAnExpiry guards against unstarted requests at engines that may pause until their version has
// expired, and against refusing requests that an engine can still take.
func TestEngineWithTheNextVersionIsPreferredBeforeAnExpiry(t *testing.T) {
	for _, path := range []string{resumableStream, nonResumableStream} {
		r := newRig()
		r.add("m1", "model", "perth-a", 2)
		r.add("m2", "model", "bunbury-a", 1)
		r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
		r.now = 5600 * time.Millisecond
		report := func() {
			r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			r.step(forward.LoadReported{Address: "m2", Versions: map[string]int64{"m": 2}, Entries: 1})
		}
		report()
		require.Equal(t, "m1", only[forward.Send](t, r.arrive(1, path)).Upstream.ID, "it is near")
		r.now = 5800 * time.Millisecond
		report()
		require.Equal(t, "m2", only[forward.Send](t, r.arrive(2, path)).Upstream.ID)
		require.Equal(t, "m1", only[forward.Send](t, r.arrive(3, path)).Upstream.ID, "m2 is full")
		require.Empty(t, r.arrive(4, path)[1:], "both are full, so it waits")
		require.Equal(t, uint64(4), only[forward.Send](t, r.step(forward.AttemptEnded{ID: 3, Outcome: forward.Answered})).ID)
	}
}

// TestLateEntryAndManifestChangesDoNotDelayWithdrawals guards against requests that start on an expired version because the entry was late
// when they had to be withdrawn, or because manifests change at that time. The engines take long to start a request.
func TestLateEntryAndManifestChangesDoNotDelayWithdrawals(t *testing.T) {
	const interval, lateness = 100 * time.Millisecond, 500 * time.Millisecond
	for _, path := range []string{resumableStream, nonResumableStream} {
		for from := 6 * time.Second; from <= expiry; from += interval {
			f := newPausingFleet(t, map[string]int64{"m1": 1, "m2": 1, "m3": 2}, 0)
			f.startTime = 3 * time.Second
			f.lateFrom, f.lateUntil = from, from+lateness
			f.manifestInterval = 67 * time.Millisecond
			f.run(path)
			require.Zero(t, f.late, "%s: late from %v on", path, from)
			require.False(t, path == resumableStream && f.lost > 0, "%s: late from %v on: %d lost", path, from, f.lost)
		}
	}
}

package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// unpredicted is an agent that predicts nothing. In an outage, entries then decide as they did before there were forecasts.
func unpredicted(*outageFleet, int) time.Duration { return 0 }

// exact is an agent that knows when its engine will accept requests.
func exact(f *outageFleet, i int) time.Duration { return max(0, f.engines[i].readyAt-f.now) }

// TestOutageAnswersMoreCallers guards against two tries of most callers in vain. The load is an outage of 6 s at 0.47, 0.75 and 0.93
// of the capacity, with five seeds each.
func TestOutageAnswersMoreCallers(t *testing.T) {
	for _, load := range []float64{50, 80, 100} {
		var before, after, inTimeBefore, inTime, answeredBefore, answered float64
		for seed := range uint64(5) {
			old := newOutageFleet(seed+1, load, unpredicted).run(16 * time.Second)
			f := newOutageFleet(seed+1, load, exact)
			f.strict = true
			f.run(16 * time.Second)
			t.Logf("load %v: %d in time, %d late, %d lost, longest wait in vain %v, %v; without predictions %d, %d, %d", load, f.inTime, f.late, f.lost, f.inVain, f.waits, old.inTime, old.late, old.lost)
			require.Zero(t, f.left, "load %v: callers left without an answer", load)
			require.Zero(t, f.badRetries, "load %v: delays that callers do not follow", load)
			require.LessOrEqual(t, f.inVain, outageCaller-290*time.Millisecond)
			require.Empty(t, old.waits)
			before, after = before+old.value(), after+f.value()
			inTimeBefore, inTime = inTimeBefore+float64(old.inTime), inTime+float64(f.inTime)
			answeredBefore, answered = answeredBefore+float64(old.inTime+old.late), answered+float64(f.inTime+f.late)
		}
		t.Logf("load %v: %v in time, %v answered, without predictions %v, %v", load, inTime, answered, inTimeBefore, answeredBefore)
		require.Greater(t, after, before, "load %v", load)
		require.Greater(t, answered, answeredBefore, "load %v", load)
		require.Greater(t, inTime, 0.99*inTimeBefore, "load %v: first tries lost their slots", load)
	}
}

// TestWrongPredictionsAreNoWorse guards against callers that are worse off with predictions than without. The load is as above, at 0.75
// of the capacity, with predictions that are wrong in each way in which they can be, agents that die in the middle of the outage, and
// callers that ignore Retry-After.
func TestWrongPredictionsAreNoWorse(t *testing.T) {
	before := newOutageFleet(1, 80, unpredicted).run(16 * time.Second)
	cases := map[string]func(*outageFleet, int) time.Duration{
		"half lost": func(f *outageFleet, i int) time.Duration {
			return exact(f, i) * time.Duration(f.random.IntN(2))
		},
		"none from half of the engines": func(f *outageFleet, i int) time.Duration { return exact(f, i) * time.Duration(i%2) },
		"late by 0.9 s":                 func(f *outageFleet, i int) time.Duration { return exact(f, i) + 900*time.Millisecond },
		"2 s too early":                 func(f *outageFleet, i int) time.Duration { return max(time.Millisecond, exact(f, i)-2*time.Second) },
		"2 s too late":                  func(f *outageFleet, i int) time.Duration { return exact(f, i) + 2*time.Second },
		"always 1.5 s ahead":            func(*outageFleet, int) time.Duration { return 1500 * time.Millisecond },
		"dead":                          exact,
		"impatient":                     exact,
	}
	for name, predict := range cases {
		f := newOutageFleet(1, 80, predict)
		f.impatient = name == "impatient"
		f.dead = func(f *outageFleet, i int) bool {
			return name == "dead" && i%2 == 1 && f.now > outageBegin+3*time.Second && f.now < outageBegin+9*time.Second
		}
		f.run(16 * time.Second)
		t.Logf("%s: %d in time, %d late, %d lost, longest wait in vain %v, %v", name, f.inTime, f.late, f.lost, f.inVain, f.waits)
		require.Zero(t, f.left, name)
		require.LessOrEqual(t, f.inVain, outageCaller-290*time.Millisecond, name)
		if name != "dead" { // The baseline has all engines.
			require.Greater(t, f.value(), 0.98*before.value(), name)
		}
	}
}

// reportAll has all engines send the same report.
func (r *rig) reportAll(report forward.LoadReported) (effects []step.Effect) {
	for i := range outageEngines {
		report.Address, report.Entries, report.NearEntries = fmt.Sprint(i), 1, 1
		effects = append(effects, r.step(report)...)
	}
	return effects
}

// newWaitingRig returns an entry at which request 2 waits for the end of an outage, which is predicted in 2 s.
func newWaitingRig(t *testing.T) *rig {
	r := newOutageRig()
	r.reportAll(forward.LoadReported{ReadyIn: 2 * time.Second, ReadyVersion: 1})
	first := only[forward.Refuse](t, r.arriveWithTimeout(1, 6*time.Second))
	require.GreaterOrEqual(t, first.RetryAfter, 950*time.Millisecond)
	require.LessOrEqual(t, first.RetryAfter, 2*time.Second)
	require.Equal(t, forward.WaitsForEnd, only[forward.WaitDecided](t, r.arriveWithTimeout(2, 4*time.Second)).Decision)
	return r
}

// tick lets a tick pass.
func (r *rig) tick() []step.Effect {
	r.now += 20 * time.Millisecond
	return r.step(step.Tick{})
}

// TestWaitEndsWhenItsEndMovesOutOfReach guards against callers who are held in vain. Within a tick after the agents' predictions move
// out of reach, are withdrawn or become too old, the request is refused, and it certainly did not run.
func TestWaitEndsWhenItsEndMovesOutOfReach(t *testing.T) {
	for name, report := range map[string]forward.LoadReported{
		"moved": {ReadyIn: 4 * time.Second, ReadyVersion: 1}, "withdrawn": {}, "withdrawn while loading": {NotAccepting: true},
	} {
		r := newWaitingRig(t)
		require.Empty(t, refusals(r.tick()))
		r.reportAll(report)
		refuse := only[forward.Refuse](t, r.tick())
		require.Equal(t, code.NotRun, refuse.Ran, name)
		require.Contains(t, refuse.Reason, "engines of model usable", name)
		require.Zero(t, r.state.InFlight(), name)
	}
	r := newWaitingRig(t)
	for r.state.WaitingForEnd() > 0 {
		require.Less(t, r.now, 2500*time.Millisecond, "the agents died")
		r.tick()
	}
}

// TestReturningCapacityIsFilledAtTheReadingRate guards against slots that stay idle when the fleet comes back, because a first try
// had to wait a moment ago. The load is a burst of 60 returns at the moment at which room comes, with a first try in each tick.
func TestReturningCapacityIsFilledAtTheReadingRate(t *testing.T) {
	r := newOutageRig()
	r.arriveWithTimeout(1, 6*time.Second)
	r.reportAll(forward.LoadReported{ReadyIn: 200 * time.Millisecond, ReadyVersion: 1})
	for id := uint64(10); id < 70; id++ {
		r.arriveWithTimeout(id, 4500*time.Millisecond)
	}
	require.Equal(t, 60, r.state.WaitingForEnd())
	r.now += 200 * time.Millisecond
	sent, next := map[bool]int{}, uint64(100)
	for range 15 {
		effects := r.tick()
		if r.now%(100*time.Millisecond) == 0 {
			effects = append(effects, r.reportAll(forward.LoadReported{Versions: map[string]int64{"m": 1}})...)
		}
		effects = append(effects, r.arriveWithTimeout(next, 6*time.Second)...)
		next++
		for _, id := range sentIDs(effects) {
			sent[id >= 100]++
			r.step(forward.Started{ID: id}) // The prompts of 1000 tokens are read by the next report.
		}
	}
	require.GreaterOrEqual(t, sent[true], 13, "first tries come first")
	require.InDelta(t, 43, sent[false]+sent[true], 6, "in each of three reports, eight engines ask for 90 ms of prompts, which are 14.4")
}

// TestRestartedEntryLearnsTheForecast guards against an entry that needs more than one report of each agent after its restart in an
// outage. Until then it decides as without forecasts.
func TestRestartedEntryLearnsTheForecast(t *testing.T) {
	r := newOutageRig()
	r.reportAll(forward.LoadReported{})
	require.GreaterOrEqual(t, only[forward.Refuse](t, r.arriveWithTimeout(1, 6*time.Second)).RetryAfter, 2*time.Second)
	require.Len(t, refusals(r.arriveWithTimeout(2, 4500*time.Millisecond)), 1)
	r.reportAll(forward.LoadReported{ReadyIn: time.Second, ReadyVersion: 1})
	r.now += 20 * time.Millisecond
	require.Empty(t, refusals(r.arriveWithTimeout(3, 4500*time.Millisecond)))
	require.Equal(t, 1, r.state.WaitingForEnd())
}

// TestUnusablePredictionsAreIgnored guards against waits for an engine that returns with an outdated version, and against a first try
// that waits although it can come back.
func TestUnusablePredictionsAreIgnored(t *testing.T) {
	r := newOutageRig()
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now += 7 * time.Second
	r.reportAll(forward.LoadReported{ReadyIn: time.Second, ReadyVersion: 1})
	require.GreaterOrEqual(t, only[forward.Refuse](t, r.arriveWithTimeout(1, 6*time.Second)).RetryAfter, 2*time.Second)
	r.reportAll(forward.LoadReported{ReadyIn: time.Second, ReadyVersion: 2})
	r.now += 20 * time.Millisecond
	require.Less(t, only[forward.Refuse](t, r.arriveWithTimeout(2, 6*time.Second)).RetryAfter, 2*time.Second)
	require.Empty(t, refusals(r.arriveWithTimeout(3, 2500*time.Millisecond)), "it can't come back in time, so it waits")
}

// TestLeastUrgentWaitIsShed guards against bodies of waiting requests that fill the memory for callers.
func TestLeastUrgentWaitIsShed(t *testing.T) {
	r := newWaitingRig(t)
	r.state.Self.MaxHeldBytes = 1000
	r.now += time.Millisecond
	arrived := forward.Arrived{ID: 3, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Budget: 4 * time.Second, Size: 600}
	require.Empty(t, refusals(r.step(arrived)))
	r.now += time.Millisecond
	arrived.ID = 4
	require.Equal(t, uint64(4), only[forward.Refuse](t, r.step(arrived)).ID)
	arrived.ID, arrived.Size = 5, 2000
	require.Equal(t, uint64(5), only[forward.Refuse](t, r.step(arrived)).ID)
	require.Equal(t, 2, r.state.WaitingForEnd())
}

// TestOversizedRequestBlocksNoOthers guards against a request that fits into no engine's memory and waits for the end of an outage: it
// would be refused at the end, and the requests behind it would not be sent though engines are back.
func TestOversizedRequestBlocksNoOthers(t *testing.T) {
	r := newOutageRig()
	r.state.Catalog.Manifest.Services["model"].Engine.MemoryTokens = 2000
	r.arriveWithTimeout(1, 6*time.Second)
	r.reportAll(forward.LoadReported{ReadyIn: 200 * time.Millisecond, ReadyVersion: 1})
	oversized := r.step(forward.Arrived{ID: 2, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Budget: 4 * time.Second, PromptTokens: 3000})
	require.Empty(t, refusals(r.arriveWithTimeout(3, 4500*time.Millisecond)))
	r.now += 200 * time.Millisecond
	r.reportAll(forward.LoadReported{Versions: map[string]int64{"m": 1}})
	require.Equal(t, []uint64{3}, sentIDs(r.tick()))
	require.Len(t, refusals(oversized), 1)
}

// TestGoneRequestsWaitNoLonger guards against requests that are refused because others, whose callers are gone or whose deadline has
// passed, still count as waiting until the next tick.
func TestGoneRequestsWaitNoLonger(t *testing.T) {
	for _, ev := range []step.Event{forward.CallerGone{ID: 3}, forward.TimedOut{ID: 3}} {
		r := newWaitingRig(t)
		r.state.Self.MaxHeldBytes = 1000
		arrived := forward.Arrived{ID: 3, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Budget: 4 * time.Second, Size: 600}
		require.Empty(t, refusals(r.step(arrived)))
		r.step(ev)
		require.Equal(t, 1, r.state.WaitingForEnd())
		r.now += time.Millisecond
		arrived.ID = 4
		require.Empty(t, refusals(r.step(arrived)))
		require.Equal(t, 2, r.state.WaitingForEnd())
	}
}

// TestShutdownEndsWaits guards against a caller who waits for the end of an outage at a process that shuts down, until its connection is
// closed without an answer.
func TestShutdownEndsWaits(t *testing.T) {
	r := newWaitingRig(t)
	refuse := only[forward.Refuse](t, r.step(forward.ShutdownStarted{}))
	require.Equal(t, code.Stopping, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	require.Zero(t, r.state.WaitingForEnd())
	require.Zero(t, r.state.InFlight())
}

// TestNoRequestWaitsWithoutEngines guards against requests that begin to wait for the end of an outage when no engine is registered any
// more, and are refused with the next tick only.
func TestNoRequestWaitsWithoutEngines(t *testing.T) {
	r := newWaitingRig(t)
	for i := range outageEngines {
		r.applyCatalog(catalog.UpstreamRemoved{ID: fmt.Sprint(i), Revision: storerev.Revision{Number: 1000}})
	}
	r.now += 20 * time.Millisecond
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arriveWithTimeout(3, 4*time.Second)).Code)
	require.Len(t, refusals(r.tick()), 1, "the request that waited")
}

// decisions returns the decisions among effects in words.
func decisions(effects []step.Effect) (list []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case forward.Send:
			list = append(list, fmt.Sprint(e.ID, " to ", e.Upstream.ID, " ", e.FirstEventTimeout, e.Deadline))
		case forward.Accepted:
		default:
			list = append(list, fmt.Sprintf("%T%+v", e, e))
		}
	}
	return list
}

// TestDecisionsWithoutOutageIgnorePredictions guards against any change of decisions outside of outages. The load is a service that is
// full for a minute, with callers who ignore Retry-After; one entry gets predictions with the reports and the other none.
func TestDecisionsWithoutOutageIgnorePredictions(t *testing.T) {
	entries := []*rig{newOutageRig(), newOutageRig()}
	var effects [2][]step.Effect
	for id := uint64(1); id <= 6000; id++ {
		for i, r := range entries {
			report := forward.LoadReported{RequestCount: int(10 + id%3), Versions: map[string]int64{"m": 1}, ReadyIn: time.Duration(i*int(id)) * time.Millisecond}
			effects[i] = append(effects[i], r.reportAll(report)...)
			effects[i] = append(effects[i], r.arriveWithTimeout(id, 6*time.Second-time.Duration(id%4)*500*time.Millisecond)...)
			if r.now += 10 * time.Millisecond; id%2 == 0 {
				effects[i] = append(effects[i], r.step(step.Tick{})...)
			}
			if id > 90 {
				effects[i] = append(effects[i], r.step(forward.AttemptEnded{ID: id - 90, Outcome: forward.Answered})...)
			}
		}
	}
	require.Equal(t, decisions(effects[0]), decisions(effects[1]))
}

// BenchmarkOutage measures the decision on a request in an outage, with a tick after every hundred requests, and with or without
// predictions of its end.
func BenchmarkOutage(b *testing.B) {
	for _, ready := range []time.Duration{0, 2 * time.Second} {
		for _, n := range []int{20, 1000} {
			b.Run(fmt.Sprintf("%d upstreams, end in %v", n, ready), func(b *testing.B) {
				r := newOutageRig()
				for i := range n {
					r.add(fmt.Sprint(i), "model", []string{"perth-a", "bunbury-a"}[i%2], 12)
				}
				id := uint64(0)
				for b.Loop() {
					if id%1000 == 0 {
						b.StopTimer()
						for i := range n {
							r.step(forward.LoadReported{Address: fmt.Sprint(i), Entries: 10, NearEntries: 5, ReadyIn: ready, ReadyVersion: 1})
						}
						b.StartTimer()
					}
					if id++; id%100 == 0 {
						r.now += 20 * time.Millisecond
						r.step(step.Tick{})
					}
					r.arriveWithTimeout(id, 6*time.Second-time.Duration(id%2)*1500*time.Millisecond)
				}
			})
		}
	}
}

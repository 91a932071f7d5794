package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

const ms = time.Millisecond

// unevenRig is an entry with engines of twelve slots whose times to the first event the test sets.
type unevenRig struct {
	*rig
	id      uint64
	engines []string
	// running maps the requests with an engine to it; sent counts them by engine.
	running map[uint64]string
	sent    map[string]int
	// gaps are the longest gaps of the requests' streams.
	gaps map[uint64]time.Duration
}

// newUnevenRig returns an entry, with the setting uneven-engines on or off, and n engines.
func newUnevenRig(n int, on bool) *unevenRig {
	r := &unevenRig{rig: newRig(), running: map[uint64]string{}, sent: map[string]int{}, gaps: map[uint64]time.Duration{}}
	self := r.state.Self
	self.UnevenEngines = on
	r.state = forward.NewState(self, r.state.Catalog)
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 12, PromptTokensPerSecond: 25000}}
	for i := range n {
		id := fmt.Sprintf("m%d", i)
		r.engines = append(r.engines, id)
		r.add(id, "model", "perth-a", 12)
		r.reportLoad(id)
	}
	r.step(step.Tick{})
	return r
}

func (r *unevenRig) reportLoad(id string) {
	r.step(forward.LoadReported{Address: id, RequestCount: r.count(id), Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
}

func (r *unevenRig) count(engine string) int {
	n := 0
	for _, e := range r.running {
		if e == engine {
			n++
		}
	}
	return n
}

// send lets a request arrive and returns its ID and its engine, "" if it was not sent.
func (r *unevenRig) send(path string) (uint64, string) {
	r.id++
	r.step(forward.Arrived{ID: r.id, Host: "h", Path: path + "x", Key: "key-1", Model: "m", PromptTokens: 50})
	return r.id, r.running[r.id]
}

// step passes an event to the reducer and records the requests that it sends.
func (r *unevenRig) step(ev step.Event) []step.Effect {
	effects := r.rig.step(ev)
	for _, e := range sentAttempts(effects) {
		r.running[e.ID] = e.Upstream.ID
		r.sent[e.Upstream.ID]++
	}
	return effects
}

// serve has requests arrive every 20 ms and answers each after the time that took returns for its engine.
func (r *unevenRig) serve(d time.Duration, took func(engine string, running int) time.Duration) {
	due := map[time.Duration][]uint64{}
	for end := r.now + d; r.now < end; r.now += 10 * ms {
		if r.now%(20*ms) == 0 {
			before := map[string]int{}
			for _, e := range r.engines {
				before[e] = r.count(e)
			}
			if id, engine := r.send(resumableStream); engine != "" {
				at := r.now + took(engine, before[engine]).Round(10*ms)
				due[at] = append(due[at], id)
			}
		}
		for _, id := range due[r.now] {
			r.finish(id)
		}
		if r.now%(200*ms) == 0 {
			for _, e := range r.engines {
				r.reportLoad(e)
			}
		}
		r.step(step.Tick{})
	}
	for id := range r.running {
		r.finish(id)
	}
}

func (r *unevenRig) finish(id uint64) {
	r.step(forward.Started{ID: id})
	r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered, MaxGap: r.gaps[id]})
	delete(r.running, id)
}

func steadyEngine(string, int) time.Duration { return 100 * ms }

// withdrawn returns the IDs that effects withdraw.
func withdrawn(effects []step.Effect) []uint64 {
	var ids []uint64
	for _, e := range effects {
		if w, ok := e.(forward.Withdraw); ok {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// stages returns the stages of second attempts in effects.
func stages(effects []step.Effect) []forward.SecondAttemptStage {
	var found []forward.SecondAttemptStage
	for _, e := range effects {
		if s, ok := e.(forward.SecondAttempt); ok {
			found = append(found, s.Stage)
		}
	}
	return found
}

// TestFasterEngineIsChosen guards against a choice by load alone, which fills a slow engine that reports no slowdown as much as the
// others: one of four engines takes four times as long.
func TestFasterEngineIsChosen(t *testing.T) {
	took := func(engine string, _ int) time.Duration {
		if engine == "m0" {
			return 400 * ms
		}
		return 100 * ms
	}
	share := func(on bool) float64 {
		r := newUnevenRig(4, on)
		r.serve(20*time.Second, took)
		return float64(r.sent["m0"]) / float64(r.sent["m0"]+r.sent["m1"]+r.sent["m2"]+r.sent["m3"])
	}
	on, off := share(true), share(false)
	require.Less(t, on, 0.08)
	require.Positive(t, on, "it is tried again")
	require.Greater(t, off, on)
}

// TestEngineAtItsLimitGetsNoMore guards against requests that make the running ones miss their objective: with four requests or more, an
// engine takes 1.2 s to the first event instead of 0.15 s, at an objective of 0.5 s, or pauses for 0.6 s at a gap objective of 0.2 s.
func TestEngineAtItsLimitGetsNoMore(t *testing.T) {
	for name, slow := range map[string]func(r *unevenRig) time.Duration{
		"first event": func(*unevenRig) time.Duration { return 1200 * ms },
		"gap": func(r *unevenRig) time.Duration {
			r.gaps[r.id] = 600 * ms
			return 150 * ms
		},
	} {
		r := newUnevenRig(1, true)
		r.state.Catalog.Manifest.Route("h", resumableStream).GapObjective = 200 * ms
		missed := 0
		took := func(_ string, running int) time.Duration {
			if running < 4 {
				r.gaps[r.id] = 50 * ms
				return 150 * ms
			}
			missed++
			return slow(r)
		}
		r.serve(5*time.Second, took)
		before := missed
		require.Positive(t, before, name)
		r.serve(5*time.Second, took)
		require.Less(t, missed-before, 25, "%s: a tenth of the requests", name)
	}
}

// TestJustStartedEngineIsFilledSlowly guards against an engine that gets all its slots filled in the moment of its start.
func TestJustStartedEngineIsFilledSlowly(t *testing.T) {
	r := newUnevenRig(1, true)
	r.now = 10 * time.Second
	r.add("new", "model", "perth-a", 12)
	fill := func() int {
		r.reportLoad("m0")
		r.reportLoad("new")
		for range 40 {
			r.send(resumableStream)
		}
		return r.count("new")
	}
	require.Equal(t, 4, fill())
	r.now += 1500 * ms
	require.Equal(t, 8, fill())
	r.now += 1500 * ms
	require.Equal(t, 12, fill())
	require.Equal(t, 12, r.count("m0"), "known since the entry's own start")
}

// TestLateFirstEventGetsSecondAttempt guards against a request that waits for an engine that hangs until its timeout, while others would
// answer in 0.1 s. The first engine's slot is free again, and the second attempt is the last.
func TestLateFirstEventGetsSecondAttempt(t *testing.T) {
	r := newUnevenRig(4, true)
	r.serve(10*time.Second, steadyEngine)
	id, first := r.send(resumableStream)
	sentAt := r.now
	var effects []step.Effect
	for ; len(withdrawn(effects)) == 0 && r.now < sentAt+time.Second; r.now += 20 * ms {
		effects = r.step(step.Tick{})
	}
	require.Equal(t, []uint64{id}, withdrawn(effects))
	require.InDelta(t, 420, float64((r.now-sentAt)/ms), 60, "0.3 s over its prediction of 0.1 s")
	require.Equal(t, []uint64{id}, withdrawn(r.step(step.Tick{})), "until the attempt has ended")
	send := only[forward.Send](t, r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn}))
	require.Equal(t, 2, send.Attempt)
	require.NotEqual(t, first, send.Upstream.ID)
	r.now += 700 * ms
	require.Empty(t, withdrawn(r.step(step.Tick{})), "never a third")
	require.Equal(t, []forward.SecondAttemptStage{forward.SecondWon}, stages(r.step(forward.Started{ID: id})))
	r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
	require.Zero(t, r.state.InFlight())
}

// TestFirstEventBeforeWithdrawalIsUsed guards against a reserved slot that stays taken when the first attempt sends its first event, or
// its caller leaves, while it is being withdrawn.
func TestFirstEventBeforeWithdrawalIsUsed(t *testing.T) {
	for name, end := range map[string]func(r *unevenRig, id uint64){
		"first event": func(r *unevenRig, id uint64) {
			require.Equal(t, []forward.SecondAttemptStage{forward.SecondLost}, stages(r.step(forward.Started{ID: id})))
			require.Empty(t, withdrawn(r.step(step.Tick{})))
			only[forward.Send](t, r.step(forward.AttemptEnded{ID: id, Outcome: forward.Broken, Partial: true}))
			require.Empty(t, stages(r.step(forward.Started{ID: id})), "a resumption is no second attempt")
			r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
		},
		"caller gone": func(r *unevenRig, id uint64) { r.step(forward.CallerGone{ID: id}) },
		"deadline":    func(r *unevenRig, id uint64) { r.step(forward.TimedOut{ID: id}) },
		"second silent": func(r *unevenRig, id uint64) {
			r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn})
			r.step(forward.AttemptEnded{ID: id, Outcome: forward.Silent})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newUnevenRig(2, true)
			r.serve(10*time.Second, steadyEngine)
			id, _ := r.send(resumableStream)
			r.now += 600 * ms
			require.NotEmpty(t, withdrawn(r.step(step.Tick{})))
			end(r, id)
			require.Zero(t, r.state.InFlight())
			clear(r.running)
			r.now += time.Second // No engine is avoided any more.
			for _, e := range r.engines {
				r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: e}, Sent: begin, Outcome: forward.Answered}) // None is silent.
				r.reportLoad(e)
			}
			for range 24 {
				_, engine := r.send(resumableStream)
				require.NotEmpty(t, engine, "every slot is free")
			}
		})
	}
}

// TestSecondAttemptIsBoundLikeAnyOther guards against a second attempt at the engine that was reserved for it, although the manifest or an
// evacuation forbids that engine since the decision.
func TestSecondAttemptIsBoundLikeAnyOther(t *testing.T) {
	for name, forbid := range map[string]func(r *unevenRig){
		"evacuated": func(r *unevenRig) { r.evacuate("perth-a") },
		"bound elsewhere": func(r *unevenRig) {
			r.changeRoute(resumableStream, "key-1", func(route *catalog.Route) { route.HomeRegions = residency.Regions{"southwest"} })
		},
	} {
		r := newUnevenRig(4, true)
		r.serve(10*time.Second, steadyEngine)
		id, _ := r.send(resumableStream)
		r.now += 600 * ms
		require.Equal(t, []uint64{id}, withdrawn(r.step(step.Tick{})), name)
		r.add("far", "model", "bunbury-a", 12)
		forbid(r)
		r.reportLoad("far")
		require.Equal(t, "far", only[forward.Send](t, r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn})).Upstream.ID, name)
	}
}

// changeRoute puts a manifest in force that differs in one route and has a client account for one key only.
func (r *unevenRig) changeRoute(path, key string, change func(*catalog.Route)) {
	old := r.state.Catalog.Manifest
	route := *old.Route("h", path)
	change(&route)
	m := catalog.NewManifest(old.Version+1, []*catalog.Route{&route}, map[string]*catalog.ClientAccount{key: {Name: "karrakin"}})
	m.HasAccounts, m.Services = true, old.Services
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 2}, Manifest: m})
}

// TestNoSecondAttemptWhereNoneMayBe guards against a second run of a request that must run at most once, a run beyond the route's
// upstreams, and an attempt after the first event.
func TestNoSecondAttemptWhereNoneMayBe(t *testing.T) {
	for name, c := range map[string]struct {
		off     bool
		path    string
		prepare func(r *unevenRig)
		sent    func(r *unevenRig, id uint64)
	}{
		"not repeatable":        {path: nonResumableStream},
		"off":                   {path: resumableStream, off: true},
		"after the first event": {path: resumableStream, sent: func(r *unevenRig, id uint64) { r.step(forward.Started{ID: id}) }},
		"at most one upstream": {path: resumableStream, prepare: func(r *unevenRig) {
			r.state.Catalog.Manifest.Route("h", resumableStream).MaxUpstreams = 1
		}},
		"made non-repeatable meanwhile": {path: resumableStream, sent: func(r *unevenRig, _ uint64) {
			r.changeRoute(resumableStream, "key-1", func(route *catalog.Route) { route.Resumable = false })
		}},
		"bound to another region meanwhile": {path: resumableStream, sent: func(r *unevenRig, _ uint64) {
			r.changeRoute(resumableStream, "key-1", func(route *catalog.Route) { route.HomeRegions = residency.Regions{"southwest"} })
		}},
		"key withdrawn meanwhile": {path: resumableStream, sent: func(r *unevenRig, _ uint64) {
			r.changeRoute(resumableStream, "key-2", func(*catalog.Route) {})
		}},
		"no retry budget": {path: resumableStream, prepare: func(r *unevenRig) { r.state.Self.Retries.Ratio, r.state.Self.Retries.Base = 0, 0 }},
	} {
		r := newUnevenRig(4, !c.off)
		r.serve(10*time.Second, steadyEngine)
		if c.prepare != nil {
			c.prepare(r)
		}
		id, _ := r.send(c.path)
		if c.sent != nil {
			c.sent(r, id)
		}
		for range 60 {
			r.now += 20 * ms
			require.Empty(t, withdrawn(r.step(step.Tick{})), name)
		}
	}
}

// TestAllEnginesSlowAtOnceCauseNoAvalanche guards against second attempts that double the load of a service whose engines all become
// slow at once, and against ones that use up the retry budget when a part of them does.
func TestAllEnginesSlowAtOnceCauseNoAvalanche(t *testing.T) {
	seconds := func(hanging int) int {
		r := newUnevenRig(20, true)
		r.serve(10*time.Second, steadyEngine)
		hangs := map[string]bool{}
		for _, e := range r.engines[:hanging] {
			hangs[e] = true
		}
		n, started := 0, map[time.Duration][]uint64{}
		for end := r.now + 2*time.Second; r.now < end; r.now += 10 * ms {
			if id, engine := r.send(resumableStream); engine != "" && !hangs[engine] {
				started[r.now+100*ms] = append(started[r.now+100*ms], id)
			}
			for _, id := range started[r.now] {
				r.finish(id)
			}
			for _, id := range withdrawn(r.step(step.Tick{})) {
				n++
				for _, e := range sentAttempts(r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn})) {
					if !hangs[e.Upstream.ID] {
						started[r.now+100*ms] = append(started[r.now+100*ms], e.ID)
					}
				}
			}
		}
		return n
	}
	require.LessOrEqual(t, seconds(20), 20, "all: a tenth more load at most, 200 requests arrive")
	some := seconds(1)
	require.Positive(t, some)
	// The window of 10 s had at most 700 requests: 0.7 x (0.2 x 700 + 100) retries are allowed, half of them for second attempts.
	require.LessOrEqual(t, some, 84)
}

// TestUnevenEnginesOffDecidesAlike guards against a setting that changes decisions where it is off or not in effect: the same inputs give
// the same effects with it off, and with it on for a service that declares no engine.
func TestUnevenEnginesOffDecidesAlike(t *testing.T) {
	run := func(on bool) string {
		r := newUnevenRig(4, on)
		delete(r.state.Catalog.Manifest.Services, "model")
		r.add("m9", "model", "bunbury-a", 12) // The views are made again.
		log := ""
		for i := range 400 {
			r.now += 17 * ms
			path := []string{resumableStream, nonResumableStream}[i%2]
			effects := r.step(forward.Arrived{ID: uint64(i + 1), Host: "h", Path: path + "x", Key: "key-1", Model: "m", PromptTokens: 100 * i})
			effects = append(effects, r.step(step.Tick{})...)
			if j := uint64(i - i%7); i > 20 {
				effects = append(effects, r.step(forward.Started{ID: j - 10})...)
				outcome := []forward.Outcome{forward.Answered, forward.Silent, forward.Withdrawn, forward.Declined}[i%4]
				effects = append(effects, r.step(forward.AttemptEnded{ID: j - 10, Outcome: outcome, MaxGap: time.Duration(i) * ms})...)
			}
			if i%5 == 0 {
				r.reportLoad(r.engines[i%len(r.engines)])
			}
			for _, e := range effects {
				switch e := e.(type) {
				case forward.Send:
					log += fmt.Sprintln(e.ID, e.Attempt, e.Upstream.ID, e.FirstEventTimeout, e.GapTimeout)
				case forward.Refuse, forward.Withdraw, forward.Abort:
					log += fmt.Sprintf("%T %+v\n", e, e)
				}
			}
		}
		return log
	}
	off := run(false)
	require.NotEmpty(t, off)
	require.Equal(t, off, run(true))
}

// TestSilenceSaysNothingOfSpeed guards against a wrong prediction for an engine that was silent once: the waits of its requests are no measure
// of its speed.
func TestSilenceSaysNothingOfSpeed(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		r := newUnevenRig(1, true)
		r.serve(10*time.Second, steadyEngine)
		before := r.state.PredictFirstEvent(begin.Add(r.now), "m0", 50)
		var ids []uint64
		for range 8 {
			id, _ := r.send(resumableStream)
			ids = append(ids, id)
		}
		r.now += 1500 * ms
		if stalled {
			r.state.NoteStalled(begin.Add(r.now), catalog.Instance{ID: "m0"})
		}
		for i, id := range ids {
			if i == 0 && !stalled {
				r.step(forward.AttemptEnded{ID: id, Outcome: forward.Silent})
				continue
			}
			r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "m0"}, Sent: begin, Outcome: forward.Answered})
			r.finish(id)
		}
		require.InDelta(t, before, r.state.PredictFirstEvent(begin.Add(r.now), "m0", 50), float64(10*ms), "stalled: %v", stalled)
	}
}

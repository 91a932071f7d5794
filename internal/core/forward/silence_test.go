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
	"samphireweir.example/samphireweir/internal/hostconfig"
)

// allPaths are the paths of all kinds of routes, with their services.
var allPaths = map[string]string{nonIdempotentCall: "desk", idempotentCall: "desk", resumableStream: "model", nonResumableStream: "model"}

// fallSilent returns an entry with an upstream, at which one request was silent and another one is open.
func fallSilent(t *testing.T, service, path string) *rig {
	r := startBusy(t, "u1", service, path, 2)
	r.now = 1500 * time.Millisecond
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Silent})
	return r
}

// TestUpstreamThatGoesOnIsUsedAtOnce guards against avoiding an upstream that was silent for a second and goes on, and against avoiding it
// for longer each time.
func TestUpstreamThatGoesOnIsUsedAtOnce(t *testing.T) {
	r := startBusy(t, "u1", "model", resumableStream, 1)
	r.add("far", "model", "bunbury-a", 100)
	id := uint64(1)
	for range 5 {
		require.Equal(t, "u1", only[forward.Send](t, r.arrive(id+1, resumableStream)).Upstream.ID)
		require.Equal(t, "u1", only[forward.Send](t, r.arrive(id+2, resumableStream)).Upstream.ID)
		r.now += 1500 * time.Millisecond
		r.step(forward.AttemptEnded{ID: id + 1, Outcome: forward.Silent})
		require.Equal(t, "far", only[forward.Send](t, r.arrive(id+3, resumableStream)).Upstream.ID, "it is silent")
		r.answer("u1", id+2, true)
		id += 3
	}
}

// TestSilentUpstreamGetsOnlyProbesBesideAnother guards against requests that go to a silent upstream, which may be down, while another one
// is there. The silent one is near, and 100 requests arrive per second.
func TestSilentUpstreamGetsOnlyProbesBesideAnother(t *testing.T) {
	for _, c := range []struct {
		path, service string
		probes        int
		first         time.Duration
	}{
		{path: resumableStream, service: "model", probes: 3, first: 300 * time.Millisecond},
		{path: nonResumableStream, service: "model", probes: 2, first: 2 * time.Second},
		{path: idempotentCall, service: "desk", probes: 3, first: 300 * time.Millisecond},
		{path: nonIdempotentCall, service: "desk", probes: 2, first: 2 * time.Second},
	} {
		r := startBusy(t, "u1", c.service, c.path, 1)
		r.add("far", c.service, "bunbury-a", 1000)
		r.now = 1500 * time.Millisecond
		r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Silent})
		var probed []time.Duration
		for id := uint64(10); id < 610; id++ {
			r.now += 10 * time.Millisecond
			if only[forward.Send](t, r.arrive(id, c.path)).Upstream.ID == "u1" {
				probed = append(probed, r.now-1500*time.Millisecond)
				continue
			}
			r.answer("far", id, true)
		}
		require.NotEmpty(t, probed, c.path)
		require.LessOrEqual(t, len(probed), c.probes, "%s: %v", c.path, probed)
		require.GreaterOrEqual(t, probed[0], c.first, c.path)
	}
}

// TestRequestsWaitForTheOnlyUpstreamWhileItIsSilent guards against refusing callers whose only upstream goes on a moment later. Only one
// request that may be repeated is sent before, as a probe.
func TestRequestsWaitForTheOnlyUpstreamWhileItIsSilent(t *testing.T) {
	for path, service := range allPaths {
		r := fallSilent(t, service, path)
		sent := 0
		for id := uint64(10); id < 20; id++ {
			effects := r.arrive(id, path)
			require.Empty(t, refusals(effects), path)
			sent += len(sentIDs(effects))
		}
		require.LessOrEqual(t, sent, 1, path)
		r.now += 500 * time.Millisecond
		require.Empty(t, refusals(r.step(step.Tick{})), path)
		r.answer("u1", 2, false)
		require.Len(t, sentIDs(r.step(step.Tick{})), 10-sent, path)
	}
}

// TestWaitForSilentUpstreamEndsInTime guards against callers who are held until their time is over, or for an upstream that is probably down.
// They are told truthfully that their request did not run, and to return after more than two seconds only if the upstream is probably down.
func TestWaitForSilentUpstreamEndsInTime(t *testing.T) {
	for _, c := range []struct {
		path, service string
		latest        time.Duration
		down          bool
	}{
		{path: nonIdempotentCall, service: "desk", latest: 750 * time.Millisecond},
		{path: nonResumableStream, service: "model", latest: 2520 * time.Millisecond, down: true},
	} {
		r := fallSilent(t, c.service, c.path)
		require.Empty(t, refusals(r.arrive(10, c.path)))
		var list []forward.Refuse
		for begun := r.now; len(list) == 0; {
			list = refusals(r.tick())
			require.LessOrEqual(t, r.now-begun, c.latest, c.path)
		}
		require.Equal(t, uint64(10), list[0].ID)
		require.Equal(t, code.NotRun, list[0].Ran, c.path)
		require.Equal(t, c.down, list[0].RetryAfter >= 2*time.Second, c.path)
		require.Contains(t, list[0].Reason, "1 silent", c.path)
	}
}

// TestRefusedConnectionEndsTheWait guards against callers who wait for a silent upstream that turns out to be down.
func TestRefusedConnectionEndsTheWait(t *testing.T) {
	r := fallSilent(t, "desk", nonIdempotentCall)
	require.Empty(t, refusals(r.arrive(10, nonIdempotentCall)))
	r.step(forward.UpstreamDown{Upstream: catalog.Instance{ID: "u1"}})
	refuse := only[forward.Refuse](t, r.step(step.Tick{}))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
}

// TestNobodyIsRefusedWhileEnginesAreSilent guards against refusing callers although all engines are sound: some, or all of them, are silent
// for a second or two. It also guards against more requests at one engine than it has slots, and against repeats. With open attempts, the
// ones that stall go on with their engine; else they end, and only those may be lost.
func TestNobodyIsRefusedWhileEnginesAreSilent(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		open    bool
		between time.Duration
	}{
		{name: "all at once", path: nonResumableStream},
		{name: "one after the other", path: nonResumableStream, between: 600 * time.Millisecond},
		{name: "all at once, attempts stall", path: resumableStream, open: true},
		{name: "one after the other, attempts stall", path: resumableStream, open: true, between: 600 * time.Millisecond},
		{name: "one after the other, attempts end", path: resumableStream, between: 600 * time.Millisecond},
	} {
		for _, lasts := range []time.Duration{1100 * time.Millisecond, 1700 * time.Millisecond} {
			f := newSilentFleet(5)
			f.open = c.open || c.path == nonResumableStream // What can't be repeated is never ended for a silence.
			f.requests(800, 12*time.Millisecond, c.path)
			for i, e := range f.engines {
				for from := 2 * time.Second; from < 12*time.Second; from += 4 * time.Second {
					f.silence(e, from+time.Duration(i)*c.between, lasts)
				}
			}
			f.runUntil(20 * time.Second)
			t.Logf("%s, %v: %d of %d answered, %d refused, %d not run, %d repeats, at most %d at one engine", c.name, lasts, f.answered, f.arrived, len(f.refusals), f.notRun, f.repeats, f.mostRunning)
			require.Zero(t, f.notRun, "%s, %v: %v", c.name, lasts, f.refusals)
			require.LessOrEqual(t, f.mostRunning, silentFleetSlots, c.name)
			if c.open || c.path == nonResumableStream {
				require.Equal(t, f.arrived, f.answered, "%s, %v", c.name, lasts)
				require.Zero(t, f.repeats, c.name)
			}
		}
	}
}

// TestFewSilentEnginesDoNotProlongWaits guards against callers of a full service who are held for nothing since one of many engines is silent.
func TestFewSilentEnginesDoNotProlongWaits(t *testing.T) {
	f := newSilentFleet(20)
	f.requests(9000, 650*time.Microsecond, nonResumableStream) // That is 1.5 times the capacity.
	f.silence("m0", 2*time.Second, 2*time.Second)
	f.after(2600*time.Millisecond, func() { f.state.NoteStalled(begin.Add(f.simulatedTime.now), catalog.Instance{ID: "m0"}) })
	longest := 0
	f.repeat(20*time.Millisecond, func() bool {
		waiting := 0
		for _, n := range f.state.Waiting() {
			waiting += n
		}
		longest = max(longest, waiting)
		return true
	})
	f.runUntil(6 * time.Second)
	t.Logf("%d of %d answered, %d refused, at most %d waiting", f.answered, f.arrived, f.notRun, longest)
	require.LessOrEqual(t, longest, 500)
}

// TestSilenceIsNoOutage guards against refusing callers on arrival because most engines are silent for a second: all are, but for one that
// returns in four seconds.
func TestSilenceIsNoOutage(t *testing.T) {
	r := newOutageRig()
	const requests = 40
	used := map[string]bool{}
	for id := uint64(1); id <= requests; id++ {
		used[only[forward.Send](t, r.arriveWithTimeout(id, 6*time.Second)).Upstream.ID] = true
	}
	require.Len(t, used, outageEngines)
	r.now += 1500 * time.Millisecond
	for id := uint64(1); id <= requests; id++ {
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Silent})
	}
	r.step(forward.LoadReported{Address: "0", ReadyIn: 4 * time.Second, ReadyVersion: 1, Entries: 1, NearEntries: 1})
	for id := uint64(100); id < 120; id++ {
		require.Empty(t, refusals(r.arriveWithTimeout(id, 6*time.Second)))
	}
	require.Empty(t, refusals(r.tick()))
}

// breakBesideSilent returns an entry with two upstreams of which one is silent, after an attempt at the other one ended. A request that may be
// repeated has used the probe.
func breakBesideSilent(t *testing.T, path, service string, o forward.Outcome) (*rig, []step.Effect) {
	r := startBusy(t, "u1", service, path, 4)
	r.add("u2", service, "bunbury-a", 100)
	r.state.NoteStalled(begin, catalog.Instance{ID: "u2"})
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken})
	return r, r.step(forward.AttemptEnded{ID: 2, Outcome: o})
}

// TestRetryWaitsForSilentUpstream guards against losing a request whose attempt failed while the only other upstream is silent for a moment.
func TestRetryWaitsForSilentUpstream(t *testing.T) {
	for path, service := range allPaths {
		for _, o := range []forward.Outcome{forward.NotSent, forward.Declined, forward.Broken} {
			r, effects := breakBesideSilent(t, path, service, o)
			if o == forward.Broken && (path == nonIdempotentCall || path == nonResumableStream) {
				require.Equal(t, code.Unknown, only[forward.Refuse](t, effects).Ran, "it must not run twice")
				continue
			}
			require.Empty(t, refusals(effects), "%s, %s", path, o)
			r.now += 200 * time.Millisecond
			require.Empty(t, refusals(r.step(step.Tick{})), "%s, %s", path, o)
			r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "u2"}, Sent: begin, Outcome: forward.Answered})
			send := only[forward.Send](t, r.step(step.Tick{}))
			require.Equal(t, uint64(2), send.ID)
			require.Equal(t, 2, send.Attempt)
			require.Equal(t, "u2", send.Upstream.ID)
		}
	}
}

// TestWaitingRetryIsBoundByTheManifest guards against a second run of a request whose route became one that must not run twice, while its retry
// waits for a silent upstream.
func TestWaitingRetryIsBoundByTheManifest(t *testing.T) {
	r, _ := breakBesideSilent(t, idempotentCall, "desk", forward.Broken)
	m := *r.state.Catalog.Manifest
	route := *m.Route("h", idempotentCall)
	route.Kind = catalog.NonIdempotent
	changed := catalog.NewManifest(2, []*catalog.Route{&route}, map[string]*catalog.ClientAccount{"key-1": {Name: "karrakin"}})
	changed.HasAccounts = true
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 2}, Manifest: changed})
	r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "u2"}, Sent: begin, Outcome: forward.Answered})
	require.Equal(t, code.Unknown, only[forward.Refuse](t, r.step(step.Tick{})).Ran)
}

// TestWaitingRetriesStayWithinTheBudget guards against a storm of repeats when a silent upstream goes on: 300 attempts break meanwhile.
func TestWaitingRetriesStayWithinTheBudget(t *testing.T) {
	const requests = 300
	r := startBusy(t, "u1", "desk", idempotentCall, requests)
	r.add("u2", "desk", "bunbury-a", 1000)
	r.state.NoteStalled(begin, catalog.Instance{ID: "u2"})
	sent := 0
	for id := uint64(1); id <= requests; id++ {
		sent += len(sentIDs(r.step(forward.AttemptEnded{ID: id, Outcome: forward.Broken})))
	}
	r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "u2"}, Sent: begin, Outcome: forward.Answered})
	sent += len(sentIDs(r.step(step.Tick{})))
	require.Greater(t, sent, 10)
	require.LessOrEqual(t, float64(sent), 0.2*requests+100/4)
}

// TestWaitingRetriesCountWhenTheyAreSent guards against more retries within a window than the budget allows, because those that waited for
// a silent upstream were counted some seconds before they were sent.
func TestWaitingRetriesCountWhenTheyAreSent(t *testing.T) {
	const requests, base = 100, 100
	r := newRig()
	r.state.Self.Retries = hostconfig.RetryBudget{Base: base, Window: 10 * time.Second}
	r.state.Catalog.Manifest.Route("h", idempotentCall).Timeout = 6 * time.Second
	r.add("m1", "model", "perth-a", 1)
	report := forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}
	r.step(report)
	r.add("u1", "desk", "perth-a", requests)
	arriveAndBreak := func(first uint64) (sent int) {
		for id := first; id < first+requests; id++ {
			r.arrive(id, idempotentCall)
		}
		r.add("u2", "desk", "bunbury-a", 1000)
		if first == 1 {
			r.state.NoteStalled(begin, catalog.Instance{ID: "u2"})
		}
		for id := first; id < first+requests; id++ {
			sent += len(sentIDs(r.step(forward.AttemptEnded{ID: id, Outcome: forward.Broken})))
		}
		return sent
	}
	require.LessOrEqual(t, arriveAndBreak(1), 1, "all but a probe wait")
	r.now = 3 * time.Second
	r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "u2"}, Sent: begin, Outcome: forward.Answered})
	waited := len(sentIDs(r.step(step.Tick{})))
	require.Greater(t, waited, 10)
	for id := uint64(1); id <= requests; id++ {
		r.step(forward.AttemptEnded{ID: id, Attempt: 2, Outcome: forward.Answered})
	}
	for r.now = 4 * time.Second; r.now <= 12*time.Second; r.now += time.Second {
		r.step(report)
	}
	for i := range 2 * requests {
		r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 10)
	}
	again := arriveAndBreak(1000)
	require.LessOrEqual(t, waited+again, base)
}

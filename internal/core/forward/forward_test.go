package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// The paths of the routes in these tests.
const (
	nonIdempotentCall  = "/bookings/"
	idempotentCall     = "/lookups/"
	resumableStream    = "/reports/"
	nonResumableStream = "/notes/"
)

// rig is a test harness: an entry's reducer with a manifest and upstreams.
type rig struct {
	state *forward.State
	now   time.Duration
	rand  uint64
	next  uint64
}

func newRig() *rig { return newNamedRig("") }

// newNamedRig returns the rig of an entry with a name, which has run for longer than the window of its retry budget.
func newNamedRig(name string) *rig {
	r := newStartingRig(name)
	r.now = -time.Minute
	r.step(step.Tick{})
	r.now, r.rand = 0, 0
	return r
}

// newStartingRig returns the rig of an entry that has handled no input yet.
func newStartingRig(name string) *rig {
	routes := []*catalog.Route{
		{Name: "bookings", Host: "h", Prefix: nonIdempotentCall, Kind: catalog.NonIdempotent, MaxUpstreams: 2, Shares: share("desk"), Timeout: time.Second, Objective: 300 * time.Millisecond},
		{Name: "lookups", Host: "h", Prefix: idempotentCall, Kind: catalog.Idempotent, MaxUpstreams: 2, Shares: share("desk"), Timeout: time.Second, Objective: 300 * time.Millisecond},
		{Name: "reports", Host: "h", Prefix: resumableStream, Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2, Shares: share("model"), Timeout: 6 * time.Second, Objective: 500 * time.Millisecond},
		{Name: "notes", Host: "h", Prefix: nonResumableStream, Kind: catalog.Streaming, MaxUpstreams: 2, Shares: share("model"), Timeout: 6 * time.Second, Objective: 500 * time.Millisecond},
	}
	accounts := map[string]*catalog.ClientAccount{"key-1": {Name: "karrakin"}, "key-2": {Name: "harrowgate"}}
	m := catalog.NewManifest(1, routes, accounts)
	m.HasAccounts = true
	c := catalog.NewState()
	self := forward.Self{
		Name: name, DataCentre: "perth-a", Region: "perth", Regions: map[string]string{"perth-a": "perth", "bunbury-a": "southwest"},
		Retries: hostconfig.RetryBudget{Ratio: 0.2, Base: 100, Window: 10 * time.Second}, VersionLifetime: 8 * time.Second,
	}
	r := &rig{state: forward.NewState(self, c)}
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: m})
	r.applyCatalog(catalog.TopicListed{Topic: catalog.UpstreamTopic})
	r.applyCatalog(catalog.TopicListed{Topic: catalog.VersionTopic})
	return r
}

func share(service string) []catalog.Share { return []catalog.Share{{Service: service, Weight: 1}} }

func (r *rig) applyCatalog(ev step.Event) {
	r.state.Catalog.Reduce(step.Input{Now: begin.Add(r.now), Event: ev})
}

// add registers an upstream. One of the model service holds version 1.
func (r *rig) add(id, service, dataCentre string, slots int) {
	r.next++
	u := &catalog.Upstream{ID: id, Service: service, Address: id, DataCentre: dataCentre, Slots: slots, Revision: storerev.Revision{Number: int64(r.next)}}
	if service == "model" {
		u.Versions = map[string]int64{"m": 1}
	}
	r.applyCatalog(catalog.UpstreamChanged{Upstream: u})
}

func (r *rig) step(ev step.Event) []step.Effect {
	r.rand += 0x9e3779b97f4a7c15
	return r.state.Reduce(step.Input{Now: begin.Add(r.now), Rand: r.rand, Event: ev})
}

func (r *rig) arrive(id uint64, path string) []step.Effect {
	ev := forward.Arrived{ID: id, Host: "h", Path: path + "x", Key: "key-1"}
	if path == resumableStream || path == nonResumableStream {
		ev.Model = "m"
	}
	return r.step(ev)
}

// only returns the single effect of type T among effects.
func only[T step.Effect](t require.TestingT, effects []step.Effect) T {
	var found []T
	for _, e := range effects {
		if f, ok := e.(T); ok {
			found = append(found, f)
		}
	}
	require.Len(t, found, 1, "%v", effects)
	return found[0]
}

// TestUnknownKeysAndRoutesAreRefused guards against forwarding requests with an unknown key or for an unknown route.
func TestUnknownKeysAndRoutesAreRefused(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	send := only[forward.Send](t, r.arrive(1, idempotentCall))
	require.Equal(t, "karrakin", send.Account)
	refuse := only[forward.Refuse](t, r.step(forward.Arrived{ID: 2, Host: "h", Path: idempotentCall, Key: "revoked"}))
	require.Equal(t, code.UnknownKey, refuse.Code)
	refuse = only[forward.Refuse](t, r.step(forward.Arrived{ID: 3, Host: "h", Path: "/nowhere/", Key: "key-1"}))
	require.Equal(t, code.NoSuchRoute, refuse.Code)
	require.Equal(t, 1, r.state.InFlight())
}

// TestRequestIsRefusedAsNotReadyBeforeTheManifestIsKnown guards against refusing callers of a starting entry as if their route did
// not exist.
func TestRequestIsRefusedAsNotReadyBeforeTheManifestIsKnown(t *testing.T) {
	s := forward.NewState(forward.Self{}, catalog.NewState())
	effects := s.Reduce(step.Input{Now: begin, Event: forward.Arrived{ID: 1, Host: "h", Path: idempotentCall}})
	refuse := only[forward.Refuse](t, effects)
	require.Equal(t, code.NotReady, refuse.Code)
	require.Positive(t, refuse.RetryAfter)
}

// TestNonIdempotentRequestIsNotRetriedAfterItMayHaveRun guards against running a request twice when its answer is lost or its
// upstream fails.
func TestNonIdempotentRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	for _, outcome := range []forward.Outcome{forward.Broken, forward.Silent, forward.ServerFailed} {
		r := newRig()
		r.add("d1", "desk", "perth-a", 6)
		r.add("d2", "desk", "perth-a", 6)
		only[forward.Send](t, r.arrive(1, nonIdempotentCall))
		effects := r.step(forward.AttemptEnded{ID: 1, Outcome: outcome})
		for _, e := range effects {
			_, again := e.(forward.Send)
			require.False(t, again, outcome)
		}
		if outcome == forward.ServerFailed {
			only[forward.Deliver](t, effects)
			continue
		}
		require.Equal(t, code.Unknown, only[forward.Refuse](t, effects).Ran)
	}
}

// TestRequestThatDidNotRunIsRetriedElsewhere guards against failing a request that certainly did not run, and against reporting to its
// caller that it may have run.
func TestRequestThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	for _, outcome := range []forward.Outcome{forward.NotSent, forward.Declined, forward.Misdirected} {
		r := newRig()
		r.add("d1", "desk", "perth-a", 6)
		r.add("d2", "desk", "perth-a", 6)
		first := only[forward.Send](t, r.arrive(1, nonIdempotentCall))
		second := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: outcome}))
		require.NotEqual(t, first.Upstream.ID, second.Upstream.ID)
		refuse := only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: 1, Outcome: outcome}))
		require.Equal(t, code.NotRun, refuse.Ran)
		require.Positive(t, refuse.RetryAfter)
	}
}

// TestReportedRunStatusIsTrue guards against the answer "not run" to a request that may have run, and against forbidden
// retries. It plays random outcomes and timeouts for each kind of route.
func TestReportedRunStatusIsTrue(t *testing.T) {
	outcomes := []forward.Outcome{
		forward.Answered, forward.ServerFailed, forward.NotSent, forward.Declined, forward.Misdirected, forward.Broken, forward.Silent,
	}
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		for i := range rapid.IntRange(1, 5).Draw(t, "upstreams") {
			r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 6)
			r.add(fmt.Sprintf("m%d", i), "model", "perth-a", 6)
		}
		path := rapid.SampledFrom([]string{nonIdempotentCall, idempotentCall, resumableStream, nonResumableStream}).Draw(t, "route")
		effects := r.arrive(1, path)
		mayHaveRun, partial, ended := 0, false, false
		for turns := 0; !ended && turns < 10; turns++ {
			for _, e := range effects {
				switch e := e.(type) {
				case forward.Refuse:
					ended = true
					require.False(t, partial, "refused after part of an answer was passed on")
					if mayHaveRun == 0 {
						require.Equal(t, code.NotRun, e.Ran)
						require.Positive(t, e.RetryAfter)
					} else {
						require.Equal(t, code.Unknown, e.Ran)
						require.NotEqual(t, 503, e.Code.Describe().Status)
					}
				case forward.Abort:
					ended = true
					require.True(t, partial)
				case forward.Deliver:
					ended = true
				case forward.Send:
					if path == nonIdempotentCall || path == nonResumableStream {
						require.Zero(t, mayHaveRun, "retried although it may have run")
					}
					require.Less(t, mayHaveRun, 2, "more upstreams than the route allows")
				}
			}
			if ended {
				break
			}
			if rapid.IntRange(0, 9).Draw(t, "time") == 0 {
				mayHaveRun++
				effects = r.step(forward.TimedOut{ID: 1, Partial: partial})
				continue
			}
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			if o != forward.NotSent && o != forward.Declined && o != forward.Misdirected {
				mayHaveRun++
				if (o == forward.Broken || o == forward.Silent) && (path == resumableStream || path == nonResumableStream) {
					partial = partial || rapid.Bool().Draw(t, "partial")
				}
			}
			effects = r.step(forward.AttemptEnded{ID: 1, Outcome: o, Partial: partial})
			if o == forward.Answered {
				ended = true
				require.Empty(t, effects)
			}
		}
		require.True(t, ended)
		require.Zero(t, r.state.InFlight())
	})
}

// TestTimedOutStreamIsAborted guards against a refusal in the middle of a stream, which would look like the end of a complete
// answer.
func TestTimedOutStreamIsAborted(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, resumableStream))
	only[forward.Abort](t, r.step(forward.TimedOut{ID: 1, Partial: true}))
}

// TestBrokenStreamIsResumedElsewhere guards against aborting a resumable stream when its engine breaks off.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.add("m2", "model", "perth-a", 6)
	first := only[forward.Send](t, r.arrive(1, resumableStream))
	require.Positive(t, first.GapTimeout)
	second := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken, Partial: true}))
	require.True(t, second.Resume)
	require.NotEqual(t, first.Upstream.ID, second.Upstream.ID)
	require.Zero(t, second.GiveUpAfter, "part of the answer was passed on, so only the deadline ends the last attempt")
}

// TestNearUpstreamsAreFilledFirst guards against sending requests to another data centre while this one has capacity. It also checks that
// half of a near engine's slots count as used by another entry as long as there is no load report.
func TestNearUpstreamsAreFilledFirst(t *testing.T) {
	r := newRig()
	r.add("far", "model", "bunbury-a", 2)
	r.add("near", "model", "perth-a", 2)
	require.Equal(t, "near", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID)
	require.Equal(t, "far", only[forward.Send](t, r.arrive(2, resumableStream)).Upstream.ID, "without a load report, an entry assumes that another one sends as much")
}

// TestLoadReportDecidesTheChoice guards against requests to an engine that is full, or loading weights, according to its agent.
func TestLoadReportDecidesTheChoice(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 4)
	r.add("m2", "model", "perth-a", 4)
	report := func(address string, occupied int, notAccepting bool) {
		r.step(forward.LoadReported{Address: address, RequestCount: occupied, NotAccepting: notAccepting, Versions: map[string]int64{"m": 1}})
	}
	report("m1", 3, false)
	report("m2", 0, false)
	require.Equal(t, "m2", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID)
	report("m2", 0, true)
	require.Equal(t, "m1", only[forward.Send](t, r.arrive(2, resumableStream)).Upstream.ID, "an engine that loads weights accepts no requests")
	require.Empty(t, func() []step.Effect {
		var list []step.Effect
		for _, e := range r.arrive(3, resumableStream) {
			if _, ok := e.(forward.Send); ok {
				list = append(list, e)
			}
		}
		return list
	}(), "a full engine gets no requests")
}

// TestEngineWithStaleReportIsUsedLast guards against requests that hang on a frozen host. One of two agents stops sending reports.
func TestEngineWithStaleReportIsUsedLast(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 1)
	r.add("m2", "model", "bunbury-a", 1)
	report := func(address string) {
		r.step(forward.LoadReported{Address: address, Versions: map[string]int64{"m": 1}})
	}
	report("m1")
	report("m2")
	r.now = 1300 * time.Millisecond
	report("m2")
	require.Equal(t, "m2", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID)
	require.Empty(t, sentIDs(r.arrive(2, resumableStream)), "waiting for a slot at the other engine is better")
	require.Equal(t, "m2", only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})).Upstream.ID)
	r.applyCatalog(catalog.UpstreamRemoved{ID: "m2", Revision: storerev.Revision{Number: 9}})
	require.Equal(t, "m1", only[forward.Send](t, r.arrive(3, resumableStream)).Upstream.ID, "no other engine is usable")
}

// TestQueuedRequestIsSentOrRefusedInTime guards against a queued request that misses a free slot, or waits longer than its share of
// the latency objective.
func TestQueuedRequestIsSentOrRefusedInTime(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 2)
	only[forward.Send](t, r.arrive(1, resumableStream))
	only[forward.Accepted](t, r.arrive(2, resumableStream))
	only[forward.Accepted](t, r.arrive(3, resumableStream))
	require.Equal(t, uint64(2), only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})).ID)
	r.now += 199 * time.Millisecond
	require.Empty(t, r.step(step.Tick{}))
	r.now += time.Millisecond
	refuse := only[forward.Refuse](t, r.step(step.Tick{}))
	require.Equal(t, uint64(3), refuse.ID)
	require.Equal(t, code.NotRun, refuse.Ran)
}

// TestDrainingUpstreamGetsNoRequests guards against requests to an upstream that the store lists as draining.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.applyCatalog(catalog.UpstreamChanged{Upstream: &catalog.Upstream{ID: "d1", Service: "desk", Address: "d1", Draining: true, Revision: storerev.Revision{Number: 99}}})
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arrive(1, nonIdempotentCall)).Code)
}

// TestRetriesStayWithinTheFleetsBudget guards against retries that multiply the load while all attempts break.
func TestRetriesStayWithinTheFleetsBudget(t *testing.T) {
	r := newRig()
	for i := range 8 {
		r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 1000)
	}
	r.step(forward.LoadReported{Address: "d0", Entries: 4})
	retries := 0
	const requests = 300
	for id := uint64(1); id <= requests; id++ {
		r.now += 30 * time.Millisecond
		effects := r.arrive(id, idempotentCall)
		for range 4 {
			if len(effects) == 0 {
				break
			}
			if _, ok := effects[len(effects)-1].(forward.Send); !ok {
				break
			}
			effects = r.step(forward.AttemptEnded{ID: id, Outcome: forward.Broken})
			if len(effects) > 0 {
				if _, again := effects[0].(forward.Send); again {
					retries++
				}
			}
		}
	}
	require.Positive(t, retries)
	require.LessOrEqual(t, float64(retries), 0.2*requests+100/4)
}

package forward_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// The limits for an upstream with a rate limit: within limitWindow it gets limitFactor times the limit plus limitExtra requests,
// from entries that received the limit at least limitDelay ago, and from limitFrom after the upstream first set it. The platform's
// users require it.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitDelay  = 500 * time.Millisecond
	limitFrom   = 3 * time.Second
)

// limitedFleet simulates entries that send requests to one upstream that sets a rate limit in its answers, and to others without
// one.
type limitedFleet struct {
	entries []*limitedEntry
	// near is the number of entries in the upstream's data centre.
	near int
	// agentRestarted is set while the upstream's agent, which has just started, only knows the entry that it reports to.
	agentRestarted bool
	// unreported is set if the far entries get no load reports for the upstream.
	unreported bool
	random     *rand.Rand
	// limit is the upstream's current limit, 0 for none, and service the service that it belongs to.
	limit   float64
	service string
	path    string
	now     time.Duration
	// arrivals are the times of the requests from entries that knew of the limit.
	arrivals []time.Duration
	// total counts all requests sent to the upstream.
	total int
}

type limitedEntry struct {
	rig  *rig
	next uint64
	// reportedAt is when the entry first received an answer with the limit; 0 before that.
	reportedAt time.Duration
	attempts   []openAttempt
}

type openAttempt struct {
	send forward.Send
	at   time.Duration
	// hasHead is set once the head of the answer was received.
	hasHead bool
}

const (
	// limited is the ID of the upstream that sets a limit.
	limited = "i-limited"
	// answerTime is the time from an attempt to the head of its answer, and runTime to its end.
	answerTime = 40 * time.Millisecond
	runTime    = 400 * time.Millisecond
	// fleetStep is the interval of the simulation.
	fleetStep = 20 * time.Millisecond
)

// newLimitedFleet returns entries, of which near are in the upstream's data centre. The others get load reports for the upstream
// unless unreported is set.
func newLimitedFleet(seed uint64, near, far int, unreported bool, service, path string) *limitedFleet {
	f := &limitedFleet{near: near, unreported: unreported, random: rand.New(rand.NewPCG(seed, 1)), service: service, path: path}
	for i := range near + far {
		r := newRig()
		r.rand = f.random.Uint64()
		r.state.Self.Name = fmt.Sprintf("entry-%d", i)
		dataCentre := "perth-a"
		if i >= near {
			dataCentre = "bunbury-a"
		}
		r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{}}
		r.add(limited, service, dataCentre, 12)
		r.add("i-other", service, dataCentre, 12)
		if service == "model" && !(unreported && i >= near) {
			report := forward.LoadReported{Address: limited, Versions: map[string]int64{"m": 1}, Entries: near + far, NearEntries: near}
			r.step(report)
			report.Address = "i-other"
			r.step(report)
		} else {
			r.add("i-engine", "model", dataCentre, 12) // Its agent reports the number of entries.
			r.step(forward.LoadReported{Address: "i-engine", Versions: map[string]int64{"m": 1}, Entries: near + far, NearEntries: near})
		}
		f.entries = append(f.entries, &limitedEntry{rig: r, next: 1})
	}
	return f
}

// play has perSecond requests per second arrive at each entry for the duration d.
func (f *limitedFleet) play(d time.Duration, perSecond float64) {
	f.playUneven(d, perSecond, perSecond)
}

// playUneven is like play, with another rate at the entries in other data centres.
func (f *limitedFleet) playUneven(d time.Duration, nearPerSecond, farPerSecond float64) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for i, e := range f.entries {
			perSecond := nearPerSecond
			if i >= f.near {
				perSecond = farPerSecond
			}
			e.rig.now = f.now
			e.finish(f)
			if f.service == "model" {
				for _, id := range []string{limited, "i-other"} {
					if f.unreported && i >= f.near {
						continue
					}
					report := forward.LoadReported{Address: id, Versions: map[string]int64{"m": 1}, Entries: len(f.entries), NearEntries: f.near}
					if f.agentRestarted && id == limited {
						report.Entries, report.NearEntries = 1, min(1, f.near)
					}
					e.record(f, sentAttempts(e.rig.step(report)))
				}
			}
			e.record(f, sentAttempts(e.rig.step(step.Tick{})))
			for range f.drawArrivals(perSecond) {
				e.next++
				e.record(f, sentAttempts(e.rig.arrive(e.next, f.path)))
			}
		}
	}
}

func (f *limitedFleet) drawArrivals(perSecond float64) int {
	mean := perSecond * fleetStep.Seconds()
	n := int(mean)
	if f.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// record records what an entry sends.
func (e *limitedEntry) record(f *limitedFleet, attempts []forward.Send) {
	for _, s := range attempts {
		e.attempts = append(e.attempts, openAttempt{send: s, at: f.now})
		if s.Upstream.ID != limited {
			continue
		}
		f.total++
		if e.reportedAt > 0 && f.now-e.reportedAt >= limitDelay {
			f.arrivals = append(f.arrivals, f.now)
		}
	}
}

// finish delivers the heads and the ends of answers that are due.
func (e *limitedEntry) finish(f *limitedFleet) {
	var open, ended []openAttempt
	for _, s := range e.attempts {
		if !s.hasHead && f.now-s.at >= answerTime {
			s.hasHead = true
			e.head(f, s)
		}
		if f.now-s.at < runTime {
			open = append(open, s)
		} else {
			ended = append(ended, s)
		}
	}
	e.attempts = open
	for _, s := range ended {
		e.record(f, sentAttempts(e.rig.step(forward.AttemptEnded{ID: s.send.ID, Outcome: forward.Answered})))
	}
}

func (e *limitedEntry) head(f *limitedFleet, s openAttempt) {
	notice := catalog.Notice{}
	if s.send.Upstream.ID == limited && f.limit > 0 {
		notice = catalog.Notice{Limited: true, RateLimit: f.limit}
		if e.reportedAt == 0 {
			e.reportedAt = f.now
		}
	}
	e.rig.step(forward.AnswerHeadReceived{
		Upstream: s.send.Upstream.Instance(), Sent: begin.Add(s.at), Outcome: forward.Answered, Notice: notice,
	})
	e.rig.step(forward.Started{ID: s.send.ID, Version: 1})
}

// maxInWindow returns the largest number of requests in any window that ends after the given time.
func (f *limitedFleet) maxInWindow(after time.Duration) int {
	highest, first := 0, 0
	for i, at := range f.arrivals {
		for f.arrivals[first] <= at-limitWindow {
			first++
		}
		if at >= after {
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// TestRateLimitHoldsForAllEntriesTogether guards against entries that send an upstream more than its limit, because they ignore it,
// because each applies the whole limit to itself, or because they use saved slots at once.
func TestRateLimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"model", resumableStream}, {"desk", idempotentCall}} {
		for _, size := range []struct {
			near, far  int
			unreported bool
		}{{1, 0, false}, {2, 2, false}, {4, 0, false}, {0, 4, false}, {3, 12, false}, {7, 28, false}, {7, 28, true}} {
			t.Run(fmt.Sprintf("%s, %d near and %d far entries, strangers %v", service.name, size.near, size.far, size.unreported), func(t *testing.T) {
				t.Parallel()
				for _, limit := range []float64{0.3, 1, 2.1, 8, 40} {
					for seed := range uint64(3) {
						f := newLimitedFleet(seed, size.near, size.far, size.unreported, service.name, service.path)
						f.limit = limit
						f.play(4*time.Second, 12)
						f.play(8*time.Second, 0.2) // Idle entries could save up slots.
						f.play(8*time.Second, 20)
						f.agentRestarted = true
						f.play(time.Second, 20) // Entries send heartbeats to agents each second.
						f.agentRestarted = false
						f.play(4*time.Second, 20)
						allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
						require.LessOrEqual(t, float64(f.maxInWindow(limitFrom)), allowed, "limit %v, seed %d", limit, seed)
					}
				}
			})
		}
	}
}

// TestUpstreamAtItsRateLimitIsUsed guards against shares of a limit that lie unused with idle entries, so that callers are refused
// although the upstream would have accepted them.
func TestUpstreamAtItsRateLimitIsUsed(t *testing.T) {
	for _, size := range []struct{ near, far int }{{1, 0}, {2, 2}, {2, 4}, {3, 12}} {
		for _, limit := range []float64{2, 8} {
			f := newLimitedFleet(7, size.near, size.far, false, "model", resumableStream)
			f.limit = limit
			f.play(4*time.Second, 12)
			for _, load := range []struct{ near, far float64 }{{40, 40}, {40, 1}} {
				before, from := f.total, f.now
				f.playUneven(30*time.Second, load.near, load.far)
				rate := float64(f.total-before) / (f.now - from).Seconds()
				t.Logf("%d near, %d far, %v requests a second at each near and %v at each far entry: %.2f a second of %v", size.near, size.far, load.near, load.far, rate, limit)
				require.Greater(t, rate, limit/2, "%d near and %d far entries, load %v, limit %v", size.near, size.far, load, limit)
			}
		}
	}
}

// TestRateLimitEndsWithTheAnswerToALaterRequest guards against a limit that is ended by an answer from before the limit, and
// against a limit that never ends.
func TestRateLimitEndsWithTheAnswerToALaterRequest(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadReported{Address: "d1", Entries: 10, NearEntries: 10})
	instance := r.state.Catalog.Upstreams["d1"].Instance()
	receive := func(sent time.Duration, outcome forward.Outcome, n catalog.Notice) {
		r.step(forward.AnswerHeadReceived{Upstream: instance, Sent: begin.Add(sent), Outcome: outcome, Notice: n})
	}
	next := uint64(0)
	unlimited := func() bool {
		next++
		first := len(sentIDs(r.arrive(next, idempotentCall)))
		next++
		both := first + len(sentIDs(r.arrive(next, idempotentCall)))
		r.step(forward.CallerGone{ID: next - 1})
		r.step(forward.CallerGone{ID: next})
		return both == 2
	}
	require.True(t, unlimited())
	r.now = 100 * time.Millisecond
	receive(0, forward.Answered, catalog.Notice{Limited: true, RateLimit: 1})
	require.False(t, unlimited())
	receive(50*time.Millisecond, forward.Answered, catalog.Notice{})
	require.False(t, unlimited(), "it was sent before the limit was received")
	r.now = 200 * time.Millisecond
	receive(150*time.Millisecond, forward.Answered, catalog.Notice{Malformed: true})
	require.False(t, unlimited(), "a malformed notice does not end the limit")
	receive(150*time.Millisecond, forward.Declined, catalog.Notice{})
	require.False(t, unlimited(), "the request was declined")
	receive(150*time.Millisecond, forward.Misdirected, catalog.Notice{})
	require.False(t, unlimited(), "the answer is from another upstream")
	receive(150*time.Millisecond, forward.ServerFailed, catalog.Notice{})
	require.True(t, unlimited())
}

// TestRateLimitEndsWithTheInstance guards against applying a limit to a restarted upstream, or to another one at its address, and
// against a late answer of the earlier instance that sets a limit.
func TestRateLimitEndsWithTheInstance(t *testing.T) {
	r := newRig()
	first := &catalog.Upstream{ID: "m1", StartedAt: 1000, Service: "model", Address: "m1", DataCentre: "perth-a", Slots: 4, Versions: map[string]int64{"m": 1}, Revision: storerev.Revision{Number: 1}}
	r.applyCatalog(catalog.UpstreamChanged{Upstream: first})
	report := forward.LoadReported{Address: "m1", StartedAt: 1000, Versions: map[string]int64{"m": 1}, Entries: 30, NearEntries: 1}
	r.step(report)
	withLimit := forward.AnswerHeadReceived{Upstream: first.Instance(), Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}}
	r.step(withLimit)
	require.Empty(t, sentIDs(r.arrive(1, resumableStream)))
	report.StartedAt = 2000
	require.Len(t, sentIDs(r.step(report)), 1)
	r.step(withLimit)
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})
	require.Len(t, sentIDs(r.arrive(2, resumableStream)), 1)
}

// TestRateLimitReportedByTheAgentIsKept guards against an entry that has just started, or was disconnected, and sends an engine any
// number of requests until an answer carries the limit.
func TestRateLimitReportedByTheAgentIsKept(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 12)
	limit := 1.0
	report := forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 10, NearEntries: 1, RateLimit: &limit}
	sent := 0
	for id := range uint64(200) {
		r.now += 20 * time.Millisecond
		sent += len(sentIDs(r.step(report)))
		sent += len(sentIDs(r.arrive(id+1, resumableStream)))
		r.step(forward.AttemptEnded{ID: id + 1, Outcome: forward.Answered})
	}
	require.LessOrEqual(t, sent, 11)
	for _, invalid := range []float64{-1, math.NaN(), math.Inf(1)} {
		r = newRig()
		r.add("m1", "model", "perth-a", 12)
		report.RateLimit = &invalid
		r.step(report)
		require.Len(t, sentIDs(r.arrive(1, resumableStream)), 1)
		require.Len(t, sentIDs(r.arrive(2, resumableStream)), 1, "an invalid limit is ignored")
	}
}

// TestRateLimitOutlivesALapsedRegistration guards against forgetting a limit when the upstream's registration expires because it
// can't reach the store, and returns with the same instance.
func TestRateLimitOutlivesALapsedRegistration(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadReported{Address: "d1", Entries: 10, NearEntries: 10})
	instance := r.state.Catalog.Upstreams["d1"].Instance()
	r.step(forward.AnswerHeadReceived{Upstream: instance, Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}})
	r.next++
	r.applyCatalog(catalog.UpstreamRemoved{ID: "d1", Revision: storerev.Revision{Number: int64(r.next)}})
	r.now = 5 * time.Second
	r.step(step.Tick{})
	r.add("d1", "desk", "perth-a", 6)
	sent := len(sentIDs(r.arrive(1, idempotentCall))) + len(sentIDs(r.arrive(2, idempotentCall)))
	require.LessOrEqual(t, sent, 1)
}

// TestRateLimitIsRecordedWithoutARegistration guards against losing a limit set in an answer that is received while the upstream's
// registration is gone.
func TestRateLimitIsRecordedWithoutARegistration(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadReported{Address: "d1", Entries: 10, NearEntries: 10})
	instance := r.state.Catalog.Upstreams["d1"].Instance()
	r.next++
	r.applyCatalog(catalog.UpstreamRemoved{ID: "d1", Revision: storerev.Revision{Number: int64(r.next)}})
	r.step(forward.AnswerHeadReceived{Upstream: instance, Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}})
	r.add("d1", "desk", "perth-a", 6)
	sent := len(sentIDs(r.arrive(1, idempotentCall))) + len(sentIDs(r.arrive(2, idempotentCall)))
	require.LessOrEqual(t, sent, 1)
}

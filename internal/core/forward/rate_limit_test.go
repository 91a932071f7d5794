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
)

// What a limit allows: in limitWindow half as much again as it says and a few more, from the entries that were told limitHeard ago, from
// limitFrom after the upstream first named it. The platform's users state it so.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitHeard  = 500 * time.Millisecond
	limitFrom   = 3 * time.Second
)

// limitedFleet plays entries that give work to one upstream, which names a limit in its answers, and to others that name none.
type limitedFleet struct {
	entries []*limitedEntry
	// near counts those in the upstream's data centre.
	near int
	// restarted is set while the upstream's agent, which has just started, has heard of the entry only that it tells.
	restarted bool
	// strangers is set when no agent tells the far entries of its engine.
	strangers bool
	random    *rand.Rand
	// limit is what the upstream names now, 0 for none, and service where it belongs to.
	limit   float64
	service string
	path    string
	now     time.Duration
	// arrived are the moments at which entries that had been told sent it a request.
	arrived []time.Duration
	// all counts all requests that it got.
	all int
}

type limitedEntry struct {
	rig  *rig
	next uint64
	// told is when it first passed on an answer that names the limit; 0 before that.
	told time.Duration
	open []openSend
}

type openSend struct {
	send forward.Send
	at   time.Duration
	// headed is set once the head of its answer came.
	headed bool
}

const (
	// limited is the upstream that names a limit.
	limited = "i-limited"
	// answerTime is from the send to the head of the answer, and runTime to its end.
	answerTime = 40 * time.Millisecond
	runTime    = 400 * time.Millisecond
	// fleetStep is the time between two looks at everything.
	fleetStep = 20 * time.Millisecond
)

// newLimitedFleet returns entries of which near are in the upstream's data centre. The others hear of its load, or are strangers to it.
func newLimitedFleet(seed uint64, near, far int, strangers bool, service, path string) *limitedFleet {
	f := &limitedFleet{near: near, strangers: strangers, random: rand.New(rand.NewPCG(seed, 1)), service: service, path: path}
	for i := range near + far {
		r := newRig()
		r.rand = f.random.Uint64()
		r.state.Self.Name = fmt.Sprintf("entry-%d", i)
		place := "perth-a"
		if i >= near {
			place = "bunbury-a"
		}
		r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{}}
		r.add(limited, service, place, 12)
		r.add("i-other", service, place, 12)
		if service == "model" && !(strangers && i >= near) {
			told := forward.LoadTold{Address: limited, Versions: map[string]int64{"m": 1}, Entries: near + far, Near: near}
			r.step(told)
			told.Address = "i-other"
			r.step(told)
		} else {
			r.add("i-engine", "model", place, 12) // Its agent counts the entries.
			r.step(forward.LoadTold{Address: "i-engine", Versions: map[string]int64{"m": 1}, Entries: near + far, Near: near})
		}
		f.entries = append(f.entries, &limitedEntry{rig: r, next: 1})
	}
	return f
}

// play has each entry get some requests a second for a while.
func (f *limitedFleet) play(d time.Duration, perSecond float64) {
	f.playUneven(d, perSecond, perSecond)
}

// playUneven is the same with another number at the entries that are far from the upstream.
func (f *limitedFleet) playUneven(d time.Duration, nearPerSecond, farPerSecond float64) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for i, e := range f.entries {
			perSecond := nearPerSecond
			if i >= f.near {
				perSecond = farPerSecond
			}
			e.rig.now = f.now
			e.end(f)
			if f.service == "model" {
				for _, id := range []string{limited, "i-other"} {
					if f.strangers && i >= f.near {
						continue
					}
					told := forward.LoadTold{Address: id, Versions: map[string]int64{"m": 1}, Entries: len(f.entries), Near: f.near}
					if f.restarted && id == limited {
						told.Entries, told.Near = 1, min(1, f.near)
					}
					e.take(f, sendsAmong(e.rig.step(told)))
				}
			}
			e.take(f, sendsAmong(e.rig.step(step.Tick{})))
			for range f.arrivals(perSecond) {
				e.next++
				e.take(f, sendsAmong(e.rig.arrive(e.next, f.path)))
			}
		}
	}
}

func (f *limitedFleet) arrivals(perSecond float64) int {
	mean := perSecond * fleetStep.Seconds()
	n := int(mean)
	if f.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// take notes what an entry sends.
func (e *limitedEntry) take(f *limitedFleet, sends []forward.Send) {
	for _, s := range sends {
		e.open = append(e.open, openSend{send: s, at: f.now})
		if s.Upstream.ID != limited {
			continue
		}
		f.all++
		if e.told > 0 && f.now-e.told >= limitHeard {
			f.arrived = append(f.arrived, f.now)
		}
	}
}

// end brings the heads and the ends of answers that are due.
func (e *limitedEntry) end(f *limitedFleet) {
	var open, ended []openSend
	for _, s := range e.open {
		if !s.headed && f.now-s.at >= answerTime {
			s.headed = true
			e.head(f, s)
		}
		if f.now-s.at < runTime {
			open = append(open, s)
		} else {
			ended = append(ended, s)
		}
	}
	e.open = open
	for _, s := range ended {
		e.take(f, sendsAmong(e.rig.step(forward.SendEnded{ID: s.send.ID, Outcome: forward.Answered})))
	}
}

func (e *limitedEntry) head(f *limitedFleet, s openSend) {
	notice := catalog.Notice{}
	if s.send.Upstream.ID == limited && f.limit > 0 {
		notice = catalog.Notice{Limited: true, RateLimit: f.limit}
		if e.told == 0 {
			e.told = f.now
		}
	}
	e.rig.step(forward.Noticed{
		Upstream: s.send.Upstream.Life(), Sent: begin.Add(s.at), Outcome: forward.Answered, Notice: notice,
	})
	e.rig.step(forward.Began{ID: s.send.ID, Version: 1})
}

// most is the largest number of requests in any window that ends after a moment.
func (f *limitedFleet) most(after time.Duration) int {
	most, first := 0, 0
	for i, at := range f.arrived {
		for f.arrived[first] <= at-limitWindow {
			first++
		}
		if at >= after {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestALimitThatAnUpstreamNamesHoldsForAllEntriesTogether guards against entries that give an upstream in need more than it said it takes,
// be it that they don't read what it says, that each keeps it for itself, or that they use at once what they saved.
func TestALimitThatAnUpstreamNamesHoldsForAllEntriesTogether(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"model", reports}, {"desk", lookups}} {
		for _, size := range []struct {
			near, far int
			strangers bool
		}{{1, 0, false}, {2, 2, false}, {4, 0, false}, {0, 4, false}, {3, 12, false}, {7, 28, false}, {7, 28, true}} {
			t.Run(fmt.Sprintf("%s, %d near and %d far entries, strangers %v", service.name, size.near, size.far, size.strangers), func(t *testing.T) {
				t.Parallel()
				for _, limit := range []float64{0.3, 1, 2.1, 8, 40} {
					for seed := range uint64(3) {
						f := newLimitedFleet(seed, size.near, size.far, size.strangers, service.name, service.path)
						f.limit = limit
						f.play(4*time.Second, 12)
						f.play(8*time.Second, 0.2) // A calm moment, in which much could be saved up.
						f.play(8*time.Second, 20)
						f.restarted = true
						f.play(time.Second, 20) // Entries greet agents each second.
						f.restarted = false
						f.play(4*time.Second, 20)
						allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
						require.LessOrEqual(t, float64(f.most(limitFrom)), allowed, "limit %v, seed %d", limit, seed)
					}
				}
			})
		}
	}
}

// TestAnUpstreamAtItsLimitIsUsed guards against parts of a limit that lie with entries that do not need them: a caller is refused while the
// upstream would have taken it.
func TestAnUpstreamAtItsLimitIsUsed(t *testing.T) {
	for _, size := range []struct{ near, far int }{{1, 0}, {2, 2}, {2, 4}, {3, 12}} {
		for _, limit := range []float64{2, 8} {
			f := newLimitedFleet(7, size.near, size.far, false, "model", reports)
			f.limit = limit
			f.play(4*time.Second, 12)
			for _, load := range []struct{ near, far float64 }{{40, 40}, {40, 1}} {
				before, from := f.all, f.now
				f.playUneven(30*time.Second, load.near, load.far)
				rate := float64(f.all-before) / (f.now - from).Seconds()
				t.Logf("%d near, %d far, %v requests a second at each near and %v at each far entry: %.2f a second of %v", size.near, size.far, load.near, load.far, rate, limit)
				require.Greater(t, rate, limit/2, "%d near and %d far entries, load %v, limit %v", size.near, size.far, load, limit)
			}
		}
	}
}

// TestALimitEndsWithTheAnswerToALaterRequest guards against a limit that an answer lifts which the upstream gave before it named the limit,
// and against one that stays for ever.
func TestALimitEndsWithTheAnswerToALaterRequest(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadTold{Address: "d1", Entries: 10, Near: 10})
	life := r.state.Catalog.Upstreams["d1"].Life()
	hear := func(sent time.Duration, outcome forward.Outcome, n catalog.Notice) {
		r.step(forward.Noticed{Upstream: life, Sent: begin.Add(sent), Outcome: outcome, Notice: n})
	}
	next := uint64(0)
	free := func() bool {
		next++
		first := len(sends(r.arrive(next, lookups)))
		next++
		both := first + len(sends(r.arrive(next, lookups)))
		r.step(forward.CallerGone{ID: next - 1})
		r.step(forward.CallerGone{ID: next})
		return both == 2
	}
	require.True(t, free())
	r.now = 100 * time.Millisecond
	hear(0, forward.Answered, catalog.Notice{Limited: true, RateLimit: 1})
	require.False(t, free())
	hear(50*time.Millisecond, forward.Answered, catalog.Notice{})
	require.False(t, free(), "it was sent before the limit was heard")
	r.now = 200 * time.Millisecond
	hear(150*time.Millisecond, forward.Answered, catalog.Notice{Garbled: true})
	require.False(t, free(), "what can't be read ends nothing")
	hear(150*time.Millisecond, forward.Declined, catalog.Notice{})
	require.False(t, free(), "it turned the request away")
	hear(150*time.Millisecond, forward.Misdirected, catalog.Notice{})
	require.False(t, free(), "another upstream says so")
	hear(150*time.Millisecond, forward.ServerFailed, catalog.Notice{})
	require.True(t, free())
}

// TestALimitEndsWithTheLifeOfItsUpstream guards against a limit that holds for an upstream that has started again, or for another one that has
// its address, and against one that an answer of the life before names.
func TestALimitEndsWithTheLifeOfItsUpstream(t *testing.T) {
	r := newRig()
	first := &catalog.Upstream{ID: "m1", Born: 1000, Service: "model", Address: "m1", DataCentre: "perth-a", Slots: 4, Versions: map[string]int64{"m": 1}, Revision: 1}
	r.believe(catalog.UpstreamChanged{Upstream: first})
	told := forward.LoadTold{Address: "m1", Born: 1000, Versions: map[string]int64{"m": 1}, Entries: 30, Near: 1}
	r.step(told)
	named := forward.Noticed{Upstream: first.Life(), Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}}
	r.step(named)
	require.Empty(t, sends(r.arrive(1, reports)))
	told.Born = 2000
	require.Len(t, sends(r.step(told)), 1)
	r.step(named)
	r.step(forward.SendEnded{ID: 1, Outcome: forward.Answered})
	require.Len(t, sends(r.arrive(2, reports)), 1)
}

// TestALimitThatAnAgentTellsIsKept guards against an entry that has just started, or was cut off, and gives an engine in need what it likes
// until an answer tells of the limit.
func TestALimitThatAnAgentTellsIsKept(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 12)
	limit := 1.0
	told := forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 10, Near: 1, RateLimit: &limit}
	sent := 0
	for id := range uint64(200) {
		r.now += 20 * time.Millisecond
		sent += len(sends(r.step(told)))
		sent += len(sends(r.arrive(id+1, reports)))
		r.step(forward.SendEnded{ID: id + 1, Outcome: forward.Answered})
	}
	require.LessOrEqual(t, sent, 11)
	for _, nonsense := range []float64{-1, math.NaN(), math.Inf(1)} {
		r = newRig()
		r.add("m1", "model", "perth-a", 12)
		told.RateLimit = &nonsense
		r.step(told)
		require.Len(t, sends(r.arrive(1, reports)), 1)
		require.Len(t, sends(r.arrive(2, reports)), 1, "what is no limit of requests limits nothing")
	}
}

// TestALimitOutlivesAnEntryThatIsGoneForAWhile guards against a limit that is forgotten with the upstream's entry in the store, which lapses when
// the upstream does not reach the store and comes back with the same life.
func TestALimitOutlivesAnEntryThatIsGoneForAWhile(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadTold{Address: "d1", Entries: 10, Near: 10})
	life := r.state.Catalog.Upstreams["d1"].Life()
	r.step(forward.Noticed{Upstream: life, Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}})
	r.next++
	r.believe(catalog.UpstreamRemoved{ID: "d1", Revision: int64(r.next)})
	r.now = 5 * time.Second
	r.step(step.Tick{})
	r.add("d1", "desk", "perth-a", 6)
	sent := len(sends(r.arrive(1, lookups))) + len(sends(r.arrive(2, lookups)))
	require.LessOrEqual(t, sent, 1)
}

// TestALimitIsHeardFromAnUpstreamWhoseEntryIsGone guards against the loss of what the last answers say before the entry is back.
func TestALimitIsHeardFromAnUpstreamWhoseEntryIsGone(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.step(forward.LoadTold{Address: "d1", Entries: 10, Near: 10})
	life := r.state.Catalog.Upstreams["d1"].Life()
	r.next++
	r.believe(catalog.UpstreamRemoved{ID: "d1", Revision: int64(r.next)})
	r.step(forward.Noticed{Upstream: life, Outcome: forward.Answered, Notice: catalog.Notice{Limited: true, RateLimit: 1}})
	r.add("d1", "desk", "perth-a", 6)
	sent := len(sends(r.arrive(1, lookups))) + len(sends(r.arrive(2, lookups)))
	require.LessOrEqual(t, sent, 1)
}

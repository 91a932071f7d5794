package forward_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	near   int
	random *rand.Rand
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

// newLimitedFleet returns entries of which near are in the upstream's data centre.
func newLimitedFleet(seed uint64, near, far int, service, path string) *limitedFleet {
	f := &limitedFleet{near: near, random: rand.New(rand.NewPCG(seed, 1)), service: service, path: path}
	for i := range near + far {
		r := newRig()
		r.rand = f.random.Uint64()
		r.state.Self.Name = fmt.Sprintf("entry-%d", i)
		place := "perth-a"
		if i >= near {
			place = "bunbury-a"
		}
		r.add(limited, service, place, 12)
		r.add("i-other", service, place, 12)
		if service == "model" {
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
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for _, e := range f.entries {
			e.rig.now = f.now
			e.end(f)
			if f.service == "model" {
				for _, id := range []string{limited, "i-other"} {
					e.rig.step(forward.LoadTold{Address: id, Versions: map[string]int64{"m": 1}, Entries: len(f.entries), Near: f.near})
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
	notice := forward.Notice{}
	if s.send.Upstream.ID == limited && f.limit > 0 {
		notice = forward.Notice{Limited: true, RateLimit: f.limit}
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
		for _, size := range []struct{ near, far int }{{1, 0}, {2, 2}, {4, 0}, {0, 4}, {3, 12}, {7, 28}} {
			for _, limit := range []float64{0.3, 1, 2.1, 8, 40} {
				for seed := range uint64(3) {
					f := newLimitedFleet(seed, size.near, size.far, service.name, service.path)
					f.limit = limit
					f.play(4*time.Second, 12)
					f.play(8*time.Second, 0.2) // A calm moment, in which much could be saved up.
					f.play(8*time.Second, 20)
					allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
					require.LessOrEqual(t, float64(f.most(limitFrom)), allowed, "%s, %d near and %d far entries, limit %v, seed %d",
						service.name, size.near, size.far, limit, seed)
				}
			}
		}
	}
}

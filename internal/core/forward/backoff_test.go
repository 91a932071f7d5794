package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// restGrace is how long after an upstream asked for rest requests may still reach it, and restExtra how many may until the end of the rest. The
// platform's users state it so.
const (
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// asksForRest has an upstream turn a request away that was sent a moment ago, and ask for rest.
func (r *rig) asksForRest(id string, rest time.Duration) {
	life := r.state.Catalog.Upstreams[id].Life()
	r.step(forward.Noticed{Upstream: life, Sent: begin.Add(r.now), Outcome: forward.Declined, Notice: catalog.Notice{RetryAfter: rest}})
}

// TestAnUpstreamThatAskedForRestGetsNoneOfTheWork guards against an entry that reads a refusal only as one more failure: 11 requests reached an
// upstream from one entry in the three seconds for which it had asked for rest.
func TestAnUpstreamThatAskedForRestGetsNoneOfTheWork(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"desk", lookups}, {"model", reports}} {
		r := newRig()
		r.add("u1", service.name, "perth-a", 6)
		r.add("u2", service.name, "bunbury-a", 6)
		r.asksForRest("u1", 3*time.Second)
		id, resting, after := uint64(0), 0, 0
		for r.now = 0; r.now < 4*time.Second; r.now += 50 * time.Millisecond {
			id++
			r.step(forward.LoadTold{Address: "u1", Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1}) // It has room.
			for _, s := range sendsAmong(r.arrive(id, service.path)) {
				switch {
				case s.Upstream.ID != "u1":
				case r.now >= 3*time.Second:
					after++
				case r.now >= restGrace:
					resting++
				}
				r.step(forward.SendEnded{ID: s.ID, Outcome: forward.Answered})
			}
		}
		require.LessOrEqual(t, resting, restExtra, service.name)
		require.Positive(t, after, "%s: it is used again", service.name)
	}
}

// TestARequestIsRefusedAtOnceWhileAllUpstreamsRest guards against a caller who waits for an upstream of which the entry knows that it takes
// nothing, and who is told to come back before it does.
func TestARequestIsRefusedAtOnceWhileAllUpstreamsRest(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.add("u2", "desk", "perth-a", 6)
	r.asksForRest("u1", 9*time.Second)
	r.asksForRest("u2", 3*time.Second)
	refuse := only[forward.Refuse](t, r.arrive(1, bookings))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Contains(t, refuse.Why, "2 that sent Retry-After")
	require.GreaterOrEqual(t, refuse.RetryAfter, 3*time.Second)
	require.Less(t, refuse.RetryAfter, 5*time.Second)
	r.now = 2900 * time.Millisecond
	require.Empty(t, r.arrive(2, bookings)[1:], "the rest ends within the time that a request waits for room")
}

// TestARestIsNotCutShort guards against a rest that ends with an answer to a request from before, with a shorter one that is asked for later,
// with the upstream's next word of the store, or with a refusal without a time.
func TestARestIsNotCutShort(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	life := r.state.Catalog.Upstreams["u1"].Life()
	r.now = time.Second
	r.asksForRest("u1", 3*time.Second)
	r.asksForRest("u1", time.Second)
	r.step(forward.Noticed{Upstream: life, Sent: begin, Outcome: forward.Answered})
	r.step(forward.Noticed{Upstream: life, Sent: begin, Outcome: forward.Declined})
	r.add("u1", "desk", "perth-a", 6)
	r.now = 3500 * time.Millisecond
	require.Empty(t, sends(r.arrive(1, lookups)))
	r.now = 4 * time.Second
	require.Len(t, sends(r.arrive(2, lookups)), 1)
}

// TestARestEndsWithTheLifeOfItsUpstream guards against a new life that gets nothing since the one before asked for rest.
func TestARestEndsWithTheLifeOfItsUpstream(t *testing.T) {
	r := newRig()
	u := catalog.Upstream{ID: "d1", Born: 1000, Service: "desk", Address: "a", DataCentre: "perth-a", Slots: 6, Revision: 1}
	r.believe(catalog.UpstreamChanged{Upstream: &u})
	r.asksForRest("d1", time.Minute)
	require.Empty(t, sends(r.arrive(1, lookups)))
	again := u
	again.Born, again.Revision = 2000, 2
	r.believe(catalog.UpstreamChanged{Upstream: &again})
	require.Len(t, sends(r.arrive(2, lookups)), 1)
}

// TestARestForAgesIsTriedNowAndThen guards against an upstream that is out of use for ever since it asked for a rest that nobody means: it
// gets a request now and then, at most two in its first three minutes, and work again once it has answered one.
func TestARestForAgesIsTriedNowAndThen(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.asksForRest("u1", 24*time.Hour)
	id := uint64(0)
	tried := func(until time.Duration, outcome forward.Outcome) int {
		n := 0
		for ; r.now < until; r.now += 500 * time.Millisecond {
			id++
			for _, s := range sendsAmong(r.arrive(id, lookups)) {
				n++
				r.step(forward.Noticed{Upstream: s.Upstream.Life(), Sent: begin.Add(r.now), Outcome: outcome})
				r.step(forward.SendEnded{ID: id, Outcome: outcome})
			}
		}
		return n
	}
	first := tried(3*time.Minute, forward.Declined)
	require.Positive(t, first)
	require.LessOrEqual(t, first, restExtra)
	require.Positive(t, tried(time.Hour, forward.Declined))
	require.Greater(t, tried(3*time.Hour, forward.Answered), 100)
}

// TestACallerIsNotSentAwayForAges guards against a caller who is told to come back in a day, since an upstream says so.
func TestACallerIsNotSentAwayForAges(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.asksForRest("u1", 24*time.Hour)
	require.Less(t, only[forward.Refuse](t, r.arrive(1, bookings)).RetryAfter, 35*time.Second)
}

// TestACallerComesBackToTheUpstreamThatIsBackFirst guards against a caller who is told to stay away for as long as one upstream has asked for,
// while another one, avoided for a moment after a failure, is back sooner.
func TestACallerComesBackToTheUpstreamThatIsBackFirst(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, bookings))
	r.step(forward.SendEnded{ID: 1, Outcome: forward.NotSent})
	r.add("u2", "desk", "perth-a", 6)
	r.asksForRest("u2", 9*time.Second)
	require.Less(t, only[forward.Refuse](t, r.arrive(2, bookings)).RetryAfter, 3*time.Second)
}

// TestAnUpstreamThatLeavesIsNotWaitedFor guards against a return that is named by an upstream which will not be there.
func TestAnUpstreamThatLeavesIsNotWaitedFor(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.asksForRest("u1", 25*time.Second)
	r.saysItLeaves("u1", forward.Declined)
	require.Less(t, only[forward.Refuse](t, r.arrive(1, bookings)).RetryAfter, 3*time.Second)
}

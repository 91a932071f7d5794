package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// saysItLeaves has an entry hear from an upstream's answer that it shuts down.
func (r *rig) saysItLeaves(id string, outcome forward.Outcome) {
	life := r.state.Catalog.Upstreams[id].Life()
	r.step(forward.Noticed{Upstream: life, Sent: begin.Add(r.now), Outcome: outcome, Notice: catalog.Notice{Leaving: true}})
}

// TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNoNewWork guards against work for an upstream that has told this entry that it shuts down, while
// the store, which may be away, still lists it as ready: a request reached one 2.3 s after it had said so.
func TestAnUpstreamWhoseAnswersSayThatItLeavesGetsNoNewWork(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"desk", bookings}, {"model", reports}} {
		for _, outcome := range []forward.Outcome{forward.Answered, forward.Declined, forward.ServerFailed} {
			r := newRig()
			r.add("u1", service.name, "perth-a", 6)
			r.saysItLeaves("u1", outcome)
			r.now = 2 * time.Second
			refuse := only[forward.Refuse](t, r.arrive(1, service.path))
			require.Equal(t, code.NoUpstream, refuse.Code, "it is refused at once")
			require.Equal(t, code.NotRun, refuse.Ran)
			r.add("u1", service.name, "perth-a", 6) // The store's word comes late.
			r.step(forward.LoadTold{Address: "u1", Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1})
			require.Empty(t, sends(r.arrive(2, service.path)), "it has not stopped leaving")
			r.add("u2", service.name, "bunbury-a", 6)
			require.Equal(t, "u2", only[forward.Send](t, r.arrive(3, service.path)).Upstream.ID)
			require.Empty(t, sends(r.step(forward.SendEnded{ID: 3, Outcome: forward.Declined})), "nor is it good enough for a second send")
		}
	}
}

// TestARequestThatWaitsIsNotSentToAnUpstreamThatLeaves guards against a decision that is older than the upstream's word.
func TestARequestThatWaitsIsNotSentToAnUpstreamThatLeaves(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 1)
	only[forward.Send](t, r.arrive(1, reports))
	require.Empty(t, sends(r.arrive(2, reports)))
	r.saysItLeaves("m1", forward.Answered)
	require.Empty(t, sends(r.step(forward.SendEnded{ID: 1, Outcome: forward.Answered})))
}

// TestLeavingEndsWithTheLifeAndIsNobodyElses guards against an upstream that has started again, or that only has the address, being taken for
// the one that left.
func TestLeavingEndsWithTheLifeAndIsNobodyElses(t *testing.T) {
	r := newRig()
	upstream := func(id string, born int64) *catalog.Upstream {
		r.next++
		return &catalog.Upstream{ID: id, Born: born, Service: "desk", Address: "a", DataCentre: "perth-a", Slots: 6, Revision: int64(r.next)}
	}
	r.believe(catalog.UpstreamChanged{Upstream: upstream("d1", 1000)})
	first := r.state.Catalog.Upstreams["d1"].Life()
	r.saysItLeaves("d1", forward.Misdirected)
	require.Len(t, sends(r.arrive(1, lookups)), 1, "another upstream at the address said so")
	r.saysItLeaves("d1", forward.Broken)
	require.Len(t, sends(r.arrive(2, lookups)), 1, "nobody knows who said so")
	r.saysItLeaves("d1", forward.Answered)
	require.Empty(t, sends(r.arrive(3, lookups)))
	r.believe(catalog.UpstreamChanged{Upstream: upstream("d1", 2000)})
	require.Len(t, sends(r.arrive(4, lookups)), 1)
	r.step(forward.Noticed{Upstream: first, Outcome: forward.Answered, Notice: catalog.Notice{Leaving: true}})
	require.Len(t, sends(r.arrive(5, lookups)), 1, "it is a late word of the life before")
}

// TestLeavingOutlivesAnEntryThatIsGone guards against an upstream whose entry lapses and comes back, as after an outage of the store, while it
// is still leaving.
func TestLeavingOutlivesAnEntryThatIsGone(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.saysItLeaves("d1", forward.Answered)
	r.next++
	r.believe(catalog.UpstreamRemoved{ID: "d1", Revision: int64(r.next)})
	r.now = 30 * time.Second
	r.step(step.Tick{})
	r.add("d1", "desk", "perth-a", 6)
	require.Empty(t, sends(r.arrive(1, lookups)))
}

// TestAnUpstreamThatTellsItsAgentThatItLeavesGetsNoNewWork guards against work from entries that no answer has told: one that has started a moment
// ago while the store is away.
func TestAnUpstreamThatTellsItsAgentThatItLeavesGetsNoNewWork(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	told := forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1, Leaving: true}
	r.step(told)
	require.Empty(t, sends(r.arrive(1, reports)))
	told.Leaving = false
	r.step(told)
	require.Empty(t, sends(r.arrive(2, reports)), "reports may overtake one another")
}

// TestAnUpstreamWithoutAStartIsTriedAgainAfterItLeft guards against an upstream that is out of use for ever: one that does not say when it started
// can't be told from the next life under its id.
func TestAnUpstreamWithoutAStartIsTriedAgainAfterItLeft(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.saysItLeaves("d1", forward.Answered)
	r.now = 59 * time.Second
	require.Empty(t, sends(r.arrive(1, lookups)))
	r.now = 61 * time.Second
	require.Len(t, sends(r.arrive(2, lookups)), 1)
	r.saysItLeaves("d1", forward.Answered)
	require.Empty(t, sends(r.arrive(3, lookups)))
}

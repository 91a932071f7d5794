package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestConnectionOfReplacedAttemptSaysNothingOfItsSuccessor guards against a silent attempt that is no longer replaced since an earlier
// attempt of the same request, which has ended, got its connection.
func TestConnectionOfReplacedAttemptSaysNothingOfItsSuccessor(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.add("m2", "model", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, resumableStream))
	replacement := only[forward.Send](t, r.step(forward.Stalled{ID: 1, Attempt: 1, Unsent: true}))
	require.Equal(t, 1, replacement.Replaces)
	require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Unsent}))
	r.now = time.Second
	require.Empty(t, r.stall(1, 2))
	r.step(forward.Progressed{ID: 1, Attempt: 1})
	r.add("m3", "model", "perth-a", 6)
	r.now += 200 * time.Millisecond
	require.Equal(t, "m3", only[forward.Send](t, r.step(step.Tick{})).Upstream.ID)
}

// TestSilenceOfEndedAttemptSaysNothingOfItsSuccessor guards against a second copy of a request whose upstream works, since an earlier attempt
// that has ended was found silent.
func TestSilenceOfEndedAttemptSaysNothingOfItsSuccessor(t *testing.T) {
	r := newRig()
	for _, id := range []string{"m1", "m2", "m3"} {
		r.add(id, "model", "perth-a", 6)
	}
	only[forward.Send](t, r.arrive(1, resumableStream))
	only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Declined}))
	require.Empty(t, r.step(forward.Stalled{ID: 1, Attempt: 1, Unsent: true}))
}

// TestLateAttemptIsWithdrawnAfterItsHedgeEnded guards against a withdrawal that names an attempt which has ended: it has no effect, and the
// request waits for a slow engine while a slot is reserved for it at another.
func TestLateAttemptIsWithdrawnAfterItsHedgeEnded(t *testing.T) {
	r := newUnevenRig(4, true)
	r.serve(10*time.Second, steadyEngine)
	id, first := r.send(resumableStream)
	require.NotEmpty(t, first)
	only[forward.Send](t, r.step(forward.Stalled{ID: id, Attempt: 1}))
	require.Empty(t, r.step(forward.AttemptEnded{ID: id, Attempt: 2, Outcome: forward.Declined}))
	r.step(forward.Progressed{ID: id, Attempt: 1})
	r.now += 600 * ms
	require.Equal(t, 1, only[forward.Withdraw](t, r.step(step.Tick{})).Attempt)
}

// TestManifestInForceDecidesOnHedge guards against a second copy of a request that the manifest in force forbids, or that it would charge to
// another client account, while the first upstream may run the request under an earlier one.
func TestManifestInForceDecidesOnHedge(t *testing.T) {
	for name, change := range map[string]func(r *unevenRig){
		"must not run twice": func(r *unevenRig) {
			r.changeRoute(resumableStream, "key-1", func(route *catalog.Route) { route.Resumable = false })
		},
		"fewer upstreams": func(r *unevenRig) {
			r.changeRoute(resumableStream, "key-1", func(route *catalog.Route) { route.MaxUpstreams = 1 })
		},
		"another account": func(r *unevenRig) {
			r.changeRoute(resumableStream, "key-1", func(*catalog.Route) {})
			r.state.Catalog.Manifest.Account("key-1").Name = "harrowgate"
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newUnevenRig(4, false)
			id, _ := r.send(resumableStream)
			change(r)
			require.Empty(t, sentAttempts(r.step(forward.Stalled{ID: id, Attempt: 1})))
		})
	}
}

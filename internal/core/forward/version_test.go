package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// TestARequestThatBeginsOnAVersionWhoseTimeIsOverIsReported begins requests on an old version before and after the end of its time.
func TestARequestThatBeginsOnAVersionWhoseTimeIsOverIsReported(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.believe(catalog.VersionNamed{Model: "m", Version: 2, Revision: 50})
	r.now = 6 * time.Second
	only[forward.Send](t, r.arrive(1, reports))
	only[forward.Send](t, r.arrive(2, reports))
	only[forward.Send](t, r.arrive(3, reports))
	r.now = 7900 * time.Millisecond
	require.Empty(t, r.step(forward.Began{ID: 1, Version: 1}))
	r.now = 8250 * time.Millisecond
	require.Empty(t, r.step(forward.Began{ID: 2, Version: 2}))
	require.Equal(t, forward.BegunLate{
		ID: 3, Upstream: "m1", Version: 1, Successor: 2, Late: 250 * time.Millisecond, Waited: 2250 * time.Millisecond,
	}, only[forward.BegunLate](t, r.step(forward.Began{ID: 3, Version: 1})))
}

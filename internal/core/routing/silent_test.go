package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
)

// TestUpstreamThatGoesOnIsUsedAgain guards against an upstream that gets no requests for seconds after a silence, because callers left while it was
// silent, and against one that is used again although it has not answered.
func TestUpstreamThatGoesOnIsUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		goesOn bool
		// most and least are the bounds of the requests that the upstream gets of the 300 in the 1.5 s after the silence.
		least, most int
	}{
		"it answers a request that waited": {true, 20, 300},
		"it answers nothing":               {false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			all := candidates("perth-a", "west", 6)
			d := newDriver(t, all)
			brief := func(member.Candidate) time.Duration { return 5 * time.Millisecond }
			sendAll(d, 200, brief, brief)
			for range 3 {
				d.s.Sent(d.now, Query{Service: svcKey}, all[0])
			}
			d.s.Ended(d.now, svcKey, all[0], time.Second)
			d.s.Ended(d.now, svcKey, all[0], time.Second)
			require.Equal(t, ejected, d.s.service(svcKey).upstream(all[0]).health)
			if c.goesOn {
				d.s.WentOn(d.now, svcKey, all[0])
				d.s.Ended(d.now, svcKey, all[0], 0)
			}
			got := sendAll(d, 300, brief, brief)[all[0].Address]
			require.GreaterOrEqual(t, got, c.least)
			require.LessOrEqual(t, got, c.most)
		})
	}
}

// TestSlowUpstreamIsNotReturnedByAnAnswer guards against an upstream that was ejected for its slowness and is used again as soon as it has answered
// a request that waited through a silence.
func TestSlowUpstreamIsNotReturnedByAnAnswer(t *testing.T) {
	all := candidates("perth-a", "west", 6)
	d := newDriver(t, all)
	slow := func(c member.Candidate) time.Duration {
		if c.Address == all[0].Address {
			return time.Second
		}
		return 5 * time.Millisecond
	}
	sendAll(d, 200, slow, slow)
	u := d.s.service(svcKey).upstream(all[0])
	require.Equal(t, ejected, u.health)
	until := u.ejectedUntil
	d.s.WentOn(d.now, svcKey, all[0])
	require.Equal(t, until, u.ejectedUntil)
}

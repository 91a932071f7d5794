package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/platform/standin"
)

// hearing is longer than an entry pauses between two questions to the store.
const hearing = 600 * time.Millisecond

// TestNoRequestBeginsOnAVersionWhoseTimeIsOver tells an incident.
//
// Seen: two streams began on version 1 of the weights 134 and 173 ms after the time was over in which they might, counted from the
// confirmation of version 2.
//
// How: the origin of the weights was away, so that every engine held version 1 to the end of its time, and all were full. Both requests
// had been sent a moment before entries begin to insist on version 2, and then waited 1.45 and 1.61 s in their engines' queues. One
// was at its second engine, after the first had said nothing for 1.5 s; there no bound on the wait for a first event applied.
//
// Cause: an entry compared versions when it sent a request. The engine begins it with the first event of the answer, and nothing
// bounded the time between the two: it was taken to be under 1.3 s.
//
// Proof: both had reached their engines within 9.0 s of the naming, before entries insist, and none that was sent later began too late:
// the entries had heard of the version in time and kept to it. Here an engine holds a request in its queue until the time is over.
func TestNoRequestBeginsOnAVersionWhoseTimeIsOver(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// path is the route's: a stream that may be sent again, or one that runs once.
		path string
		// faults come before an engine holds the request.
		faults []standin.Fault
		status int
	}{
		"a stream that runs once":                 {"/single/1", nil, http.StatusBadGateway},
		"a stream that is sent for the last time": {"/stream/1", []standin.Fault{standin.Lose}, http.StatusBadGateway},
		"a stream that may be sent once more":     {"/stream/1", nil, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			fleet.AddStream("/single/", false)
			fleet.SetGapTarget(time.Second) // Callers wait for longer than the version's time.
			old := []*standin.Upstream{fleet.AddEngine("i-0", standin.NextIP(), 1)}
			if len(c.faults) > 0 {
				old = append(old, fleet.AddEngine("i-1", standin.NextIP(), 1))
			}
			var release []func()
			for _, u := range old {
				release = append(release, u.Hold())
			}
			host := fleet.Host(standin.NextIP(), false)
			host.VersionTime = 2 * time.Second
			e := startHost(t, fleet, host)
			fleet.Faults.Next(c.faults...)
			ended := make(chan standin.Reply, 1)
			go func() { ended <- e.Post(c.path) }()
			require.Eventually(t, func() bool {
				queued := 0
				for _, u := range old {
					queued += u.Queued()
				}
				return queued == 1
			}, patience, pollInterval)
			next := fleet.AddEngine("i-2", standin.NextIP(), 2)
			time.Sleep(hearing) // The entry waits for changes by now, and hears of the version at once.
			fleet.Name(2)
			time.Sleep(host.VersionTime)
			for _, begin := range release {
				begin()
			}
			r := <-ended
			runs := 0
			for _, u := range old {
				runs += u.Runs(r.ID)
			}
			require.Equal(t, len(c.faults), runs, "it began on version 1 after the time of version 1")
			require.Equal(t, c.status, r.Status, r.Body)
			if c.status == http.StatusOK {
				require.Equal(t, 1, next.Runs(r.ID), "the engine with version 2 answers")
				return
			}
			require.Contains(t, r.Body, `"ran":"unknown"`, "it was with an engine")
		})
	}
}

// TestAStreamThatBeganInTimeGoesOnPastTheEndOfItsVersion names a version when a stream has begun that lasts for longer than the version before
// may be begun on.
func TestAStreamThatBeganInTimeGoesOnPastTheEndOfItsVersion(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.Pace = 40, 50*time.Millisecond
	host := fleet.Host(standin.NextIP(), false)
	host.VersionTime = time.Second
	e := startHost(t, fleet, host)
	ended := make(chan standin.Reply, 1)
	go func() { ended <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return engine.Last() != nil }, patience, pollInterval)
	fleet.Name(2)
	r := <-ended
	require.NoError(t, r.Err)
	require.Equal(t, whole(engine.Events), r.Body)
}

// TestAnAnswerThatComesAsItIsTakenBackIsNotTheUpstreamsFailure has the first event arrive between the withdrawal and the end of its connection.
func TestAnAnswerThatComesAsItIsTakenBackIsNotTheUpstreamsFailure(t *testing.T) {
	require.Equal(t, forward.Withdrawn, gateway.OutcomeOfWithdrawnAnswer())
}

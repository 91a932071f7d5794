package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestACallerIsAnsweredBeforeItStopsWaiting has the engines keep a stream in their queues for longer than its caller waits for the first event,
// as when their hosts stand still.
//
// Seen: callers left without an answer 2.4 s after they had asked, and the engines began their requests when the hosts woke.
// How it comes about: the first engine is given up after 1.5 s, and the request goes to another one, whose host stands still as well.
// Cause: a send after which no other is allowed had no bound on the wait for its first event, though the caller's own wait is known.
func TestACallerIsAnsweredBeforeItStopsWaiting(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/single/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			fleet.AddStream("/single/", false)
			for _, id := range []string{"i-1", "i-2"} {
				t.Cleanup(fleet.AddEngine(id, standin.NextIP(), 1).Hold())
			}
			e := start(t, fleet)
			r := e.Post(path)
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusBadGateway, r.Status, "the time of the request itself is not over: %s", r.Body)
			require.Contains(t, r.Body, `"ran":"unknown"`)
		})
	}
}
